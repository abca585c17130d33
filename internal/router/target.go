package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/profiler"
)

// target is a target of a cell that this host holds.
type target struct {
	Target
	token uint64 // fencing token of this host's claim
	// fenced is set once the target has accepted the token. From then on, it rejects the orders
	// of hosts with a lower token. The result Fenced is the opposite case: the target obeys a
	// higher token than this host's.
	fenced          bool
	lastConfirmedAt time.Time // when the newest renewal that was answered with a run list was sent
	lastReading     Reading   // newest reading of the target's clock
	runsExpireAt    time.Time // when all leases there have expired unless an order extends them
	lastAckedEnd    int       // number of the newest end that was handled; renewals acknowledge it
	// incarnation is the newest known start time of a process of the target in Unix milliseconds,
	// which identifies the process, from its run lists and earlier entries; 0 if none is known.
	incarnation int64
	// listedProcess is the start time of the process that sent the newest run list; 0 if it is not known. It
	// alone tells which process answers.
	listedProcess int64
	// endedProcess is the start time of a process that has ended before its leases can have expired; see
	// recordProcessEnd. heldUntil is until when they last at least, and earliestReading the newest reading
	// of the clock, with the earliest time at which it can have been made.
	endedProcess    int64
	heldUntil       time.Time
	earliestReading Reading
	runs            map[string]*run // by task
	used            Resources
	// suspectCount counts the runs of tasks under which a target had crashed before.
	suspectCount int
	overdueStops int // runs with stopOverdue
	// rejectedTotal is what the runs would have used with the last task that the target rejected
	// for lack of room. Until rejectedUntil, they are not brought to as much again.
	rejectedTotal Resources
	rejectedUntil time.Time
	// orphanRunNumbers are the run numbers, by task name, of the orphans: runs in the target's
	// run list that are not known here and that no task has adopted.
	orphanRunNumbers map[string]int
	orphansStoppedAt time.Time // last time that the orphans were ordered to stop
	runListClock     int64     // the target's clock at its newest run list, in milliseconds
	runListAt        time.Time // when that list was received
	// unmatchedEnds are ends of tasks whose job was not offered to this host yet.
	unmatchedEnds  map[string]End
	fencedAt       time.Time // when it accepted the token
	renewing       bool      // a renewal is under way, apart from polls
	pollsInFlight  int       // polls under way
	lastPollAt     time.Time // when the last poll was sent
	pollAgain      bool      // a poll was requested while another was under way
	missedRenewals int       // consecutive renewals without an answer
	// unansweredRenewals counts them also while they are frequent, see toleratesMiss.
	unansweredRenewals int
	nextRenewalAt      time.Time // earliest time of the next renewal
	listed             bool      // is in the directory
	unlistedSince      time.Time // when it left the directory
	// failures counts the consecutive runs that failed here. A target whose runs fail is
	// ejected until a trial succeeds.
	failures     int
	slowdownSum  float64   // CUSUM of the slowdowns of its runs, see recordSlowdown
	ejections    int       // consecutive ejections
	ejectedUntil time.Time // no starts before this time
	onTrial      bool      // it gets one task at a time until one succeeds
	evacuated    bool      // its zone is evacuated
	coldUntil    time.Time // it is slow before this time
	profile      *profiler.Profile
	// hasUnreadableRuns is set while the target lists runs that cannot be decoded. Nothing is known of
	// them, so that the target is treated as one with orphans that cannot be stopped.
	hasUnreadableRuns bool
	answers           *targetAnswers // of orders; nil before the first one
}

// run is one start of a task at a target.
type run struct {
	job    *job
	task   int
	number int
	target *target
	need   Resources
	state  runState
	sentAt time.Time // when the Start order was first sent, or when the run was adopted
	// adopted is set if a previous holder started the run, so that its start time is not known.
	adopted bool
	// retried is set if the Start order was sent again. attempts counts its sendings, attemptAt
	// is when it was last sent, and startLeaseEnd the latest lease end in one of them, in
	// milliseconds of the target's clock; 0 if one of them has none.
	retried       bool
	attempts      int
	attemptAt     time.Time
	startLeaseEnd int64
	// stops counts the Stop orders since the last pause, and stopAcknowledged is set once one was
	// answered, after which the target starts the run no more.
	stops            int
	stopAcknowledged bool
	// stopOverdue is set once a Stop was not answered in time, until one is.
	stopOverdue bool
	// startClock is the target's clock, in milliseconds, when the run had started; 0 if it is
	// not known.
	startClock int64
	// confirmedAt is when an answer of the target last confirmed the state of the run; zero if
	// none has since the last order. If a run list that was requested after confirmedAt lacks
	// the run, the run is over.
	confirmedAt time.Time
	stopSentAt  time.Time // when the last Stop was sent
	// expectedRunTime is the expected run time at this target and nextPollAt the time of the
	// next progress poll. percent and estimatedRunTime are the last reported progress and the
	// total run time extrapolated from it.
	expectedRunTime  time.Duration
	nextPollAt       time.Time
	percent          float64
	estimatedRunTime time.Duration
	// slowdownRecorded is set once the run has counted for or against its target, and slow if
	// it was too slow for a trial.
	slowdownRecorded, slow bool
	// cold is set if the run started while the target was cold.
	cold bool
	// process is the start time of the target's process when the run started; 0 if unknown.
	process int64
	// startedFor is the start time of the process that the newest Start was for, or that has listed the run; 0 if
	// unknown.
	startedFor int64
	// suspect is set if a target had crashed under the task before this run.
	suspect bool
	// companions are the routes of the tasks that ran beside it.
	companions []companion
}

type runState string

const (
	runStarting    runState = "starting"
	runRunning     runState = "running"
	runUnconfirmed runState = "doubtful" // the Start order was not answered
	runStopping    runState = "stopping"
)

const (
	// renewRetryInterval is the delay of the next renewal after one without an answer. It grows
	// by the same time with each further one, up to ten times.
	renewRetryInterval = 50 * time.Millisecond
	// leaseExpiryMargin is added to a lease before its runs count as ended: the time that an
	// order takes to arrive.
	leaseExpiryMargin = 50 * time.Millisecond
	// minPollInterval is the least time between two polls while the first one is not answered:
	// half of the 100 ms for which a target may be paused.
	minPollInterval = 50 * time.Millisecond
	// stopRetryInterval is the time between two Stop orders for the same run.
	stopRetryInterval = 150 * time.Millisecond
	// maxOrphanStops bounds the orphans that a target is ordered to stop at once. The others follow,
	// unless they end with their leases, which are not extended.
	maxOrphanStops = 64
	// failuresToEject is the number of consecutive failed runs at which a target is ejected.
	// Tasks fail by their own fault in 2 of 1,000 runs.
	failuresToEject = 2
	// failingEjectionDuration is how long a failing target is ejected before a trial.
	failingEjectionDuration = 1500 * time.Millisecond
	// maxEjectionDoublings bounds how often the duration of an ejection doubles: up to 4.8 s
	// for slow and 6 s for failing targets, the usual length of a fault.
	maxEjectionDoublings = 2
	// unhealthyEjectionDuration is how long a target that rejects a start as unhealthy is
	// ejected.
	unhealthyEjectionDuration = 500 * time.Millisecond
	// fullTargetDelay is how long no task is started at a target that had no capacity for one, or whose
	// process is not the listed one.
	fullTargetDelay = 100 * time.Millisecond
)

// syncTargets updates the targets of the held cells from the directory and from
// previousTargets: targets that a previous holder may have used and that the directory may lack.
func (r *Router) syncTargets() {
	inDirectory := make(map[string]bool, len(r.directory.Targets))
	for _, entry := range r.directory.Targets {
		inDirectory[entry.ID] = true
		if c := r.cell(entry.Zone); c.heldHere {
			r.registerTarget(entry, c)
		}
	}
	for _, id := range sortedKeys(r.previousTargets) {
		entry := r.previousTargets[id].target
		c := r.cell(entry.Zone)
		if !c.heldHere || inDirectory[id] || r.targets[id] != nil && r.targets[id].token == c.claim.Token {
			continue
		}
		r.registerTarget(entry, c)
		// The target is not in the directory. It is registered here, and marked as unlisted
		// below, so that it gets no new tasks.
		inDirectory[id] = false
	}
	for _, id := range sortedKeys(r.targets) {
		t := r.targets[id]
		if !inDirectory[id] && t.listed {
			t.listed, t.unlistedSince, r.unlistedReportedAt = false, r.now, time.Time{}
			r.logTarget(t, "unlisted")
		}
	}
	r.placementNeeded = true
}

// registerTarget adds or updates a target of a held cell from its entry in the directory or in
// previousTargets.
func (r *Router) registerTarget(entry Target, c *cell) {
	t := r.targets[entry.ID]
	isNew := t == nil
	if isNew {
		t = &target{Target: entry, runs: make(map[string]*run), orphanRunNumbers: make(map[string]int), unmatchedEnds: make(map[string]End)}
		r.targets[entry.ID] = t
		r.sortedTargets = append(r.sortedTargets, t)
		slices.SortFunc(r.sortedTargets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	if entry.Draining != t.Draining {
		r.logTarget(t, "draining")
	}
	restarted := entry.StartedAt > t.StartedAt && t.StartedAt > 0 && entry.StartedAt > t.incarnation
	// The entry says that a process has started, and the next run list which one answers.
	t.incarnation = max(t.incarnation, t.StartedAt)
	if isNew || entry.ColdLeft == 0 || t.ColdLeft == 0 {
		t.coldUntil = r.now.Add(entry.ColdLeft)
	}
	if entry.Capacity != t.Capacity || restarted {
		t.rejectedUntil = time.Time{}
	}
	t.Target, t.listed, t.evacuated = entry, true, r.isEvacuated(entry.Zone)
	if restarted {
		r.pollTarget(t)
	}
	if t.token != c.claim.Token {
		t.token, t.fenced, t.nextRenewalAt = c.claim.Token, false, time.Time{}
		t.orphanRunNumbers, t.unmatchedEnds = make(map[string]int), make(map[string]End)
		r.renewTarget(t)
	}
}

// logTarget logs a change of a target's state as this host sees it.
func (r *Router) logTarget(t *target, state string, pairs ...any) {
	r.emit(Decision{Action: "target", Target: t.ID, Pairs: append([]any{"state", state, "runs", len(t.runs), "age", r.formatAge(t.lastConfirmedAt)}, pairs...)})
}

// handleTargetRestart resets the state of a target whose run list, requested at askedAt, shows that it has restarted.
// The runs are retained until a run list shows which of them exist, since runs that were
// started after the restart may continue.
func (r *Router) handleTargetRestart(t *target, startedAt int64, askedAt time.Time) {
	r.logTarget(t, "restarted", "born", startedAt)
	r.recordProcessEnd(t, askedAt)
	t.earliestReading, t.heldUntil = Reading{}, time.Time{}
	t.incarnation, t.lastAckedEnd, t.lastReading, t.runListClock = startedAt, 0, Reading{}, 0
	t.orphanRunNumbers, t.unmatchedEnds = make(map[string]int), make(map[string]End)
	t.failures, t.slowdownSum, t.ejectedUntil = 0, 0, time.Time{}
	for _, n := range t.runs {
		n.stopAcknowledged = false
	}
	r.forgetAnswers(t)
	r.pollTarget(t) // this run list may lack runs whose Start was answered after it was requested
}

// releaseTarget removes a target whose cell has another holder, and detaches the target's runs
// from their tasks. The new holder adopts the runs or stops them.
func (r *Router) releaseTarget(t *target) {
	postponedUntil := r.now.Add(r.Bounds.LeaseDuration + r.Bounds.OrphanGrace + 2*r.Bounds.StopDuration)
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		if t.missedRenewals > 0 {
			r.recordLostRun(n, false) // the new holder does not know of the run if the target has crashed
		}
		r.postponeTask(n.job, n.task, postponedUntil)
		delete(t.runs, name)
		n.job.liveRuns--
	}
	r.removeTarget(t)
}

// addRun records a run of a task in place of a former one of lower number.
func (t *target) addRun(task string, n *run) {
	if former := t.runs[task]; former != nil {
		former.job.liveRuns--
		if former.stopOverdue {
			t.overdueStops--
		}
	}
	t.runs[task] = n
	n.job.liveRuns++
}

func (r *Router) removeTarget(t *target) {
	delete(r.targets, t.ID)
	r.forgetAnswers(t)
	r.sortedTargets = slices.DeleteFunc(r.sortedTargets, func(other *target) bool { return other == t })
}

// isUsable reports whether a target can be given a task now.
func (r *Router) isUsable(t *target) bool {
	if !t.fenced || !t.listed || t.Draining || t.evacuated || r.now.Before(t.ejectedUntil) || r.isUnresponsive(t) {
		return false
	}
	if t.onTrial && len(t.runs) > 0 || r.isExcludedAsCold(t) || t.hasEntryOfOtherProcess() {
		return false
	}
	return !t.hasOrphans() && !t.answers.isOpen() && !t.awaitsStop()
}

// hasOrphans reports whether a target has runs that are not known here.
func (t *target) hasOrphans() bool { return len(t.orphanRunNumbers) > 0 || t.hasUnreadableRuns }

// hasEntryOfOtherProcess reports whether the directory has the entry of another process of the target
// than the one that has sent its runs. The kind and the capacity of the two may differ.
func (t *target) hasEntryOfOtherProcess() bool {
	return t.StartedAt > 0 && (t.incarnation > t.StartedAt || t.listedProcess > 0 && t.listedProcess != t.StartedAt)
}

// isUnresponsive reports whether a target has missed a renewal or has not answered any for
// longer than the interval of idle renewals.
func (r *Router) isUnresponsive(t *target) bool {
	return t.missedRenewals > 0 || r.now.Sub(t.lastConfirmedAt) > r.Bounds.IdleRenewInterval+r.Bounds.RenewTimeout
}

// renewTarget sends the next renewal when it is due, unless one is under way. A fenced target
// with runs that has missed no renewal delays its answer until a run ends or RenewWait has
// passed; other targets answer at once.
func (r *Router) renewTarget(t *target) {
	if t.renewing || r.now.Before(t.nextRenewalAt) {
		return
	}
	wait := r.renewWait(t)
	if !t.fenced || t.missedRenewals > 0 || t.unansweredRenewals > 0 || len(t.runs) == 0 {
		wait = 0
	}
	if r.areRenewalsUnanswered() {
		wait = min(wait, unansweredRenewWait)
	}
	t.renewing = true
	r.sendRenew(t, wait, false)
}

// renewWait returns how long the answer to a renewal may wait for the end of a run. The next renewal
// follows after it, so that it is shorter if the lease is.
func (r *Router) renewWait(t *target) time.Duration {
	return max(r.Bounds.RenewWait-(r.Bounds.LeaseDuration-r.leaseDuration(t)), 0)
}

// pollTarget polls a target: it requests the run list at once, by a Renew order with Poll set
// and no wait. If a poll was sent less than minPollInterval ago and is not answered yet, the
// next one follows after that time, because the answer may be lost.
func (r *Router) pollTarget(t *target) {
	if t.pollsInFlight > 0 && r.now.Sub(t.lastPollAt) < minPollInterval {
		t.pollAgain = true
		return
	}
	t.pollsInFlight++
	t.lastPollAt, t.pollAgain = r.now, false
	r.sendRenew(t, 0, true)
}

func (r *Router) sendRenew(t *target, wait time.Duration, poll bool) {
	leaseEnd := int64(0)
	if lease := r.leaseDuration(t); lease > 0 && t.mayExtendLeases() {
		leaseEnd = r.extendLeases(t, lease)
	}
	r.emit(Renew{
		Target: t.Target, Process: t.process(), Token: t.token, Acked: t.lastAckedEnd, LeaseEnd: leaseEnd,
		Wait: wait, Timeout: wait + r.renewTimeout(), Poll: poll,
	})
}

// handleRenewAnswered handles the answer to a renewal, or its absence.
func (r *Router) handleRenewAnswered(e RenewAnswered) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Poll {
		t.pollsInFlight = max(t.pollsInFlight-1, 0)
	} else {
		t.renewing = false
	}
	if e.Token != t.token {
		r.renewTarget(t)
		return
	}
	r.recordRenewal(t, e)
	switch e.Result {
	case Running:
		r.handleRunList(t, e)
	case Fenced:
		r.handleFenced(t, e.Token)
		if r.targets[t.ID] != t {
			return // released with the cell
		}
	case Replaced:
		r.handleReplacedTarget(t, e.SentAt)
	default:
		if !r.toleratesMiss(t) {
			r.handleMissedRenewal(t, e.SentAt)
		}
	}
	if t.pollAgain {
		r.pollTarget(t)
	}
	r.scheduleRenewal(t)
}

// scheduleRenewal sets the time of the next renewal, and sends the renewal if it is due already.
func (r *Router) scheduleRenewal(t *target) {
	switch {
	case t.missedRenewals == 0 && t.unansweredRenewals > 0:
		t.nextRenewalAt = time.Time{}
	case t.missedRenewals > 0:
		t.nextRenewalAt = r.now.Add(renewRetryInterval * time.Duration(min(t.missedRenewals, 10)))
	case len(t.runs) > 0:
		t.nextRenewalAt = time.Time{}
	case len(t.orphanRunNumbers) > 0:
		t.nextRenewalAt = r.now.Add(r.Bounds.TickInterval) // the answers do not wait
	default:
		t.nextRenewalAt = r.now.Add(r.Bounds.IdleRenewInterval)
	}
	r.renewTarget(t)
}

// handleMissedRenewal counts a renewal without an answer, unless a later renewal was answered.
func (r *Router) handleMissedRenewal(t *target, sentAt time.Time) {
	if t.fenced && t.lastConfirmedAt.After(sentAt) {
		return
	}
	t.missedRenewals++
	if t.missedRenewals == 1 {
		r.logTarget(t, "silent", "lapses", t.runsExpireAt.Sub(r.now).String())
	}
	r.emit(CloseIdle{ID: t.ID})
}

// handleReplacedTarget handles that another process answers at a target's address. The runs are
// gone with the old process, so they end as if their leases had expired. The target counts as
// unresponsive until it answers a renewal. askedAt is when the order was sent that was answered.
func (r *Router) handleReplacedTarget(t *target, askedAt time.Time) {
	r.logTarget(t, "replaced")
	r.recordProcessEnd(t, askedAt)
	for _, name := range sortedKeys(t.runs) {
		r.recordLostRun(t.runs[name], true)
		r.endRun(t.runs[name], EndLeaseExpired)
	}
	t.fenced, t.missedRenewals = false, t.missedRenewals+1
}

// checkTargets sends due renewals, polls and stops, ends runs whose lease has expired and
// removes targets that have left the directory.
func (r *Router) checkTargets() {
	r.reportUnlistedTargets()
	r.expirePreviousTargets()
	r.logOrderAnswers()
	if r.lateStarts.prune(r.now) {
		r.placementNeeded = true
	}
	for _, id := range sortedKeys(r.targets) {
		t := r.targets[id]
		if r.now.After(t.runsExpireAt) && len(t.runs) > 0 {
			r.expireRuns(t)
		}
		if !t.listed && len(t.runs) == 0 && r.now.Sub(t.unlistedSince) > r.Bounds.LeaseDuration && r.previousTargets[id] == nil {
			r.logTarget(t, "forgotten")
			r.removeTarget(t)
			r.emit(CloseIdle{ID: id, Gone: true})
			continue
		}
		r.renewTarget(t)
		if t.pollAgain {
			r.pollTarget(t)
		}
		r.pollDueRuns(t)
		r.retryStops(t)
		r.probeTarget(t)
		r.stopOrphans(t)
	}
}

// expireRuns ends all runs of a target after their leases have expired. runsExpireAt includes the
// clock drift and leaseExpiryMargin.
func (r *Router) expireRuns(t *target) {
	r.logTarget(t, "lapsed")
	t.fenced = false
	for _, name := range sortedKeys(t.runs) {
		r.recordLostRun(t.runs[name], false)
		r.endRun(t.runs[name], EndLeaseExpired)
	}
	r.emit(CloseIdle{ID: t.ID})
}

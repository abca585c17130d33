package router

import (
	"cmp"
	"slices"
	"time"
)

// target is one target of a cell that this host holds.
type target struct {
	Target
	token uint64 // this host's claim
	// fenced tells that the target has taken the token: no other host's order
	// with a lower one does anything there any more.
	fenced           bool
	lastConfirmedAt  time.Time // when the last good answer was asked for
	lastReading      Reading
	runsExpireAt     time.Time // when everything there has lapsed without further orders
	lastAckedEnd     int
	incarnation      int64
	runs             map[string]*run // by task
	used             Resources
	orphans          map[string]int // number of each run listed there that nobody here knows, by task
	orphansStoppedAt time.Time      // when orphans were last stopped
	listClock        int64          // target's clock of the newest list
	// unmatchedEnds are ends of tasks whose job this host was not told of yet.
	unmatchedEnds  map[string]End
	fencedAt       time.Time // when it was fenced
	renewing       bool      // a renewal is under way
	pollsInFlight  int       // renewals under way beside that one
	lastPollAt     time.Time // when the last of them was sent
	pollAgain      bool      // look once more
	missedRenewals int       // renewals without an answer in a row
	nextRenewalAt  time.Time // no renewal before
	listed         bool      // stands in the directory
	unlistedSince  time.Time // since when it does not
	// failures counts jobs in a row that failed here; a target that fails all
	// is left out until a trial succeeds.
	failures     int
	slowdownSum  float64   // how much longer runs take lately than allowed, see noteSlowdown
	ejections    int       // times in a row that it was left out
	ejectedUntil time.Time // no starts before
	onTrial      bool      // the next start is a trial
}

// run is one start of a task at a target.
type run struct {
	job    *job
	task   int
	number int
	target *target
	need   Resources
	state  runState
	sentAt time.Time
	// adopted tells that an earlier holder started the run: its start is not known.
	adopted bool
	// retried tells that the start was ordered a second time.
	retried bool
	// startClock is the target's clock, in milliseconds, when the run had begun; 0 means
	// that it is not known.
	startClock int64
	// confirmedAt is when an answer proved what the target's lists must show: a
	// list asked for later that lacks the run means that it is over.
	confirmedAt time.Time
	stopSentAt  time.Time // when the last Stop left
	// expectedRunTime is the expected run time here; lookAt is when progress is due;
	// percent and total are what progress has shown.
	expectedRunTime  time.Duration
	nextPollAt       time.Time
	percent          float64
	estimatedRunTime time.Duration
	// slowdownRecorded tells that the run has counted for or against the target, and slow that it
	// was too slow.
	slowdownRecorded, slow bool
}

type runState string

const (
	runStarting    runState = "starting"
	runRunning     runState = "running"
	runUnconfirmed runState = "doubtful" // no answer to the start
	runStopping    runState = "stopping"
)

const (
	// renewRetryInterval is the pause after a renewal without an answer.
	renewRetryInterval = 50 * time.Millisecond
	// leaseExpiryMargin is added to a lease before its runs count as gone: the time of
	// an order on its way.
	leaseExpiryMargin = 50 * time.Millisecond
	// minPollInterval is the pause between two looks while the first is not answered:
	// half of the tenth of a second that a target may be paused.
	minPollInterval = 50 * time.Millisecond
	// stopRetryInterval is the pause between two Stops of one run.
	stopRetryInterval = 150 * time.Millisecond
	// failuresToEject is how many jobs in a row must fail at a target before it
	// is left out. Tasks fail by their own fault in 2 of 1,000 runs.
	failuresToEject = 2
	// failingEjectionDuration is how long a failing target is left out before a trial.
	failingEjectionDuration = 1500 * time.Millisecond
	// maxEjectionDoublings bounds how often the time doubles for which a target is left out:
	// up to 4.8 to 6 s, the usual length of a fault.
	maxEjectionDoublings = 2
	// unhealthyEjectionDuration is how long a target that refuses as unhealthy is left out.
	unhealthyEjectionDuration = 500 * time.Millisecond
	// fullTargetDelay is how long a target that had no room is left out, unless a
	// list of its runs comes first.
	fullTargetDelay = 100 * time.Millisecond
)

// syncTargets follows the directory and the held cells.
func (r *Router) syncTargets() {
	seen := make(map[string]bool, len(r.directory.Targets))
	for _, entry := range r.directory.Targets {
		seen[entry.ID] = true
		if c := r.cell(entry.Zone); c.heldHere {
			r.registerTarget(entry, c)
		}
	}
	for _, id := range sortedKeys(r.previousTargets) {
		entry := r.previousTargets[id].target
		c := r.cell(entry.Zone)
		if !c.heldHere || seen[id] || r.targets[id] != nil && r.targets[id].token == c.claim.Token {
			continue
		}
		r.registerTarget(entry, c)
		seen[id] = false
	}
	for _, id := range sortedKeys(r.targets) {
		t := r.targets[id]
		if !seen[id] && t.listed {
			t.listed, t.unlistedSince = false, r.now
			r.logTarget(t, "unlisted")
		}
	}
	r.placementNeeded = true
}

// registerTarget takes a directory entry of a held cell.
func (r *Router) registerTarget(entry Target, c *cell) {
	t := r.targets[entry.ID]
	if t == nil {
		t = &target{Target: entry, runs: make(map[string]*run), orphans: make(map[string]int), unmatchedEnds: make(map[string]End)}
		r.targets[entry.ID] = t
		r.sortedTargets = append(r.sortedTargets, t)
		slices.SortFunc(r.sortedTargets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	if entry.Draining != t.Draining {
		r.logTarget(t, "draining")
	}
	restarted := entry.StartedAt > t.StartedAt && t.StartedAt > 0 && entry.StartedAt > t.incarnation
	t.incarnation = max(t.incarnation, t.StartedAt) // its next list tells of the new life
	t.Target, t.listed = entry, true
	if restarted {
		r.pollTarget(t)
	}
	if t.token != c.claim.Token {
		t.token, t.fenced, t.nextRenewalAt = c.claim.Token, false, time.Time{}
		t.orphans, t.unmatchedEnds = make(map[string]int), make(map[string]End)
		r.renewTarget(t)
	}
}

// logTarget logs a change of what is believed of a target.
func (r *Router) logTarget(t *target, state string, pairs ...any) {
	r.emit(Decision{Action: "target", Target: t.ID, Pairs: append([]any{"state", state, "runs", len(t.runs), "age", r.formatAge(t.lastConfirmedAt)}, pairs...)})
}

// handleTargetRestart begins a new life of a target. Its list tells what has survived: runs that
// were started after the restart may go on.
func (r *Router) handleTargetRestart(t *target, startedAt int64) {
	r.logTarget(t, "restarted", "born", startedAt)
	t.incarnation, t.lastAckedEnd, t.lastReading, t.listClock = startedAt, 0, Reading{}, 0
	t.orphans, t.unmatchedEnds = make(map[string]int), make(map[string]End)
	t.failures, t.slowdownSum, t.ejectedUntil = 0, 0, time.Time{}
	r.pollTarget(t) // for starts that were answered after the list was asked for
}

// releaseTarget stops using a target whose cell another host holds. The next holder
// takes over its runs or stops them.
func (r *Router) releaseTarget(t *target) {
	postponedUntil := r.now.Add(r.Bounds.LeaseDuration + r.Bounds.OrphanGrace + 2*r.Bounds.StopDuration)
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		r.postponeTask(n.job, n.task, postponedUntil)
		delete(t.runs, name)
	}
	r.removeTarget(t)
}

// removeTarget forgets a target.
func (r *Router) removeTarget(t *target) {
	delete(r.targets, t.ID)
	r.sortedTargets = slices.DeleteFunc(r.sortedTargets, func(other *target) bool { return other == t })
}

// isUsable reports whether a target may be given a task now.
func (r *Router) isUsable(t *target) bool {
	if !t.fenced || !t.listed || t.Draining || r.now.Before(t.ejectedUntil) || r.isUnresponsive(t) {
		return false
	}
	if t.onTrial && len(t.runs) > 0 {
		return false
	}
	return len(t.orphans) == 0
}

// isUnresponsive reports whether a target has not answered lately.
func (r *Router) isUnresponsive(t *target) bool {
	return t.missedRenewals > 0 || r.now.Sub(t.lastConfirmedAt) > r.Bounds.IdleRenewInterval+r.Bounds.RenewTimeout
}

// leaseEnd returns the end of a lease that begins now, on the target's clock.
func (t *target) leaseEnd(now time.Time, lease time.Duration) int64 {
	if t.lastReading.At.IsZero() {
		return 0
	}
	return t.lastReading.Millis + (now.Sub(t.lastReading.At) + lease).Milliseconds()
}

// extendRunExpiry notes that an order extends the target's lease.
func (r *Router) extendRunExpiry(t *target) {
	end := r.now.Add(r.Bounds.LeaseDuration + time.Duration(float64(r.Bounds.LeaseDuration)*r.Bounds.MaxClockDrift) + leaseExpiryMargin)
	if end.After(t.runsExpireAt) {
		t.runsExpireAt = end
	}
}

// updateClock takes the target's clock.
func (t *target) updateClock(clock Reading) {
	if !clock.At.IsZero() && clock.At.After(t.lastReading.At) {
		t.lastReading = clock
	}
}

// renewTarget sends the renewal that waits for an end.
func (r *Router) renewTarget(t *target) {
	if t.renewing || r.now.Before(t.nextRenewalAt) {
		return
	}
	wait := r.Bounds.RenewWait
	if !t.fenced || t.missedRenewals > 0 || len(t.runs) == 0 {
		wait = 0
	}
	t.renewing = true
	r.sendRenew(t, wait, false)
}

// pollTarget asks at once what runs at a target, or a moment after the last time if that
// was not answered yet: the answer may be lost.
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
	if len(t.orphans) == 0 && t.missedRenewals == 0 {
		// Orphans would run on, and what runs at a silent target could not
		// start elsewhere.
		leaseEnd = t.leaseEnd(r.now, r.Bounds.LeaseDuration)
		r.extendRunExpiry(t)
	}
	r.emit(Renew{
		Target: t.Target, Token: t.token, Acked: t.lastAckedEnd, LeaseEnd: leaseEnd,
		Wait: wait, Timeout: wait + r.Bounds.RenewTimeout, Poll: poll,
	})
}

// handleRenewAnswered takes the answer to a renewal.
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
	switch e.Result {
	case Running:
		r.handleRunList(t, e)
	case Fenced:
		r.handleFenced(t, e.Token)
		return
	case Replaced:
		r.handleReplacedTarget(t)
	default:
		r.handleMissedRenewal(t, e.SentAt)
	}
	if t.pollAgain {
		r.pollTarget(t)
	}
	r.scheduleRenewal(t)
}

// scheduleRenewal sets when the next renewal is due.
func (r *Router) scheduleRenewal(t *target) {
	switch {
	case t.missedRenewals > 0:
		t.nextRenewalAt = r.now.Add(renewRetryInterval * time.Duration(min(t.missedRenewals, 10)))
	case len(t.runs) > 0 || len(t.orphans) > 0:
		t.nextRenewalAt = time.Time{}
	default:
		t.nextRenewalAt = r.now.Add(r.Bounds.IdleRenewInterval)
	}
	r.renewTarget(t)
}

// handleMissedRenewal notes a renewal without an answer, unless a later order was answered.
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

// handleReplacedTarget notes that another process answers at a target's address.
func (r *Router) handleReplacedTarget(t *target) {
	r.logTarget(t, "replaced")
	for _, name := range sortedKeys(t.runs) {
		r.endRun(t.runs[name], EndLeaseExpired)
	}
	t.fenced, t.missedRenewals = false, t.missedRenewals+1
}

// checkTargets sends renewals that are due, ends runs whose lease has lapsed and
// forgets targets that are gone.
func (r *Router) checkTargets() {
	r.expirePreviousTargets()
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
		r.stopOrphans(t)
	}
}

// expireRuns ends all runs of a target that no order has reached for a lease.
func (r *Router) expireRuns(t *target) {
	r.logTarget(t, "lapsed")
	t.fenced = false
	for _, name := range sortedKeys(t.runs) {
		r.endRun(t.runs[name], EndLeaseExpired)
	}
	r.emit(CloseIdle{ID: t.ID})
}

// retryStops repeats orders that have had no effect yet.
func (r *Router) retryStops(t *target) {
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		if (n.state == runStopping || n.state == runUnconfirmed) && r.now.Sub(n.stopSentAt) >= stopRetryInterval {
			r.stopRun(n)
		}
	}
}

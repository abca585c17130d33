package scheduler

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// target is the state of one target as this host sees it.
type target struct {
	name             string
	address          string
	pool             *pool
	machine          *fsm.FSM
	currentState     TargetState
	stateReason      string    // what caused the current state
	listedLeaving    bool      // the directory lists the target as leaving
	leavingUntil     time.Time // until then the target's own answer that it is leaving counts
	peerLeavingUntil time.Time // until then a peer's report that it is leaving counts
	slots            int
	ownTasks         int // this host's tasks in flight
	peerTasks        int // the peers' tasks in flight, as last reported
	rangeSlots       int // slots at the target in this host's range
	outOfRangeTasks  int // peers' tasks in flight beyond the peers' slots at the target
	peerRangeSlots   int // scratch value of applyRange: slots in the range of one peer
	busyCount        int // busy answers in a row
	provenPeerTasks  int // peers' tasks that the last busy answer proves, until provenUntil
	provenUntil      time.Time
	runs             []*run

	failureCount      int // different failed jobs in a row
	lastFailedJob     uint64
	unreachableCount  int     // failed connections in a row
	runTimeRatio      float64 // smoothed ratio of actual to expected run time
	suspicion         float64 // sum of the surprise of ended tasks above surpriseAllowance, at least 0
	inFlightSuspicion float64 // sum of the surprise of each task in flight above surpriseAllowance
	peerSuspicion     float64 // sum of the peers' suspicion, as last reported
	trialAt           time.Time
	trialInterval     time.Duration
	ejector           string // first by name of the peers that report the target as ejected, or empty
	followsPeer       bool   // the ejector's name sorts before this host's name, so that its trial decides
}

// run is one start of a task at a target that has not ended.
type run struct {
	job    *job
	index  int
	sentAt time.Time
	kind   string
}

const (
	// maxFailuresInRow is the number of different jobs that fail in a row at a
	// target before it is ejected.
	maxFailuresInRow = 3
	// maxUnreachableInRow is the number of failed connections in a row after which
	// a target is ejected.
	maxUnreachableInRow = 2
	// maxRatio limits the run time ratio that one task adds to the smoothed ratio.
	maxRatio = 3
	// ratioGain is the weight of one task in the smoothed run time ratio.
	ratioGain = 0.1
	// surpriseAllowance is subtracted from the surprise (estimator.Estimator.SurpriseLevel)
	// of each task. At a healthy target the mean surprise is below 1.
	surpriseAllowance = 2
	// ejectSuspicion is the sum of all hosts' suspicion at which a target is
	// ejected, in addition to meanSuspicionFactor times the pool's mean.
	ejectSuspicion = 16
	// meanSuspicionFactor is the multiple of the pool's mean suspicion that is
	// allowed to every target in addition to ejectSuspicion.
	meanSuspicionFactor = 2
	// suspicionStep is the unit in which hosts report their suspicion.
	suspicionStep = 4
	// maxTrialSurprise is the highest surprise of a task with which its target
	// passes the trial.
	maxTrialSurprise = 3
	// minTrialInterval and maxTrialInterval limit the interval between trials,
	// which doubles after each failed trial.
	minTrialInterval = 10 * time.Second
	maxTrialInterval = 5 * time.Minute
	// minUnreachableTrialInterval is the first interval for an unreachable target.
	// It is shorter because a failed connection costs no job.
	minUnreachableTrialInterval = time.Second
	// maxEjectedFraction limits the fraction of a pool's targets that may be
	// ejected at a time.
	maxEjectedFraction = 1.0 / 3
	// leavingPeriod is how long a target counts as leaving after its own answer or
	// a peer's report. It holds even if the peer leaves or restarts (#4).
	leavingPeriod = 5 * time.Minute
	// minFullPeriod and maxFullPeriod limit the time for which a busy answer is
	// taken as proof that the peers use all other slots of the target. The time
	// doubles with each further busy answer in a row.
	minFullPeriod = 50 * time.Millisecond
	maxFullPeriod = 400 * time.Millisecond
)

func newTarget(name string, p *pool) *target {
	return &target{
		name: name, pool: p, slots: p.service.Slots, runTimeRatio: 1,
		machine: transitioner.NewFSM(Live, targetRules...), currentState: Live,
	}
}

// state returns the cached state of the machine; a query of the machine itself
// takes a lock.
func (t *target) state() TargetState { return t.currentState }

// isUsable reports whether the target may get new tasks, apart from trials.
func (t *target) isUsable() bool {
	switch t.state() {
	case Live:
		return t.ejector == ""
	case Trial, Departing, Ejected:
	}
	return false
}

// isShared reports whether the target's slots are divided between the hosts.
func (t *target) isShared() bool { return t.state() == Live && t.ejector == "" }

// freeSlots returns the slots of this host's range that the host does not use. If
// a peer's task still runs in such a slot, the target holds the next task back
// until the peer's task ends. A recent busy answer reduces the number.
func (t *target) freeSlots(now time.Time) int {
	free := t.rangeSlots - t.ownTasks
	if now.Before(t.provenUntil) {
		free = min(free, t.slots-t.ownTasks-t.provenPeerTasks)
	}
	return free
}

// recordBusy records that the target had no slot for a task in time: the peers use
// all slots that this host does not use.
func (t *target) recordBusy(now time.Time) {
	t.provenPeerTasks = t.slots - t.ownTasks
	t.provenUntil = now.Add(min(minFullPeriod<<min(t.busyCount, 3), maxFullPeriod))
	t.busyCount++
}

// changeTargetState applies the event to the target's state if the state allows
// it, and logs the change.
func (s *Scheduler) changeTargetState(t *target, event targetEvent, reason string) {
	if !t.machine.Can(string(event)) {
		return
	}
	if err := t.machine.Event(context.Background(), string(event)); err != nil {
		s.reportViolation("target life cycle", "event %s of target %s: %v", event, t.name, err)
		return
	}
	t.currentState, t.stateReason = TargetState(t.machine.Current()), reason
	t.pool.divisionOutdated = true
	s.reportUrgent = true
	s.emit(Decision{Action: StateChanged, Target: t.name, Outcome: "", Reason: string(event) + " " + reason})
}

// updateLeaving moves a target into or out of Departing. A target is leaving by
// the directory, its own answer, a peer's report or the configuration.
func (s *Scheduler) updateLeaving(t *target) {
	leaving := t.listedLeaving || s.now.Before(t.peerLeavingUntil) || s.now.Before(t.leavingUntil) || s.config.DrainedTargets.Has(t.name)
	if leaving && t.state() != Departing {
		s.changeTargetState(t, targetLeave, "told to leave")
		s.emit(CloseIdle{Target: t.name})
	}
	if !leaving && t.state() == Departing {
		s.changeTargetState(t, targetReturn, "listed as live")
	}
}

// recordSuccess records a task that ended well at the target, with the ratio of
// its actual to its expected run time and its surprise.
func (s *Scheduler) recordSuccess(t *target, ratio float64, surprise int) {
	t.failureCount, t.unreachableCount, t.busyCount = 0, 0, 0
	t.runTimeRatio += (min(ratio, maxRatio) - t.runTimeRatio) * ratioGain
	t.suspicion = max(0, t.suspicion+float64(surprise)-surpriseAllowance)
	if t.state() != Trial {
		return
	}
	if surprise <= maxTrialSurprise {
		s.restoreTarget(t, "passed its trial")
		return
	}
	s.ejectTarget(t, "slow in its trial", minTrialInterval)
}

// restoreTarget returns an ejected target to Live and resets its statistics.
func (s *Scheduler) restoreTarget(t *target, reason string) {
	t.runTimeRatio, t.suspicion, t.failureCount, t.unreachableCount = 1, 0, 0, 0
	t.trialInterval = 0
	s.changeTargetState(t, targetRestore, reason)
}

// recordFailure records a job that failed at the target. Failures of a client whose
// tasks fail at every target do not eject the target.
func (s *Scheduler) recordFailure(t *target, j *job) {
	if t.lastFailedJob == j.number && t.state() != Trial {
		return
	}
	t.lastFailedJob = j.number
	t.failureCount++
	s.failureRecordOf(j).addFailure(t.name)
	if s.failureRecordOf(j).failsEverywhere() {
		return
	}
	if t.state() == Trial || t.failureCount >= maxFailuresInRow {
		s.ejectTarget(t, "fails what it starts", minTrialInterval)
	}
}

// recordUnreachable records a failed connection to the target.
func (s *Scheduler) recordUnreachable(t *target) {
	t.unreachableCount++
	if t.state() == Trial || t.unreachableCount >= maxUnreachableInRow {
		s.ejectTarget(t, "cannot be reached", minUnreachableTrialInterval)
	}
}

// ejectTarget takes the target out of use until its next trial, unless too many
// targets of the pool are ejected already. minInterval is the shortest time until
// the trial.
func (s *Scheduler) ejectTarget(t *target, reason string, minInterval time.Duration) {
	if t.state() != Live && t.state() != Trial {
		return
	}
	if t.state() == Live && !t.pool.canEject() {
		return
	}
	t.trialInterval = min(max(2*t.trialInterval, minInterval), maxTrialInterval)
	t.trialAt = s.now.Add(t.trialInterval)
	s.changeTargetState(t, targetEject, reason)
	s.emit(CloseIdle{Target: t.name})
}

// canEject reports whether one more target may be ejected.
func (p *pool) canEject() bool {
	unusable := 1
	for _, t := range p.targets {
		if t.state() == Ejected || t.state() == Trial || t.ejector != "" {
			unusable++
		}
	}
	return unusable < len(p.targets) && float64(unusable) <= max(1, maxEjectedFraction*float64(len(p.targets)))
}

// reviewTarget updates one target by time: it ends or starts Departing, starts a
// trial that is due and ejects the target if its tasks take too long.
func (s *Scheduler) reviewTarget(t *target) {
	s.updateLeaving(t)
	if t.state() == Ejected && !s.now.Before(t.trialAt) {
		s.startTrial(t)
	}
	t.inFlightSuspicion = 0
	for _, f := range t.runs {
		t.inFlightSuspicion += max(0, float64(t.pool.estimates.SurpriseLevel(f.kind, s.now.Sub(f.sentAt)))-surpriseAllowance)
	}
	ownSuspicion := t.suspicion + t.inFlightSuspicion
	if ownSuspicion >= suspicionStep && ownSuspicion+t.peerSuspicion >= ejectSuspicion+meanSuspicionFactor*t.pool.meanSuspicion() {
		s.ejectTarget(t, "slow", minTrialInterval)
	}
}

// meanSuspicion returns the mean suspicion of the pool's live targets. If all
// targets are suspicious, the expected run times are wrong and not the targets.
func (p *pool) meanSuspicion() float64 {
	sum, n := 0.0, 0.0
	for _, t := range p.targets {
		if t.isShared() {
			sum += t.suspicion + t.inFlightSuspicion + t.peerSuspicion
			n++
		}
	}
	return sum / max(n, 1)
}

// startTrial starts a trial. Of all hosts that eject a target, only the first by
// name runs trials; the others follow its result.
func (s *Scheduler) startTrial(t *target) {
	if t.ejector != "" && t.ejector < s.Host {
		t.trialAt = s.now.Add(t.trialInterval)
		return
	}
	s.changeTargetState(t, targetStartTrial, "trial is due")
}

// removeRun removes the run of a task that has ended.
func (t *target) removeRun(j *job, index int) {
	for i, f := range t.runs {
		if f.job == j && f.index == index {
			last := len(t.runs) - 1
			t.runs[i] = t.runs[last]
			t.runs[last] = nil
			t.runs = t.runs[:last]
			return
		}
	}
}

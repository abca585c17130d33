package scheduler

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// target is one back end as this host sees it.
type target struct {
	name      string
	address   string
	pool      *pool
	machine   *fsm.FSM
	current   State
	why       string    // why it is in that state
	listed    bool      // the directory says that it is leaving
	told      time.Time // its own word that it is leaving holds until then
	warned    time.Time // a peer's first-hand word that it is leaving holds until then
	slots     int
	own       int // this host's tasks in flight
	others    int // the peers' tasks in flight, as last reported
	held      int // slots in this host's range
	owed      int // peers' tasks in flight outside of the peers' ranges
	yielded   int // slots in the range of the peer that is looked at
	busy      int // refusals in a row
	full      int // the peers' tasks that the last refusal proves
	fullUntil time.Time
	flights   []*flight

	failures   int // failed jobs in a row
	lastFailed uint64
	unsent     int     // failures to reach it in a row
	ratio      float64 // run time over the expected one, smoothed
	doubt      float64 // surprise of the tasks that ended, beyond the usual
	flying     float64 // surprise of the tasks in flight, beyond the usual
	doubted    float64 // the peers' doubt, as last reported
	retryAt    time.Time
	interval   time.Duration
	ejector    string // the least name among the peers that eject it
	followed   bool   // a peer with a lesser name ejected it, and decides
}

// flight is one task that is running at a target.
type flight struct {
	job   *job
	index int
	sent  time.Time
	kind  string
}

const (
	// failureStreak is the number of different jobs that must fail in a row
	// before a target is ejected.
	failureStreak = 3
	// unsentStreak is the number of failed connections in a row that eject.
	unsentStreak = 2
	// ratioCap bounds what one run time adds to the smoothed slowness.
	ratioCap = 3
	// ratioGain is the weight of one run time in the smoothed slowness.
	ratioGain = 0.1
	// usualSurprise is subtracted from the surprise of each task; on a healthy
	// target the mean is below 1.
	usualSurprise = 2
	// slowDoubt is the doubt of all hosts together that ejects a target.
	slowDoubt = 16
	// usualDoubt is how many times the mean doubt about all targets is allowed
	// to each beside that.
	usualDoubt = 2
	// doubtStep is the grain in which hosts report their doubt.
	doubtStep = 4
	// trialSurprise is the most that a task of a passed trial may surprise.
	trialSurprise = 3
	// firstTrial and lastTrial bound the growing interval between trials.
	firstTrial = 10 * time.Second
	lastTrial  = 5 * time.Minute
	// unsentTrial is the first interval for a target that cannot be reached,
	// whose trial costs no job.
	unsentTrial = time.Second
	// ejectedPart bounds the part of a pool's targets that may be ejected.
	ejectedPart = 1.0 / 3
	// leaveMemory is how long the word that a target is leaving holds, its own or
	// a peer's. It outlasts the peer (#4).
	leaveMemory = 5 * time.Minute
	// firstFull and lastFull bound the growing time for which a busy answer
	// proves that the peers hold the target's other slots.
	firstFull = 50 * time.Millisecond
	lastFull  = 400 * time.Millisecond
)

func newTarget(name string, p *pool) *target {
	return &target{
		name: name, pool: p, slots: p.service.Slots, ratio: 1,
		machine: transitioner.Build(Live, targetRules...), current: Live,
	}
}

// state returns the state of the machine, which takes a lock to be asked.
func (t *target) state() State { return t.current }

// usable reports whether the target may take new tasks.
func (t *target) usable() bool {
	switch t.state() {
	case Live:
		return t.ejector == ""
	case Trial, Departing, Ejected:
	}
	return false
}

// counted reports whether the target's slots are shared out.
func (t *target) counted() bool { return t.state() == Live && t.ejector == "" }

// free returns the slots of this host's range that it does not use. A peer's task
// may still be there; the target then holds the next one until it ends. What a
// busy answer has proved counts against it.
func (t *target) free(now time.Time) int {
	free := t.held - t.own
	if now.Before(t.fullUntil) {
		free = min(free, t.slots-t.own-t.full)
	}
	return free
}

// refuse records a busy answer.
func (t *target) refuse(now time.Time) {
	t.full = t.slots - t.own
	t.fullUntil = now.Add(min(firstFull<<min(t.busy, 3), lastFull))
	t.busy++
}

// shift moves the target to another state and logs it.
func (s *Scheduler) shift(t *target, event targetEvent, reason string) {
	if !t.machine.Can(string(event)) {
		return
	}
	if err := t.machine.Event(context.Background(), string(event)); err != nil {
		s.violate("target life cycle", "%s of %s: %v", event, t.name, err)
		return
	}
	t.current, t.why = State(t.machine.Current()), reason
	t.pool.outdated = true
	s.urgent = true
	s.emit(Decide{Action: Mark, Target: t.name, Outcome: "", Reason: string(event) + " " + reason})
}

// settle moves a target into or out of Departing by all that was told of it.
func (s *Scheduler) settle(t *target) {
	leaving := t.listed || s.now.Before(t.warned) || s.now.Before(t.told) || s.config.Targets.Has(t.name)
	if leaving && t.state() != Departing {
		s.shift(t, targetLeave, "told to leave")
		s.emit(Retire{Target: t.name})
	}
	if !leaving && t.state() == Departing {
		s.shift(t, targetReturn, "listed as live")
	}
}

// succeed records a task that the target ran, with its slowness and surprise.
func (s *Scheduler) succeed(t *target, ratio float64, surprise int) {
	t.failures, t.unsent, t.busy = 0, 0, 0
	t.ratio += (min(ratio, ratioCap) - t.ratio) * ratioGain
	t.doubt = max(0, t.doubt+float64(surprise)-usualSurprise)
	if t.state() != Trial {
		return
	}
	if surprise <= trialSurprise {
		s.restore(t, "passed its trial")
		return
	}
	s.eject(t, "slow in its trial", firstTrial)
}

// restore makes an ejected target live again.
func (s *Scheduler) restore(t *target, reason string) {
	t.ratio, t.doubt, t.failures, t.unsent = 1, 0, 0, 0
	t.interval = 0
	s.shift(t, targetPass, reason)
}

// blame records a job that failed on the target. A client whose jobs fail
// everywhere says nothing about the target.
func (s *Scheduler) blame(t *target, j *job) {
	if t.lastFailed == j.number && t.state() != Trial {
		return
	}
	t.lastFailed = j.number
	t.failures++
	s.blames(j).fail(t.name)
	if s.blames(j).hopeless() {
		return
	}
	if t.state() == Trial || t.failures >= failureStreak {
		s.eject(t, "fails what it starts", firstTrial)
	}
}

// unreached records that no connection to the target was made.
func (s *Scheduler) unreached(t *target) {
	t.unsent++
	if t.state() == Trial || t.unsent >= unsentStreak {
		s.eject(t, "cannot be reached", unsentTrial)
	}
}

// eject takes the target out of use until a trial, unless too many are out.
func (s *Scheduler) eject(t *target, reason string, first time.Duration) {
	if t.state() != Live && t.state() != Trial {
		return
	}
	if t.state() == Live && !t.pool.mayEject() {
		return
	}
	t.interval = min(max(2*t.interval, first), lastTrial)
	t.retryAt = s.now.Add(t.interval)
	s.shift(t, targetEject, reason)
	s.emit(Retire{Target: t.name})
}

// mayEject reports whether one more target may be ejected.
func (p *pool) mayEject() bool {
	out := 1
	for _, t := range p.targets {
		if t.state() == Ejected || t.state() == Trial || t.ejector != "" {
			out++
		}
	}
	return out < len(p.targets) && float64(out) <= max(1, ejectedPart*float64(len(p.targets)))
}

// review looks at one target's overdue tasks and trial time.
func (s *Scheduler) review(t *target) {
	s.settle(t)
	if t.state() == Ejected && !s.now.Before(t.retryAt) {
		s.retry(t)
	}
	t.flying = 0
	for _, f := range t.flights {
		t.flying += max(0, float64(t.pool.estimates.Surprise(f.kind, s.now.Sub(f.sent)))-usualSurprise)
	}
	own := t.doubt + t.flying
	if own >= doubtStep && own+t.doubted >= slowDoubt+usualDoubt*t.pool.doubt() {
		s.eject(t, "slow", firstTrial)
	}
}

// doubt returns the mean doubt about the pool's live targets. When all are
// doubted, the expected run times are wrong and not the targets.
func (p *pool) doubt() float64 {
	sum, n := 0.0, 0.0
	for _, t := range p.targets {
		if t.counted() {
			sum += t.doubt + t.flying + t.doubted
			n++
		}
	}
	return sum / max(n, 1)
}

// retry starts a trial. Of all hosts that eject a target only the one with the
// least name tries it; the others follow that host's verdict.
func (s *Scheduler) retry(t *target) {
	if t.ejector != "" && t.ejector < s.Host {
		t.retryAt = s.now.Add(t.interval)
		return
	}
	s.shift(t, targetTry, "trial is due")
}

// land takes a finished task out of the target's flights.
func (t *target) land(j *job, index int) {
	for i, f := range t.flights {
		if f.job == j && f.index == index {
			last := len(t.flights) - 1
			t.flights[i] = t.flights[last]
			t.flights[last] = nil
			t.flights = t.flights[:last]
			return
		}
	}
}

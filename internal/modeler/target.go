package modeler

import (
	"fmt"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// target is a simulated target with leases, a fencing token and a limited capacity.
type target struct {
	sim         *Simulation
	entry       router.Target
	slowFactor  float64 // factor of run times
	coldUntil   time.Time
	coldFactor  float64 // factor of the run times of runs that start before coldUntil
	up          bool
	incarnation int
	// drift is the relative error of the target's clock.
	drift         float64
	token         uint64
	leaseEnd      time.Time
	runs          map[string]*run
	unackedEnds   []router.End
	lastEndNumber int
	closedRuns    map[string]int // by task ID, the highest number of a run that ended or was stopped
	used          router.Resources
	// capacity is the present capacity. entry.Capacity follows it at the next heartbeat.
	capacity, defaultCapacity router.Resources
	earlierEntries            []earlierEntry
	mode                      mode
	late                      lateness
	waitingRenewals           []func()
}

// mode is the way in which a target misbehaves.
type mode string

const (
	normal  mode = ""
	failing mode = "failing" // every new run fails after 1 ms
	hanging mode = "hanging" // new runs never end, and all runs report no progress
	slowed  mode = "slowed"  // new runs take six times as long
)

type run struct {
	taskID    string
	number    int
	need      router.Resources
	startedAt time.Time
	duration  time.Duration
	ended     bool
	// reason is how the run ends, and schedule counts the schedules of its end.
	reason   router.EndReason
	schedule int
	// interference is the present factor on the run time, 0 for a run whose end is not scheduled. done
	// is the part of the run that was done at speedChangedAt.
	interference   float64
	done           float64
	speedChangedAt time.Time
}

// orderHandler executes an order at a target and returns the result.
type orderHandler func() router.StartResult

func (sm *Simulation) addTarget(id, zone string, index int) {
	capacity, slowFactor, label := sm.Size.TargetCapacity, 1.0, "a"
	if index%3 == 2 {
		capacity.CPU, capacity.Memory = capacity.CPU*3/2, capacity.Memory*3/2
		slowFactor, label = sm.Size.SlowFactor, "b"
	}
	if factors := sm.Size.RunTimeFactors; len(factors) > 0 {
		slowFactor *= factors[len(sm.targets)%len(factors)]
	}
	t := &target{
		sim: sm, slowFactor: slowFactor, defaultCapacity: capacity, drift: (sm.random.Float64() - 0.5) * 0.04,
		entry: router.Target{
			ID: id, Address: "10.128.0.1:1", Service: "work", Zone: zone, Capacity: capacity, Labels: []string{label, "rack"},
		},
	}
	sm.targets[id] = t
	sm.targetIDs = append(sm.targetIDs, id)
	t.startProcess()
}

func (t *target) startProcess() {
	t.up, t.mode = true, normal
	t.incarnation++
	t.token, t.leaseEnd, t.lastEndNumber, t.used = 0, time.Time{}, 0, router.Resources{}
	t.runs, t.closedRuns, t.unackedEnds, t.waitingRenewals = make(map[string]*run), make(map[string]int), nil, nil
	t.entry.StartedAt = t.sim.now.UnixMilli()
	t.entry.Draining = false
	t.capacity = t.defaultCapacity
	t.showCapacity()
	t.sim.store.listTarget(t)
}

// kill ends the target and all its runs. The store drops its entry after 4 s unless it has
// started again.
func (t *target) kill() {
	t.up = false
	t.incarnation++
	for _, r := range t.runs {
		t.sim.lossesOf(r.taskID).crashed++
		t.sim.recordEnd(t, r)
	}
	t.runs = make(map[string]*run)
	t.sim.schedule(4*time.Second, func() {
		if !t.up {
			t.sim.store.unlistTarget(t)
		}
	})
}

// clock returns the reading of the target's monotonic clock, which drifts, in milliseconds. It starts
// anew with each process if Simulation.OutlivingOrders is set.
func (t *target) clock() int64 {
	start := time.Unix(epoch, 0)
	if t.sim.OutlivingOrders {
		start = time.UnixMilli(t.entry.StartedAt)
	}
	elapsed := float64(t.sim.now.Sub(start)) * (1 + t.drift)
	return int64(elapsed) / int64(time.Millisecond)
}

// extendLease extends the lease to a time of the target's clock in milliseconds, or not at
// all for 0. All runs end when the lease expires.
func (t *target) extendLease(until int64) {
	if until == 0 {
		return
	}
	remaining := time.Duration(until-t.clock()) * time.Millisecond
	remaining = min(remaining, t.sim.Bounds.LeaseDuration)
	if end := t.sim.now.Add(time.Duration(float64(remaining) / (1 + t.drift))); end.After(t.leaseEnd) {
		t.leaseEnd = end
		incarnation := t.incarnation
		t.sim.schedule(end.Sub(t.sim.now), func() {
			if t.incarnation == incarnation && !t.sim.now.Before(t.leaseEnd) {
				t.expireLease()
			}
		})
	}
}

func (t *target) expireLease() {
	for _, r := range t.sortedRuns() {
		t.endRun(r, router.EndLeaseExpired)
	}
}

func (t *target) sortedRuns() []*run {
	var runs []*run
	for _, name := range sortedKeys(t.runs) {
		runs = append(runs, t.runs[name])
	}
	return runs
}

// acceptToken reports whether a token is at least as high as all earlier tokens, and stores
// it if so.
func (t *target) acceptToken(token uint64) bool {
	if token < t.token {
		return false
	}
	t.token = token
	return true
}

func (t *target) handleStart(h *host, e router.Start) orderHandler {
	return func() router.StartResult {
		sim := t.sim
		switch {
		case e.Process.StartedAt != 0 && e.Process.StartedAt != t.entry.StartedAt && !sim.outlivesProcess():
			return router.Restarted
		case !t.acceptToken(e.Token):
			return router.Fenced
		case t.runs[e.Task] != nil && t.runs[e.Task].number == e.Run:
			t.extendLease(e.LeaseEnd)
			return router.Running
		case e.Run <= t.closedRuns[e.Task]:
			t.extendLease(e.LeaseEnd)
			return router.StaleRun
		case e.LeaseEnd <= t.clock():
			return router.OrderExpired
		}
		t.extendLease(e.LeaseEnd)
		job := sim.jobOf(e.Task)
		need := job.Need
		sim.checkCapacity(t, h, e.Task, need)
		if !sim.UnguardedTargets && !t.capacity.Minus(t.used).Fits(need) {
			return router.NoCapacity
		}
		sim.recordStart(t, h, e)
		if former := t.runs[e.Task]; former != nil { // the violation is recorded
			former.ended, t.used = true, t.used.Minus(former.need)
		}
		r := &run{taskID: e.Task, number: e.Run, need: need, startedAt: sim.now, duration: sim.runTimeOf(e.Task, t)}
		t.runs[e.Task] = r
		t.used = addResources(t.used, need)
		if sim.isDeadly(e.Task) {
			sim.scheduleCrash(t, r)
		}
		t.scheduleEnd(r)
		return router.Running
	}
}

// scheduleEnd schedules the end of a run according to the mode of the target.
func (t *target) scheduleEnd(r *run) {
	sim := t.sim
	reason, duration := router.EndDone, r.duration
	switch t.mode {
	case failing:
		reason, duration = router.EndFailed, time.Millisecond
	case hanging:
		return
	case slowed:
		duration *= 6
		r.duration = duration
	}
	if sim.now.Before(t.coldUntil) {
		duration = time.Duration(float64(duration) * t.coldFactor)
		r.duration = duration
	}
	r.reason, r.interference, r.speedChangedAt = reason, 1, sim.now
	t.scheduleEndAfter(r, duration)
	t.updateSpeeds()
}

func addResources(a, b router.Resources) router.Resources {
	return router.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, GPU: a.GPU + b.GPU}
}

// endRun ends a run, records the reason and answers the renewals that wait for an end.
func (t *target) endRun(r *run, reason router.EndReason) {
	if r.ended || t.runs[r.taskID] != r {
		return
	}
	r.ended = true
	delete(t.runs, r.taskID)
	t.updateSpeeds()
	t.used = t.used.Minus(r.need)
	t.closedRuns[r.taskID] = max(t.closedRuns[r.taskID], r.number)
	t.lastEndNumber++
	t.unackedEnds = append(t.unackedEnds, router.End{Number: t.lastEndNumber, Task: r.taskID, Run: r.number, Reason: reason})
	t.sim.recordEnd(t, r)
	switch reason {
	case router.EndDone:
		t.sim.recordFinishedTask(r.taskID)
	case router.EndFailed:
		t.sim.lossesOf(r.taskID).failed++
	}
	waiting := t.waitingRenewals
	t.waitingRenewals = nil
	for _, wake := range waiting {
		wake()
	}
}

func (t *target) handleStop(e router.Stop) orderHandler {
	return func() router.StartResult {
		if !t.acceptToken(e.Token) {
			return router.Fenced
		}
		t.closedRuns[e.Task] = max(t.closedRuns[e.Task], e.Run)
		if r := t.runs[e.Task]; r != nil && r.number <= e.Run {
			t.sim.schedule(t.sim.Bounds.StopDuration/2, func() { t.endRun(r, router.EndStopped) })
		}
		return router.Running
	}
}

// renewalAnswer returns the answer to a renewal, with the ends that are not acknowledged
// and the current runs. Acknowledged ends are dropped.
func (t *target) renewalAnswer(e router.Renew, sentAt time.Time) router.RenewAnswered {
	var unacked []router.End
	for _, end := range t.unackedEnds {
		if end.Number > e.Acked {
			unacked = append(unacked, end)
		}
	}
	t.unackedEnds = unacked
	answer := router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sentAt, Poll: e.Poll, LeaseEnd: e.LeaseEnd, Result: router.Running, StartedAt: t.entry.StartedAt, Ended: unacked}
	for _, r := range t.sortedRuns() {
		percent := 0.0
		if t.mode != hanging {
			percent = min(99, t.doneShare(r)*100)
		}
		answer.Running = append(answer.Running, router.RunningTask{Task: r.taskID, Run: r.number, Percent: float64(int(percent))})
	}
	return answer
}

// sendOrder simulates the delivery of an order, its execution at the target and the answer.
func (sm *Simulation) sendOrder(h *host, to router.Target, timeout time.Duration, handlerOf func(*target) orderHandler, reply func(router.StartResult, router.Reading) router.Event) {
	answered := false
	answer := func(result router.StartResult, clock router.Reading) {
		if !answered {
			answered = true
			h.step(reply(result, clock))
		}
	}
	h.schedule(timeout, func() { answer(router.NoAnswer, router.Reading{}) })
	t := sm.targets[to.ID]
	if t == nil || !sm.canReach(h.name, h.zone, t.entry.ID, t.entry.Zone) {
		return
	}
	delay, sentAt := sm.delay(h.zone, t.entry.Zone), sm.now
	silent := h.takeSilentConnection(to.ID)
	if silent && !h.silent.answersOnly {
		return
	}
	if sm.executeLate(t, delay, func() { handlerOf(t)() }) {
		return
	}
	sm.schedule(delay, func() {
		if !t.up {
			h.schedule(delay, func() { answer(router.NotSent, router.Reading{}) })
			return
		}
		result := handlerOf(t)()
		millis := t.clock()
		if sm.canReach(t.entry.ID, t.entry.Zone, h.name, h.zone) && !sm.dropsAnswer() && !silent && !h.isMuted(sentAt) {
			h.schedule(delay, func() { answer(result, router.Reading{Millis: millis, At: h.clock()}) })
		}
	})
}

// outlivesProcess reports whether the call that a target executes may have been sent to an earlier process.
// The process that a Start is for was compared before it was sent then.
func (sm *Simulation) outlivesProcess() bool { return sm.executesLate && sm.OutlivingOrders }

// executeLate draws whether a target executes a call some seconds late and does not answer it. The
// call is lost if the target's process has ended by then, except with OutlivingOrders if there is a later one.
func (sm *Simulation) executeLate(t *target, delay time.Duration, execute func()) bool {
	if sm.random.Float64() >= max(sm.LateOrderShare, t.late.share) {
		return false
	}
	incarnation, outlives := t.incarnation, sm.OutlivingOrders && t.up
	sm.schedule(delay+t.drawLateness(), func() {
		if t.up && (t.incarnation == incarnation || outlives) {
			sm.executesLate = true
			execute()
			sm.executesLate = false
		}
	})
	return true
}

// dropsAnswer draws whether the answer to an order or a renewal is lost.
func (sm *Simulation) dropsAnswer() bool {
	return sm.LostAnswerShare > 0 && sm.random.Float64() < sm.LostAnswerShare
}

// sendRenewal simulates a renewal, whose answer may wait for the end of a run. sentAt is when the
// host's router ordered it, and end is called when it has been answered or has timed out.
func (sm *Simulation) sendRenewal(h *host, e router.Renew, sentAt time.Time, end func()) {
	answered := false
	answer := func(event router.RenewAnswered) {
		if !answered {
			answered = true
			end()
			h.step(event)
		}
	}
	h.schedule(e.Timeout, func() {
		answer(router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sentAt, Poll: e.Poll, Result: router.NoAnswer})
	})
	t := sm.targets[e.Target.ID]
	if t == nil || !sm.canReach(h.name, h.zone, t.entry.ID, t.entry.Zone) {
		return
	}
	delay, realSentAt := sm.delay(h.zone, t.entry.Zone), sm.now
	silent := h.takeSilentConnection(e.Target.ID)
	if silent && !h.silent.answersOnly {
		return
	}
	if t.executeRenewalLate(e, delay) {
		return
	}
	sm.schedule(delay, func() {
		if !t.up {
			return
		}
		if !t.acceptToken(e.Token) {
			if silent || h.isMuted(realSentAt) {
				return
			}
			h.schedule(delay, func() {
				answer(router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sentAt, Poll: e.Poll, Result: router.Fenced})
			})
			return
		}
		t.extendLease(e.LeaseEnd)
		reply := func() {
			if !sm.canReach(t.entry.ID, t.entry.Zone, h.name, h.zone) || sm.dropsAnswer() || silent || h.isMuted(realSentAt) {
				return
			}
			event := t.renewalAnswer(e, sentAt)
			millis := t.clock()
			h.schedule(delay, func() {
				event.Clock = router.Reading{Millis: millis, At: h.clock()}
				answer(event)
			})
		}
		t.answerRenewal(e, reply)
	})
}

// renewUnanswered executes a renewal whose answer nobody receives.
func (t *target) renewUnanswered(e router.Renew) {
	if t.acceptToken(e.Token) {
		t.extendLease(e.LeaseEnd)
		t.renewalAnswer(e, time.Time{})
	}
}

// answerRenewal answers a renewal immediately if it does not wait or if there are ends to
// report, otherwise at the next end of a run or when its waiting time is over.
func (t *target) answerRenewal(e router.Renew, reply func()) {
	isReady := e.Wait == 0
	for _, end := range t.unackedEnds {
		isReady = isReady || end.Number > e.Acked
	}
	if isReady {
		reply()
		return
	}
	incarnation, hasReplied := t.incarnation, false
	replyOnce := func() {
		if !hasReplied && t.incarnation == incarnation {
			hasReplied = true
			reply()
		}
	}
	t.waitingRenewals = append(t.waitingRenewals, replyOnce)
	t.sim.schedule(e.Wait, replyOnce)
}

// recordStart records the start of a run and checks that the task has no other run.
func (sm *Simulation) recordStart(t *target, h *host, e router.Start) {
	if at := sm.runningTasks[e.Task]; at != "" {
		sm.recordViolation("two runs of %s: at %s, and run %d at %s by %s", e.Task, at, e.Run, t.entry.ID, h.name)
	}
	sm.checkEvacuation(t, h, e.Task)
	sm.checkCrashes(t, h, e.Task)
	sm.runningTasks[e.Task] = fmt.Sprintf("%s run %d by %s at %.3f", t.entry.ID, e.Run, h.name, sm.now.Sub(sm.loadStart).Seconds())
	sm.startCounts[jobID(e.Task)]++
	sm.Results.Starts++
}

func (sm *Simulation) recordEnd(_ *target, r *run) { delete(sm.runningTasks, r.taskID) }

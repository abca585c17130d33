package modeler

import (
	"fmt"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// target is a simulated target with leases, a fencing token and a limited capacity.
type target struct {
	world       *World
	entry       router.Target
	slow        float64 // factor of run times
	up          bool
	incarnation int
	// drift is the relative error of the target's clock.
	drift           float64
	token           uint64
	leaseEnd        time.Time
	runs            map[string]*run
	unackedEnds     []router.End
	lastEndNumber   int
	closedRuns      map[string]int // by task, the highest number of a run that ended or was stopped
	used            router.Resources
	mode            mode
	waitingRenewals []func()
}

// mode is the way in which a target misbehaves.
type mode string

const (
	normal  mode = ""
	failing mode = "failing" // every task fails at once
	hanging mode = "hanging" // tasks make no progress
	slowed  mode = "slowed"  // tasks take six times as long
)

type run struct {
	task      string
	number    int
	need      router.Resources
	startedAt time.Time
	duration  time.Duration
	ended     bool
}

// orderHandler executes an order at a target and returns the result.
type orderHandler func() router.StartResult

func (w *World) addTarget(id, zone string, index int) {
	capacity, slow, label := w.Layout.Room, 1.0, "a"
	if index%3 == 2 {
		capacity.CPU, capacity.Memory = capacity.CPU*3/2, capacity.Memory*3/2
		slow, label = w.Layout.SlowFactor, "b"
	}
	t := &target{
		world: w, slow: slow, drift: (w.random.Float64() - 0.5) * 0.04,
		entry: router.Target{
			ID: id, Address: "10.128.0.1:1", Service: "work", Zone: zone, Capacity: capacity, Labels: []string{label, "rack"},
		},
	}
	w.targets[id] = t
	w.targetIDs = append(w.targetIDs, id)
	t.startProcess()
}

func (t *target) startProcess() {
	t.up, t.mode = true, normal
	t.incarnation++
	t.token, t.leaseEnd, t.lastEndNumber, t.used = 0, time.Time{}, 0, router.Resources{}
	t.runs, t.closedRuns, t.unackedEnds, t.waitingRenewals = make(map[string]*run), make(map[string]int), nil, nil
	t.entry.StartedAt = t.world.now.UnixMilli()
	t.entry.Draining = false
	t.world.store.listTarget(t)
}

// kill ends the target and all its runs. The store drops its entry after 4 s unless it has
// started again.
func (t *target) kill() {
	t.up = false
	t.incarnation++
	for _, r := range t.runs {
		t.world.recordEnd(t, r)
	}
	t.runs = make(map[string]*run)
	t.world.schedule(4*time.Second, func() {
		if !t.up {
			t.world.store.unlistTarget(t)
		}
	})
}

// clock returns the reading of the target's monotonic clock, which drifts, in milliseconds.
func (t *target) clock() int64 {
	elapsed := float64(t.world.now.Sub(time.Unix(epoch, 0))) * (1 + t.drift)
	return int64(elapsed) / int64(time.Millisecond)
}

// extendLease extends the lease to a time of the target's clock in milliseconds, or not at
// all for 0. All runs end when the lease expires.
func (t *target) extendLease(until int64) {
	if until == 0 {
		return
	}
	remaining := time.Duration(until-t.clock()) * time.Millisecond
	remaining = min(remaining, t.world.Bounds.LeaseDuration)
	if end := t.world.now.Add(time.Duration(float64(remaining) / (1 + t.drift))); end.After(t.leaseEnd) {
		t.leaseEnd = end
		incarnation := t.incarnation
		t.world.schedule(end.Sub(t.world.now), func() {
			if t.incarnation == incarnation && !t.world.now.Before(t.leaseEnd) {
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

// acceptToken reports whether a token is at least as high as any before, and stores it if so.
func (t *target) acceptToken(token uint64) bool {
	if token < t.token {
		return false
	}
	t.token = token
	return true
}

func (t *target) handleStart(h *host, e router.Start) orderHandler {
	return func() router.StartResult {
		w := t.world
		switch {
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
		job := w.jobOf(e.Task)
		need := job.Need
		if !t.entry.Capacity.Minus(t.used).Fits(need) {
			return router.NoCapacity
		}
		w.recordStart(t, h, e)
		r := &run{task: e.Task, number: e.Run, need: need, startedAt: w.now, duration: w.runTimeOf(e.Task, t)}
		t.runs[e.Task] = r
		t.used = addResources(t.used, need)
		t.scheduleEnd(r)
		return router.Running
	}
}

// scheduleEnd schedules the end of a run according to the mode of the target.
func (t *target) scheduleEnd(r *run) {
	w := t.world
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
	w.schedule(duration, func() {
		if t.runs[r.task] == r {
			t.endRun(r, reason)
		}
	})
}

func addResources(a, b router.Resources) router.Resources {
	return router.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, GPU: a.GPU + b.GPU}
}

// endRun ends a run, records the reason and answers the renewals that wait for an end.
func (t *target) endRun(r *run, reason router.EndReason) {
	if r.ended || t.runs[r.task] != r {
		return
	}
	r.ended = true
	delete(t.runs, r.task)
	t.used = t.used.Minus(r.need)
	t.closedRuns[r.task] = max(t.closedRuns[r.task], r.number)
	t.lastEndNumber++
	t.unackedEnds = append(t.unackedEnds, router.End{Number: t.lastEndNumber, Task: r.task, Run: r.number, Reason: reason})
	t.world.recordEnd(t, r)
	if reason == router.EndDone {
		t.world.recordFinishedTask(r.task)
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
			t.world.schedule(t.world.Bounds.StopDuration/2, func() { t.endRun(r, router.EndStopped) })
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
	answer := router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sentAt, Poll: e.Poll, Result: router.Running, StartedAt: t.entry.StartedAt, Ended: unacked}
	for _, r := range t.sortedRuns() {
		percent := 0.0
		if t.mode != hanging {
			percent = min(99, float64(t.world.now.Sub(r.startedAt))/float64(r.duration)*100)
		}
		answer.Running = append(answer.Running, router.RunningTask{Task: r.task, Run: r.number, Percent: float64(int(percent))})
	}
	return answer
}

// sendOrder simulates an order: its way to the target, its execution, and the answer.
func (w *World) sendOrder(h *host, to router.Target, timeout time.Duration, handlerOf func(*target) orderHandler, reply func(router.StartResult, router.Reading) router.Event) {
	answered := false
	answer := func(result router.StartResult, clock router.Reading) {
		if !answered {
			answered = true
			h.step(reply(result, clock))
		}
	}
	h.schedule(timeout, func() { answer(router.NoAnswer, router.Reading{}) })
	t := w.targets[to.ID]
	if t == nil || !w.canReach(h.name, h.zone, t.entry.ID, t.entry.Zone) {
		return
	}
	delay := w.delay(h.zone, t.entry.Zone)
	if w.random.Float64() < w.Lost {
		incarnation := t.incarnation
		w.schedule(delay+time.Duration(2+w.random.IntN(10))*time.Second, func() {
			if t.up && t.incarnation == incarnation {
				handlerOf(t)()
			}
		})
		return
	}
	w.schedule(delay, func() {
		if !t.up {
			h.schedule(delay, func() { answer(router.NotSent, router.Reading{}) })
			return
		}
		result := handlerOf(t)()
		millis := t.clock()
		if w.canReach(t.entry.ID, t.entry.Zone, h.name, h.zone) && !w.dropsAnswer() {
			h.schedule(delay, func() { answer(result, router.Reading{Millis: millis, At: w.now}) })
		}
	})
}

// dropsAnswer draws whether the answer to an order or a renewal is lost.
func (w *World) dropsAnswer() bool { return w.Mute > 0 && w.random.Float64() < w.Mute }

// sendRenewal simulates a renewal, whose answer may wait for the end of a run.
func (w *World) sendRenewal(h *host, e router.Renew) {
	sentAt := w.now
	answered := false
	answer := func(event router.RenewAnswered) {
		if !answered {
			answered = true
			h.step(event)
		}
	}
	h.schedule(e.Timeout, func() {
		answer(router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sentAt, Poll: e.Poll, Result: router.NoAnswer})
	})
	t := w.targets[e.Target.ID]
	if t == nil || !w.canReach(h.name, h.zone, t.entry.ID, t.entry.Zone) {
		return
	}
	delay := w.delay(h.zone, t.entry.Zone)
	w.schedule(delay, func() {
		if !t.up {
			return
		}
		if !t.acceptToken(e.Token) {
			h.schedule(delay, func() {
				answer(router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sentAt, Poll: e.Poll, Result: router.Fenced})
			})
			return
		}
		t.extendLease(e.LeaseEnd)
		reply := func() {
			if !w.canReach(t.entry.ID, t.entry.Zone, h.name, h.zone) || w.dropsAnswer() {
				return
			}
			event := t.renewalAnswer(e, sentAt)
			millis := t.clock()
			h.schedule(delay, func() {
				event.Clock = router.Reading{Millis: millis, At: w.now}
				answer(event)
			})
		}
		t.answerRenewal(e, reply)
	})
}

// answerRenewal answers a renewal immediately if it does not wait or there are ends to
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
	t.world.schedule(e.Wait, replyOnce)
}

// recordStart records the start of a run and checks that the task has no other run.
func (w *World) recordStart(t *target, h *host, e router.Start) {
	if at := w.runningTasks[e.Task]; at != "" {
		w.recordViolation("two runs of %s: at %s, and run %d at %s by %s", e.Task, at, e.Run, t.entry.ID, h.name)
	}
	w.runningTasks[e.Task] = fmt.Sprintf("%s run %d by %s at %.3f", t.entry.ID, e.Run, h.name, w.now.Sub(w.start).Seconds())
	w.startCounts[jobID(e.Task)]++
	w.Tally.Starts++
}

func (w *World) recordEnd(_ *target, r *run) { delete(w.runningTasks, r.task) }

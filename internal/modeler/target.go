package modeler

import (
	"fmt"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// target is a model of a target with leases, a fencing token and a bounded room.
type target struct {
	world *World
	entry router.Target
	slow  float64 // factor on run times
	up    bool
	life  int
	// drift is the relative error of its clock.
	drift  float64
	token  uint64
	lease  time.Time
	runs   map[string]*run
	ended  []router.End
	number int
	closed map[string]int // highest run that was stopped or has ended, by task
	used   router.Resources
	mode   mode
	waits  []func()
}

// mode is how a target misbehaves.
type mode string

const (
	fine    mode = ""
	failing mode = "failing" // every task fails at once
	hanging mode = "hanging" // tasks stand still
	slowed  mode = "slowed"  // tasks take six times as long
)

type run struct {
	task   string
	number int
	need   router.Resources
	began  time.Time
	length time.Duration
	over   bool
}

// answerer is what an order does at a target: it returns the result.
type answerer func() router.StartResult

func (w *World) addTarget(id, zone string, index int) {
	room, slow, kind := w.Layout.Room, 1.0, "a"
	if index%3 == 2 {
		room.CPU, room.Memory = room.CPU*3/2, room.Memory*3/2
		slow, kind = w.Layout.SlowFactor, "b"
	}
	t := &target{
		world: w, slow: slow, drift: (w.random.Float64() - 0.5) * 0.04,
		entry: router.Target{
			ID: id, Address: "10.128.0.1:1", Service: "work", Zone: zone, Capacity: room, Labels: []string{kind, "rack"},
		},
	}
	w.targets[id] = t
	w.names = append(w.names, id)
	t.boot()
}

func (t *target) boot() {
	t.up, t.mode = true, fine
	t.life++
	t.token, t.lease, t.number, t.used = 0, time.Time{}, 0, router.Resources{}
	t.runs, t.closed, t.ended, t.waits = make(map[string]*run), make(map[string]int), nil, nil
	t.entry.StartedAt = t.world.now.UnixMilli()
	t.entry.Draining = false
	t.world.store.list(t)
}

// kill ends the target and all that runs there.
func (t *target) kill() {
	t.up = false
	t.life++
	for _, n := range t.runs {
		t.world.ends(t, n)
	}
	t.runs = make(map[string]*run)
	t.world.after(4*time.Second, func() {
		if !t.up {
			t.world.store.unlist(t)
		}
	})
}

// clock returns the target's clock in milliseconds; its steady clock is off by
// the drift.
func (t *target) clock() int64 {
	since := float64(t.world.now.Sub(time.Unix(epoch, 0))) * (1 + t.drift)
	return int64(since) / int64(time.Millisecond)
}

// extend takes a lease that ends on the target's clock.
func (t *target) extend(until int64) {
	if until == 0 {
		return
	}
	left := time.Duration(until-t.clock()) * time.Millisecond
	left = min(left, t.world.Bounds.LeaseDuration)
	if end := t.world.now.Add(time.Duration(float64(left) / (1 + t.drift))); end.After(t.lease) {
		t.lease = end
		life := t.life
		t.world.after(end.Sub(t.world.now), func() {
			if t.life == life && !t.world.now.Before(t.lease) {
				t.lapse()
			}
		})
	}
}

func (t *target) lapse() {
	for _, n := range t.sorted() {
		t.end(n, router.EndLeaseExpired)
	}
}

func (t *target) sorted() []*run {
	var list []*run
	for _, name := range sortedNames(t.runs) {
		list = append(list, t.runs[name])
	}
	return list
}

// fence takes a token and reports whether it is in force.
func (t *target) fence(token uint64) bool {
	if token < t.token {
		return false
	}
	t.token = token
	return true
}

func (t *target) start(h *host, e router.Start) answerer {
	return func() router.StartResult {
		w := t.world
		switch {
		case !t.fence(e.Token):
			return router.Fenced
		case t.runs[e.Task] != nil && t.runs[e.Task].number == e.Run:
			t.extend(e.LeaseEnd)
			return router.Running
		case e.Run <= t.closed[e.Task]:
			t.extend(e.LeaseEnd)
			return router.StaleRun
		case e.LeaseEnd <= t.clock():
			return router.OrderExpired
		}
		t.extend(e.LeaseEnd)
		job := w.jobOf(e.Task)
		need := job.Need
		if !t.entry.Capacity.Minus(t.used).Fits(need) {
			return router.NoCapacity
		}
		w.begins(t, h, e)
		n := &run{task: e.Task, number: e.Run, need: need, began: w.now, length: w.lengthOf(e.Task, t)}
		t.runs[e.Task] = n
		t.used = add(t.used, need)
		t.schedule(n)
		return router.Running
	}
}

// schedule plans the run's end.
func (t *target) schedule(n *run) {
	w := t.world
	how, length := router.EndDone, n.length
	switch t.mode {
	case failing:
		how, length = router.EndFailed, time.Millisecond
	case hanging:
		return
	case slowed:
		length *= 6
		n.length = length
	}
	w.after(length, func() {
		if t.runs[n.task] == n {
			t.end(n, how)
		}
	})
}

func add(a, b router.Resources) router.Resources {
	return router.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, GPU: a.GPU + b.GPU}
}

// end ends a run and tells those who wait.
func (t *target) end(n *run, how router.EndReason) {
	if n.over || t.runs[n.task] != n {
		return
	}
	n.over = true
	delete(t.runs, n.task)
	t.used = t.used.Minus(n.need)
	t.closed[n.task] = max(t.closed[n.task], n.number)
	t.number++
	t.ended = append(t.ended, router.End{Number: t.number, Task: n.task, Run: n.number, Reason: how})
	t.world.ends(t, n)
	if how == router.EndDone {
		t.world.finished(n.task)
	}
	waits := t.waits
	t.waits = nil
	for _, wake := range waits {
		wake()
	}
}

func (t *target) stop(e router.Stop) answerer {
	return func() router.StartResult {
		if !t.fence(e.Token) {
			return router.Fenced
		}
		t.closed[e.Task] = max(t.closed[e.Task], e.Run)
		if n := t.runs[e.Task]; n != nil && n.number <= e.Run {
			t.world.after(t.world.Bounds.StopDuration/2, func() { t.end(n, router.EndStopped) })
		}
		return router.Running
	}
}

// lists returns the answer to a renewal.
func (t *target) lists(e router.Renew, sent time.Time) router.RenewAnswered {
	var kept []router.End
	for _, end := range t.ended {
		if end.Number > e.Acked {
			kept = append(kept, end)
		}
	}
	t.ended = kept
	answer := router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sent, Poll: e.Poll, Result: router.Running, StartedAt: t.entry.StartedAt, Ended: kept}
	for _, n := range t.sorted() {
		percent := 0.0
		if t.mode != hanging {
			percent = min(99, float64(t.world.now.Sub(n.began))/float64(n.length)*100)
		}
		answer.Running = append(answer.Running, router.RunningTask{Task: n.task, Run: n.number, Percent: float64(int(percent))})
	}
	return answer
}

// deliver carries an order to a target and its answer back.
func (w *World) deliver(h *host, to router.Target, timeout time.Duration, order func(*target) answerer, reply func(router.StartResult, router.Reading) router.Event) {
	answered := false
	answer := func(result router.StartResult, clock router.Reading) {
		if !answered {
			answered = true
			h.step(reply(result, clock))
		}
	}
	h.later(timeout, func() { answer(router.NoAnswer, router.Reading{}) })
	t := w.targets[to.ID]
	if t == nil || !w.passes(h.name, h.zone, t.entry.ID, t.entry.Zone) {
		return
	}
	there := w.delay(h.zone, t.entry.Zone)
	if w.random.Float64() < w.Lost {
		life := t.life
		w.after(there+time.Duration(2+w.random.IntN(10))*time.Second, func() {
			if t.up && t.life == life {
				order(t)()
			}
		})
		return
	}
	w.after(there, func() {
		if !t.up {
			h.later(there, func() { answer(router.NotSent, router.Reading{}) })
			return
		}
		result := order(t)()
		millis := t.clock()
		if w.passes(t.entry.ID, t.entry.Zone, h.name, h.zone) && !w.mutes() {
			h.later(there, func() { answer(result, router.Reading{Millis: millis, At: w.now}) })
		}
	})
}

// mutes reports whether an answer is lost.
func (w *World) mutes() bool { return w.Mute > 0 && w.random.Float64() < w.Mute }

// renew carries a renewal, whose answer may wait for an end.
func (w *World) renew(h *host, e router.Renew) {
	sent := w.now
	answered := false
	answer := func(event router.RenewAnswered) {
		if !answered {
			answered = true
			h.step(event)
		}
	}
	h.later(e.Timeout, func() {
		answer(router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sent, Poll: e.Poll, Result: router.NoAnswer})
	})
	t := w.targets[e.Target.ID]
	if t == nil || !w.passes(h.name, h.zone, t.entry.ID, t.entry.Zone) {
		return
	}
	there := w.delay(h.zone, t.entry.Zone)
	w.after(there, func() {
		if !t.up {
			return
		}
		if !t.fence(e.Token) {
			h.later(there, func() {
				answer(router.RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: sent, Poll: e.Poll, Result: router.Fenced})
			})
			return
		}
		t.extend(e.LeaseEnd)
		reply := func() {
			if !w.passes(t.entry.ID, t.entry.Zone, h.name, h.zone) || w.mutes() {
				return
			}
			event := t.lists(e, sent)
			millis := t.clock()
			h.later(there, func() {
				event.Clock = router.Reading{Millis: millis, At: w.now}
				answer(event)
			})
		}
		t.wait(e, reply)
	})
}

// wait answers a renewal at once when there are ends to tell, otherwise with the
// next end or when its time is over.
func (t *target) wait(e router.Renew, reply func()) {
	ready := e.Wait == 0
	for _, end := range t.ended {
		ready = ready || end.Number > e.Acked
	}
	if ready {
		reply()
		return
	}
	life, replied := t.life, false
	once := func() {
		if !replied && t.life == life {
			replied = true
			reply()
		}
	}
	t.waits = append(t.waits, once)
	t.world.after(e.Wait, once)
}

// begins asserts that no other run of a task goes on.
func (w *World) begins(t *target, h *host, e router.Start) {
	if at := w.live[e.Task]; at != "" {
		w.broken("two runs of %s: at %s, and run %d at %s by %s", e.Task, at, e.Run, t.entry.ID, h.name)
	}
	w.live[e.Task] = fmt.Sprintf("%s run %d by %s at %.3f", t.entry.ID, e.Run, h.name, w.now.Sub(w.start).Seconds())
	w.starts[jobName(e.Task)]++
	w.Tally.Starts++
}

func (w *World) ends(_ *target, n *run) { delete(w.live, n.task) }

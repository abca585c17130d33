package router

import (
	"slices"
	"time"
)

// listing takes the lists of a target's good answer.
func (r *Router) listing(t *target, e RenewAnswered) {
	t.read(e.Clock)
	if e.StartedAt > 0 && t.born > 0 && e.StartedAt != t.born {
		r.reborn(t, e.StartedAt)
	}
	if e.StartedAt > 0 {
		t.born = e.StartedAt
	}
	t.fresh = later(t.fresh, e.SentAt)
	if t.misses > 0 {
		t.misses = 0
		r.logTarget(t, "answers")
	}
	if !t.fenced {
		t.fenced, t.found = true, r.now
		r.logTarget(t, "fenced", "token", t.token, "running", len(e.Running), "ended", len(e.Ended))
	}
	for _, end := range e.Ended {
		if end.Number > t.acked {
			t.acked = end.Number
			r.endOf(t, end)
		}
	}
	r.report()                       // before the next renewal, which lets the target forget the ends
	if e.Clock.Millis >= t.listing { // answers on other connections may overtake
		t.listing = e.Clock.Millis
		r.compare(t, e)
		r.clearOrphans(t)
	}
	r.dirty = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endOf takes one end.
func (r *Router) endOf(t *target, end End) {
	delete(t.orphan, end.Task)
	n := t.runs[end.Task]
	if n != nil && n.number == end.Run {
		r.over(n, end.Reason)
		return
	}
	if end.Reason != EndDone {
		return
	}
	id, index, ok := splitTask(end.Task)
	if !ok {
		return
	}
	if j := r.jobs[id]; j != nil && index < len(j.tasks) {
		r.taskDone(j, index)
		return
	}
	t.finished[end.Task] = end
}

// compare holds what is listed as running against what is known.
func (r *Router) compare(t *target, e RenewAnswered) {
	listed := make(map[string]int, len(e.Running))
	for _, live := range e.Running {
		listed[live.Task] = live.Run
	}
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		if _, there := listed[name]; !there && !n.settled.IsZero() && e.SentAt.After(n.settled) {
			r.over(n, EndLeaseExpired)
		}
	}
	for name := range t.orphan {
		if _, there := listed[name]; !there {
			delete(t.orphan, name)
		}
	}
	for _, live := range e.Running {
		if n := t.runs[live.Task]; n != nil && n.number >= live.Run {
			if n.number == live.Run {
				r.progress(n, live.Percent)
			}
			continue
		}
		r.unknownRun(t, live)
	}
}

// unknownRun takes a run that this host did not start: of an earlier holder, or
// an order that was carried out late.
func (r *Router) unknownRun(t *target, live RunningTask) {
	id, index, ok := splitTask(live.Task)
	if j := r.jobs[id]; ok && j != nil && r.adoptRun(t, j, index, live) {
		return
	}
	t.orphan[live.Task] = live.Run
}

// adoptRun makes a run of an earlier holder one of this host's, if its task
// still needs it.
func (r *Router) adoptRun(t *target, j *job, index int, live RunningTask) bool {
	if index >= len(j.tasks) || j.over || j.tasks[index].state != taskWaiting || j.tasks[index].former.live() {
		return false
	}
	k := &j.tasks[index]
	n := &run{job: j, task: index, number: live.Run, target: t, need: j.spec.Need, state: runRunning, sent: r.now, settled: r.now, clock: t.listing, expect: r.expectAt(j, t), adopted: true}
	n.lookAt = n.due(r.now, firstLook)
	r.move(j, index, taskStart)
	k.run, k.last, j.begun = n, max(k.last, live.Run), true
	t.runs[live.Task] = n
	t.used = t.used.plus(n.need)
	delete(t.orphan, live.Task)
	r.emit(Decision{Action: "takeover", Job: j.spec.ID, Task: live.Task, Target: t.ID, Pairs: []any{"run", live.Run}})
	return true
}

func (r Resources) plus(part Resources) Resources {
	return Resources{CPU: r.CPU + part.CPU, Memory: r.Memory + part.Memory, GPU: r.GPU + part.GPU}
}

// clearOrphans stops runs that nobody has claimed in time.
func (r *Router) clearOrphans(t *target) {
	if len(t.orphan) == 0 || r.now.Sub(t.found) < r.Bounds.OrphanGrace || r.now.Sub(t.swept) < stopRetry {
		return
	}
	t.swept = r.now
	for _, name := range sortedKeys(t.orphan) {
		r.stopOrphan(t, name, t.orphan[name])
	}
	r.look(t)
}

func (r *Router) stopOrphan(t *target, task string, number int) {
	r.emit(Decision{Action: "stop", Task: task, Target: t.ID, Pairs: []any{"run", number, "reason", "nobody waits for it"}})
	r.emit(Stop{Target: t.Target, Token: t.token, Task: task, Run: number, Timeout: r.Bounds.OrderTimeout})
}

// began takes the answer to a start.
func (r *Router) began(e StartAnswered) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	t.read(e.Clock)
	n := t.runs[e.Task]
	if n == nil || n.number != e.Run || n.state != runStarting {
		return
	}
	if e.Result != Running {
		r.emit(Decision{Action: "start", Job: n.job.spec.ID, Task: e.Task, Target: t.ID, Pairs: []any{
			"run", e.Run, "outcome", e.Result, "took", r.since(n.sent),
		}})
	}
	switch {
	case e.Result == Running:
		n.state, n.settled, n.clock = runRunning, r.now, e.Clock.Millis
		r.measure(n.job, Started, n.sent)
		if n.job.over || n.job.tasks[n.task].run != n {
			r.halt(n)
		}
	case e.Result == NoAnswer && r.isRepeatable(n):
		r.repeat(n)
	case e.Result == NoAnswer || n.repeated:
		r.doubt(n, e.Result)
	case e.Result == Invalid:
		r.over(n, EndFailed)
	default:
		r.turnedDown(t, n, e.Result)
	}
	r.dirty = true
}

// isRepeatable reports whether a start that was not answered is ordered once more.
func (r *Router) isRepeatable(n *run) bool {
	return !n.repeated && !n.job.over && r.uses(StartRetry)
}

// repeat orders a start once more that was not answered. The target takes a run
// once only, so a lost answer costs no time.
func (r *Router) repeat(n *run) {
	n.repeated = true
	r.emit(CloseIdle{ID: n.target.ID})
	r.order(n)
}

// doubt takes a run that may have begun, or may begin later: it is stopped, and
// over once a list shows so. What a second order is answered says nothing of the
// first.
func (r *Router) doubt(n *run, result StartResult) {
	t := n.target
	n.state = runDoubtful
	r.halt(n)
	r.emit(CloseIdle{ID: t.ID})
	r.look(t)
	if result == Fenced {
		r.handleFence(t, t.token)
	}
}

// turnedDown takes back a run that its target did not begin.
func (r *Router) turnedDown(t *target, n *run, result StartResult) {
	if result == StaleRun {
		n.job.tasks[n.task].last += runStride
	}
	r.unstarted(n)
	switch result {
	case Fenced:
		r.handleFence(t, t.token)
	case OrderExpired:
		r.look(t)
	case NoCapacity:
		t.barred = later(t.barred, r.now.Add(crowdedFor))
		r.look(t)
	case Unhealthy:
		r.bar(t, unhealthyFor, "unhealthy")
	case NotSent:
		t.misses++
		r.renew(t)
	case Replaced:
		r.replaced(t)
	}
}

// halt orders a run to stop.
func (r *Router) halt(n *run) {
	if n.state == runRunning {
		n.state = runStopping
	}
	n.stopAt = r.now
	n.settled = time.Time{}
	r.emit(Stop{Target: n.target.Target, Token: n.target.token, Task: taskName(n.job.spec.ID, n.task), Run: n.number, Timeout: r.Bounds.OrderTimeout})
}

// stopped takes the answer to a stop: the run is over once a list that is asked
// for from now on lacks it.
func (r *Router) stopped(e StopAnswered) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	n := t.runs[e.Task]
	if n == nil || n.number != e.Run || !e.Acknowledged {
		return
	}
	n.settled = r.now
	r.look(t)
}

// bar leaves a target out for a while, longer each time in a row: a trial costs a job
// the time until it is moved.
func (r *Router) bar(t *target, span time.Duration, why string) {
	if !r.now.Before(t.barred) {
		t.strikes++
	}
	span <<= min(max(t.strikes-1, 0), mostStrikes)
	t.barred, t.trial = r.now.Add(span), true
	r.logTarget(t, "barred", "reason", why, "span", span.String(), "failures", t.failures, "strikes", t.strikes)
}

// freed takes a run out of its target's books.
func (r *Router) freed(n *run) {
	name := taskName(n.job.spec.ID, n.task)
	if n.target.runs[name] != n {
		return
	}
	delete(n.target.runs, name)
	n.target.used = n.target.used.Minus(n.need)
	if n.target.used.CPU < 0 {
		r.violate("room of a target", "%s has %d in use", n.target.ID, n.target.used.CPU)
	}
	r.dirty = true
}

// unstarted takes a run back that has not begun and never will.
func (r *Router) unstarted(n *run) {
	r.freed(n)
	r.requeue(n, false)
}

// requeue makes a task wait again after its run.
func (r *Router) requeue(n *run, failed bool) {
	k := &n.job.tasks[n.task]
	if k.run != n {
		return
	}
	k.run = nil
	r.move(n.job, n.task, taskReturn)
	if failed {
		k.failed++
		k.avoided = append(k.avoided, n.target.ID)
	}
	r.settle(n.job)
}

// over ends a run for good.
func (r *Router) over(n *run, how EndReason) {
	r.freed(n)
	j := n.job
	if n.state != runDoubtful && !j.over {
		r.judge(n, how)
	}
	r.emit(Decision{Action: "end", Job: j.spec.ID, Task: taskName(j.spec.ID, n.task), Target: n.target.ID, Routine: how == EndDone, Pairs: []any{
		"run", n.number, "how", how, "ran", r.since(n.sent), "state", n.state,
	}})
	if how == EndDone {
		r.learnFrom(n)
		r.taskDone(j, n.task)
		return
	}
	r.requeue(n, how == EndFailed)
}

// judge counts for and against a target.
func (r *Router) judge(n *run, how EndReason) {
	t := n.target
	switch how {
	case EndDone:
		r.noteDone(n, r.now.Sub(n.sent))
		t.failures = 0
		if !n.slow {
			t.trial, t.strikes = false, 0
		}
	case EndFailed:
		t.failures++
		if r.uses(FailingTargetEjection) && (t.failures >= failuresToBar || t.trial) {
			r.bar(t, barFor, "failing")
		}
	}
}

// avoids reports whether a target is avoided for a task.
func (k *task) avoids(id string) bool { return slices.Contains(k.avoided, id) }

package router

import "time"

// lateStarts are the Start orders without an answer. A target may execute one seconds later and, if its process has
// ended, so may its next process, which knows of no token and no Stop: until it has accepted a higher token or answered
// a Stop of that run, or a higher one of the task. The zero value is empty.
type lateStarts struct {
	byTarget map[string]map[string]*lateStart // by the target's ID and the name of the task
	byTask   map[string]int                   // number of targets, by the name of the task
	prunedAt time.Time
}

// lateStart is the Start of the highest run of a task among those that a target has not answered.
type lateStart struct {
	run   int
	token uint64
	// process is the newest process that starts the run no more, or that the Start was sent to.
	process   int64
	until     time.Time // when it is not executed any more
	stoppedAt time.Time // when it was last ordered to stop
}

const (
	// lateStartDuration is how long after its timeout a Start may be executed. The platform speaks of seconds.
	lateStartDuration = 12 * time.Second
	// maxLateStarts bounds the late starts of a target, to what it may be ordered to stop at once.
	maxLateStarts = maxOrphanStops
	// lateStartPruneInterval is the interval at which late starts are removed that are not executed any more.
	lateStartPruneInterval = time.Second
)

// process returns the process that sent the newest run list of a target.
func (t *target) process() Process {
	return Process{StartedAt: t.listedProcess, ConfirmedAt: t.lastConfirmedAt}
}

// add adds the newest Start of a run. The one that is not executed any more first makes room for it.
func (l *lateStarts) add(n *run, now time.Time) {
	if n.startedFor == 0 {
		return
	}
	if l.byTarget == nil {
		l.byTarget, l.byTask = make(map[string]map[string]*lateStart), make(map[string]int)
	}
	id, name := n.target.ID, taskName(n.job.spec.ID, n.task)
	starts := l.byTarget[id]
	if starts == nil {
		starts = make(map[string]*lateStart)
		l.byTarget[id] = starts
	}
	if s := starts[name]; s != nil && s.run > n.number {
		return
	} else if s == nil && len(starts) >= maxLateStarts {
		first := ""
		for other, o := range starts {
			if first == "" || o.until.Before(starts[first].until) || o.until.Equal(starts[first].until) && other < first {
				first = other
			}
		}
		l.remove(id, first)
	}
	if starts[name] == nil {
		l.byTask[name]++
	}
	starts[name] = &lateStart{run: n.number, token: n.target.token, process: n.startedFor, until: now.Add(lateStartDuration)}
}

func (l *lateStarts) remove(target, task string) {
	delete(l.byTarget[target], task)
	l.byTask[task]--
	if l.byTask[task] == 0 {
		delete(l.byTask, task)
	}
}

// get returns the late start of a task at a target that has a process now, or nil if it has none.
func (l *lateStarts) get(t *target, task string, now time.Time) *lateStart {
	s := l.byTarget[t.ID][task]
	if s == nil || s.process == t.listedProcess || s.token < t.token || now.After(s.until) {
		return nil
	}
	return s
}

// confirmStop records that a process of a target has answered a Stop.
func (l *lateStarts) confirmStop(e StopAnswered) {
	if s := l.byTarget[e.Target][e.Task]; s != nil && s.run <= e.Run {
		s.process = max(s.process, e.Process)
	}
}

// prune removes the late starts that are not executed any more. It reports whether there were any.
func (l *lateStarts) prune(now time.Time) (removed bool) {
	if len(l.byTarget) == 0 || now.Sub(l.prunedAt) < lateStartPruneInterval {
		return false
	}
	l.prunedAt = now
	for id, starts := range l.byTarget {
		for name, s := range starts {
			if now.After(s.until) {
				l.remove(id, name)
				removed = true
			}
		}
		if len(starts) == 0 {
			delete(l.byTarget, id)
		}
	}
	return removed
}

// stopLateStarts orders the process that has sent a run list to stop the runs that it may still start, although
// they were meant for a former process. Those that it has are known from the list.
func (r *Router) stopLateStarts(t *target, e RenewAnswered) {
	if e.StartedAt == 0 {
		return
	}
	var listed map[string]int
	for _, name := range sortedKeys(r.lateStarts.byTarget[t.ID]) {
		s := r.lateStarts.get(t, name, r.now)
		if s == nil {
			continue
		}
		if listed == nil {
			listed = make(map[string]int, len(e.Running))
			for _, entry := range e.Running {
				listed[entry.Task] = entry.Run
			}
		}
		if listed[name] >= s.run {
			s.process = e.StartedAt // it starts no run twice
			continue
		}
		n := t.runs[name]
		if r.now.Sub(s.stoppedAt) < stopRetryInterval || n != nil && (n.startedFor == e.StartedAt || n.state == runStarting) {
			continue
		}
		s.stoppedAt = r.now
		r.emit(Decision{Action: "stop", Task: name, Target: t.ID, Pairs: []any{"run", s.run, "reason", "meant for a former process"}})
		if n != nil && n.number == s.run {
			r.stopRun(n)
			continue
		}
		r.emit(Stop{Target: t.Target, Process: t.listedProcess, Token: t.token, Task: name, Run: s.run, Timeout: r.stopTimeout()})
	}
}

// mayStartLate reports whether the present process of a run's target may still start the run, since a former one has
// left a Start of it unanswered.
func (r *Router) mayStartLate(n *run) bool {
	s := r.lateStarts.get(n.target, taskName(n.job.spec.ID, n.task), r.now)
	return s != nil && s.run == n.number
}

// awaitsLateStart reports whether a Start of a task may still be executed, unseen, by the next process of a target
// that does not answer. A target that answers starts the run no more: its process was sent the Start
// and the lease has expired, it has answered a Stop of the run, or it obeys a higher token.
func (r *Router) awaitsLateStart(task string) bool {
	if r.lateStarts.byTask[task] == 0 {
		return false
	}
	for id, starts := range r.lateStarts.byTarget {
		s := starts[task]
		if s == nil || r.now.After(s.until) {
			continue
		}
		t := r.targets[id]
		if t == nil || !t.fenced || t.missedRenewals > 0 || s.process != t.listedProcess && s.token >= t.token {
			return true
		}
	}
	return false
}

// moveTo records that a process of the run's target lists it. It may be a later one than its Start was answered by.
func (n *run) moveTo(process int64, clock Reading) {
	if process == 0 || n.startedFor == process {
		return
	}
	if n.startedFor > 0 {
		n.process, n.startClock = process, clock.Millis
	}
	n.startedFor = process
}

// isOver reports whether a run that a target lists, but that is not known there, is known to be over or replaced: its job has
// ended here, or its task is done or has a later run.
func (r *Router) isOver(t *target, name string, number int) bool {
	if s := r.lateStarts.byTarget[t.ID][name]; s != nil && s.run >= number && s.token >= t.token {
		return true
	}
	id, index, ok := parseTaskName(name)
	j := r.jobs[id]
	if !ok || j == nil || index >= len(j.tasks) {
		return false
	}
	if j.ended {
		return j.verdict.Outcome != WrongHolder && j.verdict.Outcome != Returned // its next holder may have adopted the run
	}
	k := &j.tasks[index]
	return k.state == taskDone || k.run != nil && k.run.number > number
}

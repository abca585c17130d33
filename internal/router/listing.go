package router

import (
	"cmp"
	"slices"
	"time"
)

// handleRunList handles a successful answer to a renewal, which lists the target's running
// tasks and the ends of others.
func (r *Router) handleRunList(t *target, e RenewAnswered) {
	if known := cmp.Or(t.listedProcess, t.incarnation); e.StartedAt > 0 && known > 0 && e.StartedAt != known {
		if e.SentAt.Before(t.lastConfirmedAt) {
			r.logTarget(t, "outdated", "born", e.StartedAt)
			return // it may be from the former process; the next list will tell
		}
		r.handleTargetRestart(t, e.StartedAt, e.SentAt)
	}
	t.updateClock(e.Clock)
	t.listedProcess = e.StartedAt
	r.recordLease(t, e.Clock, e.SentAt, e.LeaseEnd)
	if e.StartedAt > 0 && e.StartedAt == t.endedProcess {
		t.endedProcess = 0
		r.acquitProcess(t.ID, e.StartedAt)
	}
	if e.StartedAt > 0 {
		t.incarnation = e.StartedAt
		r.updateCrashes(t.ID, e.StartedAt, &e)
	}
	t.lastConfirmedAt = later(t.lastConfirmedAt, e.SentAt)
	if t.missedRenewals > 0 {
		t.missedRenewals = 0
		r.logTarget(t, "answers")
	}
	if !t.fenced {
		delete(r.fencings, t.ID)
		t.fenced, t.fencedAt = true, r.now
		r.logTarget(t, "fenced", "token", t.token, "running", len(e.Running), "ended", len(e.Ended))
	}
	for _, end := range e.Ended {
		if end.Number > t.lastAckedEnd {
			t.lastAckedEnd = end.Number
			r.handleEnd(t, end)
		}
	}
	r.sendProgress() // before the next renewal, whose acknowledgement lets the target discard the ends
	// An answer on another connection may have overtaken this one, unless it had arrived before this
	// one was requested.
	if e.Clock.Millis >= t.runListClock || e.SentAt.After(t.runListAt) {
		t.runListClock, t.runListAt = e.Clock.Millis, r.now
		r.reconcileRuns(t, e)
		r.stopOrphans(t)
	}
	r.placementNeeded = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handleEnd handles the end of a run.
func (r *Router) handleEnd(t *target, end End) {
	delete(t.orphanRunNumbers, end.Task)
	n := t.runs[end.Task]
	if n != nil && n.number == end.Run {
		r.endRun(n, end.Reason)
		return
	}
	if end.Reason != EndDone {
		return
	}
	id, index, ok := parseTaskName(end.Task)
	if !ok {
		return
	}
	if j := r.jobs[id]; j != nil && index < j.spec.Count {
		r.completeTask(j, index)
		return
	}
	t.unmatchedEnds[end.Task] = end
}

// reconcileRuns compares a target's run list with the runs that are known here. From a partial
// list it does not follow that a run is over.
func (r *Router) reconcileRuns(t *target, e RenewAnswered) {
	if e.Partial && !t.hasUnreadableRuns {
		r.logTarget(t, "unreadable", "running", len(e.Running))
	}
	t.hasUnreadableRuns = e.Partial
	if !e.Partial {
		r.endUnlistedRuns(t, e)
	}
	r.stopLateStarts(t, e)
	for _, entry := range e.Running {
		if n := t.runs[entry.Task]; n != nil && n.number >= entry.Run {
			if n.number == entry.Run {
				n.moveTo(e.StartedAt, e.Clock)
				r.handleRunProgress(n, entry.Percent)
			}
			continue
		}
		r.handleUnknownRun(t, entry)
	}
}

// endUnlistedRuns ends the runs and drops the orphans that a target's run list lacks.
func (r *Router) endUnlistedRuns(t *target, e RenewAnswered) {
	listed := make(map[string]int, len(e.Running))
	for _, entry := range e.Running {
		listed[entry.Task] = entry.Run
	}
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		if _, isListed := listed[name]; !isListed && (!n.confirmedAt.IsZero() && e.SentAt.After(n.confirmedAt) && !r.mayStartLate(n) || n.hasLapsedUnstarted(e.Clock)) {
			if n.process != t.incarnation {
				r.recordLostRun(n, true)
			}
			r.endRun(n, EndLeaseExpired)
		}
	}
	for name := range t.orphanRunNumbers {
		if _, isListed := listed[name]; !isListed {
			delete(t.orphanRunNumbers, name)
		}
	}
}

// handleUnknownRun handles a run in a target's run list that is not known here: a previous holder
// started it, or the target executed an order late. The run becomes an orphan unless its task
// can adopt it.
func (r *Router) handleUnknownRun(t *target, entry RunningTask) {
	id, index, ok := parseTaskName(entry.Task)
	if j := r.jobs[id]; ok && j != nil && r.adoptRun(t, j, index, entry) {
		return
	}
	t.orphanRunNumbers[entry.Task] = entry.Run
	t.rejectedUntil = time.Time{} // the run may be why the target had no room
}

// adoptRun takes over a run that a previous holder started, if its task still waits. It reports
// whether it did.
func (r *Router) adoptRun(t *target, j *job, index int, entry RunningTask) bool {
	if index >= len(j.tasks) || j.ended || j.tasks[index].state != taskWaiting || j.tasks[index].previousRun.isLive() {
		return false
	}
	k := &j.tasks[index]
	n := &run{job: j, task: index, number: entry.Run, target: t, need: j.spec.Need, state: runRunning, sentAt: r.now, confirmedAt: r.now, startClock: t.runListClock, expectedRunTime: r.expectedRunTimeAt(j, t), adopted: true, process: t.incarnation, startedFor: t.listedProcess}
	n.nextPollAt = n.nextPollTime(r.now, firstPollFraction)
	r.transitionTask(j, index, taskStart)
	k.run, j.mayHaveStarted = n, true
	if entry.Run <= maxRunNumber {
		k.lastRun = max(k.lastRun, entry.Run)
	}
	t.addRun(entry.Task, n)
	t.used = t.used.plus(n.need)
	delete(t.orphanRunNumbers, entry.Task)
	r.emit(Decision{Action: "takeover", Job: j.spec.ID, Task: entry.Task, Target: t.ID, Pairs: []any{"run", entry.Run}})
	return true
}

func (r Resources) plus(part Resources) Resources {
	return Resources{CPU: r.CPU + part.CPU, Memory: r.Memory + part.Memory, GPU: r.GPU + part.GPU}
}

// stopOrphans stops runs that no job has claimed within the grace period, and at once those that are known to be over.
func (r *Router) stopOrphans(t *target) {
	if len(t.orphanRunNumbers) == 0 || r.now.Sub(t.orphansStoppedAt) < stopRetryInterval {
		return
	}
	names := sortedKeys(t.orphanRunNumbers)
	if r.now.Sub(t.fencedAt) < r.Bounds.OrphanGrace {
		names = slices.DeleteFunc(names, func(name string) bool { return !r.isOver(t, name, t.orphanRunNumbers[name]) })
	}
	if len(names) == 0 {
		return
	}
	t.orphansStoppedAt = r.now
	for _, name := range names[:min(len(names), maxOrphanStops)] {
		r.stopOrphan(t, name, t.orphanRunNumbers[name])
	}
	r.pollTarget(t)
}

func (r *Router) stopOrphan(t *target, task string, number int) {
	r.emit(Decision{Action: "stop", Task: task, Target: t.ID, Pairs: []any{"run", number, "reason", "nobody waits for it"}})
	r.emit(Stop{Target: t.Target, Process: t.listedProcess, Token: t.token, Task: task, Run: number, Timeout: r.Bounds.OrderTimeout})
}

// handleStartAnswered handles the answer to a Start order, or its absence.
func (r *Router) handleStartAnswered(e StartAnswered) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	n := t.runs[e.Task]
	if n == nil || n.number != e.Run || n.state != runStarting {
		return
	}
	if n.startedFor == t.listedProcess {
		t.updateClock(e.Clock)
	}
	r.recordStart(n, e.Result, e.Took)
	if e.Result == Running {
		r.handleStarted(n, e.Clock)
	} else {
		r.logFailedStart(n, e)
		r.handleFailedStart(t, n, e)
	}
	r.placementNeeded = true
}

// handleStarted records that a target has started a run. The run is stopped if nobody waits for it any more.
func (r *Router) handleStarted(n *run, clock Reading) {
	n.state, n.confirmedAt, n.startClock = runRunning, r.now, clock.Millis
	if n.attempts == 1 && n.startedFor == n.target.listedProcess {
		r.recordLease(n.target, clock, n.attemptAt, n.startLeaseEnd)
	}
	r.emitStageDuration(n.job, Started, n.sentAt)
	if n.job.ended || n.job.tasks[n.task].run != n {
		r.stopRun(n)
	}
}

// handleFailedStart handles a Start order that was rejected or not answered.
func (r *Router) handleFailedStart(t *target, n *run, e StartAnswered) {
	if e.Result == NoAnswer {
		r.lateStarts.add(n, r.now)
	}
	switch {
	case e.Result == NoAnswer && r.canRetryStart(n):
		r.retryStart(n)
	case e.Result == NoAnswer || n.retried:
		r.markUnconfirmed(n, e.Result)
	default:
		r.handleRejectedStart(t, n, e.Result)
	}
}

// logFailedStart logs that a Start was rejected or not answered.
func (r *Router) logFailedStart(n *run, e StartAnswered) {
	isRepeated := e.Result == NoAnswer && r.canRetryStart(n) && r.orders.areUnanswered(r.now)
	r.emit(Decision{Action: "start", Job: n.job.spec.ID, Task: e.Task, Target: e.Target, Routine: isRepeated, Pairs: []any{
		"run", e.Run, "outcome", e.Result, "took", r.formatAge(n.sentAt), "attempts", n.attempts,
	}})
}

// canRetryStart reports whether a Start order that was not answered may be sent again. In
// an evacuated zone it may not: the target may not have seen the first order, so that the
// second would start the run. The run is stopped instead.
func (r *Router) canRetryStart(n *run) bool {
	return n.attempts < r.orders.startAttempts(r.now, r.Bounds.OrderTimeout) && r.mayRepeatStart(n)
}

// mayRepeatStart reports whether the Start order of a run may be sent more than once.
func (r *Router) mayRepeatStart(n *run) bool {
	return !n.job.ended && !n.target.evacuated && r.isEnabled(StartRetry)
}

// retryStart sends a Start order once more, over a new connection. A target executes the same
// run only once, so a lost answer costs no run time.
func (r *Router) retryStart(n *run) {
	n.retried = true
	r.closeIdleAfterOrder(n.target)
	r.sendStart(n)
}

// markUnconfirmed handles a run that may have started, or may still start: it is stopped, and
// is over once a run list of the target lacks it. The answer to a second Start order does not
// tell whether the target executed the first.
func (r *Router) markUnconfirmed(n *run, result StartResult) {
	t := n.target
	n.state = runUnconfirmed
	r.stopRun(n)
	r.closeIdleAfterOrder(t)
	r.pollTarget(t)
	if result == Fenced {
		r.handleFenced(t, t.token)
	}
}

// handleRejectedStart requeues the task of a run that the target did not start, and updates the
// target's state.
func (r *Router) handleRejectedStart(t *target, n *run, result StartResult) {
	if result == StaleRun {
		n.job.tasks[n.task].lastRun += runNumberStride
	}
	r.undoStart(n)
	switch result {
	case Invalid:
		r.handleInvalidStart(n)
	case Fenced:
		r.handleFenced(t, t.token)
	case OrderExpired:
		r.pollTarget(t)
	case NoCapacity:
		r.recordLackOfRoom(t, n.need)
		t.ejectedUntil = later(t.ejectedUntil, r.now.Add(fullTargetDelay))
		r.pollTarget(t)
	case Unhealthy:
		r.ejectTarget(t, unhealthyEjectionDuration, "unhealthy")
	case NotSent:
		t.missedRenewals++
		r.renewTarget(t)
	case Replaced:
		r.handleReplacedTarget(t, n.attemptAt)
	case Restarted:
		t.ejectedUntil = later(t.ejectedUntil, r.now.Add(fullTargetDelay))
		r.pollTarget(t)
	}
}

// handleInvalidStart handles that a target did not understand the Start order of a run. Nothing has run,
// so that it does not count as an attempt of the task; but a job that no target understands cannot end.
func (r *Router) handleInvalidStart(n *run) {
	j, k := n.job, &n.job.tasks[n.task]
	k.invalidStarts++
	k.avoidedTargets = append(k.avoidedTargets, n.target.ID)
	if j.ended {
		return
	}
	r.updateTargetHealth(n, EndFailed)
	if k.invalidStarts >= max(j.spec.MaxAttempts, 1) {
		r.endJob(j, Verdict{Outcome: Failed, Reason: Expired})
	}
}

// stopRun orders a target to stop a run.
func (r *Router) stopRun(n *run) {
	if n.state == runRunning {
		n.state = runStopping
	}
	n.stopSentAt = r.now
	n.stops++
	if !n.stopAcknowledged {
		n.confirmedAt = time.Time{}
	}
	stop := Stop{Target: n.target.Target, Process: n.target.listedProcess, Token: n.target.token, Task: taskName(n.job.spec.ID, n.task), Run: n.number, Timeout: r.stopTimeout()}
	r.answersOf(n.target).lastStop = stop
	r.emit(stop)
}

// handleStopAnswered handles the answer to a Stop order. The run is over once a run list that was
// requested after the answer lacks it.
func (r *Router) handleStopAnswered(e StopAnswered) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	r.recordOrder(t, e.Acknowledged)
	if e.Acknowledged {
		r.lateStarts.confirmStop(e)
		r.placementNeeded = r.placementNeeded || r.lateStarts.byTask[e.Task] > 0
	}
	n := t.runs[e.Task]
	if n == nil || n.number != e.Run {
		return
	}
	if e.Acknowledged && e.Process > 0 && e.Process != t.listedProcess {
		return // a former process may have answered; retryStops asks this one
	}
	if !e.Acknowledged {
		r.setStopOverdue(n, !n.stopAcknowledged)
		r.repeatStop(n)
		return
	}
	r.setStopOverdue(n, false)
	n.confirmedAt, n.stopAcknowledged = r.now, true
	r.pollTarget(t)
}

// ejectTarget ejects a target for a duration that doubles with each consecutive ejection,
// because a failed trial delays a job until its task is moved.
func (r *Router) ejectTarget(t *target, duration time.Duration, reason string) {
	if !r.now.Before(t.ejectedUntil) {
		t.ejections++
	}
	duration <<= min(max(t.ejections-1, 0), maxEjectionDoublings)
	t.ejectedUntil, t.onTrial = r.now.Add(duration), true
	r.logTarget(t, "barred", "reason", reason, "span", duration.String(), "failures", t.failures, "strikes", t.ejections)
}

// releaseCapacity removes a run from its target and frees the capacity that it used.
func (r *Router) releaseCapacity(n *run) {
	name := taskName(n.job.spec.ID, n.task)
	if n.target.runs[name] != n {
		return
	}
	r.recordOverlap(n)
	delete(n.target.runs, name)
	n.job.liveRuns--
	n.target.used = n.target.used.Minus(n.need)
	if n.suspect {
		n.target.suspectCount--
	}
	if n.stopOverdue {
		n.target.overdueStops--
	}
	if n.target.used.CPU < 0 {
		r.reportViolation("room of a target", "target %s has %d thousandths of a core in use", n.target.ID, n.target.used.CPU)
	}
	r.placementNeeded = true
}

// undoStart removes a run that has not started and never will, and requeues its task.
func (r *Router) undoStart(n *run) {
	r.releaseCapacity(n)
	r.requeueTask(n, false)
}

// requeueTask makes a task wait again after its run has ended. After a failure, the task avoids
// the run's target.
func (r *Router) requeueTask(n *run, failed bool) {
	k := &n.job.tasks[n.task]
	if k.run != n {
		return
	}
	k.run = nil
	r.transitionTask(n.job, n.task, taskRequeue)
	if failed {
		k.failures++
		k.avoidedTargets = append(k.avoidedTargets, n.target.ID)
	}
	r.endOrEnqueueJob(n.job)
}

// endRun handles the end of a run: it frees the capacity, updates the target's health and the
// learned state, and completes or requeues the task.
func (r *Router) endRun(n *run, reason EndReason) {
	if n.state == runStarting {
		r.lateStarts.add(n, r.now)
	}
	r.releaseCapacity(n)
	j := n.job
	if n.state != runUnconfirmed && !j.ended {
		r.updateTargetHealth(n, reason)
	}
	r.emit(Decision{Action: "end", Job: j.spec.ID, Task: taskName(j.spec.ID, n.task), Target: n.target.ID, Routine: reason == EndDone, Pairs: []any{
		"run", n.number, "how", reason, "ran", r.formatAge(n.sentAt), "state", n.state,
	}})
	if reason == EndDone {
		r.recordRunTime(n)
		r.completeTask(j, n.task)
		return
	}
	r.requeueTask(n, reason == EndFailed)
}

// updateTargetHealth counts the end of a run for or against its target.
func (r *Router) updateTargetHealth(n *run, reason EndReason) {
	t := n.target
	if reason == EndDone || reason == EndFailed {
		r.profileOf(t).RecordOutcome(reason == EndDone, r.now)
	}
	switch reason {
	case EndDone:
		r.recordFinalSlowdown(n, r.now.Sub(n.sentAt))
		t.failures = 0
		if !n.slow {
			t.onTrial, t.ejections = false, 0
		}
	case EndFailed:
		t.failures++
		if r.isEnabled(FailingTargetEjection) && (t.failures >= failuresToEject || t.onTrial) {
			r.ejectTarget(t, failingEjectionDuration, "failing")
		}
	}
}

func (k *task) avoids(id string) bool { return slices.Contains(k.avoidedTargets, id) }

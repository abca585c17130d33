package router

import "time"

const (
	// firstPollFraction and nextLook are the parts of the expected run time after which
	// a run's progress is looked at, and shortestLook the shortest time.
	firstPollFraction    = 0.2
	nextPollFraction     = 0.3
	minProgressPollDelay = 60 * time.Millisecond
	// minProgressPercent is the least progress, in percent, that tells the run time: it is
	// rounded to whole percents.
	minProgressPercent = 8
)

// nextPollTime returns when a run's progress is to be looked at after now.
func (n *run) nextPollTime(now time.Time, fraction float64) time.Time {
	return now.Add(max(seconds(n.expectedRunTime.Seconds()*fraction), minProgressPollDelay))
}

// pollDueRuns looks at runs whose progress is due.
func (r *Router) pollDueRuns(t *target) {
	due := false
	for _, n := range t.runs {
		if n.state == runRunning && r.now.After(n.nextPollAt) && !n.job.ended {
			n.nextPollAt = n.nextPollTime(r.now, nextPollFraction)
			due = true
		}
	}
	if due {
		r.pollTarget(t)
	}
}

// handleRunProgress takes how far a run has come.
func (r *Router) handleRunProgress(n *run, percent float64) {
	elapsed := r.elapsedRunTime(n)
	if n.state != runRunning || n.job.ended || elapsed <= 0 {
		return
	}
	n.percent, n.nextPollAt = percent, n.nextPollTime(r.now, nextPollFraction)
	if percent >= minProgressPercent {
		n.estimatedRunTime = seconds(elapsed.Seconds() * fullPercent / percent)
	}
	r.targetsReportProgress = r.targetsReportProgress || percent > 0
	if elapsed >= minInformativeRunTime && n.startClock > 0 {
		r.recordRunningSlowdown(n, elapsed)
	}
	switch {
	case r.isSlowOrStalled(n, elapsed) && r.shouldRestartElsewhere(n, elapsed):
		r.relocateTask(n, elapsed)
	case percent >= minProgressPercent && r.isEnabled(EarlyAbort):
		r.abortIfTooLate(n)
	}
}

const fullPercent = 100

// elapsedRunTime returns how long a run has run as its target's clock tells: answers may have
// waited here.
func (r *Router) elapsedRunTime(n *run) time.Duration {
	if n.startClock == 0 || n.target.listClock == 0 {
		return r.now.Sub(n.confirmedAt)
	}
	return time.Duration(n.target.listClock-n.startClock) * time.Millisecond
}

// relocateTask stops a run so that its task starts at another target.
func (r *Router) relocateTask(n *run, elapsed time.Duration) {
	t := n.target
	r.emit(Decision{Action: "move", Job: n.job.spec.ID, Task: taskName(n.job.spec.ID, n.task), Target: t.ID, Pairs: []any{
		"percent", n.percent, "ran", elapsed.Round(time.Millisecond).String(), "expect", n.expectedRunTime.Round(time.Millisecond).String(),
	}})
	n.job.tasks[n.task].avoidedTargets = append(n.job.tasks[n.task].avoidedTargets, t.ID)
	r.stopRun(n)
}

// abortIfTooLate gives a job up as soon as one of its runs shows that it cannot end in
// time.
func (r *Router) abortIfTooLate(n *run) {
	j := n.job
	minRunTime := seconds(n.estimatedRunTime.Seconds() * (n.percent - 1) / n.percent) // the percents are rounded
	end := n.sentAt.Add(minRunTime)
	if !end.After(j.deadline) {
		return
	}
	r.emit(Decision{Action: "foresee", Job: j.spec.ID, Task: taskName(j.spec.ID, n.task), Target: n.target.ID, Pairs: []any{
		"percent", n.percent, "total", n.estimatedRunTime.Round(time.Millisecond).String(), "left", j.deadline.Sub(r.now).Round(time.Millisecond).String(),
	}})
	r.abortJob(j, Expired)
}

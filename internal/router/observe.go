package router

import "time"

const (
	// firstPollFraction and nextPollFraction are the parts of the expected run time after which
	// a run's progress is polled, for the first time and then again. minProgressPollDelay is
	// the shortest delay of a poll.
	firstPollFraction    = 0.2
	nextPollFraction     = 0.3
	minProgressPollDelay = 60 * time.Millisecond
	// minProgressPercent is the least progress, in percent, from which the run time can be
	// extrapolated: progress is rounded to whole percents.
	minProgressPercent = 8
)

// nextPollTime returns when a run's progress is polled next: after the given part of its
// expected run time.
func (n *run) nextPollTime(now time.Time, fraction float64) time.Time {
	return now.Add(max(seconds(n.expectedRunTime.Seconds()*fraction), minProgressPollDelay))
}

// pollDueRuns polls a target if the progress of one of its runs is due.
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

// handleRunProgress handles the progress of a run. It may eject the target, move the task to
// another target or abort the job.
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

// elapsedRunTime returns how long a run has run by its target's clock, since answers may have
// been delayed at this host. If that clock is not known, it counts from confirmedAt.
func (r *Router) elapsedRunTime(n *run) time.Duration {
	if n.startClock == 0 || n.target.runListClock == 0 {
		return r.now.Sub(n.confirmedAt)
	}
	return time.Duration(n.target.runListClock-n.startClock) * time.Millisecond
}

// relocateTask stops a run so that its task starts again at another target.
func (r *Router) relocateTask(n *run, elapsed time.Duration) {
	t := n.target
	r.emit(Decision{Action: "move", Job: n.job.spec.ID, Task: taskName(n.job.spec.ID, n.task), Target: t.ID, Pairs: []any{
		"percent", n.percent, "ran", elapsed.Round(time.Millisecond).String(), "expect", n.expectedRunTime.Round(time.Millisecond).String(),
	}})
	n.job.tasks[n.task].avoidedTargets = append(n.job.tasks[n.task].avoidedTargets, t.ID)
	r.stopRun(n)
}

// abortIfTooLate aborts a job as soon as the progress of one of its runs shows that it cannot
// finish by its deadline.
func (r *Router) abortIfTooLate(n *run) {
	j := n.job
	minRunTime := seconds(n.estimatedRunTime.Seconds() * (n.percent - 1) / n.percent) // progress is rounded to whole percents
	end := n.sentAt.Add(minRunTime)
	if !end.After(j.deadline) {
		return
	}
	r.emit(Decision{Action: "foresee", Job: j.spec.ID, Task: taskName(j.spec.ID, n.task), Target: n.target.ID, Pairs: []any{
		"percent", n.percent, "total", n.estimatedRunTime.Round(time.Millisecond).String(), "left", j.deadline.Sub(r.now).Round(time.Millisecond).String(),
	}})
	r.abortJob(j, Expired)
}

package modeler

import "github.com/shallotrouter/shallotrouter/internal/router"

// taskLosses counts the runs of a task that failed, and those under which the target's process ended.
type taskLosses struct{ failed, crashed int }

// jobLosses are the losses of the tasks of a job, by task ID.
type jobLosses map[string]*taskLosses

// minCrashes is the number of processes that must have ended under one task before its job may be
// shown as failed for crashes.
const minCrashes = 2

// lossesOf returns the losses of a task.
func (sm *Simulation) lossesOf(taskID string) *taskLosses {
	id := jobID(taskID)
	if sm.losses[id] == nil {
		sm.losses[id] = make(jobLosses)
	}
	n := sm.losses[id][taskID]
	if n == nil {
		n = &taskLosses{}
		sm.losses[id][taskID] = n
	}
	return n
}

// checkFailureCause checks that a job that is shown as failed has failed: a task has failed as often
// as its route allows, or processes of targets have ended under it.
func (c *client) checkFailureCause(reason router.Reason) {
	failed, crashed := 0, 0
	for _, n := range c.sim.losses[c.id] {
		failed, crashed = max(failed, n.failed), max(crashed, n.crashed)
	}
	switch reason {
	case router.Crashes:
		if crashed < minCrashes {
			c.sim.recordViolation("job %s was shown as failed for crashes, but at most %d processes of targets ended under one of its tasks", c.id, crashed)
		}
	case router.AttemptsExhausted:
		if failed < c.job.MaxAttempts {
			c.sim.recordViolation("job %s was shown as failed after %d attempts, but none of its tasks failed more than %d times", c.id, c.job.MaxAttempts, failed)
		}
	case router.Expired, router.Withdrawn, router.DoesNotFit: // not shown as failed, or nothing to check
	default:
		c.sim.recordViolation("job %s was shown as failed for a reason that is no failure: %s", c.id, reason)
	}
}

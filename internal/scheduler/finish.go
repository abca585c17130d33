package scheduler

import (
	"fmt"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// handleFinish handles the end of one run.
func (s *Scheduler) handleFinish(e RunEnded) {
	j := s.jobs[e.Number]
	if j == nil || e.Task < 0 || e.Task >= len(j.tasks) {
		s.reportViolation("one end a start", "job %d task %d ended and is unknown", e.Number, e.Task)
		return
	}
	k := &j.tasks[e.Task]
	if k.state != taskSent || k.target.name != e.Target {
		s.reportViolation("one end a start", "job %d task %d ended at %s in state %s", e.Number, e.Task, e.Target, k.state)
		return
	}
	t := k.target
	s.addInFlight(j, k, -1)
	t.removeRun(j, e.Task)
	if !e.Result.Started() {
		j.flow.unchargedTime -= k.expected
		s.recordNotStarted(t, e.Result)
		s.requeue(j, e.Task, e.Result)
	} else {
		s.recordRun(j, k, e)
	}
	if j.answerForgotten && j.inFlight == 0 {
		delete(s.jobs, j.number)
	}
	s.dispatch(j.flow.pool)
	s.haltIfDrained()
}

// recordNotStarted records why a target did not start a task.
func (s *Scheduler) recordNotStarted(t *target, result Result) {
	switch result {
	case Busy, OrderExpired:
		t.recordBusy(s.now)
	case Leaving:
		t.leavingUntil = s.now.Add(leavingPeriod)
		s.updateLeaving(t)
	case NotSent:
		s.emit(CloseIdle{Target: t.name})
		s.recordUnreachable(t)
	case Done, Failed, NoAnswer:
	}
}

// recordRun records the end of a task that may have started.
func (s *Scheduler) recordRun(j *job, k *task, e RunEnded) {
	j.flow.unchargedTime += e.Elapsed - k.expected
	t := k.target
	switch e.Result {
	case Done:
		k.state, _ = taskMachine.Next(k.state, taskFinish)
		s.failureRecordOf(j).addSuccess()
		s.recordRunTime(j, t, e)
	case Failed:
		k.state, _ = taskMachine.Next(k.state, taskFail)
		s.recordFailure(t, j)
	default:
		k.state, _ = taskMachine.Next(k.state, taskLose)
		s.emit(CloseIdle{Target: t.name})
		s.recordFailure(t, j)
	}
	if j.state == jobFinal {
		return
	}
	if k.state != taskDone {
		s.failJob(j, e)
		return
	}
	k.result = e.Payload
	j.doneTasks++
	if j.doneTasks == len(j.tasks) {
		s.complete(j)
	}
}

// recordRunTime updates the target's statistics and the expected run time of the
// task's kind. It compares the run with the time that was expected before it. Runs
// at a suspicious target do not change the expected run time.
func (s *Scheduler) recordRunTime(j *job, t *target, e RunEnded) {
	estimates := &j.flow.pool.estimates
	kind := j.tasks[e.Task].kind
	ratio := e.Elapsed.Seconds() / estimates.ExpectedRunTime(kind, e.Elapsed).Seconds()
	s.recordSuccess(t, ratio, estimates.SurpriseLevel(kind, e.Elapsed))
	if t.suspicion < suspicionStep {
		estimates.Record(kind, e.Elapsed)
	}
}

// failJob ends a job after one of its tasks failed or its answer was lost.
func (s *Scheduler) failJob(j *job, e RunEnded) {
	reason, message := shallotrouter.Rejected, fmt.Sprintf("task %d failed on its target: %s; correct the task before submitting a new job", e.Task, e.Message)
	if e.Result == NoAnswer {
		reason = shallotrouter.Unknown
		message = fmt.Sprintf("the answer to task %d was lost: %s; find out before submitting it again", e.Task, e.Message)
	}
	s.abortJob(j, reason, message, 0)
}

// expireJobs aborts the jobs whose deadline has passed.
func (s *Scheduler) expireJobs() {
	for s.deadlines.Len() > 0 {
		j := s.deadlines.Peek().job
		if s.now.Before(j.deadline) {
			return
		}
		s.abortJob(j, shallotrouter.Deadline, "the deadline passed; submit a new job with a later deadline", s.clientBackoff(j.flow))
	}
}

// clientBackoff returns the delay before a client's retry: the time that its
// waiting work at this host is expected to take, from minBackoff to maxBackoff.
func (s *Scheduler) clientBackoff(f *flow) time.Duration {
	if f == nil {
		return minBackoff
	}
	return min(max(f.estimatedWait(), minBackoff), maxBackoff)
}

// estimatedWait returns the expected time in which the flow's share of the slots
// runs its waiting work.
func (f *flow) estimatedWait() time.Duration {
	if f.waiting == 0 {
		return 0
	}
	return time.Duration(float64(f.queuedWork) / max(f.weight, 1))
}

const (
	// minBackoff and maxBackoff limit the delay that a client is told to wait.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 30 * time.Second
)

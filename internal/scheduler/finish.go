package scheduler

import (
	"fmt"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// finish handles the end of one start.
func (s *Scheduler) finish(e Finish) {
	j := s.jobs[e.Number]
	if j == nil || e.Task < 0 || e.Task >= len(j.tasks) {
		s.violate("one end a start", "job %d task %d ended and is not known", e.Number, e.Task)
		return
	}
	k := &j.tasks[e.Task]
	if k.state != taskSent || k.target.name != e.Target {
		s.violate("one end a start", "job %d task %d ended at %s in state %s", e.Number, e.Task, e.Target, k.state)
		return
	}
	t := k.target
	s.count(j, k, -1)
	t.land(j, e.Task)
	if !e.Result.Started() {
		j.flow.debt -= k.charge
		s.declined(t, e.Result)
		s.requeue(j, e.Task, e.Result)
	} else {
		s.ran(j, k, e)
	}
	if j.dropped && j.inflight == 0 {
		delete(s.jobs, j.number)
	}
	s.dispatch(j.flow.pool)
	s.rest()
}

// declined records a target that refused a task before starting it.
func (s *Scheduler) declined(t *target, result Result) {
	switch result {
	case Busy, Late:
		t.refuse(s.now)
	case Leaving:
		t.told = s.now.Add(leaveMemory)
		s.settle(t)
	case Unsent:
		s.emit(Retire{Target: t.name})
		s.unreached(t)
	case Done, Wrong, Lost:
	}
}

// ran records a task that may have started.
func (s *Scheduler) ran(j *job, k *task, e Finish) {
	j.flow.debt += e.Elapsed - k.charge
	t := k.target
	switch e.Result {
	case Done:
		k.state, _ = taskMachine.Next(k.state, taskFinish)
		s.blames(j).pass()
		s.learn(j, t, e)
	case Wrong:
		k.state, _ = taskMachine.Next(k.state, taskFail)
		s.blame(t, j)
	default:
		k.state, _ = taskMachine.Next(k.state, taskLose)
		s.emit(Retire{Target: t.name})
		s.blame(t, j)
	}
	if j.state == jobFinal {
		return
	}
	if k.state != taskDone {
		s.fail(j, e)
		return
	}
	k.result = e.Payload
	j.done++
	if j.done == len(j.tasks) {
		s.complete(j)
	}
}

// learn updates the run time of the task's kind and the target's slowness. The
// comparison uses what was expected before this run.
func (s *Scheduler) learn(j *job, t *target, e Finish) {
	estimates := &j.flow.pool.estimates
	kind := j.tasks[e.Task].kind
	ratio := e.Elapsed.Seconds() / estimates.Mean(kind, e.Elapsed).Seconds()
	s.succeed(t, ratio, estimates.Surprise(kind, e.Elapsed))
	if t.doubt < doubtStep {
		estimates.Learn(kind, e.Elapsed)
	}
}

// fail ends a job of which one task failed or was lost.
func (s *Scheduler) fail(j *job, e Finish) {
	reason, message := shallotrouter.Rejected, fmt.Sprintf("task %d failed on its target: %s; correct the task before submitting a new job", e.Task, e.Message)
	if e.Result == Lost {
		reason = shallotrouter.Unknown
		message = fmt.Sprintf("the answer to task %d was lost: %s; find out before submitting it again", e.Task, e.Message)
	}
	s.abandon(j, reason, message, 0)
}

// expire answers the jobs whose deadline has passed.
func (s *Scheduler) expire() {
	for s.due.Len() > 0 {
		j := s.due.Top().job
		if s.now.Before(j.deadline) {
			return
		}
		s.abandon(j, shallotrouter.Deadline, "the deadline passed; submit a new job with a later deadline", s.backoff(j.flow))
	}
}

// backoff returns when the client's waiting work at this host will have run.
func (s *Scheduler) backoff(f *flow) time.Duration {
	if f == nil {
		return minBackoff
	}
	return min(max(f.wait(), minBackoff), maxBackoff)
}

// wait returns how long the flow's waiting work takes on its share.
func (f *flow) wait() time.Duration {
	if f.waiting == 0 {
		return 0
	}
	return time.Duration(float64(f.work) / max(f.weight, 1))
}

const (
	// minBackoff and maxBackoff bound the time to come back.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 30 * time.Second
)

package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/holder"
)

// task is the state of one task of a job.
type task struct {
	kind     string
	state    taskState
	attempts int
	target   *target
	sentAt   time.Time
	expected time.Duration // expected run time, which the flow is charged at the start
	isLong   bool
	result   []byte
}

// job is one admitted submission. The scheduler drops it once its answer is no
// longer retained and none of its tasks is in flight.
type job struct {
	holder.Index // position among the client's waiting jobs

	number          uint64
	digest          uint64
	client          string
	service         string
	state           jobState
	tasks           []task
	specs           []shallotrouter.Task
	queue           []int // indexes of the waiting tasks; the next one to start is last
	flow            *flow
	queueKey        float64 // sort key among the client's jobs
	startedTasks    int     // number of tasks that may have started
	doneTasks       int
	inFlight        int
	admittedAt      time.Time
	deadline        time.Time
	deadlineEntry   deadlineEntry
	waiters         []uint64
	answer          *shallotrouter.Answer
	finishedAt      time.Time
	resultBytes     int           // total size of the results
	queuedWork      time.Duration // expected run time of the waiting tasks
	answerForgotten bool          // the answer is no longer retained, but tasks are in flight
	wasPaused       bool          // the process was paused after the job was admitted
}

// deadlineEntry is a job's entry in the heap of deadlines.
type deadlineEntry struct {
	holder.Index
	job *job
}

// finalize sets the job's only answer, sends it to all waiting requests and
// withdraws the job's waiting tasks.
func (s *Scheduler) finalize(j *job, event jobEvent, a shallotrouter.Answer) {
	next, ok := jobMachine.Next(j.state, event)
	if !ok {
		s.reportViolation("one truthful answer", "event %s of job %d in state %s with %d tasks started", event, j.number, j.state, j.startedTasks)
		return
	}
	j.state = next
	j.finishedAt = s.now
	a.Elapsed = shallotrouter.Duration(s.now.Sub(j.admittedAt))
	a.Host = s.Host
	j.answer = &a
	s.withdraw(j)
	s.deadlines.Remove(&j.deadlineEntry)
	s.retainAnswer(j)
	for _, request := range j.waiters {
		s.emit(Reply{Request: request, Number: j.number, Answer: a})
	}
	j.waiters = nil
	s.openJobs--
	s.emit(Decision{Action: Finalize, Number: j.number, Client: j.client, Outcome: a.Outcome, Reason: string(a.Reason)})
}

// withdraw removes the job's waiting tasks from the queue. The cost does not
// depend on the number of tasks.
func (s *Scheduler) withdraw(j *job) {
	j.specs = nil
	if j.flow == nil || len(j.queue) == 0 {
		return
	}
	f := j.flow
	f.jobs.Remove(j)
	f.waiting -= len(j.queue)
	f.queuedWork -= j.queuedWork
	s.waitingTasks -= len(j.queue)
	f.pool.waiting -= len(j.queue)
	j.queue = nil
	j.queuedWork = 0
	if f.waiting == 0 {
		f.pool.active.Remove(f)
	}
}

// complete answers a job whose tasks are all done.
func (s *Scheduler) complete(j *job) {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		if j.tasks[i].state != taskDone {
			s.reportViolation("complete or failed", "job %d completes with task %d in state %s", j.number, i, j.tasks[i].state)
			return
		}
		results[i] = j.tasks[i].result
		j.resultBytes += len(results[i])
	}
	s.finalize(j, jobComplete, shallotrouter.Answer{Outcome: shallotrouter.Complete, Results: results})
}

// abortJob ends a job without a result: as refused if none of its tasks may have
// started, as failed otherwise. A retryAfter of 0 names no delay.
func (s *Scheduler) abortJob(j *job, reason shallotrouter.Reason, message string, retryAfter time.Duration) {
	event, outcome := jobFail, shallotrouter.Failed
	if j.startedTasks == 0 {
		event, outcome = jobRefuse, shallotrouter.Refused
	} else {
		message = fmt.Sprintf("%d of %d tasks may have run: %s", j.startedTasks, len(j.tasks), message)
	}
	s.finalize(j, event, shallotrouter.Answer{
		Outcome: outcome, Reason: reason, Message: message, After: shallotrouter.Duration(retryAfter),
	})
}

// retainAnswer retains the job's answer for resubmissions, within the limits of
// age, size and number.
func (s *Scheduler) retainAnswer(j *job) {
	s.retained = append(s.retained, j)
	s.retainedBytes += j.resultBytes
	s.dropOldAnswers()
}

// dropOldAnswers drops the oldest answers until the limits of age, size and number
// are met.
func (s *Scheduler) dropOldAnswers() {
	for len(s.retained) > 0 {
		j := s.retained[0]
		isRecent := s.now.Sub(j.finishedAt) < s.Bounds.AnswerRetention
		if isRecent && s.retainedBytes <= s.Bounds.MaxRetainedBytes && len(s.retained) <= s.Bounds.MaxRetainedJobs {
			return
		}
		s.retained = s.retained[1:]
		s.retainedBytes -= j.resultBytes
		j.answer.Results = nil
		j.resultBytes = 0
		if j.inFlight == 0 {
			delete(s.jobs, j.number)
		} else {
			j.answerForgotten = true
		}
	}
}

// queueTasks fills the job's queue. The task with the longest expected run time
// starts first, because the job is answered when its last task ends.
func queueTasks(j *job, p *pool) {
	j.queue = make([]int, len(j.specs))
	for i, spec := range j.specs {
		j.queue[i] = i
		j.tasks[i].kind = spec.Kind
		j.tasks[i].state = taskQueued
		j.tasks[i].expected = p.estimates.ExpectedRunTime(spec.Kind, time.Duration(spec.Expect))
		j.queuedWork += j.tasks[i].expected
	}
	slices.SortStableFunc(j.queue, func(a, b int) int {
		return int(j.tasks[a].expected - j.tasks[b].expected)
	})
}

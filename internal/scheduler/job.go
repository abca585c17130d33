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
	sent     time.Time
	charge   time.Duration // expected run time charged at the start
	long     bool
	result   []byte
}

// job is one admitted submission. It stays until its answer is forgotten.
type job struct {
	holder.Index // place among the client's waiting jobs

	number   uint64
	digest   uint64
	client   string
	service  string
	state    jobState
	tasks    []task
	specs    []shallotrouter.Task
	queue    []int // waiting tasks; the next one is at the end
	flow     *flow
	key      float64 // order among the client's jobs
	begun    int     // tasks that may have started
	done     int
	inflight int
	admitted time.Time
	deadline time.Time
	due      due
	waiters  []uint64
	answer   *shallotrouter.Answer
	finished time.Time
	size     int           // bytes of results
	work     time.Duration // expected run time of the waiting tasks
	dropped  bool          // the answer is forgotten, but tasks are in flight
	paused   bool          // the host was frozen since the job was admitted
}

// due is a job's place among all deadlines.
type due struct {
	holder.Index
	job *job
}

// finalize gives the job its one answer and withdraws its waiting tasks.
func (s *Scheduler) finalize(j *job, event jobEvent, a shallotrouter.Answer) {
	next, ok := jobMachine.Next(j.state, event)
	if !ok {
		s.violate("one truthful answer", "%s of job %d in state %s with %d tasks begun", event, j.number, j.state, j.begun)
		return
	}
	j.state = next
	j.finished = s.now
	a.Elapsed = shallotrouter.Duration(s.now.Sub(j.admitted))
	a.Host = s.Host
	j.answer = &a
	s.withdraw(j)
	s.due.Remove(&j.due)
	s.remember(j)
	for _, request := range j.waiters {
		s.emit(Reply{Request: request, Number: j.number, Answer: a})
	}
	j.waiters = nil
	s.open--
	s.emit(Decide{Action: Finalize, Number: j.number, Client: j.client, Outcome: a.Outcome, Reason: string(a.Reason)})
}

// withdraw takes the job's waiting tasks out of the queue. It costs the same
// for any number of tasks.
func (s *Scheduler) withdraw(j *job) {
	j.specs = nil
	if j.flow == nil || len(j.queue) == 0 {
		return
	}
	f := j.flow
	f.jobs.Remove(j)
	f.waiting -= len(j.queue)
	f.work -= j.work
	s.waiting -= len(j.queue)
	f.pool.waiting -= len(j.queue)
	j.queue = nil
	j.work = 0
	if f.waiting == 0 {
		f.pool.active.Remove(f)
	}
}

// complete answers a job whose tasks are all done.
func (s *Scheduler) complete(j *job) {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		if j.tasks[i].state != taskDone {
			s.violate("complete or failed", "job %d completes with task %d %s", j.number, i, j.tasks[i].state)
			return
		}
		results[i] = j.tasks[i].result
		j.size += len(results[i])
	}
	s.finalize(j, jobComplete, shallotrouter.Answer{Outcome: shallotrouter.Complete, Results: results})
}

// abandon ends a job without a result: as refused when no task of it may have
// started, as failed otherwise.
func (s *Scheduler) abandon(j *job, reason shallotrouter.Reason, message string, after time.Duration) {
	event, outcome := jobFail, shallotrouter.Failed
	if j.begun == 0 {
		event, outcome = jobRefuse, shallotrouter.Refused
	} else {
		message = fmt.Sprintf("%d of %d tasks may have run: %s", j.begun, len(j.tasks), message)
	}
	s.finalize(j, event, shallotrouter.Answer{
		Outcome: outcome, Reason: reason, Message: message, After: shallotrouter.Duration(after),
	})
}

// remember keeps the answer for resubmissions within the bounds of time and
// bytes.
func (s *Scheduler) remember(j *job) {
	s.kept = append(s.kept, j)
	s.keptBytes += j.size
	s.forget()
}

// forget drops answers that are too old or too many.
func (s *Scheduler) forget() {
	for len(s.kept) > 0 {
		j := s.kept[0]
		young := s.now.Sub(j.finished) < s.Bounds.Keep
		if young && s.keptBytes <= s.Bounds.KeepBytes && len(s.kept) <= s.Bounds.KeepJobs {
			return
		}
		s.kept = s.kept[1:]
		s.keptBytes -= j.size
		j.answer.Results = nil
		j.size = 0
		if j.inflight == 0 {
			delete(s.jobs, j.number)
		} else {
			j.dropped = true
		}
	}
}

// arrange orders the tasks so that the one expected to run longest starts
// first, because the job is answered when its last task ends.
func arrange(j *job, p *pool) {
	j.queue = make([]int, len(j.specs))
	for i, spec := range j.specs {
		j.queue[i] = i
		j.tasks[i].kind = spec.Kind
		j.tasks[i].state = taskQueued
		j.tasks[i].charge = p.estimates.Mean(spec.Kind, time.Duration(spec.Expect))
		j.work += j.tasks[i].charge
	}
	slices.SortStableFunc(j.queue, func(a, b int) int {
		return int(j.tasks[a].charge - j.tasks[b].charge)
	})
}

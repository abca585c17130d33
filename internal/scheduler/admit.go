package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

// handleIssue issues a block of ticket numbers.
func (s *Scheduler) handleIssue(e Issue) {
	if s.Phase() != Serving {
		s.emit(Issued{Request: e.Request, Err: s.notServingError()})
		return
	}
	if e.Count < 1 || e.Count > MaxTicketBlock {
		err := shallotrouter.Errorf(shallotrouter.Malformed, "%d tickets were asked for; ask for 1 to %d at a time", e.Count, MaxTicketBlock)
		s.emit(Issued{Request: e.Request, Err: err})
		return
	}
	first := s.ledger.Issue(s.now, e.Count)
	s.emit(Issued{Request: e.Request, First: first, Count: e.Count, Expires: s.now.Add(s.Bounds.TicketLifetime)})
}

// MaxTicketBlock is the maximum number of tickets in one Issue event.
const MaxTicketBlock = 1000

// maxWaiters limits the requests that wait for the answer to one job.
const maxWaiters = 16

// handleSubmit admits a job, or adds the request to the waiters of the job that
// was submitted with the same ticket, or refuses the job. A refusal leaves the
// ticket unused.
func (s *Scheduler) handleSubmit(e Submit) {
	if e.Number == 0 {
		e.Number = s.ledger.Issue(s.now, 1)
	}
	if s.answerUsedTicket(e) {
		return
	}
	if err := s.checkAdmission(e); err != nil {
		s.refuseSubmission(e, err)
		return
	}
	if !s.ledger.Use(e.Number) {
		s.reportViolation("a ticket starts one job", "ticket %d was fresh and could not be marked as used", e.Number)
		return
	}
	p := s.pools[e.Job.Service]
	j := &job{
		number: e.Number, digest: e.Digest, client: e.Client, service: e.Job.Service, state: jobWaiting,
		specs: e.Job.Tasks, tasks: make([]task, len(e.Job.Tasks)),
		admittedAt: s.now, deadline: s.now.Add(time.Duration(e.Job.Deadline)),
		waiters: []uint64{e.Request},
	}
	queueTasks(j, p)
	f := p.flow(e.Client, s.declaredWeight(e.Client))
	if err := s.checkDeadline(f, j); err != nil {
		s.ledger.Release(e.Number)
		s.refuseSubmission(e, err)
		return
	}
	s.jobs[e.Number] = j
	s.openJobs++
	s.waitingTasks += len(j.queue)
	f.enqueue(j)
	j.deadlineEntry.job = j
	s.deadlines.Push(&j.deadlineEntry)
	s.emit(Decision{Action: Admit, Number: j.number, Client: j.client})
	s.publishUrgentDemand(p)
	s.dispatch(p)
}

// publishUrgentDemand publishes a report at once and divides the slots again when
// the host's demand exceeds its quota and has grown by minDemandGrowth since the
// last report.
func (s *Scheduler) publishUrgentDemand(p *pool) {
	if p.running+p.waiting <= p.quota || s.currentDemand(p) <= s.reportedDemand(p)*minDemandGrowth || s.now.Sub(s.publishedAt) < minReportInterval {
		return
	}
	s.publish()
	s.divideSlots(p)
}

// answerUsedTicket answers a submission whose ticket is not fresh. It reports
// false, without an answer, when the ticket is fresh.
func (s *Scheduler) answerUsedTicket(e Submit) bool {
	if j := s.jobs[e.Number]; j != nil {
		if j.client == e.Client && j.digest != 0 && e.Digest != 0 && j.digest != e.Digest {
			s.refuseSubmission(e, shallotrouter.Errorf(shallotrouter.Malformed, "the ticket was used for another job; take a ticket for each job"))
			return true
		}
		s.addWaiter(j, e.Request, e.Client)
		return true
	}
	switch s.ledger.Lookup(e.Number) {
	case ticketer.Unused:
		return false
	case ticketer.Expired:
		s.refuseSubmission(e, shallotrouter.Errorf(shallotrouter.Expired, "the ticket expired unused; take a new one"))
	case ticketer.NeverIssued:
		s.refuseSubmission(e, shallotrouter.Errorf(shallotrouter.Malformed, "the ticket was never given; take a new one"))
	case ticketer.Used, ticketer.Forgotten:
		s.emit(Reply{Request: e.Request, Number: e.Number, Answer: forgottenAnswer()})
	}
	return true
}

// forgottenAnswer returns the answer for a ticket whose job is no longer known.
func forgottenAnswer() shallotrouter.Answer {
	return shallotrouter.Answer{
		Outcome: shallotrouter.Lost, Reason: shallotrouter.Forgotten,
		Message: "the job may have run and its answer is no longer kept; find out before submitting it under a new ticket",
	}
}

// addWaiter answers the request at once if the job is answered, belongs to another
// client or has too many waiters. Otherwise the request waits for the job's answer.
func (s *Scheduler) addWaiter(j *job, request uint64, client string) {
	switch {
	case j.client != client:
		err := shallotrouter.Errorf(shallotrouter.Unauthorized, "the ticket belongs to another client; use your own")
		s.emit(Reply{Request: request, Number: j.number, Answer: refusalAnswer(err, s.Host)})
	case j.answerForgotten:
		s.emit(Reply{Request: request, Number: j.number, Answer: forgottenAnswer()})
	case j.answer != nil:
		s.emit(Reply{Request: request, Number: j.number, Answer: *j.answer})
	case len(j.waiters) >= maxWaiters:
		a := forgottenAnswer()
		a.Message = "too many requests wait for this job; ask for its state instead"
		a.After = shallotrouter.Duration(minBackoff)
		s.emit(Reply{Request: request, Number: j.number, Answer: a})
	default:
		j.waiters = append(j.waiters, request)
	}
}

// checkAdmission returns the reason why a job cannot be admitted, or nil.
func (s *Scheduler) checkAdmission(e Submit) *shallotrouter.Error {
	if s.Phase() != Serving {
		return s.notServingError()
	}
	c, known := s.clients[e.Client]
	if !known {
		return shallotrouter.Errorf(shallotrouter.Unauthorized, "client %s is not declared; have an operator declare it", e.Client)
	}
	p := s.pools[e.Job.Service]
	if p == nil || (len(c.Services) > 0 && !c.Services.Has(e.Job.Service)) {
		return shallotrouter.Errorf(shallotrouter.Unknown, "service %q is not open to client %s; name a declared service", e.Job.Service, e.Client)
	}
	preset := s.config.ActivePreset()
	if !preset.AdmitJobs {
		return withRetryAfter(preset.RetryDelay, shallotrouter.Errorf(shallotrouter.Maintenance, "preset %s takes no new work; come back after the time given", preset.Name))
	}
	if s.usableSlots(p) == 0 {
		return withRetryAfter(defaultRetryAfter, shallotrouter.Errorf(shallotrouter.Unready, "service %s has no usable target in this zone; come back after the time given", e.Job.Service))
	}
	f := p.flows[e.Client]
	if f != nil && f.waiting > 0 && f.waiting+len(e.Job.Tasks) > preset.MaxWaitingTasks || s.waitingTasks+len(e.Job.Tasks) > s.Bounds.MaxWaitingTasks {
		return withRetryAfter(s.clientBackoff(f), shallotrouter.Errorf(shallotrouter.Overload, "the queue is full; come back after the time given"))
	}
	return nil
}

// checkDeadline returns an error if the client's waiting work is expected to take
// more than maxWaitFraction of the time until the job's deadline.
func (s *Scheduler) checkDeadline(f *flow, j *job) *shallotrouter.Error {
	wait := f.estimatedWait()
	maxWait := time.Duration(float64(j.deadline.Sub(s.now)) * maxWaitFraction)
	if wait <= maxWait {
		return nil
	}
	return withRetryAfter(min(max(wait-maxWait, minBackoff), maxBackoff),
		shallotrouter.Errorf(shallotrouter.Deadline, "the deadline cannot be met behind %v of waiting work; come back after the time given, or allow more time", wait.Round(time.Millisecond)))
}

// maxWaitFraction is the fraction of the time until its deadline that a job may be
// expected to wait.
const maxWaitFraction = 0.8

// notServingError returns the reason why the host accepts no jobs in its current
// phase.
func (s *Scheduler) notServingError() *shallotrouter.Error {
	switch s.Phase() {
	case Draining, Halted:
		return withRetryAfter(minBackoff, shallotrouter.Errorf(shallotrouter.Draining, "this host is shutting down; go to another entry host"))
	case Suspended:
		return withRetryAfter(minBackoff, shallotrouter.Errorf(shallotrouter.Paused, "this host was frozen and reads its state anew; come back after the time given"))
	case Starting, Serving:
	}
	return withRetryAfter(defaultRetryAfter, shallotrouter.Errorf(shallotrouter.Unready, "this host has no configuration yet; go to another entry host"))
}

// handleCancel cancels a job. It marks a fresh ticket as used, so that a submission
// that arrives later does not run.
func (s *Scheduler) handleCancel(e Cancel) {
	j := s.jobs[e.Number]
	if j == nil && s.ledger.Use(e.Number) {
		j = &job{number: e.Number, client: e.Client, state: jobWaiting, admittedAt: s.now}
		s.jobs[e.Number] = j
		s.openJobs++
	}
	if j == nil {
		s.answerUsedTicket(Submit{Request: e.Request, Client: e.Client, Number: e.Number})
		return
	}
	if j.client == e.Client && j.answer == nil {
		s.abortJob(j, shallotrouter.Cancelled, "the client cancelled the job; submit a new one to run it", 0)
	}
	s.addWaiter(j, e.Request, e.Client)
}

// handleInspect answers with the state of a job.
func (s *Scheduler) handleInspect(e InspectJob) {
	j := s.jobs[e.Number]
	if j == nil || j.answerForgotten || j.client != e.Client {
		a := forgottenAnswer()
		switch s.ledger.Lookup(e.Number) {
		case ticketer.Unused, ticketer.Expired, ticketer.NeverIssued:
			a = refusalAnswer(shallotrouter.Errorf(shallotrouter.Unknown, "nothing was submitted under this ticket; submit the job"), s.Host)
		case ticketer.Used, ticketer.Forgotten:
		}
		s.emit(JobInspected{Request: e.Request, State: shallotrouter.State{Answer: &a}})
		return
	}
	s.emit(JobInspected{Request: e.Request, State: shallotrouter.State{
		Waiting: len(j.queue), Running: j.inFlight, Done: j.doneTasks, Answer: j.answer,
	}})
}

// refuseSubmission refuses a submission; none of its tasks was started.
func (s *Scheduler) refuseSubmission(e Submit, err *shallotrouter.Error) {
	s.emit(Reply{Request: e.Request, Number: e.Number, Answer: refusalAnswer(err, s.Host)})
	s.emit(Decision{Action: Finalize, Number: e.Number, Client: e.Client, Outcome: shallotrouter.Refused, Reason: string(err.Reason)})
}

func refusalAnswer(err *shallotrouter.Error, host string) shallotrouter.Answer {
	return shallotrouter.Answer{
		Outcome: shallotrouter.Refused, Reason: err.Reason, Message: err.Message,
		After: shallotrouter.Duration(err.After), Host: host,
	}
}

func withRetryAfter(d time.Duration, err *shallotrouter.Error) *shallotrouter.Error {
	err.After = d
	return err
}

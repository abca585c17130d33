package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

// issue gives a block of ticket numbers.
func (s *Scheduler) issue(e Issue) {
	if s.Phase() != Serving {
		s.emit(Issued{Request: e.Request, Err: s.unready()})
		return
	}
	if e.Count < 1 || e.Count > MaxBlock {
		err := shallotrouter.Errorf(shallotrouter.Malformed, "%d tickets were asked for; ask for 1 to %d at a time", e.Count, MaxBlock)
		s.emit(Issued{Request: e.Request, Err: err})
		return
	}
	first := s.ledger.Give(s.now, e.Count)
	s.emit(Issued{Request: e.Request, First: first, Count: e.Count, Expires: s.now.Add(s.Bounds.Life)})
}

// MaxBlock bounds the tickets that one call takes.
const MaxBlock = 1000

// maxWaiters bounds the requests that wait for one job.
const maxWaiters = 16

// submit admits a job, or joins the request to the job that already holds the
// ticket, or refuses it. A refusal leaves the ticket unused.
func (s *Scheduler) submit(e Submit) {
	if e.Number == 0 {
		e.Number = s.ledger.Give(s.now, 1)
	}
	if s.joined(e) {
		return
	}
	if err := s.check(e); err != nil {
		s.refuse(e, err)
		return
	}
	if !s.ledger.Take(e.Number) {
		s.violate("a ticket starts one job", "ticket %d is taken twice", e.Number)
		return
	}
	p := s.pools[e.Job.Service]
	j := &job{
		number: e.Number, digest: e.Digest, client: e.Client, service: e.Job.Service, state: jobWaiting,
		specs: e.Job.Tasks, tasks: make([]task, len(e.Job.Tasks)),
		admitted: s.now, deadline: s.now.Add(time.Duration(e.Job.Deadline)),
		waiters: []uint64{e.Request},
	}
	arrange(j, p)
	f := p.flow(e.Client, s.weight(e.Client))
	if err := s.inTime(f, j); err != nil {
		s.ledger.Return(e.Number)
		s.refuse(e, err)
		return
	}
	s.jobs[e.Number] = j
	s.open++
	s.waiting += len(j.queue)
	f.enqueue(j)
	j.due.job = j
	s.due.Push(&j.due)
	s.emit(Decide{Action: Admit, Number: j.number, Client: j.client})
	s.reshare(p)
	s.dispatch(p)
}

// reshare tells the peers at once when the host wants more than its quota and
// more than it last asked for, and divides the pool anew.
func (s *Scheduler) reshare(p *pool) {
	if p.running+p.waiting <= p.quota || s.wants(p) <= s.asked(p)*askGrowth || s.now.Sub(s.published) < urgentGap {
		return
	}
	s.publish()
	s.share(p)
}

// joined answers a submission whose ticket is not fresh.
func (s *Scheduler) joined(e Submit) bool {
	if j := s.jobs[e.Number]; j != nil {
		if j.client == e.Client && j.digest != 0 && e.Digest != 0 && j.digest != e.Digest {
			s.refuse(e, shallotrouter.Errorf(shallotrouter.Malformed, "the ticket was used for another job; take a ticket for each job"))
			return true
		}
		s.join(j, e.Request, e.Client)
		return true
	}
	switch s.ledger.Look(e.Number) {
	case ticketer.Fresh:
		return false
	case ticketer.Stale:
		s.refuse(e, shallotrouter.Errorf(shallotrouter.Expired, "the ticket expired unused; take a new one"))
	case ticketer.Foreign:
		s.refuse(e, shallotrouter.Errorf(shallotrouter.Malformed, "the ticket was never given; take a new one"))
	case ticketer.Used, ticketer.Gone:
		s.emit(Reply{Request: e.Request, Number: e.Number, Answer: forgotten()})
	}
	return true
}

// forgotten is the answer to a ticket whose job is no longer known.
func forgotten() shallotrouter.Answer {
	return shallotrouter.Answer{
		Outcome: shallotrouter.Lost, Reason: shallotrouter.Forgotten,
		Message: "the job may have run and its answer is no longer kept; find out before submitting it under a new ticket",
	}
}

// join adds a request to those that wait for the job's answer.
func (s *Scheduler) join(j *job, request uint64, client string) {
	switch {
	case j.client != client:
		err := shallotrouter.Errorf(shallotrouter.Unauthorized, "the ticket belongs to another client; use your own")
		s.emit(Reply{Request: request, Number: j.number, Answer: refusal(err, s.Host)})
	case j.dropped:
		s.emit(Reply{Request: request, Number: j.number, Answer: forgotten()})
	case j.answer != nil:
		s.emit(Reply{Request: request, Number: j.number, Answer: *j.answer})
	case len(j.waiters) >= maxWaiters:
		a := forgotten()
		a.Message = "too many requests wait for this job; ask for its state instead"
		a.After = shallotrouter.Duration(minBackoff)
		s.emit(Reply{Request: request, Number: j.number, Answer: a})
	default:
		j.waiters = append(j.waiters, request)
	}
}

// check returns why a job cannot be admitted, or nil.
func (s *Scheduler) check(e Submit) *shallotrouter.Error {
	if s.Phase() != Serving {
		return s.unready()
	}
	c, known := s.clients[e.Client]
	if !known {
		return shallotrouter.Errorf(shallotrouter.Unauthorized, "client %s is not declared; have an operator declare it", e.Client)
	}
	p := s.pools[e.Job.Service]
	if p == nil || (len(c.Services) > 0 && !c.Services.Has(e.Job.Service)) {
		return shallotrouter.Errorf(shallotrouter.Unknown, "service %q is not open to client %s; name a declared service", e.Job.Service, e.Client)
	}
	preset := s.config.Current()
	if !preset.Admit {
		return after(preset.Return, shallotrouter.Errorf(shallotrouter.Maintenance, "preset %s takes no new work; come back after the time given", preset.Name))
	}
	if s.slots(p) == 0 {
		return after(retryAfter, shallotrouter.Errorf(shallotrouter.Unready, "service %s has no usable target in this zone; come back after the time given", e.Job.Service))
	}
	f := p.flows[e.Client]
	if f != nil && f.waiting > 0 && f.waiting+len(e.Job.Tasks) > preset.Queue || s.waiting+len(e.Job.Tasks) > s.Bounds.Waiting {
		return after(s.backoff(f), shallotrouter.Errorf(shallotrouter.Overload, "the queue is full; come back after the time given"))
	}
	return nil
}

// inTime refuses a job that would still be waiting at its deadline.
func (s *Scheduler) inTime(f *flow, j *job) *shallotrouter.Error {
	wait := f.wait()
	slack := time.Duration(float64(j.deadline.Sub(s.now)) * admitSlack)
	if wait <= slack {
		return nil
	}
	return after(min(max(wait-slack, minBackoff), maxBackoff),
		shallotrouter.Errorf(shallotrouter.Deadline, "the deadline cannot be met behind %v of waiting work; come back after the time given, or allow more time", wait.Round(time.Millisecond)))
}

// admitSlack is the part of a job's time that it may be expected to wait.
const admitSlack = 0.8

// unready tells why the host takes no job in its phase.
func (s *Scheduler) unready() *shallotrouter.Error {
	switch s.Phase() {
	case Draining, Halted:
		return after(minBackoff, shallotrouter.Errorf(shallotrouter.Draining, "this host is shutting down; go to another entry host"))
	case Suspended:
		return after(minBackoff, shallotrouter.Errorf(shallotrouter.Paused, "this host was frozen and reads its state anew; come back after the time given"))
	case Starting, Serving:
	}
	return after(retryAfter, shallotrouter.Errorf(shallotrouter.Unready, "this host has no configuration yet; go to another entry host"))
}

// cancel withdraws a job. A fresh ticket is used up, so that a submission that
// is still on its way does not run.
func (s *Scheduler) cancel(e Cancel) {
	j := s.jobs[e.Number]
	if j == nil && s.ledger.Take(e.Number) {
		j = &job{number: e.Number, client: e.Client, state: jobWaiting, admitted: s.now}
		s.jobs[e.Number] = j
		s.open++
	}
	if j == nil {
		s.joined(Submit{Request: e.Request, Client: e.Client, Number: e.Number})
		return
	}
	if j.client == e.Client && j.answer == nil {
		s.abandon(j, shallotrouter.Cancelled, "the client cancelled the job; submit a new one to run it", 0)
	}
	s.join(j, e.Request, e.Client)
}

// inspect tells the state of a job.
func (s *Scheduler) inspect(e Inspect) {
	j := s.jobs[e.Number]
	if j == nil || j.dropped || j.client != e.Client {
		a := forgotten()
		switch s.ledger.Look(e.Number) {
		case ticketer.Fresh, ticketer.Stale, ticketer.Foreign:
			a = refusal(shallotrouter.Errorf(shallotrouter.Unknown, "nothing was submitted under this ticket; submit the job"), s.Host)
		case ticketer.Used, ticketer.Gone:
		}
		s.emit(Shown{Request: e.Request, State: shallotrouter.State{Answer: &a}})
		return
	}
	s.emit(Shown{Request: e.Request, State: shallotrouter.State{
		Waiting: len(j.queue), Running: j.inflight, Done: j.done, Answer: j.answer,
	}})
}

// refuse answers a submission of which nothing was started.
func (s *Scheduler) refuse(e Submit, err *shallotrouter.Error) {
	s.emit(Reply{Request: e.Request, Number: e.Number, Answer: refusal(err, s.Host)})
	s.emit(Decide{Action: Finalize, Number: e.Number, Client: e.Client, Outcome: shallotrouter.Refused, Reason: string(err.Reason)})
}

func refusal(err *shallotrouter.Error, host string) shallotrouter.Answer {
	return shallotrouter.Answer{
		Outcome: shallotrouter.Refused, Reason: err.Reason, Message: err.Message,
		After: shallotrouter.Duration(err.After), Host: host,
	}
}

func after(d time.Duration, err *shallotrouter.Error) *shallotrouter.Error {
	err.After = d
	return err
}

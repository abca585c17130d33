package server

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

const (
	// maxKind bounds the kind of a task in bytes.
	maxKind = 64
	// maxDeadline bounds a job's deadline.
	maxDeadline = time.Hour
	// minDeadline is the least deadline that makes sense.
	minDeadline = time.Millisecond
)

// Count is the body of a request for tickets.
type Count struct {
	Count int `json:"count"`
}

// tickets gives a block of tickets.
func (s *Server) tickets(w http.ResponseWriter, r *http.Request) {
	client, refused := s.identify(r)
	if refused != nil {
		s.fail(w, refused)
		return
	}
	body := Count{Count: 1}
	if r.ContentLength != 0 {
		if err := read(r, &body); err != nil {
			s.fail(w, err)
			return
		}
	}
	issued, err := s.Runner.Issue(r.Context(), client, body.Count)
	if err != nil {
		s.fail(w, err)
		return
	}
	grant := shallotrouter.Grant{Expires: issued.Expires, Tickets: make([]string, issued.Count)}
	for i := range grant.Tickets {
		grant.Tickets[i] = s.text(client, issued.First+uint64(i))
	}
	write(w, http.StatusOK, 0, grant)
}

// text returns the sealed text of one of this process's tickets.
func (s *Server) text(client string, number uint64) string {
	text, err := s.Sealer.Seal(ticketer.Ticket{Home: s.Address, Incarnation: s.Incarnation, Number: number, Client: client})
	if err != nil {
		s.Log.Error(err, "ticket not sealed")
	}
	return text
}

// submit runs a job and answers when it is final. A client that goes away may
// submit the same ticket again and gets the same answer.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	client, refused := s.identify(r)
	if refused != nil {
		s.doubt(w, refused)
		return
	}
	var job shallotrouter.Job
	if err := read(r, &job); err != nil {
		s.fail(w, err)
		return
	}
	if err := check(&job); err != nil {
		s.fail(w, err)
		return
	}
	ticket, err := s.open(job.Ticket, client)
	if err != nil {
		s.fail(w, err)
		return
	}
	if !s.ours(ticket) {
		a := s.away(r.Context(), ticket, client, http.MethodPost, &job)
		write(w, status(a), time.Duration(a.After), a)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(job.Deadline)+answerGrace)
	defer cancel()
	reply, failed := s.Runner.Submit(ctx, client, ticket.Number, job)
	s.reply(w, client, ticket.Number, reply.Number, reply.Answer, failed)
}

// answerGrace is how long past its deadline a job's answer may take.
const answerGrace = 5 * time.Second

// open reads a ticket and checks that it is the client's. An empty text gives a
// ticket with number 0, which this host starts itself.
func (s *Server) open(text, client string) (ticketer.Ticket, *shallotrouter.Error) {
	if text == "" {
		return ticketer.Ticket{Home: s.Address, Incarnation: s.Incarnation, Client: client}, nil
	}
	t, err := s.Sealer.Open(text)
	if err != nil {
		var e *shallotrouter.Error
		errors.As(err, &e)
		return t, e
	}
	if t.Client != client {
		return t, shallotrouter.Errorf(shallotrouter.Unauthorized, "the ticket belongs to another client; use your own")
	}
	return t, nil
}

// ours reports whether this process gave the ticket.
func (s *Server) ours(t ticketer.Ticket) bool {
	return t.Home == s.Address && t.Incarnation == s.Incarnation
}

// away answers for a ticket of another process, and never runs its job.
func (s *Server) away(ctx context.Context, t ticketer.Ticket, client, method string, job *shallotrouter.Job) shallotrouter.Answer {
	if t.Home == s.Address {
		return shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: shallotrouter.Restarted,
			Message: "the host that gave the ticket has started anew, and the job may have run; find out before submitting it under a new ticket",
		}
	}
	return s.Forwarder.Forward(ctx, t, client, method, job)
}

// check refuses a job that breaks the bounds of a submission.
func check(job *shallotrouter.Job) *shallotrouter.Error {
	deadline := time.Duration(job.Deadline)
	switch {
	case job.Service == "":
		return shallotrouter.Errorf(shallotrouter.Malformed, "the job names no service; set service")
	case len(job.Tasks) == 0:
		return shallotrouter.Errorf(shallotrouter.Malformed, "the job has no tasks; give it 1 to %d", shallotrouter.MaxTasks)
	case len(job.Tasks) > shallotrouter.MaxTasks:
		return shallotrouter.Errorf(shallotrouter.Oversized, "the job has %d tasks; split it into jobs of at most %d", len(job.Tasks), shallotrouter.MaxTasks)
	case deadline < minDeadline || deadline > maxDeadline:
		return shallotrouter.Errorf(shallotrouter.Malformed, "deadline %v is out of bounds; set it from %v to %v", deadline, minDeadline, maxDeadline)
	case job.Ticket == "" && !job.Idempotent:
		return shallotrouter.Errorf(shallotrouter.Malformed, "a job that is not idempotent needs a ticket; take one from /v1/tickets first")
	}
	for i, t := range job.Tasks {
		if t.Kind == "" || len(t.Kind) > maxKind || !printable(t.Kind) {
			return shallotrouter.Errorf(shallotrouter.Malformed, "task %d has no good kind; set 1 to %d printable characters", i, maxKind)
		}
		if t.Expect < 0 {
			return shallotrouter.Errorf(shallotrouter.Malformed, "task %d expects a negative time; set a time of zero or more", i)
		}
	}
	return nil
}

// printable reports whether the text may stand in an HTTP header.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// reply writes the answer to a submission or a cancellation.
func (s *Server) reply(w http.ResponseWriter, client string, asked, number uint64, a shallotrouter.Answer, err error) {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		a = shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: shallotrouter.Deadline,
			Message: "no answer came in time and the job may have run; ask for its state",
		}
	case err != nil:
		a = shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: shallotrouter.Draining,
			Message: "this host shut down and the job may have run; find out before submitting it under a new ticket",
		}
	}
	if number == 0 {
		number = asked
	}
	if number > 0 {
		a.Ticket = s.text(client, number)
	}
	write(w, status(a), time.Duration(a.After), a)
}

// inspect tells the state of a job.
func (s *Server) inspect(w http.ResponseWriter, r *http.Request) {
	client, ticket, ok := s.named(w, r)
	if !ok {
		return
	}
	if !s.ours(ticket) {
		a := s.away(r.Context(), ticket, client, http.MethodGet, nil)
		write(w, status(a), 0, shallotrouter.State{Ticket: r.PathValue("ticket"), Answer: &a})
		return
	}
	state, err := s.Runner.Inspect(r.Context(), client, ticket.Number)
	if err != nil {
		s.reply(w, client, ticket.Number, 0, shallotrouter.Answer{}, err)
		return
	}
	state.Ticket = r.PathValue("ticket")
	write(w, http.StatusOK, 0, state)
}

// cancel withdraws a job.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	client, ticket, ok := s.named(w, r)
	if !ok {
		return
	}
	if !s.ours(ticket) {
		a := s.away(r.Context(), ticket, client, http.MethodDelete, nil)
		write(w, status(a), time.Duration(a.After), a)
		return
	}
	reply, err := s.Runner.Cancel(r.Context(), client, ticket.Number)
	s.reply(w, client, ticket.Number, reply.Number, reply.Answer, err)
}

// named returns the client and the ticket that the request's path names.
func (s *Server) named(w http.ResponseWriter, r *http.Request) (string, ticketer.Ticket, bool) {
	client, refused := s.identify(r)
	if refused != nil {
		s.doubt(w, refused)
		return "", ticketer.Ticket{}, false
	}
	ticket, refused := s.open(r.PathValue("ticket"), client)
	if refused != nil {
		s.doubt(w, refused)
		return "", ticketer.Ticket{}, false
	}
	return client, ticket, true
}

// retryAfter returns a time in whole seconds, rounded up.
func retryAfter(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

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
	// maxKindBytes limits the length of a task's kind.
	maxKindBytes = 64
	// maxDeadline is the longest deadline that a job may have.
	maxDeadline = time.Hour
	// minDeadline is the shortest deadline that a job may have.
	minDeadline = time.Millisecond
)

// TicketRequest is the body of a request for tickets.
type TicketRequest struct {
	Count int `json:"count"`
}

// handleTickets issues a block of tickets.
func (s *Server) handleTickets(w http.ResponseWriter, r *http.Request) {
	client, refused := s.authenticate(r)
	if refused != nil {
		s.writeRefusal(w, refused)
		return
	}
	body := TicketRequest{Count: 1}
	if r.ContentLength != 0 {
		if err := decodeBody(r, &body); err != nil {
			s.writeRefusal(w, err)
			return
		}
	}
	issued, err := s.Runner.IssueTickets(r.Context(), client, body.Count)
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	grant := shallotrouter.Grant{Expires: issued.Expires, Tickets: make([]string, issued.Count)}
	for i := range grant.Tickets {
		grant.Tickets[i] = s.sealTicket(client, issued.First+uint64(i))
	}
	writeJSON(w, http.StatusOK, 0, grant)
}

// sealTicket returns the sealed text of a ticket that this process issued. It returns
// an empty text if sealing fails.
func (s *Server) sealTicket(client string, number uint64) string {
	text, err := s.Sealer.Seal(ticketer.Ticket{Home: s.Address, Incarnation: s.Incarnation, Number: number, Client: client})
	if err != nil {
		s.Log.Error(err, "failed to seal a ticket; the client gets an empty ticket")
	}
	return text
}

// handleSubmit runs a job and answers when the job has its final result. A client that
// disconnects may submit the same ticket again and gets the same answer.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	client, refused := s.authenticate(r)
	if refused != nil {
		s.writeEarlyError(w, refused)
		return
	}
	var job shallotrouter.Job
	if err := decodeBody(r, &job); err != nil {
		s.writeRefusal(w, err)
		return
	}
	if err := validateJob(&job); err != nil {
		s.writeRefusal(w, err)
		return
	}
	ticket, err := s.openTicket(job.Ticket, client)
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	if !s.isLocal(ticket) {
		a := s.answerForeignTicket(r.Context(), ticket, client, http.MethodPost, &job)
		writeJSON(w, httpStatus(a), time.Duration(a.After), a)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(job.Deadline)+answerGrace)
	defer cancel()
	reply, failed := s.Runner.Submit(ctx, client, ticket.Number, job)
	s.writeReply(w, client, ticket.Number, reply.Number, reply.Answer, failed)
}

// answerGrace is how long after the job's deadline its answer is still awaited.
const answerGrace = 5 * time.Second

// openTicket opens the sealed text of a ticket and checks that the ticket belongs to
// the client. An empty text gives a ticket of this process with number 0; the
// scheduler then assigns a number.
func (s *Server) openTicket(text, client string) (ticketer.Ticket, *shallotrouter.Error) {
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

// isLocal reports whether this process issued the ticket.
func (s *Server) isLocal(t ticketer.Ticket) bool {
	return t.Home == s.Address && t.Incarnation == s.Incarnation
}

// answerForeignTicket answers a request with a ticket that another process issued. It
// never runs the job here. If an earlier incarnation of this host issued the ticket,
// the answer has outcome Lost; otherwise the request is forwarded to the ticket's home.
func (s *Server) answerForeignTicket(ctx context.Context, t ticketer.Ticket, client, method string, job *shallotrouter.Job) shallotrouter.Answer {
	if t.Home == s.Address {
		return shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: shallotrouter.Restarted,
			Message: "the host that gave the ticket has started anew, and the job may have run; find out before submitting it under a new ticket",
		}
	}
	return s.Forwarder.Forward(ctx, t, client, method, job)
}

// validateJob returns an error if the job is incomplete or exceeds a limit.
func validateJob(job *shallotrouter.Job) *shallotrouter.Error {
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
		if t.Kind == "" || len(t.Kind) > maxKindBytes || !isPrintable(t.Kind) {
			return shallotrouter.Errorf(shallotrouter.Malformed, "task %d has no good kind; set 1 to %d printable characters", i, maxKindBytes)
		}
		if t.Expect < 0 {
			return shallotrouter.Errorf(shallotrouter.Malformed, "task %d expects a negative time; set a time of zero or more", i)
		}
	}
	return nil
}

// isPrintable reports whether the text has only visible ASCII characters, which are
// allowed in an HTTP header.
func isPrintable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// writeReply writes the answer to a submission or a cancellation. An error means that
// the scheduler gave no answer, so the job may have run. The ticket in the answer has
// the given number, or the requested number if number is 0.
func (s *Server) writeReply(w http.ResponseWriter, client string, requested, number uint64, a shallotrouter.Answer, err error) {
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
		number = requested
	}
	if number > 0 {
		a.Ticket = s.sealTicket(client, number)
	}
	writeJSON(w, httpStatus(a), time.Duration(a.After), a)
}

// handleInspect returns the state of a job.
func (s *Server) handleInspect(w http.ResponseWriter, r *http.Request) {
	client, ticket, ok := s.requestTicket(w, r)
	if !ok {
		return
	}
	if !s.isLocal(ticket) {
		a := s.answerForeignTicket(r.Context(), ticket, client, http.MethodGet, nil)
		writeJSON(w, httpStatus(a), 0, shallotrouter.State{Ticket: r.PathValue("ticket"), Answer: &a})
		return
	}
	state, err := s.Runner.InspectJob(r.Context(), client, ticket.Number)
	if err != nil {
		s.writeReply(w, client, ticket.Number, 0, shallotrouter.Answer{}, err)
		return
	}
	state.Ticket = r.PathValue("ticket")
	writeJSON(w, http.StatusOK, 0, state)
}

// handleCancel cancels a job.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	client, ticket, ok := s.requestTicket(w, r)
	if !ok {
		return
	}
	if !s.isLocal(ticket) {
		a := s.answerForeignTicket(r.Context(), ticket, client, http.MethodDelete, nil)
		writeJSON(w, httpStatus(a), time.Duration(a.After), a)
		return
	}
	reply, err := s.Runner.Cancel(r.Context(), client, ticket.Number)
	s.writeReply(w, client, ticket.Number, reply.Number, reply.Answer, err)
}

// requestTicket returns the client and the ticket that is named in the request's path.
// If it returns false, it has written an error answer.
func (s *Server) requestTicket(w http.ResponseWriter, r *http.Request) (string, ticketer.Ticket, bool) {
	client, refused := s.authenticate(r)
	if refused != nil {
		s.writeEarlyError(w, refused)
		return "", ticketer.Ticket{}, false
	}
	ticket, refused := s.openTicket(r.PathValue("ticket"), client)
	if refused != nil {
		s.writeEarlyError(w, refused)
		return "", ticketer.Ticket{}, false
	}
	return client, ticket, true
}

// retryAfterSeconds returns a duration in whole seconds, rounded up.
func retryAfterSeconds(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

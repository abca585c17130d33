package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/reporter"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

const (
	// headerForwarded carries the name of the client for which a peer forwards a
	// request.
	headerForwarded = "Shallot-Forwarded"
	// maxAnswerBytes limits the body of the answer to a forwarded request.
	maxAnswerBytes = 512 << 20
)

// Forwarder forwards requests to the home of their ticket, which is the host that
// issued the ticket. Its fields are set before use. It is safe for concurrent use.
type Forwarder struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// HTTP is the client for the requests. It must not follow redirects.
	HTTP *http.Client
	// Scheme is http or https.
	Scheme string
	// Secret is the key that all entry hosts share.
	Secret []byte
	// RequestTimeout is the timeout of requests that do not wait for a job. It is also
	// the interval of the health probes of the home while a request waits there, and
	// the timeout of each probe.
	RequestTimeout time.Duration
	// Seal returns the text of a ticket.
	Seal func(ticketer.Ticket) (string, error)
}

// Forward sends a request to the ticket's home and returns its answer. The job may
// be nil for requests that do not submit one. If the home cannot be reached, the
// answer has outcome Lost, since an earlier submission of the same ticket may have
// run there.
func (f *Forwarder) Forward(ctx context.Context, t ticketer.Ticket, client, method string, job *shallotrouter.Job) shallotrouter.Answer {
	timeout := f.RequestTimeout
	if job != nil {
		timeout += time.Duration(job.Deadline) + answerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go (&livenessProbe{forwarder: f, home: t.Home, abort: cancel}).run(ctx)
	a, err := f.sendRequest(ctx, t, client, method, job)
	if err != nil {
		return shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: shallotrouter.Unreachable, After: shallotrouter.Duration(time.Second),
			Message: "the host that gave the ticket cannot be reached, and the job may have run; come back after the time given, with the same ticket",
		}
	}
	return a
}

func (f *Forwarder) sendRequest(ctx context.Context, t ticketer.Ticket, client, method string, job *shallotrouter.Job) (shallotrouter.Answer, error) {
	var a shallotrouter.Answer
	text, err := f.Seal(t)
	if err != nil {
		return a, err
	}
	path, body := "/v1/jobs/"+text, []byte(nil)
	if job != nil {
		path = "/v1/jobs"
		if body, err = json.Marshal(job); err != nil {
			return a, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, f.Scheme+"://"+t.Home+path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	request.Header.Set("Authorization", reporter.PeerToken(f.Secret))
	request.Header.Set(headerForwarded, client)
	response, err := f.HTTP.Do(request)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusUnauthorized {
		return a, errPeerKeyRejected
	}
	a, err = decodeAnswer(io.LimitReader(response.Body, maxAnswerBytes), method)
	if err == nil && a.Outcome == "" {
		err = errNoOutcome
	}
	return a, err
}

// errPeerKeyRejected means that the home rejected this host's peer key.
var errPeerKeyRejected = errors.New("the home of the ticket rejected the peer key; set the same key on all hosts")

// errNoOutcome means that the home sent an answer without an outcome.
var errNoOutcome = errors.New("the answer from the home of the ticket has no outcome; run the same version on all hosts")

// decodeAnswer decodes the response to a request with the given method. The body
// is a State for GET and an Answer for the other methods.
func decodeAnswer(body io.Reader, method string) (shallotrouter.Answer, error) {
	if method != http.MethodGet {
		var a shallotrouter.Answer
		err := json.NewDecoder(body).Decode(&a)
		return a, err
	}
	var state shallotrouter.State
	if err := json.NewDecoder(body).Decode(&state); err != nil {
		return shallotrouter.Answer{}, err
	}
	if state.Answer != nil {
		return *state.Answer, nil
	}
	return shallotrouter.Answer{Outcome: shallotrouter.Lost, Reason: shallotrouter.Unready, Message: "the job is not final yet; ask its home again"}, nil
}

// livenessProbe checks the health of the home while a forwarded request waits for its
// answer. Without it, a paused process or a broken network path would delay the
// answer until the job's deadline (#4).
type livenessProbe struct {
	forwarder *Forwarder
	home      string
	abort     context.CancelFunc
}

// maxFailedProbes is the number of failed probes in a row after which the forwarded
// request is aborted.
const maxFailedProbes = 2

// run probes the home until the context is done, and aborts the forwarded request
// after maxFailedProbes failures in a row.
func (p *livenessProbe) run(ctx context.Context) {
	ticker := p.forwarder.Clock.NewTicker(p.forwarder.RequestTimeout)
	defer ticker.Stop()
	for failures := 0; failures < maxFailedProbes; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if p.isAlive(ctx) {
			failures = 0
		} else {
			failures++
		}
	}
	p.abort()
}

// isAlive requests the health of the home on a separate connection.
func (p *livenessProbe) isAlive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.forwarder.RequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.forwarder.Scheme+"://"+p.home+"/healthz", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := p.forwarder.HTTP.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

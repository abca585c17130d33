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
	// headerForwarded names the client for whom a peer forwards a request.
	headerForwarded = "Shallot-Forwarded"
	// maxAnswer bounds a forwarded answer in bytes.
	maxAnswer = 512 << 20
)

// Forwarder passes requests on to the home of their ticket. Its fields are set
// before use. It is safe for concurrent use.
type Forwarder struct {
	// Clock tells the time.
	Clock clockwork.Clock
	// HTTP makes the requests. It must not follow redirects.
	HTTP *http.Client
	// Scheme is http or https.
	Scheme string
	// Secret is the key that all entry hosts share.
	Secret []byte
	// Ask bounds requests that do not wait for a job, and is the period at which
	// the home of a job that is waited for has to show that it lives.
	Ask time.Duration
	// Seal returns the text of a ticket.
	Seal func(ticketer.Ticket) (string, error)
}

// Forward sends a request to the ticket's home and returns its answer. When the
// home cannot be reached the answer is Lost, since an earlier submission of the
// same ticket may have run there.
func (f *Forwarder) Forward(ctx context.Context, t ticketer.Ticket, client, method string, job *shallotrouter.Job) shallotrouter.Answer {
	limit := f.Ask
	if job != nil {
		limit += time.Duration(job.Deadline) + answerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	go (&probe{forwarder: f, home: t.Home, giveUp: cancel}).run(ctx)
	a, err := f.exchange(ctx, t, client, method, job)
	if err != nil {
		return shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: shallotrouter.Unreachable, After: shallotrouter.Duration(time.Second),
			Message: "the host that gave the ticket cannot be reached, and the job may have run; come back after the time given, with the same ticket",
		}
	}
	return a
}

func (f *Forwarder) exchange(ctx context.Context, t ticketer.Ticket, client, method string, job *shallotrouter.Job) (shallotrouter.Answer, error) {
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
	request.Header.Set("Authorization", reporter.Pass(f.Secret))
	request.Header.Set(headerForwarded, client)
	response, err := f.HTTP.Do(request)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusUnauthorized {
		return a, errKey
	}
	a, err = decode(io.LimitReader(response.Body, maxAnswer), method)
	if err == nil && a.Outcome == "" {
		err = errEmpty
	}
	return a, err
}

// errKey marks a home that does not accept this host's key.
var errKey = errors.New("the home of the ticket refuses the peer key; set the same key on all hosts")

// errEmpty marks an answer without an outcome.
var errEmpty = errors.New("the home of the ticket gave no outcome; run the same version on all hosts")

// decode reads the answer out of a response to the method.
func decode(body io.Reader, method string) (shallotrouter.Answer, error) {
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

// probe watches the home of a forwarded submission. A host that froze, or a path
// that lost the connection, would otherwise hold the answer until the job's
// deadline (#4).
type probe struct {
	forwarder *Forwarder
	home      string
	giveUp    context.CancelFunc
}

// maxMissed is the number of probes in a row without an answer that give up.
const maxMissed = 2

// run probes until the submission is answered.
func (p *probe) run(ctx context.Context) {
	ticker := p.forwarder.Clock.NewTicker(p.forwarder.Ask)
	defer ticker.Stop()
	for missed := 0; missed < maxMissed; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if p.lives(ctx) {
			missed = 0
		} else {
			missed++
		}
	}
	p.giveUp()
}

// lives asks the home for its health on a connection of its own.
func (p *probe) lives(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.forwarder.Ask)
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

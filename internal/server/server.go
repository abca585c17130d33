// Package server is the HTTP side of a daemon: clients, operators, peers and
// the balancer reach it here.
package server

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"github.com/justinas/alice"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/reporter"
	"github.com/shallotrouter/shallotrouter/internal/runner"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

// Server answers HTTP requests. Its fields are set before Handler. It is safe
// for concurrent use.
type Server struct {
	Log    logr.Logger
	Runner *runner.Runner
	Meter  *meter.Meter
	Sealer *ticketer.Sealer
	// Peers takes the peers' connections.
	Peers http.Handler
	// Address and Incarnation are what this process puts into its tickets.
	Address     string
	Incarnation uint64
	// Secret is the key that all entry hosts share.
	Secret []byte
	// Operator is the SHA-256 of the operators' token; empty refuses operators.
	Operator string
	// Body bounds a request's body in bytes, and Requests the open requests.
	Body     int64
	Requests int
	// Forwarder passes submissions on to the home of their ticket.
	Forwarder *Forwarder
	// Drain begins a graceful shutdown.
	Drain func()

	slots chan struct{}
}

// Handler returns the daemon's HTTP handler.
func (s *Server) Handler() http.Handler {
	s.slots = make(chan struct{}, s.Requests)
	client := alice.New(s.recover, s.bound, s.limit)
	operator := alice.New(s.recover, s.limit, s.operator)
	mux := http.NewServeMux()
	mux.Handle("POST /v1/tickets", client.ThenFunc(s.tickets))
	mux.Handle("POST /v1/jobs", client.ThenFunc(s.submit))
	mux.Handle("GET /v1/jobs/{ticket}", client.ThenFunc(s.inspect))
	mux.Handle("DELETE /v1/jobs/{ticket}", client.ThenFunc(s.cancel))
	mux.Handle("GET /v1/status", operator.ThenFunc(s.status))
	mux.Handle("POST /v1/drain", operator.ThenFunc(s.drain))
	mux.Handle("GET "+reporter.Path, s.Peers)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.Meter.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	return mux
}

// recover turns a panic of a handler into status 500.
func (s *Server) recover(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				s.Log.Error(nil, "handler failed", "path", r.URL.Path, "cause", cause)
				http.Error(w, "internal error; report it with the log", http.StatusInternalServerError)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// bound refuses requests beyond the greatest number of open ones.
func (s *Server) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			next.ServeHTTP(w, r)
		default:
			err := shallotrouter.Errorf(shallotrouter.Overload, "too many open requests; come back after the time given")
			err.After = time.Second
			s.doubt(w, err)
		}
	})
}

// limit bounds the request's body.
func (s *Server) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, s.Body)
		next.ServeHTTP(w, r)
	})
}

// operator lets only operators through.
func (s *Server) operator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash := declarer.HashToken(bearer(r))
		if s.Operator == "" || subtle.ConstantTimeCompare([]byte(hash), []byte(s.Operator)) != 1 {
			s.fail(w, shallotrouter.Errorf(shallotrouter.Unauthorized, "the operators' token is missing or wrong; send it as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearer returns the request's bearer token.
func bearer(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

// identify returns the client of the request: the one whose token it shows, or
// the one that a peer names when it forwards a submission.
func (s *Server) identify(r *http.Request) (string, *shallotrouter.Error) {
	if name := r.Header.Get(headerForwarded); name != "" {
		if !reporter.Allowed(s.Secret, r.Header.Get("Authorization")) {
			return "", shallotrouter.Errorf(shallotrouter.Unauthorized, "only entry hosts may forward; send your own token")
		}
		return name, nil
	}
	config := s.Runner.View().Config
	if config == nil {
		err := shallotrouter.Errorf(shallotrouter.Unready, "this host has no configuration yet; go to another entry host")
		err.After = time.Second
		return "", err
	}
	hash := []byte(declarer.HashToken(bearer(r)))
	found := ""
	for _, c := range config.Clients {
		if subtle.ConstantTimeCompare(hash, []byte(c.Hash)) == 1 {
			found = c.Name
		}
	}
	if found == "" {
		return "", shallotrouter.Errorf(shallotrouter.Unauthorized, "the token is missing or not declared; send a declared client's bearer token")
	}
	return found, nil
}

// read decodes the request's body.
func read(r *http.Request, v any) *shallotrouter.Error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil && decoder.More() {
		err = errors.New("there is more than one value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return shallotrouter.Errorf(shallotrouter.Oversized, "the body exceeds %d bytes; split the job", tooLarge.Limit)
	case err != nil:
		return shallotrouter.Errorf(shallotrouter.Malformed, "the body is not readable: %v; see docs/API.md", err)
	}
	return nil
}

// statuses maps reasons of refusals to HTTP status codes.
var statuses = []struct {
	reason shallotrouter.Reason
	status int
}{
	{shallotrouter.Malformed, http.StatusBadRequest},
	{shallotrouter.Unauthorized, http.StatusUnauthorized},
	{shallotrouter.Unknown, http.StatusNotFound},
	{shallotrouter.Expired, http.StatusGone},
	{shallotrouter.Oversized, http.StatusRequestEntityTooLarge},
	{shallotrouter.Overload, http.StatusTooManyRequests},
	{shallotrouter.Cancelled, http.StatusConflict},
}

// status returns the HTTP status of an answer.
func status(a shallotrouter.Answer) int {
	switch a.Outcome {
	case shallotrouter.Complete:
		return http.StatusOK
	case shallotrouter.Failed:
		return http.StatusBadGateway
	case shallotrouter.Lost:
		return http.StatusGatewayTimeout
	case shallotrouter.Refused:
	}
	for _, x := range statuses {
		if x.reason == a.Reason {
			return x.status
		}
	}
	return http.StatusServiceUnavailable
}

// fail writes an error as a refused answer.
func (s *Server) fail(w http.ResponseWriter, err error) {
	var e *shallotrouter.Error
	if !errors.As(err, &e) {
		e = shallotrouter.Errorf(shallotrouter.Unready, "%v; go to another entry host", err)
	}
	a := shallotrouter.Answer{
		Outcome: shallotrouter.Refused, Reason: e.Reason, Message: e.Message, After: shallotrouter.Duration(e.After),
	}
	wrapped := merry.Wrap(e, merry.WithHTTPCode(status(a)), merry.WithUserMessage(e.Message))
	s.Log.V(1).Info("request refused", "reason", e.Reason, "status", merry.HTTPCode(wrapped))
	write(w, merry.HTTPCode(wrapped), time.Duration(a.After), a)
}

// doubt writes an error that came before the ticket was looked up. The job may
// have run under an earlier submission of its ticket, so only an error that says
// that the request itself is bad counts as a refusal.
func (s *Server) doubt(w http.ResponseWriter, e *shallotrouter.Error) {
	switch e.Reason {
	case shallotrouter.Overload, shallotrouter.Unready, shallotrouter.Draining:
		a := shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: e.Reason, After: shallotrouter.Duration(e.After),
			Message: e.Message + "; come back with the same ticket",
		}
		write(w, status(a), e.After, a)
	default:
		s.fail(w, e)
	}
}

// write sends a value as JSON, with Retry-After in whole seconds where coming
// back makes sense.
func write(w http.ResponseWriter, code int, after time.Duration, v any) {
	w.Header().Set("Content-Type", "application/json")
	if after > 0 {
		w.Header().Set("Retry-After", retryAfter(after))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone away needs no answer
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readyz tells the balancer whether to send new work here.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	v := s.Runner.View()
	if v.Phase != scheduler.Serving || v.Config.Hosts.Has(s.Runner.Scheduler.Host) {
		http.Error(w, string(v.Phase), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	v, err := s.Runner.Survey(r.Context())
	if err != nil {
		s.fail(w, err)
		return
	}
	age, known := s.Runner.Follower.Age()
	v.Age = -1
	if known {
		v.Age = age
	}
	write(w, http.StatusOK, 0, v)
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

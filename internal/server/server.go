// Package server implements the HTTP API of a daemon for clients, operators, peers and
// the load balancer.
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

// Server answers HTTP requests. Its fields are set before Handler is called. It is
// safe for concurrent use.
type Server struct {
	Log    logr.Logger
	Runner *runner.Runner
	Meter  *meter.Meter
	Sealer *ticketer.Sealer
	// PeerHandler handles the connections from peers.
	PeerHandler http.Handler
	// Address and Incarnation identify this process in the tickets that it issues.
	Address     string
	Incarnation uint64
	// Secret is the key that all entry hosts share.
	Secret []byte
	// OperatorHash is the SHA-256 of the operators' token in hexadecimal. If it is empty,
	// all operator requests are refused.
	OperatorHash string
	// MaxBodyBytes is the maximum size of a request body. MaxOpenRequests is the maximum
	// number of open client requests.
	MaxBodyBytes    int64
	MaxOpenRequests int
	// Forwarder forwards requests to the home of their ticket.
	Forwarder *Forwarder
	// Drain starts a graceful shutdown.
	Drain func()

	openRequests chan struct{}
}

// Handler returns the HTTP handler of the daemon.
func (s *Server) Handler() http.Handler {
	s.openRequests = make(chan struct{}, s.MaxOpenRequests)
	client := alice.New(s.recoverPanics, s.limitOpenRequests, s.limitBody)
	operator := alice.New(s.recoverPanics, s.limitBody, s.requireOperator)
	mux := http.NewServeMux()
	mux.Handle("POST /v1/tickets", client.ThenFunc(s.handleTickets))
	mux.Handle("POST /v1/jobs", client.ThenFunc(s.handleSubmit))
	mux.Handle("GET /v1/jobs/{ticket}", client.ThenFunc(s.handleInspect))
	mux.Handle("DELETE /v1/jobs/{ticket}", client.ThenFunc(s.handleCancel))
	mux.Handle("GET /v1/status", operator.ThenFunc(s.handleStatus))
	mux.Handle("POST /v1/drain", operator.ThenFunc(s.handleDrain))
	mux.Handle("GET "+reporter.Path, s.PeerHandler)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.Meter.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", s.handleHealthz)
	mux.HandleFunc("GET /readyz", s.handleReadyz)
	return mux
}

// recoverPanics answers with status 500 when a handler panics.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				s.Log.Error(nil, "HTTP handler panicked; report it with this log line", "path", r.URL.Path, "cause", cause)
				http.Error(w, "internal error; report it with the log", http.StatusInternalServerError)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// limitOpenRequests rejects a request when the maximum number of requests is open.
func (s *Server) limitOpenRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.openRequests <- struct{}{}:
			defer func() { <-s.openRequests }()
			next.ServeHTTP(w, r)
		default:
			err := shallotrouter.Errorf(shallotrouter.Overload, "too many open requests; come back after the time given")
			err.After = time.Second
			s.writeEarlyError(w, err)
		}
	})
}

// limitBody limits the size of the request's body.
func (s *Server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// requireOperator rejects requests without the operators' token.
func (s *Server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash := declarer.HashToken(bearerToken(r))
		if s.OperatorHash == "" || subtle.ConstantTimeCompare([]byte(hash), []byte(s.OperatorHash)) != 1 {
			s.writeRefusal(w, shallotrouter.Errorf(shallotrouter.Unauthorized, "the operators' token is missing or wrong; send it as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearerToken returns the request's bearer token.
func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

// authenticate returns the client of the request. The bearer token identifies the
// client; in a request that a peer forwards, the header names it.
func (s *Server) authenticate(r *http.Request) (string, *shallotrouter.Error) {
	if name := r.Header.Get(headerForwarded); name != "" {
		if !reporter.IsPeerToken(s.Secret, r.Header.Get("Authorization")) {
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
	hash := []byte(declarer.HashToken(bearerToken(r)))
	client := ""
	for _, c := range config.Clients {
		if subtle.ConstantTimeCompare(hash, []byte(c.TokenHash)) == 1 {
			client = c.Name
		}
	}
	if client == "" {
		return "", shallotrouter.Errorf(shallotrouter.Unauthorized, "the token is missing or not declared; send a declared client's bearer token")
	}
	return client, nil
}

// decodeBody decodes the request's JSON body.
func decodeBody(r *http.Request, v any) *shallotrouter.Error {
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

// refusalStatuses lists the HTTP status codes of refusals by reason. Other reasons
// have status 503.
var refusalStatuses = []struct {
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

// httpStatus returns the HTTP status code of an answer.
func httpStatus(a shallotrouter.Answer) int {
	switch a.Outcome {
	case shallotrouter.Complete:
		return http.StatusOK
	case shallotrouter.Failed:
		return http.StatusBadGateway
	case shallotrouter.Lost:
		return http.StatusGatewayTimeout
	case shallotrouter.Refused:
	}
	for _, x := range refusalStatuses {
		if x.reason == a.Reason {
			return x.status
		}
	}
	return http.StatusServiceUnavailable
}

// writeRefusal writes an error as an answer with outcome Refused.
func (s *Server) writeRefusal(w http.ResponseWriter, err error) {
	var e *shallotrouter.Error
	if !errors.As(err, &e) {
		e = shallotrouter.Errorf(shallotrouter.Unready, "%v; go to another entry host", err)
	}
	a := shallotrouter.Answer{
		Outcome: shallotrouter.Refused, Reason: e.Reason, Message: e.Message, After: shallotrouter.Duration(e.After),
	}
	wrapped := merry.Wrap(e, merry.WithHTTPCode(httpStatus(a)), merry.WithUserMessage(e.Message))
	s.Log.V(1).Info("request refused", "reason", e.Reason, "status", merry.HTTPCode(wrapped))
	writeJSON(w, merry.HTTPCode(wrapped), time.Duration(a.After), a)
}

// writeEarlyError writes an error that occurred before the ticket was looked up. An
// earlier submission of the ticket may have run the job, so the outcome is Refused only
// if the request itself is invalid, and Lost otherwise.
func (s *Server) writeEarlyError(w http.ResponseWriter, e *shallotrouter.Error) {
	switch e.Reason {
	case shallotrouter.Overload, shallotrouter.Unready, shallotrouter.Draining:
		a := shallotrouter.Answer{
			Outcome: shallotrouter.Lost, Reason: e.Reason, After: shallotrouter.Duration(e.After),
			Message: e.Message + "; come back with the same ticket",
		}
		writeJSON(w, httpStatus(a), e.After, a)
	default:
		s.writeRefusal(w, e)
	}
}

// writeJSON sends a value as JSON. If after is positive, the Retry-After header holds it
// in whole seconds.
func writeJSON(w http.ResponseWriter, code int, after time.Duration, v any) {
	w.Header().Set("Content-Type", "application/json")
	if after > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(after))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func (s *Server) handleHealthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// handleReadyz tells the load balancer whether this host accepts new jobs.
func (s *Server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	v := s.Runner.View()
	if v.Phase != scheduler.Serving || v.Config.DrainedHosts.Has(s.Runner.Scheduler.Host) {
		http.Error(w, string(v.Phase), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	v, err := s.Runner.InspectHost(r.Context())
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	age, known := s.Runner.Follower.Age()
	v.PlatformAge = -1
	if known {
		v.PlatformAge = age
	}
	writeJSON(w, http.StatusOK, 0, v)
}

func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

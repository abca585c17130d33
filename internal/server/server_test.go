package server

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

// newHome starts a test server as the home of a ticket.
func newHome(t *testing.T, handle http.HandlerFunc) (*Forwarder, ticketer.Ticket) {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	sealer := &ticketer.Sealer{Key: []byte("a key of the test")}
	f := &Forwarder{Clock: clockwork.NewRealClock(), HTTP: server.Client(), Scheme: "http", Secret: sealer.Key, RequestTimeout: time.Second, Seal: sealer.Seal}
	return f, ticketer.Ticket{Home: strings.TrimPrefix(server.URL, "http://"), Number: 1, Client: "c"}
}

// TestUnansweredForwardCountsAsLost checks that a submission whose answer is lost on the
// way back is sent only once, and that the outcome is Lost. A second request could run
// the job twice.
func TestUnansweredForwardCountsAsLost(t *testing.T) {
	var requests atomic.Int32
	f, ticket := newHome(t, func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})
	a := f.Forward(t.Context(), ticket, "c", http.MethodPost, &shallotrouter.Job{})
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Equal(t, shallotrouter.Unreachable, a.Reason)
	assert.Positive(t, a.After)
	assert.Equal(t, int32(1), requests.Load())
}

// TestForwardedAnswerIsUnchanged checks that the outcome of a forwarded answer is passed
// on, and that a response without a valid answer has outcome Lost.
func TestForwardedAnswerIsUnchanged(t *testing.T) {
	cases := []struct {
		status  int
		body    string
		outcome shallotrouter.Outcome
	}{
		{http.StatusOK, `{"outcome":"complete","results":["eA=="]}`, shallotrouter.Complete},
		{http.StatusTooManyRequests, `{"outcome":"refused","reason":"overload"}`, shallotrouter.Refused},
		{http.StatusUnauthorized, `{"outcome":"refused","reason":"unauthorized"}`, shallotrouter.Lost},
		{http.StatusOK, `{}`, shallotrouter.Lost},
		{http.StatusOK, `{"outcome":`, shallotrouter.Lost},
		{http.StatusInternalServerError, `oops`, shallotrouter.Lost},
	}
	for _, c := range cases {
		f, ticket := newHome(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "c", r.Header.Get(headerForwarded))
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		})
		a := f.Forward(t.Context(), ticket, "c", http.MethodPost, &shallotrouter.Job{})
		assert.Equal(t, c.outcome, a.Outcome, c.body)
	}
}

// TestFullServerAnswersLost checks that a host with too many open requests does not
// answer that a job has not run. An earlier submission of its ticket may be running.
func TestFullServerAnswersLost(t *testing.T) {
	s := &Server{Log: logr.Discard(), openRequests: make(chan struct{})}
	w := httptest.NewRecorder()
	s.limitOpenRequests(http.NotFoundHandler()).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", nil))
	var a shallotrouter.Answer
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Equal(t, shallotrouter.Overload, a.Reason)
	assert.Equal(t, http.StatusGatewayTimeout, w.Code)
	assert.Equal(t, "1", w.Header().Get("Retry-After"))
}

// TestOutcomesHaveDistinctStatuses checks that each outcome has its own HTTP status.
func TestOutcomesHaveDistinctStatuses(t *testing.T) {
	seen := make(map[int]shallotrouter.Outcome)
	for _, o := range []shallotrouter.Outcome{shallotrouter.Complete, shallotrouter.Failed, shallotrouter.Refused, shallotrouter.Lost} {
		code := httpStatus(shallotrouter.Answer{Outcome: o})
		assert.NotContains(t, seen, code)
		seen[code] = o
	}
}

func FuzzSubmission(f *testing.F) {
	f.Add(`{"service":"s","idempotent":true,"deadline":"1s","tasks":[{"kind":"k","payload":"eA==","expect":"1ms"}]}`)
	f.Add(`{"deadline":"-1s","tasks":[{}]}`)
	f.Add(`{"tasks":[`)
	f.Fuzz(func(t *testing.T, body string) {
		var job shallotrouter.Job
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
		if decodeBody(r, &job) != nil || validateJob(&job) != nil {
			return
		}
		if len(job.Tasks) == 0 || len(job.Tasks) > shallotrouter.MaxTasks || job.Deadline <= 0 {
			t.Fatalf("accepted an invalid job: %+v", job)
		}
	})
}

// unresponsiveHome listens for connections and never answers, like a paused process.
func unresponsiveHome(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestUnresponsiveHomeIsAbandoned checks that a forwarded submission to an unresponsive
// home is answered after the failed probes, and not only after the job's deadline.
func TestUnresponsiveHomeIsAbandoned(t *testing.T) {
	sealer := &ticketer.Sealer{Key: []byte("a key of the test")}
	f := &Forwarder{Clock: clockwork.NewRealClock(), HTTP: &http.Client{}, Scheme: "http", Secret: sealer.Key, RequestTimeout: 100 * time.Millisecond, Seal: sealer.Seal}
	start := time.Now()
	a := f.Forward(t.Context(), ticketer.Ticket{Home: unresponsiveHome(t), Number: 1}, "c", http.MethodPost,
		&shallotrouter.Job{Deadline: shallotrouter.Duration(time.Minute)})
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Less(t, time.Since(start), 10*time.Second)
}

// TestResponsiveHomeIsAwaited checks that a slow job is awaited while its home answers
// the health probes.
func TestResponsiveHomeIsAwaited(t *testing.T) {
	f, ticket := newHome(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		<-time.After(700 * time.Millisecond)
		_, _ = w.Write([]byte(`{"outcome":"complete"}`))
	})
	f.RequestTimeout = 100 * time.Millisecond
	a := f.Forward(t.Context(), ticket, "c", http.MethodPost, &shallotrouter.Job{Deadline: shallotrouter.Duration(time.Minute)})
	assert.Equal(t, shallotrouter.Complete, a.Outcome)
}

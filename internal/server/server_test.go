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

// home is a stand-in for the home of a ticket.
func home(t *testing.T, handle http.HandlerFunc) (*Forwarder, ticketer.Ticket) {
	web := httptest.NewServer(handle)
	t.Cleanup(web.Close)
	sealer := &ticketer.Sealer{Key: []byte("a key of the test")}
	f := &Forwarder{Clock: clockwork.NewRealClock(), HTTP: web.Client(), Scheme: "http", Secret: sealer.Key, Ask: time.Second, Seal: sealer.Seal}
	return f, ticketer.Ticket{Home: strings.TrimPrefix(web.URL, "http://"), Number: 1, Client: "c"}
}

// TestForwardedAnswerLost requires that a home that took the submission and whose
// answer was lost is asked once, and that the job counts as possibly run.
func TestForwardedAnswerLost(t *testing.T) {
	var taken atomic.Int32
	f, ticket := home(t, func(http.ResponseWriter, *http.Request) {
		taken.Add(1)
		panic(http.ErrAbortHandler)
	})
	a := f.Forward(t.Context(), ticket, "c", http.MethodPost, &shallotrouter.Job{})
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Equal(t, shallotrouter.Unreachable, a.Reason)
	assert.Positive(t, a.After)
	assert.Equal(t, int32(1), taken.Load())
}

// TestForwardedAnswers requires that answers pass unchanged, and that whatever is
// no answer counts as lost.
func TestForwardedAnswers(t *testing.T) {
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
		f, ticket := home(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "c", r.Header.Get(headerForwarded))
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		})
		a := f.Forward(t.Context(), ticket, "c", http.MethodPost, &shallotrouter.Job{})
		assert.Equal(t, c.outcome, a.Outcome, c.body)
	}
}

// TestFullServerDoubts requires that a host with too many open requests does not
// call a submission not run: an earlier one of its ticket may be running.
func TestFullServerDoubts(t *testing.T) {
	s := &Server{Log: logr.Discard(), slots: make(chan struct{})}
	w := httptest.NewRecorder()
	s.bound(http.NotFoundHandler()).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", nil))
	var a shallotrouter.Answer
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Equal(t, shallotrouter.Overload, a.Reason)
	assert.Equal(t, http.StatusGatewayTimeout, w.Code)
	assert.Equal(t, "1", w.Header().Get("Retry-After"))
}

// TestStatuses requires that the four outcomes have statuses of their own.
func TestStatuses(t *testing.T) {
	seen := make(map[int]shallotrouter.Outcome)
	for _, o := range []shallotrouter.Outcome{shallotrouter.Complete, shallotrouter.Failed, shallotrouter.Refused, shallotrouter.Lost} {
		code := status(shallotrouter.Answer{Outcome: o})
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
		if read(r, &job) != nil || check(&job) != nil {
			return
		}
		if len(job.Tasks) == 0 || len(job.Tasks) > shallotrouter.MaxTasks || job.Deadline <= 0 {
			t.Fatalf("a job out of bounds was taken: %+v", job)
		}
	})
}

// silentHome accepts connections and answers nothing, as a frozen host does.
func silentHome(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestSilentHome requires that a forwarded submission is answered soon when its
// home has gone silent, and not only after the job's deadline.
func TestSilentHome(t *testing.T) {
	sealer := &ticketer.Sealer{Key: []byte("a key of the test")}
	f := &Forwarder{Clock: clockwork.NewRealClock(), HTTP: &http.Client{}, Scheme: "http", Secret: sealer.Key, Ask: 100 * time.Millisecond, Seal: sealer.Seal}
	start := time.Now()
	a := f.Forward(t.Context(), ticketer.Ticket{Home: silentHome(t), Number: 1}, "c", http.MethodPost,
		&shallotrouter.Job{Deadline: shallotrouter.Duration(time.Minute)})
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Less(t, time.Since(start), 10*time.Second)
}

// TestSlowJobIsAwaited requires that a home that lives is waited for.
func TestSlowJobIsAwaited(t *testing.T) {
	f, ticket := home(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		<-time.After(700 * time.Millisecond)
		_, _ = w.Write([]byte(`{"outcome":"complete"}`))
	})
	f.Ask = 100 * time.Millisecond
	a := f.Forward(t.Context(), ticket, "c", http.MethodPost, &shallotrouter.Job{Deadline: shallotrouter.Duration(time.Minute)})
	assert.Equal(t, shallotrouter.Complete, a.Outcome)
}

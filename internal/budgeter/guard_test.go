package budgeter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startServer starts a server that reads bodies, of which it charges each byte, and then answers
// with the given status once release is closed.
func startServer(t *testing.T, g *Guard, release chan struct{}) string {
	t.Helper()
	g.Log, g.BusyAnswer, g.HeaderAnswer = logr.Discard(), []byte("HTTP/1.1 503 Busy\r\n\r\n"), []byte("HTTP/1.1 431 Long\r\n\r\n")
	g.Init()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		_, err := io.Copy(&chargingWriter{c}, r.Body)
		if err == nil {
			err = c.Accept(0)
		}
		if err != nil || c.Refusal() != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-release
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: g.Handler(handler), ConnContext: g.ConnContext, ConnState: g.ConnState, MaxHeaderBytes: 1 << 20, ReadHeaderTimeout: time.Minute}
	done := make(chan error, 1)
	go func() { done <- server.Serve(g.Listen(l)) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return l.Addr().String()
}

// chargingWriter charges what is written to it.
type chargingWriter struct{ conn *Conn }

func (w *chargingWriter) Write(data []byte) (int, error) { return len(data), w.conn.Charge(len(data)) }

// dial sends the beginning of a request.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Write([]byte(text))
	require.NoError(t, err)
	return c
}

// status returns the status of the next answer, or 0 if the connection ends before it.
func status(c net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// awaitPhases waits until the numbers of connections in each phase are as given.
func (g *Guard) awaitPhases(t *testing.T, want map[Phase]int) {
	t.Helper()
	require.Eventually(t, func() bool {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		got := make(map[Phase]int)
		for _, c := range g.ledger.clients {
			got[c.phase]++
		}
		return assert.ObjectsAreEqual(want, got)
	}, 5*time.Second, time.Millisecond)
}

// TestSlowClientsAreRefusedTruthfully: a body that stops is answered with 503, a header that stops
// and an idle connection are closed, and a request that was received completely is answered
// however long that takes.
func TestSlowClientsAreRefusedTruthfully(t *testing.T) {
	clock := clockwork.NewFakeClock()
	counts := make(map[string]int)
	g := &Guard{Bounds: testBounds(), Clock: clock, Count: func(action Action, cause Cause) { counts[string(action)+" "+string(cause)]++ }}
	release := make(chan struct{})
	address := startServer(t, g, release)
	header := dial(t, address, "POST / HTTP/1.1\r\nHo")
	body := dial(t, address, post(100, "abc"))
	complete := dial(t, address, post(3, "abc"))
	g.awaitPhases(t, map[Phase]int{Header: 1, Body: 1, Working: 1})
	advance := func(d time.Duration) {
		for ; d > 0; d -= tickInterval {
			clock.Advance(tickInterval)
			g.tick(clock.Now())
		}
	}
	advance(4 * time.Second)
	assert.Equal(t, http.StatusServiceUnavailable, status(body))
	advance(4 * time.Second)
	assert.Zero(t, status(header))
	g.awaitPhases(t, map[Phase]int{Working: 1})
	close(release)
	assert.Equal(t, http.StatusOK, status(complete))
	g.awaitPhases(t, map[Phase]int{Idle: 1})
	advance(62 * time.Second)
	g.awaitPhases(t, map[Phase]int{})
	assert.Equal(t, map[string]int{"close header": 1, "close idle": 1}, counts)
}

// TestRequestsOverBudgetAreRefusedTruthfully: beyond the budget, the oldest body is
// answered with 503 and a new request is served.
func TestRequestsOverBudgetAreRefusedTruthfully(t *testing.T) {
	g := &Guard{Bounds: testBounds(), Clock: clockwork.NewFakeClock()}
	g.Bounds.MaxBytes = 300 << 10
	release := make(chan struct{})
	close(release)
	address := startServer(t, g, release)
	large := string(make([]byte, 100<<10))
	first := dial(t, address, post(200<<10, large))
	g.awaitPhases(t, map[Phase]int{Body: 1})
	dial(t, address, post(200<<10, large))
	g.awaitPhases(t, map[Phase]int{Body: 2})
	for range 8 {
		third := dial(t, address, post(100<<10, large))
		assert.Equal(t, http.StatusOK, status(third))
	}
	assert.Equal(t, http.StatusServiceUnavailable, status(first))
}

// TestConnectionsAndHeadersOverTheirLimitAreAnswered: a connection beyond the limit is answered with
// 503 while all others are being served, and a header beyond it with 431.
func TestConnectionsAndHeadersOverTheirLimitAreAnswered(t *testing.T) {
	g := &Guard{Bounds: testBounds(), Clock: clockwork.NewFakeClock()}
	g.Bounds.MaxConnections = 2
	release := make(chan struct{})
	address := startServer(t, g, release)
	long := dial(t, address, "GET / HTTP/1.1\r\nA: "+string(make([]byte, 30<<10)))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(long))
	served := []net.Conn{dial(t, address, post(0, "")), dial(t, address, post(0, ""))}
	g.awaitPhases(t, map[Phase]int{Working: 2})
	assert.Equal(t, http.StatusServiceUnavailable, status(dial(t, address, "")))
	close(release)
	for _, c := range served {
		assert.Equal(t, http.StatusOK, status(c))
	}
}

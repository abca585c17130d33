package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// sink hands on what a dispatcher reports.
type sink chan scheduler.Event

func (s sink) Put(e scheduler.Event) { s <- e }

// peerScript is a target that answers by a script. It counts the requests that
// it has read.
type peerScript struct {
	listener net.Listener
	answer   func(c net.Conn, r *http.Request, nth int64) bool // false closes the connection
	read     atomic.Int64
}

func newScript(t *testing.T, answer func(c net.Conn, r *http.Request, nth int64) bool) *peerScript {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peerScript{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go p.loop()
	return p
}

func (p *peerScript) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go (&peerConn{script: p, conn: c}).run()
	}
}

// peerConn is one connection to a scripted target.
type peerConn struct {
	script *peerScript
	conn   net.Conn
}

func (c *peerConn) run() {
	defer c.conn.Close()
	buffer := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(buffer)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !c.script.answer(c.conn, r, c.script.read.Add(1)) {
			return
		}
	}
}

// reply writes an answer with the given header lines and body.
func reply(c net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// label returns the header line that names the request's task.
func label(r *http.Request) string { return HeaderTask + ": " + r.Header.Get(HeaderTask) + "\r\n" }

func newDispatcher(s sink) *Dispatcher {
	return &Dispatcher{
		Clock: clockwork.NewRealClock(), Sink: s, Identity: "h/1", Dial: time.Second, Unacked: time.Second, MaxResult: 100,
	}
}

// send sends one task and returns its end.
func send(t *testing.T, d *Dispatcher, s sink, address string, number uint64, by time.Duration) scheduler.Finish {
	now := time.Now()
	d.Send(scheduler.Start{
		Number: number, Target: "t", Address: address, Kind: "k", Payload: []byte("payload"),
		By: now.Add(by), Until: now.Add(2 * time.Second),
	}, Limits{Connections: 4, Trust: time.Minute})
	select {
	case e := <-s:
		return e.(scheduler.Finish)
	case <-time.After(10 * time.Second):
		t.Fatal("no end was reported")
	}
	return scheduler.Finish{}
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c net.Conn, r *http.Request, nth int64) bool
		result scheduler.Result
	}{
		{"whole", func(c net.Conn, r *http.Request, _ int64) bool { return reply(c, "200 OK", label(r), "result") }, scheduler.Done},
		{"failed", func(c net.Conn, r *http.Request, _ int64) bool { return reply(c, "500 Failed", label(r), "") }, scheduler.Wrong},
		{"too long", func(c net.Conn, r *http.Request, _ int64) bool {
			return reply(c, "200 OK", label(r), strings.Repeat("x", 101))
		}, scheduler.Wrong},
		{"another task's", func(c net.Conn, _ *http.Request, _ int64) bool {
			return reply(c, "200 OK", HeaderTask+": other\r\n", "x")
		}, scheduler.Lost},
		{"truncated", func(c net.Conn, r *http.Request, _ int64) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n%s\r\nhalf", label(r))
			return false
		}, scheduler.Lost},
		{"cut after the request", func(net.Conn, *http.Request, int64) bool { return false }, scheduler.Lost},
		{"busy", func(c net.Conn, r *http.Request, _ int64) bool {
			return reply(c, "503 Busy", HeaderNotStarted+": "+r.Header.Get(HeaderTask)+"\r\n"+HeaderReason+": busy\r\n", "")
		}, scheduler.Busy},
		{"leaving", func(c net.Conn, r *http.Request, _ int64) bool {
			return reply(c, "503 Leaving", HeaderNotStarted+": "+r.Header.Get(HeaderTask)+"\r\n"+HeaderReason+": leaving\r\n", "")
		}, scheduler.Leaving},
		{"not started, of another task", func(c net.Conn, _ *http.Request, _ int64) bool {
			return reply(c, "503 Busy", HeaderNotStarted+": other\r\n", "")
		}, scheduler.Lost},
		{"silent", func(_ net.Conn, r *http.Request, _ int64) bool { <-r.Context().Done(); return false }, scheduler.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newScript(t, c.answer)
			s := make(sink, 1)
			f := send(t, newDispatcher(s), s, p.listener.Addr().String(), 1, time.Second)
			assert.Equal(t, c.result, f.Result, f.Message)
			assert.Equal(t, int64(1), p.read.Load())
			if c.result == scheduler.Done {
				assert.Equal(t, "result", string(f.Payload))
			}
		})
	}
}

// TestUnreachable requires that a connection that was never made proves that
// nothing was sent.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	s := make(sink, 1)
	assert.Equal(t, scheduler.Unsent, send(t, newDispatcher(s), s, listener.Addr().String(), 1, time.Second).Result)
}

// TestLateIsNotSent requires that a task past its start-by time is never written.
func TestLateIsNotSent(t *testing.T) {
	p := newScript(t, func(c net.Conn, r *http.Request, _ int64) bool { return reply(c, "200 OK", label(r), "") })
	s := make(sink, 1)
	assert.Equal(t, scheduler.Late, send(t, newDispatcher(s), s, p.listener.Addr().String(), 1, -time.Second).Result)
	assert.Zero(t, p.read.Load())
}

// secondCut answers the first request on a connection and closes the connection
// on the second one, after reading it.
func secondCut(c net.Conn, r *http.Request, nth int64) bool {
	return nth == 1 && reply(c, "200 OK", label(r), "")
}

// TestNoResend requires that a request that broke on a reused connection is not
// sent again by net/http.
func TestNoResend(t *testing.T) {
	p := newScript(t, secondCut)
	s := make(sink, 1)
	d := newDispatcher(s)
	require.Equal(t, scheduler.Done, send(t, d, s, p.listener.Addr().String(), 1, time.Second).Result)
	assert.Equal(t, scheduler.Lost, send(t, d, s, p.listener.Addr().String(), 2, time.Second).Result)
	assert.Equal(t, int64(2), p.read.Load())
}

// TestResendOfPlainClient shows that the check of TestNoResend can fail: a plain
// client sends a replayable request again.
func TestResendOfPlainClient(t *testing.T) {
	p := newScript(t, secondCut)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodGet, "http://"+p.listener.Addr().String(), nil)
		require.NoError(t, err)
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	assert.Greater(t, p.read.Load(), int64(2))
}

// TestGuard requires that a call that was given up writes nothing any more.
func TestGuard(t *testing.T) {
	near, far := net.Pipe()
	go (&drain{conn: far}).run()
	c := &conn{Conn: near, clock: clockwork.NewRealClock()}
	g := c.arm(time.Now().Add(time.Minute))
	require.False(t, g.seal())
	_, err := c.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)
	g = c.arm(time.Now().Add(-time.Second))
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errLate)
	assert.False(t, g.seal())
}

// drain reads all that comes.
type drain struct{ conn net.Conn }

func (d *drain) run() { _, _ = io.Copy(io.Discard, d.conn) }

// TestTrust requires that a connection that has been idle for longer than its
// trust, or was retired, takes no further task.
func TestTrust(t *testing.T) {
	var connections sync.Map
	p := newScript(t, func(c net.Conn, r *http.Request, _ int64) bool {
		connections.Store(c, true)
		return reply(c, "200 OK", label(r), "")
	})
	s := make(sink, 1)
	d := newDispatcher(s)
	count := func() (n int) {
		connections.Range(func(any, any) bool { n++; return true })
		return n
	}
	trust := 200 * time.Millisecond
	run := func(number uint64) {
		now := time.Now()
		d.Send(scheduler.Start{Number: number, Target: "t", Address: p.listener.Addr().String(), By: now.Add(time.Second), Until: now.Add(time.Second)},
			Limits{Connections: 4, Trust: trust})
		require.Equal(t, scheduler.Done, (<-s).(scheduler.Finish).Result)
	}
	run(1)
	<-time.After(trust + trust/2)
	run(2)
	assert.Equal(t, 2, count(), "an old connection is not used")
	d.Retire("t")
	run(3)
	assert.Equal(t, 3, count(), "a retired connection is not used")
}

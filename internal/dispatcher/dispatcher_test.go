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

// sink is a channel that receives the events of a dispatcher.
type sink chan scheduler.Event

func (s sink) Put(e scheduler.Event) { s <- e }

// scriptedTarget is a target with a function that writes the answers. It counts the
// requests that it has read.
type scriptedTarget struct {
	listener net.Listener
	answer   func(c net.Conn, r *http.Request, nth int64) bool // false closes the connection
	requests atomic.Int64
}

func newScriptedTarget(t *testing.T, answer func(c net.Conn, r *http.Request, nth int64) bool) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &scriptedTarget{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go p.acceptConns()
	return p
}

func (p *scriptedTarget) acceptConns() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go (&targetConn{target: p, conn: c}).run()
	}
}

// targetConn is one connection to a scriptedTarget.
type targetConn struct {
	target *scriptedTarget
	conn   net.Conn
}

func (c *targetConn) run() {
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
		if !c.target.answer(c.conn, r, c.target.requests.Add(1)) {
			return
		}
	}
}

// reply writes an answer with the given header lines and body.
func reply(c net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// taskHeader returns the header line that names the request's task.
func taskHeader(r *http.Request) string { return HeaderTask + ": " + r.Header.Get(HeaderTask) + "\r\n" }

func newDispatcher(s sink) *Dispatcher {
	return &Dispatcher{
		Clock: clockwork.NewRealClock(), Sink: s, Identity: "h/1", DialTimeout: time.Second, UnackedTimeout: time.Second, MaxResultBytes: 100,
	}
}

// send sends one task and returns its result.
func send(t *testing.T, d *Dispatcher, s sink, address string, number uint64, startWithin time.Duration) scheduler.RunEnded {
	now := time.Now()
	d.Send(scheduler.Start{
		Number: number, Target: "t", Address: address, Kind: "k", Payload: []byte("payload"),
		StartBy: now.Add(startWithin), AnswerBy: now.Add(2 * time.Second),
	}, Limits{MaxConnections: 4, IdleTimeout: time.Minute})
	select {
	case e := <-s:
		return e.(scheduler.RunEnded)
	case <-time.After(10 * time.Second):
		t.Fatal("no result was reported")
	}
	return scheduler.RunEnded{}
}

func TestAnswerDeterminesResult(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c net.Conn, r *http.Request, nth int64) bool
		result scheduler.Result
	}{
		{"complete result", func(c net.Conn, r *http.Request, _ int64) bool { return reply(c, "200 OK", taskHeader(r), "result") }, scheduler.Done},
		{"failed", func(c net.Conn, r *http.Request, _ int64) bool { return reply(c, "500 Failed", taskHeader(r), "") }, scheduler.Failed},
		{"result too long", func(c net.Conn, r *http.Request, _ int64) bool {
			return reply(c, "200 OK", taskHeader(r), strings.Repeat("x", 101))
		}, scheduler.Failed},
		{"answer to another task", func(c net.Conn, _ *http.Request, _ int64) bool {
			return reply(c, "200 OK", HeaderTask+": other\r\n", "x")
		}, scheduler.NoAnswer},
		{"truncated result", func(c net.Conn, r *http.Request, _ int64) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n%s\r\nhalf", taskHeader(r))
			return false
		}, scheduler.NoAnswer},
		{"connection closed after the request", func(net.Conn, *http.Request, int64) bool { return false }, scheduler.NoAnswer},
		{"busy", func(c net.Conn, r *http.Request, _ int64) bool {
			return reply(c, "503 Busy", HeaderNotStarted+": "+r.Header.Get(HeaderTask)+"\r\n"+HeaderReason+": busy\r\n", "")
		}, scheduler.Busy},
		{"leaving", func(c net.Conn, r *http.Request, _ int64) bool {
			return reply(c, "503 Leaving", HeaderNotStarted+": "+r.Header.Get(HeaderTask)+"\r\n"+HeaderReason+": leaving\r\n", "")
		}, scheduler.Leaving},
		{"refusal of another task", func(c net.Conn, _ *http.Request, _ int64) bool {
			return reply(c, "503 Busy", HeaderNotStarted+": other\r\n", "")
		}, scheduler.NoAnswer},
		{"no answer", func(_ net.Conn, r *http.Request, _ int64) bool { <-r.Context().Done(); return false }, scheduler.NoAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newScriptedTarget(t, c.answer)
			s := make(sink, 1)
			f := send(t, newDispatcher(s), s, p.listener.Addr().String(), 1, time.Second)
			assert.Equal(t, c.result, f.Result, f.Message)
			assert.Equal(t, int64(1), p.requests.Load())
			if c.result == scheduler.Done {
				assert.Equal(t, "result", string(f.Payload))
			}
		})
	}
}

// TestTaskForUnreachableTargetIsNotSent checks that a task counts as not sent when the
// connection to its target fails.
func TestTaskForUnreachableTargetIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	s := make(sink, 1)
	assert.Equal(t, scheduler.NotSent, send(t, newDispatcher(s), s, listener.Addr().String(), 1, time.Second).Result)
}

// TestLateTaskIsNotSent checks that a task is not written after its start-by time.
func TestLateTaskIsNotSent(t *testing.T) {
	p := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ int64) bool { return reply(c, "200 OK", taskHeader(r), "") })
	s := make(sink, 1)
	assert.Equal(t, scheduler.OrderExpired, send(t, newDispatcher(s), s, p.listener.Addr().String(), 1, -time.Second).Result)
	assert.Zero(t, p.requests.Load())
}

// answerFirst answers the first request and closes the connection after it has read a
// later one.
func answerFirst(c net.Conn, r *http.Request, nth int64) bool {
	return nth == 1 && reply(c, "200 OK", taskHeader(r), "")
}

// TestBrokenRequestIsNotResent checks that net/http does not resend a request after a
// reused connection was closed without an answer. That would start the task twice.
func TestBrokenRequestIsNotResent(t *testing.T) {
	p := newScriptedTarget(t, answerFirst)
	s := make(sink, 1)
	d := newDispatcher(s)
	require.Equal(t, scheduler.Done, send(t, d, s, p.listener.Addr().String(), 1, time.Second).Result)
	assert.Equal(t, scheduler.NoAnswer, send(t, d, s, p.listener.Addr().String(), 2, time.Second).Result)
	assert.Equal(t, int64(2), p.requests.Load())
}

// TestPlainClientResendsRequest shows that TestBrokenRequestIsNotResent can fail: a plain
// client resends a replayable request.
func TestPlainClientResendsRequest(t *testing.T) {
	p := newScriptedTarget(t, answerFirst)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodGet, "http://"+p.listener.Addr().String(), nil)
		require.NoError(t, err)
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	assert.Greater(t, p.requests.Load(), int64(2))
}

// TestAbortedCallWritesNothing checks that a call writes nothing after it was aborted,
// nor after its start-by time.
func TestAbortedCallWritesNothing(t *testing.T) {
	local, remote := net.Pipe()
	go (&discarder{conn: remote}).run()
	c := &conn{Conn: local, clock: clockwork.NewRealClock()}
	g := c.beginCall(time.Now().Add(time.Minute))
	written, expired := g.abort()
	require.False(t, written)
	require.False(t, expired)
	_, err := c.Write([]byte("x"))
	assert.ErrorIs(t, err, errAborted)
	g = c.beginCall(time.Now().Add(-time.Second))
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStartByPassed)
	written, expired = g.abort()
	assert.False(t, written)
	assert.True(t, expired, "whatever error net/http reports")
}

// discarder reads from a connection and discards the data.
type discarder struct{ conn net.Conn }

func (d *discarder) run() { _, _ = io.Copy(io.Discard, d.conn) }

// TestExpiredConnectionIsNotReused checks that no task is sent on a connection that was
// idle for longer than its timeout, or that CloseIdle has closed.
func TestExpiredConnectionIsNotReused(t *testing.T) {
	var connections sync.Map
	p := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ int64) bool {
		connections.Store(c, true)
		return reply(c, "200 OK", taskHeader(r), "")
	})
	s := make(sink, 1)
	d := newDispatcher(s)
	count := func() (n int) {
		connections.Range(func(any, any) bool { n++; return true })
		return n
	}
	idleTimeout := 200 * time.Millisecond
	run := func(number uint64) {
		now := time.Now()
		d.Send(scheduler.Start{Number: number, Target: "t", Address: p.listener.Addr().String(), StartBy: now.Add(time.Second), AnswerBy: now.Add(time.Second)},
			Limits{MaxConnections: 4, IdleTimeout: idleTimeout})
		require.Equal(t, scheduler.Done, (<-s).(scheduler.RunEnded).Result)
	}
	run(1)
	<-time.After(idleTimeout + idleTimeout/2)
	run(2)
	assert.Equal(t, 2, count(), "a connection past its idle timeout was reused")
	d.CloseIdle("t")
	run(3)
	assert.Equal(t, 3, count(), "a closed connection was reused")
}

package dispatcher

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// errStartByPassed is the error of a first write after the task's start-by time.
var errStartByPassed = errors.New("the start-by time passed before the task was sent")

// errAborted is the error of a write after the call was aborted.
var errAborted = errors.New("the call was given up")

// conn is a connection that records whether the current call has written to it.
type conn struct {
	net.Conn

	clock clockwork.Clock
	mutex sync.Mutex
	guard *writeGuard
}

// writeGuard controls and records the writes of one call.
type writeGuard struct {
	conn    *conn
	startBy time.Time
	written bool
	aborted bool
	expired bool // a first write came after startBy
}

// beginCall assigns the connection to a call, whose first write must begin by startBy.
func (c *conn) beginCall(startBy time.Time) *writeGuard {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.guard = &writeGuard{conn: c, startBy: startBy}
	return c.guard
}

// abort closes the connection, rejects further writes of the call and reports whether
// the call has written anything, and whether a write was rejected because it came after
// the start-by time. net/http reports the error of that write or that of the read which
// the close ends, whichever it sees first. abort waits for a write in progress.
func (g *writeGuard) abort() (written, expired bool) {
	g.conn.Close()
	g.conn.mutex.Lock()
	defer g.conn.mutex.Unlock()
	g.aborted = true
	return g.written, g.expired
}

// Write sends bytes. It returns errAborted if the call was aborted, and errStartByPassed
// if the first write comes after the start-by time. Any other failed write may have
// sent some bytes, so it counts as written.
func (c *conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if g := c.guard; g != nil {
		if g.aborted {
			return 0, errAborted
		}
		if !g.written && c.clock.Now().After(g.startBy) {
			g.expired = true
			return 0, errStartByPassed
		}
		g.written = true
	}
	return c.Conn.Write(data)
}

// setUnackedTimeout limits how long sent data may stay unacknowledged. A broken network
// path is then detected before the task's own timeout.
func (d *Dispatcher) setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UnackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

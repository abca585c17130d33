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

// errLate marks a write that came after the task's start-by time.
var errLate = errors.New("the start-by time passed before the task was sent")

// errSealed marks a write after the call was given up.
var errSealed = errors.New("the call was given up")

// conn is a connection that knows whether the current call has written to it.
type conn struct {
	net.Conn

	clock clockwork.Clock
	mutex sync.Mutex
	guard *guard
}

// guard watches the writes of one call.
type guard struct {
	conn    *conn
	by      time.Time
	written bool
	sealed  bool
}

// arm gives the connection to a call, which must begin to write by that time.
func (c *conn) arm(by time.Time) *guard {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.guard = &guard{conn: c, by: by}
	return c.guard
}

// seal stops the call from writing any further and reports whether it has
// written anything. A write in progress is waited for.
func (g *guard) seal() bool {
	g.conn.Close()
	g.conn.mutex.Lock()
	defer g.conn.mutex.Unlock()
	g.sealed = true
	return g.written
}

// Write sends bytes unless the call is sealed or late. A write that fails may
// have sent some bytes, so it counts as written.
func (c *conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if g := c.guard; g != nil {
		if g.sealed {
			return 0, errSealed
		}
		if !g.written && c.clock.Now().After(g.by) {
			return 0, errLate
		}
		g.written = true
	}
	return c.Conn.Write(data)
}

// control bounds how long sent data may stay unacknowledged, so that a path
// that went silent is found before the task's own time is over.
func (d *Dispatcher) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Unacked.Milliseconds()))
	})
	return errors.Join(err, failed)
}

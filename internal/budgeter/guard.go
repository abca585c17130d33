package budgeter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

const (
	// tickInterval is how often slow connections are looked for. The timeouts are seconds.
	tickInterval = 250 * time.Millisecond
	// reportInterval is the shortest time between two log lines of a Guard.
	reportInterval = 5 * time.Second
	// refusalTimeout limits the writing of a refusal, which fits into the socket's buffer.
	refusalTimeout = 50 * time.Millisecond
	// maxDiscardedBytes limits what is read of a body that no handler wants. Answers reach
	// clients that send such bodies in one piece.
	maxDiscardedBytes = 16 << 10
	// ipv6SiteBits is the length of the prefix of IPv6 addresses that one client may use.
	ipv6SiteBits = 64
)

// Guard applies the decisions of a Ledger to an HTTP server. Its exported fields must be set
// before Listen. Its methods are safe for concurrent use.
type Guard struct {
	// Bounds are the limits. Configure returns those that apply now; it is called several times
	// a second and may be nil.
	Bounds    Bounds
	Configure func() Bounds
	Clock     clockwork.Clock
	Log       logr.Logger
	// BusyAnswer is written to connections that are refused before their request has been
	// read, and HeaderAnswer to those whose header is too long.
	BusyAnswer   []byte
	HeaderAnswer []byte
	// Observe is called with the bytes held and the number of connections, several times a
	// second, and Count for each connection that is closed and each request that is refused.
	// They may be nil.
	Observe func(bytes, connections int)
	Count   func(action Action, cause Cause)

	mutex      sync.Mutex
	ledger     Ledger
	counts     map[outcome]int // since the last log line
	reportedAt time.Time
}

// Action is what was done about a client.
type Action string

const (
	// Refuse means that a request, or a connection without one, was answered as not run.
	Refuse Action = "refuse"
	// Close means that the connection was closed without an answer.
	Close Action = "close"
)

type outcome struct {
	action Action
	cause  Cause
}

// Init prepares the Guard. It must be called before every other method.
func (g *Guard) Init() {
	g.ledger.Bounds = g.Bounds
	g.counts = make(map[outcome]int)
}

// Run closes connections that are too slow until the context is done.
func (g *Guard) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.tick(g.Clock.Now())
		}
	}
}

func (g *Guard) tick(now time.Time) {
	bounds := g.Bounds
	if g.Configure != nil {
		bounds = g.Configure()
	}
	g.mutex.Lock()
	g.ledger.Bounds = bounds
	closings := mark(g.ledger.Tick(now))
	bytes, connections := g.ledger.Bytes(), g.ledger.Connections()
	g.mutex.Unlock()
	g.apply(closings)
	if g.Observe != nil {
		g.Observe(bytes, connections)
	}
	g.report(now, bytes, connections)
}

// Listen returns a listener whose connections are limited. The server must use Handler,
// ConnContext and ConnState.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is for http.Server.ConnContext.
func (g *Guard) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState is for http.Server.ConnState.
func (g *Guard) ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.SetPhase(Idle)
	}
}

// Handler returns a handler that records the phases of requests.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		valueCount := 0
		for _, values := range r.Header {
			valueCount += len(values)
		}
		g.mutex.Lock()
		keep := g.ledger.BeginRequest(c.client, valueCount, r.ContentLength != 0)
		g.mutex.Unlock()
		if !keep {
			w.Header().Set("Connection", "close")
		}
		defer c.SetPhase(Answering)
		next.ServeHTTP(w, r)
	})
}

// FromContext returns the connection of a request, or nil if its server has no Guard.
func FromContext(ctx context.Context) *Conn {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return c
}

// mark records which requests are refused. The mutex must have been held since the decision, so
// that none of them is accepted in between.
func mark(closings []Closing) []Closing {
	for _, closing := range closings {
		if closing.Phase == Body {
			closing.Client.owner.cause = closing.Cause
		}
	}
	return closings
}

// apply closes connections and interrupts the reading of bodies.
func (g *Guard) apply(closings []Closing) {
	for _, closing := range closings {
		c := closing.Client.owner
		if closing.Phase == Body {
			c.interrupt()
			continue
		}
		g.count(Close, closing.Cause)
		_ = c.Close() // the server sees it as closed by the client
	}
}

func (g *Guard) count(action Action, cause Cause) {
	g.mutex.Lock()
	g.counts[outcome{action, cause}]++
	g.mutex.Unlock()
	if g.Count != nil {
		g.Count(action, cause)
	}
}

// report writes one line about the connections that were closed and the requests that were
// refused since the last line.
func (g *Guard) report(now time.Time, bytes, connections int) {
	g.mutex.Lock()
	if len(g.counts) == 0 || now.Sub(g.reportedAt) < reportInterval {
		g.mutex.Unlock()
		return
	}
	counts := g.counts
	g.counts, g.reportedAt = make(map[outcome]int), now
	g.mutex.Unlock()
	pairs := []any{"bytes", bytes, "budget", g.Bounds.MaxBytes, "connections", connections, "bound", g.Bounds.MaxConnections}
	for o, n := range counts {
		if o.cause == Unused {
			continue // the usual end of a connection
		}
		pairs = append(pairs, string(o.action)+" "+string(o.cause), n)
	}
	if len(pairs) > 8 {
		g.Log.Info("limit", pairs...)
	}
}

// listener accepts the connections of a Guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.guard.closeWorst()
			}
			return nil, err
		}
		if c := l.guard.open(inner); c != nil {
			return c, nil
		}
	}
}

// open adds a connection, or refuses and closes it and returns nil.
func (g *Guard) open(inner net.Conn) *Conn {
	g.mutex.Lock()
	client, closings := g.ledger.Open(addressOf(inner))
	mark(closings)
	c := &Conn{Conn: inner, guard: g, client: client}
	if client != nil {
		client.owner = c
	}
	g.mutex.Unlock()
	g.apply(closings)
	if client == nil {
		c.refuse(g.BusyAnswer, TooManyConnections)
		return nil
	}
	return c
}

// closeWorst closes one connection because the process has no descriptor left.
func (g *Guard) closeWorst() {
	g.mutex.Lock()
	var closings []Closing
	if victim := g.ledger.worst(nil); victim != nil {
		closings = mark(append(closings, g.ledger.close(victim, TooManyConnections)))
	}
	g.mutex.Unlock()
	g.apply(closings)
}

// addressOf returns the address to which a connection's bytes are charged.
func addressOf(c net.Conn) netip.Addr {
	tcp, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	address := tcp.AddrPort().Addr().Unmap()
	if address.Is6() {
		if prefix, err := address.Prefix(ipv6SiteBits); err == nil {
			return prefix.Addr()
		}
	}
	return address
}

// RefusedError tells why a request is refused, which has not been run.
type RefusedError struct{ Cause Cause }

func (e RefusedError) Error() string {
	switch e.Cause {
	case SlowBody:
		return "the body came too slowly; send it faster"
	case TooMuchWork:
		return "too many long bodies at once; come back after the time given"
	default:
		return "the host holds too many unfinished requests; come back after the time given"
	}
}

// Conn is a connection whose reads are recorded. The methods that are not those of net.Conn may
// be called on nil.
type Conn struct {
	net.Conn
	guard  *Guard
	client *Client
	cause  Cause // why the request's body is refused; protected by the guard's mutex
}

// Read reads from the connection and records it.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n <= 0 {
		return n, err
	}
	g := c.guard
	lineCount := bytes.Count(data[:n], []byte{'\n'})
	g.mutex.Lock()
	cause, closings := g.ledger.Read(c.client, n, lineCount)
	mark(closings)
	phase, total := c.client.phase, c.client.read
	tooLong := phase == Header && total > g.ledger.Bounds.MaxHeaderBytes+len(data)
	g.mutex.Unlock()
	g.apply(closings)
	switch {
	case cause != "":
		c.refuse(g.BusyAnswer, cause)
		return 0, io.EOF
	case tooLong:
		c.refuse(g.HeaderAnswer, LongHeader)
		return 0, io.EOF
	case phase == Answering && total > maxDiscardedBytes:
		return 0, io.EOF
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	if c.client != nil {
		c.guard.mutex.Lock()
		c.guard.ledger.Remove(c.client)
		c.guard.mutex.Unlock()
	}
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, so that the server can wait until the client has
// read its answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// refuse writes an answer, as far as the client reads it, and closes the connection.
func (c *Conn) refuse(answer []byte, cause Cause) {
	c.guard.count(Refuse, cause)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err == nil {
		_, _ = c.Conn.Write(answer) // the connection is closed also if the client does not read it
	}
	_ = c.Close() // nothing is left to be done about the connection
}

// interrupt makes the reading of a body fail, so that the handler refuses the request.
func (c *Conn) interrupt() {
	if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		_ = c.Close() // a connection without deadlines cannot be read any further
	}
}

// Refusal returns why the request on the connection is refused, or nil if it is not.
func (c *Conn) Refusal() error {
	if c == nil {
		return nil
	}
	c.guard.mutex.Lock()
	defer c.guard.mutex.Unlock()
	if c.cause == "" {
		return nil
	}
	return RefusedError{c.cause}
}

// Charge adds n bytes to what the connection holds. It returns a RefusedError if the request is
// to be refused.
func (c *Conn) Charge(n int) error {
	if c == nil {
		return nil
	}
	c.guard.mutex.Lock()
	cause := c.cause
	ok, closings := true, []Closing(nil)
	if cause == "" {
		ok, closings = c.guard.ledger.Charge(c.client, n)
		mark(closings)
	}
	c.guard.mutex.Unlock()
	c.guard.apply(closings)
	if !ok {
		cause = OverBudget
	}
	if cause != "" {
		return RefusedError{cause}
	}
	return nil
}

// Work records that n bytes of a long body are about to be decoded. It returns a RefusedError if
// there is too much of this.
func (c *Conn) Work(n int) error {
	if c == nil {
		return nil
	}
	c.guard.mutex.Lock()
	defer c.guard.mutex.Unlock()
	if !c.guard.ledger.Work(n) {
		return RefusedError{TooMuchWork}
	}
	return nil
}

// SetPhase records that the connection enters a phase.
func (c *Conn) SetPhase(phase Phase) {
	if c == nil {
		return
	}
	c.guard.mutex.Lock()
	c.guard.ledger.SetPhase(c.client, phase)
	c.guard.mutex.Unlock()
}

// Accept records that the request was read completely and holds n bytes from now on. The
// connection is not closed until the request has been answered. It returns a RefusedError if
// the request was refused before.
func (c *Conn) Accept(n int) error {
	if c == nil {
		return nil
	}
	c.guard.mutex.Lock()
	defer c.guard.mutex.Unlock()
	if c.cause != "" {
		return RefusedError{c.cause}
	}
	if c.client.phase != Working {
		c.guard.ledger.SetPhase(c.client, Working)
	}
	c.guard.ledger.charge(c.client, n)
	return nil
}

// CountRefusal counts a refusal that the handler has answered.
func (c *Conn) CountRefusal(cause Cause) {
	if c != nil {
		c.guard.count(Refuse, cause)
	}
}

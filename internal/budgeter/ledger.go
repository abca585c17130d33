// Package budgeter limits what a server's connections hold before their requests are accepted:
// the number of connections, the bytes that are read, and the time for headers, bodies and
// answers.
package budgeter

import (
	"net/netip"
	"time"
)

// Phase is what a connection is doing.
type Phase string

const (
	// Idle is the phase of a connection that waits for the next request.
	Idle Phase = "idle"
	// Header is the phase from the connection's start, or from the first byte of the next
	// request, to the end of the request's header.
	Header Phase = "header"
	// Body is the phase in which a request's body is read.
	Body Phase = "body"
	// Working is the phase in which a request that was read completely is served. The
	// connection is never closed in this phase.
	Working Phase = "working"
	// Answering is the phase in which the answer is written.
	Answering Phase = "answering"
)

// Cause is why a connection is closed or a request refused.
type Cause string

const (
	// OverBudget means that the connections hold too many bytes.
	OverBudget Cause = "budget"
	// TooManyConnections means that the maximum number of connections is open.
	TooManyConnections Cause = "connections"
	// SlowHeader means that the client sent its header too slowly.
	SlowHeader Cause = "header"
	// SlowBody means that the client sent its body too slowly.
	SlowBody Cause = "body"
	// SlowReader means that the client read its answer too slowly.
	SlowReader Cause = "answer"
	// Unused means that the connection was idle for too long.
	Unused Cause = "idle"
	// LongHeader means that the header exceeds its maximum size.
	LongHeader Cause = "header size"
	// TooMuchWork means that too many headers of very many fields, or long bodies, have been
	// received for the processor share.
	TooMuchWork Cause = "work"
)

// Bounds are the limits of a Ledger.
type Bounds struct {
	// MaxBytes is the budget: the maximum number of bytes that all connections hold.
	MaxBytes int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// MinShare is the number of bytes that one legal request needs. No address is closed in
	// favour of others while it holds less.
	MinShare int
	// MaxHeaderBytes is the maximum size of a request's header.
	MaxHeaderBytes int
	// HeaderTimeout, IdleTimeout and AnswerTimeout limit the time in a phase.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	AnswerTimeout time.Duration
	// BodyTimeout limits the time of a body, which may take one second more for each
	// MinBodyRate bytes that have been read.
	BodyTimeout time.Duration
	MinBodyRate int
	// WorkRate limits the decoding of long bodies and of headers with very many fields, in bytes
	// of long bodies a second. WorkBurst is the maximum at once.
	WorkRate  int
	WorkBurst int
}

const (
	// connectionBytes is what an open connection holds without a request: the stacks of one or
	// two goroutines, buffers of 4 kB for reading and writing, and the structures of net/http. 700
	// connections took 24 kB of resident memory each after a request, with garbage.
	connectionBytes = 20 << 10
	// headerFactor is the number of bytes held for each byte of a header that is being read. A
	// field of 6 bytes takes about 130 bytes in the map of fields, which grows by doubling.
	headerFactor = 24
	// heavyHeaderLines is the number of lines above which a header counts as work. Headers have
	// about 10 lines; the lines of a short body may be read together with them.
	heavyHeaderLines = 200
	// heavyHeaderWork is the work of such a header. One of 16 kB with 2,500 fields takes 1.7 ms
	// of a core, as 128 kB of a body do.
	heavyHeaderWork = 128 << 10
	// fieldBytes is what one field of a complete header takes in addition to its text.
	fieldBytes = 160
	// reliefPart is the part of the budget that is freed when it is exceeded, so that not every
	// further byte leads to another search for connections to close.
	reliefPart = 8
	// youngAge is the age below which requests are not closed in favour of others, unless all
	// are as young. Ordinary requests are read within milliseconds, also on a busy host. Ages are
	// known to the last tick only, so it is added to them where they are compared.
	youngAge = time.Second
	// maxPipelined is the number of requests after which a connection is closed that sends them
	// without waiting for answers. Otherwise one read would keep the host busy with 80 requests.
	maxPipelined = 8
	// maxTickAdvance limits the time that passes between two ticks. Clients are not held
	// responsible for the time in which this process was paused.
	maxTickAdvance = 500 * time.Millisecond
)

// Client is an open connection. Its fields belong to the Ledger.
type Client struct {
	share *share
	order uint64
	index int // in Ledger.clients; -1 once removed
	phase Phase
	since time.Duration // ledger time at which the phase began
	bytes int           // held in addition to connectionBytes
	read  int           // bytes read in this phase
	// pipelined is the number of requests in turn that had been received before the answer to
	// the one before was written.
	pipelined int
	lines     int   // of the present header
	owner     *Conn // nil in tests of the Ledger
}

// share is what the connections from one address hold.
type share struct {
	address     netip.Addr
	connections int
	bytes       int // that may be reclaimed
}

// Closing is a decision to close a connection. In the phase Body its request is refused;
// in all others the connection is closed at once.
type Closing struct {
	Client *Client
	Phase  Phase
	Cause  Cause
}

// Ledger records what connections hold, and decides which of them are closed when that is too
// much or takes too long. It has no clock: time passes with Tick. It is not safe for concurrent
// use.
type Ledger struct {
	Bounds Bounds

	clients   []*Client
	shares    map[netip.Addr]*share
	holders   int // number of shares with bytes
	bytes     int
	spent     int // work that WorkRate has not made up for yet
	elapsed   time.Duration
	tickedAt  time.Time
	lastOrder uint64
}

// Bytes returns the number of bytes that the connections hold.
func (l *Ledger) Bytes() int { return l.bytes }

// Connections returns the number of open connections.
func (l *Ledger) Connections() int { return len(l.clients) }

// Open adds a connection from an address. It returns nil if the connection is refused, and the
// connections that are closed in its favour.
func (l *Ledger) Open(address netip.Addr) (*Client, []Closing) {
	var closings []Closing
	if len(l.clients) >= l.Bounds.MaxConnections {
		victim := l.worst(nil)
		if victim == nil {
			return nil, nil
		}
		closings = append(closings, l.close(victim, TooManyConnections))
	}
	if l.shares == nil {
		l.shares = make(map[netip.Addr]*share)
	}
	s := l.shares[address]
	if s == nil {
		s = &share{address: address}
		l.shares[address] = s
	}
	s.connections++
	l.lastOrder++
	c := &Client{share: s, order: l.lastOrder, index: len(l.clients), phase: Idle}
	l.clients = append(l.clients, c)
	l.bytes += connectionBytes
	l.setPhase(c, Header)
	relief, ok := l.relieve(c)
	closings = append(closings, relief...)
	if !ok {
		l.Remove(c)
		return nil, closings
	}
	return c, closings
}

// Remove removes a connection that was closed.
func (l *Ledger) Remove(c *Client) {
	if c.index < 0 {
		return
	}
	l.setPhase(c, Idle) // takes the connection out of its address's share
	l.bytes -= connectionBytes + c.bytes
	last := l.clients[len(l.clients)-1]
	l.clients[c.index] = last
	last.index = c.index
	l.clients[len(l.clients)-1] = nil
	l.clients = l.clients[:len(l.clients)-1]
	c.index = -1
	if c.share.connections--; c.share.connections == 0 {
		delete(l.shares, c.share.address)
	}
}

// Read records that n bytes with a number of line ends have been read from a connection. A
// header's bytes are charged to the connection. It returns a cause if the request is refused,
// and the connections to close.
func (l *Ledger) Read(c *Client, n, lineCount int) (Cause, []Closing) {
	if c.index < 0 || n <= 0 {
		return "", nil
	}
	if c.phase == Idle {
		l.setPhase(c, Header)
	}
	c.read += n
	if c.phase != Header {
		return "", nil
	}
	before := c.lines
	if c.lines += lineCount; before <= heavyHeaderLines && c.lines > heavyHeaderLines && !l.Work(heavyHeaderWork) {
		return TooMuchWork, nil
	}
	ok, closings := l.Charge(c, headerFactor*n)
	if !ok {
		return OverBudget, closings
	}
	return "", closings
}

// Work records work that is about to be done. It returns false if there is too much of it.
func (l *Ledger) Work(n int) bool {
	if l.spent > 0 && l.spent+n > l.Bounds.WorkBurst {
		return false
	}
	l.spent += n
	return true
}

// Charge adds bytes to what a connection holds, or takes them off. It returns false if they
// exceed the budget, and the connections to close.
func (l *Ledger) Charge(c *Client, n int) (bool, []Closing) {
	if c.index < 0 {
		return false, nil
	}
	l.charge(c, n)
	if n <= 0 {
		return true, nil
	}
	closings, ok := l.relieve(c)
	if !ok {
		l.charge(c, -n)
	}
	return ok, closings
}

// BeginRequest records that a request's header, with a number of values, is complete. It returns
// false if the connection is to be closed after the answer, because the client does not wait for
// answers.
func (l *Ledger) BeginRequest(c *Client, valueCount int, hasBody bool) bool {
	if c.index < 0 {
		return false
	}
	if c.pipelined++; c.phase == Header {
		c.pipelined = 0
	}
	l.charge(c, 2*c.read+fieldBytes*valueCount-c.bytes)
	if hasBody {
		l.setPhase(c, Body)
	} else {
		l.setPhase(c, Working)
	}
	return c.pipelined < maxPipelined
}

// SetPhase records that a connection enters a phase. An idle connection holds no request.
func (l *Ledger) SetPhase(c *Client, phase Phase) {
	if c.index < 0 {
		return
	}
	if phase == Idle {
		l.charge(c, -c.bytes)
	}
	l.setPhase(c, phase)
}

// Tick records the time and returns the connections that have been too slow.
func (l *Ledger) Tick(now time.Time) []Closing {
	if !l.tickedAt.IsZero() {
		advance := min(max(now.Sub(l.tickedAt), 0), maxTickAdvance)
		l.elapsed += advance
		l.spent = max(l.spent-int(float64(l.Bounds.WorkRate)*advance.Seconds()), 0)
	}
	l.tickedAt = now
	var closings []Closing
	for i := len(l.clients) - 1; i >= 0; i-- { // close moves only clients that were visited
		c := l.clients[i]
		if cause, late := l.isLate(c); late {
			closings = append(closings, l.close(c, cause))
		}
	}
	return closings
}

func (l *Ledger) isLate(c *Client) (Cause, bool) {
	age := l.elapsed - c.since
	switch c.phase {
	case Idle:
		return Unused, age >= l.Bounds.IdleTimeout
	case Header:
		return SlowHeader, age >= l.Bounds.HeaderTimeout
	case Body:
		earned := time.Duration(c.read) * time.Second / time.Duration(max(l.Bounds.MinBodyRate, 1))
		return SlowBody, age >= l.Bounds.BodyTimeout+earned
	case Answering:
		return SlowReader, age >= l.Bounds.AnswerTimeout
	default:
		return "", false
	}
}

// isReclaimable reports whether what a connection holds counts in its address's share.
func (p Phase) isReclaimable() bool { return p == Header || p == Body || p == Answering }

func (l *Ledger) setPhase(c *Client, phase Phase) {
	if c.phase.isReclaimable() {
		l.addShare(c.share, -connectionBytes-c.bytes)
	}
	c.phase, c.since, c.read, c.lines = phase, l.elapsed, 0, 0
	if phase.isReclaimable() {
		l.addShare(c.share, connectionBytes+c.bytes)
	}
}

func (l *Ledger) charge(c *Client, n int) {
	c.bytes += n
	l.bytes += n
	if c.phase.isReclaimable() {
		l.addShare(c.share, n)
	}
}

func (l *Ledger) addShare(s *share, n int) {
	if s.bytes > 0 {
		l.holders--
	}
	if s.bytes += n; s.bytes > 0 {
		l.holders++
	}
}

// relieve closes connections if the budget is exceeded. It returns false if the connection
// that exceeded it is itself to be refused.
func (l *Ledger) relieve(requester *Client) ([]Closing, bool) {
	if l.bytes <= l.Bounds.MaxBytes {
		return nil, true
	}
	var closings []Closing
	goal := l.Bounds.MaxBytes - l.Bounds.MaxBytes/reliefPart
	for l.bytes > goal {
		victim := l.worst(requester)
		if victim == nil || victim == requester {
			return closings, l.bytes <= l.Bounds.MaxBytes
		}
		closings = append(closings, l.close(victim, OverBudget))
	}
	return closings, true
}

// close applies a decision to the ledger. A connection whose request is refused stays open for
// the answer.
func (l *Ledger) close(c *Client, cause Cause) Closing {
	closing := Closing{Client: c, Phase: c.phase, Cause: cause}
	if c.phase == Body {
		l.charge(c, -c.bytes)
		l.setPhase(c, Answering)
	} else {
		l.Remove(c)
	}
	return closing
}

// worst returns the connection that is closed first, or nil if there is none. Unfinished requests
// that are older than youngAge come before all others. Among them, or if there are none, addresses
// that hold more than their fair share come first, the largest of them before all others; then
// connections come in the order of the bytes that they hold multiplied by their age. So
// old, slow and large requests are closed, and one that has just arrived is not.
func (l *Ledger) worst(requester *Client) *Client {
	fair := max(l.Bounds.MaxBytes/max(l.holders, 1), l.Bounds.MinShare)
	var worst *Client
	var worstRank rank
	for _, c := range l.clients {
		age := l.elapsed - c.since
		if c.phase == Working || (c.phase == Answering && c.bytes == 0 && c != requester && age == 0) {
			continue // serves a request, or its request was refused just now
		}
		r := rank{cost: int64(connectionBytes+c.bytes) * int64((age+youngAge)/time.Millisecond), order: c.order}
		if c.phase.isReclaimable() {
			r.old = age >= youngAge
			if c.share.bytes > fair {
				r.excess = c.share.bytes
			}
		}
		if worst == nil || r.precedes(worstRank) {
			worst, worstRank = c, r
		}
	}
	return worst
}

// rank tells which connections are closed first.
type rank struct {
	old    bool  // an unfinished request that is older than youngAge
	excess int   // bytes of its address, if they exceed the fair share
	cost   int64 // in byte milliseconds
	order  uint64
}

// precedes reports whether a connection is closed before another.
func (r rank) precedes(other rank) bool {
	switch {
	case r.old != other.old:
		return r.old
	case r.excess != other.excess:
		return r.excess > other.excess
	case r.cost != other.cost:
		return r.cost > other.cost
	default:
		return r.order < other.order
	}
}

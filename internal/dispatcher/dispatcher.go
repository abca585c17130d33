// Package dispatcher sends tasks to targets over HTTP. It sends each task at most once
// and reports whether a task without an answer may have started.
package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

const (
	// HeaderTask holds the task's identity in the request and in every answer to it.
	HeaderTask = "Shallot-Task"
	// HeaderStartBy is the Unix time in milliseconds after which the target
	// must refuse the task.
	HeaderStartBy = "Shallot-Start-By"
	// HeaderKind is the kind of the task.
	HeaderKind = "Shallot-Kind"
	// HeaderNotStarted holds the identity of a task that the target refused without
	// starting it.
	HeaderNotStarted = "Shallot-Not-Started"
	// HeaderReason is the reason of a refusal: busy, late or leaving.
	HeaderReason = "Shallot-Reason"
	// Path is the HTTP path at which a target accepts tasks.
	Path = "/run"
)

// Sink receives the result of each start.
type Sink interface {
	// Put queues one event. It may block while the queue is full.
	Put(scheduler.Event)
}

// Dispatcher sends tasks to targets. Its exported fields are set before the first Send.
// It is safe for concurrent use.
type Dispatcher struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// Sink receives exactly one event with the result of each Send.
	Sink Sink
	// Identity is the first part of every task's identity. It is unique to this
	// process.
	Identity string
	// DialTimeout is the timeout of connecting to a target.
	DialTimeout time.Duration
	// UnackedTimeout is how long sent data may stay unacknowledged before the connection
	// is closed.
	UnackedTimeout time.Duration
	// MaxResultBytes is the maximum size of a task's result.
	MaxResultBytes int64

	mutex sync.Mutex
	pools map[string]*targetPool
}

// targetPool is the connection pool of one target.
type targetPool struct {
	address   string
	transport *http.Transport
}

// Limits are the limits of the connections to the targets of a service.
type Limits struct {
	// MaxConnections is the maximum number of open connections to one target.
	MaxConnections int
	// IdleTimeout is how long an idle connection is kept open for reuse.
	IdleTimeout time.Duration
}

// Send sends one task in the background. The sink receives the result.
func (d *Dispatcher) Send(e scheduler.Start, l Limits) {
	c := &call{dispatcher: d, start: e, pool: d.pool(e, l)}
	go c.run()
}

// CloseIdle closes the idle connections to a target.
func (d *Dispatcher) CloseIdle(target string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p := d.pools[target]; p != nil {
		p.transport.CloseIdleConnections()
	}
}

// RetainTargets removes the connection pools of all targets for which isNamed returns
// false, and closes their idle connections.
func (d *Dispatcher) RetainTargets(isNamed func(target string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, p := range d.pools {
		if !isNamed(name) {
			p.transport.CloseIdleConnections()
			delete(d.pools, name)
		}
	}
}

// pool returns the target's connection pool. It replaces the pool when the target's
// address or the limits have changed.
func (d *Dispatcher) pool(e scheduler.Start, l Limits) *targetPool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.pools[e.Target]
	if p != nil && p.address == e.Address && p.transport.MaxConnsPerHost == l.MaxConnections && p.transport.IdleConnTimeout == l.IdleTimeout {
		return p
	}
	if p != nil {
		p.transport.CloseIdleConnections()
	}
	if d.pools == nil {
		d.pools = make(map[string]*targetPool)
	}
	p = &targetPool{address: e.Address, transport: d.newTransport(l)}
	d.pools[e.Target] = p
	return p
}

func (d *Dispatcher) newTransport(l Limits) *http.Transport {
	dialer := &net.Dialer{Timeout: d.DialTimeout, KeepAlive: l.IdleTimeout, Control: d.setUnackedTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, clock: d.Clock}, nil
		},
		MaxConnsPerHost:        l.MaxConnections,
		MaxIdleConnsPerHost:    l.MaxConnections,
		IdleConnTimeout:        l.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ResponseHeaderTimeout:  0,
	}
}

// maxHeaderBytes limits the header of a target's answer.
const maxHeaderBytes = 16 << 10

// call is one attempt to send a task and to read its answer.
type call struct {
	dispatcher *Dispatcher
	start      scheduler.Start
	pool       *targetPool
	guard      *writeGuard
}

// errWrongTask means that the answer names another task.
var errWrongTask = errors.New("the answer names another task")

// run sends the task and puts its result into the sink.
func (c *call) run() {
	d := c.dispatcher
	sentAt := d.Clock.Now()
	finish := scheduler.RunEnded{Number: c.start.Number, Task: c.start.Task, Target: c.start.Target}
	var err error
	finish.Result, finish.Payload, err = c.exchange()
	if err != nil {
		finish.Message = err.Error()
	}
	finish.Elapsed = d.Clock.Since(sentAt)
	d.Sink.Put(finish)
}

// exchange sends the task and reads its answer.
func (c *call) exchange() (scheduler.Result, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.start.AnswerBy.Sub(c.dispatcher.Clock.Now()))
	defer cancel()
	request, err := c.newRequest(ctx)
	if err != nil {
		return scheduler.NotSent, nil, err
	}
	response, err := c.pool.transport.RoundTrip(request)
	if err != nil {
		return c.resultWithoutAnswer(), nil, err
	}
	defer response.Body.Close()
	return c.readAnswer(response)
}

// newRequest creates the HTTP request. Its body cannot be read twice, so net/http
// cannot resend the request, which could start the task twice (#4).
func (c *call) newRequest(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: c.handleConn}
	body := io.NopCloser(bytes.NewReader(c.start.Payload))
	url := "http://" + c.pool.address + Path
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(c.start.Payload))
	r.Header.Set(HeaderTask, c.taskID())
	r.Header.Set(HeaderStartBy, strconv.FormatInt(c.start.StartBy.UnixMilli(), 10))
	r.Header.Set(HeaderKind, c.start.Kind)
	return r, nil
}

// taskID returns the task's identity, which is the same for every attempt to send it.
func (c *call) taskID() string {
	return fmt.Sprintf("%s/%d/%d", c.dispatcher.Identity, c.start.Number, c.start.Task)
}

// handleConn assigns the connection to this call.
func (c *call) handleConn(info httptrace.GotConnInfo) {
	if raw, ok := info.Conn.(*conn); ok {
		c.guard = raw.beginCall(c.start.StartBy)
	}
}

// resultWithoutAnswer returns the result of a call without an answer. The task has
// certainly not started if the call has written nothing.
func (c *call) resultWithoutAnswer() scheduler.Result {
	if c.guard == nil {
		return scheduler.NotSent
	}
	switch written, expired := c.guard.abort(); {
	case written:
		return scheduler.NoAnswer
	case expired:
		return scheduler.OrderExpired
	}
	return scheduler.NotSent
}

// readAnswer returns the result and the payload from the target's answer.
func (c *call) readAnswer(response *http.Response) (scheduler.Result, []byte, error) {
	if response.Header.Get(HeaderNotStarted) == c.taskID() {
		return refusalResult(response.Header.Get(HeaderReason)), nil, nil
	}
	if response.Header.Get(HeaderTask) != c.taskID() {
		return scheduler.NoAnswer, nil, errWrongTask
	}
	payload, err := io.ReadAll(io.LimitReader(response.Body, c.dispatcher.MaxResultBytes+1))
	if err != nil {
		return scheduler.NoAnswer, nil, err
	}
	if int64(len(payload)) > c.dispatcher.MaxResultBytes {
		return scheduler.Failed, nil, fmt.Errorf("the result exceeds %d bytes", c.dispatcher.MaxResultBytes)
	}
	if response.StatusCode != http.StatusOK {
		return scheduler.Failed, nil, fmt.Errorf("the target answered %s", response.Status)
	}
	return scheduler.Done, payload, nil
}

func refusalResult(reason string) scheduler.Result {
	switch r := scheduler.Result(reason); r {
	case scheduler.OrderExpired, scheduler.Leaving:
		return r
	default:
		return scheduler.Busy
	}
}

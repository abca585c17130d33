// Package dispatcher sends tasks to targets over HTTP, each at most once, and
// tells whether a task that was not answered can have started.
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
	// HeaderTask names the task in the request and in every answer to it.
	HeaderTask = "Shallot-Task"
	// HeaderStartBy is the Unix time in milliseconds after which the target
	// must refuse the task.
	HeaderStartBy = "Shallot-Start-By"
	// HeaderKind is the kind of the task.
	HeaderKind = "Shallot-Kind"
	// HeaderNotStarted names a task that the target refused before starting.
	HeaderNotStarted = "Shallot-Not-Started"
	// HeaderReason tells why: busy, late or leaving.
	HeaderReason = "Shallot-Reason"
	// Path is where a target takes tasks.
	Path = "/run"
)

// Sink receives the end of each start.
type Sink interface {
	// Put hands over one event. It may block for a moment.
	Put(scheduler.Event)
}

// Dispatcher sends tasks. Its exported fields are set before the first Send. It
// is safe for concurrent use.
type Dispatcher struct {
	// Clock tells the time.
	Clock clockwork.Clock
	// Sink receives exactly one Finish for each Send.
	Sink Sink
	// Identity is the part of a task's name that is unique to this process.
	Identity string
	// Dial bounds the making of a connection.
	Dial time.Duration
	// Unacked bounds how long sent data may stay unacknowledged.
	Unacked time.Duration
	// MaxResult bounds a task's result in bytes.
	MaxResult int64

	mutex sync.Mutex
	lines map[string]*line
}

// line is the connection pool of one target.
type line struct {
	address   string
	transport *http.Transport
}

// Limits bounds the connections to the targets of a service.
type Limits struct {
	// Connections bounds the open connections to one target.
	Connections int
	// Trust is how long an idle connection may still be used.
	Trust time.Duration
}

// Send starts one task and returns at once.
func (d *Dispatcher) Send(e scheduler.Start, l Limits) {
	c := &call{dispatcher: d, start: e, line: d.line(e, l)}
	go c.run()
}

// Retire closes the idle connections to a target.
func (d *Dispatcher) Retire(target string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if n := d.lines[target]; n != nil {
		n.transport.CloseIdleConnections()
	}
}

// Keep closes and forgets the lines of all targets that are not named.
func (d *Dispatcher) Keep(named func(target string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, n := range d.lines {
		if !named(name) {
			n.transport.CloseIdleConnections()
			delete(d.lines, name)
		}
	}
}

// line returns the target's connection pool. A pool is made anew when the
// target's address or its limits have changed.
func (d *Dispatcher) line(e scheduler.Start, l Limits) *line {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := d.lines[e.Target]
	if n != nil && n.address == e.Address && n.transport.MaxConnsPerHost == l.Connections && n.transport.IdleConnTimeout == l.Trust {
		return n
	}
	if n != nil {
		n.transport.CloseIdleConnections()
	}
	if d.lines == nil {
		d.lines = make(map[string]*line)
	}
	n = &line{address: e.Address, transport: d.transport(l)}
	d.lines[e.Target] = n
	return n
}

func (d *Dispatcher) transport(l Limits) *http.Transport {
	dialer := &net.Dialer{Timeout: d.Dial, KeepAlive: l.Trust, Control: d.control}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, clock: d.Clock}, nil
		},
		MaxConnsPerHost:        l.Connections,
		MaxIdleConnsPerHost:    l.Connections,
		IdleConnTimeout:        l.Trust,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		ResponseHeaderTimeout:  0,
	}
}

// maxHeader bounds the header of a target's answer in bytes.
const maxHeader = 16 << 10

// call is one task on its way.
type call struct {
	dispatcher *Dispatcher
	start      scheduler.Start
	line       *line
	guard      *guard
}

// errMismatch marks an answer to another task.
var errMismatch = errors.New("the answer names another task")

// run sends the task and reports its end.
func (c *call) run() {
	d := c.dispatcher
	sent := d.Clock.Now()
	finish := scheduler.Finish{Number: c.start.Number, Task: c.start.Task, Target: c.start.Target}
	var err error
	finish.Result, finish.Payload, err = c.exchange()
	if err != nil {
		finish.Message = err.Error()
	}
	finish.Elapsed = d.Clock.Since(sent)
	d.Sink.Put(finish)
}

// exchange sends the task and reads its answer.
func (c *call) exchange() (scheduler.Result, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.start.Until.Sub(c.dispatcher.Clock.Now()))
	defer cancel()
	request, err := c.request(ctx)
	if err != nil {
		return scheduler.Unsent, nil, err
	}
	response, err := c.line.transport.RoundTrip(request)
	if err != nil {
		return c.unanswered(err), nil, err
	}
	defer response.Body.Close()
	return c.read(response)
}

// request builds the HTTP request. Its body cannot be read twice, so that
// net/http never sends it again on its own (#4).
func (c *call) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
	body := io.NopCloser(bytes.NewReader(c.start.Payload))
	url := "http://" + c.line.address + Path
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(c.start.Payload))
	r.Header.Set(HeaderTask, c.name())
	r.Header.Set(HeaderStartBy, strconv.FormatInt(c.start.By.UnixMilli(), 10))
	r.Header.Set(HeaderKind, c.start.Kind)
	return r, nil
}

// name returns the task's identity, the same for every attempt to send it.
func (c *call) name() string {
	return fmt.Sprintf("%s/%d/%d", c.dispatcher.Identity, c.start.Number, c.start.Task)
}

// gotConn arms the connection's guard for this call.
func (c *call) gotConn(info httptrace.GotConnInfo) {
	if raw, ok := info.Conn.(*conn); ok {
		c.guard = raw.arm(c.start.By)
	}
}

// unanswered tells what a call without an answer proves.
func (c *call) unanswered(err error) scheduler.Result {
	if c.guard == nil {
		return scheduler.Unsent
	}
	if c.guard.seal() {
		return scheduler.Lost
	}
	if errors.Is(err, errLate) {
		return scheduler.Late
	}
	return scheduler.Unsent
}

// read takes the target's answer.
func (c *call) read(response *http.Response) (scheduler.Result, []byte, error) {
	if response.Header.Get(HeaderNotStarted) == c.name() {
		return refusal(response.Header.Get(HeaderReason)), nil, nil
	}
	if response.Header.Get(HeaderTask) != c.name() {
		return scheduler.Lost, nil, errMismatch
	}
	payload, err := io.ReadAll(io.LimitReader(response.Body, c.dispatcher.MaxResult+1))
	if err != nil {
		return scheduler.Lost, nil, err
	}
	if int64(len(payload)) > c.dispatcher.MaxResult {
		return scheduler.Wrong, nil, fmt.Errorf("the result exceeds %d bytes", c.dispatcher.MaxResult)
	}
	if response.StatusCode != http.StatusOK {
		return scheduler.Wrong, nil, fmt.Errorf("the target answered %s", response.Status)
	}
	return scheduler.Done, payload, nil
}

func refusal(reason string) scheduler.Result {
	switch r := scheduler.Result(reason); r {
	case scheduler.Late, scheduler.Leaving:
		return r
	default:
		return scheduler.Busy
	}
}

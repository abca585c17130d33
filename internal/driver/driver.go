// Package driver runs one router: its goroutine passes events to the router and
// executes the effects that the router returns.
package driver

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/logger"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/router"
)

// maxQueuedEvents is the capacity of the router's event queue; Put blocks beyond it.
const maxQueuedEvents = 16384

// viewInterval is the shortest time between two updates of the view, apart from those that
// follow a new configuration. Readiness is part of the view and is probed once a second.
const viewInterval = 50 * time.Millisecond

// Links sends messages to other hosts. No method blocks.
type Links interface {
	Dial(address string)
	CloseLink(address string)
	Redial(address string)
	Send(address string, m router.Message)
}

// Targets sends orders to targets. No method blocks; each order is answered by one event.
type Targets interface {
	Start(router.Start)
	Stop(router.Stop)
	Renew(router.Renew)
	WarmUp(router.WarmUp)
	CloseIdle(router.CloseIdle)
}

// Store sends requests to the platform's store. No method blocks.
type Store interface {
	// WriteClaims is answered by router.ClaimsWritten.
	WriteClaims(router.WriteClaims)
	// ReadClaims is answered by router.ClaimsRead if the store answers.
	ReadClaims()
	// ReadDirectory is answered by router.DirectoryRead or router.DirectoryReadFailed.
	ReadDirectory()
	SaveLearnedState(router.SaveLearnedState)
	RemoveMember(router.Member)
}

// Driver connects a router with its transports. Its exported fields are set before
// Run. Its methods are safe for concurrent use.
type Driver struct {
	Router   *router.Router
	Clock    clockwork.Clock
	Log      logr.Logger
	Throttle *logger.Throttle
	Meter    *meter.Host
	Links    Links
	Targets  Targets
	Store    Store

	events        chan router.Event
	done          chan struct{}
	lastRequest   atomic.Uint64
	mutex         sync.Mutex
	waiters       map[uint64]chan router.Effect
	view          atomic.Pointer[router.View]
	viewUpdatedAt time.Time
}

// Init prepares the Driver. It must be called before every other method.
func (d *Driver) Init() {
	d.events = make(chan router.Event, maxQueuedEvents)
	d.done = make(chan struct{})
	d.waiters = make(map[uint64]chan router.Effect)
	d.view.Store(&router.View{})
}

// Run passes events to the router until the router halts or the context is done.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	d.loop(ctx)
}

// Put queues an event for the router. It blocks while the queue is full, and drops the
// event once Run has returned.
func (d *Driver) Put(e router.Event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// Done returns a channel that is closed when Run returns.
func (d *Driver) Done() <-chan struct{} { return d.done }

// View returns the newest view. Callers must not change it.
func (d *Driver) View() *router.View { return d.view.Load() }

func (d *Driver) loop(ctx context.Context) {
	ticker := d.Clock.NewTicker(d.Router.Bounds.TickInterval)
	defer ticker.Stop()
	for {
		var e router.Event
		select {
		case <-ctx.Done():
			return
		case e = <-d.events:
		case <-ticker.Chan():
			e = router.Tick{}
		}
		if d.step(e) {
			return
		}
	}
}

// step passes one event to the router, executes the effects and reports whether the router
// has halted.
func (d *Driver) step(e router.Event) bool {
	now := d.Clock.Now()
	effects := d.Router.Step(now, e)
	d.Meter.Steps.Observe(d.Clock.Since(now).Seconds())
	_, adopted := e.(router.Adopt)
	if adopted || now.Sub(d.viewUpdatedAt) >= viewInterval {
		d.viewUpdatedAt = now
		v := d.Router.View()
		d.view.Store(&v)
		d.Meter.SetGauges(v)
	}
	halted := false
	for _, effect := range effects {
		if _, ok := effect.(router.Halt); ok {
			halted = true
			continue
		}
		d.execute(now, effect)
	}
	return halted
}

func (d *Driver) execute(now time.Time, effect router.Effect) {
	switch e := effect.(type) {
	case router.Answer:
		d.Meter.Answers.WithLabelValues(string(e.Verdict.Outcome), string(e.Verdict.Reason)).Inc()
		d.deliver(e.Request, e)
	case router.Cancelled:
		d.deliver(e.Request, e)
	case router.OpenJobs:
		d.deliver(e.Request, e)
	case router.State:
		d.deliver(e.Request, e)
	case router.Send, router.Dial, router.CloseLink, router.Redial:
		d.executeLinkEffect(e)
	case router.Start, router.Stop, router.Renew, router.WarmUp, router.CloseIdle:
		d.executeTargetEffect(e)
	case router.WriteClaims:
		d.Store.WriteClaims(e)
	case router.ReadClaims:
		d.Store.ReadClaims()
	case router.ReadDirectory:
		d.Store.ReadDirectory()
	case router.SaveLearnedState:
		d.Store.SaveLearnedState(e)
	case router.RemoveMember:
		d.Store.RemoveMember(e.Member)
	case router.Decision:
		d.Meter.Decisions.WithLabelValues(e.Action).Inc()
		if e.Routine {
			d.Throttle.Routine(now, e.Action, logPairs(e)...)
		} else {
			d.Throttle.Info(now, e.Action, logPairs(e)...)
		}
	case router.StageDuration:
		d.Meter.Stages.WithLabelValues(e.Route, string(e.Stage)).Observe(e.Duration.Seconds())
	case router.Violation:
		d.Meter.Violations.WithLabelValues(e.Invariant).Inc()
		d.Log.Error(nil, "invariant broken", "invariant", e.Invariant, "detail", e.Detail)
	}
}

func (d *Driver) executeLinkEffect(effect router.Effect) {
	switch e := effect.(type) {
	case router.Send:
		d.Links.Send(e.To, e.Message)
	case router.Dial:
		for _, address := range e.Addresses {
			d.Links.Dial(address)
		}
	case router.CloseLink:
		d.Links.CloseLink(e.Address)
	case router.Redial:
		d.Links.Redial(e.Address)
	}
}

func (d *Driver) executeTargetEffect(effect router.Effect) {
	switch e := effect.(type) {
	case router.Start:
		d.Targets.Start(e)
	case router.Stop:
		d.Targets.Stop(e)
	case router.Renew:
		d.Targets.Renew(e)
	case router.WarmUp:
		d.Targets.WarmUp(e)
	case router.CloseIdle:
		d.Targets.CloseIdle(e)
	}
}

// logPairs returns the keys and values of a decision's log line.
func logPairs(e router.Decision) []any {
	list := make([]any, 0, 6+len(e.Pairs))
	if e.Job != "" {
		list = append(list, "job", e.Job)
	}
	if e.Task != "" {
		list = append(list, "task", e.Task)
	}
	if e.Target != "" {
		list = append(list, "target", e.Target)
	}
	return append(list, e.Pairs...)
}

// deliver passes an effect to the request that waits for it. The effect is dropped when
// the request has been abandoned.
func (d *Driver) deliver(request uint64, e router.Effect) {
	d.mutex.Lock()
	waiter := d.waiters[request]
	delete(d.waiters, request)
	d.mutex.Unlock()
	if waiter != nil {
		waiter <- e
	}
}

// sendRequest queues an event with a new request number. It returns the number and the
// channel that receives the answer.
func (d *Driver) sendRequest(event func(request uint64) router.Event) (uint64, chan router.Effect) {
	request := d.lastRequest.Add(1)
	waiter := make(chan router.Effect, 1)
	d.mutex.Lock()
	d.waiters[request] = waiter
	d.mutex.Unlock()
	d.Put(event(request))
	return request, waiter
}

// Submit submits a job, which may take the given budget of time, and waits for its
// verdict. When the context is done first, the job is withdrawn and the context's error
// is returned. When Run returns first, the outcome is router.Unknown.
func (d *Driver) Submit(ctx context.Context, job router.Job, budget time.Duration) (router.Verdict, error) {
	startedAt := d.Clock.Now()
	request, waiter := d.sendRequest(func(request uint64) router.Event {
		return router.Submit{Request: request, Job: job, Budget: budget}
	})
	select {
	case e := <-waiter:
		v := e.(router.Answer).Verdict
		d.Meter.ResponseTime.WithLabelValues(job.Route, string(v.Outcome)).Observe(d.Clock.Since(startedAt).Seconds())
		return v, nil
	case <-d.done:
		return router.Verdict{ID: job.ID, Outcome: router.Unknown, Reason: router.Stopping}, nil
	case <-ctx.Done():
		d.removeWaiter(request)
		d.Put(router.ClientGone{Request: request})
		return router.Verdict{}, ctx.Err()
	}
}

// Cancel withdraws a job and reports whether it was open at this host.
func (d *Driver) Cancel(ctx context.Context, id string) bool {
	request, waiter := d.sendRequest(func(request uint64) router.Event { return router.Cancel{Request: request, ID: id} })
	select {
	case e := <-waiter:
		return e.(router.Cancelled).Known
	case <-d.done:
	case <-ctx.Done():
		d.removeWaiter(request)
	}
	return false
}

// OpenJobs returns this host's open jobs: the number of those that have not started, by
// route, and whether each has started, by job ID. It returns the zero value when Run
// has returned or the context is done.
func (d *Driver) OpenJobs(ctx context.Context) router.OpenJobs {
	request, waiter := d.sendRequest(func(request uint64) router.Event { return router.CountOpen{Request: request} })
	select {
	case e := <-waiter:
		return e.(router.OpenJobs)
	case <-d.done:
	case <-ctx.Done():
		d.removeWaiter(request)
	}
	return router.OpenJobs{}
}

// Inspect returns the router's state. It returns an error when Run has returned or the
// context is done.
func (d *Driver) Inspect(ctx context.Context) (router.State, error) {
	request, waiter := d.sendRequest(func(request uint64) router.Event { return router.Inspect{Request: request} })
	select {
	case e := <-waiter:
		return e.(router.State), nil
	case <-d.done:
		return router.State{}, errHalted
	case <-ctx.Done():
		d.removeWaiter(request)
		return router.State{}, ctx.Err()
	}
}

// errHalted answers requests that arrive after the end of a shutdown.
var errHalted = errors.New("the host has shut down; ask another")

func (d *Driver) removeWaiter(request uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.waiters, request)
}

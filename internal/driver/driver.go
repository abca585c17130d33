// Package driver runs one router: it owns the goroutine that steps it, brings
// events in and carries effects out.
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

// queueLength bounds the events that wait for the router.
const queueLength = 16384

// viewEvery is the period at which the view is made anew. Readiness is asked for
// once a second.
const viewEvery = 50 * time.Millisecond

// Links carry messages to other hosts. No method blocks.
type Links interface {
	Dial(address string)
	CloseLink(address string)
	Redial(address string)
	Send(address string, m router.Message)
}

// Targets carry orders. No method blocks; each order is answered by one event.
type Targets interface {
	Start(router.Start)
	Stop(router.Stop)
	Renew(router.Renew)
	WarmUp(router.WarmUp)
	CloseIdle(router.CloseIdle)
}

// Store reaches the platform's store. No method blocks.
type Store interface {
	// WriteClaims is answered by router.ClaimsWritten.
	WriteClaims(router.WriteClaims)
	// ReadDirectory is answered by router.DirectoryRead or router.DirectoryReadFailed.
	ReadDirectory()
	SaveLearnedState(router.SaveLearnedState)
	RemoveMember(router.Member)
}

// Driver joins a router with its transports. Its exported fields are set before
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

	events  chan router.Event
	done    chan struct{}
	number  atomic.Uint64
	mutex   sync.Mutex
	waiters map[uint64]chan router.Effect
	view    atomic.Pointer[router.View]
	viewed  time.Time
}

// Init makes the Driver ready; it comes before Run, Put and the requests.
func (d *Driver) Init() {
	d.events = make(chan router.Event, queueLength)
	d.done = make(chan struct{})
	d.waiters = make(map[uint64]chan router.Effect)
	d.view.Store(&router.View{})
}

// Run steps the router until it halts or the context is done.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	d.loop(ctx)
}

// Put hands over one event. It blocks while the queue is full, and drops the
// event once the router has halted.
func (d *Driver) Put(e router.Event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// Done is closed once the router has halted.
func (d *Driver) Done() <-chan struct{} { return d.done }

// View returns the newest view. It must not be changed.
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

// step applies one event and reports whether the router has halted.
func (d *Driver) step(e router.Event) bool {
	now := d.Clock.Now()
	effects := d.Router.Step(now, e)
	d.Meter.Steps.Observe(d.Clock.Since(now).Seconds())
	_, adopted := e.(router.Adopt)
	if adopted || now.Sub(d.viewed) >= viewEvery {
		d.viewed = now
		v := d.Router.View()
		d.view.Store(&v)
		d.Meter.Show(v)
	}
	halted := false
	for _, effect := range effects {
		if _, ok := effect.(router.Halt); ok {
			halted = true
			continue
		}
		d.carry(now, effect)
	}
	return halted
}

// carry carries out one effect.
func (d *Driver) carry(now time.Time, effect router.Effect) {
	switch e := effect.(type) {
	case router.Answer:
		d.Meter.Answers.WithLabelValues(string(e.Verdict.Outcome), string(e.Verdict.Reason)).Inc()
		d.answer(e.Request, e)
	case router.Cancelled:
		d.answer(e.Request, e)
	case router.OpenJobs:
		d.answer(e.Request, e)
	case router.State:
		d.answer(e.Request, e)
	case router.Send, router.Dial, router.CloseLink, router.Redial:
		d.link(e)
	case router.Start, router.Stop, router.Renew, router.WarmUp, router.CloseIdle:
		d.order(e)
	case router.WriteClaims:
		d.Store.WriteClaims(e)
	case router.ReadDirectory:
		d.Store.ReadDirectory()
	case router.SaveLearnedState:
		d.Store.SaveLearnedState(e)
	case router.RemoveMember:
		d.Store.RemoveMember(e.Member)
	case router.Decision:
		d.Meter.Decisions.WithLabelValues(e.Action).Inc()
		if e.Routine {
			d.Throttle.Routine(now, e.Action, pairs(e)...)
		} else {
			d.Throttle.Info(now, e.Action, pairs(e)...)
		}
	case router.StageDuration:
		d.Meter.Stages.WithLabelValues(e.Route, string(e.Stage)).Observe(e.Duration.Seconds())
	case router.Violation:
		d.Meter.Violations.WithLabelValues(e.Invariant).Inc()
		d.Log.Error(nil, "invariant broken", "invariant", e.Invariant, "detail", e.Detail)
	}
}

// link carries out an effect on the links to other hosts.
func (d *Driver) link(effect router.Effect) {
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

// order carries out an effect on a target.
func (d *Driver) order(effect router.Effect) {
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

// pairs returns the keys and values of a decision's log line.
func pairs(e router.Decision) []any {
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

// answer hands an effect to the request that waits for it, if it still does.
func (d *Driver) answer(request uint64, e router.Effect) {
	d.mutex.Lock()
	waiter := d.waiters[request]
	delete(d.waiters, request)
	d.mutex.Unlock()
	if waiter != nil {
		waiter <- e
	}
}

// ask puts an event that carries a request number and returns where its answer
// comes, and the number.
func (d *Driver) ask(event func(request uint64) router.Event) (uint64, chan router.Effect) {
	request := d.number.Add(1)
	waiter := make(chan router.Effect, 1)
	d.mutex.Lock()
	d.waiters[request] = waiter
	d.mutex.Unlock()
	d.Put(event(request))
	return request, waiter
}

// Submit runs a job and waits for its verdict. When the context ends before, the
// job is withdrawn.
func (d *Driver) Submit(ctx context.Context, job router.Job, budget time.Duration) (router.Verdict, error) {
	began := d.Clock.Now()
	request, waiter := d.ask(func(request uint64) router.Event {
		return router.Submit{Request: request, Job: job, Budget: budget}
	})
	select {
	case e := <-waiter:
		v := e.(router.Answer).Verdict
		d.Meter.Response.WithLabelValues(job.Route, string(v.Outcome)).Observe(d.Clock.Since(began).Seconds())
		return v, nil
	case <-d.done:
		return router.Verdict{ID: job.ID, Outcome: router.Unknown, Reason: router.Stopping}, nil
	case <-ctx.Done():
		d.forget(request)
		d.Put(router.ClientGone{Request: request})
		return router.Verdict{}, ctx.Err()
	}
}

// Cancel withdraws a job and reports whether it was open here.
func (d *Driver) Cancel(ctx context.Context, id string) bool {
	request, waiter := d.ask(func(request uint64) router.Event { return router.Cancel{Request: request, ID: id} })
	select {
	case e := <-waiter:
		return e.(router.Cancelled).Known
	case <-d.done:
	case <-ctx.Done():
		d.forget(request)
	}
	return false
}

// Pending returns the open jobs of this host that have not begun, by route, and
// those that are open at all, by job.
func (d *Driver) Pending(ctx context.Context) router.OpenJobs {
	request, waiter := d.ask(func(request uint64) router.Event { return router.CountOpen{Request: request} })
	select {
	case e := <-waiter:
		return e.(router.OpenJobs)
	case <-d.done:
	case <-ctx.Done():
		d.forget(request)
	}
	return router.OpenJobs{}
}

// Inspect returns what the router believes. The error tells that it has halted or that
// the context is done.
func (d *Driver) Inspect(ctx context.Context) (router.State, error) {
	request, waiter := d.ask(func(request uint64) router.Event { return router.Inspect{Request: request} })
	select {
	case e := <-waiter:
		return e.(router.State), nil
	case <-d.done:
		return router.State{}, errHalted
	case <-ctx.Done():
		d.forget(request)
		return router.State{}, ctx.Err()
	}
}

// errHalted answers questions after the end of a shutdown.
var errHalted = errors.New("the host has shut down; ask another")

func (d *Driver) forget(request uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.waiters, request)
}

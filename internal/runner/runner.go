// Package runner runs one scheduler: it owns the goroutine that steps it, and
// carries events in and effects out.
package runner

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/dispatcher"
	"github.com/shallotrouter/shallotrouter/internal/follower"
	"github.com/shallotrouter/shallotrouter/internal/logger"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/reporter"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// queueLength bounds the events that wait for the scheduler.
const queueLength = 4096

// Runner joins a scheduler with its transports. Its exported fields are set
// before Run. Its methods are safe for concurrent use.
type Runner struct {
	Scheduler  *scheduler.Scheduler
	Clock      clockwork.Clock
	Log        logr.Logger
	Throttle   *logger.Throttle
	Meter      *meter.Meter
	Dispatcher *dispatcher.Dispatcher
	Reporter   *reporter.Reporter
	Follower   *follower.Follower
	// Seeds are peers that are known from the start.
	Seeds []string

	events  chan scheduler.Event
	done    chan struct{}
	request atomic.Uint64
	mutex   sync.Mutex
	waiters map[uint64]chan scheduler.Effect
	view    atomic.Pointer[View]
}

// View is the part of the scheduler's state that other goroutines read.
type View struct {
	Phase     scheduler.Phase
	Config    *declarer.Config
	Directory scheduler.Directory
	Hosts     int // entry hosts of the zone that are present, this one included
}

// Init makes the Runner ready; it comes before Run, Put and the requests.
func (r *Runner) Init() {
	r.events = make(chan scheduler.Event, queueLength)
	r.done = make(chan struct{})
	r.waiters = make(map[uint64]chan scheduler.Effect)
	r.view.Store(&View{Phase: scheduler.Starting})
}

// Run steps the scheduler until it halts or the context is done.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.done)
	r.loop(ctx)
}

// Put hands over one event. It blocks while the queue is full, and drops the
// event once the scheduler has halted.
func (r *Runner) Put(e scheduler.Event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

// Done is closed once the scheduler has halted.
func (r *Runner) Done() <-chan struct{} { return r.done }

// View returns the newest view. It must not be changed.
func (r *Runner) View() *View { return r.view.Load() }

func (r *Runner) loop(ctx context.Context) {
	ticker := r.Clock.NewTicker(r.Scheduler.Bounds.Tick)
	defer ticker.Stop()
	for {
		var e scheduler.Event
		select {
		case <-ctx.Done():
			return
		case e = <-r.events:
		case <-ticker.Chan():
			e = scheduler.Tick{}
		}
		if r.step(e) {
			return
		}
	}
}

// step applies one event and reports whether the scheduler has halted.
func (r *Runner) step(e scheduler.Event) bool {
	if f, ok := e.(scheduler.Finish); ok {
		r.Meter.Finish(f.Result)
	}
	now := r.Clock.Now()
	effects := r.Scheduler.Step(now, e)
	r.Meter.Steps.Observe(r.Clock.Since(now).Seconds())
	r.refreshView(e)
	halted := false
	for _, effect := range effects {
		r.Meter.Effect(effect)
		if _, ok := effect.(scheduler.Halt); ok {
			halted = true
			continue
		}
		r.carry(now, effect)
	}
	return halted
}

// refreshView publishes the view and tells the transports of new documents.
func (r *Runner) refreshView(e scheduler.Event) {
	v := r.Scheduler.View()
	old := r.view.Load()
	if v.Config == old.Config && v.Directory.Version == old.Directory.Version && v.Phase == old.Phase && v.Hosts == old.Hosts {
		return
	}
	fresh := &View{Phase: v.Phase, Config: v.Config, Directory: v.Directory, Hosts: v.Hosts}
	r.view.Store(fresh)
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	r.Meter.Version.Set(float64(version))
	r.Follower.Know(version, v.Directory.Version, v.Hosts)
	r.Reporter.Hold(v.Config, v.Directory)
	if _, located := e.(scheduler.Locate); located {
		r.Reporter.Dial(r.peers(v.Directory))
		r.Dispatcher.Keep(named(v.Directory))
	}
}

// peers returns the addresses of all known peers.
func (r *Runner) peers(d scheduler.Directory) []string {
	addresses := append([]string(nil), r.Seeds...)
	for _, h := range d.Hosts {
		if h.Role == scheduler.Entry {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// named tells which targets a directory names.
func named(d scheduler.Directory) func(string) bool {
	names := make(map[string]struct{}, len(d.Hosts))
	for _, h := range d.Hosts {
		names[h.Name] = struct{}{}
	}
	return func(target string) bool {
		_, ok := names[target]
		return ok
	}
}

// carry carries out one effect.
func (r *Runner) carry(now time.Time, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Start:
		r.Dispatcher.Send(e, r.limits(e.Service))
	case scheduler.Reply:
		r.answer(e.Request, e)
	case scheduler.Shown:
		r.answer(e.Request, e)
	case scheduler.Issued:
		r.answer(e.Request, e)
	case scheduler.Surveyed:
		r.answer(e.Request, e)
	case scheduler.Publish:
		r.gauge(e)
		r.Reporter.Publish(e.Report)
	case scheduler.Refresh:
		r.Follower.Nudge()
	case scheduler.Retire:
		r.Dispatcher.Retire(e.Target)
	case scheduler.Decide:
		r.Throttle.Info(now, "decision", pairs(e)...)
	case scheduler.Violate:
		r.Log.Error(nil, "invariant broken", "invariant", e.Invariant, "detail", e.Detail)
	}
}

// pairs returns the keys and values of a decision's log line.
func pairs(e scheduler.Decide) []any {
	list := []any{"act", e.Action}
	if e.Number > 0 {
		list = append(list, "job", e.Number, "client", e.Client)
	}
	if e.Action == scheduler.Place || e.Action == scheduler.Requeue {
		list = append(list, "task", e.Task)
	}
	if e.Target != "" {
		list = append(list, "target", e.Target)
	}
	if e.Outcome != "" {
		list = append(list, "outcome", e.Outcome)
	}
	if e.Reason != "" {
		list = append(list, "reason", e.Reason)
	}
	return list
}

func (r *Runner) gauge(e scheduler.Publish) {
	waiting := 0
	for _, d := range e.Report.Demands {
		waiting += d.Waiting
	}
	r.Meter.Waiting.Set(float64(waiting))
	r.Meter.Open.Set(float64(r.Scheduler.Open()))
	age, known := r.Follower.Age()
	if !known {
		r.Meter.Age.Set(-1)
		return
	}
	r.Meter.Age.Set(age.Seconds())
}

// limits returns the connection limits of a service.
func (r *Runner) limits(name string) dispatcher.Limits {
	service, _ := r.View().Config.Service(name)
	return dispatcher.Limits{Connections: service.Connections, Trust: service.Trust}
}

// answer hands an effect to the request that waits for it, if it still does.
func (r *Runner) answer(request uint64, e scheduler.Effect) {
	r.mutex.Lock()
	waiter := r.waiters[request]
	delete(r.waiters, request)
	r.mutex.Unlock()
	if waiter != nil {
		waiter <- e
	}
}

// ask puts an event that carries a request number and waits for its answer.
func (r *Runner) ask(ctx context.Context, event func(request uint64) scheduler.Event) (scheduler.Effect, error) {
	request := r.request.Add(1)
	waiter := make(chan scheduler.Effect, 1)
	r.mutex.Lock()
	r.waiters[request] = waiter
	r.mutex.Unlock()
	defer r.leave(request)
	r.Put(event(request))
	select {
	case e := <-waiter:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
	}
	select {
	case e := <-waiter:
		return e, nil
	default:
		return nil, shallotrouter.Errorf(shallotrouter.Draining, "this host has shut down; go to another entry host")
	}
}

func (r *Runner) leave(request uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.waiters, request)
}

// Submit runs a job and waits for its answer or the context.
func (r *Runner) Submit(ctx context.Context, client string, number uint64, job shallotrouter.Job) (scheduler.Reply, error) {
	return reply(r.ask(ctx, func(request uint64) scheduler.Event {
		return scheduler.Submit{Request: request, Client: client, Number: number, Job: job, Digest: digest(job)}
	}))
}

// digest returns a hash of what a job does. Deadlines may differ between two
// submissions of the same job.
func digest(job shallotrouter.Job) uint64 {
	h := xxhash.New()
	add := func(data []byte) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(data)))) // never fails
		_, _ = h.Write(data)
	}
	add([]byte(job.Service))
	for _, t := range job.Tasks {
		add([]byte(t.Kind))
		add(t.Payload)
	}
	return h.Sum64()
}

// Cancel withdraws a job and waits for its answer.
func (r *Runner) Cancel(ctx context.Context, client string, number uint64) (scheduler.Reply, error) {
	return reply(r.ask(ctx, func(request uint64) scheduler.Event {
		return scheduler.Cancel{Request: request, Client: client, Number: number}
	}))
}

func reply(e scheduler.Effect, err error) (scheduler.Reply, error) {
	if err != nil {
		return scheduler.Reply{}, err
	}
	return e.(scheduler.Reply), nil
}

// Inspect returns the state of a job.
func (r *Runner) Inspect(ctx context.Context, client string, number uint64) (shallotrouter.State, error) {
	e, err := r.ask(ctx, func(request uint64) scheduler.Event {
		return scheduler.Inspect{Request: request, Client: client, Number: number}
	})
	if err != nil {
		return shallotrouter.State{}, err
	}
	return e.(scheduler.Shown).State, nil
}

// Issue takes a block of tickets.
func (r *Runner) Issue(ctx context.Context, client string, count int) (scheduler.Issued, error) {
	e, err := r.ask(ctx, func(request uint64) scheduler.Event {
		return scheduler.Issue{Request: request, Client: client, Count: count}
	})
	if err != nil {
		return scheduler.Issued{}, err
	}
	issued := e.(scheduler.Issued)
	if issued.Err != nil {
		return issued, issued.Err
	}
	return issued, nil
}

// Survey returns the host's state.
func (r *Runner) Survey(ctx context.Context) (scheduler.Status, error) {
	e, err := r.ask(ctx, func(request uint64) scheduler.Event { return scheduler.Survey{Request: request} })
	if err != nil {
		return scheduler.Status{}, err
	}
	return e.(scheduler.Surveyed).Status, nil
}

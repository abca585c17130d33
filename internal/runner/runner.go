// Package runner runs one scheduler in its own goroutine. It queues the events for the
// scheduler and executes the scheduler's effects.
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

// maxQueuedEvents is the maximum number of events that wait for the scheduler.
const maxQueuedEvents = 4096

// Runner connects a scheduler with its transports. Its exported fields are set before
// Run is called. Its methods are safe for concurrent use.
type Runner struct {
	Scheduler  *scheduler.Scheduler
	Clock      clockwork.Clock
	Log        logr.Logger
	Throttle   *logger.Throttle
	Meter      *meter.Meter
	Dispatcher *dispatcher.Dispatcher
	Reporter   *reporter.Reporter
	Follower   *follower.Follower
	// SeedPeers are the addresses of peers that are known from the start.
	SeedPeers []string

	events      chan scheduler.Event
	done        chan struct{}
	lastRequest atomic.Uint64
	mutex       sync.Mutex
	waiters     map[uint64]chan scheduler.Effect
	view        atomic.Pointer[View]
}

// View is the part of the scheduler's state that other goroutines read.
type View struct {
	Phase     scheduler.Phase
	Config    *declarer.Config
	Directory scheduler.Directory
	Hosts     int // entry hosts of the zone that are present, including this one
}

// Init prepares the Runner. It is called before all other methods.
func (r *Runner) Init() {
	r.events = make(chan scheduler.Event, maxQueuedEvents)
	r.done = make(chan struct{})
	r.waiters = make(map[uint64]chan scheduler.Effect)
	r.view.Store(&View{Phase: scheduler.Starting})
}

// Run passes events to the scheduler until it halts or the context is done.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.done)
	r.stepUntilHalt(ctx)
}

// Put queues one event. It blocks while the queue is full, and drops the event after Run
// has returned.
func (r *Runner) Put(e scheduler.Event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

// Done returns a channel that is closed when Run returns.
func (r *Runner) Done() <-chan struct{} { return r.done }

// View returns the newest view. The caller must not modify it.
func (r *Runner) View() *View { return r.view.Load() }

func (r *Runner) stepUntilHalt(ctx context.Context) {
	ticker := r.Clock.NewTicker(r.Scheduler.Bounds.TickInterval)
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

// step passes one event to the scheduler, executes the effects and reports whether the
// scheduler has halted.
func (r *Runner) step(e scheduler.Event) bool {
	if f, ok := e.(scheduler.RunEnded); ok {
		r.Meter.CountEnd(f.Result)
	}
	now := r.Clock.Now()
	effects := r.Scheduler.Step(now, e)
	r.Meter.Steps.Observe(r.Clock.Since(now).Seconds())
	r.refreshView(e)
	halted := false
	for _, effect := range effects {
		r.Meter.CountEffect(effect)
		if _, ok := effect.(scheduler.Halt); ok {
			halted = true
			continue
		}
		r.execute(now, effect)
	}
	return halted
}

// refreshView publishes the view if it has changed and passes new versions of the
// configuration and the directory to the transports.
func (r *Runner) refreshView(e scheduler.Event) {
	v := r.Scheduler.View()
	old := r.view.Load()
	if v.Config == old.Config && v.Directory.Version == old.Directory.Version && v.Phase == old.Phase && v.Hosts == old.Hosts {
		return
	}
	current := &View{Phase: v.Phase, Config: v.Config, Directory: v.Directory, Hosts: v.Hosts}
	r.view.Store(current)
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	r.Meter.ConfigVersion.Set(float64(version))
	r.Follower.SetKnownVersions(version, v.Directory.Version, v.Hosts)
	r.Reporter.SetDocuments(v.Config, v.Directory)
	if _, located := e.(scheduler.Locate); located {
		r.Reporter.SetPeers(r.peerAddresses(v.Directory))
		r.Dispatcher.RetainTargets(listedIn(v.Directory))
	}
}

// peerAddresses returns the addresses of the seeds and of the directory's entry hosts.
func (r *Runner) peerAddresses(d scheduler.Directory) []string {
	addresses := append([]string(nil), r.SeedPeers...)
	for _, h := range d.Hosts {
		if h.Role == scheduler.Entry {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// listedIn returns a function that reports whether the directory lists a target.
func listedIn(d scheduler.Directory) func(string) bool {
	names := make(map[string]struct{}, len(d.Hosts))
	for _, h := range d.Hosts {
		names[h.Name] = struct{}{}
	}
	return func(target string) bool {
		_, ok := names[target]
		return ok
	}
}

func (r *Runner) execute(now time.Time, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Start:
		r.Dispatcher.Send(e, r.connectionLimits(e.Service))
	case scheduler.Reply:
		r.deliverAnswer(e.Request, e)
	case scheduler.JobInspected:
		r.deliverAnswer(e.Request, e)
	case scheduler.Issued:
		r.deliverAnswer(e.Request, e)
	case scheduler.HostInspected:
		r.deliverAnswer(e.Request, e)
	case scheduler.Publish:
		r.updateGauges(e)
		r.Reporter.Publish(e.Report)
	case scheduler.Refresh:
		r.Follower.PollNow()
	case scheduler.CloseIdle:
		r.Dispatcher.CloseIdle(e.Target)
	case scheduler.Decision:
		r.Throttle.Info(now, "decision", logValues(e)...)
	case scheduler.Violation:
		r.Log.Error(nil, "invariant broken", "invariant", e.Invariant, "detail", e.Detail)
	}
}

// logValues returns the keys and values for the log line of a decision.
func logValues(e scheduler.Decision) []any {
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

func (r *Runner) updateGauges(e scheduler.Publish) {
	waiting := 0
	for _, d := range e.Report.Demands {
		waiting += d.Waiting
	}
	r.Meter.WaitingTasks.Set(float64(waiting))
	r.Meter.OpenJobs.Set(float64(r.Scheduler.OpenJobs()))
	age, known := r.Follower.Age()
	if !known {
		r.Meter.PlatformAge.Set(-1)
		return
	}
	r.Meter.PlatformAge.Set(age.Seconds())
}

// connectionLimits returns the connection limits of a service.
func (r *Runner) connectionLimits(name string) dispatcher.Limits {
	service, _ := r.View().Config.Service(name)
	return dispatcher.Limits{MaxConnections: service.MaxConnections, IdleTimeout: service.IdleTimeout}
}

// deliverAnswer passes an effect to the request that waits for it, if there still is one.
func (r *Runner) deliverAnswer(request uint64, e scheduler.Effect) {
	r.mutex.Lock()
	waiter := r.waiters[request]
	delete(r.waiters, request)
	r.mutex.Unlock()
	if waiter != nil {
		waiter <- e
	}
}

// requestAnswer queues an event with a new request number and waits for the effect that
// answers it. It returns an error if the context is done first, and an Error with reason
// Draining if the scheduler has halted without an answer.
func (r *Runner) requestAnswer(ctx context.Context, newEvent func(request uint64) scheduler.Event) (scheduler.Effect, error) {
	request := r.lastRequest.Add(1)
	waiter := make(chan scheduler.Effect, 1)
	r.mutex.Lock()
	r.waiters[request] = waiter
	r.mutex.Unlock()
	defer r.removeWaiter(request)
	r.Put(newEvent(request))
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

func (r *Runner) removeWaiter(request uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.waiters, request)
}

// Submit submits a job and waits for its answer until the context is done.
func (r *Runner) Submit(ctx context.Context, client string, number uint64, job shallotrouter.Job) (scheduler.Reply, error) {
	return asReply(r.requestAnswer(ctx, func(request uint64) scheduler.Event {
		return scheduler.Submit{Request: request, Client: client, Number: number, Job: job, Digest: jobDigest(job)}
	}))
}

// jobDigest returns a hash of the job's service and tasks. It leaves out the deadline,
// which may differ between two submissions of the same job.
func jobDigest(job shallotrouter.Job) uint64 {
	h := xxhash.New()
	add := func(data []byte) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(data)))) // a Digest returns no write errors
		_, _ = h.Write(data)
	}
	add([]byte(job.Service))
	for _, t := range job.Tasks {
		add([]byte(t.Kind))
		add(t.Payload)
	}
	return h.Sum64()
}

// Cancel cancels a job and waits for its answer.
func (r *Runner) Cancel(ctx context.Context, client string, number uint64) (scheduler.Reply, error) {
	return asReply(r.requestAnswer(ctx, func(request uint64) scheduler.Event {
		return scheduler.Cancel{Request: request, Client: client, Number: number}
	}))
}

func asReply(e scheduler.Effect, err error) (scheduler.Reply, error) {
	if err != nil {
		return scheduler.Reply{}, err
	}
	return e.(scheduler.Reply), nil
}

// InspectJob returns the state of a job.
func (r *Runner) InspectJob(ctx context.Context, client string, number uint64) (shallotrouter.State, error) {
	e, err := r.requestAnswer(ctx, func(request uint64) scheduler.Event {
		return scheduler.InspectJob{Request: request, Client: client, Number: number}
	})
	if err != nil {
		return shallotrouter.State{}, err
	}
	return e.(scheduler.JobInspected).State, nil
}

// IssueTickets issues a block of tickets.
func (r *Runner) IssueTickets(ctx context.Context, client string, count int) (scheduler.Issued, error) {
	e, err := r.requestAnswer(ctx, func(request uint64) scheduler.Event {
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

// InspectHost returns the status of this host.
func (r *Runner) InspectHost(ctx context.Context) (scheduler.Status, error) {
	e, err := r.requestAnswer(ctx, func(request uint64) scheduler.Event { return scheduler.InspectHost{Request: request} })
	if err != nil {
		return scheduler.Status{}, err
	}
	return e.(scheduler.HostInspected).Status, nil
}

// Package assembler puts a daemon together from its settings.
package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/dispatcher"
	"github.com/shallotrouter/shallotrouter/internal/follower"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/logger"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/reporter"
	"github.com/shallotrouter/shallotrouter/internal/runner"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/server"
	"github.com/shallotrouter/shallotrouter/internal/storer"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes clients' idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds a request's header in bytes.
	maxHeader = 16 << 10
	// forwardAsk bounds a forwarded request that does not wait for a job.
	forwardAsk = time.Second
	// closeGrace is how long answers may take to leave after the scheduler
	// has halted.
	closeGrace = 2 * time.Second
)

// Daemon is one entry host. Settings, Clock and Log are set before Run.
type Daemon struct {
	Settings *loader.Settings
	Clock    clockwork.Clock
	Log      logr.Logger
	// Listener is where the daemon serves; nil opens Settings.Listen.
	Listener net.Listener

	runner   *runner.Runner
	meter    *meter.Meter
	drain    sync.Once
	draining chan struct{}
	stop     chan struct{}
	stopped  sync.Once
	ready    chan struct{}
	once     sync.Once
}

// Init makes the Daemon ready for Run, Drain and Stop.
func (d *Daemon) Init() {
	d.draining = make(chan struct{})
	d.stop = make(chan struct{})
	d.ready = make(chan struct{})
	d.meter = meter.New()
}

// Meter returns the daemon's metrics.
func (d *Daemon) Meter() *meter.Meter { return d.meter }

// Runner returns the daemon's runner, once Ready is closed.
func (d *Daemon) Runner() *runner.Runner { return d.runner }

// Ready is closed once the daemon listens.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Drain begins a graceful shutdown. Run returns when it is over.
func (d *Daemon) Drain() { d.drain.Do(func() { close(d.draining) }) }

// Stop ends a drain at once, with a truthful answer to each open job.
func (d *Daemon) Stop() {
	d.Drain()
	d.stopped.Do(func() { close(d.stop) })
}

// Run serves until a drain is over or the context is done.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	incarnation := uint64(d.Clock.Now().UnixNano())
	handler, transport, err := d.assemble(incarnation)
	if err != nil {
		return err
	}
	listener, err := d.listen(transport)
	if err != nil {
		return err
	}
	web := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: d.Settings.Read,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	s := &service{server: web, listener: listener, failed: make(chan error, 1)}
	d.runner.Reporter.Run(ctx)
	d.runner.Reporter.Dial(d.Settings.Peers)
	go s.run()
	go (&part{work: d.runner.Run}).run(ctx)
	go (&part{work: d.runner.Follower.Run}).run(ctx)
	d.once.Do(func() { close(d.ready) })
	d.Log.Info("serving", "host", d.Settings.Name, "zone", d.Settings.Zone, "address", listener.Addr().String())
	return d.wait(ctx, s)
}

// part is a long-running piece of the daemon.
type part struct{ work func(context.Context) }

func (p *part) run(ctx context.Context) { p.work(ctx) }

// service is the daemon's HTTP server.
type service struct {
	server   *http.Server
	listener net.Listener
	failed   chan error
}

// run serves until the server is shut down.
func (s *service) run() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.failed <- err
	}
}

// wait follows the shutdown through its steps.
func (d *Daemon) wait(ctx context.Context, s *service) error {
	select {
	case <-ctx.Done():
		return s.server.Close()
	case err := <-s.failed:
		return err
	case <-d.draining:
	}
	d.Log.Info("draining", "bound", d.Settings.Drain.String())
	d.runner.Put(scheduler.Drain{})
	timer := d.Clock.NewTimer(d.Settings.Drain)
	defer timer.Stop()
	select {
	case <-d.runner.Done():
	case <-timer.Chan():
		d.runner.Put(scheduler.Stop{})
	case <-d.stop:
		d.runner.Put(scheduler.Stop{})
	case <-ctx.Done():
	}
	<-d.runner.Done()
	closing, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	if err := s.server.Shutdown(closing); err != nil {
		return s.server.Close()
	}
	return nil
}

// listen opens the daemon's address, with TLS when the settings name keys.
func (d *Daemon) listen(transport *tls.Config) (net.Listener, error) {
	listener := d.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", d.Settings.Listen); err != nil {
			return nil, merry.Prepend(err, "the address cannot be opened; free it or change [host] listen")
		}
	}
	if transport != nil {
		listener = tls.NewListener(listener, transport)
	}
	return listener, nil
}

// assemble makes the daemon's parts and returns its handler.
func (d *Daemon) assemble(incarnation uint64) (http.Handler, *tls.Config, error) {
	v := d.Settings
	keys, err := loader.NewKeys(v.Certificate, v.Key, v.Authority, d.Clock)
	if err != nil {
		return nil, nil, err
	}
	sealer := &ticketer.Sealer{Key: v.Secret}
	seed := rand.New(rand.NewPCG(incarnation, uint64(len(v.Name))))
	r := &runner.Runner{
		Scheduler: &scheduler.Scheduler{
			Host: v.Name, Zone: v.Zone, Address: v.Address, Incarnation: incarnation, Bounds: v.Bounds,
		},
		Clock: d.Clock, Log: d.Log, Meter: d.meter, Seeds: v.Peers,
		Throttle: logger.NewThrottle(d.Log, v.Lines),
	}
	r.Throttle.Observe = d.meter.Omitted.Inc
	r.Init()
	r.Dispatcher = &dispatcher.Dispatcher{
		Clock: d.Clock, Sink: r, Identity: fmt.Sprintf("%s/%x", v.Name, incarnation),
		Dial: v.Dial, Unacked: v.Unacked, MaxResult: v.Result,
	}
	r.Reporter = &reporter.Reporter{
		Clock: d.Clock, Log: d.Log, Sink: r, Secret: v.Secret, TLS: keys.Client(), Seed: incarnation, Observe: d.meter.Report,
		Self: reporter.Hello{Host: v.Name, Zone: v.Zone, Address: v.Address, Incarnation: incarnation},
	}
	r.Follower = &follower.Follower{
		Clock: d.Clock, Log: d.Log, Client: storer.NewClient(v.Platform, v.Timeout), Zone: v.Zone, Sink: r,
		Every: v.Poll, Slowest: v.PollSlowest, Random: seed, Observe: d.meter.Poll,
	}
	r.Follower.Init()
	d.runner = r
	web := &server.Server{
		Log: d.Log, Runner: r, Meter: d.meter, Sealer: sealer, Peers: r.Reporter,
		Address: v.Address, Incarnation: incarnation, Secret: v.Secret, Operator: v.Operator,
		Body: v.Body, Requests: v.Requests, Drain: d.Drain,
		Forwarder: &server.Forwarder{
			Clock: d.Clock, HTTP: keys.HTTP(v.Dial), Scheme: keys.Scheme(), Secret: v.Secret, Ask: forwardAsk, Seal: sealer.Seal,
		},
	}
	return web.Handler(), keys.Server(), nil
}

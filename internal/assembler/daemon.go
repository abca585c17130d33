// Package assembler creates the parts of an entry host from its settings, runs them and
// shuts them down.
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
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which a client's idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
	// forwardTimeout bounds a forwarded request that does not wait for a job.
	forwardTimeout = time.Second
	// closeTimeout bounds the writing of the last answers after the scheduler has halted.
	closeTimeout = 2 * time.Second
)

// Daemon is one entry host. Settings, Clock and Log are set before Run.
type Daemon struct {
	Settings *loader.Settings
	Clock    clockwork.Clock
	Log      logr.Logger
	// Listener accepts the daemon's connections. If it is nil, Run listens at
	// Settings.Listen.
	Listener net.Listener

	runner    *runner.Runner
	meter     *meter.Meter
	drainOnce sync.Once
	draining  chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once
	ready     chan struct{}
	readyOnce sync.Once
}

// Init prepares the Daemon. It must be called before Run, Ready, Meter, Drain and Stop.
func (d *Daemon) Init() {
	d.draining = make(chan struct{})
	d.stop = make(chan struct{})
	d.ready = make(chan struct{})
	d.meter = meter.New()
}

// Meter returns the daemon's metrics.
func (d *Daemon) Meter() *meter.Meter { return d.meter }

// Runner returns the daemon's runner. It must not be called before Ready is closed.
func (d *Daemon) Runner() *runner.Runner { return d.runner }

// Ready returns a channel that is closed once the daemon listens.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Drain starts a graceful shutdown. Run returns when the shutdown is complete.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.draining) }) }

// Stop shuts down without waiting for open jobs. Each of them is answered truthfully.
func (d *Daemon) Stop() {
	d.Drain()
	d.stopOnce.Do(func() { close(d.stop) })
}

// Run serves until a graceful shutdown is complete or the context is done.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	incarnation := uint64(d.Clock.Now().UnixNano())
	handler, transport, err := d.assemble(incarnation)
	if err != nil {
		return err
	}
	listener, err := d.openListener(transport)
	if err != nil {
		return err
	}
	web := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: d.Settings.ReadTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	s := &httpServer{server: web, listener: listener, serveErrors: make(chan error, 1)}
	d.runner.Reporter.Run(ctx)
	d.runner.Reporter.SetPeers(d.Settings.Peers)
	go s.run()
	go (&component{work: d.runner.Run}).run(ctx)
	go (&component{work: d.runner.Follower.Run}).run(ctx)
	d.readyOnce.Do(func() { close(d.ready) })
	d.Log.Info("serving", "host", d.Settings.Name, "zone", d.Settings.Zone, "address", listener.Addr().String())
	return d.awaitShutdown(ctx, s)
}

// component is a part of the daemon that runs in a goroutine of its own.
type component struct{ work func(context.Context) }

func (p *component) run(ctx context.Context) { p.work(ctx) }

// httpServer serves one address of the daemon and reports when it fails.
type httpServer struct {
	server      *http.Server
	listener    net.Listener
	serveErrors chan error
}

// run serves until the server is shut down or fails.
func (s *httpServer) run() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.serveErrors <- err
	}
}

// awaitShutdown waits for the start of a shutdown, drains the scheduler, at most until the
// drain timeout, and shuts the server down.
func (d *Daemon) awaitShutdown(ctx context.Context, s *httpServer) error {
	select {
	case <-ctx.Done():
		return s.server.Close()
	case err := <-s.serveErrors:
		return err
	case <-d.draining:
	}
	d.Log.Info("draining", "bound", d.Settings.ShutdownTimeout.String())
	d.runner.Put(scheduler.Drain{})
	timer := d.Clock.NewTimer(d.Settings.ShutdownTimeout)
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
	closeContext, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.server.Shutdown(closeContext); err != nil {
		return s.server.Close()
	}
	return nil
}

// openListener listens at the daemon's address, with TLS if there is a TLS configuration.
func (d *Daemon) openListener(transport *tls.Config) (net.Listener, error) {
	listener := d.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", d.Settings.ListenAddress); err != nil {
			return nil, merry.Prepend(err, "the address cannot be opened; free it or change [host] listen")
		}
	}
	if transport != nil {
		listener = tls.NewListener(listener, transport)
	}
	return listener, nil
}

// assemble creates the daemon's parts. It returns its HTTP handler and its TLS
// configuration, which is nil without TLS.
func (d *Daemon) assemble(incarnation uint64) (http.Handler, *tls.Config, error) {
	settings := d.Settings
	keys, err := loader.LoadCertificate(settings.Certificate, settings.Key, settings.Authority, d.Clock)
	if err != nil {
		return nil, nil, err
	}
	sealer := &ticketer.Sealer{Key: settings.PeerKey}
	seed := rand.New(rand.NewPCG(incarnation, uint64(len(settings.Name))))
	r := &runner.Runner{
		Scheduler: &scheduler.Scheduler{
			Host: settings.Name, Zone: settings.Zone, Address: settings.Address, Incarnation: incarnation, Bounds: settings.Bounds,
		},
		Clock: d.Clock, Log: d.Log, Meter: d.meter, SeedPeers: settings.Peers,
		Throttle: logger.NewThrottle(d.Log, settings.MaxLogLines),
	}
	r.Throttle.OnOmit = d.meter.Omitted.Inc
	r.Init()
	r.Dispatcher = &dispatcher.Dispatcher{
		Clock: d.Clock, Sink: r, Identity: fmt.Sprintf("%s/%x", settings.Name, incarnation),
		DialTimeout: settings.DialTimeout, UnackedTimeout: settings.UnackedTimeout, MaxResultBytes: settings.MaxResultBytes,
	}
	r.Reporter = &reporter.Reporter{
		Clock: d.Clock, Log: d.Log, Sink: r, Secret: settings.PeerKey, TLS: keys.ClientConfig(), Seed: incarnation, OnSend: d.meter.CountReport,
		Self: reporter.Hello{Host: settings.Name, Zone: settings.Zone, Address: settings.Address, Incarnation: incarnation},
	}
	r.Follower = &follower.Follower{
		Clock: d.Clock, Log: d.Log, Client: storer.NewClient(settings.PlatformAddress, settings.PlatformTimeout), Zone: settings.Zone, Sink: r,
		PollInterval: settings.PollInterval, MaxPollInterval: settings.MaxPollInterval, Random: seed, OnPoll: d.meter.CountPoll,
	}
	r.Follower.Init()
	d.runner = r
	web := &server.Server{
		Log: d.Log, Runner: r, Meter: d.meter, Sealer: sealer, PeerHandler: r.Reporter,
		Address: settings.Address, Incarnation: incarnation, Secret: settings.PeerKey, OperatorHash: settings.OperatorTokenHash,
		MaxBodyBytes: settings.MaxBodyBytes, MaxOpenRequests: settings.MaxRequests, Drain: d.Drain,
		Forwarder: &server.Forwarder{
			Clock: d.Clock, HTTP: keys.HTTPClient(settings.DialTimeout), Scheme: keys.Scheme(), Secret: settings.PeerKey, RequestTimeout: forwardTimeout, Seal: sealer.Seal,
		},
	}
	return web.Handler(), keys.ServerConfig(), nil
}

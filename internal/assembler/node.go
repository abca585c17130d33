package assembler

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotrouter/shallotrouter/internal/driver"
	"github.com/shallotrouter/shallotrouter/internal/inspector"
	"github.com/shallotrouter/shallotrouter/internal/limiter"
	"github.com/shallotrouter/shallotrouter/internal/linker"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/logger"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/registrar"
	"github.com/shallotrouter/shallotrouter/internal/router"
	"github.com/shallotrouter/shallotrouter/platform"
)

// clientIdle closes clients' idle connections. It is longer than the time after
// which the users' clients close them (15 s), so that no request meets a
// connection that is being closed.
const clientIdle = 60 * time.Second

const (
	// milli turns cores into thousandths.
	milli = 1000
	// kilo turns Mbit/s into kbit/s.
	kilo = 1000
)

// Node is an entry host on the users' platform. Settings, Clock and Log are set
// before Run.
type Node struct {
	Settings *loader.Node
	Clock    clockwork.Clock
	Log      logr.Logger
	Meter    *meter.Host

	drain    sync.Once
	draining chan struct{}
	stopped  sync.Once
	stop     chan struct{}
}

// Init makes the Node ready for Run, Drain and Stop.
func (n *Node) Init() {
	n.draining = make(chan struct{})
	n.stop = make(chan struct{})
}

// Drain begins a graceful shutdown. Run returns when it is over.
func (n *Node) Drain() { n.drain.Do(func() { close(n.draining) }) }

// Stop ends a drain at once.
func (n *Node) Stop() {
	n.Drain()
	n.stopped.Do(func() { close(n.stop) })
}

// Run serves until a drain is over or the context is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := n.Settings
	self := router.Member{Name: v.Name, Zone: v.Zone, Address: v.Links, Incarnation: n.Clock.Now().UnixNano(), CPUShare: int(v.Power * milli), LinkRate: int(v.Link * kilo)}
	d := &driver.Driver{
		Router: &router.Router{Self: self, Bounds: v.Bounds, Seeds: v.Seeds},
		Clock:  n.Clock, Log: n.Log, Meter: n.Meter, Throttle: logger.NewThrottle(n.Log, v.Lines),
	}
	d.Throttle.Observe = n.Meter.Omitted.Inc
	d.Init()
	links := &linker.Linker{Self: v.Links, Clock: n.Clock, Log: n.Log, Sink: d, Observe: n.Meter.Link}
	links.Run(ctx)
	d.Links = links
	d.Targets = &platform.Targets{
		Clock: n.Clock, Log: n.Log, Sink: d, Dial: v.Dial, Unacked: v.Unacked, Connections: v.Connections, Observe: n.Meter.Order,
		Limiter: &limiter.Limiter{Clock: n.Clock, AtOnce: v.Bounds.MaxOrders, Span: v.Bounds.OrderWindow},
	}
	registry := n.registrar(self, d)
	d.Store = registry
	front := &platform.Front{Host: d, Log: n.Log}
	servers, err := n.open(front, links, d)
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		s.failed = failed
		go s.run()
	}
	registry.Run(ctx)
	go (&part{work: d.Run}).run(ctx)
	n.Log.Info("serving", "zone", v.Zone, "clients", v.Clients, "links", v.Links, "pid", os.Getpid(), "processors", runtime.GOMAXPROCS(0))
	return n.wait(ctx, d, servers, failed)
}

func (n *Node) registrar(self router.Member, sink registrar.Sink) *registrar.Registrar {
	v := n.Settings
	return &registrar.Registrar{
		Self: self, Sink: sink, Clock: n.Clock, Log: n.Log,
		Random: rand.New(rand.NewPCG(uint64(self.Incarnation), xxhash.Sum64String(self.Address))),
		Table: &platform.Store{
			Address: v.Store, Log: n.Log, HTTP: platform.NewClient(v.Dial, v.Unacked),
			Observe: func(call, result string) { n.Meter.StoreCalls.WithLabelValues(call, result).Inc() },
		},
	}
}

// open opens the daemon's addresses.
func (n *Node) open(front *platform.Front, links *linker.Linker, host inspected) ([]*service, error) {
	v := n.Settings
	metrics := promhttp.HandlerFor(n.Meter.Registry, promhttp.HandlerOpts{})
	state := &stateHandler{host: host, log: n.Log}
	mesh := http.NewServeMux()
	mesh.Handle("GET "+linker.Path, links.Handler())
	mesh.Handle("GET /metrics", metrics)
	mesh.Handle("GET "+inspector.Path, state)
	list := []struct {
		address string
		key     string
		handler http.Handler
	}{{v.Clients, "clients", front.Handler()}, {v.Probe, "probe", front.Ready()}, {v.Links, "links", mesh}}
	if v.Metrics != "" {
		own := http.NewServeMux()
		own.Handle("GET /metrics", metrics)
		own.Handle("GET "+inspector.Path, state)
		list = append(list, struct {
			address string
			key     string
			handler http.Handler
		}{v.Metrics, "metrics", own})
	}
	var servers []*service
	for _, e := range list {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return nil, merry.Prepend(err, "the address cannot be opened; free it or change [node] "+e.key)
		}
		web := &http.Server{
			Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle, MaxHeaderBytes: maxHeader,
		}
		servers = append(servers, &service{server: web, listener: listener})
	}
	return servers, nil
}

// wait follows the shutdown through its steps.
func (n *Node) wait(ctx context.Context, d *driver.Driver, servers []*service, failed chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	case <-n.draining:
	}
	n.Log.Info("draining", "bound", n.Settings.Bounds.ShutdownTimeout.String())
	d.Put(router.Drain{})
	select {
	case <-d.Done():
	case <-n.stop:
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	var err error
	for _, s := range servers {
		err = errors.Join(err, s.server.Shutdown(closing))
	}
	if err != nil {
		n.Log.Error(err, "stopped before all answers had left", "bound", lastAnswers.String())
		return nil // clients whose connection broke send their jobs again
	}
	n.Log.Info("stopped")
	return nil
}

// lastAnswers bounds the writing of the last answers at the end of a shutdown.
const lastAnswers = 300 * time.Millisecond

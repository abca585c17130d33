package assembler

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/driver"
	"github.com/shallotrouter/shallotrouter/internal/limiter"
	"github.com/shallotrouter/shallotrouter/internal/linker"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/logger"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/registrar"
	"github.com/shallotrouter/shallotrouter/internal/router"
	"github.com/shallotrouter/shallotrouter/platform"
)

const (
	// millicoresPerCore converts the setting in cores to thousandths of a core.
	millicoresPerCore = 1000
	// kbitPerMbit converts the setting in Mbit/s to kbit/s.
	kbitPerMbit = 1000
)

// Node is an entry host on the platform. Settings, Clock, Log and Meter are set before Run.
type Node struct {
	Settings *loader.Node
	Clock    clockwork.Clock
	Log      logr.Logger
	Meter    *meter.Host

	drainOnce sync.Once
	draining  chan struct{}
	stopOnce  sync.Once
	stop      chan struct{}
}

// Init prepares the Node. It must be called before Run, Drain and Stop.
func (n *Node) Init() {
	n.draining = make(chan struct{})
	n.stop = make(chan struct{})
}

// Drain starts a graceful shutdown. Run returns when the shutdown is complete.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.draining) }) }

// Stop shuts down without waiting for open jobs.
func (n *Node) Stop() {
	n.Drain()
	n.stopOnce.Do(func() { close(n.stop) })
}

// Run serves until a graceful shutdown is complete or the context is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settings := n.Settings
	self := router.Member{Name: settings.Name, Zone: settings.Zone, Address: settings.LinkAddress, Incarnation: n.Clock.Now().UnixNano(), CPUShare: int(settings.CPUCores * millicoresPerCore), LinkRate: int(settings.LinkMbits * kbitPerMbit)}
	d := &driver.Driver{
		Router: &router.Router{Self: self, Bounds: settings.Bounds, Seeds: settings.Seeds},
		Clock:  n.Clock, Log: n.Log, Meter: n.Meter, Throttle: logger.NewThrottle(n.Log, settings.MaxLogLines),
	}
	d.Throttle.OnOmit = n.Meter.Omitted.Inc
	d.Init()
	links := &linker.Linker{Self: settings.LinkAddress, Clock: n.Clock, Log: n.Log, Sink: d, Observe: n.Meter.CountMessage}
	links.Run(ctx)
	d.Links = links
	d.Targets = &platform.Targets{
		Clock: n.Clock, Log: n.Log, Sink: d, DialTimeout: settings.DialTimeout, UnackedTimeout: settings.UnackedTimeout, MaxConnections: settings.MaxConnections, Observe: n.Meter.RecordOrder,
		Limiter: &limiter.Limiter{Clock: n.Clock, MaxConcurrent: settings.Bounds.MaxOrders, SlotTimeout: settings.Bounds.OrderWindow},
	}
	registry := n.newRegistrar(self, d)
	d.Store = registry
	frontend := &platform.Frontend{Host: d, Log: n.Log}
	guards := &guards{settings: settings, clock: n.Clock, log: n.Log, meter: n.Meter, view: d.View}
	servers, err := n.openServers(frontend, links, d, guards)
	if err != nil {
		return err
	}
	guards.run(ctx)
	serveErrors := make(chan error, len(servers))
	for _, s := range servers {
		s.serveErrors = serveErrors
		go s.run()
	}
	registry.Run(ctx)
	go (&component{work: d.Run}).run(ctx)
	n.Log.Info("serving", "zone", settings.Zone, "clients", settings.ClientAddress, "links", settings.LinkAddress, "pid", os.Getpid(), "processors", runtime.GOMAXPROCS(0))
	return n.awaitShutdown(ctx, d, servers, serveErrors)
}

func (n *Node) newRegistrar(self router.Member, sink registrar.Sink) *registrar.Registrar {
	settings := n.Settings
	return &registrar.Registrar{
		Self: self, Sink: sink, Clock: n.Clock, Log: n.Log,
		Random: rand.New(rand.NewPCG(uint64(self.Incarnation), xxhash.Sum64String(self.Address))),
		Store: &platform.Store{
			Address: settings.StoreAddress, Log: n.Log, Client: platform.NewStoreClient(settings.DialTimeout, settings.UnackedTimeout),
			Observe: func(call, result string) { n.Meter.StoreCalls.WithLabelValues(call, result).Inc() },
		},
	}
}

// awaitShutdown waits for the start of a shutdown, drains the router and shuts the
// servers down.
func (n *Node) awaitShutdown(ctx context.Context, d *driver.Driver, servers []*httpServer, serveErrors chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrors:
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
	closeContext, cancel := context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	var err error
	for _, s := range servers {
		err = errors.Join(err, s.server.Shutdown(closeContext))
	}
	if err != nil {
		n.Log.Error(err, "stopped before all answers were written; clients will retry", "bound", lastAnswersTimeout.String())
		return nil // clients whose connection broke submit their jobs again
	}
	n.Log.Info("stopped")
	return nil
}

// lastAnswersTimeout bounds the writing of the last answers at the end of a shutdown.
const lastAnswersTimeout = 300 * time.Millisecond

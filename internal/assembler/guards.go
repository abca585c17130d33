package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sys/unix"

	"github.com/shallotrouter/shallotrouter/internal/budgeter"
	"github.com/shallotrouter/shallotrouter/internal/inspector"
	"github.com/shallotrouter/shallotrouter/internal/linker"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/router"
	"github.com/shallotrouter/shallotrouter/platform"
)

const (
	// clientIdleTimeout is the time after which a client's idle connection is closed. It is
	// longer than the 15 s after which the platform's clients close theirs, so that no request
	// is sent on a connection that this host is closing. A configured time is at least
	// minIdleTimeout for the same reason.
	clientIdleTimeout = 60 * time.Second
	minIdleTimeout    = 20 * time.Second
	// minHeaderTimeout and maxClientTimeout bound the times in the configuration. A small host
	// may be busy for some 100 ms.
	minHeaderTimeout = time.Second
	maxClientTimeout = 10 * time.Minute
	// largestHeader bounds the configured size of a header in bytes. What a header takes is
	// charged to the budget.
	largestHeader = 256 << 10
	// bodyTimeout and minBodyRate, in bytes a second, limit the time of a body. A body of
	// 256 kB may take 11 s. Clients of the platform wait 1.5 s for their answer.
	bodyTimeout = 3 * time.Second
	minBodyRate = 32 << 10
	// answerTimeout limits the time in which an answer, of about 200 bytes, is read.
	answerTimeout = 5 * time.Second
	// workRate is the number of bytes of long bodies that are decoded in a second, for each core
	// of the host, at 10 to 25 ns a byte: a tenth of the host. workBurst lets three bodies of
	// 256 kB through at once.
	workRate  = 4 << 20
	workBurst = 768 << 10
	// defaultMemory is the assumed memory in bytes of a host whose memory is unknown: that of
	// the smallest known host.
	defaultMemory = 144 << 20
	// budgetPart is the part of the memory that requests may take before they are accepted: 18 MB
	// of 144. The rest is for the program, the state of up to 150 targets, open jobs and garbage.
	budgetPart = 8
	// minRequestShare is what one legal request needs: a body of 256 kB, held twice while its
	// buffer grows, and its header.
	minRequestShare = 1 << 20
	// reservedFiles are descriptors for files, and connectionPart is the part of the others
	// for clients. The rest is for targets, of which a host may hold 150 with 16 connections
	// each, and for other hosts.
	reservedFiles  = 200
	connectionPart = 3
	// minConnections is the lower bound for the number of clients' connections.
	minConnections = 64
	// largestFiles is the assumed number of descriptors where there is no limit.
	largestFiles = 1 << 16
	// probeConnections and probeBytes are the limits at the address for readiness probes, which
	// the load balancer uses about once a second. Each connection may have a header of 2 kB.
	probeConnections = 64
	probeBytes       = 4 << 20
	// socketBytes is the size of the kernel's buffers of a client's connection, in each
	// direction. It suffices for 20 MB/s at a round trip of 3 ms, and bounds what 1,000 clients
	// that do not read or are not read make the kernel hold.
	socketBytes = 64 << 10
	// internalTimeout limits the time to read a request from another host or from monitoring,
	// and the time to write its answer. It ends when a link is established.
	internalTimeout = 10 * time.Second
)

// guards creates the servers for clients and for readiness probes, each with limits of its own.
type guards struct {
	settings *loader.Node
	clock    clockwork.Clock
	log      logr.Logger
	meter    *meter.Host
	view     func() *router.View

	list []*budgeter.Guard
}

// run enforces the timeouts until the context is done.
func (g *guards) run(ctx context.Context) {
	for _, guard := range g.list {
		go (&component{work: guard.Run}).run(ctx)
	}
}

// clientBounds returns the limits at the clients' address.
func (g *guards) clientBounds() budgeter.Bounds {
	memory, files := g.settings.MemoryMB<<20, g.settings.MaxFiles
	if memory == 0 {
		memory = defaultMemory
	}
	if files == 0 {
		files = descriptorLimit()
	}
	return budgeter.Bounds{
		MaxBytes: memory / budgetPart, MaxConnections: max((files-reservedFiles)/connectionPart, minConnections), MinShare: minRequestShare,
		MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout,
		BodyTimeout: bodyTimeout, MinBodyRate: minBodyRate, AnswerTimeout: answerTimeout,
		WorkRate: int(workRate * g.settings.CPUCores), WorkBurst: workBurst,
	}
}

// descriptorLimit returns the number of descriptors that the kernel allows this process.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > largestFiles {
		return largestFiles
	}
	return int(limit.Cur)
}

// configured returns bounds with the limits in the operators' configuration.
func configured(b budgeter.Bounds, c *router.Config) budgeter.Bounds {
	if c == nil {
		return b
	}
	if t := c.Limits.ReadTimeout; t > 0 {
		b.HeaderTimeout = min(max(t, minHeaderTimeout), maxClientTimeout)
	}
	if t := c.Limits.IdleTimeout; t > 0 {
		b.IdleTimeout = min(max(t, minIdleTimeout), maxClientTimeout)
	}
	if n := c.Limits.MaxHeader; n > 0 {
		b.MaxHeaderBytes = min(n, largestHeader)
	}
	return b
}

// newGuard returns a guard for one address. The name is a label of metrics.
func (g *guards) newGuard(name string, bounds budgeter.Bounds) *budgeter.Guard {
	guard := &budgeter.Guard{
		Bounds: bounds, Configure: func() budgeter.Bounds { return configured(bounds, g.view().Config) },
		Clock: g.clock, Log: g.log.WithValues("address", name), BusyAnswer: platform.BusyAnswer(), HeaderAnswer: platform.HeaderAnswer(),
		Observe: func(bytes, connections int) {
			g.meter.HeldBytes.WithLabelValues(name).Set(float64(bytes))
			g.meter.Connections.WithLabelValues(name).Set(float64(connections))
		},
		Count: func(action budgeter.Action, cause budgeter.Cause) {
			g.meter.Limited.WithLabelValues(name, string(action), string(cause)).Inc()
		},
	}
	guard.Init()
	g.list = append(g.list, guard)
	return guard
}

// newServer returns a server with limits.
func (g *guards) newServer(name string, bounds budgeter.Bounds, handler http.Handler, listener net.Listener) *httpServer {
	guard := g.newGuard(name, bounds)
	return &httpServer{
		server: &http.Server{
			Handler: guard.Handler(handler), ConnContext: guard.ConnContext, ConnState: guard.ConnState,
			MaxHeaderBytes: largestHeader, DisableGeneralOptionsHandler: true, // the guard has the timeouts
		},
		listener: guard.Listen(listener),
	}
}

// newInternalServer returns a server for other hosts and for monitoring.
func newInternalServer(handler http.Handler, listener net.Listener) *httpServer {
	return &httpServer{
		server: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: internalTimeout, WriteTimeout: internalTimeout,
			IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
		listener: listener,
	}
}

// openServers listens at the host's addresses: for clients, for readiness probes, for links
// and, if set, for metrics.
func (n *Node) openServers(frontend *platform.Frontend, links *linker.Linker, host stateSource, g *guards) ([]*httpServer, error) {
	settings := n.Settings
	metrics := promhttp.HandlerFor(n.Meter.Registry, promhttp.HandlerOpts{})
	state := &stateHandler{host: host, log: n.Log}
	peerMux := http.NewServeMux()
	peerMux.Handle("GET "+linker.Path, links.Handler())
	peerMux.Handle("GET /metrics", metrics)
	peerMux.Handle("GET "+inspector.Path, state)
	endpoints := []endpoint{
		{settings.ClientAddress, "clients", func(l net.Listener) *httpServer {
			return g.newServer("clients", g.clientBounds(), frontend.ClientHandler(), limitSockets(l))
		}},
		{settings.ProbeAddress, "probe", func(l net.Listener) *httpServer {
			bounds := g.clientBounds()
			bounds.MaxBytes, bounds.MaxConnections = probeBytes, probeConnections
			return g.newServer("probe", bounds, frontend.ReadinessHandler(), limitSockets(l))
		}},
		{settings.BindAddress, "links or bind", func(l net.Listener) *httpServer { return newInternalServer(peerMux, l) }},
	}
	if settings.MetricsAddress != "" {
		metricsMux := http.NewServeMux()
		metricsMux.Handle("GET /metrics", metrics)
		metricsMux.Handle("GET "+inspector.Path, state)
		endpoints = append(endpoints, endpoint{settings.MetricsAddress, "metrics", func(l net.Listener) *httpServer { return newInternalServer(metricsMux, l) }})
	}
	var servers []*httpServer
	for _, e := range endpoints {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return nil, merry.Prepend(err, "the address cannot be opened; free it or change [node] "+e.key)
		}
		servers = append(servers, e.open(listener))
	}
	return servers, nil
}

// endpoint is an address at which a host listens. The key is that of its setting.
type endpoint struct {
	address string
	key     string
	open    func(net.Listener) *httpServer
}

// limitSockets sets the size of the kernel's buffers of a listener's connections. If that fails,
// the kernel's own limits apply.
func limitSockets(l net.Listener) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return l
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBytes)
	})
	return l
}

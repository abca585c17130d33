// Package stager sets up a whole deployment on loopback in one process, for
// examples and tests: a stand-in platform, stand-in targets and daemons.
package stager

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/assembler"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// Stage is a deployment. Its exported fields are set before Start.
type Stage struct {
	// Zones are the availability zones.
	Zones []string
	// Hosts counts the entry hosts of each zone, in the order of Zones, and
	// Targets the targets of every zone.
	Hosts   []int
	Targets int
	// Slots bounds the tasks that run together on a target.
	Slots int
	// Clients are the names of the declared clients. Each one's token is its
	// name followed by "-token".
	Clients []string
	// Order is a further line of the service's declaration, if any.
	Order string
	// Extra is appended to the declarations.
	Extra string
	// Settings is appended to the daemons' settings.
	Settings string
	// Log is the daemons' log.
	Log logr.Logger

	// Platform and Nodes are set by Start.
	Platform *faker.Platform
	Nodes    []*Node
	Backs    []*Back

	platformAddress string
	closers         []func() error
	cancel          context.CancelFunc
	context         context.Context
}

// Node is one running daemon.
type Node struct {
	Name    string
	Zone    string
	Address string
	Daemon  *assembler.Daemon

	cancel context.CancelFunc
	ended  chan struct{}
	err    error
}

// Back is one running stand-in target.
type Back struct {
	Name    string
	Zone    string
	Address string
	Target  *faker.Target
}

// Service is the name of the declared service.
const Service = "despacho"

// readyBound bounds the start of a daemon.
const readyBound = 10 * time.Second

// Start sets everything up and waits until all daemons are ready.
func (s *Stage) Start(ctx context.Context) error {
	s.context, s.cancel = context.WithCancel(ctx)
	s.Platform = &faker.Platform{}
	address, err := s.serve(s.Platform.Handler())
	if err != nil {
		return err
	}
	s.platformAddress = address
	if err := s.Apply(declarer.Ordinary); err != nil {
		return err
	}
	for _, zone := range s.Zones {
		if err := s.startTargets(zone); err != nil {
			return err
		}
	}
	for z, zone := range s.Zones {
		for i := range s.Hosts[z] {
			if _, err := s.StartNode(fmt.Sprintf("%s-h%d", zone, i), zone); err != nil {
				return err
			}
		}
	}
	return s.Await(readyBound, func() bool { return s.settled() })
}

// settled reports whether every daemon serves and knows its zone's peers.
func (s *Stage) settled() bool {
	for _, n := range s.Nodes {
		v := n.Daemon.Runner().View()
		if v.Phase != scheduler.Serving || v.Hosts != s.Hosts[slices.Index(s.Zones, n.Zone)] {
			return false
		}
	}
	return true
}

// Await waits until the condition holds.
func (s *Stage) Await(bound time.Duration, holds func() bool) error {
	const period = 10 * time.Millisecond
	for start := time.Now(); time.Since(start) < bound; {
		if holds() {
			return nil
		}
		timer := time.NewTimer(period)
		<-timer.C
	}
	return shallotrouter.Errorf(shallotrouter.Deadline, "the condition did not come to hold within %v; look at the daemons' logs", bound)
}

func (s *Stage) startTargets(zone string) error {
	for i := range s.Targets {
		b := &Back{Name: fmt.Sprintf("%s-t%d", zone, i), Zone: zone, Target: &faker.Target{Slots: s.Slots}}
		address, err := s.serve(b.Target.Handler())
		if err != nil {
			return err
		}
		b.Address = address
		s.Backs = append(s.Backs, b)
	}
	s.Relist(zone)
	return nil
}

// Relist writes the zone's targets, without the named leaving ones being live,
// to the platform's host list.
func (s *Stage) Relist(zone string, leaving ...string) {
	var hosts []scheduler.Host
	for _, b := range s.Backs {
		if b.Zone != zone {
			continue
		}
		h := scheduler.Host{Name: b.Name, Role: scheduler.Target, Address: b.Address, Service: Service}
		for _, name := range leaving {
			h.Leaving = h.Leaving || name == b.Name
		}
		hosts = append(hosts, h)
	}
	for _, n := range s.Nodes {
		if n.Zone == zone {
			hosts = append(hosts, scheduler.Host{Name: n.Name, Role: scheduler.Entry, Address: n.Address})
		}
	}
	s.Platform.List(zone, hosts)
}

// serve opens a server on a free loopback port.
func (s *Stage) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w := &web{server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener: listener}
	s.closers = append(s.closers, w.server.Close)
	go w.run()
	return listener.Addr().String(), nil
}

// web is one stand-in's server.
type web struct {
	server   *http.Server
	listener net.Listener
}

func (w *web) run() {
	_ = w.server.Serve(w.listener) // ends with ErrServerClosed when the stage closes
}

// Declarations returns the stage's declarations as INI text.
func (s *Stage) Declarations() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service %s]\nslots = %d\n%s\n", Service, s.Slots, s.Order)
	for _, name := range s.Clients {
		fmt.Fprintf(&b, "[client %s]\ntoken = sha256:%s\n", name, declarer.HashToken(name+"-token"))
	}
	return b.String() + s.Extra
}

// Apply puts the declarations and the preset in force.
func (s *Stage) Apply(preset declarer.Name) error {
	client := storer.NewClient(s.platformAddress, time.Second)
	record, err := client.Read(s.context, storer.Row, 0)
	if err != nil {
		return err
	}
	value, err := declarer.Row{Text: s.Declarations(), Preset: preset}.Encode()
	if err != nil {
		return err
	}
	_, err = client.Swap(s.context, storer.Row, record.Version, value)
	return err
}

// PlatformAddress returns where the stand-in platform serves.
func (s *Stage) PlatformAddress() string { return s.platformAddress }

// StartNode starts one daemon on a free port.
func (s *Stage) StartNode(name, zone string) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	settings, err := loader.Parse(name, s.settings(name, zone, address))
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Zone: zone, Address: address, ended: make(chan struct{})}
	n.Daemon = &assembler.Daemon{Settings: settings, Clock: clockwork.NewRealClock(), Log: s.Log, Listener: listener}
	n.Daemon.Init()
	ctx, cancel := context.WithCancel(s.context)
	n.cancel = cancel
	go n.run(ctx)
	select {
	case <-n.Daemon.Ready():
	case <-n.ended:
		return nil, n.err
	}
	s.Nodes = append(s.Nodes, n)
	return n, nil
}

// run serves until the node is killed or drained.
func (n *Node) run(ctx context.Context) {
	defer close(n.ended)
	n.err = n.Daemon.Run(ctx)
}

// Kill ends the daemon without a shutdown and waits for its end.
func (n *Node) Kill() {
	n.cancel()
	<-n.ended
}

// Ended is closed when the daemon has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// settings returns the settings of one daemon as INI text.
func (s *Stage) settings(name, zone, address string) string {
	var seeds []string
	for _, n := range s.Nodes {
		seeds = append(seeds, n.Address)
	}
	return fmt.Sprintf(`[host]
name = %s
zone = %s
listen = %s
[platform]
address = %s
[peers]
key = a key that all hosts of the stage share
addresses = %s
[security]
operator = %s
%s`, name, zone, address, s.platformAddress, strings.Join(seeds, ", "), declarer.HashToken("operator-token"), s.Settings)
}

// Client returns a client of one node.
func (s *Stage) Client(n *Node, name string) *shallotrouter.Client {
	return &shallotrouter.Client{Address: "http://" + n.Address, Token: name + "-token"}
}

// Starts returns how often each task was started, over all targets.
func (s *Stage) Starts() map[string]int {
	starts := make(map[string]int)
	for _, b := range s.Backs {
		for name, n := range b.Target.Counts().Starts {
			starts[name] += n
		}
	}
	return starts
}

// Close ends all daemons and stand-ins.
func (s *Stage) Close() {
	s.cancel()
	for _, n := range s.Nodes {
		<-n.ended
	}
	for _, c := range s.closers {
		_ = c() // the stage is over either way
	}
}

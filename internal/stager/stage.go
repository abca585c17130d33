// Package stager runs a whole deployment in one process, for examples and tests: a
// stand-in platform, stand-in targets and daemons that communicate over loopback.
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

// Deployment is a deployment. Unless noted otherwise, its exported fields must be set before
// Start.
type Deployment struct {
	// Zones are the availability zones.
	Zones []string
	// Hosts are the numbers of entry hosts of the zones, in the order of Zones, and
	// Targets is the number of targets in each zone.
	Hosts   []int
	Targets int
	// Slots is the maximum number of tasks that run at the same time on a target.
	Slots int
	// Clients are the names of the declared clients. A client's token is its name
	// followed by "-token".
	Clients []string
	// ServiceLines are appended to the service's declaration; they may be empty.
	ServiceLines string
	// ExtraDeclarations are appended to the declarations.
	ExtraDeclarations string
	// ExtraSettings are appended to the daemons' settings.
	ExtraSettings string
	// Log receives the log of all daemons.
	Log logr.Logger

	// Platform, Nodes and TargetServers are set by Start.
	Platform      *faker.Platform
	Nodes         []*Node
	TargetServers []*TargetServer

	platformAddress string
	closers         []func() error
	cancel          context.CancelFunc
	context         context.Context
}

// Node is a running daemon.
type Node struct {
	Name    string
	Zone    string
	Address string
	Daemon  *assembler.Daemon

	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// TargetServer is a running stand-in target.
type TargetServer struct {
	Name    string
	Zone    string
	Address string
	Target  *faker.Target
}

// Service is the name of the declared service.
const Service = "despacho"

// startTimeout limits the time until all daemons are ready.
const startTimeout = 10 * time.Second

// Start starts the platform, the targets and the daemons and waits until all daemons
// are ready.
func (s *Deployment) Start(ctx context.Context) error {
	s.context, s.cancel = context.WithCancel(ctx)
	s.Platform = &faker.Platform{}
	address, err := s.serve(s.Platform.Handler())
	if err != nil {
		return err
	}
	s.platformAddress = address
	if err := s.ApplyPreset(declarer.Ordinary); err != nil {
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
	return s.WaitFor(startTimeout, func() bool { return s.isReady() })
}

// isReady reports whether every daemon serves and knows all hosts of its zone.
func (s *Deployment) isReady() bool {
	for _, n := range s.Nodes {
		v := n.Daemon.Runner().View()
		if v.Phase != scheduler.Serving || v.Hosts != s.Hosts[slices.Index(s.Zones, n.Zone)] {
			return false
		}
	}
	return true
}

// WaitFor waits until the condition holds. It returns an error if that takes longer than
// the timeout.
func (s *Deployment) WaitFor(timeout time.Duration, condition func() bool) error {
	const pollInterval = 10 * time.Millisecond
	for start := time.Now(); time.Since(start) < timeout; {
		if condition() {
			return nil
		}
		timer := time.NewTimer(pollInterval)
		<-timer.C
	}
	return shallotrouter.Errorf(shallotrouter.Deadline, "the condition did not hold within %v; see the daemons' logs", timeout)
}

func (s *Deployment) startTargets(zone string) error {
	for i := range s.Targets {
		b := &TargetServer{Name: fmt.Sprintf("%s-t%d", zone, i), Zone: zone, Target: &faker.Target{Slots: s.Slots}}
		address, err := s.serve(b.Target.Handler())
		if err != nil {
			return err
		}
		b.Address = address
		s.TargetServers = append(s.TargetServers, b)
	}
	s.WriteHostList(zone)
	return nil
}

// WriteHostList writes the hosts and targets of a zone to the platform's host list, with the
// named targets marked as leaving.
func (s *Deployment) WriteHostList(zone string, leaving ...string) {
	var hosts []scheduler.Host
	for _, b := range s.TargetServers {
		if b.Zone != zone {
			continue
		}
		host := scheduler.Host{Name: b.Name, Role: scheduler.Target, Address: b.Address, Service: Service}
		for _, name := range leaving {
			host.Leaving = host.Leaving || name == b.Name
		}
		hosts = append(hosts, host)
	}
	for _, n := range s.Nodes {
		if n.Zone == zone {
			hosts = append(hosts, scheduler.Host{Name: n.Name, Role: scheduler.Entry, Address: n.Address})
		}
	}
	s.Platform.SetHosts(zone, hosts)
}

// serve starts a server on a free loopback port and returns its address.
func (s *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w := &standInServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener: listener}
	s.closers = append(s.closers, w.server.Close)
	go w.run()
	return listener.Addr().String(), nil
}

// standInServer is the HTTP server of a stand-in.
type standInServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *standInServer) run() {
	_ = s.server.Serve(s.listener) // returns ErrServerClosed when the deployment is closed
}

// Declarations returns the declarations as INI text.
func (s *Deployment) Declarations() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service %s]\nslots = %d\n%s\n", Service, s.Slots, s.ServiceLines)
	for _, name := range s.Clients {
		fmt.Fprintf(&b, "[client %s]\ntoken = sha256:%s\n", name, declarer.HashToken(name+"-token"))
	}
	return b.String() + s.ExtraDeclarations
}

// ApplyPreset writes the declarations and the preset to the platform, as the current
// configuration.
func (s *Deployment) ApplyPreset(preset declarer.PresetName) error {
	client := storer.NewClient(s.platformAddress, time.Second)
	record, err := client.Read(s.context, storer.ConfigKey, 0)
	if err != nil {
		return err
	}
	value, err := declarer.Row{Text: s.Declarations(), Preset: preset}.Encode()
	if err != nil {
		return err
	}
	_, err = client.Swap(s.context, storer.ConfigKey, record.Version, value)
	return err
}

// PlatformAddress returns the address of the stand-in platform.
func (s *Deployment) PlatformAddress() string { return s.platformAddress }

// StartNode starts a daemon on a free loopback port and waits until it accepts requests.
func (s *Deployment) StartNode(name, zone string) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	settings, err := loader.Parse(name, s.nodeSettings(name, zone, address))
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Zone: zone, Address: address, done: make(chan struct{})}
	n.Daemon = &assembler.Daemon{Settings: settings, Clock: clockwork.NewRealClock(), Log: s.Log, Listener: listener}
	n.Daemon.Init()
	ctx, cancel := context.WithCancel(s.context)
	n.cancel = cancel
	go n.run(ctx)
	select {
	case <-n.Daemon.Ready():
	case <-n.done:
		return nil, n.err
	}
	s.Nodes = append(s.Nodes, n)
	return n, nil
}

// run serves until the node is killed or drained.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	n.err = n.Daemon.Run(ctx)
}

// Kill stops the daemon without a graceful shutdown and waits until it has stopped.
func (n *Node) Kill() {
	n.cancel()
	<-n.done
}

// Done returns a channel that is closed when the daemon has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// nodeSettings returns the settings of a daemon as INI text.
func (s *Deployment) nodeSettings(name, zone, address string) string {
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
%s`, name, zone, address, s.platformAddress, strings.Join(seeds, ", "), declarer.HashToken("operator-token"), s.ExtraSettings)
}

// Client returns a client that sends its requests to the node under the given name.
func (s *Deployment) Client(n *Node, name string) *shallotrouter.Client {
	return &shallotrouter.Client{Address: "http://" + n.Address, Token: name + "-token"}
}

// StartCounts returns how many times each task was started, summed over all targets.
func (s *Deployment) StartCounts() map[string]int {
	starts := make(map[string]int)
	for _, b := range s.TargetServers {
		for name, n := range b.Target.Counts().Starts {
			starts[name] += n
		}
	}
	return starts
}

// Close stops all daemons and stand-ins.
func (s *Deployment) Close() {
	s.cancel()
	for _, n := range s.Nodes {
		<-n.done
	}
	for _, c := range s.closers {
		_ = c() // the servers are not used again
	}
}

package reporter

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

const (
	// Path is where a host takes its peers' connections.
	Path = "/peer"
	// headerZone tells the dialling host the zone of the host that it reached.
	headerZone = "Shallot-Zone"
	// farPeriod is the period of reports to peers in other zones.
	farPeriod = time.Second
	// writeTimeout bounds one write to a peer.
	writeTimeout = time.Second
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// firstRedial and lastRedial bound the growing wait between dials.
	firstRedial = 100 * time.Millisecond
	lastRedial  = 3 * time.Second
	// maxLinks bounds the links of one host.
	maxLinks = 256
)

// Sink receives what the peers report.
type Sink interface {
	// Put hands over one event. It may block for a moment.
	Put(scheduler.Event)
}

// Reporter holds the links to the peers. Its exported fields are set before
// Run. It is safe for concurrent use.
type Reporter struct {
	Clock clockwork.Clock
	Log   logr.Logger
	Sink  Sink
	// Self tells who this host is.
	Self Hello
	// Secret is the key that all entry hosts share.
	Secret []byte
	// TLS is the client's side of TLS; nil means plain connections.
	TLS *tls.Config
	// Seed spreads the dials; each link draws from a source of its own.
	Seed uint64
	// Observe is told of every message that is sent, with its size in bytes. It
	// may be nil.
	Observe func(bytes int)

	mutex     sync.Mutex
	context   context.Context
	links     map[string]*link
	report    scheduler.Report
	config    *declarer.Config
	directory scheduler.Directory
	behind    map[string]*peerVersions
	wanted    []string       // addresses that Dial set
	inbound   map[string]int // connections from each peer address
	budget    budget
}

// peerVersions is what a peer last said that it holds.
type peerVersions struct{ config, directory uint64 }

// Run keeps the links until the context is done. Links are made by Dial.
func (r *Reporter) Run(ctx context.Context) {
	r.mutex.Lock()
	r.context = ctx
	r.links = make(map[string]*link)
	r.behind = make(map[string]*peerVersions)
	r.inbound = make(map[string]int)
	r.mutex.Unlock()
}

// Dial sets the addresses of the peers: links to others are closed, but for
// peers that have a connection to this host, and missing ones are made.
func (r *Reporter) Dial(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.wanted = addresses
	for address := range r.links {
		r.prune(address)
	}
	for _, address := range addresses {
		r.connect(address)
	}
}

// connect makes the link to an address unless there is one. The mutex is held.
func (r *Reporter) connect(address string) {
	if address == r.Self.Address || r.links[address] != nil || r.context == nil || len(r.links) >= maxLinks {
		return
	}
	ctx, cancel := context.WithCancel(r.context)
	l := &link{
		reporter: r, address: address, cancel: cancel, wake: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(r.Seed, xxhash.Sum64String(address))),
	}
	r.links[address] = l
	go l.run(ctx)
}

// prune closes the link to an address that nobody wants. The mutex is held.
func (r *Reporter) prune(address string) {
	if l := r.links[address]; l != nil && r.inbound[address] == 0 && !slices.Contains(r.wanted, address) {
		l.cancel()
		delete(r.links, address)
	}
}

// enter notes a connection from a peer and dials it back, so that a fresh host
// that only knows some of the others is known to them too.
func (r *Reporter) enter(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inbound[address]++
	r.connect(address)
}

// leave notes that a connection from a peer has ended.
func (r *Reporter) leave(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.inbound[address]--; r.inbound[address] <= 0 {
		delete(r.inbound, address)
		delete(r.behind, address)
		r.prune(address)
	}
}

// Publish hands the newest report to all links. A link that is busy skips the
// reports in between.
func (r *Reporter) Publish(report scheduler.Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report = report
	for _, l := range r.links {
		l.poke()
	}
}

// Hold sets the documents that are passed on to peers with older ones.
func (r *Reporter) Hold(config *declarer.Config, directory scheduler.Directory) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.config, r.directory = config, directory
}

// current returns what a link may have to send.
func (r *Reporter) current(address string) (scheduler.Report, *declarer.Config, scheduler.Directory, peerVersions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var known peerVersions
	if v := r.behind[address]; v != nil {
		known = *v
	}
	return r.report, r.config, r.directory, known
}

// learn notes which versions a peer holds and wakes the link to it when they
// are older than this host's.
func (r *Reporter) learn(address string, v peerVersions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.behind[address] = &v
	older := (r.config != nil && v.config < r.config.Version) || v.directory < r.directory.Version
	if l := r.links[address]; l != nil && older {
		l.poke()
	}
}

// link is the connection that this host dialled to one peer.
type link struct {
	reporter *Reporter
	address  string
	cancel   context.CancelFunc
	wake     chan struct{}
	random   *rand.Rand

	socket *websocket.Conn
	near   bool
	packer Packer
	at     time.Time
	config uint64 // version in the last report
	gave   peerVersions
}

func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run dials and sends until the context is done.
func (l *link) run(ctx context.Context) {
	r := l.reporter
	wait := firstRedial
	for ctx.Err() == nil {
		if err := l.dial(ctx); err != nil {
			r.Log.V(1).Info("peer not reached", "peer", l.address, "error", err.Error())
			wait = min(2*wait, lastRedial)
		} else {
			wait = firstRedial
			err := l.serve(ctx)
			l.socket.CloseNow()
			r.Log.V(1).Info("peer link ended", "peer", l.address, "error", errorText(err))
		}
		timer := r.Clock.NewTimer(wait/2 + time.Duration(l.random.Int64N(int64(wait))))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// dial connects and says hello.
func (l *link) dial(ctx context.Context) error {
	r := l.reporter
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: r.TLS}}
	if r.TLS != nil {
		scheme = "wss://"
	}
	header := http.Header{"Authorization": {Pass(r.Secret)}}
	socket, response, err := websocket.Dial(dialing, scheme+l.address+Path, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		return err
	}
	l.socket = socket
	l.near = response.Header.Get(headerZone) == r.Self.Zone
	l.packer, l.at, l.config, l.gave = Packer{}, time.Time{}, 0, peerVersions{}
	self := r.Self
	return l.write(ctx, Message{Hello: &self})
}

// serve sends what is new each time the link is woken.
func (l *link) serve(ctx context.Context) error {
	ctx = l.socket.CloseRead(ctx)
	for {
		if err := l.send(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		if err := l.await(ctx); err != nil {
			return err
		}
	}
}

// await waits until the budget allows the next message. The report that is sent
// after that is the newest.
func (l *link) await(ctx context.Context) error {
	wait := l.reporter.budget.wait(l.reporter.Clock.Now())
	if wait <= 0 {
		return nil
	}
	timer := l.reporter.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// send writes the documents that the peer lacks, then the report's delta.
func (l *link) send(ctx context.Context) error {
	report, config, directory, known := l.reporter.current(l.address)
	if config != nil && config.Version > max(known.config, l.gave.config) {
		l.gave.config = config.Version
		if err := l.write(ctx, Message{Row: &Row{Version: config.Version, Value: config.Raw}}); err != nil {
			return err
		}
	}
	if l.near && directory.Version > max(known.directory, l.gave.directory) {
		l.gave.directory = directory.Version
		if err := l.write(ctx, Message{Directory: &directory}); err != nil {
			return err
		}
	}
	return l.sendReport(ctx, report)
}

// sendReport writes the report's delta. Peers in other zones get no demands and
// uses, since they share no targets.
func (l *link) sendReport(ctx context.Context, report scheduler.Report) error {
	now := l.reporter.Clock.Now()
	if report.Host == "" || (!l.near && now.Sub(l.at) < farPeriod && report.Config == l.config) {
		return nil
	}
	if !l.near {
		report.Demands, report.Uses = nil, nil
	}
	delta := l.packer.Pack(report)
	l.at, l.config = now, report.Config
	return l.write(ctx, Message{Delta: &delta})
}

func (l *link) write(ctx context.Context, m Message) error {
	data, err := m.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if l.reporter.Observe != nil {
		l.reporter.Observe(len(data))
	}
	l.reporter.budget.spend(l.reporter.Clock.Now(), len(data))
	return l.socket.Write(ctx, websocket.MessageBinary, data)
}

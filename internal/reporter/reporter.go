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
	// Path is the HTTP path at which a host accepts connections from its peers.
	Path = "/peer"
	// headerZone holds the zone of the answering host.
	headerZone = "Shallot-Zone"
	// otherZoneReportInterval is the interval between reports to a peer in another zone.
	otherZoneReportInterval = time.Second
	// writeTimeout is the timeout of one write to a peer.
	writeTimeout = time.Second
	// dialTimeout is the timeout of connecting to a peer.
	dialTimeout = time.Second
	// minRedialDelay and maxRedialDelay limit the delay between two dials. The delay
	// doubles after each failure, and jitter of half of it either way is added.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 3 * time.Second
	// maxLinks is the maximum number of links of one host.
	maxLinks = 256
)

// Sink receives the content of the messages from peers.
type Sink interface {
	// Put queues one event. It may block while the queue is full.
	Put(scheduler.Event)
}

// Reporter manages the connections to and from the peers. Its exported fields are set
// before Run is called. It is safe for concurrent use.
type Reporter struct {
	Clock clockwork.Clock
	Log   logr.Logger
	Sink  Sink
	// Self describes this host to its peers.
	Self Hello
	// Secret is the key that all entry hosts share.
	Secret []byte
	// TLS is the client configuration of TLS; nil means plain connections.
	TLS *tls.Config
	// Seed seeds the jitter of the redial delays. Each link has its own random source,
	// which also depends on its address.
	Seed uint64
	// OnSend is called with the size in bytes of every sent message. It may be nil.
	OnSend func(bytes int)

	mutex         sync.Mutex
	runContext    context.Context
	links         map[string]*link
	report        scheduler.Report
	config        *declarer.Config
	directory     scheduler.Directory
	versions      map[string]*peerVersions
	peerAddresses []string       // addresses from the last SetPeers
	inboundCounts map[string]int // open connections from each peer, by address
	budget        budget
}

// peerVersions are the versions of the documents that a peer holds.
type peerVersions struct{ config, directory uint64 }

// Run prepares the Reporter for SetPeers and for connections from peers, and returns. The
// links end when the context is done.
func (r *Reporter) Run(ctx context.Context) {
	r.mutex.Lock()
	r.runContext = ctx
	r.links = make(map[string]*link)
	r.versions = make(map[string]*peerVersions)
	r.inboundCounts = make(map[string]int)
	r.mutex.Unlock()
}

// SetPeers sets the addresses of the peers and opens the missing links. It closes links to
// other addresses unless that host has a connection to this one.
func (r *Reporter) SetPeers(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peerAddresses = addresses
	for address := range r.links {
		r.closeUnneededLink(address)
	}
	for _, address := range addresses {
		r.openLink(address)
	}
}

// openLink opens the link to an address if it is missing. The mutex is held.
func (r *Reporter) openLink(address string) {
	if address == r.Self.Address || r.links[address] != nil || r.runContext == nil || len(r.links) >= maxLinks {
		return
	}
	ctx, cancel := context.WithCancel(r.runContext)
	l := &link{
		reporter: r, address: address, cancel: cancel, wake: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(r.Seed, xxhash.Sum64String(address))),
	}
	r.links[address] = l
	go l.run(ctx)
}

// closeUnneededLink closes the link to an address that SetPeers has not set and that has
// no connection to this host. The mutex is held.
func (r *Reporter) closeUnneededLink(address string) {
	if l := r.links[address]; l != nil && r.inboundCounts[address] == 0 && !slices.Contains(r.peerAddresses, address) {
		l.cancel()
		delete(r.links, address)
	}
}

// handleConnected records a connection from a peer and opens a link back to it. A new
// host that knows only some of the others thus receives reports from each host that it
// dials.
func (r *Reporter) handleConnected(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inboundCounts[address]++
	r.openLink(address)
}

// handleDisconnected records the end of a connection from a peer.
func (r *Reporter) handleDisconnected(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.inboundCounts[address]--; r.inboundCounts[address] <= 0 {
		delete(r.inboundCounts, address)
		delete(r.versions, address)
		r.closeUnneededLink(address)
	}
}

// Publish passes the newest report to all links. A busy link skips intermediate reports.
func (r *Reporter) Publish(report scheduler.Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report = report
	for _, l := range r.links {
		l.wakeUp()
	}
}

// SetDocuments sets the configuration and the directory that links send to peers with older
// versions.
func (r *Reporter) SetDocuments(config *declarer.Config, directory scheduler.Directory) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.config, r.directory = config, directory
}

// updatesFor returns the newest report and documents, and the versions of the documents
// that the peer holds.
func (r *Reporter) updatesFor(address string) (scheduler.Report, *declarer.Config, scheduler.Directory, peerVersions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var held peerVersions
	if v := r.versions[address]; v != nil {
		held = *v
	}
	return r.report, r.config, r.directory, held
}

// handleVersions records which versions a peer holds. It wakes the link to the peer when
// they are older than this host's versions.
func (r *Reporter) handleVersions(address string, v peerVersions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.versions[address] = &v
	outdated := (r.config != nil && v.config < r.config.Version) || v.directory < r.directory.Version
	if l := r.links[address]; l != nil && outdated {
		l.wakeUp()
	}
}

// link dials one peer, redials it after failures and sends messages to it.
type link struct {
	reporter *Reporter
	address  string
	cancel   context.CancelFunc
	wake     chan struct{}
	random   *rand.Rand

	socket         *websocket.Conn
	sameZone       bool
	packer         DeltaEncoder
	lastReportAt   time.Time
	reportedConfig uint64 // configuration version in the last report
	sentVersions   peerVersions
}

func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run dials the peer and sends messages until the context is done.
func (l *link) run(ctx context.Context) {
	r := l.reporter
	delay := minRedialDelay
	for ctx.Err() == nil {
		if err := l.dial(ctx); err != nil {
			r.Log.V(1).Info("failed to connect to peer; dialling again", "peer", l.address, "error", err.Error())
			delay = min(2*delay, maxRedialDelay)
		} else {
			delay = minRedialDelay
			err := l.serve(ctx)
			l.socket.CloseNow()
			r.Log.V(1).Info("link to peer closed; dialling again", "peer", l.address, "error", errorText(err))
		}
		timer := r.Clock.NewTimer(delay/2 + time.Duration(l.random.Int64N(int64(delay))))
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

// dial connects to the peer and sends the hello message.
func (l *link) dial(ctx context.Context) error {
	r := l.reporter
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: r.TLS}}
	if r.TLS != nil {
		scheme = "wss://"
	}
	header := http.Header{"Authorization": {PeerToken(r.Secret)}}
	socket, response, err := websocket.Dial(dialing, scheme+l.address+Path, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		return err
	}
	l.socket = socket
	l.sameZone = response.Header.Get(headerZone) == r.Self.Zone
	l.packer, l.lastReportAt, l.reportedConfig, l.sentVersions = DeltaEncoder{}, time.Time{}, 0, peerVersions{}
	self := r.Self
	return l.write(ctx, Message{Hello: &self})
}

// serve sends the updates each time the link is woken.
func (l *link) serve(ctx context.Context) error {
	ctx = l.socket.CloseRead(ctx)
	for {
		if err := l.sendUpdates(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		if err := l.waitForBudget(ctx); err != nil {
			return err
		}
	}
}

// waitForBudget waits until the budget allows the next message. The report is read after
// the wait, so it is the newest.
func (l *link) waitForBudget(ctx context.Context) error {
	delay := l.reporter.budget.delay(l.reporter.Clock.Now())
	if delay <= 0 {
		return nil
	}
	timer := l.reporter.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// sendUpdates writes the documents that the peer lacks, then the report's delta.
func (l *link) sendUpdates(ctx context.Context) error {
	report, config, directory, held := l.reporter.updatesFor(l.address)
	if config != nil && config.Version > max(held.config, l.sentVersions.config) {
		l.sentVersions.config = config.Version
		if err := l.write(ctx, Message{Row: &Row{Version: config.Version, Value: config.Raw}}); err != nil {
			return err
		}
	}
	if l.sameZone && directory.Version > max(held.directory, l.sentVersions.directory) {
		l.sentVersions.directory = directory.Version
		if err := l.write(ctx, Message{Directory: &directory}); err != nil {
			return err
		}
	}
	return l.sendReport(ctx, report)
}

// sendReport writes the report's delta. A peer in another zone gets no demands and uses,
// since it shares no targets with this host, and a report at most once per
// otherZoneReportInterval unless the configuration version has changed.
func (l *link) sendReport(ctx context.Context, report scheduler.Report) error {
	now := l.reporter.Clock.Now()
	if report.Host == "" || (!l.sameZone && now.Sub(l.lastReportAt) < otherZoneReportInterval && report.Config == l.reportedConfig) {
		return nil
	}
	if !l.sameZone {
		report.Demands, report.Uses = nil, nil
	}
	delta := l.packer.Encode(report)
	l.lastReportAt, l.reportedConfig = now, report.Config
	return l.write(ctx, Message{Delta: &delta})
}

func (l *link) write(ctx context.Context, m Message) error {
	data, err := m.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if l.reporter.OnSend != nil {
		l.reporter.OnSend(len(data))
	}
	l.reporter.budget.recordSent(l.reporter.Clock.Now(), len(data))
	return l.socket.Write(ctx, websocket.MessageBinary, data)
}

package router

import (
	"cmp"
	"time"
)

// peer is another entry host as this one knows it.
type peer struct {
	member Member
	// lastPeerTimestamp is the newest time on the peer's clock that was heard, and echoed
	// the newest time of this host that came back.
	lastPeerTimestamp int64
	lastEchoedAt      time.Time
	reachableSince    time.Time // in touch without a break since then
	lastReceivedAt    time.Time // last message
	// leaving tells that the peer is shutting down.
	leaving bool
	// reachesHolder tells that the peer reaches the holder of its zone's cell.
	reachesHolder    bool
	configVersion    uint64
	directoryVersion uint64
	directoryAge     time.Duration
	wasReachable     bool // has been in touch in this life
	// monitored tells that heartbeats go to the peer at the short period, nearSince since
	// when, and asked until when it wants them.
	monitored             bool
	monitoredSince        time.Time
	heartbeatsRequestedAt time.Time
	dialled               bool
	// unresponsiveSince is when the peer was found not to answer, and severed tells that its
	// process has gone rather than that it may be behind a cut.
	unresponsiveSince time.Time
	exited            bool
	jobsAllowed       bool // jobs of its clients may run
	lastRedialAt      time.Time
	// sentConfigVersion is the version of the configuration that was last sent to the peer,
	// and told is when.
	sentConfigVersion uint64
	configSentAt      time.Time
	// sentDirectoryVersion is the version of the directory that was last sent to the peer, and
	// toldTargets is when.
	sentDirectoryVersion     uint64
	directorySentAt          time.Time
	claimsSentAt             time.Time // when it was last sent the claims
	previousTargetsSentToken uint64    // token of the claim under which it was told of former targets
}

// isReachable reports whether messages pass both ways: a time of this host's clock
// that came back is no older than the bound. It holds through one-way cuts,
// frozen peers and delayed messages alike.
func (r *Router) isReachable(p *peer) bool {
	return !p.lastEchoedAt.IsZero() && r.now.Sub(p.lastEchoedAt) <= r.peerTimeout(p)
}

// mayRunJobsOf reports whether the jobs of the peer's clients may run on.
func (r *Router) mayRunJobsOf(p *peer) bool {
	return !p.lastEchoedAt.IsZero() && r.now.Sub(p.lastEchoedAt) <= r.Bounds.OriginTimeout
}

func (r *Router) sortedPeers() []*peer {
	list := make([]*peer, 0, len(r.peers))
	for _, address := range sortedKeys(r.peers) {
		list = append(list, r.peers[address])
	}
	return list
}

func (r *Router) send(p *peer, m Message) { r.emit(Send{To: p.member.Address, Message: m}) }

// addPeer makes sure that a member is known. It is dialled once a heartbeat is due.
func (r *Router) addPeer(m Member) *peer {
	if m.Address == r.Self.Address || m.Address == "" {
		return nil
	}
	p := r.peers[m.Address]
	if p == nil {
		p = &peer{member: m, lastReceivedAt: r.now}
		r.peers[m.Address] = p
		r.updateMonitored(p)
	}
	return p
}

// dial asks for a link to a peer, once.
func (r *Router) dial(p *peer) {
	if !p.dialled {
		p.dialled = true
		r.emit(Dial{Addresses: []string{p.member.Address}})
	}
}

// handleMessage takes a message of a peer.
func (r *Router) handleMessage(e Receive) {
	if err := e.Message.Check(); err != nil {
		r.emit(Decision{Action: "ignore", Pairs: []any{"from", e.From, "kind", e.Message.Kind(), "error", err.Error()}})
		return
	}
	p := r.peers[e.From]
	if b := e.Message.Heartbeat; b != nil {
		r.handleHeartbeat(p, b)
		return
	}
	if p == nil {
		return // its heartbeat comes first
	}
	switch m := e.Message; {
	case m.Offer != nil:
		r.handleOffer(p, m.Offer)
	case m.Withdraw != nil:
		r.handleWithdraw(p, m.Withdraw.ID)
	case m.Verdict != nil:
		r.handleVerdict(p.member.Address, *m.Verdict)
	case m.Progress != nil:
		r.handleProgress(m.Progress)
	case m.Config != nil:
		r.adoptConfig(m.Config, "peer")
	case m.Directory != nil:
		r.handleDirectory(p, *m.Directory)
	case m.PreviousTargets != nil:
		r.handlePreviousTargets(m.PreviousTargets)
	}
}

// handleHeartbeat takes a heartbeat. A brief one, without the sender's name and address, only
// says something of the process that the sender is known by.
func (r *Router) handleHeartbeat(p *peer, heartbeat *Heartbeat) {
	if heartbeat.Member.Address != "" {
		p = r.identifyPeer(heartbeat.Member)
	} else if p != nil && heartbeat.Member.Incarnation != p.member.Incarnation {
		return
	}
	if p == nil {
		return
	}
	p.lastReceivedAt, p.unresponsiveSince, p.exited = r.now, time.Time{}, false
	if heartbeat.WantsHeartbeats {
		p.heartbeatsRequestedAt = r.now
	}
	r.updateMonitored(p)
	p.lastPeerTimestamp = max(p.lastPeerTimestamp, heartbeat.Sent)
	if echo := time.Unix(0, heartbeat.Echo); heartbeat.Echo != 0 && echo.After(p.lastEchoedAt) && !echo.Before(r.startedAt) && !echo.After(r.now) {
		p.lastEchoedAt = echo
	}
	p.leaving, p.reachesHolder, p.configVersion, p.directoryVersion, p.directoryAge = heartbeat.Leaving, heartbeat.ReachesHolder, heartbeat.Config, heartbeat.Directory, heartbeat.DirectoryAge
	r.generation = max(r.generation, heartbeat.Generation)
	r.updateTotalTargets(heartbeat.Directory, heartbeat.TargetCount)
	previousToken := r.cell(r.Self.Zone).claim.Token
	for _, c := range heartbeat.Claims {
		r.applyClaim(c)
	}
	if len(heartbeat.Routes) > 0 && !r.holdsAnyCell() {
		r.mergeLearnedState(heartbeat.Routes, heartbeat.Speeds)
	}
	if r.isReachable(p) {
		r.handlePeerReachable(p)
	}
	if r.cell(r.Self.Zone).claim.Token != previousToken {
		r.offerAllRequests()
	}
}

// identifyPeer returns the peer that a heartbeat names, or nil for one of an earlier process.
func (r *Router) identifyPeer(m Member) *peer {
	p := r.addPeer(m)
	if p == nil || m.Incarnation < p.member.Incarnation {
		return nil
	}
	if m.Incarnation > p.member.Incarnation && p.wasReachable {
		r.lastHostLossAt = r.now
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", m.Name, "state", "restarted"}})
		r.endJobsOfOrigin(p.member.Address)
		*p = peer{lastReceivedAt: r.now, dialled: p.dialled}
	}
	p.member = m
	r.cell(m.Zone)
	return p
}

// handlePeerReachable notes that messages pass both ways and passes on what the peer lacks.
func (r *Router) handlePeerReachable(p *peer) {
	p.jobsAllowed = true
	if p.reachableSince.IsZero() {
		p.reachableSince = r.now
		p.wasReachable = true
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "zone", p.member.Zone, "state", "reached"}})
	}
	r.sendMissingState(p)
}

// sendMissingState passes on what the peer lacks. A configuration goes out only once the peer
// has had time to read it from the store, by one host after the other, and the
// directory by holders only: both may be large, and there are many hosts.
func (r *Router) sendMissingState(p *peer) {
	resendDue := r.now.Sub(p.configSentAt) >= stateResendInterval
	if r.config != nil && p.configVersion < r.config.Version && (resendDue || p.sentConfigVersion < r.config.Version) && r.now.Sub(r.configAdoptedAt) >= r.configSendDelay() {
		p.sentConfigVersion, p.configSentAt = r.config.Version, r.now
		r.send(p, Message{Config: r.config})
	}
	if r.holdsAnyCell() && r.sharesCells(p.member.Zone) && p.directoryVersion < r.directory.Version && r.isDirectoryDue(p) {
		p.directorySentAt, p.sentDirectoryVersion = r.now, r.directory.Version
		d := r.directory
		r.send(p, Message{Directory: &d})
	}
}

const (
	// minConfigSendDelay is how long a peer has to read a configuration from the store:
	// ten answers, and a pause of a host with a small processor share. With the
	// stagger it stays below the time in which it must be in force (2 s).
	minConfigSendDelay = 300 * time.Millisecond
	// configSendStagger is what each further host waits for the one before it: a
	// heartbeat, which shows that the peer has the version.
	configSendStagger = 100 * time.Millisecond
	// maxConfigSendDelay bounds the wait.
	maxConfigSendDelay = time.Second
	// stateResendInterval is when something is sent once more to a peer that still lacks
	// it.
	stateResendInterval = 500 * time.Millisecond
	// directoryResendInterval is the period at which hosts that would not hold the cell next
	// are told of a changed directory: 80 KB for 540 targets take a quarter of a
	// second on a link of 2.5 Mbit/s.
	directoryResendInterval = 5 * time.Second
)

// configSendDelay returns how long after it has taken a configuration this host passes
// it on: the first candidate first.
func (r *Router) configSendDelay() time.Duration {
	precedingHosts := 0
	for _, p := range r.peers {
		if r.isReachable(p) && cmp.Or(cmp.Compare(r.Self.CPUShare, p.member.CPUShare), cmp.Compare(p.member.Slot, r.Self.Slot)) < 0 {
			precedingHosts++
		}
	}
	return min(minConfigSendDelay+time.Duration(precedingHosts)*configSendStagger, maxConfigSendDelay)
}

// watchPeers notes which peers have fallen silent, and forgets those that
// have been for long.
func (r *Router) watchPeers() {
	for _, p := range r.sortedPeers() {
		if !p.reachableSince.IsZero() && !r.isReachable(p) {
			p.reachableSince, p.unresponsiveSince = time.Time{}, r.now
			r.lastHostLossAt = r.now
			r.emit(Decision{Action: "peer", Pairs: []any{
				"peer", p.member.Name, "state", "silent", "age", r.now.Sub(p.lastEchoedAt).String(), "bound", r.peerTimeout(p).String(),
			}})
		}
		if p.monitored && p.unresponsiveSince.IsZero() && r.hasHadTimeToAnswer(p) && !r.isReachable(p) {
			p.unresponsiveSince = r.now
		}
		if p.wasReachable && p.monitored && r.now.Sub(p.lastEchoedAt) > r.Bounds.PeerTimeout*3/4 && r.now.Sub(p.lastRedialAt) > r.Bounds.PeerTimeout {
			p.lastRedialAt = r.now
			r.emit(Redial{Address: p.member.Address})
		}
		if p.jobsAllowed && !r.mayRunJobsOf(p) {
			p.jobsAllowed = false
			r.endJobsOfOrigin(p.member.Address)
		}
		if r.now.Sub(p.lastReceivedAt) > r.memberExpiry() {
			r.removePeer(p)
		}
	}
}

// handleLinkOpened repeats what may have been lost with an earlier connection: offers to
// the peer and verdicts for it. Both are taken once only.
func (r *Router) handleLinkOpened(address string) {
	p := r.peers[address]
	if p == nil {
		p = r.addPeer(Member{Address: address})
	}
	if p == nil {
		return
	}
	p.dialled, p.previousTargetsSentToken = true, 0
	r.sendFullHeartbeat(p)
	for _, id := range sortedKeys(r.requestsByJob) {
		if q := r.requestsByJob[id]; q.holder == address {
			r.sendOffer(p, q)
		}
	}
	for _, j := range r.endedJobs {
		if j.origin == address && r.jobs[j.spec.ID] == j && j.verdict.Outcome != WrongHolder {
			r.sendVerdict(address, j.verdict)
		}
	}
}

// handlePeerExited notes that a peer's process has gone, without waiting for its silence.
func (r *Router) handlePeerExited(address string) {
	p := r.peers[address]
	if p == nil {
		return
	}
	p.exited = true
	if r.isReachable(p) {
		p.lastEchoedAt = p.lastEchoedAt.Add(-r.peerTimeout(p))
		p.reachableSince, r.lastHostLossAt = time.Time{}, r.now
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "state", "gone"}})
	}
}

// removePeer drops a peer. The holder of its zone's cell also removes it from the store.
func (r *Router) removePeer(p *peer) {
	delete(r.peers, p.member.Address)
	r.emit(CloseLink{Address: p.member.Address})
	r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "state", "forgotten"}})
	if c := r.cells[p.member.Zone]; c != nil && c.heldHere && p.member.Slot > 0 {
		r.emit(RemoveMember{Member: p.member})
	}
}

// newHeartbeat returns what this host tells all near peers.
func (r *Router) newHeartbeat() Heartbeat {
	directoryAge := r.now.Sub(r.directoryReadAt)
	if r.directoryReadAt.IsZero() {
		directoryAge = unreadDirectoryAge
	}
	configVersion := uint64(0)
	if r.config != nil {
		configVersion = r.config.Version
	}
	return Heartbeat{
		Member: r.Self, Sent: r.now.UnixNano(), Leaving: !r.leavingSince.IsZero(), ReachesHolder: r.reachableHolder(r.Self.Zone) != nil, Generation: r.generation,
		Config: configVersion, Directory: r.directory.Version, TargetCount: r.directory.Total, DirectoryAge: directoryAge,
	}
}

// unreadDirectoryAge is the age of a directory that was not read yet.
const unreadDirectoryAge = 24 * time.Hour

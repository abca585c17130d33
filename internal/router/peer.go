package router

import (
	"cmp"
	"maps"
	"time"
)

// peer is the state of another entry host as this host knows it.
type peer struct {
	member Member
	// lastPeerTimestamp is the newest Sent time received from the peer, on the peer's
	// clock. lastEchoedAt is the newest Sent time of this host that the peer has
	// echoed, on this host's clock.
	lastPeerTimestamp       int64
	lastEchoedAt            time.Time
	reachableSince          time.Time // since when the peer is reachable without interruption; zero while it is not
	lastHeartbeatReceivedAt time.Time // when the last heartbeat arrived, or when the peer was added if none has
	// sendsLowerIncarnation is true if a heartbeat of a lower incarnation than the known one has
	// arrived since the last heartbeat to the peer.
	sendsLowerIncarnation bool
	heartbeatSentAt       time.Time // when the last heartbeat of the short interval was sent
	// leaving is true while the peer shuts down.
	leaving bool
	// keepsCells is true while the leaving peer still decides over its cells, and successor is the
	// address of the host that it has named to claim them.
	keepsCells bool
	successor  string
	// replacedAt is when another host last replaced the peer as a holder because it did not answer.
	replacedAt time.Time
	// lag is by how much the peer has reported that it is late.
	lag time.Duration
	// reachesHolder is true if the peer reaches the holder of its zone's cell.
	reachesHolder bool
	// headroom is the last reported Headroom of the peer less what was sent there since.
	headroom map[string]int
	// loads are the last reported Loads of the peer with what was sent there since, and neighbours its
	// last reported Neighbours.
	loads            map[string]ServiceLoad
	neighbours       []string
	configVersion    uint64
	directoryVersion uint64
	directoryAge     time.Duration
	hasBeenReachable bool // the peer has been reachable in its present incarnation
	// monitored is true for a monitored peer, which is sent heartbeats at the short
	// interval, and false for a background peer. monitoredSince is when it became
	// monitored, heartbeatsRequestedAt when it last asked for heartbeats at the short
	// interval.
	monitored             bool
	monitoredSince        time.Time
	heartbeatsRequestedAt time.Time
	dialled               bool
	// unresponsiveSince is when the peer was found not to answer. exited is true if
	// nobody listens at the peer's address, so its process is gone rather than behind a
	// partition.
	unresponsiveSince time.Time
	exited            bool
	// jobsAllowed is set when the peer is reachable, and cleared when the jobs of the
	// peer's clients were ended because the peer was unresponsive.
	jobsAllowed  bool
	lastRedialAt time.Time
	// sentConfigVersion is the version of the configuration that was last sent to the
	// peer, configSentAt when that was.
	sentConfigVersion uint64
	configSentAt      time.Time
	// sentDirectoryVersion is the version of the directory that was last sent to the
	// peer, directorySentAt when that was.
	sentDirectoryVersion     uint64
	directorySentAt          time.Time
	claimsSentAt             time.Time // when claims were last sent to the peer
	previousTargetsSentToken uint64    // token of the claim under which the previous targets were sent to the peer
	// withdrawals are those that may not have reached the peer, oldest first.
	withdrawals []sentWithdrawal
}

// isReachable reports whether messages pass in both directions: the newest time of this
// host's clock that the peer has echoed is within the timeout. This one test detects
// one-way packet loss, paused processes and delayed messages.
func (r *Router) isReachable(p *peer) bool {
	if p.lastEchoedAt.IsZero() {
		return false
	}
	age := r.now.Sub(p.lastEchoedAt)
	return age <= r.Bounds.PeerTimeout || age <= r.peerTimeout(p) // no peer has less than PeerTimeout
}

// hasOvertaken reports whether a heartbeat has arrived that the peer has sent after an offer. Then
// the offer has arrived over a connection that was replaced, and the peer repeats it over the new
// one unless it has answered the client since.
func (p *peer) hasOvertaken(o *Offer) bool {
	return o.SubmissionID != 0 && o.sentAt() < p.lastPeerTimestamp
}

// isFromFormerProcess reports whether an offer was sent by a former process of the peer's host. The times
// in it do not tell, since the clock may have been set back before the present process started.
func (p *peer) isFromFormerProcess(o *Offer) bool {
	return o.Incarnation != 0 && o.Incarnation < p.member.Incarnation
}

// mayRunJobsOf reports whether the jobs of the peer's clients may continue to run here.
func (r *Router) mayRunJobsOf(p *peer) bool {
	return !p.lastEchoedAt.IsZero() && r.now.Sub(p.lastEchoedAt) <= r.Bounds.OriginTimeout
}

// sortedPeers returns the peers in the order of their addresses. Callers must not change the
// list, which is rebuilt when peers are added or removed.
func (r *Router) sortedPeers() []*peer {
	if r.peerList == nil {
		r.peerList = make([]*peer, 0, len(r.peers))
		for _, address := range sortedKeys(r.peers) {
			r.peerList = append(r.peerList, r.peers[address])
		}
	}
	return r.peerList
}

func (r *Router) send(p *peer, m Message) { r.emit(Send{To: p.member.Address, Message: m}) }

// addPeer returns the peer of a member, and adds the peer if necessary. It returns nil
// for this host or a member without an address. A monitored peer is dialled at once, a
// background peer when this host sends it the first heartbeat.
func (r *Router) addPeer(m Member) *peer {
	if m.Address == r.Self.Address || m.Address == "" {
		return nil
	}
	p := r.peers[m.Address]
	if p == nil {
		p = &peer{member: m, lastHeartbeatReceivedAt: r.now}
		r.peers[m.Address], r.peerList = p, nil
		r.updateMonitored(p)
	}
	return p
}

// dial requests a link to a peer unless one was requested before.
func (r *Router) dial(p *peer) {
	if !p.dialled {
		p.dialled = true
		r.emit(Dial{Addresses: []string{p.member.Address}})
	}
}

// handleMessage handles a message from a peer. Malformed messages are ignored, and so
// are messages other than heartbeats from addresses at which no peer is known. A peer
// may be known before its first heartbeat, from the store, a claim or an opened link.
func (r *Router) handleMessage(e Receive) {
	if err := e.Message.Check(); err != nil {
		r.emit(Decision{Action: "ignore", Pairs: []any{"from", e.From, "kind", e.Message.Kind(), "error", err.Error()}})
		return
	}
	p := r.peers[e.From]
	if heartbeat := e.Message.Heartbeat; heartbeat != nil {
		r.handleHeartbeat(p, heartbeat)
		return
	}
	if p == nil {
		return // no peer is known at this address
	}
	switch m := e.Message; {
	case m.Offer != nil && p.isFromFormerProcess(m.Offer):
		r.emit(Decision{Action: "overtaken", Job: m.Offer.Job.ID, Routine: true, Pairs: []any{"origin", e.From, "offered", m.Offer.Token, "process", m.Offer.Incarnation}})
	case m.Offer != nil:
		r.handleOffer(p, m.Offer)
	case m.Withdraw != nil:
		r.handleWithdraw(p, m.Withdraw)
	case m.Verdict != nil:
		r.handleVerdict(p.member.Address, *m.Verdict)
	case m.Progress != nil:
		r.handleProgress(m.Progress, e.From)
	case m.Config != nil:
		r.adoptConfig(m.Config, "peer")
	case m.Directory != nil:
		r.handleDirectory(p, *m.Directory)
	case m.DirectoryChanges != nil:
		r.handleDirectoryChanges(p, *m.DirectoryChanges)
	case m.PreviousTargets != nil:
		r.handlePreviousTargets(m.PreviousTargets)
	}
}

// handleHeartbeat handles a heartbeat. A brief heartbeat, without the sender's name and
// address, is ignored unless it is from the incarnation by which the peer is known.
func (r *Router) handleHeartbeat(p *peer, heartbeat *Heartbeat) {
	if heartbeat.Member.Address != "" {
		p = r.identifyPeer(heartbeat.Member)
	} else if p != nil && heartbeat.Member.Incarnation != p.member.Incarnation {
		p.sendsLowerIncarnation = p.sendsLowerIncarnation || heartbeat.Member.Incarnation < p.member.Incarnation
		return
	}
	if p == nil {
		return
	}
	r.recordHeartbeat(p, heartbeat)
	r.generation = max(r.generation, heartbeat.Generation)
	r.updateTotalTargets(heartbeat.Directory, heartbeat.TargetCount)
	if heartbeat.Evacuations != nil {
		r.adoptEvacuations(*heartbeat.Evacuations, "peer")
	}
	previousToken := r.cell(r.Self.Zone).claim.Token
	for _, c := range heartbeat.Claims {
		r.applyClaim(c)
	}
	if len(heartbeat.Routes) > 0 && !r.holdsAnyCell() {
		r.mergeLearnedState(heartbeat.Routes, heartbeat.Speeds)
	}
	r.importProfiles(p, heartbeat)
	r.importInterferences(p, heartbeat)
	r.mergeCrashes(heartbeat.Crashes, heartbeat.Acquittals, p.member.Address)
	if r.isReachable(p) {
		r.handlePeerReachable(p)
	}
	if r.cell(r.Self.Zone).claim.Token != previousToken {
		r.offerAllRequests()
	}
}

// recordHeartbeat records what a heartbeat tells of the peer itself, and of this host as the peer
// knows it.
func (r *Router) recordHeartbeat(p *peer, heartbeat *Heartbeat) {
	p.lastHeartbeatReceivedAt, p.unresponsiveSince, p.exited = r.now, time.Time{}, false
	if heartbeat.ReceiverIncarnation > r.Self.Incarnation && heartbeat.ReceiverIncarnation < maxTimestamp {
		r.raiseIncarnation(heartbeat.ReceiverIncarnation + 1)
		r.sendHeartbeats() // before the offers that name it
	}
	if heartbeat.WantsHeartbeats {
		p.heartbeatsRequestedAt = r.now
	}
	r.updateMonitored(p)
	if heartbeat.Sent >= p.lastPeerTimestamp && r.remoteRuns.update(r.now, p.member.Address, heartbeat.Unstopped, r.longestLease(r.Bounds.LeaseDuration)) {
		r.placementNeeded = true
	}
	p.lastPeerTimestamp = max(p.lastPeerTimestamp, heartbeat.Sent)
	if echo := time.Unix(0, heartbeat.Echo); heartbeat.Echo != 0 && echo.After(p.lastEchoedAt) && !echo.Before(r.startedAt) && !echo.After(r.now) {
		p.lastEchoedAt = echo
	}
	p.leaving, p.reachesHolder, p.configVersion, p.directoryVersion, p.directoryAge = heartbeat.Leaving, heartbeat.ReachesHolder, heartbeat.Config, heartbeat.Directory, heartbeat.DirectoryAge
	p.keepsCells, p.successor, p.lag = heartbeat.KeepsCells, heartbeat.Successor, min(heartbeat.Lag, maxLagAllowance)
	p.headroom, p.loads, p.neighbours = maps.Clone(heartbeat.Headroom), maps.Clone(heartbeat.Loads), heartbeat.Neighbours
}

// identifyPeer returns the peer that a heartbeat names, or nil if the heartbeat is from
// a previous incarnation or from this host's own address. If the peer was reachable and
// has restarted, its state is reset and its jobs are ended.
func (r *Router) identifyPeer(m Member) *peer {
	p := r.addPeer(m)
	if p == nil {
		return nil
	}
	if m.Incarnation < p.member.Incarnation {
		p.sendsLowerIncarnation = true
		return nil
	}
	if m.Incarnation > p.member.Incarnation {
		r.recordHolderRestart(p.member.Address)
		p.lastPeerTimestamp = 0 // the clock may have been set back
	}
	if m.Incarnation > p.member.Incarnation && p.hasBeenReachable {
		r.recordHostLoss(p)
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", m.Name, "state", "restarted"}})
		r.endJobsOfOrigin(p.member.Address)
		r.retireSubmissions(p.member.Address)
		*p = peer{lastHeartbeatReceivedAt: r.now, dialled: p.dialled}
	}
	p.member = m
	r.cell(m.Zone) // creates the cell if it is not known yet
	return p
}

// echoTo adds to a heartbeat what tells the peer which of its messages have arrived here, and under
// which incarnation the peer is known if its messages are ignored because of a lower one.
func (h *Heartbeat) echoTo(p *peer) {
	h.Echo = p.lastPeerTimestamp
	if p.sendsLowerIncarnation {
		h.ReceiverIncarnation, p.sendsLowerIncarnation = p.member.Incarnation, false
	}
}

// raiseIncarnation gives this process a higher incarnation. Peers that know the lower one take it for
// a restart and end the jobs that they were offered, so these are offered again, as submissions that
// the peers do not know.
func (r *Router) raiseIncarnation(incarnation int64) {
	if incarnation <= r.Self.Incarnation {
		return
	}
	r.emit(Decision{Action: "incarnation", Pairs: []any{"before", r.Self.Incarnation, "incarnation", incarnation}})
	r.Self.Incarnation = incarnation
	for _, p := range r.peers {
		p.claimsSentAt = time.Time{} // the next heartbeat names this process in full
	}
	for _, q := range r.requestsByJob {
		if q.holder == r.Self.Address {
			continue
		}
		if q.holder != "" {
			r.recordHolderChange(q)
		}
		q.arrivedAt = q.arrivedAt.Add(time.Nanosecond) // another submission ID
	}
}

// retireSubmissions makes the submissions of a host's former process count as earlier ones. Those of
// its present process may have lower IDs, since the clock may have been set back.
func (r *Router) retireSubmissions(origin string) {
	for _, j := range r.jobs {
		if j.origin == origin && j.submissionID != 0 {
			j.earlierSubmissions = append(j.earlierSubmissions, submission{origin, j.submissionID})
			j.submissionID = 0
		}
	}
}

// handlePeerReachable records that messages pass in both directions and sends the peer
// the state that it lacks.
func (r *Router) handlePeerReachable(p *peer) {
	p.jobsAllowed = true
	if p.reachableSince.IsZero() {
		p.reachableSince = r.now
		p.hasBeenReachable = true
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "zone", p.member.Zone, "state", "reached"}})
	}
	r.sendMissingState(p)
}

// sendMissingState sends the peer a configuration and a directory that are newer than
// its own. Both may be large, and there are many hosts. Therefore the configuration is
// sent only after the peer has had time to read it from the store, by one host after
// another, and the directory is sent by holders, or to a holder that does
// not reach the store.
func (r *Router) sendMissingState(p *peer) {
	resendDue := r.now.Sub(p.configSentAt) >= stateResendInterval
	if r.config != nil && p.configVersion < r.config.Version && (resendDue || p.sentConfigVersion < r.config.Version) && r.now.Sub(r.configAdoptedAt) >= r.configSendDelay() {
		p.sentConfigVersion, p.configSentAt = r.config.Version, r.now
		r.send(p, Message{Config: r.config})
	}
	if r.sendsDirectoryTo(p) && p.directoryVersion < r.directory.Version && r.isDirectoryDue(p) {
		p.directorySentAt, p.sentDirectoryVersion = r.now, r.directory.Version
		r.send(p, r.directoryMessage(p.directoryVersion))
	}
}

const (
	// minConfigSendDelay is how long peers have to read a new configuration from the
	// store. It covers ten answers of the store and a scheduling pause of a host with a
	// small processor share. Together with the stagger it stays below the 2 s within
	// which a configuration must be active everywhere.
	minConfigSendDelay = 300 * time.Millisecond
	// configSendStagger is the additional delay of each further host. It covers a
	// heartbeat, which shows that the peer has the version.
	configSendStagger  = 100 * time.Millisecond
	maxConfigSendDelay = time.Second
	// stateResendInterval is the delay before a configuration or directory is sent
	// again to a peer that still lacks it.
	stateResendInterval = 500 * time.Millisecond
	// directoryResendInterval is the interval at which changes of the directory are sent to
	// peers that are not hubs (see hubAddresses).
	directoryResendInterval = time.Second
	// wholeDirectoryInterval replaces directoryResendInterval for peers that need the whole
	// directory: the 80 KB of 540 targets take a quarter of a second on a link of 2.5 Mbit/s.
	wholeDirectoryInterval = 5 * time.Second
)

// configSendDelay returns how long after adopting a configuration this host waits
// before it sends it to peers. The strongest reachable host sends first: the host with
// the largest CPU share, and among equal ones the lowest slot.
func (r *Router) configSendDelay() time.Duration {
	precedingHosts := 0
	for _, p := range r.peers {
		if r.isReachable(p) && cmp.Or(cmp.Compare(r.Self.CPUShare, p.member.CPUShare), cmp.Compare(p.member.Slot, r.Self.Slot)) < 0 {
			precedingHosts++
		}
	}
	return min(minConfigSendDelay+time.Duration(precedingHosts)*configSendStagger, maxConfigSendDelay)
}

// watchPeers detects peers that have become unresponsive, redials monitored peers without
// an echo for three quarters of Bounds.PeerTimeout, ends the jobs of peers past
// Bounds.OriginTimeout and removes peers past their expiry.
func (r *Router) watchPeers() {
	for _, p := range r.sortedPeers() {
		r.forgetWithdrawals(p)
		if !p.reachableSince.IsZero() && !r.isReachable(p) {
			p.reachableSince, p.unresponsiveSince = time.Time{}, r.now
			r.recordHostLoss(p)
			r.emit(Decision{Action: "peer", Pairs: []any{
				"peer", p.member.Name, "state", "silent", "age", r.now.Sub(p.lastEchoedAt).String(), "bound", r.peerTimeout(p).String(),
			}})
		}
		if p.monitored && p.unresponsiveSince.IsZero() && r.hasHadTimeToAnswer(p) && !r.isReachable(p) {
			p.unresponsiveSince = r.now
		}
		if p.hasBeenReachable && p.monitored && r.now.Sub(p.lastEchoedAt) > r.Bounds.PeerTimeout*3/4 && r.now.Sub(p.lastRedialAt) > r.Bounds.PeerTimeout {
			p.lastRedialAt = r.now
			r.emit(Redial{Address: p.member.Address})
		}
		if p.jobsAllowed && !r.mayRunJobsOf(p) {
			p.jobsAllowed = false
			r.endJobsOfOrigin(p.member.Address)
		}
		if r.now.Sub(p.lastHeartbeatReceivedAt) > r.memberExpiry() || r.isForeign(p) {
			r.removePeer(p)
		}
	}
}

// recordHostLoss records the loss of a host, after which clients retry. A host of another zone
// does not count, since its clients retry there, and since it may only have ceased to need this
// host's heartbeats.
func (r *Router) recordHostLoss(p *peer) {
	if r.isCellPeer(p) {
		r.lastHostLossAt = r.now
	}
}

// isForeign reports whether a peer, which is known from the store, has nothing to do with this
// host: each zone has a holder of its own, and neither host needs the other's heartbeats.
func (r *Router) isForeign(p *peer) bool {
	return r.holderPerZone && !r.sharesCells(p.member.Zone) && !p.monitored && !p.hasBeenReachable && r.now.Sub(p.lastHeartbeatReceivedAt) > r.Bounds.PeerTimeout
}

// handleLinkOpened repeats messages that may have been lost with a previous connection:
// withdrawals and offers to the peer and verdicts for it. The receivers ignore duplicates.
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
	r.repeatWithdrawals(p)
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

// handlePeerExited records that a peer's process has exited, so that the peer counts as
// unreachable without waiting for its timeout.
func (r *Router) handlePeerExited(address string) {
	p := r.peers[address]
	if p == nil {
		return
	}
	p.exited = true
	if r.isReachable(p) {
		p.lastEchoedAt = p.lastEchoedAt.Add(-r.peerTimeout(p))
		p.reachableSince = time.Time{}
		r.recordHostLoss(p)
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "state", "gone"}})
	}
}

// removePeer removes a peer. The holder of the peer's cell also removes the member from
// the store.
func (r *Router) removePeer(p *peer) {
	delete(r.peers, p.member.Address)
	r.peerList = nil
	r.emit(CloseLink{Address: p.member.Address})
	r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "state", "forgotten"}})
	if c := r.cells[p.member.Zone]; c != nil && c.heldHere && p.member.Slot > 0 {
		r.emit(RemoveMember{Member: p.member})
	}
}

// newHeartbeat returns the part of a heartbeat that is the same for all peers.
func (r *Router) newHeartbeat() Heartbeat {
	directoryAge := r.now.Sub(r.directoryReadAt)
	if r.directoryReadAt.IsZero() {
		directoryAge = unreadDirectoryAge
	}
	configVersion := uint64(0)
	if r.config != nil {
		configVersion = r.config.Version
	}
	headroom, loads := r.headroom(), r.ownLoads()
	return Heartbeat{
		Loads: loads, Neighbours: r.likelyReferrals(headroom, loads), Unstopped: r.unstoppedJobs(),
		Member: r.Self, Sent: r.now.UnixNano(), Leaving: !r.leavingSince.IsZero(), ReachesHolder: r.reachableHolder(r.Self.Zone) != nil, Generation: r.generation,
		KeepsCells: r.handover.keeps, Successor: r.handover.successor.Address, Lag: r.currentLag(),
		Config: configVersion, Directory: r.directory.Version, TargetCount: r.directory.Total, DirectoryAge: directoryAge, Headroom: headroom,
	}
}

// unreadDirectoryAge is the age that is reported for a directory that was never read.
const unreadDirectoryAge = 24 * time.Hour

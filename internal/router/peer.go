package router

import (
	"cmp"
	"time"
)

// peer is another entry host as this one knows it.
type peer struct {
	member Member
	// sent is the newest time on the peer's clock that was heard, and echoed
	// the newest time of this host that came back.
	sent   int64
	echoed time.Time
	since  time.Time // in touch without a break since then
	heard  time.Time // last message
	// leaving tells that the peer is shutting down.
	leaving bool
	// held tells that the peer reaches the holder of its zone's cell.
	held      bool
	config    uint64
	directory uint64
	age       time.Duration
	met       bool // has been in touch in this life
	// near tells that heartbeats go to the peer at the short period, nearSince since
	// when, and asked until when it wants them.
	near      bool
	nearSince time.Time
	asked     time.Time
	dialled   bool
	// dead is when the peer was found not to answer, and severed tells that its
	// process has gone rather than that it may be behind a cut.
	dead      time.Time
	severed   bool
	trusted   bool // jobs of its clients may run
	redialled time.Time
	// toldConfig is the version of the configuration that was last sent to the peer,
	// and told is when.
	toldConfig uint64
	told       time.Time
	// toldDirectory is the version of the directory that was last sent to the peer, and
	// toldTargets is when.
	toldDirectory uint64
	toldTargets   time.Time
	claimed       time.Time // when it was last sent the claims
	toldFormer    uint64    // token of the claim under which it was told of former targets
}

// reaches reports whether messages pass both ways: a time of this host's clock
// that came back is no older than the bound. It holds through one-way cuts,
// frozen peers and delayed messages alike.
func (r *Router) reaches(p *peer) bool {
	return !p.echoed.IsZero() && r.now.Sub(p.echoed) <= r.silence(p)
}

// trusts reports whether the jobs of the peer's clients may run on.
func (r *Router) trusts(p *peer) bool {
	return !p.echoed.IsZero() && r.now.Sub(p.echoed) <= r.Bounds.OriginTimeout
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
		p = &peer{member: m, heard: r.now}
		r.peers[m.Address] = p
		r.updateNear(p)
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

// receive takes a message of a peer.
func (r *Router) receive(e Receive) {
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
		r.offered(p, m.Offer)
	case m.Withdraw != nil:
		r.withdrawn(p, m.Withdraw.ID)
	case m.Verdict != nil:
		r.judged(p.member.Address, *m.Verdict)
	case m.Progress != nil:
		r.progressed(m.Progress)
	case m.Config != nil:
		r.adopt(m.Config, "peer")
	case m.Directory != nil:
		r.handleDirectory(p, *m.Directory)
	case m.PreviousTargets != nil:
		r.handleFormer(m.PreviousTargets)
	}
}

// handleHeartbeat takes a heartbeat. A brief one, without the sender's name and address, only
// says something of the process that the sender is known by.
func (r *Router) handleHeartbeat(p *peer, b *Heartbeat) {
	if b.Member.Address != "" {
		p = r.identify(b.Member)
	} else if p != nil && b.Member.Incarnation != p.member.Incarnation {
		return
	}
	if p == nil {
		return
	}
	p.heard, p.dead, p.severed = r.now, time.Time{}, false
	if b.WantsHeartbeats {
		p.asked = r.now
	}
	r.updateNear(p)
	p.sent = max(p.sent, b.Sent)
	if echo := time.Unix(0, b.Echo); b.Echo != 0 && echo.After(p.echoed) && !echo.Before(r.started) && !echo.After(r.now) {
		p.echoed = echo
	}
	p.leaving, p.held, p.config, p.directory, p.age = b.Leaving, b.ReachesHolder, b.Config, b.Directory, b.DirectoryAge
	r.generation = max(r.generation, b.Generation)
	r.countTargets(b.Directory, b.TargetCount)
	before := r.cell(r.Self.Zone).claim.Token
	for _, c := range b.Claims {
		r.learn(c)
	}
	if len(b.Routes) > 0 && !r.holds() {
		r.study(b.Routes, b.Speeds)
	}
	if r.reaches(p) {
		r.inTouch(p)
	}
	if r.cell(r.Self.Zone).claim.Token != before {
		r.reoffer()
	}
}

// identify returns the peer that a heartbeat names, or nil for one of an earlier process.
func (r *Router) identify(m Member) *peer {
	p := r.addPeer(m)
	if p == nil || m.Incarnation < p.member.Incarnation {
		return nil
	}
	if m.Incarnation > p.member.Incarnation && p.met {
		r.lossSeen = r.now
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", m.Name, "state", "restarted"}})
		r.dropOrigin(p.member.Address)
		*p = peer{heard: r.now, dialled: p.dialled}
	}
	p.member = m
	r.cell(m.Zone)
	return p
}

// inTouch notes that messages pass both ways and passes on what the peer lacks.
func (r *Router) inTouch(p *peer) {
	p.trusted = true
	if p.since.IsZero() {
		p.since = r.now
		p.met = true
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "zone", p.member.Zone, "state", "reached"}})
	}
	r.share(p)
}

// share passes on what the peer lacks. A configuration goes out only once the peer
// has had time to read it from the store, by one host after the other, and the
// directory by holders only: both may be large, and there are many hosts.
func (r *Router) share(p *peer) {
	again := r.now.Sub(p.told) >= shareAgain
	if r.config != nil && p.config < r.config.Version && (again || p.toldConfig < r.config.Version) && r.now.Sub(r.configured) >= r.shareAfter() {
		p.toldConfig, p.told = r.config.Version, r.now
		r.send(p, Message{Config: r.config})
	}
	if r.holds() && r.related(p.member.Zone) && p.directory < r.directory.Version && r.directoryDue(p) {
		p.toldTargets, p.toldDirectory = r.now, r.directory.Version
		d := r.directory
		r.send(p, Message{Directory: &d})
	}
}

const (
	// shareDelay is how long a peer has to read a configuration from the store:
	// ten answers, and a pause of a host with a small processor share. With the
	// stagger it stays below the time in which it must be in force (2 s).
	shareDelay = 300 * time.Millisecond
	// shareStagger is what each further host waits for the one before it: a
	// heartbeat, which shows that the peer has the version.
	shareStagger = 100 * time.Millisecond
	// shareMost bounds the wait.
	shareMost = time.Second
	// shareAgain is when something is sent once more to a peer that still lacks
	// it.
	shareAgain = 500 * time.Millisecond
	// directoryAgain is the period at which hosts that would not hold the cell next
	// are told of a changed directory: 80 KB for 540 targets take a quarter of a
	// second on a link of 2.5 Mbit/s.
	directoryAgain = 5 * time.Second
)

// shareAfter returns how long after it has taken a configuration this host passes
// it on: the first candidate first.
func (r *Router) shareAfter() time.Duration {
	before := 0
	for _, p := range r.peers {
		if r.reaches(p) && cmp.Or(cmp.Compare(r.Self.CPUShare, p.member.CPUShare), cmp.Compare(p.member.Slot, r.Self.Slot)) < 0 {
			before++
		}
	}
	return min(shareDelay+time.Duration(before)*shareStagger, shareMost)
}

// watchPeers notes which peers have fallen silent, and forgets those that
// have been for long.
func (r *Router) watchPeers() {
	for _, p := range r.sortedPeers() {
		if !p.since.IsZero() && !r.reaches(p) {
			p.since, p.dead = time.Time{}, r.now
			r.lossSeen = r.now
			r.emit(Decision{Action: "peer", Pairs: []any{
				"peer", p.member.Name, "state", "silent", "age", r.now.Sub(p.echoed).String(), "bound", r.silence(p).String(),
			}})
		}
		if p.near && p.dead.IsZero() && r.isSettled(p) && !r.reaches(p) {
			p.dead = r.now
		}
		if p.met && p.near && r.now.Sub(p.echoed) > r.Bounds.PeerTimeout*3/4 && r.now.Sub(p.redialled) > r.Bounds.PeerTimeout {
			p.redialled = r.now
			r.emit(Redial{Address: p.member.Address})
		}
		if p.trusted && !r.trusts(p) {
			p.trusted = false
			r.dropOrigin(p.member.Address)
		}
		if r.now.Sub(p.heard) > r.forgetAfter() {
			r.forget(p)
		}
	}
}

// linked repeats what may have been lost with an earlier connection: offers to
// the peer and verdicts for it. Both are taken once only.
func (r *Router) linked(address string) {
	p := r.peers[address]
	if p == nil {
		p = r.addPeer(Member{Address: address})
	}
	if p == nil {
		return
	}
	p.dialled, p.toldFormer = true, 0
	r.beatTo(p)
	for _, id := range sortedKeys(r.requests) {
		if q := r.requests[id]; q.holder == address {
			r.sendOffer(p, q)
		}
	}
	for _, j := range r.ended {
		if j.origin == address && r.jobs[j.spec.ID] == j && j.verdict.Outcome != WrongHolder {
			r.tell(address, j.verdict)
		}
	}
}

// severed notes that a peer's process has gone, without waiting for its silence.
func (r *Router) severed(address string) {
	p := r.peers[address]
	if p == nil {
		return
	}
	p.severed = true
	if r.reaches(p) {
		p.echoed = p.echoed.Add(-r.silence(p))
		p.since, r.lossSeen = time.Time{}, r.now
		r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "state", "gone"}})
	}
}

// forget drops a peer. The holder of its zone's cell also removes it from the store.
func (r *Router) forget(p *peer) {
	delete(r.peers, p.member.Address)
	r.emit(CloseLink{Address: p.member.Address})
	r.emit(Decision{Action: "peer", Pairs: []any{"peer", p.member.Name, "state", "forgotten"}})
	if c := r.cells[p.member.Zone]; c != nil && c.mine && p.member.Slot > 0 {
		r.emit(RemoveMember{Member: p.member})
	}
}

// heartbeat returns what this host tells all near peers.
func (r *Router) heartbeat() Heartbeat {
	age := r.now.Sub(r.located)
	if r.located.IsZero() {
		age = never
	}
	version := uint64(0)
	if r.config != nil {
		version = r.config.Version
	}
	return Heartbeat{
		Member: r.Self, Sent: r.now.UnixNano(), Leaving: !r.leaving.IsZero(), ReachesHolder: r.holderOf(r.Self.Zone) != nil, Generation: r.generation,
		Config: version, Directory: r.directory.Version, TargetCount: r.directory.Total, DirectoryAge: age,
	}
}

// never is the age of a directory that was not read yet.
const never = 24 * time.Hour

package router

import "time"

// cellDemand is what the cells of a holder ask of it.
type cellDemand struct {
	targets   int
	startRate float64 // starts a second
}

const (
	// startCost is the processor time on one core of a start with its 1.4 renewals and all their
	// answers, and renewCost that of one renewal: 0.26 cores at 960 starts a second
	// (docs/CAPACITY.md), by 2.4 orders a start.
	startCost = 270 * time.Microsecond
	renewCost = startCost * 10 / 24
	// maxCarriedShare is the part of a host's processor share and link that its cells may use. The
	// rest is for its own clients and for peaks, which are up to 1.55 times the mean load.
	maxCarriedShare = 0.5
	// maxTakeoverTime is how long the first renewals of a takeover may keep the processor of the new
	// holder busy. A heartbeat, its echo and a scheduling pause of 100 ms fit into the rest of
	// Bounds.PeerTimeout.
	maxTakeoverTime = 200 * time.Millisecond
	// milliPerCore converts thousandths of a core into cores.
	milliPerCore = 1000
)

// canBeCarriedBy reports whether a host is strong enough for cells with this demand.
func (d cellDemand) canBeCarriedBy(m Member) bool {
	cores := float64(m.CPUShare) / milliPerCore
	needed := startCost.Seconds()*d.startRate + renewCost.Seconds()*float64(d.targets)
	takeover := renewCost.Seconds() * float64(d.targets) / cores
	if needed > maxCarriedShare*cores || takeover > maxTakeoverTime.Seconds() {
		return false
	}
	return m.LinkRate <= 0 || float64(d.targets*targetTrafficKbps) <= maxCarriedShare*float64(m.LinkRate)
}

const (
	// handoverReserve is the part of Bounds.ShutdownTimeout that is left for the handover when a
	// leaving holder stops waiting for a capable successor: a claim of each of two candidates, and
	// the verdicts of the jobs that they take over.
	handoverReserve = time.Second
	// weakSuccessorReserve is the part of the time before handoverReserve in which a weaker candidate may
	// be named: one that is not much weaker than the holder or that carries the demand. Before, the
	// holder waits for one of its own strength, because a takeover occupies a weaker host for longer, and
	// the cell might move to it and back: a restart of the other strong host of a zone takes 2.6 s or
	// more.
	weakSuccessorReserve = time.Second
	// minSuccessorShare is the part of the holder's processor share from which a candidate is of its
	// strength. Shares of equal machines may differ by a few per cent.
	minSuccessorShare = 0.75
	// maxSuccessorWarmUp bounds how long a named successor opens connections to the targets before it
	// claims.
	maxSuccessorWarmUp = 800 * time.Millisecond
	// successorTimeout is how long a named successor has to claim: its warm-up, two heartbeats, and
	// the claim with a scheduling pause.
	successorTimeout = maxSuccessorWarmUp + 400*time.Millisecond
	// successorRetryDelay is how long a successor that has not claimed in time is not named again.
	successorRetryDelay = time.Second
	// successorOpenCount is how many targets a named successor connects to in each tick. At 117
	// targets it takes 0.6 s.
	successorOpenCount = 4
)

// handoverReason is why a leaving holder keeps its cells, hands them over or gives them up.
type handoverReason string

const (
	// keepsNone means that no reachable host that stays could hold the cells.
	keepsNone handoverReason = "no candidate"
	// keepsIncapable means that all candidates are too weak for the cells.
	keepsIncapable handoverReason = "no capable candidate"
	// namesSuccessor means that a capable candidate is asked to claim the cells.
	namesSuccessor handoverReason = "capable candidate"
	// releasesLate means that too little of the shutdown is left to keep the cells.
	releasesLate handoverReason = "shutdown ends"
	// releasesAlone means that no other host is known.
	releasesAlone handoverReason = "no other host"
)

// handover decides how a holder that shuts down leaves its cells. It keeps them until a capable
// candidate is there, which it names as its successor, or until its shutdown nearly ends. Then any
// candidate may claim them. The zero value is that of a holder that has not begun to shut down.
type handover struct {
	keeps       bool
	successor   Member
	namedAt     time.Time
	reason      handoverReason
	unavailable map[string]time.Time // by address, until when a host that did not claim in time is not named
}

// handoverInput is what a handover is decided from.
type handoverInput struct {
	now, leavingSince time.Time
	shutdownTimeout   time.Duration
	holder            Member
	demand            cellDemand
	candidates        []Member // reachable hosts that stay, best first
	hasPeers          bool     // other hosts of the cells are known
}

// isCapable reports whether a candidate may be named now. A host whose strength is not known may.
func (in *handoverInput) isCapable(m Member) bool {
	if m.CPUShare <= 0 || float64(m.CPUShare) >= minSuccessorShare*float64(in.holder.CPUShare) {
		return true
	}
	waited := in.now.Sub(in.leavingSince)
	if waited < in.shutdownTimeout-handoverReserve-weakSuccessorReserve {
		return false
	}
	return !hasMuchLessCPU(m, in.holder) || in.demand.canBeCarriedBy(m)
}

// update decides again. It reports whether other hosts must be told.
func (h *handover) update(in handoverInput) (changed bool) {
	before := *h
	h.keeps, h.reason = true, keepsNone
	switch {
	case !in.hasPeers:
		h.keeps, h.reason = false, releasesAlone
	case in.now.Sub(in.leavingSince) >= in.shutdownTimeout-handoverReserve:
		h.keeps, h.reason = false, releasesLate
	case len(in.candidates) > 0:
		h.reason = keepsIncapable
	}
	named := Member{}
	if h.keeps {
		named = h.nextSuccessor(in)
	}
	if named.Address != "" {
		h.reason = namesSuccessor
	}
	if named.Address != h.successor.Address {
		h.namedAt = in.now
	}
	h.successor = named
	return h.keeps != before.keeps || h.reason != before.reason || h.successor.Address != before.successor.Address
}

// nextSuccessor returns the best capable candidate, or the zero value if there is none. The
// present successor remains while it is a candidate, unless it has not claimed in time.
func (h *handover) nextSuccessor(in handoverInput) Member {
	if h.successor.Address != "" && in.now.Sub(h.namedAt) >= successorTimeout {
		if h.unavailable == nil {
			h.unavailable = make(map[string]time.Time)
		}
		h.unavailable[h.successor.Address] = in.now.Add(successorRetryDelay)
	}
	best := Member{}
	for _, m := range in.candidates {
		if in.now.Before(h.unavailable[m.Address]) || !in.isCapable(m) {
			continue
		}
		if m.Address == h.successor.Address {
			return m
		}
		if best.Address == "" {
			best = m
		}
	}
	return best
}

// updateHandover decides how this host leaves its cells while it shuts down, and tells the other
// hosts at once if that has changed.
func (r *Router) updateHandover() {
	if r.leavingSince.IsZero() || !r.isEnabled(PlannedHandover) {
		return
	}
	if !r.holdsAnyCell() {
		r.handover = handover{}
		return
	}
	in := handoverInput{
		now: r.now, leavingSince: r.leavingSince, shutdownTimeout: r.Bounds.ShutdownTimeout, holder: r.Self,
		demand: r.heldDemand(), candidates: r.candidates(r.Self.Zone), hasPeers: r.cellHostCount() > 1,
	}
	if !r.handover.update(in) {
		return
	}
	r.lastHeartbeatAt = time.Time{}
	action := "release"
	if r.handover.keeps {
		action = "keep"
	}
	if r.handover.successor.Address != "" {
		action = "handover"
	}
	r.emit(Decision{Action: action, Pairs: []any{
		"reason", r.handover.reason, "successor", r.handover.successor.Name, "after", r.formatAge(r.leavingSince), "candidates", len(in.candidates),
		"targets", in.demand.targets, "rate", int(in.demand.startRate), "share", strongestShare(in.candidates),
	}})
}

// strongestShare returns the processor share of the first candidate, in thousandths of a core.
func strongestShare(candidates []Member) int {
	if len(candidates) == 0 {
		return 0
	}
	return candidates[0].CPUShare
}

// heldDemand returns the demand of the cells that this host holds.
func (r *Router) heldDemand() cellDemand {
	return cellDemand{targets: len(r.targets), startRate: r.startRate.perSecond(r.now)}
}

// keepingHolder returns the holder of a cell if it shuts down but still decides over the cell, else
// nil. Hosts of earlier builds do not send that, and are replaced as soon as they leave.
func (r *Router) keepingHolder(c *cell) *peer {
	p := r.peers[c.claim.Holder.Address]
	if c.heldHere || p == nil || !p.leaving || !p.keepsCells || !r.isEnabled(PlannedHandover) || r.reachableHolder(c.zone) == nil {
		return nil
	}
	return p
}

// isKept reports whether the reachable holder of a cell shuts down but still decides over the cell.
func (r *Router) isKept(c *cell) bool {
	if c.heldHere {
		return !r.leavingSince.IsZero() && r.handover.keeps
	}
	return r.keepingHolder(c) != nil
}

// isReadySuccessor reports whether this host should claim a cell from its leaving holder now: the
// holder has named it, and it has connected to the cell's targets or has had the time to do so.
func (r *Router) isReadySuccessor(c *cell, holder *peer) bool {
	if holder.successor != r.Self.Address {
		c.namedSince = time.Time{}
		return false
	}
	if c.namedSince.IsZero() {
		c.namedSince = r.now
	}
	return r.now.Sub(c.namedSince) >= maxSuccessorWarmUp || !r.isEnabled(StandbyConnections) || r.unconnectedTarget() == nil
}

// isNamedSuccessor reports whether the leaving holder of this host's cell has named this host.
func (r *Router) isNamedSuccessor() bool {
	c := r.cells[r.Self.Zone]
	if c == nil {
		return false
	}
	p := r.keepingHolder(c)
	return p != nil && p.successor == r.Self.Address
}

// eventRate measures how often something happens.
type eventRate struct {
	since time.Time // start of the present window
	count int
	rate  float64 // a second, as of the last complete window
}

const (
	// rateWindow is the time over which events are counted.
	rateWindow = time.Second
	// minRateWindow is the part of a window from which its events give a rate.
	minRateWindow = 200 * time.Millisecond
	// rateDecay is what is left of a higher rate after each window, so that the troughs of waves of 11
	// to 15 s do not hide their peaks.
	rateDecay = 0.95
)

func (e *eventRate) add(now time.Time) {
	e.roll(now)
	e.count++
}

// perSecond returns the recent peak of the rate.
func (e *eventRate) perSecond(now time.Time) float64 {
	e.roll(now)
	if elapsed := now.Sub(e.since); elapsed >= minRateWindow {
		return max(e.rate, float64(e.count)/elapsed.Seconds())
	}
	return e.rate
}

// roll closes the present window if it is complete.
func (e *eventRate) roll(now time.Time) {
	if e.since.IsZero() {
		e.since = now
	}
	if elapsed := now.Sub(e.since); elapsed >= rateWindow {
		e.rate = max(float64(e.count)/elapsed.Seconds(), e.rate*rateDecay)
		e.since, e.count = now, 0
	}
}

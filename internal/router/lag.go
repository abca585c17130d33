package router

import (
	"slices"
	"time"
)

const (
	// maxLagAllowance bounds by how much longer than Bounds.PeerTimeout a busy host may be silent. It
	// covers the 300 to 400 ms for which a takeover occupies a host of 0.2 cores.
	maxLagAllowance = 400 * time.Millisecond
	// takeoverPeriod is how long after its claim a holder that is much weaker than the best known host
	// is expected to be busy with the takeover.
	takeoverPeriod = time.Second
)

// lagMeter measures by how much the ticks of this host come late, because its processor is busy or
// it was not scheduled.
type lagMeter struct {
	lastTickAt     time.Time
	previousTickAt time.Time
	lag            time.Duration
	measuredAt     time.Time
}

// tick records a tick. Delays of up to the tolerance are usual and do not count.
func (l *lagMeter) tick(now time.Time, interval, tolerance time.Duration) {
	late := now.Sub(l.lastTickAt) - interval
	if !l.lastTickAt.IsZero() && late > tolerance {
		l.lag, l.measuredAt = min(late, maxLagAllowance), now
	}
	l.previousTickAt, l.lastTickAt = l.lastTickAt, now
}

// recent returns the last lag, unless it was measured longer ago than the period.
func (l *lagMeter) recent(now time.Time, period time.Duration) time.Duration {
	if now.Sub(l.measuredAt) > period {
		return 0
	}
	return l.lag
}

// currentLag returns by how much this host was recently late.
func (r *Router) currentLag() time.Duration { return r.lag.recent(r.now, r.Bounds.PeerTimeout) }

// lagAllowance returns by how much longer than the usual timeout a peer may be silent. It tells a busy
// host from a lost one: either host's ticks come late, or the peer has just taken over a cell for
// which it is weak.
func (r *Router) lagAllowance(p *peer) time.Duration {
	if !r.isEnabled(BusyHostPatience) || !r.hasWeakSide(p) {
		return 0
	}
	allowance := r.currentLag() + p.lag
	if r.isInTakeover(p) {
		allowance = maxLagAllowance
	}
	return min(allowance, maxLagAllowance)
}

// claimCaution returns how much longer than usual this host waits before it claims a cell whose holder
// does not answer. While this host is late itself, the answers may wait at its own processor.
func (r *Router) claimCaution(c *cell) time.Duration {
	p := r.peers[c.claim.Holder.Address]
	if r.currentLag() == 0 || p == nil || p.exited || p.leaving || !r.isEnabled(BusyHostPatience) || !r.hasWeakSide(p) {
		return 0
	}
	return maxLagAllowance
}

// hasWeakSide reports whether this host or a peer is much weaker than another known host of this host's
// cells. Among equal hosts, a host that is late for a moment does not wait longer for a lost one: all
// hosts are late when they start again after the loss of all.
func (r *Router) hasWeakSide(p *peer) bool {
	return r.hasMuchStrongerHost(r.Self) || r.hasMuchStrongerHost(p.member)
}

// isInTakeover reports whether a peer has recently claimed a cell although it is much weaker than the
// best known host of the cell. The orders of the takeover delay its heartbeats.
func (r *Router) isInTakeover(p *peer) bool {
	for zone, c := range r.cells {
		if c.claim.Holder.Address == p.member.Address && r.sharesCells(zone) && r.now.Sub(c.claimReceivedAt) < takeoverPeriod && r.hasMuchStrongerHost(p.member) {
			return true
		}
	}
	return false
}

// withoutReplaced leaves out the weak hosts that were recently replaced as holders because they did not
// answer, unless there is no other candidate: the next takeover would keep them as busy.
func (r *Router) withoutReplaced(candidates []Member) []Member {
	if !r.isEnabled(BusyHostPatience) {
		return candidates
	}
	isReplaced := func(m Member) bool {
		at := r.replacedAt
		if p := r.peers[m.Address]; p != nil {
			at = p.replacedAt
		}
		return !at.IsZero() && r.now.Sub(at) < successorExclusionPeriod && r.hasMuchStrongerHost(m)
	}
	if !slices.ContainsFunc(candidates, func(m Member) bool { return !isReplaced(m) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, isReplaced)
}

// recordReplacement records that the next holder of a cell replaces one that is not reachable, or
// this host, unless a much stronger host does that.
func (r *Router) recordReplacement(c *cell, next Member) {
	p := r.peers[c.claim.Holder.Address]
	switch {
	case c.heldHere && !hasMuchLessCPU(r.Self, next):
		r.replacedAt = r.now
	case p != nil && !p.exited && !p.leaving && !r.isReachable(p):
		p.replacedAt = r.now
	}
}

// hasMuchStrongerHost reports whether a known host of this host's cells is much stronger than a member.
func (r *Router) hasMuchStrongerHost(m Member) bool {
	if hasMuchLessCPU(m, r.Self) {
		return true
	}
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) && hasMuchLessCPU(m, p.member) {
			return true
		}
	}
	return false
}

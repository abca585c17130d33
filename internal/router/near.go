package router

import (
	"cmp"
	"slices"
	"time"
)

const (
	// successors is how many of the next holders of a cell all its hosts stay in
	// close touch with, so that a takeover starts from fresh knowledge: two fail
	// together now and then.
	successors = 2
	// moreSuccessors is how many they are while the cell lacks a holder: after the
	// loss of half of all hosts, five in a row are lost in one of 32 cases.
	moreSuccessors = 5
	// askFor is how long a peer is sent the heartbeats that it has asked for: several
	// of its own.
	askFor = time.Second
	// deadFor is how long a host that did not answer is passed over as a successor,
	// unless it is heard of.
	deadFor = 5 * time.Second
	// farRounds is how many heartbeats in a row a peer that is not near may miss.
	farRounds = 3
	// claimsEvery is the period at which claims are told that have not changed: a
	// heartbeat that was lost is made up for before its sender counts as silent.
	claimsEvery = 400 * time.Millisecond
	// teachEvery is the period at which a holder tells what it has learned.
	teachEvery = time.Second
)

// related reports whether a cell is shared with the hosts of a zone: with all
// while one host holds every cell, otherwise with those of this host's zone.
func (r *Router) related(zone string) bool { return zone == r.Self.Zone || !r.split }

// relatives counts the known hosts of this host's cells, itself included.
func (r *Router) relatives() int {
	count := 1
	for _, p := range r.peers {
		if r.related(p.member.Zone) {
			count++
		}
	}
	return count
}

// silence returns how long a peer may be unheard. One that has only just become near
// is given the time of an answer first.
func (r *Router) silence(p *peer) time.Duration {
	if p.near && r.isSettled(p) {
		return r.Bounds.PeerTimeout
	}
	return r.farSilence()
}

// isSettled reports whether a near peer has had the time to answer.
func (r *Router) isSettled(p *peer) bool { return r.now.Sub(p.nearSince) >= r.Bounds.PeerTimeout/2 }

// farSilence returns how long peers that are not near may be unheard.
func (r *Router) farSilence() time.Duration {
	return max(r.Bounds.PeerTimeout, farRounds*time.Duration(len(r.peers))*r.Bounds.BackgroundInterval)
}

// forgetAfter returns when an unheard peer no longer counts as a member.
func (r *Router) forgetAfter() time.Duration { return max(r.Bounds.MemberExpiry, r.farSilence()) }

// isPresumedAlive reports whether a peer may be alive as far as is known.
func (r *Router) isPresumedAlive(p *peer) bool {
	return !p.leaving && !p.severed && p.member.Slot > 0 && (p.dead.IsZero() || r.now.Sub(p.dead) > deadFor)
}

// precede orders candidates for cells: strong hosts first.
func precede(a, b Member) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Address, b.Address))
}

// hubs returns the addresses of the hosts that all hosts of a cell stay in close
// touch with: its holder and those that would hold it next. Other hosts need not
// hear of each other often, so a host's heartbeats do not grow with their number.
func (r *Router) hubs() map[string]bool {
	hubs := make(map[string]bool)
	for zone, c := range r.cells {
		if c.claim.Token > 0 && r.related(zone) {
			hubs[c.claim.Holder.Address] = true
		}
	}
	most := successors
	if c := r.cells[r.Self.Zone]; c != nil && !c.absent.IsZero() {
		most = moreSuccessors
	}
	list := make([]Member, 0, len(r.peers)+1)
	if r.Self.Slot > 0 && r.leaving.IsZero() {
		list = append(list, r.Self)
	}
	for _, p := range r.peers {
		if r.isPresumedAlive(p) && r.related(p.member.Zone) && !hubs[p.member.Address] {
			list = append(list, p.member)
		}
	}
	slices.SortFunc(list, precede)
	for _, m := range list[:min(most, len(list))] {
		hubs[m.Address] = true
	}
	return hubs
}

// updateNearPeers decides which peers are near.
func (r *Router) updateNearPeers() {
	r.updateSplit()
	r.hub = r.hubs()
	r.meshed = r.relatives() <= r.Bounds.FullMeshHosts
	for _, p := range r.peers {
		r.updateNear(p)
	}
}

// updateNear decides whether a peer is near: it has asked to be, or one of the two holds
// the other's cell or would hold it next.
func (r *Router) updateNear(p *peer) {
	near := !p.asked.IsZero() && r.now.Sub(p.asked) < askFor || r.needsHeartbeats(p)
	if near && !p.near {
		p.nearSince = r.now
		r.dial(p)
	}
	p.near = near
}

// needsHeartbeats reports whether this host needs a peer's heartbeats at the short period.
func (r *Router) needsHeartbeats(p *peer) bool {
	if c := r.cells[p.member.Zone]; c != nil && c.mine || r.hub[p.member.Address] {
		return true
	}
	return r.related(p.member.Zone) && (r.meshed || r.hub[r.Self.Address])
}

// beat sends heartbeats when they are due.
func (r *Router) beat() {
	if r.now.Sub(r.beaten) >= r.Bounds.HeartbeatInterval {
		r.beatNow()
	}
	if r.now.Sub(r.beatenFar) >= r.Bounds.BackgroundInterval {
		r.beatenFar = r.now
		r.beatFar()
	}
}

// beatNow sends a heartbeat to every near peer.
func (r *Router) beatNow() {
	r.beaten = r.now
	r.updateNearPeers()
	b := r.heartbeat()
	if r.holds() && r.now.Sub(r.taught) >= teachEvery {
		r.taught = r.now
		b.Routes, b.Speeds = r.lessons()
	}
	claims := r.claims()
	for _, p := range r.sortedPeers() {
		if !p.near {
			continue
		}
		r.dial(p)
		to := b
		to.Echo, to.WantsHeartbeats = p.sent, r.needsHeartbeats(p)
		if !p.claimed.After(r.reclaimed) || r.now.Sub(p.claimed) >= claimsEvery {
			to.Claims, p.claimed = claims, r.now
		} else {
			to.Member = Member{Incarnation: r.Self.Incarnation}
		}
		r.send(p, Message{Heartbeat: &to})
	}
}

// beatFar sends a heartbeat to the related peer that has waited for one longest.
func (r *Router) beatFar() {
	var next *peer
	for _, p := range r.sortedPeers() {
		if !p.near && r.related(p.member.Zone) && (next == nil || p.claimed.Before(next.claimed)) {
			next = p
		}
	}
	if next != nil {
		r.dial(next)
		r.beatTo(next)
	}
}

// claims returns the cells whose holders are known and matter to this host's zone.
func (r *Router) claims() []Claim {
	var claims []Claim
	for _, zone := range sortedKeys(r.cells) {
		if c := r.cells[zone]; c.claim.Token > 0 && (c.mine || r.related(zone)) {
			claim := c.claim
			claim.RowVersion = c.row
			claims = append(claims, claim)
		}
	}
	return claims
}

// beatTo sends a whole heartbeat to one peer.
func (r *Router) beatTo(p *peer) {
	b := r.heartbeat()
	b.Echo, b.Claims, b.WantsHeartbeats = p.sent, r.claims(), r.needsHeartbeats(p)
	p.claimed = r.now
	r.send(p, Message{Heartbeat: &b})
}

// directoryDue reports whether a peer that lacks the directory in force is sent it now:
// those that might hold the cell next at once, and others in turn.
func (r *Router) directoryDue(p *peer) bool {
	since := r.now.Sub(p.toldTargets)
	if p.directory == 0 || r.meshed || r.hub[p.member.Address] {
		return p.toldDirectory < r.directory.Version || since >= shareAgain
	}
	return since >= directoryAgain
}

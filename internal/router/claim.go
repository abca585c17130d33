package router

import (
	"slices"
	"time"
)

// pendingClaim is a claim under way.
type pendingClaim struct {
	token uint64
	zones []string
	since time.Time
}

const (
	// claimTimeout bounds the wait for the store, which usually answers in 12 to
	// 16 ms, to a twentieth of the time without a holder that clients accept (1 s).
	claimTimeout = 60 * time.Millisecond
	// maxBackoff is how often the wait between claims may double.
	maxBackoff = 16
	// publishEvery is the pause between two tries to write a claim.
	publishEvery = 500 * time.Millisecond
)

// candidates returns the members that could hold a zone's cell, best first. All
// hosts that see the same members agree on the order.
func (r *Router) candidates(zone string) []Member {
	var list []Member
	if r.Self.Slot > 0 && r.leaving.IsZero() {
		list = append(list, r.Self)
	}
	for _, p := range r.peers {
		if r.reaches(p) && !p.leaving && p.member.Slot > 0 {
			list = append(list, p.member)
		}
	}
	if r.split {
		list = slices.DeleteFunc(list, func(m Member) bool { return m.Zone != zone })
	}
	slices.SortFunc(list, precede)
	return list
}

// targetTraffic is what a target costs its holder on the network in kilobits a second:
// eight starts of 1 KB with their answers.
const targetTraffic = 100

// updateSplit decides whether each zone should have a holder of its own, because no one
// host can carry all targets with its processor and half of its link.
func (r *Router) updateSplit() {
	r.link = max(r.link, r.Self.LinkRate)
	for _, p := range r.peers {
		r.link = max(r.link, p.member.LinkRate)
	}
	r.split = r.total > r.Bounds.MaxSharedTargets || r.link > 0 && r.total > r.link/(2*targetTraffic)
}

// countTargets takes the number of targets in some version of the platform's list.
// Hosts that are not told the list itself have to agree on whether zones are split.
func (r *Router) countTargets(version uint64, total int) {
	if version > r.counted {
		r.counted, r.total = version, total
		r.updateSplit()
	}
}

// claimCells claims the cells that lack a holder, or that should have another.
func (r *Router) claimCells() {
	if r.claiming != nil {
		r.expireClaim()
		return
	}
	if r.Self.Slot == 0 || !r.leaving.IsZero() || r.now.Sub(r.started) < r.settleTime() {
		return
	}
	var zones []string
	for _, zone := range sortedKeys(r.cells) {
		if r.shouldClaim(r.cells[zone]) {
			zones = append(zones, zone)
		}
	}
	if len(zones) > 0 {
		r.claim(zones)
	}
}

// settleTime returns how long this host listens for holders after its start: not at
// all where the last one is known to be dead. A weak host leaves stronger ones, which may
// start as well, a moment to come first.
func (r *Router) settleTime() time.Duration {
	for _, c := range r.cells {
		if c.claim.Token == 0 || r.mayReturn(c) {
			return r.Bounds.StartupDelay
		}
	}
	if r.isMuchWeaker() {
		return r.Bounds.StartupDelay / 4
	}
	return 0
}

// isMuchWeaker reports whether a known host that shares this one's cells is much stronger.
func (r *Router) isMuchWeaker() bool {
	for _, p := range r.peers {
		if r.related(p.member.Zone) && weak(r.Self, p.member) {
			return true
		}
	}
	return false
}

// shouldClaim reports whether this host should claim a cell now.
func (r *Router) shouldClaim(c *cell) bool {
	if c.mine || r.now.Before(c.retry) || !c.absent.IsZero() && r.mayReturn(c) {
		return false
	}
	list := r.candidates(c.zone)
	rank := slices.IndexFunc(list, func(m Member) bool { return m.Address == r.Self.Address })
	if rank < 0 || !r.hasFreshView() || !r.hasMajority(c.zone) && !r.isOrphaned(c) {
		return false
	}
	if !c.absent.IsZero() {
		return r.now.Sub(c.absent) >= time.Duration(rank)*r.Bounds.ClaimStagger
	}
	return r.shouldMerge(c, list)
}

// hasFreshView reports whether this host has just heard from those of its cell that live, so
// that it can tell which side of a cut it is on.
func (r *Router) hasFreshView() bool {
	if !r.meshed && !r.hub[r.Self.Address] {
		return false
	}
	for _, p := range r.peers {
		if r.related(p.member.Zone) && !p.near || p.near && p.met && !r.isSettled(p) && r.now.Sub(p.echoed) > r.Bounds.PeerTimeout {
			return false
		}
	}
	return true
}

// weak reports whether a host has less than half the processor share of the best,
// so that a cell is worth moving.
func weak(m, best Member) bool { return 2*m.CPUShare < best.CPUShare }

// mayReturn reports whether the holder of a cell was heard of so lately that it may
// only not be in touch yet. One that is known to leave or to be dead is not
// waited for.
func (r *Router) mayReturn(c *cell) bool {
	h := c.claim.Holder
	wait := r.Bounds.PeerTimeout
	if c.learned.Sub(r.started) < r.Bounds.StartupDelay && r.isHolderless() {
		wait /= 4 // a living holder would have answered one of them by now
	}
	if r.now.Sub(c.learned) >= wait || r.isLeaving(h) || h.Address == r.Self.Address {
		return false
	}
	p := r.peers[h.Address]
	return p == nil || !p.met || p.member.Incarnation <= h.Incarnation
}

// isHolderless reports whether this host reaches others, none of which reaches a holder.
// All have started a moment ago, or the holder is dead.
func (r *Router) isHolderless() bool {
	alone := true
	for _, p := range r.peers {
		if p.near && r.reaches(p) {
			alone = false
			if p.held {
				return false
			}
		}
	}
	return !alone
}

// shouldMerge reports whether this host takes a cell from its living holder: the one that
// holds the most cells unites them once both have been in touch for a while, so that
// the fewest targets change hands.
func (r *Router) shouldMerge(c *cell, list []Member) bool {
	first := list[0]
	if !r.split {
		at, most := -1, 0
		for i, m := range list {
			if n := r.heldBy(m); n > most {
				at, most = i, n
			}
		}
		if at < 0 {
			return false
		}
		if !weak(list[at], first) {
			first = list[at]
		}
	} else if c.claim.Holder.Zone == c.zone && !weak(c.claim.Holder, first) {
		return false // any strong host of the zone will do
	}
	if first.Address != r.Self.Address {
		c.rivals = time.Time{}
		return false
	}
	if c.rivals.IsZero() {
		c.rivals = r.now
	}
	p := r.peers[c.claim.Holder.Address]
	return p != nil && r.now.Sub(c.rivals) >= r.Bounds.MergeDelay && r.now.Sub(p.since) >= r.Bounds.MergeDelay
}

// heldBy returns how many cells a member holds.
func (r *Router) heldBy(m Member) int {
	held := 0
	for zone := range r.cells {
		if h := r.holderOf(zone); h != nil && h.Address == m.Address {
			held++
		}
	}
	return held
}

// isOrphaned reports whether a cell has lacked a holder for so long that no other
// host seems able to claim it. Then the store decides alone.
func (r *Router) isOrphaned(c *cell) bool {
	return !c.absent.IsZero() && r.now.Sub(c.absent) >= 3*r.Bounds.PeerTimeout
}

// hasMajority reports whether this host is on the side of a cut that should
// serve a zone: with most of the zone's hosts, or with most of all hosts.
func (r *Router) hasMajority(zone string) bool {
	zoneAll, zoneIn, all, in := 0, 0, 1, 1
	left, silent := 0, 0
	if r.Self.Zone == zone {
		zoneAll, zoneIn = 1, 1
	}
	for _, p := range r.peers {
		if !r.related(p.member.Zone) || p.severed && !r.reaches(p) {
			continue
		}
		if p.leaving && !r.reaches(p) {
			left++
			continue // it has not been cut off, it has left
		}
		if !p.met {
			continue
		}
		reached, same := r.reaches(p), p.member.Zone == zone
		all, in = all+1, in+one(reached)
		silent += one(!reached)
		zoneAll, zoneIn = zoneAll+one(same), zoneIn+one(same && reached)
	}
	if silent > 1 {
		all += left // a cut, behind which they may be back by now
	}
	if 2*in > all || zoneIn > 0 && 2*zoneIn > zoneAll {
		return true
	}
	return zoneIn > 0 && 2*zoneIn == zoneAll && 2*in >= all
}

// one returns 1 for true.
func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// claim begins to claim cells under a new token, through the store.
func (r *Router) claim(zones []string) {
	r.generation++
	token := r.token(r.generation)
	r.claiming = &pendingClaim{token: token, zones: zones, since: r.now}
	rows := make([]StoredClaim, len(zones))
	for i, zone := range zones {
		c := r.cells[zone]
		rows[i] = StoredClaim{Claim: Claim{Zone: zone, Token: token, Holder: r.Self}, Version: c.row}
		r.emit(Decision{Action: "claim", Pairs: []any{
			"zone", zone, "token", token, "before", c.claim.Holder.Name, "absent", r.since(c.absent), "members", len(r.candidates(zone)),
		}})
	}
	r.emit(WriteClaims{Token: token, Rows: rows})
}

// since returns the age of a moment for the log, or "" for none.
func (r *Router) since(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return r.now.Sub(at).Round(time.Millisecond).String()
}

// giveUpStake goes on without the store when it does not answer. Targets obey
// the highest token, so two hosts that do so cannot both start tasks on one.
func (r *Router) expireClaim() {
	age := r.now.Sub(r.claiming.since)
	if age < claimTimeout || age < r.Bounds.PeerTimeout && r.hasStalePeer() {
		return
	}
	r.claimed(ClaimsWritten{Token: r.claiming.token, Result: ClaimTimeout})
}

// hasStalePeer reports whether a peer has been heard of too long ago to tell whether it is
// on this host's side of a cut: two and a half heartbeats.
func (r *Router) hasStalePeer() bool {
	for _, p := range r.peers {
		if p.near && r.reaches(p) && r.now.Sub(p.echoed) > r.Bounds.PeerTimeout/2 {
			return true
		}
	}
	return false
}

// claimed ends a claim.
func (r *Router) claimed(e ClaimsWritten) {
	news := r.learnRows(e)
	p := r.claiming
	if p == nil || p.token != e.Token {
		return
	}
	r.claiming = nil
	r.emit(Decision{Action: "claimed", Pairs: []any{"token", p.token, "result", e.Result, "age", r.since(p.since)}})
	switch {
	case e.Result == ClaimConflict && news:
		r.postpone(p.zones)
		return
	case e.Result == ClaimConflict:
		return // only the versions of the rows were not known; the next tick claims again
	}
	for _, zone := range p.zones {
		if e.Result == ClaimTimeout && !r.hasMajority(zone) {
			r.postpone([]string{zone})
		} else if c := r.cells[zone]; c.claim.Token < p.token {
			c.unwritten = e.Result == ClaimTimeout
			r.acquire(c, p.token)
		}
	}
	r.beatNow()
	r.asked = r.now
	r.emit(ReadDirectory{})
}

// learnRows takes what the store has of claims, and reports whether that is newer than
// what was known.
func (r *Router) learnRows(e ClaimsWritten) (news bool) {
	awaited := r.claiming != nil && r.claiming.token == e.Token
	for _, row := range e.Rows {
		c := r.cell(row.Claim.Zone)
		if e.Result == ClaimConflict {
			c.row = row.Version // as the store has it, whatever heartbeats have told
		}
		c.row = max(c.row, row.Version)
		if e.Result == ClaimWon && row.Claim.Token == c.claim.Token {
			c.unwritten = false
		}
		if row.Claim.Token > c.claim.Token && (e.Result != ClaimWon || !awaited) {
			news = true
			r.learn(row.Claim)
		}
	}
	return news
}

// postpone keeps this host from claiming the cells for a while.
func (r *Router) postpone(zones []string) {
	for _, zone := range zones {
		c := r.cells[zone]
		c.backoff = min(max(2*c.backoff, r.Bounds.ClaimBackoff), maxBackoff*r.Bounds.ClaimBackoff)
		c.retry = r.now.Add(c.backoff)
	}
}

// publishClaims writes claims to the store that were made while it was away, so that
// hosts that start anew go on from the highest token.
func (r *Router) publishClaims() {
	for _, zone := range sortedKeys(r.cells) {
		c := r.cells[zone]
		if !c.mine || !c.unwritten || r.now.Sub(c.published) < publishEvery {
			continue
		}
		c.published = r.now
		r.emit(WriteClaims{Token: c.claim.Token, Rows: []StoredClaim{{Claim: c.claim, Version: c.row}}})
	}
}

package router

import "time"

// cell is the targets of one availability zone, under one holder.
type cell struct {
	zone       string
	claim      Claim
	rowVersion uint64 // version of the claim's row in the store
	heldHere   bool
	// acquiredAt is when this host became the holder.
	acquiredAt       time.Time
	holderlessSince  time.Time // since when no live holder is known
	noClaimUntil     time.Time // no claim before
	claimBackoff     time.Duration
	mergeWantedSince time.Time // since when the holder should be another
	fenced           bool      // targets obey a token that is not known here
	claimReceivedAt  time.Time // when the claim in force was heard of
	// unwritten tells that the store has not taken the claim yet; published is
	// when it was last told.
	unwritten   bool
	lastWriteAt time.Time
}

const (
	// slotBits and lifeBits are the parts of a token below the generation: the
	// member's slot, and its lives, so that no two processes share a token.
	slotBits    = 16
	slotUseBits = 10
	// lostJobsDropDelay is the time from the loss of a cell to the end of its jobs: two
	// heartbeats.
	lostJobsDropDelay = 200 * time.Millisecond
)

// tokenFor returns the token of this process in a generation. No two processes
// share one.
func (r *Router) tokenFor(generation uint64) uint64 {
	processBits := uint64(r.Self.Slot)<<slotUseBits | uint64(r.slotUses)&(1<<slotUseBits-1)
	return generation<<(slotBits+slotUseBits) | processBits
}

// generationOf returns the generation of a token.
func generationOf(token uint64) uint64 { return token >> (slotBits + slotUseBits) }

func (r *Router) cell(zone string) *cell {
	c := r.cells[zone]
	if c == nil {
		c = &cell{zone: zone}
		r.cells[zone] = c
	}
	return c
}

// applyClaim takes a claim that was heard of. The highest token is in force.
func (r *Router) applyClaim(claim Claim) {
	r.generation = max(r.generation, generationOf(claim.Token))
	c := r.cell(claim.Zone)
	c.rowVersion = max(c.rowVersion, claim.RowVersion)
	claim.RowVersion = 0
	if claim.Token <= c.claim.Token {
		return
	}
	if claim.Holder.Address == r.Self.Address && claim.Holder.Incarnation == r.Self.Incarnation {
		r.confirmClaim(c, claim.Token)
		return
	}
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "holder", claim.Holder.Name, "token", claim.Token, "before", c.claim.Holder.Name}})
	c.claim, c.fenced, c.claimBackoff, c.claimReceivedAt = claim, false, 0, r.now
	r.lastClaimChangeAt = r.now
	c.holderlessSince, c.mergeWantedSince = time.Time{}, time.Time{}
	r.addPeer(claim.Holder)
	if c.heldHere {
		r.releaseCell(c)
	}
}

// confirmClaim takes a claim of this process that it has given up for want of an answer: the
// store has written it later, and the other hosts go by it.
func (r *Router) confirmClaim(c *cell, token uint64) {
	if !r.leavingSince.IsZero() || r.pendingClaim != nil && r.pendingClaim.token == token {
		return // others take over, or the answer is under way
	}
	r.acquireCell(c, token)
}

// reachableHolder returns the member that holds a zone's cell and can be reached, or
// nil.
func (r *Router) reachableHolder(zone string) *Member {
	c := r.cells[zone]
	if c == nil || c.claim.Token == 0 {
		return nil
	}
	if c.heldHere {
		return &r.Self
	}
	p := r.peers[c.claim.Holder.Address]
	if c.fenced || p == nil || p.member.Incarnation != c.claim.Holder.Incarnation || !r.isReachable(p) {
		return nil
	}
	return &c.claim.Holder
}

// trackMissingHolders notes since when each cell lacks a holder.
func (r *Router) trackMissingHolders() {
	for _, zone := range sortedKeys(r.cells) {
		c := r.cells[zone]
		if !r.sharesCells(zone) && !c.heldHere {
			c.holderlessSince = time.Time{}
			continue
		}
		holder := r.reachableHolder(zone)
		if holder != nil && !r.isLeaving(*holder) {
			c.holderlessSince = time.Time{}
			continue
		}
		if c.holderlessSince.IsZero() {
			c.holderlessSince = r.now
			r.lastHeartbeatAt = time.Time{} // more hosts have to be heard of now
			if c.claim.Token > 0 {
				r.emit(Decision{Action: "holder", Pairs: []any{"zone", zone, "holder", c.claim.Holder.Name, "state", "lost", "leaving", holder != nil}})
			}
		}
	}
}

func (r *Router) isLeaving(m Member) bool {
	if m.Address == r.Self.Address {
		return !r.leavingSince.IsZero()
	}
	p := r.peers[m.Address]
	return p != nil && p.leaving
}

// acquireCell makes this host the holder of a cell.
func (r *Router) acquireCell(c *cell, token uint64) {
	if _, pending := r.lostJobsDropAt[c.zone]; pending {
		// Another host has had the jobs meanwhile; what is known here is stale.
		delete(r.lostJobsDropAt, c.zone)
		r.dropJobsOfZone(c.zone)
	}
	c.claim = Claim{Zone: c.zone, Token: token, Holder: r.Self}
	c.heldHere, c.acquiredAt, c.fenced = true, r.now, false
	r.lastClaimChangeAt = r.now
	c.holderlessSince, c.mergeWantedSince = time.Time{}, time.Time{}
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "holder", r.Self.Name, "token", token}})
	r.syncTargets()
	r.offerAllRequests()
}

// releaseCell gives up a cell that another host has claimed, or that targets refuse.
func (r *Router) releaseCell(c *cell) {
	c.heldHere = false
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "state", "given up", "held", r.formatAge(c.acquiredAt)}})
	for _, id := range sortedKeys(r.targets) {
		if t := r.targets[id]; t.Zone == c.zone {
			r.releaseTarget(t)
		}
	}
	r.lostJobsDropAt[c.zone] = r.now.Add(lostJobsDropDelay)
	r.offerAllRequests()
}

// dropLostJobs drops the jobs of cells that were lost a moment ago. The delay lets
// the claims of all cells arrive: where the next holder has them all, it takes
// over what runs, and nothing is stopped.
func (r *Router) dropLostJobs() {
	for _, zone := range sortedKeys(r.lostJobsDropAt) {
		if !r.now.Before(r.lostJobsDropAt[zone]) {
			delete(r.lostJobsDropAt, zone)
			r.dropJobsOfZone(zone)
		}
	}
}

// handleFenced takes a target's word that it obeys a higher token than this host's.
func (r *Router) handleFenced(t *target, token uint64) {
	c := r.cells[t.Zone]
	if c == nil || !c.heldHere || c.claim.Token != token {
		return
	}
	c.fenced = true
	r.generation++
	r.postponeClaims([]string{c.zone})
	r.releaseCell(c)
}

// handleRegistered takes this host's slot and what else the store has.
func (r *Router) handleRegistered(e Registered) {
	if e.Slot > 0 && r.Self.Slot == 0 {
		r.Self.Slot, r.slotUses = e.Slot, e.SlotUses
		r.emit(Decision{Action: "enrol", Pairs: []any{"slot", e.Slot, "life", e.SlotUses, "members", len(e.Members)}})
	}
	for _, m := range e.Members {
		r.addPeer(m)
	}
	for _, row := range e.Claims {
		c := r.cell(row.Claim.Zone)
		c.rowVersion = max(c.rowVersion, row.Version)
		r.applyClaim(row.Claim)
	}
	r.sendHeartbeats()
}

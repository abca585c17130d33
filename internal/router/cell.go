package router

import "time"

// cell is the state of the targets of one availability zone, which have one holder.
type cell struct {
	zone       string
	claim      Claim
	rowVersion uint64 // version of the claim's row in the store
	heldHere   bool
	// listed is true if the current directory has the zone's targets. Where each zone has a
	// holder of its own, hosts keep the targets of their own zone and of held cells only.
	listed bool
	// acquiredAt is when this host became the holder.
	acquiredAt       time.Time
	holderlessSince  time.Time // since when no holder is reachable, or the holder is leaving; zero otherwise
	noClaimUntil     time.Time // this host does not claim the cell before
	claimBackoff     time.Duration
	mergeWantedSince time.Time // since when this host should hold the cell instead of the reachable holder
	fenced           bool      // targets obey a higher token, whose claim is not known here
	claimReceivedAt  time.Time // when the current claim was received
	namedSince       time.Time // since when the leaving holder names this host as its successor
	// unwritten is true while this host's claim is not in the store yet; lastWriteAt is
	// when the last attempt to write it was made.
	unwritten   bool
	lastWriteAt time.Time
}

const (
	// slotBits and slotUseBits are the widths of the lower parts of a token: the
	// member's slot and the count of the slot's uses. Together they keep the tokens of
	// any two processes different.
	slotBits    = 16
	slotUseBits = 10
	// lostJobsDropDelay is the time from the loss of a cell to the dropping of its
	// jobs. It covers two heartbeats.
	lostJobsDropDelay = 200 * time.Millisecond
)

// tokenFor returns the fencing token of this process in a generation. No two processes
// share a token.
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

// raiseRowVersion takes over a version of the claim's row that is newer than the known one, unless
// no row can have it.
func (c *cell) raiseRowVersion(version uint64) {
	if version <= maxVersion {
		c.rowVersion = max(c.rowVersion, version)
	}
}

// applyClaim updates a cell with a received claim. The claim with the highest token is
// the current one. A claim that names this process is ignored unless its token is one of this
// process, since no two processes may use the same one.
func (r *Router) applyClaim(claim Claim) {
	r.generation = max(r.generation, generationOf(claim.Token))
	c := r.cell(claim.Zone)
	c.raiseRowVersion(claim.RowVersion)
	claim.RowVersion = 0
	if claim.Token <= c.claim.Token {
		return
	}
	if err := claim.Holder.Check(); err != nil {
		r.emit(Decision{Action: "ignore", Pairs: []any{"kind", "holder", "zone", claim.Zone, "error", err.Error()}})
		claim.Holder = Member{} // unknown and never reachable, so that the cell is claimed under a higher token
	}
	if claim.Holder.Address == r.Self.Address && claim.Holder.Incarnation == r.Self.Incarnation {
		if claim.Token == r.tokenFor(generationOf(claim.Token)) {
			r.confirmClaim(c, claim.Token)
		}
		return
	}
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "holder", claim.Holder.Name, "token", claim.Token, "before", c.claim.Holder.Name}})
	r.recordLostZone(c)
	r.recordReplacement(c, claim.Holder)
	c.claim, c.fenced, c.claimBackoff, c.claimReceivedAt = claim, false, 0, r.now
	r.lastSharedChangeAt = r.now
	c.holderlessSince, c.mergeWantedSince = time.Time{}, time.Time{}
	r.addPeer(claim.Holder)
	if c.heldHere {
		r.releaseCell(c)
	}
}

// confirmClaim acquires a cell whose claim by this process had timed out: the store
// wrote the claim later, and the other hosts already treat this host as the holder.
func (r *Router) confirmClaim(c *cell, token uint64) {
	if !r.leavingSince.IsZero() || r.pendingClaim != nil && r.pendingClaim.token == token {
		return // a successor takes over, or the store's answer is still expected
	}
	r.acquireCell(c, token)
}

// reachableHolder returns the holder of a zone's cell if it is reachable, else nil.
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

// trackMissingHolders updates since when each cell lacks a holder that is reachable and
// not leaving.
func (r *Router) trackMissingHolders() {
	for _, zone := range sortedKeys(r.cells) {
		c := r.cells[zone]
		if !r.sharesCells(zone) && !c.heldHere && !r.followedZones[zone] {
			c.holderlessSince = time.Time{}
			continue
		}
		holder := r.reachableHolder(zone)
		if holder != nil && (!r.isLeaving(*holder) || r.isKept(c)) {
			c.holderlessSince = time.Time{}
			continue
		}
		if c.holderlessSince.IsZero() {
			c.holderlessSince = r.now
			r.lastHeartbeatAt = time.Time{} // heartbeats are due now: more hosts become hubs and must be monitored
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
		// Another host has had the jobs meanwhile, so the state here is stale.
		delete(r.lostJobsDropAt, c.zone)
		r.dropJobsOfZone(c.zone)
	}
	r.recordLostZone(c)
	r.recordReplacement(c, r.Self)
	c.claim = Claim{Zone: c.zone, Token: token, Holder: r.Self}
	c.heldHere, c.acquiredAt, c.fenced = true, r.now, false
	r.lastSharedChangeAt = r.now
	c.holderlessSince, c.mergeWantedSince = time.Time{}, time.Time{}
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "holder", r.Self.Name, "token", token}})
	r.syncTargets()
	r.offerAllRequests()
}

// releaseCell stops holding a cell that another host has claimed or whose targets have
// fenced this host off.
func (r *Router) releaseCell(c *cell) {
	c.heldHere = false
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "state", "given up", "held", r.formatAge(c.acquiredAt)}})
	r.reportReleasedTargets(c)
	for _, id := range sortedKeys(r.targets) {
		if t := r.targets[id]; t.Zone == c.zone {
			r.releaseTarget(t)
		}
	}
	r.returnUnstartedJobs(c.zone)
	r.lostJobsDropAt[c.zone] = r.now.Add(lostJobsDropDelay)
	r.offerAllRequests()
}

// dropLostJobs ends the jobs of cells that were lost at least lostJobsDropDelay ago.
// The delay lets the claims of all cells arrive: if the next holder has claimed all of
// them, it adopts the runs and none needs to be stopped.
func (r *Router) dropLostJobs() {
	for _, zone := range sortedKeys(r.lostJobsDropAt) {
		if !r.now.Before(r.lostJobsDropAt[zone]) {
			delete(r.lostJobsDropAt, zone)
			r.dropJobsOfZone(zone)
		}
	}
}

// handleFenced handles the answer of a target that it obeys a higher token than this
// host's: this host releases the cell, unless the target is alone in that.
func (r *Router) handleFenced(t *target, token uint64) {
	c := r.cells[t.Zone]
	if c == nil || !c.heldHere || c.claim.Token != token || r.isFencedAlone(c, t) {
		return
	}
	c.fenced = true
	r.generation++
	r.postponeClaims([]string{c.zone})
	r.releaseCell(c)
}

// handleRegistered adopts this host's slot and the members and claims that the store
// has.
func (r *Router) handleRegistered(e Registered) {
	if e.Slot > 0 && r.Self.Slot == 0 {
		r.Self.Slot, r.slotUses = e.Slot, e.SlotUses
		r.emit(Decision{Action: "enrol", Pairs: []any{"slot", e.Slot, "life", e.SlotUses, "members", len(e.Members)}})
		r.raiseIncarnation(e.Incarnation)
	}
	for _, m := range e.Members {
		if err := m.Check(); err != nil {
			r.emit(Decision{Action: "ignore", Pairs: []any{"kind", "member", "host", m.Name, "error", err.Error()}})
			continue
		}
		r.addPeer(m)
	}
	r.handleClaimsRead(ClaimsRead{Claims: e.Claims})
	r.sendHeartbeats()
}

// handleClaimsRead adopts the claims that the store has.
func (r *Router) handleClaimsRead(e ClaimsRead) {
	for _, row := range e.Claims {
		c := r.cell(row.Claim.Zone)
		c.raiseRowVersion(row.Version)
		r.applyStoredClaim(row.Claim)
	}
}

// applyStoredClaim applies a claim in the store. It ignores a claim whose token no host can have
// made and returns false: the next claim replaces it, and a target that obeys its token all the
// same rejects the orders of every host.
func (r *Router) applyStoredClaim(claim Claim) bool {
	if err := claim.check(); err != nil {
		r.emit(Decision{Action: "ignore", Pairs: []any{"kind", "claim", "zone", claim.Zone, "error", err.Error()}})
		return false
	}
	r.applyClaim(claim)
	return true
}

package router

import "time"

// cell is the targets of one availability zone, under one holder.
type cell struct {
	zone  string
	claim Claim
	row   uint64 // version of the claim's row in the store
	mine  bool
	// acquired is when this host became the holder.
	acquired time.Time
	absent   time.Time // since when no live holder is known
	retry    time.Time // no claim before
	backoff  time.Duration
	rivals   time.Time // since when the holder should be another
	fenced   bool      // targets obey a token that is not known here
	learned  time.Time // when the claim in force was heard of
	// unwritten tells that the store has not taken the claim yet; published is
	// when it was last told.
	unwritten bool
	published time.Time
}

const (
	// slotBits and lifeBits are the parts of a token below the generation: the
	// member's slot, and its lives, so that no two processes share a token.
	slotBits = 16
	lifeBits = 10
	// lossDelay is the time from the loss of a cell to the end of its jobs: two
	// heartbeats.
	lossDelay = 200 * time.Millisecond
)

// token returns the token of this process in a generation. No two processes
// share one.
func (r *Router) token(generation uint64) uint64 {
	own := uint64(r.Self.Slot)<<lifeBits | uint64(r.life)&(1<<lifeBits-1)
	return generation<<(slotBits+lifeBits) | own
}

// generationOf returns the generation of a token.
func generationOf(token uint64) uint64 { return token >> (slotBits + lifeBits) }

func (r *Router) cell(zone string) *cell {
	c := r.cells[zone]
	if c == nil {
		c = &cell{zone: zone}
		r.cells[zone] = c
	}
	return c
}

// learn takes a claim that was heard of. The highest token is in force.
func (r *Router) learn(claim Claim) {
	r.generation = max(r.generation, generationOf(claim.Token))
	c := r.cell(claim.Zone)
	c.row = max(c.row, claim.RowVersion)
	claim.RowVersion = 0
	if claim.Token <= c.claim.Token {
		return
	}
	if claim.Holder.Address == r.Self.Address && claim.Holder.Incarnation == r.Self.Incarnation {
		r.confirm(c, claim.Token)
		return
	}
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "holder", claim.Holder.Name, "token", claim.Token, "before", c.claim.Holder.Name}})
	c.claim, c.fenced, c.backoff, c.learned = claim, false, 0, r.now
	r.reclaimed = r.now
	c.absent, c.rivals = time.Time{}, time.Time{}
	r.addPeer(claim.Holder)
	if c.mine {
		r.lose(c)
	}
}

// confirm takes a claim of this process that it has given up for want of an answer: the
// store has written it later, and the other hosts go by it.
func (r *Router) confirm(c *cell, token uint64) {
	if !r.leaving.IsZero() || r.claiming != nil && r.claiming.token == token {
		return // others take over, or the answer is under way
	}
	r.acquire(c, token)
}

// holderOf returns the member that holds a zone's cell and can be reached, or
// nil.
func (r *Router) holderOf(zone string) *Member {
	c := r.cells[zone]
	if c == nil || c.claim.Token == 0 {
		return nil
	}
	if c.mine {
		return &r.Self
	}
	p := r.peers[c.claim.Holder.Address]
	if c.fenced || p == nil || p.member.Incarnation != c.claim.Holder.Incarnation || !r.reaches(p) {
		return nil
	}
	return &c.claim.Holder
}

// trackHolders notes since when each cell lacks a holder.
func (r *Router) trackHolders() {
	for _, zone := range sortedKeys(r.cells) {
		c := r.cells[zone]
		if !r.related(zone) && !c.mine {
			c.absent = time.Time{}
			continue
		}
		h := r.holderOf(zone)
		if h != nil && !r.isLeaving(*h) {
			c.absent = time.Time{}
			continue
		}
		if c.absent.IsZero() {
			c.absent = r.now
			r.beaten = time.Time{} // more hosts have to be heard of now
			if c.claim.Token > 0 {
				r.emit(Decision{Action: "holder", Pairs: []any{"zone", zone, "holder", c.claim.Holder.Name, "state", "lost", "leaving", h != nil}})
			}
		}
	}
}

func (r *Router) isLeaving(m Member) bool {
	if m.Address == r.Self.Address {
		return !r.leaving.IsZero()
	}
	p := r.peers[m.Address]
	return p != nil && p.leaving
}

// acquire makes this host the holder of a cell.
func (r *Router) acquire(c *cell, token uint64) {
	if _, pending := r.lost[c.zone]; pending {
		// Another host has had the jobs meanwhile; what is known here is stale.
		delete(r.lost, c.zone)
		r.dropZone(c.zone)
	}
	c.claim = Claim{Zone: c.zone, Token: token, Holder: r.Self}
	c.mine, c.acquired, c.fenced = true, r.now, false
	r.reclaimed = r.now
	c.absent, c.rivals = time.Time{}, time.Time{}
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "holder", r.Self.Name, "token", token}})
	r.syncTargets()
	r.reoffer()
}

// lose gives up a cell that another host has claimed, or that targets refuse.
func (r *Router) lose(c *cell) {
	c.mine = false
	r.emit(Decision{Action: "holder", Pairs: []any{"zone", c.zone, "state", "given up", "held", r.since(c.acquired)}})
	for _, id := range sortedKeys(r.targets) {
		if t := r.targets[id]; t.Zone == c.zone {
			r.leave(t)
		}
	}
	r.lost[c.zone] = r.now.Add(lossDelay)
	r.reoffer()
}

// dropLost drops the jobs of cells that were lost a moment ago. The delay lets
// the claims of all cells arrive: where the next holder has them all, it takes
// over what runs, and nothing is stopped.
func (r *Router) dropLost() {
	for _, zone := range sortedKeys(r.lost) {
		if !r.now.Before(r.lost[zone]) {
			delete(r.lost, zone)
			r.dropZone(zone)
		}
	}
}

// handleFence takes a target's word that it obeys a higher token than this host's.
func (r *Router) handleFence(t *target, token uint64) {
	c := r.cells[t.Zone]
	if c == nil || !c.mine || c.claim.Token != token {
		return
	}
	c.fenced = true
	r.generation++
	r.postpone([]string{c.zone})
	r.lose(c)
}

// enrol takes this host's slot and what else the store has.
func (r *Router) enrol(e Registered) {
	if e.Slot > 0 && r.Self.Slot == 0 {
		r.Self.Slot, r.life = e.Slot, e.SlotUses
		r.emit(Decision{Action: "enrol", Pairs: []any{"slot", e.Slot, "life", e.SlotUses, "members", len(e.Members)}})
	}
	for _, m := range e.Members {
		r.addPeer(m)
	}
	for _, row := range e.Claims {
		c := r.cell(row.Claim.Zone)
		c.row = max(c.row, row.Version)
		r.learn(row.Claim)
	}
	r.beatNow()
}

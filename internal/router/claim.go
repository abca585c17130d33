package router

import (
	"slices"
	"time"
)

// pendingClaim is a claim that waits for the store's answer.
type pendingClaim struct {
	token     uint64
	zones     []string
	startedAt time.Time
}

const (
	// claimTimeout bounds the wait for the store, which usually answers in 12 to 16 ms.
	// Clients accept 1 s without a holder; the timeout takes 6 % of that.
	claimTimeout = 60 * time.Millisecond
	// maxBackoffFactor bounds the delay between claims, as a multiple of
	// Bounds.ClaimBackoff.
	maxBackoffFactor = 16
	// claimWriteInterval is the delay between two attempts to write a claim that the
	// store did not take.
	claimWriteInterval = 500 * time.Millisecond
	// maxClaimRows bounds the claims that are written at once. Each is two of the 100 entries of a
	// transaction in the platform's store: the expected version and the new row.
	maxClaimRows = 50
)

// candidates returns the members that can hold a zone's cell, best first. Hosts that
// reach the same members agree on the order.
func (r *Router) candidates(zone string) []Member {
	var candidates []Member
	if r.Self.Slot > 0 && r.leavingSince.IsZero() {
		candidates = append(candidates, r.Self)
	}
	for _, p := range r.peers {
		if r.isReachable(p) && !p.leaving && p.member.Slot > 0 {
			candidates = append(candidates, p.member)
		}
	}
	if r.holderPerZone {
		candidates = slices.DeleteFunc(candidates, func(m Member) bool { return m.Zone != zone })
	}
	slices.SortFunc(candidates, compareCandidates)
	return r.withoutReplaced(candidates)
}

// targetTrafficKbps is the network traffic that one target causes at its holder, in
// kilobits a second. It covers eight starts a second, of 1 KB each, with their answers.
const targetTrafficKbps = 100

// updateHolderPerZone decides whether each zone has a holder of its own, because one
// host cannot manage all targets. This is so if the targets exceed
// Bounds.MaxSharedTargets, the bound for the processor of a host, or if their traffic
// exceeds half of the fastest host's link.
func (r *Router) updateHolderPerZone() {
	r.maxLinkRate = max(r.maxLinkRate, r.Self.LinkRate)
	for _, p := range r.peers {
		r.maxLinkRate = max(r.maxLinkRate, p.member.LinkRate)
	}
	perZone := r.totalTargets > r.Bounds.MaxSharedTargets || r.maxLinkRate > 0 && r.totalTargets > r.maxLinkRate/(2*targetTrafficKbps)
	if perZone == r.holderPerZone {
		return
	}
	r.holderPerZone = perZone
	// The hosts of each zone have a list of their own of the present version, so that no changes lead from it.
	r.directory.merged, r.directoryLog, r.directoryMessages = true, nil, nil
}

// updateTotalTargets records the number of targets in a version of the directory. Hosts
// that do not receive the directory itself use the number to agree on whether each zone
// has a holder of its own. Values that no list can have are ignored.
func (r *Router) updateTotalTargets(version uint64, total int) {
	if version > r.totalTargetsVersion && version <= maxVersion && total >= 0 {
		r.totalTargetsVersion, r.totalTargets = version, total
		r.updateHolderPerZone()
	}
}

// claimCells claims the cells that lack a holder or that this host should hold instead
// of another.
func (r *Router) claimCells() {
	if r.pendingClaim != nil {
		r.checkClaimTimeout()
		return
	}
	if r.Self.Slot == 0 || !r.leavingSince.IsZero() || !r.hasRecentView() {
		return
	}
	if age := r.now.Sub(r.startedAt); age < r.Bounds.StartupDelay && age < r.startupClaimDelay() {
		return
	}
	var zones []string
	for _, zone := range sortedKeys(r.cells) {
		if isStorable(zone) && r.shouldClaim(r.cells[zone]) {
			zones = append(zones, zone)
		}
	}
	if len(zones) > 0 {
		r.startClaim(zones[:min(len(zones), maxClaimRows)]) // the others follow
	}
}

// startupClaimDelay returns how long after its start this host waits for messages of
// existing holders before it claims cells: Bounds.StartupDelay while one of its cells has no
// claim, its holder may still return, or the number of targets is not known. If every cell has a
// claim whose holder cannot return, for instance because it is known to have exited, the
// delay is zero, or a quarter of Bounds.StartupDelay if a much stronger peer is known, which
// may be starting as well.
func (r *Router) startupClaimDelay() time.Duration {
	if r.totalTargetsVersion == 0 {
		return r.Bounds.StartupDelay // it is not known whether each zone has a holder of its own
	}
	for zone, c := range r.cells {
		if r.sharesCells(zone) && (c.claim.Token == 0 || r.mayHolderReturn(c)) {
			return r.Bounds.StartupDelay
		}
	}
	if r.hasMuchStrongerPeer() {
		return r.Bounds.StartupDelay / 4
	}
	return 0
}

// hasMuchStrongerPeer reports whether a known host that shares cells with this one is
// much stronger.
func (r *Router) hasMuchStrongerPeer() bool {
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) && hasMuchLessCPU(r.Self, p.member) {
			return true
		}
	}
	return false
}

// shouldClaim reports whether this host should claim a cell now. It claims a held cell again if the claim
// names a former incarnation, under which no peer reaches the holder.
func (r *Router) shouldClaim(c *cell) bool {
	if r.now.Before(c.noClaimUntil) {
		return false
	}
	if c.heldHere {
		return c.claim.Holder.Incarnation != r.Self.Incarnation
	}
	if !c.holderlessSince.IsZero() && r.mayHolderReturn(c) {
		return false
	}
	if holder := r.keepingHolder(c); holder != nil {
		return r.isReadySuccessor(c, holder)
	}
	candidates := r.candidates(c.zone)
	rank := slices.IndexFunc(candidates, func(m Member) bool { return m.Address == r.Self.Address })
	if rank < 0 || !r.hasMajority(c.zone) && !r.isLongHolderless(c) {
		return false
	}
	if !c.holderlessSince.IsZero() {
		return r.now.Sub(c.holderlessSince) >= time.Duration(rank)*r.Bounds.ClaimStagger+r.claimCaution(c)
	}
	return r.shouldMerge(c, candidates)
}

// isCellPeer reports whether a peer shares cells with this host or is a hub of its cells, so
// that the peer tells something about the side of a partition that this host is on.
func (r *Router) isCellPeer(p *peer) bool {
	return r.sharesCells(p.member.Zone) || r.hubs[p.member.Address]
}

// hasRecentView reports whether this host's view of the other hosts of its cells is
// recent enough to tell which side of a network partition it is on.
func (r *Router) hasRecentView() bool {
	if !r.fullMesh && !r.hubs[r.Self.Address] {
		return false
	}
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) && !p.monitored || r.isCellPeer(p) && p.monitored && p.hasBeenReachable && !r.hasHadTimeToAnswer(p) && r.now.Sub(p.lastEchoedAt) > r.Bounds.PeerTimeout {
			return false
		}
	}
	return true
}

// hasMuchLessCPU reports whether a host has less than half the processor share of the
// best host, so that moving a cell to the best host pays off.
func hasMuchLessCPU(m, best Member) bool { return 2*m.CPUShare < best.CPUShare }

// mayHolderReturn reports whether a cell's holder may just not be reachable yet,
// because its claim was received only recently. It returns false for a holder that is
// leaving or that has exited.
func (r *Router) mayHolderReturn(c *cell) bool {
	holder := c.claim.Holder
	wait := r.Bounds.PeerTimeout
	if c.claimReceivedAt.Sub(r.startedAt) < r.Bounds.StartupDelay && r.reachablePeersLackHolder() {
		wait /= 4 // a running holder would have answered one of the reached peers by now
	}
	if r.now.Sub(c.claimReceivedAt) >= wait || r.isLeaving(holder) || holder.Address == r.Self.Address {
		return false
	}
	p := r.peers[holder.Address]
	return p == nil || !p.hasBeenReachable || p.member.Incarnation <= holder.Incarnation
}

// reachablePeersLackHolder reports whether at least one monitored peer is reachable and
// none of the reachable ones reaches a holder: each peer reports whether it reaches the
// holder of its own zone's cell. Then either all hosts have just started or the holder
// is unresponsive.
func (r *Router) reachablePeersLackHolder() bool {
	noPeerReachable := true
	for _, p := range r.peers {
		if p.monitored && r.isCellPeer(p) && r.isReachable(p) {
			noPeerReachable = false
			if p.reachesHolder {
				return false
			}
		}
	}
	return !noPeerReachable
}

// shouldMerge reports whether this host should take a cell from a holder that is
// reachable, because this host is the preferred one. If one host holds all cells, the
// host with the most cells is preferred, unless it is much weaker than the best
// candidate, so that the fewest targets change their holder. If each zone has a holder
// of its own, the best host of the zone is preferred, unless the holder belongs to the
// zone and is not much weaker. The two hosts must have been reachable to each other for
// Bounds.MergeDelay.
func (r *Router) shouldMerge(c *cell, candidates []Member) bool {
	preferred := candidates[0]
	if !r.holderPerZone {
		mostCellsIndex, maxCells := -1, 0
		for i, m := range candidates {
			if cells := r.cellsHeldBy(m); cells > maxCells {
				mostCellsIndex, maxCells = i, cells
			}
		}
		if mostCellsIndex < 0 {
			return false
		}
		if !hasMuchLessCPU(candidates[mostCellsIndex], preferred) {
			preferred = candidates[mostCellsIndex]
		}
	} else if c.claim.Holder.Zone == c.zone && !hasMuchLessCPU(c.claim.Holder, preferred) {
		return false // the holder belongs to the zone and is strong enough
	}
	if preferred.Address != r.Self.Address {
		c.mergeWantedSince = time.Time{}
		return false
	}
	if c.mergeWantedSince.IsZero() {
		c.mergeWantedSince = r.now
	}
	p := r.peers[c.claim.Holder.Address]
	return p != nil && r.now.Sub(c.mergeWantedSince) >= r.Bounds.MergeDelay && r.now.Sub(p.reachableSince) >= r.Bounds.MergeDelay
}

// cellsHeldBy returns how many cells a member holds.
func (r *Router) cellsHeldBy(m Member) int {
	count := 0
	for zone := range r.cells {
		if h := r.reachableHolder(zone); h != nil && h.Address == m.Address {
			count++
		}
	}
	return count
}

// isLongHolderless reports whether a cell has lacked a holder for so long that no other
// host seems able to claim it. Then a host may claim the cell without a majority, but
// holds it only if the store writes the claim.
func (r *Router) isLongHolderless(c *cell) bool {
	return !c.holderlessSince.IsZero() && r.now.Sub(c.holderlessSince) >= 3*r.Bounds.PeerTimeout
}

// hasMajority reports whether this host is on the side of a network partition that
// should serve a zone: the side with most of the zone's known hosts, or with most of all
// known hosts. Half of the zone's hosts suffice if the side has at least half of all
// known hosts. The known hosts are this host and the peers that share cells with it,
// have been reachable in their present incarnation and have neither exited nor shut
// down. If two or more of them are unreachable, the peers that have shut down count as
// known hosts too, but not for the zone.
func (r *Router) hasMajority(zone string) bool {
	zoneHosts, reachableZoneHosts, knownHosts, reachableHosts := 0, 0, 1, 1
	departedHosts, unreachableHosts := 0, 0
	if r.Self.Zone == zone {
		zoneHosts, reachableZoneHosts = 1, 1
	}
	for _, p := range r.peers {
		if !r.sharesCells(p.member.Zone) || p.exited && !r.isReachable(p) {
			continue
		}
		if p.leaving && !r.isReachable(p) {
			departedHosts++
			continue // the peer has shut down, so its absence is no sign of a partition
		}
		if !p.hasBeenReachable {
			continue
		}
		reachable, sameZone := r.isReachable(p), p.member.Zone == zone
		knownHosts, reachableHosts = knownHosts+1, reachableHosts+boolToInt(reachable)
		unreachableHosts += boolToInt(!reachable)
		zoneHosts, reachableZoneHosts = zoneHosts+boolToInt(sameZone), reachableZoneHosts+boolToInt(sameZone && reachable)
	}
	if unreachableHosts > 1 {
		knownHosts += departedHosts // a partition: the hosts that have shut down may have restarted on the other side
	}
	if 2*reachableHosts > knownHosts || reachableZoneHosts > 0 && 2*reachableZoneHosts > zoneHosts {
		return true
	}
	return reachableZoneHosts > 0 && 2*reachableZoneHosts == zoneHosts && 2*reachableHosts >= knownHosts
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// startClaim writes claims for cells to the store, under the token of a new generation.
func (r *Router) startClaim(zones []string) {
	r.generation++
	token := r.tokenFor(r.generation)
	r.pendingClaim = &pendingClaim{token: token, zones: zones, startedAt: r.now}
	rows := make([]StoredClaim, len(zones))
	for i, zone := range zones {
		c := r.cells[zone]
		rows[i] = StoredClaim{Claim: Claim{Zone: zone, Token: token, Holder: r.Self}, Version: c.rowVersion}
		r.emit(Decision{Action: "claim", Pairs: []any{
			"zone", zone, "token", token, "before", c.claim.Holder.Name, "absent", r.formatAge(c.holderlessSince), "members", len(r.candidates(zone)),
		}})
	}
	r.emit(WriteClaims{Token: token, Rows: rows})
}

// formatAge returns the time since a moment for the log, or "" for the zero time.
func (r *Router) formatAge(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return r.now.Sub(at).Round(time.Millisecond).String()
}

// checkClaimTimeout ends a claim that the store has not answered in time. While the
// last echo of a peer is stale, it waits until Bounds.PeerTimeout. With a majority of
// hosts this host then holds the cells without the store. This is safe because targets
// obey only the highest token: two hosts that do so cannot both start tasks at one
// target.
func (r *Router) checkClaimTimeout() {
	age := r.now.Sub(r.pendingClaim.startedAt)
	if age < claimTimeout || age < r.Bounds.PeerTimeout && r.hasStalePeer() {
		return
	}
	r.handleClaimsWritten(ClaimsWritten{Token: r.pendingClaim.token, Result: ClaimTimeout})
}

// hasStalePeer reports whether the last echo from a monitored peer is too old to tell
// whether the peer is on this host's side of a partition: older than half of
// Bounds.PeerTimeout, which is two and a half heartbeats.
func (r *Router) hasStalePeer() bool {
	for _, p := range r.peers {
		if p.monitored && r.isCellPeer(p) && r.isReachable(p) && r.now.Sub(p.lastEchoedAt) > r.Bounds.PeerTimeout/2 {
			return true
		}
	}
	return false
}

// handleClaimsWritten handles the store's answer to a claim, or its timeout.
func (r *Router) handleClaimsWritten(e ClaimsWritten) {
	hasNewer := r.applyStoredClaims(e)
	pending := r.pendingClaim
	if pending == nil || pending.token != e.Token {
		return
	}
	r.pendingClaim = nil
	r.emit(Decision{Action: "claimed", Pairs: []any{"token", pending.token, "result", e.Result, "age", r.formatAge(pending.startedAt)}})
	switch {
	case e.Result == ClaimConflict && hasNewer:
		r.postponeClaims(pending.zones)
		return
	case e.Result == ClaimConflict:
		return // only the row versions were outdated; the next tick claims again
	}
	for _, zone := range pending.zones {
		if e.Result == ClaimTimeout && !r.hasMajority(zone) {
			r.postponeClaims([]string{zone})
		} else if c := r.cells[zone]; c.claim.Token < pending.token {
			c.unwritten = e.Result == ClaimTimeout
			r.acquireCell(c, pending.token)
		}
	}
	r.sendHeartbeats()
	r.readDirectory()
}

// applyStoredClaims applies the claims in the store's answer. It reports whether one of
// them is newer than the claim that was known.
func (r *Router) applyStoredClaims(e ClaimsWritten) (hasNewer bool) {
	isPending := r.pendingClaim != nil && r.pendingClaim.token == e.Token
	for _, row := range e.Rows {
		c := r.cell(row.Claim.Zone)
		if e.Result == ClaimConflict && row.Version <= maxVersion {
			c.rowVersion = row.Version // the store is right even where heartbeats reported a higher version
		}
		c.raiseRowVersion(row.Version)
		if e.Result == ClaimWon && row.Claim.Token == c.claim.Token {
			c.unwritten = false
		}
		if row.Claim.Token > c.claim.Token && (e.Result != ClaimWon || !isPending) {
			hasNewer = r.applyStoredClaim(row.Claim) || hasNewer
		}
	}
	return hasNewer
}

// postponeClaims keeps this host from claiming cells until an exponential backoff is over.
func (r *Router) postponeClaims(zones []string) {
	for _, zone := range zones {
		c := r.cells[zone]
		c.claimBackoff = min(max(2*c.claimBackoff, r.Bounds.ClaimBackoff), maxBackoffFactor*r.Bounds.ClaimBackoff)
		c.noClaimUntil = r.now.Add(c.claimBackoff)
	}
}

// writeUnwrittenClaims writes the claims of held cells that were made during a store
// outage to the store, so that hosts that start later continue from the highest token.
func (r *Router) writeUnwrittenClaims() {
	for _, zone := range sortedKeys(r.cells) {
		c := r.cells[zone]
		if !c.heldHere || !c.unwritten || r.now.Sub(c.lastWriteAt) < claimWriteInterval {
			continue
		}
		c.lastWriteAt = r.now
		r.emit(WriteClaims{Token: c.claim.Token, Rows: []StoredClaim{{Claim: c.claim, Version: c.rowVersion}}})
	}
}

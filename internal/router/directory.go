package router

import (
	"cmp"
	"slices"
	"time"
)

// refreshDirectory requests the directory from the store when it is due. Holders read it; their
// likely successors do so only while no peer has read it recently, and other hosts receive it
// from a holder. Otherwise, after a loss of all hosts, each would read the whole list at once.
func (r *Router) refreshDirectory() {
	if r.directoryReadPending && r.now.Sub(r.directoryRequestedAt) < maxDirectoryReadTime {
		return
	}
	if r.Self.Slot == 0 && len(r.directory.Targets) > 0 || r.now.Sub(r.directoryRequestedAt) < r.Bounds.DirectoryInterval {
		return
	}
	if !r.holdsAnyCell() && (r.hasPeerReadDirectory() || r.Self.Slot == 0 || !r.fullMesh && !r.hubs[r.Self.Address]) {
		return
	}
	r.readDirectory()
}

// maxDirectoryReadTime is how long an unanswered read of the directory delays the next one.
const maxDirectoryReadTime = 3 * time.Second

func (r *Router) readDirectory() {
	r.directoryRequestedAt, r.directoryReadPending = r.now, true
	r.emit(ReadDirectory{})
}

func (r *Router) holdsAnyCell() bool {
	for _, c := range r.cells {
		if c.heldHere {
			return true
		}
	}
	return false
}

// sendsDirectoryTo reports whether this host sends a peer newer directories: as a holder, or
// because the peer is a holder that does not reach the store while this host does.
func (r *Router) sendsDirectoryTo(p *peer) bool {
	if !r.sharesCells(p.member.Zone) {
		return false
	}
	return r.holdsAnyCell() || r.isHolder(p) && !r.isDirectoryRecent(p.directoryAge) && r.isDirectoryRecent(r.now.Sub(r.directoryReadAt))
}

// isDirectoryRecent reports whether a directory of an age was read from the store within three
// intervals.
func (r *Router) isDirectoryRecent(age time.Duration) bool {
	return age < 3*r.Bounds.DirectoryInterval
}

// isHolder reports whether a peer holds a cell that this host shares.
func (r *Router) isHolder(p *peer) bool {
	for zone, c := range r.cells {
		if r.sharesCells(zone) && c.claim.Token > 0 && c.claim.Holder.Address == p.member.Address {
			return true
		}
	}
	return false
}

// hasPeerReadDirectory reports whether a reachable peer that shares cells with this
// host has read the directory within three intervals.
func (r *Router) hasPeerReadDirectory() bool {
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) && r.isReachable(p) && r.isDirectoryRecent(p.directoryAge+r.now.Sub(p.lastHeartbeatReceivedAt)) {
			return true
		}
	}
	return false
}

// handleDirectoryRead adopts the directory that was read from the store.
func (r *Router) handleDirectoryRead(e DirectoryRead) {
	r.directoryReadPending = false
	if !r.storeOutageSince.IsZero() {
		r.emit(Decision{Action: "store", Pairs: []any{"state", "regained", "after", r.formatAge(r.storeOutageSince)}})
		if r.now.Sub(r.storeOutageSince) > maxShortOutage {
			r.storeReturnedAt = r.now
		}
		r.storeOutageSince = time.Time{}
	}
	if r.isStoreOutageRecent() {
		r.retainMissingTargets(&e.Directory)
	}
	r.directoryReadAt = e.RequestedAt
	r.adoptDirectory(e.Directory, e.RequestedAt, storeSource)
}

// maxShortOutage is how long the store may be unavailable before the directory entries
// of targets expire.
const maxShortOutage = time.Second

// isStoreOutageRecent reports whether a store outage has lasted longer than
// maxShortOutage, or whether such an outage ended at most Bounds.UnlistedGrace ago. The
// entries of targets that could not reach the store either have then expired.
func (r *Router) isStoreOutageRecent() bool {
	if !r.storeOutageSince.IsZero() {
		return r.now.Sub(r.storeOutageSince) > maxShortOutage
	}
	return !r.storeReturnedAt.IsZero() && r.now.Sub(r.storeReturnedAt) <= r.Bounds.UnlistedGrace
}

// handleDirectory adopts a directory that a peer has read. A directory from the other
// side of a partition may lack healthy targets, so those are retained after a recent
// store outage.
func (r *Router) handleDirectory(p *peer, d Directory) {
	if len(d.Targets) < d.Total && p.member.Zone != r.Self.Zone {
		return // the peer's directory has only the targets of another zone
	}
	if r.isStoreOutageRecent() && r.now.Sub(p.reachableSince) <= r.Bounds.UnlistedGrace && d.Version > r.directory.Version {
		r.retainMissingTargets(&d)
	}
	r.adoptDirectory(d, r.now.Add(-p.directoryAge), peerSource)
}

// retainMissingTargets adds the targets of the current directory that d lacks, because
// their entries expired during a store outage. They stay until they have had time to
// register again.
func (r *Router) retainMissingTargets(d *Directory) {
	for _, old := range r.directory.Targets {
		if !slices.ContainsFunc(d.Targets, func(t Target) bool { return t.ID == old.ID }) {
			d.Targets, d.merged = append(d.Targets, old), true
		}
	}
}

// handleDirectoryReadFailed records the start of a store outage.
func (r *Router) handleDirectoryReadFailed() {
	r.directoryReadPending = false
	if r.storeOutageSince.IsZero() {
		r.storeOutageSince = r.now
		r.emit(Decision{Action: "store", Pairs: []any{"state", "lost", "age", r.formatAge(r.directoryReadAt)}})
	}
}

// directorySource tells where a directory comes from.
type directorySource string

const (
	storeSource directorySource = "store"
	peerSource  directorySource = "peer"
)

// adoptDirectoryVersion replaces the current directory by a newer one of a peer that lists the
// same targets, so that the peer need not send it again.
func (r *Router) adoptDirectoryVersion(d Directory) {
	r.directoryLog = r.directoryLog.add(r.directory, d)
	r.directory, r.directoryMessages = d, nil
}

// adoptDirectory replaces the current directory if d is newer and differs from it.
func (r *Router) adoptDirectory(d Directory, requestedAt time.Time, source directorySource) {
	if d.Version < r.directory.Version || d.Version == r.directory.Version && !r.holdsUnlistedCell() || r.isInvalidVersion(d.Version, "directory") {
		return
	}
	r.dropForeignTargets(&d)
	slices.SortFunc(d.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	if d.hasSameTargets(r.directory) {
		if source == peerSource {
			r.adoptDirectoryVersion(d)
		}
		return
	}
	r.emit(Decision{Action: "directory", Pairs: []any{
		"version", d.Version, "total", d.targetCount(), "targets", len(d.Targets), "before", len(r.directory.Targets), "source", source, "age", r.formatAge(requestedAt),
	}})
	r.recordUnlistedTargets(d)
	r.recordCapacities(d)
	r.directoryLog = r.directoryLog.add(r.directory, d)
	r.directory, r.directoryMessages = d, nil
	r.dropUnlistedStandby()
	for _, entry := range d.Targets {
		r.cell(entry.Zone)
		r.updateCrashes(entry.ID, entry.StartedAt, nil)
	}
	r.syncTargets()
	for _, p := range r.sortedPeers() {
		if r.isReachable(p) {
			r.sendMissingState(p)
		}
	}
}

// holdsUnlistedCell reports whether the current directory lacks the targets of a held cell.
func (r *Router) holdsUnlistedCell() bool {
	for _, c := range r.cells {
		if c.heldHere && !c.listed {
			return true
		}
	}
	return false
}

// dropForeignTargets removes the targets of other zones from d if each zone has a
// holder of its own, except those of cells that this host holds. It records which zones the
// directory covers.
func (r *Router) dropForeignTargets(d *Directory) {
	isWhole := len(d.Targets) >= d.Total // a peer may have dropped the targets of other zones
	d.Total = d.targetCount()
	r.updateTotalTargets(d.Version, d.Total)
	for _, t := range d.Targets {
		r.cell(t.Zone)
	}
	for zone, c := range r.cells {
		c.listed = isWhole && (!r.holderPerZone || zone == r.Self.Zone || c.heldHere) || zone == r.Self.Zone
	}
	if r.holderPerZone {
		d.Targets = slices.DeleteFunc(slices.Clone(d.Targets), func(t Target) bool { return !r.cell(t.Zone).listed })
	}
}

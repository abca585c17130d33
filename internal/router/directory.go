package router

import (
	"cmp"
	"slices"
	"time"
)

// refreshDirectory asks for the directory when it is due: the holder reads it, and the
// others only while no holder does.
func (r *Router) refreshDirectory() {
	if r.Self.Slot == 0 && len(r.directory.Targets) > 0 || r.now.Sub(r.directoryRequestedAt) < r.Bounds.DirectoryInterval {
		return
	}
	if !r.holdsAnyCell() && r.hasPeerReadDirectory() {
		return
	}
	r.directoryRequestedAt = r.now
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

// hasPeerReadDirectory reports whether a peer has read the directory lately.
func (r *Router) hasPeerReadDirectory() bool {
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) && r.isReachable(p) && p.directoryAge+r.now.Sub(p.lastReceivedAt) < 3*r.Bounds.DirectoryInterval {
			return true
		}
	}
	return false
}

// handleDirectoryRead takes the directory as the store had it.
func (r *Router) handleDirectoryRead(e DirectoryRead) {
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
	r.adoptDirectory(e.Directory, e.RequestedAt, "store")
}

// maxShortOutage is how long the store may be away before entries of targets lapse.
const maxShortOutage = time.Second

// isStoreOutageRecent reports whether this host does not reach the store, or reaches it again
// since a moment ago: entries of targets that were away with it have lapsed.
func (r *Router) isStoreOutageRecent() bool {
	if !r.storeOutageSince.IsZero() {
		return r.now.Sub(r.storeOutageSince) > maxShortOutage
	}
	return !r.storeReturnedAt.IsZero() && r.now.Sub(r.storeReturnedAt) <= r.Bounds.UnlistedGrace
}

// handleDirectory takes the list that another host has read. One that comes from the
// other side of a cut may lack targets that are sound.
func (r *Router) handleDirectory(p *peer, d Directory) {
	if len(d.Targets) < d.Total && p.member.Zone != r.Self.Zone {
		return // it lacks the targets of this zone
	}
	if r.isStoreOutageRecent() && r.now.Sub(p.reachableSince) <= r.Bounds.UnlistedGrace && d.Version > r.directory.Version {
		r.retainMissingTargets(&d)
	}
	r.adoptDirectory(d, r.now.Add(-p.directoryAge), "peer")
}

// retainMissingTargets keeps entries that lapsed while the store was away, until their
// targets have had time to register again.
func (r *Router) retainMissingTargets(d *Directory) {
	for _, old := range r.directory.Targets {
		if !slices.ContainsFunc(d.Targets, func(t Target) bool { return t.ID == old.ID }) {
			d.Targets = append(d.Targets, old)
		}
	}
}

// handleDirectoryReadFailed notes that the store did not show the directory.
func (r *Router) handleDirectoryReadFailed() {
	if r.storeOutageSince.IsZero() {
		r.storeOutageSince = r.now
		r.emit(Decision{Action: "store", Pairs: []any{"state", "lost", "age", r.formatAge(r.directoryReadAt)}})
	}
}

// adoptDirectory adopts a directory that differs from the one in force.
func (r *Router) adoptDirectory(d Directory, requestedAt time.Time, source string) {
	if d.Version <= r.directory.Version {
		return
	}
	r.dropForeignTargets(&d)
	slices.SortFunc(d.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	if d.hasSameTargets(r.directory) {
		return
	}
	r.emit(Decision{Action: "directory", Pairs: []any{
		"version", d.Version, "total", d.targetCount(), "targets", len(d.Targets), "before", len(r.directory.Targets), "source", source, "age", r.formatAge(requestedAt),
	}})
	r.recordUnlistedTargets(d)
	r.directory = d
	r.dropUnlistedStandby()
	for _, entry := range d.Targets {
		r.cell(entry.Zone)
	}
	r.syncTargets()
	for _, p := range r.sortedPeers() {
		if r.isReachable(p) {
			r.sendMissingState(p)
		}
	}
}

// dropForeignTargets drops the targets of zones that this host has nothing to do with, since each
// zone has a holder of its own.
func (r *Router) dropForeignTargets(d *Directory) {
	d.Total = d.targetCount()
	r.updateTotalTargets(d.Version, d.Total)
	if r.zonesSplit {
		d.Targets = slices.DeleteFunc(slices.Clone(d.Targets), func(t Target) bool {
			return t.Zone != r.Self.Zone && !r.cell(t.Zone).heldHere
		})
	}
}

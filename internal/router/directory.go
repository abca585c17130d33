package router

import (
	"cmp"
	"slices"
	"time"
)

// refresh asks for the directory when it is due: the holder reads it, and the
// others only while no holder does.
func (r *Router) refresh() {
	if r.Self.Slot == 0 && len(r.directory.Targets) > 0 || r.now.Sub(r.asked) < r.Bounds.DirectoryInterval {
		return
	}
	if !r.holds() && r.readElsewhere() {
		return
	}
	r.asked = r.now
	r.emit(ReadDirectory{})
}

func (r *Router) holds() bool {
	for _, c := range r.cells {
		if c.mine {
			return true
		}
	}
	return false
}

// readElsewhere reports whether a peer has read the directory lately.
func (r *Router) readElsewhere() bool {
	for _, p := range r.peers {
		if r.related(p.member.Zone) && r.reaches(p) && p.age+r.now.Sub(p.heard) < 3*r.Bounds.DirectoryInterval {
			return true
		}
	}
	return false
}

// locate takes the directory as the store had it.
func (r *Router) locate(e DirectoryRead) {
	if !r.outage.IsZero() {
		r.emit(Decision{Action: "store", Pairs: []any{"state", "regained", "after", r.since(r.outage)}})
		if r.now.Sub(r.outage) > shortOutage {
			r.returned = r.now
		}
		r.outage = time.Time{}
	}
	if r.wasAway() {
		r.keepAbsent(&e.Directory)
	}
	r.located = e.RequestedAt
	r.take(e.Directory, e.RequestedAt, "store")
}

// shortOutage is how long the store may be away before entries of targets lapse.
const shortOutage = time.Second

// wasAway reports whether this host does not reach the store, or reaches it again
// since a moment ago: entries of targets that were away with it have lapsed.
func (r *Router) wasAway() bool {
	if !r.outage.IsZero() {
		return r.now.Sub(r.outage) > shortOutage
	}
	return !r.returned.IsZero() && r.now.Sub(r.returned) <= r.Bounds.UnlistedGrace
}

// handleDirectory takes the list that another host has read. One that comes from the
// other side of a cut may lack targets that are sound.
func (r *Router) handleDirectory(p *peer, d Directory) {
	if len(d.Targets) < d.Total && p.member.Zone != r.Self.Zone {
		return // it lacks the targets of this zone
	}
	if r.wasAway() && r.now.Sub(p.since) <= r.Bounds.UnlistedGrace && d.Version > r.directory.Version {
		r.keepAbsent(&d)
	}
	r.take(d, r.now.Add(-p.age), "peer")
}

// keepAbsent keeps entries that lapsed while the store was away, until their
// targets have had time to register again.
func (r *Router) keepAbsent(d *Directory) {
	for _, old := range r.directory.Targets {
		if !slices.ContainsFunc(d.Targets, func(t Target) bool { return t.ID == old.ID }) {
			d.Targets = append(d.Targets, old)
		}
	}
}

// unread notes that the store did not show the directory.
func (r *Router) unread() {
	if r.outage.IsZero() {
		r.outage = r.now
		r.emit(Decision{Action: "store", Pairs: []any{"state", "lost", "age", r.since(r.located)}})
	}
}

// take adopts a directory that differs from the one in force.
func (r *Router) take(d Directory, asked time.Time, source string) {
	if d.Version <= r.directory.Version {
		return
	}
	r.confine(&d)
	slices.SortFunc(d.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	if d.same(r.directory) {
		return
	}
	r.emit(Decision{Action: "directory", Pairs: []any{
		"version", d.Version, "total", d.total(), "targets", len(d.Targets), "before", len(r.directory.Targets), "source", source, "age", r.since(asked),
	}})
	r.noteUnlisted(d)
	r.directory = d
	r.forgetWarm()
	for _, entry := range d.Targets {
		r.cell(entry.Zone)
	}
	r.syncTargets()
	for _, p := range r.sortedPeers() {
		if r.reaches(p) {
			r.share(p)
		}
	}
}

// confine drops the targets of zones that this host has nothing to do with, since each
// zone has a holder of its own.
func (r *Router) confine(d *Directory) {
	d.Total = d.total()
	r.countTargets(d.Version, d.Total)
	if r.split {
		d.Targets = slices.DeleteFunc(slices.Clone(d.Targets), func(t Target) bool {
			return t.Zone != r.Self.Zone && !r.cell(t.Zone).mine
		})
	}
}

package router

import (
	"slices"
	"time"
)

// previousTarget is a target that a previous holder may have used and that the current
// directory may lack. The store's entry of a target expires while the target cannot
// reach the store, although its runs may continue.
type previousTarget struct {
	target     Target
	reportedAt time.Time
}

// previousTargetRetention is how long a target may still execute runs of a previous holder
// after the last report on it: the time until entries reappear after a partition (2 s) plus a
// lease.
const previousTargetRetention = 3 * time.Second

// unlistedReportInterval is the interval of reports on unlisted targets with runs. After two reports
// that were lost, a host still knows the target for longer than the lease of its runs.
const unlistedReportInterval = 500 * time.Millisecond

// recordUnlistedTargets records the targets of the current directory that d lacks as
// previous targets.
func (r *Router) recordUnlistedTargets(d Directory) {
	listed := make(map[string]bool, len(d.Targets))
	for _, t := range d.Targets {
		listed[t.ID] = true
	}
	for _, t := range r.directory.Targets {
		if !listed[t.ID] {
			r.previousTargets[t.ID] = &previousTarget{target: t, reportedAt: r.now}
		}
	}
}

// targetsUnknownTo returns the targets of some zones that a peer may not know: the previous
// ones, and the listed ones unless the peer has the same directory.
func (r *Router) targetsUnknownTo(p *peer, zones []string) []Target {
	targets := r.knownTargets(zones)
	if p.directoryVersion != r.directory.Version || r.directory.merged {
		return targets
	}
	return slices.DeleteFunc(targets, func(t Target) bool { return r.previousTargets[t.ID] == nil })
}

// knownTargets returns the listed and previous targets of some zones.
func (r *Router) knownTargets(zones []string) []Target {
	list := slices.Clone(r.directory.Targets)
	for _, id := range sortedKeys(r.previousTargets) {
		list = append(list, r.previousTargets[id].target)
	}
	return slices.DeleteFunc(list, func(t Target) bool { return !slices.Contains(zones, t.Zone) })
}

// handlePreviousTargets records the targets that another host knows as previous
// targets. Those of held cells are asked for their runs, even if this host's directory
// lacks them.
func (r *Router) handlePreviousTargets(targets []Target) {
	for _, t := range targets {
		r.previousTargets[t.ID] = &previousTarget{target: t, reportedAt: r.now}
	}
	r.syncTargets()
}

// reportUnlistedTargets tells the hosts that may offer a job to the next holder, or become it, which
// unlisted targets of held cells have runs. The leases there are renewed for as long as the runs last,
// so that the time since the targets have left the directory does not bound them, and the directories
// of other cells' hosts never had the targets.
func (r *Router) reportUnlistedTargets() {
	if r.now.Sub(r.unlistedReportedAt) < unlistedReportInterval {
		return
	}
	r.unlistedReportedAt = r.now
	var unlisted []Target
	origins := make(map[string]bool)
	for _, t := range r.sortedTargets {
		if t.listed || !t.hasRuns() {
			continue
		}
		unlisted = append(unlisted, t.Target)
		r.previousTargets[t.ID] = &previousTarget{target: t.Target, reportedAt: r.now}
		for _, n := range t.runs {
			origins[n.job.origin] = true
		}
	}
	for _, p := range r.sortedPeers() {
		if r.isReachable(p) && (r.sharesCells(p.member.Zone) || origins[p.member.Address]) {
			r.sendPreviousTargets(p, unlisted)
		}
	}
}

// reportReleasedTargets tells the new holder of a cell which targets had runs under this host. A
// holder of another cell may never have had a directory with those that have left it since.
func (r *Router) reportReleasedTargets(c *cell) {
	var released []Target
	for _, t := range r.sortedTargets {
		if t.Zone == c.zone && t.hasRuns() {
			released = append(released, t.Target)
		}
	}
	if p := r.peers[c.claim.Holder.Address]; p != nil {
		r.sendPreviousTargets(p, released)
	}
}

// hasRuns reports whether a target may have runs, of this holder or of a previous one.
func (t *target) hasRuns() bool { return len(t.runs) > 0 || t.hasOrphans() }

// sendPreviousTargets sends a peer the targets that it may not know, if there are any.
func (r *Router) sendPreviousTargets(p *peer, targets []Target) {
	if len(targets) > 0 {
		r.send(p, Message{PreviousTargets: targets})
	}
}

// expirePreviousTargets drops previous targets that were reported longer than
// previousTargetRetention ago.
func (r *Router) expirePreviousTargets() {
	for id, previous := range r.previousTargets {
		if r.now.Sub(previous.reportedAt) > previousTargetRetention {
			delete(r.previousTargets, id)
		}
	}
}

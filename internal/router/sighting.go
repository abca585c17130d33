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

// previousTargetRetention is how long a target that is not listed may still execute
// runs of a previous holder: the time until entries reappear after a partition (2 s)
// plus a lease.
const previousTargetRetention = 3 * time.Second

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

// expirePreviousTargets drops previous targets that were reported longer than
// previousTargetRetention ago.
func (r *Router) expirePreviousTargets() {
	for id, previous := range r.previousTargets {
		if r.now.Sub(previous.reportedAt) > previousTargetRetention {
			delete(r.previousTargets, id)
		}
	}
}

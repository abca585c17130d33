package router

import (
	"slices"
	"time"
)

// previousTarget is a target that the host of a job has in its list. Its entry in the
// store lapses while it cannot reach the store, though it may run tasks.
type previousTarget struct {
	target     Target
	reportedAt time.Time
}

// previousTargetRetention is how long a target that is not listed may still run what an
// earlier holder started: the time in which entries come back after a cut (2 s)
// and a lease.
const previousTargetRetention = 3 * time.Second

// recordUnlistedTargets notes the targets of the list in force that a new one lacks.
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

// knownTargets returns the targets of some zones that this host knows of.
func (r *Router) knownTargets(zones []string) []Target {
	list := slices.Clone(r.directory.Targets)
	for _, id := range sortedKeys(r.previousTargets) {
		list = append(list, r.previousTargets[id].target)
	}
	return slices.DeleteFunc(list, func(t Target) bool { return !slices.Contains(zones, t.Zone) })
}

// handlePreviousTargets takes the list of another host. Targets of held cells are asked
// what runs there, also those that this host's own list lacks.
func (r *Router) handlePreviousTargets(targets []Target) {
	for _, t := range targets {
		r.previousTargets[t.ID] = &previousTarget{target: t, reportedAt: r.now}
	}
	r.syncTargets()
}

// expirePreviousTargets drops what other hosts told long ago.
func (r *Router) expirePreviousTargets() {
	for id, s := range r.previousTargets {
		if r.now.Sub(s.reportedAt) > previousTargetRetention {
			delete(r.previousTargets, id)
		}
	}
}

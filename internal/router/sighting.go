package router

import (
	"slices"
	"time"
)

// sighting is a target that the host of a job has in its list. Its entry in the
// store lapses while it cannot reach the store, though it may run tasks.
type sighting struct {
	target Target
	told   time.Time
}

// sightingKeep is how long a target that is not listed may still run what an
// earlier holder started: the time in which entries come back after a cut (2 s)
// and a lease.
const sightingKeep = 3 * time.Second

// noteUnlisted notes the targets of the list in force that a new one lacks.
func (r *Router) noteUnlisted(d Directory) {
	listed := make(map[string]bool, len(d.Targets))
	for _, t := range d.Targets {
		listed[t.ID] = true
	}
	for _, t := range r.directory.Targets {
		if !listed[t.ID] {
			r.former[t.ID] = &sighting{target: t, told: r.now}
		}
	}
}

// sightings returns the targets of some zones that this host knows of.
func (r *Router) sightings(zones []string) []Target {
	list := slices.Clone(r.directory.Targets)
	for _, id := range sortedKeys(r.former) {
		list = append(list, r.former[id].target)
	}
	return slices.DeleteFunc(list, func(t Target) bool { return !slices.Contains(zones, t.Zone) })
}

// handleFormer takes the list of another host. Targets of held cells are asked
// what runs there, also those that this host's own list lacks.
func (r *Router) handleFormer(targets []Target) {
	for _, t := range targets {
		r.former[t.ID] = &sighting{target: t, told: r.now}
	}
	r.syncTargets()
}

// forgetFormer drops what other hosts told long ago.
func (r *Router) forgetFormer() {
	for id, s := range r.former {
		if r.now.Sub(s.told) > sightingKeep {
			delete(r.former, id)
		}
	}
}

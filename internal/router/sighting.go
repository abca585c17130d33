package router

import "time"

// sighting is a target that the host of a job has in its list. Its entry in the
// store lapses while it cannot reach the store, though it may run tasks.
type sighting struct {
	target Target
	told   time.Time
}

// sightingKeep is how long a target of another host's list may still run what an
// earlier holder started: the time in which entries come back and a lease.
const sightingKeep = 5 * time.Second

// recallTargets takes the list of another host. Targets of held cells are asked
// what runs there, also those that this host's own list lacks.
func (r *Router) recallTargets(targets []Target) {
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

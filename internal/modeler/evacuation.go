package modeler

import "time"

const (
	// evacuationBound is how long after the operator's write a host in contact may still
	// start tasks in an evacuated zone. The platform states it.
	evacuationBound = 5 * time.Second
	// contactTime is how long a host must have been undisturbed for evacuationBound to bind
	// it. The platform states it.
	contactTime = 4 * time.Second
)

// disturb records that a place, or the store as a whole, does not work normally for a
// duration from now on.
func (sm *Simulation) disturb(place string, duration time.Duration) {
	until := sm.now.Add(duration)
	if until.After(sm.disturbedUntil[place]) {
		sm.disturbedUntil[place] = until
	}
}

// isInContact reports whether the process of a host, its connections and the store have
// worked without disturbance for contactTime.
func (sm *Simulation) isInContact(h *host) bool {
	for _, place := range []string{"store", h.name, h.zone} {
		if until, disturbed := sm.disturbedUntil[place]; disturbed && sm.now.Sub(until) < contactTime {
			return false
		}
	}
	return sm.now.Sub(h.startedAt) >= contactTime && sm.now.Sub(h.resumedAt) >= contactTime
}

// checkEvacuation records a violation if a host in contact starts a task in a zone that has
// been evacuated for longer than evacuationBound. Orders that the target executes late are
// exempt.
func (sm *Simulation) checkEvacuation(t *target, h *host, task string) {
	since, evacuated := sm.store.evacuatedSince[t.entry.Zone]
	if !evacuated || sm.executesLate {
		return
	}
	sm.Results.EvacuatedStarts = append(sm.Results.EvacuatedStarts, sm.now.Sub(since))
	if sm.now.Sub(since) > evacuationBound && sm.isInContact(h) {
		sm.recordViolation("%s started %s at %s, whose zone has been evacuated for %v", h.name, task, t.entry.ID, sm.now.Sub(since))
	}
}

// coldTime is how long targets are cold after an evacuation.
const coldTime = 4 * time.Second

// makeCold makes the targets of a zone slower by a factor for coldTime.
func (sm *Simulation) makeCold(zone string, factor float64) {
	for _, id := range sm.targetIDs {
		t := sm.targets[id]
		if t.entry.Zone != zone || !t.up {
			continue
		}
		t.coldUntil, t.coldFactor, t.entry.ColdLeft = sm.now.Add(coldTime), factor, coldTime
		sm.store.listTarget(t)
		incarnation := t.incarnation
		sm.schedule(coldTime, func() {
			t.entry.ColdLeft = 0
			if t.incarnation == incarnation {
				sm.store.listTarget(t)
			}
		})
	}
}

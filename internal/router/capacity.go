package router

import "time"

// targetHeartbeatInterval is the interval at which a target writes its entry. The platform
// states it.
const targetHeartbeatInterval = 1500 * time.Millisecond

// hasRoomFor reports whether a task fits beside the runs of a target, as far as is known.
func (r *Router) hasRoomFor(t *target, need Resources) bool {
	total := t.used.plus(need)
	return t.Capacity.Fits(total) && (r.now.After(t.rejectedUntil) || !total.Fits(t.rejectedTotal))
}

// recordLackOfRoom records that a target has rejected a task for lack of room. Its capacity has
// shrunk, and its next entry will show by how much.
func (r *Router) recordLackOfRoom(t *target, need Resources) {
	t.rejectedTotal, t.rejectedUntil = t.used.plus(need), r.now.Add(targetHeartbeatInterval+r.Bounds.DirectoryInterval)
}

// serviceKind identifies the targets of one kind in a service. They have the same capacity
// unless it has shrunk.
type serviceKind struct{ service, kind string }

func (t *Target) serviceKind() serviceKind { return serviceKind{t.Service, t.kind()} }

// shownCapacity is the largest capacity that the entries of a target's process have shown.
type shownCapacity struct {
	serviceKind
	startedAt     int64
	largest       Resources
	unlistedSince time.Time // zero while the directory lists the target
}

// recordCapacities records the capacities that the targets show, and updates the largest of each
// kind.
func (r *Router) recordCapacities(d Directory) {
	listed := make(map[string]bool, len(d.Targets))
	for i := range d.Targets {
		t := &d.Targets[i]
		listed[t.ID] = true
		shown := shownCapacity{serviceKind: t.serviceKind(), startedAt: t.StartedAt, largest: t.Capacity}
		if before, ok := r.shownCapacities[t.ID]; ok && before.serviceKind == shown.serviceKind && before.startedAt == shown.startedAt {
			shown.largest = shown.largest.largerOf(before.largest)
		}
		r.shownCapacities[t.ID] = shown
	}
	for id, shown := range r.shownCapacities {
		if !listed[id] && shown.unlistedSince.IsZero() {
			shown.unlistedSince = r.now
			r.shownCapacities[id] = shown
		}
	}
	r.updateLargestCapacities()
}

// updateLargestCapacities drops the capacities of targets that have been unlisted for longer than
// Bounds.UnlistedGrace, and computes the largest capacity of each kind from the others.
func (r *Router) updateLargestCapacities() {
	clear(r.largestCapacities)
	r.capacityExpiresAt = time.Time{}
	for id, shown := range r.shownCapacities {
		if !shown.unlistedSince.IsZero() {
			end := shown.unlistedSince.Add(r.Bounds.UnlistedGrace)
			if r.now.After(end) {
				delete(r.shownCapacities, id)
				continue
			}
			if r.capacityExpiresAt.IsZero() || end.Before(r.capacityExpiresAt) {
				r.capacityExpiresAt = end
			}
		}
		r.largestCapacities[shown.serviceKind] = r.largestCapacities[shown.serviceKind].largerOf(shown.largest)
	}
}

// expireCapacities updates the largest capacities when the grace of an unlisted target has passed.
func (r *Router) expireCapacities() {
	if !r.capacityExpiresAt.IsZero() && r.now.After(r.capacityExpiresAt) {
		r.updateLargestCapacities()
	}
}

// refuseUnplaceable returns the refusal of a job whose tasks fit targets of evacuated zones only,
// or targets whose capacity has shrunk, and false if the job fits another target. The end of an
// evacuation or of a shrink is not known, so the client may retry after maxRetryAfter.
func (r *Router) refuseUnplaceable(j *job) (Verdict, bool) {
	v := Verdict{ID: j.spec.ID, Outcome: Refused, RetryAfter: maxRetryAfter}
	switch r.bestFit(&j.spec) {
	case fitsEvacuatedZone:
		v.Reason = Evacuated
	case fitsLargestCapacity:
		v.Reason = Overload
	default:
		return Verdict{}, false
	}
	return v, true
}

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

// recordCapacities records the largest capacity that each kind of target has shown.
func (r *Router) recordCapacities(d Directory) {
	for i := range d.Targets {
		t := &d.Targets[i]
		largest := r.largestCapacities[t.serviceKind()]
		r.largestCapacities[t.serviceKind()] = Resources{
			CPU: max(largest.CPU, t.Capacity.CPU), Memory: max(largest.Memory, t.Capacity.Memory), GPU: max(largest.GPU, t.Capacity.GPU),
		}
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

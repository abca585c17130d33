package router

import (
	"slices"
	"time"
)

// Evacuations is the set of evacuated zones as of a version of the store. The targets of
// an evacuated zone get no new tasks; their runs continue.
type Evacuations struct {
	// Version is the version of the store; 0 means that the set is not known.
	Version uint64 `cbor:"1,keyasint"`
	// Zones are the evacuated zones in ascending order.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// EvacuationsRead delivers the evacuated zones in the store, which were requested at
// RequestedAt. The set is ignored unless its version is higher than the current one.
type EvacuationsRead struct {
	RequestedAt time.Time
	Evacuations Evacuations
}

func (EvacuationsRead) event() {}

// handleEvacuationsRead adopts the evacuated zones that were read from the store. An outdated
// read, which differs from the adopted set, does not confirm that set.
func (r *Router) handleEvacuationsRead(e EvacuationsRead) {
	r.adoptEvacuations(e.Evacuations, "store")
	if slices.Equal(r.evacuations.Zones, e.Evacuations.Zones) {
		r.evacuationsReadAt = later(r.evacuationsReadAt, e.RequestedAt)
	}
}

// adoptEvacuations replaces the set of evacuated zones if e has a higher version. A set
// that arrives late, from a delayed message or an outdated read of the store, has a lower
// version and is ignored.
func (r *Router) adoptEvacuations(e Evacuations, source string) {
	if e.Version <= r.evacuations.Version || r.isInvalidVersion(e.Version, "evacuations") {
		return
	}
	before := r.evacuations
	r.evacuations = e
	r.placementNeeded = true
	if before.Version > 0 && slices.Equal(before.Zones, e.Zones) {
		return
	}
	r.lastSharedChangeAt = r.now // the next heartbeats carry the new set
	for _, zone := range e.Zones {
		if !slices.Contains(before.Zones, zone) {
			r.logEvacuation(zone, "begun", source)
		}
	}
	for _, zone := range before.Zones {
		if !slices.Contains(e.Zones, zone) {
			r.logEvacuation(zone, "ended", source)
		}
	}
	for _, t := range r.sortedTargets {
		t.evacuated = r.isEvacuated(t.Zone)
	}
	r.shedBacklog()
}

// logEvacuation logs that the evacuation of a zone has begun or ended. The age is the time
// since this host last read the evacuations, which bounds the delay of the change.
func (r *Router) logEvacuation(zone, state, source string) {
	r.emit(Decision{Action: "evacuate", Pairs: []any{"zone", zone, "state", state, "version", r.evacuations.Version, "source", source, "age", r.formatAge(r.evacuationsReadAt)}})
}

// isEvacuated reports whether a zone is known to be evacuated.
func (r *Router) isEvacuated(zone string) bool { return slices.Contains(r.evacuations.Zones, zone) }

// knowsEvacuations reports whether this host knows the set of evacuated zones. Until it
// does, it starts no tasks. The set comes with the configuration from the store, or in the
// first heartbeat of any host that knows it.
func (r *Router) knowsEvacuations() bool { return r.evacuations.Version > 0 }

// shedBacklog aborts the queued jobs that can no longer be in time after the capacity has
// shrunk, so that their clients hear at once. Jobs are kept in the order of placement, as
// many as the remaining capacity completes in time. Jobs that may have started and jobs
// that may not start yet are left to recheckQueuedJob.
func (r *Router) shedBacklog() {
	if r.queue.Len() == 0 || r.Policy.Admission == AdmitAll {
		return
	}
	ahead := make(map[string]float64) // work of the jobs that are kept, by service
	for _, j := range r.orderedQueue() {
		if !j.mayHaveStarted && !j.reoffered && !r.cannotStartYet(j) {
			if v, refused := r.recheckAdmission(j, ahead[j.spec.Service]); refused {
				r.endJob(j, v)
				continue
			}
		}
		ahead[j.spec.Service] += j.pendingWork()
	}
}

// recheckAdmission decides whether a queued job that has not started is refused after all,
// given the work that is placed before it, in thousandths of a core times seconds.
func (r *Router) recheckAdmission(j *job, ahead float64) (Verdict, bool) {
	if v, refused := r.refuseUnplaceable(j); refused {
		return v, true
	}
	free, total := r.capacity(j)
	wait := r.waitBehind(j, ahead, free, total)
	if !r.now.Add(wait).After(r.admissionBound(j)) {
		return Verdict{}, false
	}
	return Verdict{Outcome: Refused, Reason: Overload, RetryAfter: min(max(r.now.Add(wait).Sub(j.latestStart), minRetryAfter), maxRetryAfter)}, true
}

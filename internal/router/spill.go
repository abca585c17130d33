package router

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimsReadInterval is the interval at which a host that does not reach the holder of a
	// followed zone reads the claims from the store: the time of a takeover.
	claimsReadInterval = 400 * time.Millisecond
	// maxNeighbours is the number of zones whose holders a holder follows, to know where there
	// is room. It is constant, so that the heartbeats of a holder do not grow with the zones.
	maxNeighbours = 2
	// maxSpillWait is how long a job that was refused waits for a connection to the zone that
	// has room. The refusal is held back meanwhile, so it covers one heartbeat and no more.
	maxSpillWait = 100 * time.Millisecond
	// spillFollowDuration is how long a host stays connected to a zone that was given a job.
	spillFollowDuration = 10 * time.Second
)

// followZones decides which other zones' holders this host needs, and looks for those that it
// does not reach. Where each zone has a holder of its own, the holder of an evacuated zone has
// no targets, so the zone's hosts offer their jobs to the holders of the other zones. A holder
// that is overloaded names a zone that has room in its refusal, and the job's host offers the
// job there. Hosts follow a zone until no request is open there.
func (r *Router) followZones() {
	r.followedZones = r.zonesToFollow()
	missing := false
	for _, zone := range sortedKeys(r.followedZones) {
		if c := r.cell(zone); c.claim.Token > 0 {
			r.addPeer(c.claim.Holder)
		}
		missing = missing || r.reachableHolder(zone) == nil
	}
	// A holder that cannot be reached may have been replaced, which the store knows.
	if missing && r.now.Sub(r.claimsRequestedAt) >= claimsReadInterval {
		r.claimsRequestedAt = r.now
		r.emit(ReadClaims{})
	}
}

// zonesToFollow returns the other zones that serve requests of this host or did so recently, the
// neighbours of a holder's zone, and all other open zones while this host's own zone is
// evacuated.
func (r *Router) zonesToFollow() map[string]bool {
	if !r.holderPerZone {
		return nil
	}
	var zones map[string]bool
	follow := func(zone string) {
		if zones == nil {
			zones = make(map[string]bool)
		}
		zones[zone] = true
	}
	for _, zone := range r.referralZones() {
		follow(zone)
	}
	for zone, at := range r.spilledAt {
		if r.now.Sub(at) < spillFollowDuration {
			follow(zone)
		}
	}
	if c := r.cells[r.Self.Zone]; c != nil && c.heldHere {
		for _, zone := range r.neighbourZones() {
			follow(zone)
		}
	}
	if r.isEvacuated(r.Self.Zone) {
		for zone := range r.cells {
			if zone != r.Self.Zone && !r.isEvacuated(zone) {
				follow(zone)
			}
		}
	}
	for _, q := range r.requestsByJob {
		if q.holder != "" && q.zone != r.Self.Zone {
			follow(q.zone)
		}
	}
	return zones
}

// isFollowedHolder reports whether a host holds the cell of a followed zone.
func (r *Router) isFollowedHolder(address string) bool {
	for zone := range r.followedZones {
		if r.cells[zone].claim.Holder.Address == address {
			return true
		}
	}
	return false
}

// zoneFor returns the zone whose holder serves a request: the one that was offered the job,
// or else this host's own. While that is evacuated, it is another zone whose holder is
// reachable, chosen by the job's ID, so that a repeated submission reaches the same holder.
// It returns "" if none is reachable yet.
func (r *Router) zoneFor(q *request) string {
	if q.holder != "" {
		return q.zone
	}
	if q.spill.zone != "" && !q.spill.returned {
		return q.spill.zone
	}
	if !r.servesElsewhere() {
		return r.Self.Zone
	}
	var zones []string
	for _, zone := range sortedKeys(r.followedZones) {
		if !slices.Contains(q.evacuatedZones, zone) && !r.isEvacuated(zone) && r.reachableHolder(zone) != nil {
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	return zones[xxhash.Sum64String(q.job.ID)%uint64(len(zones))]
}

// servesElsewhere reports whether this host's requests go to the holders of other zones. If
// every zone is evacuated, the own zone's holder refuses them at once.
func (r *Router) servesElsewhere() bool {
	if !r.holderPerZone || !r.isEvacuated(r.Self.Zone) {
		return false
	}
	for zone := range r.cells {
		if !r.isEvacuated(zone) {
			return true
		}
	}
	return false
}

// offerElsewhere offers a request whose holder refused it because its zone is evacuated to
// the holder of another zone. It returns false if there is no other zone left.
func (r *Router) offerElsewhere(q *request) bool {
	q.evacuatedZones = append(q.evacuatedZones, q.zone)
	for zone := range r.cells {
		if zone != r.Self.Zone && r.servesElsewhere() && !r.isEvacuated(zone) && !slices.Contains(q.evacuatedZones, zone) {
			q.holder, q.token = "", 0
			r.offerRequest(q)
			return true
		}
	}
	return false
}

// neighbourZones returns the other open zones whose holders the holder of this zone follows:
// the next ones in the order of names.
func (r *Router) neighbourZones() []string {
	zones := sortedKeys(r.cells)
	self, _ := slices.BinarySearch(zones, r.Self.Zone)
	var neighbours []string
	for i := 1; i < len(zones) && len(neighbours) < maxNeighbours; i++ {
		if zone := zones[(self+i)%len(zones)]; !r.isEvacuated(zone) {
			neighbours = append(neighbours, zone)
		}
	}
	return neighbours
}

// headroom returns how many more tasks of average size this host's targets could start beside the
// waiting ones, by service.
func (r *Router) headroom() map[string]int {
	c := r.cells[r.Self.Zone]
	if !r.holderPerZone || c == nil || !c.heldHere {
		return nil
	}
	headroom := make(map[string]int)
	for _, t := range r.sortedTargets {
		if need := r.meanNeeds[t.Service]; need >= 1 && r.isUsable(t) {
			headroom[t.Service] += int(float64(max(t.Capacity.CPU-t.used.CPU, 0)) / need)
		}
	}
	for _, j := range r.queue.Items() {
		headroom[j.spec.Service] -= j.waitingCount
	}
	maps.DeleteFunc(headroom, func(_ string, tasks int) bool { return tasks <= 0 })
	return headroom
}

// zoneWithHeadroom returns the neighbour zone with the most headroom for a job that is refused here, or
// "" if none has enough. The headroom that a holder reports is reduced by what is sent there until
// its next heartbeat.
func (r *Router) zoneWithHeadroom(j *job) string {
	if !r.holderPerZone || !r.isEnabled(OverloadSpill) || r.hasEarlierRuns(j) {
		return ""
	}
	var best *peer
	bestZone := ""
	for _, zone := range sortedKeys(r.followedZones) {
		holder := r.reachableHolder(zone)
		if holder == nil || r.isEvacuated(zone) {
			continue
		}
		if p := r.peers[holder.Address]; p != nil && r.now.Sub(p.lastHeartbeatReceivedAt) <= r.balancer.MaxAge && (best == nil || p.headroom[j.spec.Service] > best.headroom[j.spec.Service]) {
			best, bestZone = p, zone
		}
	}
	if best == nil || best.headroom[j.spec.Service] < j.spec.Count {
		return ""
	}
	best.headroom[j.spec.Service] -= j.spec.Count
	return bestZone
}

// spill is the offer of a job that the own zone's holder has refused to another zone. The zero
// value means that there is none.
type spill struct {
	zone      string
	refusal   Verdict // of the own zone's holder
	startedAt time.Time
	returned  bool // to the own zone; see returnHome
}

// hasFailed reports whether the holder of the other zone should have been reached by now.
func (s *spill) hasFailed(now time.Time) bool {
	return s.zone != "" && !s.returned && now.Sub(s.startedAt) > maxSpillWait
}

// spillRequest offers a request that its holder refused for overload to the holder of the zone
// that has room. If that cannot be reached in time, the refusal is the answer. A request is
// spilled once; for another time, spillRequest returns false.
func (r *Router) spillRequest(q *request, refusal Verdict) bool {
	if q.spill.zone != "" {
		return false
	}
	q.spill = spill{zone: refusal.Elsewhere, refusal: refusal, startedAt: r.now}
	q.holder, q.token = "", 0
	r.spilledAt[q.spill.zone] = r.now
	r.followZones()
	r.offerRequest(q)
	if refusal.Referred && q.holder == "" && len(q.previousZones) == 0 {
		r.returnHome(q)
	}
	return true
}

// endFailedSpill goes on with a request whose spill has failed.
func (r *Router) endFailedSpill(q *request) {
	if q.spill.refusal.Referred {
		r.returnHome(q)
		return
	}
	r.answerRequest(q, q.spill.refusal)
}

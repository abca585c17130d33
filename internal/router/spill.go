package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// claimsReadInterval is the interval at which a host that does not reach the holder of a
// followed zone reads the claims from the store: the time of a takeover.
const claimsReadInterval = 400 * time.Millisecond

// followZones decides which other zones' holders this host needs, and looks for those that it
// does not reach. Where each zone has a holder of its own, the holder of an evacuated zone has
// no targets, so the zone's hosts offer their jobs to the holders of the other zones. They
// follow these until no request is open there.
func (r *Router) followZones() {
	r.followedZones = r.zonesToFollow()
	missing := false
	for _, zone := range sortedKeys(r.followedZones) {
		if c := r.cell(zone); c.claim.Token > 0 {
			r.addPeer(c.claim.Holder)
		}
		missing = missing || r.reachableHolder(zone) == nil
	}
	// A holder that is known answers within a heartbeat, and the store has nothing newer.
	if missing && r.now.Sub(r.claimsRequestedAt) >= claimsReadInterval {
		r.claimsRequestedAt = r.now
		r.emit(ReadClaims{})
	}
}

// zonesToFollow returns the other zones that serve requests of this host, and all other open
// zones while this host's own zone is evacuated.
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

package router

import (
	"slices"
	"strconv"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/balancer"
)

const (
	// maxReachableZones bounds the zones that an offer names as reachable.
	maxReachableZones = 2 * maxNeighbours
	// lastReferralSlack is the slack from which a queued job is referred if another zone can start it at
	// once: two ticks besides the time of the transfer.
	lastReferralSlack = 50 * time.Millisecond
	// never is a wait that no job has time for.
	never = 24 * time.Hour
	// maxPublishedServices bounds the services for which a heartbeat tells the load.
	maxPublishedServices = 256
)

// ServiceLoad is the load of a zone's targets of one service, which the holder publishes.
type ServiceLoad struct {
	// Size is how many tasks of average size the usable targets can run at a time.
	Size int `cbor:"1,keyasint,omitempty"`
	// Wait is how long the targets take for the work that waits.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

// checkLoads checks the loads in a heartbeat.
func checkLoads(loads map[string]ServiceLoad, neighbours []string) error {
	if len(loads) > maxPublishedServices {
		return &MalformedError{"the number of loads", strconv.Itoa(len(loads))}
	}
	for _, l := range loads {
		if l.Size < 0 || l.Size > maxSampleCount || l.Wait < 0 || l.Wait > maxDuration {
			return &MalformedError{"the load of a service", strconv.Itoa(l.Size) + " tasks, " + l.Wait.String()}
		}
	}
	return checkZoneNames(neighbours)
}

// checkZoneNames checks a list of zones to which jobs may be referred.
func checkZoneNames(zones []string) error {
	if len(zones) > maxReachableZones {
		return &MalformedError{"the number of zones", strconv.Itoa(len(zones))}
	}
	for _, zone := range zones {
		if !isStorable(zone) {
			return &MalformedError{"the name of a zone", strconv.Itoa(len(zone)) + " bytes long"}
		}
	}
	return nil
}

// ownLoads returns the loads that the holder of this host's zone publishes. It publishes none while its
// targets are still being fenced and the zone's hosts have not all offered their jobs again.
func (r *Router) ownLoads() map[string]ServiceLoad {
	c := r.cells[r.Self.Zone]
	if !r.holderPerZone || c == nil || !c.heldHere || r.now.Sub(c.acquiredAt) < r.Bounds.PeerTimeout {
		return nil
	}
	loads := make(map[string]ServiceLoad)
	for service := range r.meanNeeds {
		if l := r.ownLoad(service); l.Size > 0 && len(loads) < maxPublishedServices {
			loads[service] = ServiceLoad{Size: l.Size, Wait: l.Wait}
		}
	}
	return loads
}

// ownLoad returns the load of this host's zone for a service, without its free room.
func (r *Router) ownLoad(service string) balancer.Load {
	size, total, work := 0, 0, 0.0
	for _, t := range r.sortedTargets {
		if t.Service != service || !r.isSoonUsable(t) {
			continue
		}
		total += r.effectiveCPU(t)
		if need := r.meanNeeds[service]; need >= 1 {
			size += int(float64(t.Capacity.CPU) / need)
		}
	}
	for _, j := range r.queue.Items() {
		if j.spec.Service == service && !r.cannotStartYet(j) {
			work += j.pendingWork()
		}
	}
	return balancer.Load{Zone: r.Self.Zone, Size: size, Wait: r.backlogWait(work, total)}
}

// neighbourLoads returns the published loads of the neighbour zones for a service.
func (r *Router) neighbourLoads(service string) []balancer.Load {
	var loads []balancer.Load
	for _, zone := range sortedKeys(r.followedZones) {
		holder := r.reachableHolder(zone)
		if holder == nil || r.isEvacuated(zone) {
			continue
		}
		if p := r.peers[holder.Address]; p != nil {
			l := p.loads[service]
			loads = append(loads, balancer.Load{Zone: zone, Free: p.headroom[service], Size: l.Size, Wait: l.Wait, Age: r.now.Sub(p.lastHeartbeatReceivedAt)})
		}
	}
	return loads
}

// addToNeighbour adds a referred job to the known load of the zone to which it goes.
func (r *Router) addToNeighbour(zone, service string, j balancer.Job) {
	holder := r.reachableHolder(zone)
	if holder == nil || r.peers[holder.Address] == nil {
		return
	}
	p := r.peers[holder.Address]
	l := balancer.Load{Free: p.headroom[service], Size: p.loads[service].Size, Wait: p.loads[service].Wait}
	r.balancer.Add(&l, j)
	if p.headroom != nil {
		p.headroom[service] = l.Free
	}
	if p.loads != nil {
		p.loads[service] = ServiceLoad{Size: l.Size, Wait: l.Wait}
	}
}

// isReferable reports whether a job may be referred: it is one of this zone's clients, and its host can
// offer it to another zone at once.
func (r *Router) isReferable(j *job) bool {
	return r.holderPerZone && len(j.reachableZones) > 0 && !r.hasEarlierRuns(j) && j.zone == r.Self.Zone && r.zoneOf(j.origin) == j.zone && r.balancesZones()
}

// balancesZones reports whether jobs are referred to other zones. Referrals extend spills.
func (r *Router) balancesZones() bool {
	return r.isEnabled(ZoneBalancing) && r.isEnabled(OverloadSpill)
}

// referJob refers a job to a neighbour zone that can start it earlier, if the job's host reaches the
// holder there. wait is how long the job is expected to wait here. It returns false if the job stays.
func (r *Router) referJob(j *job, wait time.Duration) (Verdict, bool) {
	if wait <= 0 || !r.isReferable(j) {
		return Verdict{}, false
	}
	job := balancer.Job{Tasks: j.waitingCount, RunTime: j.expectedRunTime, Wait: wait, Slack: r.admissionBound(j).Sub(r.now)}
	neighbours := slices.DeleteFunc(r.neighbourLoads(j.spec.Service), func(l balancer.Load) bool { return !slices.Contains(j.reachableZones, l.Zone) })
	own := r.ownLoad(j.spec.Service)
	decision := r.balancer.Decide(job, own, neighbours)
	if decision.Action != balancer.Refer {
		return Verdict{}, false
	}
	r.addToNeighbour(decision.Zone, j.spec.Service, job)
	r.emit(Decision{Action: "refer", Job: j.spec.ID, Pairs: r.decisionPairs(j, "zone", decision.Zone, "wait", wait.String(), "there", decision.Wait.String(), "own", own.Wait.String())})
	return Verdict{ID: j.spec.ID, Outcome: Refused, Reason: Overload, RetryAfter: minRetryAfter, Elsewhere: decision.Zone, Referred: true}, true
}

// referQueuedJob refers a job of which no task has started although little of its slack is left, and
// ends it here. It returns false if the job stays.
func (r *Router) referQueuedJob(j *job) bool {
	slack := j.latestStart.Sub(r.now)
	if j.mayHaveStarted || j.mayHaveStartedEarlier || j.reoffered || slack < r.balancer.TransferTime || slack > lastReferralSlack {
		return false
	}
	hasRoom := func(l balancer.Load) bool { return l.Free >= j.waitingCount }
	if !r.isReferable(j) || !slices.ContainsFunc(r.neighbourLoads(j.spec.Service), hasRoom) {
		return false
	}
	v, referred := r.referJob(j, never)
	if referred {
		r.shareOf(j).addDemand(r.now, -j.pendingWork())
		r.endJob(j, v)
	}
	return referred
}

// reachableZones returns the zones to which a request can be referred: other zones whose holders this
// host reaches. It is empty for a request that has been referred already.
func (r *Router) reachableZones(q *request) []string {
	if !r.holderPerZone || q.spill.zone != "" || q.zone != r.Self.Zone || len(q.previousZones) > 0 {
		return nil
	}
	var zones []string
	for _, zone := range sortedKeys(r.followedZones) {
		if h := r.reachableHolder(zone); h != nil && !r.isSuspect(h.Address) && len(zones) < maxReachableZones {
			zones = append(zones, zone)
		}
	}
	return zones
}

// referralPeriod is how long a holder tells its hosts to stay connected to the neighbours after jobs
// were likely to be referred. It outlasts a wave of load.
const referralPeriod = 10 * time.Second

// likelyReferrals returns the neighbour zones to which jobs may soon be referred. The hosts of the
// holder's zone connect to the holders there, so that the first job does not wait for it.
func (r *Router) likelyReferrals(headroom map[string]int, loads map[string]ServiceLoad) []string {
	for service, l := range loads {
		if balancer.IsReferralLikely(balancer.Load{Free: headroom[service], Size: l.Size, Wait: l.Wait}, r.neighbourLoads(service)) {
			r.referralLikelyAt = r.now
		}
	}
	if r.referralLikelyAt.IsZero() || r.now.Sub(r.referralLikelyAt) > referralPeriod || !r.balancesZones() {
		return nil
	}
	var zones []string
	for _, zone := range r.neighbourZones() {
		if r.reachableHolder(zone) != nil {
			zones = append(zones, zone)
		}
	}
	return zones
}

// referralZones returns the zones to which the holder of this host's zone may soon refer jobs.
func (r *Router) referralZones() []string {
	holder := r.reachableHolder(r.Self.Zone)
	if holder == nil || r.peers[holder.Address] == nil {
		return nil // this host holds the cell and follows its neighbours anyway
	}
	return slices.DeleteFunc(slices.Clone(r.peers[holder.Address].neighbours), func(zone string) bool {
		return zone == r.Self.Zone || r.cells[zone] == nil || r.isEvacuated(zone)
	})
}

// returnHome offers a referred request to the own zone's holder again, which could have served it,
// because the zone that it was referred to cannot be reached. It is not referred another time.
func (r *Router) returnHome(q *request) {
	q.spill.returned = true
	q.holder, q.token = "", 0
	q.arrivedAt = q.arrivedAt.Add(time.Nanosecond) // another submission ID: the holder has ended the first
	r.emit(Decision{Action: "unreferred", Job: q.job.ID, Pairs: []any{"zone", q.spill.zone}})
	r.offerRequest(q)
}

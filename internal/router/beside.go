package router

import (
	"fmt"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/separator"
)

const (
	// maxInterferencePenalty bounds the penalty of a target where tasks of the job's route and of others would
	// slow each other down. It is below otherZonePenalty, so that every other penalty outweighs it.
	maxInterferencePenalty = 35_000
	// interferencePenalty is the penalty for a factor of e on run times. A pair that costs 1.5 times has
	// most of maxInterferencePenalty.
	interferencePenalty = 70_000
	// maxSentInterferences bounds the pairs of routes in one heartbeat, of about 30 bytes each.
	maxSentInterferences = 32
	// maxReceivedInterferences bounds the pairs that are taken from one heartbeat.
	maxReceivedInterferences = 1000
)

// companion is a route of which tasks ran beside a run at its target.
type companion struct {
	route    string
	atStart  bool          // one ran when the run started
	duration time.Duration // for how long tasks of the route ran, added up over these tasks
}

// companionOf returns the entry of a route that ran beside a run. It adds one if there is none.
func (n *run) companionOf(route string) *companion {
	for i := range n.companions {
		if n.companions[i].route == route {
			return &n.companions[i]
		}
	}
	n.companions = append(n.companions, companion{route: route})
	return &n.companions[len(n.companions)-1]
}

// recordCompanions records which routes run at the target of a run that starts.
func (r *Router) recordCompanions(n *run) {
	if !r.isEnabled(InterferenceAvoidance) {
		return
	}
	for _, other := range n.target.runs {
		if other != n {
			n.companionOf(other.job.spec.Route).atStart = true
		}
	}
}

// recordOverlap records for how long a run that leaves its target ran beside the others there.
func (r *Router) recordOverlap(n *run) {
	if !r.isEnabled(InterferenceAvoidance) {
		return
	}
	for _, other := range n.target.runs {
		if other != n {
			overlap := r.now.Sub(later(n.sentAt, other.sentAt))
			n.companionOf(other.job.spec.Route).duration += overlap
			other.companionOf(n.job.spec.Route).duration += overlap
		}
	}
}

// learnInterference adds a finished run to what is known of its route. deviation is the logarithm of its run
// time over the expected one. Of each job the first task counts, since the tasks of a job take longer or
// shorter together.
func (r *Router) learnInterference(n *run, deviation float64, runTime time.Duration) {
	if n.task != 0 || !r.isEnabled(InterferenceAvoidance) {
		return
	}
	companions := make([]separator.Companion, 0, len(n.companions))
	for _, c := range n.companions {
		companions = append(companions, separator.Companion{Route: c.route, AtStart: c.atStart, Share: min(c.duration.Seconds()/runTime.Seconds(), 1)})
	}
	r.separator.Record(n.job.spec.Route, deviation, companions)
}

// refreshInterferences judges the pairs of routes when it is due, and logs those that are noticed or forgotten.
func (r *Router) refreshInterferences() {
	if len(r.targets) == 0 {
		return
	}
	for _, c := range r.separator.Refresh(r.now) {
		r.emit(Decision{Action: "interference", Pairs: []any{
			"noticed", c.Noticed, "route", c.Route, "beside", c.Beside, "permille", c.Ratio, "runs", c.Samples, "together", c.SamplesBeside,
		}})
	}
}

// interferencePenaltyOf returns the penalty of a target for the routes that run there. It only orders targets that
// have room.
func (r *Router) interferencePenaltyOf(j *job, t *target) int {
	if r.separator.IsEmpty() || !r.isEnabled(InterferenceAvoidance) {
		return 0
	}
	cost := 0.0
	for _, n := range t.runs {
		cost = max(cost, r.separator.Cost(j.spec.Route, n.job.spec.Route))
	}
	return min(int(interferencePenalty*cost), maxInterferencePenalty)
}

// importInterferences adopts the pairs that the holder of this host's zone has noticed.
func (r *Router) importInterferences(p *peer, heartbeat *Heartbeat) {
	if r.holdsAnyCell() || len(heartbeat.Routes) == 0 || r.cell(r.Self.Zone).claim.Holder.Address != p.member.Address {
		return
	}
	r.separator.Import(heartbeat.Interferences, r.now)
}

// checkInterferences checks pairs of routes that were received from another host.
func checkInterferences(pairs []separator.Pair) error {
	if len(pairs) > maxReceivedInterferences {
		return &MalformedError{"the number of pairs of routes", fmt.Sprint(len(pairs))}
	}
	for _, p := range pairs {
		if !p.IsSound() {
			return &MalformedError{"a pair of routes", fmt.Sprint(p)}
		}
	}
	return nil
}

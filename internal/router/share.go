package router

import (
	"math"
	"slices"
	"time"
)

// share is what a route asks of its service's targets, and what it may take while
// all routes together ask for more than there is.
type share struct {
	service string
	// demand is the work that its jobs bring, in thousandths of a core, over the
	// last time of shareWindow, as of noted.
	demand          float64
	demandUpdatedAt time.Time
	// workBudget is the work, in thousandths of a core times seconds, that it may still
	// take within its share, as of granted.
	workBudget float64
	refilledAt time.Time
	// overloadedSince is when the spell of overload began in which the last refusal fell.
	overloadedSince, lastRefusedAt time.Time
}

const (
	// demandWindow is the time over which the work asked for is averaged: some ten
	// jobs of the rarest usual route.
	demandWindow = 1500 * time.Millisecond
	// shareBurst is the time for which a route may save up its share: a few jobs of the
	// rarest usual route.
	shareBurst = 250 * time.Millisecond
	// shareUtilization is the part of the targets' processors that tasks can fill.
	shareUtilization = 0.9
	// overloadGap is the time without a refusal that ends a spell of overload: refusals of
	// the busiest route are closer in one.
	overloadGap = 500 * time.Millisecond
	// maxOverloadBackoff bounds how much longer a spell of overload is expected to last, to
	// about what a client waits for an answer.
	maxOverloadBackoff = time.Second
)

// demandRate returns the work asked for at a time.
func (s *share) demandRate(now time.Time) float64 {
	return s.demand * math.Exp(-now.Sub(s.demandUpdatedAt).Seconds()/demandWindow.Seconds())
}

// addDemand notes work that is asked for.
func (s *share) addDemand(now time.Time, work float64) {
	s.demand = s.demandRate(now) + work/demandWindow.Seconds()
	s.demandUpdatedAt = now
}

// refill adds what the route may take up to now at a level.
func (s *share) refill(now time.Time, rate float64) {
	s.workBudget = min(s.workBudget+rate*now.Sub(s.refilledAt).Seconds(), rate*shareBurst.Seconds())
	s.refilledAt = now
}

// recordRefusal notes a refusal and returns for how long the route will stay overloaded: for
// as long as it has been, as nothing else is known.
func (s *share) recordRefusal(now time.Time) time.Duration {
	if s.lastRefusedAt.IsZero() || now.Sub(s.lastRefusedAt) > overloadGap {
		s.overloadedSince = now
	}
	s.lastRefusedAt = now
	return min(now.Sub(s.overloadedSince), maxOverloadBackoff)
}

// pendingWork returns what a job's waiting tasks take, in thousandths of a core times
// seconds.
func (j *job) pendingWork() float64 {
	return float64(j.waitingCount*j.spec.Need.CPU) * j.expectedRunTime.Seconds()
}

// shareOf returns the share of a job's route.
func (r *Router) shareOf(j *job) *share {
	s := r.routeShares[j.spec.Route]
	if s == nil || s.service != j.spec.Service {
		s = &share{service: j.spec.Service, demandUpdatedAt: r.now}
		r.routeShares[j.spec.Route] = s
	}
	return s
}

// exceedsFairShare notes what a job asks for and reports whether its route is beyond its fair
// share: the routes of a service get what they ask for, up to a level at which all
// together get what there is: so much processor, in thousandths of a core.
func (r *Router) exceedsFairShare(j *job, total int) bool {
	s := r.shareOf(j)
	s.addDemand(r.now, j.pendingWork())
	if r.Policy.Sharing == NoSharing {
		return false
	}
	fairRate := r.fairRate(s.service, float64(total)*shareUtilization)
	if math.IsInf(fairRate, 1) {
		s.workBudget, s.refilledAt = 0, time.Time{}
		return false
	}
	if s.refilledAt.IsZero() {
		s.workBudget, s.refilledAt = fairRate*shareBurst.Seconds(), r.now
	}
	s.refill(r.now, fairRate)
	return s.workBudget <= 0
}

// fairRate returns the rate of work up to which each route of a service gets all that it
// asks for; it is infinite while there is enough for all.
func (r *Router) fairRate(service string, total float64) float64 {
	var rates []float64
	sum := 0.0
	for _, route := range sortedKeys(r.routeShares) {
		if s := r.routeShares[route]; s.service == service {
			rates = append(rates, s.demandRate(r.now))
			sum += s.demandRate(r.now)
		}
	}
	if sum <= total {
		return math.Inf(1)
	}
	slices.Sort(rates)
	for i, rate := range rates {
		if equalRate := total / float64(len(rates)-i); rate >= equalRate {
			return equalRate
		}
		total -= rate
	}
	return math.Inf(1)
}

package router

import (
	"math"
	"slices"
	"time"
)

// share tracks the demand of a route, and the work that the route may take while its service is
// overloaded.
type share struct {
	service string
	// demand is the work per second that the route's jobs ask for, in thousandths of a core, as
	// of demandUpdatedAt. It decays exponentially with the time constant demandWindow.
	demand          float64
	demandUpdatedAt time.Time
	// workBudget is the work that the route may still take within its fair share, in
	// thousandths of a core times seconds, as of refilledAt.
	workBudget float64
	refilledAt time.Time
	// overloadedSince is the start of the overload period that the last refusal belongs to.
	overloadedSince, lastRefusedAt time.Time
}

const (
	// demandWindow is the time constant of the mean demand: the time in which about ten jobs of
	// the least frequent regular route arrive.
	demandWindow = 1500 * time.Millisecond
	// shareBurst is the time for which a route may accumulate unused budget: the time in which
	// a few jobs of the least frequent regular route arrive.
	shareBurst = 250 * time.Millisecond
	// shareUtilization is the part of the targets' CPU that tasks can fill.
	shareUtilization = 0.9
	// overloadGap is the time without a refusal that ends an overload period. During an overload
	// period, refusals of the busiest route are closer together.
	overloadGap = 500 * time.Millisecond
	// maxOverloadBackoff bounds the overload backoff to about the time that a client waits for
	// an answer.
	maxOverloadBackoff = time.Second
)

// demandRate returns the demand at the given time, in thousandths of a core.
func (s *share) demandRate(now time.Time) float64 {
	return s.demand * math.Exp(-now.Sub(s.demandUpdatedAt).Seconds()/demandWindow.Seconds())
}

// addDemand adds the work of a new job, in thousandths of a core times seconds.
func (s *share) addDemand(now time.Time, work float64) {
	s.demand = s.demandRate(now) + work/demandWindow.Seconds()
	s.demandUpdatedAt = now
}

// refill adds the work that the route may take between refilledAt and now at the given rate.
// The budget holds at most the work of shareBurst.
func (s *share) refill(now time.Time, rate float64) {
	s.workBudget = min(s.workBudget+rate*now.Sub(s.refilledAt).Seconds(), rate*shareBurst.Seconds())
	s.refilledAt = now
}

// recordRefusal records a refusal and returns how long the overload is expected to last: as
// long as it has lasted already, since nothing else is known.
func (s *share) recordRefusal(now time.Time) time.Duration {
	if s.lastRefusedAt.IsZero() || now.Sub(s.lastRefusedAt) > overloadGap {
		s.overloadedSince = now
	}
	s.lastRefusedAt = now
	return min(now.Sub(s.overloadedSince), maxOverloadBackoff)
}

// pendingWork returns the work of a job's waiting tasks, in thousandths of a core times
// seconds.
func (j *job) pendingWork() float64 {
	return float64(j.waitingCount) * float64(j.spec.Need.CPU) * j.expectedRunTime.Seconds()
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

// exceedsFairShare adds a job to the demand of its route and refills the route's budget, and
// reports whether the route exceeds its fair share (its budget is used up). The fair shares of
// a service's routes follow max-min fairness: each route gets what it demands, up to a rate at
// which all routes together use the available CPU. total is the CPU of the service's targets in
// thousandths of a core.
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

// fairRate returns the rate of work up to which each route of a service gets its full demand,
// for a capacity of total, both in thousandths of a core. It returns infinity if the capacity
// covers the demand of all routes.
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

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
	// asked is the work that its jobs bring, in thousandths of a core, over the
	// last time of shareWindow, as of noted.
	asked float64
	noted time.Time
	// credit is the work, in thousandths of a core times seconds, that it may still
	// take within its share, as of granted.
	credit  float64
	granted time.Time
	// overloaded is when the spell of overload began in which the last refusal fell.
	overloaded, refused time.Time
}

const (
	// shareWindow is the time over which the work asked for is averaged: some ten
	// jobs of the rarest usual route.
	shareWindow = 1500 * time.Millisecond
	// shareBurst is the time for which a route may save up its share: a few jobs of the
	// rarest usual route.
	shareBurst = 250 * time.Millisecond
	// shareFill is the part of the targets' processors that tasks can fill.
	shareFill = 0.9
	// spellGap is the time without a refusal that ends a spell of overload: refusals of
	// the busiest route are closer in one.
	spellGap = 500 * time.Millisecond
	// longestSpell bounds how much longer a spell of overload is expected to last, to
	// about what a client waits for an answer.
	longestSpell = time.Second
)

// rate returns the work asked for at a time.
func (s *share) rate(now time.Time) float64 {
	return s.asked * math.Exp(-now.Sub(s.noted).Seconds()/shareWindow.Seconds())
}

// ask notes work that is asked for.
func (s *share) ask(now time.Time, work float64) {
	s.asked = s.rate(now) + work/shareWindow.Seconds()
	s.noted = now
}

// grant adds what the route may take up to now at a level.
func (s *share) grant(now time.Time, level float64) {
	s.credit = min(s.credit+level*now.Sub(s.granted).Seconds(), level*shareBurst.Seconds())
	s.granted = now
}

// refuse notes a refusal and returns for how long the route will stay overloaded: for
// as long as it has been, as nothing else is known.
func (s *share) refuse(now time.Time) time.Duration {
	if s.refused.IsZero() || now.Sub(s.refused) > spellGap {
		s.overloaded = now
	}
	s.refused = now
	return min(now.Sub(s.overloaded), longestSpell)
}

// work returns what a job's waiting tasks take, in thousandths of a core times
// seconds.
func (j *job) work() float64 {
	return float64(j.waiting*j.spec.Need.CPU) * j.expect.Seconds()
}

// shareOf returns the share of a job's route.
func (r *Router) shareOf(j *job) *share {
	s := r.shares[j.spec.Route]
	if s == nil || s.service != j.spec.Service {
		s = &share{service: j.spec.Service, noted: r.now}
		r.shares[j.spec.Route] = s
	}
	return s
}

// exceeds notes what a job asks for and reports whether its route is beyond its fair
// share: the routes of a service get what they ask for, up to a level at which all
// together get what there is: so much processor, in thousandths of a core.
func (r *Router) exceeds(j *job, total int) bool {
	s := r.shareOf(j)
	s.ask(r.now, j.work())
	if r.Policy.Sharing == NoSharing {
		return false
	}
	level := r.level(s.service, float64(total)*shareFill)
	if math.IsInf(level, 1) {
		s.credit, s.granted = 0, time.Time{}
		return false
	}
	if s.granted.IsZero() {
		s.credit, s.granted = level*shareBurst.Seconds(), r.now
	}
	s.grant(r.now, level)
	return s.credit <= 0
}

// level returns the rate of work up to which each route of a service gets all that it
// asks for; it is infinite while there is enough for all.
func (r *Router) level(service string, total float64) float64 {
	var rates []float64
	sum := 0.0
	for _, route := range sortedKeys(r.shares) {
		if s := r.shares[route]; s.service == service {
			rates = append(rates, s.rate(r.now))
			sum += s.rate(r.now)
		}
	}
	if sum <= total {
		return math.Inf(1)
	}
	slices.Sort(rates)
	for i, rate := range rates {
		if even := total / float64(len(rates)-i); rate >= even {
			return even
		}
		total -= rate
	}
	return math.Inf(1)
}

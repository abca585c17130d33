package router

import (
	"math"
	"time"
)

const (
	// slowdownAllowed is the logarithm of the factor by which runs may take longer than
	// expected on average at a sound target: 1.6.
	slowdownAllowed = 0.5
	// slownessToBar is the sum of what runs take beyond that which leaves a target out: two or
	// three runs at a sixth to a quarter of the speed. Runs of a sound target, whose
	// logarithms deviate by 0.45, reach it once in some ten thousand.
	slownessToBar = 2
	// mostSlowdown bounds what one run adds, so that it takes two to leave a target out.
	mostSlowdown = 1.5
	// slowTrial is the logarithm of the factor from which a trial has failed: 2.
	slowTrial = 0.7
	// tellingRun is the shortest run whose progress tells its run time: the clock of a target
	// counts milliseconds, and its lists whole percents.
	tellingRun = 30 * time.Millisecond
	// farTotal is how many times as long as expected a run takes that is known to be slow
	// although its progress has hardly begun.
	farTotal = 5
	// slowFor is how long a slow target is left out before a trial.
	slowFor = 1200 * time.Millisecond
	// mostBarred is the part of a service's targets that may be left out for being slow.
	// Where more are slow, it is not the targets that differ from what is expected.
	mostBarred = 1.0 / 3
)

// noteSlowdown takes how long a run takes in all, as soon as that shows. It is a sequential test
// (CUSUM) of whether the target has become slow.
func (r *Router) noteSlowdown(n *run, total time.Duration) {
	if n.rated || n.adopted || n.expect <= 0 || total <= 0 || !r.isPredictable(n.job.spec.Route) || !r.uses(SlowTargetEjection) {
		return
	}
	n.rated = true
	t := n.target
	excess := math.Log(total.Seconds() / n.expect.Seconds())
	n.slow = excess > slowTrial
	t.slowness = max(t.slowness+min(excess, mostSlowdown+slowdownAllowed)-slowdownAllowed, 0)
	failed := t.trial && n.slow
	if !failed && t.slowness < slownessToBar || r.now.Before(t.barred) || !r.mayBar(t) {
		return
	}
	t.slowness = 0
	r.bar(t, slowFor, "slow")
}

// leastTotal returns the time that a run takes in all, at least, after it has run for so
// long.
func (n *run) leastTotal(ran time.Duration) time.Duration {
	return seconds(ran.Seconds() * hundred / (n.percent + 1))
}

// noteRunning takes how far a run has come, once that is telling. A run that has hardly
// begun counts where targets are known to tell any progress at all.
func (r *Router) noteRunning(n *run, ran time.Duration) {
	total := n.leastTotal(ran)
	if n.percent >= telling || r.progressive && total > farTotal*n.expect {
		r.noteSlowdown(n, total)
	}
}

// noteDone takes how long a run took until its end was seen here. A host that lacks
// processor time sees ends late, so this speaks for a target only, not against it.
func (r *Router) noteDone(n *run, total time.Duration) {
	if total.Seconds() < n.expect.Seconds()*math.Exp(slowdownAllowed) {
		r.noteSlowdown(n, total)
	}
}

// isPredictable reports whether run times of a route are predicted from measured ones.
func (r *Router) isPredictable(route string) bool {
	h := r.learned[route]
	return h != nil && h.count >= historyTrust
}

// mayBar reports whether few enough targets of the service are left out.
func (r *Router) mayBar(t *target) bool {
	all, barred := 0, 0
	for _, other := range r.pool {
		if other.Service == t.Service && other.listed {
			all++
			barred += one(r.now.Before(other.barred))
		}
	}
	return float64(barred+1) <= mostBarred*float64(all)
}

// isStuck reports whether a run is slow at a slow target, or stands still after the time
// that it should have taken in all.
func (r *Router) isStuck(n *run, ran time.Duration) bool {
	if n.slow && r.now.Before(n.target.barred) {
		return true
	}
	return r.progressive && n.percent < telling && ran > n.expect+r.Bounds.StopDuration
}

// isSoonerElsewhere reports whether a run would end much sooner if it were stopped and its
// task started anew at a sound target, and in time there.
func (r *Router) isSoonerElsewhere(n *run, ran time.Duration) bool {
	const clearly = 2 // work is thrown away, and there may be no room
	elsewhere := r.Bounds.StopDuration + n.job.expect
	return n.leastTotal(ran)-ran > clearly*elsewhere && !r.now.Add(elsewhere).After(n.job.deadline)
}

package router

import (
	"math"
	"time"
)

const (
	// allowedLogSlowdown is the logarithm of the factor by which runs may take longer than
	// expected on average at a sound target: 1.6.
	allowedLogSlowdown = 0.5
	// slowdownSumToEject is the sum of what runs take beyond that which leaves a target out: two or
	// three runs at a sixth to a quarter of the speed. Runs of a sound target, whose
	// logarithms deviate by 0.45, reach it once in some ten thousand.
	slowdownSumToEject = 2
	// maxLogSlowdown bounds what one run adds, so that it takes two to leave a target out.
	maxLogSlowdown = 1.5
	// failedTrialLogSlowdown is the logarithm of the factor from which a trial has failed: 2.
	failedTrialLogSlowdown = 0.7
	// minInformativeRunTime is the shortest run whose progress tells its run time: the clock of a target
	// counts milliseconds, and its lists whole percents.
	minInformativeRunTime = 30 * time.Millisecond
	// stalledRunTimeFactor is how many times as long as expected a run takes that is known to be slow
	// although its progress has hardly begun.
	stalledRunTimeFactor = 5
	// slowEjectionDuration is how long a slow target is left out before a trial.
	slowEjectionDuration = 1200 * time.Millisecond
	// maxEjectedFraction is the part of a service's targets that may be left out for being slow.
	// Where more are slow, it is not the targets that differ from what is expected.
	maxEjectedFraction = 1.0 / 3
)

// recordSlowdown takes how long a run takes in all, as soon as that shows. It is a sequential test
// (CUSUM) of whether the target has become slow.
func (r *Router) recordSlowdown(n *run, runTime time.Duration) {
	if n.slowdownRecorded || n.adopted || n.expectedRunTime <= 0 || runTime <= 0 || !r.canPredictRunTime(n.job.spec.Route) || !r.isEnabled(SlowTargetEjection) {
		return
	}
	n.slowdownRecorded = true
	t := n.target
	logSlowdown := math.Log(runTime.Seconds() / n.expectedRunTime.Seconds())
	n.slow = logSlowdown > failedTrialLogSlowdown
	t.slowdownSum = max(t.slowdownSum+min(logSlowdown, maxLogSlowdown+allowedLogSlowdown)-allowedLogSlowdown, 0)
	trialFailed := t.onTrial && n.slow
	if !trialFailed && t.slowdownSum < slowdownSumToEject || r.now.Before(t.ejectedUntil) || !r.canEject(t) {
		return
	}
	t.slowdownSum = 0
	r.ejectTarget(t, slowEjectionDuration, "slow")
}

// minRunTime returns the time that a run takes in all, at least, after it has run for so
// long.
func (n *run) minRunTime(elapsed time.Duration) time.Duration {
	return seconds(elapsed.Seconds() * fullPercent / (n.percent + 1))
}

// recordRunningSlowdown takes how far a run has come, once that is telling. A run that has hardly
// begun counts where targets are known to tell any progress at all.
func (r *Router) recordRunningSlowdown(n *run, elapsed time.Duration) {
	runTime := n.minRunTime(elapsed)
	if n.percent >= minProgressPercent || r.targetsReportProgress && runTime > stalledRunTimeFactor*n.expectedRunTime {
		r.recordSlowdown(n, runTime)
	}
}

// recordFinalSlowdown takes how long a run took until its end was seen here. A host that lacks
// processor time sees ends late, so this speaks for a target only, not against it.
func (r *Router) recordFinalSlowdown(n *run, runTime time.Duration) {
	if runTime.Seconds() < n.expectedRunTime.Seconds()*math.Exp(allowedLogSlowdown) {
		r.recordSlowdown(n, runTime)
	}
}

// canPredictRunTime reports whether run times of a route are predicted from measured ones.
func (r *Router) canPredictRunTime(route string) bool {
	h := r.routeModels[route]
	return h != nil && h.count >= minRouteSamples
}

// canEject reports whether few enough targets of the service are left out.
func (r *Router) canEject(t *target) bool {
	all, ejected := 0, 0
	for _, other := range r.sortedTargets {
		if other.Service == t.Service && other.listed {
			all++
			ejected += boolToInt(r.now.Before(other.ejectedUntil))
		}
	}
	return float64(ejected+1) <= maxEjectedFraction*float64(all)
}

// isSlowOrStalled reports whether a run is slow at a slow target, or stands still after the time
// that it should have taken in all.
func (r *Router) isSlowOrStalled(n *run, elapsed time.Duration) bool {
	if n.slow && r.now.Before(n.target.ejectedUntil) {
		return true
	}
	return r.targetsReportProgress && n.percent < minProgressPercent && elapsed > n.expectedRunTime+r.Bounds.StopDuration
}

// shouldRestartElsewhere reports whether a run would end much sooner if it were stopped and its
// task started anew at a sound target, and in time there.
func (r *Router) shouldRestartElsewhere(n *run, elapsed time.Duration) bool {
	const minGainFactor = 2 // work is thrown away, and there may be no room
	timeElsewhere := r.Bounds.StopDuration + n.job.expectedRunTime
	return n.minRunTime(elapsed)-elapsed > minGainFactor*timeElsewhere && !r.now.Add(timeElsewhere).After(n.job.deadline)
}

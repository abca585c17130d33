package router

import (
	"math"
	"time"
)

const (
	// allowedLogSlowdown is the logarithm of the factor by which runs at a healthy target may
	// on average take longer than expected: 1.6.
	allowedLogSlowdown = 0.5
	// slowdownSumToEject is the sum of the slowdowns beyond allowedLogSlowdown at which a
	// target is ejected: two or three runs at a sixth to a quarter of the normal speed. Runs of
	// a healthy target, whose logarithms deviate by 0.45, reach it about once in ten thousand
	// runs.
	slowdownSumToEject = 2
	// maxLogSlowdown bounds what one run adds to the sum, so that it takes two runs to eject a
	// target.
	maxLogSlowdown = 1.5
	// failedTrialLogSlowdown is the logarithm of the factor above which a trial has failed: 2.
	failedTrialLogSlowdown = 0.7
	// minInformativeRunTime is the shortest elapsed time from which progress can be
	// extrapolated: the clock of a target counts milliseconds, and its progress is in whole
	// percents.
	minInformativeRunTime = 30 * time.Millisecond
	// stalledRunTimeFactor is the factor on the expected run time beyond which a run counts as
	// slow even though its progress is too small to extrapolate.
	stalledRunTimeFactor = 5
	// slowEjectionDuration is how long a slow target is ejected before a trial.
	slowEjectionDuration = 1200 * time.Millisecond
	// maxEjectedFraction is the part of a service's targets that may be ejected for being slow.
	// If more targets seem slow, the expectation is wrong rather than the targets.
	maxEjectedFraction = 1.0 / 3
)

// recordSlowdown records the total run time of a run, once per run and as soon as it is known
// or can be extrapolated. It is a sequential test (CUSUM) for whether the target has become
// slow, and ejects the target if so.
func (r *Router) recordSlowdown(n *run, runTime time.Duration) {
	if n.slowdownRecorded || n.adopted || n.cold || n.expectedRunTime <= 0 || runTime <= 0 || !r.canPredictRunTime(n.job.spec.Route) || !r.isEnabled(SlowTargetEjection) {
		return
	}
	n.slowdownRecorded = true
	t := n.target
	logSlowdown := math.Log(runTime.Seconds() / n.expectedRunTime.Seconds())
	n.slow = logSlowdown > failedTrialLogSlowdown
	amount := r.blameFor(n, min(logSlowdown, maxLogSlowdown+allowedLogSlowdown)-allowedLogSlowdown)
	t.slowdownSum = max(t.slowdownSum+amount, 0)
	trialFailed := t.onTrial && n.slow && amount > 0
	r.recordTrial(t, logSlowdown, trialFailed)
	if !trialFailed && t.slowdownSum < slowdownSumToEject || r.now.Before(t.ejectedUntil) || !r.canEject(t) {
		return
	}
	t.slowdownSum = 0
	r.ejectTarget(t, slowEjectionDuration, "slow")
}

// minRunTime returns the shortest total run time of a run that is consistent with its progress
// after the elapsed time.
func (n *run) minRunTime(elapsed time.Duration) time.Duration {
	return seconds(elapsed.Seconds() * fullPercent / (n.percent + 1))
}

// recordRunningSlowdown records the slowdown of a run from its progress, once that is
// informative. A run with hardly any progress counts only if targets are known to report
// progress at all.
func (r *Router) recordRunningSlowdown(n *run, elapsed time.Duration) {
	runTime := n.minRunTime(elapsed)
	if n.percent >= minProgressPercent || r.targetsReportProgress && runTime > stalledRunTimeFactor*n.expectedRunTime {
		r.recordSlowdown(n, runTime)
	}
}

// recordFinalSlowdown records the run time of a finished run, as seen by this host, if it is
// within the allowed slowdown. It can thus only lower the target's sum of slowdowns: a host that
// lacks CPU time sees ends late, which must not count against a target.
func (r *Router) recordFinalSlowdown(n *run, runTime time.Duration) {
	if runTime.Seconds() < n.expectedRunTime.Seconds()*math.Exp(allowedLogSlowdown) {
		r.recordSlowdown(n, runTime)
	}
}

// canPredictRunTime reports whether the run times of a route are predicted from those of
// earlier tasks.
func (r *Router) canPredictRunTime(route string) bool {
	model := r.routeModels[route]
	return model != nil && model.count >= minRouteSamples
}

// canEject reports whether one more target of the service may be ejected.
func (r *Router) canEject(t *target) bool {
	all, ejected := 0, 0
	for _, other := range r.sortedTargets {
		if other.Service == t.Service && other.listed && !other.evacuated {
			all++
			ejected += boolToInt(r.now.Before(other.ejectedUntil))
		}
	}
	return float64(ejected+1) <= maxEjectedFraction*float64(all)
}

// isSlowOrStalled reports whether a run is slow at an ejected target, or has made no
// informative progress after its whole expected run time.
func (r *Router) isSlowOrStalled(n *run, elapsed time.Duration) bool {
	if n.slow && r.now.Before(n.target.ejectedUntil) {
		return true
	}
	return r.targetsReportProgress && n.percent < minProgressPercent && elapsed > n.expectedRunTime+r.Bounds.StopDuration
}

// shouldRestartElsewhere reports whether a task would finish much sooner, and in time, if its
// run were stopped and the task started again at a healthy target.
func (r *Router) shouldRestartElsewhere(n *run, elapsed time.Duration) bool {
	const minGainFactor = 2 // the work done so far is lost, and there may be no free target
	timeElsewhere := r.Bounds.StopDuration + n.job.expectedRunTime
	return n.minRunTime(elapsed)-elapsed > minGainFactor*timeElsewhere && !r.now.Add(timeElsewhere).After(n.job.deadline)
}

package router

import (
	"math"
	"time"
)

const (
	// coldWindow is the number of runs over which the factor of cold targets is averaged, and
	// minColdRuns the number from which it is used.
	coldWindow  = 50
	minColdRuns = 5
	// minColdFactor is the factor on run times from which cold targets are given no tasks while
	// most targets are warm.
	minColdFactor = 1.5
)

// coldTargets is what a holder knows of its cold targets, which are slow for a while after a
// start or an evacuation.
type coldTargets struct {
	runs      int     // number of finished runs at cold targets
	logFactor float64 // mean logarithm of the factor by which these took longer
	// excluded is true while cold targets are given no tasks because most targets are warm, and
	// all is true while every target is cold.
	excluded, all bool
}

// factor returns the factor by which runs take longer at a cold target, or 1 if it is not known.
func (c *coldTargets) factor() float64 {
	if c.runs < minColdRuns {
		return 1
	}
	return math.Exp(max(c.logFactor, 0))
}

// recordRun adds the factor by which a run at a cold target took longer.
func (c *coldTargets) recordRun(factor float64) {
	c.runs++
	c.logFactor += (math.Log(factor) - c.logFactor) / float64(min(c.runs, coldWindow))
}

// update decides whether cold targets are excluded.
func (c *coldTargets) update(coldCount, totalCount int) {
	c.excluded = coldCount > 0 && 2*coldCount < totalCount && c.factor() >= minColdFactor
	c.all = coldCount > 0 && coldCount == totalCount
}

// isCold reports whether a target is cold.
func (r *Router) isCold(t *target) bool { return r.now.Before(t.coldUntil) }

// isExcludedAsCold reports whether a target is given no tasks because it is cold.
func (r *Router) isExcludedAsCold(t *target) bool { return r.cold.excluded && r.isCold(t) }

// coldFactorOf returns the factor by which runs at a target take longer because it is cold.
func (r *Router) coldFactorOf(t *target) float64 {
	if !r.isCold(t) {
		return 1
	}
	return r.cold.factor()
}

// recordColdRun adds the run time of a run at a cold target. Such runs are not added to the
// models of warm targets.
func (r *Router) recordColdRun(n *run, runTime time.Duration) {
	warmRunTime := n.job.taskRunTime.Seconds() * r.speedFactorOf(n.target)
	r.cold.recordRun(runTime.Seconds() / max(warmRunTime, minInformativeRunTime.Seconds()))
}

// updateColdTargets counts the cold targets.
func (r *Router) updateColdTargets() {
	cold := 0
	for _, t := range r.sortedTargets {
		cold += boolToInt(r.isCold(t))
	}
	before := r.cold.excluded
	r.cold.update(cold, len(r.sortedTargets))
	if before != r.cold.excluded {
		r.placementNeeded = true
		r.emit(Decision{Action: "cold", Pairs: []any{"excluded", r.cold.excluded, "targets", cold, "factor", r.cold.factor()}})
	}
}

// zoneForColdJob returns a neighbour zone with room for a job that would be late here because
// every target is cold, or "" if there is none, the job can be in time or it comes from
// another zone already.
func (r *Router) zoneForColdJob(j *job) string {
	if !r.cold.all || r.isLate(j) || r.zoneOf(j.origin) != j.zone {
		return ""
	}
	for _, t := range r.sortedTargets {
		if r.isUsable(t) && !r.isLateAt(j, t) {
			return ""
		}
	}
	return r.zoneWithHeadroom(j)
}

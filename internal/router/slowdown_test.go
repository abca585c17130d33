package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newModelledBed returns a holder with a route model that has enough samples to predict run
// times.
func newModelledBed(t *testing.T, targets int) *holderBed {
	t.Helper()
	b := newHolderBed(t, targets, ClaimWon)
	b.router.routeModels["r"] = &history{count: 10 * minRouteSamples}
	return b
}

// recordSlowRuns records runs at a target that take factor times as long as the expected 100
// ms.
func (b *holderBed) recordSlowRuns(id string, factor float64, runs int) {
	t := b.router.targets[id]
	for range runs {
		n := &run{job: &job{spec: twoTaskJob("j")}, target: t, expectedRunTime: 100 * time.Millisecond}
		b.router.recordSlowdown(n, time.Duration(factor*float64(n.expectedRunTime)))
	}
}

// TestSlowTargetIsEjected: two consecutive runs that take several times as long as expected
// eject a target, even if each run is too short to be far behind in time. Runs that deviate as
// much as estimates usually do must not eject it.
func TestSlowTargetIsEjected(t *testing.T) {
	b := newModelledBed(t, 4)
	isEjected := func(id string) bool { return b.now.Before(b.router.targets[id].ejectedUntil) }
	b.recordSlowRuns("p", 4.5, 1)
	assert.False(t, isEjected("p"), "a single run must not eject the target")
	b.recordSlowRuns("p", 4.5, 1)
	assert.True(t, isEjected("p"))

	for range 50 { // the usual error of estimates
		b.recordSlowRuns("q", 1.6, 2)
		b.recordSlowRuns("q", 0.6, 1)
	}
	assert.False(t, isEjected("q"))
}

// TestFailedTrialDoublesEjection: a slow run in a trial ejects the target again at once, for
// twice the duration.
func TestFailedTrialDoublesEjection(t *testing.T) {
	b := newModelledBed(t, 4)
	b.recordSlowRuns("p", 4.5, 2)
	p := b.router.targets["p"]
	b.now = p.ejectedUntil.Add(time.Millisecond)
	b.step(Tick{})
	b.recordSlowRuns("p", 2.5, 1)
	assert.Equal(t, 2*slowEjectionDuration, p.ejectedUntil.Sub(b.now))
}

// TestEjectedTargetsAreBounded: if most targets seem slow, the expected run times are wrong, so
// only a third of the targets may be ejected.
func TestEjectedTargetsAreBounded(t *testing.T) {
	b := newModelledBed(t, 6)
	ejected := 0
	for _, id := range sortedKeys(b.router.targets) {
		b.recordSlowRuns(id, 5, 5)
		ejected += boolToInt(b.now.Before(b.router.targets[id].ejectedUntil))
	}
	assert.Equal(t, 2, ejected)
}

// TestTargetsAreNotEjectedWithoutRouteModel: slow runs must not count against targets before
// the route's run times can be predicted.
func TestTargetsAreNotEjectedWithoutRouteModel(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	b.recordSlowRuns("p", 5, 5)
	assert.False(t, b.now.Before(b.router.targets["p"].ejectedUntil))
}

// TestLateEndsDoNotEjectTarget: a holder that lacks CPU time sees the ends of all runs late,
// which must not count against the targets.
func TestLateEndsDoNotEjectTarget(t *testing.T) {
	b := newModelledBed(t, 4)
	p := b.router.targets["p"]
	for range 10 {
		b.router.updateTargetHealth(&run{job: &job{spec: twoTaskJob("j")}, target: p, expectedRunTime: 100 * time.Millisecond, sentAt: b.router.now.Add(-500 * time.Millisecond)}, EndDone)
	}
	assert.False(t, b.now.Before(p.ejectedUntil))
}

// TestStalledRunsEjectTarget: runs without progress show that their target is slow, unless the
// targets do not report progress at all.
func TestStalledRunsEjectTarget(t *testing.T) {
	for _, reportsProgress := range []bool{false, true} {
		b := newModelledBed(t, 4)
		b.router.targetsReportProgress = reportsProgress
		for range 2 {
			b.router.recordRunningSlowdown(&run{job: &job{spec: twoTaskJob("j")}, target: b.router.targets["p"], expectedRunTime: 100 * time.Millisecond}, 60*time.Millisecond)
		}
		assert.Equal(t, reportsProgress, b.now.Before(b.router.targets["p"].ejectedUntil))
	}
}

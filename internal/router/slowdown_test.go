package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newModelledBed is a holder with a route whose run times are known: 100 ms.
func newModelledBed(t *testing.T, targets int) *holderBed {
	t.Helper()
	b := newHolderBed(t, targets, ClaimWon)
	b.router.routeModels["r"] = &history{count: 10 * minRouteSamples}
	return b
}

// recordSlowRuns notes runs at a target that take so many times as long as expected.
func (b *holderBed) recordSlowRuns(id string, factor float64, runs int) {
	t := b.router.targets[id]
	for range runs {
		n := &run{job: &job{spec: twoTaskJob("j")}, target: t, expectedRunTime: 100 * time.Millisecond}
		b.router.recordSlowdown(n, time.Duration(factor*float64(n.expectedRunTime)))
	}
}

// TestSlowTargetIsEjected: a few runs in a row that take several times as long leave a
// target out, also where each is too short to be far behind.
func TestSlowTargetIsEjected(t *testing.T) {
	b := newModelledBed(t, 4)
	isEjected := func(id string) bool { return b.now.Before(b.router.targets[id].ejectedUntil) }
	b.recordSlowRuns("p", 4.5, 1)
	assert.False(t, isEjected("p"), "one run says little")
	b.recordSlowRuns("p", 4.5, 1)
	assert.True(t, isEjected("p"))

	for range 50 { // as estimates are off
		b.recordSlowRuns("q", 1.6, 2)
		b.recordSlowRuns("q", 0.6, 1)
	}
	assert.False(t, isEjected("q"))
}

// TestFailedTrialDoublesEjection: a slow trial leaves the target out again at once, longer.
func TestFailedTrialDoublesEjection(t *testing.T) {
	b := newModelledBed(t, 4)
	b.recordSlowRuns("p", 4.5, 2)
	p := b.router.targets["p"]
	b.now = p.ejectedUntil.Add(time.Millisecond)
	b.step(Tick{})
	b.recordSlowRuns("p", 2.5, 1)
	assert.Equal(t, 2*slowEjectionDuration, p.ejectedUntil.Sub(b.now))
}

// TestEjectedTargetsAreBounded: where most targets seem slow, what is expected is wrong.
func TestEjectedTargetsAreBounded(t *testing.T) {
	b := newModelledBed(t, 6)
	ejected := 0
	for _, id := range sortedKeys(b.router.targets) {
		b.recordSlowRuns(id, 5, 5)
		ejected += boolToInt(b.now.Before(b.router.targets[id].ejectedUntil))
	}
	assert.Equal(t, 2, ejected)
}

// TestTargetsAreNotEjectedWithoutRouteModel: nothing is held against targets before run times are known.
func TestTargetsAreNotEjectedWithoutRouteModel(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	b.recordSlowRuns("p", 5, 5)
	assert.False(t, b.now.Before(b.router.targets["p"].ejectedUntil))
}

// TestLateEndsDoNotEjectTarget: a holder that lacks processor time sees the ends of all runs late, which
// says nothing of the targets.
func TestLateEndsDoNotEjectTarget(t *testing.T) {
	b := newModelledBed(t, 4)
	p := b.router.targets["p"]
	for range 10 {
		b.router.updateTargetHealth(&run{job: &job{spec: twoTaskJob("j")}, target: p, expectedRunTime: 100 * time.Millisecond, sentAt: b.router.now.Add(-500 * time.Millisecond)}, EndDone)
	}
	assert.False(t, b.now.Before(p.ejectedUntil))
}

// TestStalledRunsEjectTarget: a run that stands still tells at once that its target is slow, unless
// targets do not tell any progress.
func TestStalledRunsEjectTarget(t *testing.T) {
	for _, progressive := range []bool{false, true} {
		b := newModelledBed(t, 4)
		b.router.targetsReportProgress = progressive
		for range 2 {
			b.router.recordRunningSlowdown(&run{job: &job{spec: twoTaskJob("j")}, target: b.router.targets["p"], expectedRunTime: 100 * time.Millisecond}, 60*time.Millisecond)
		}
		assert.Equal(t, progressive, b.now.Before(b.router.targets["p"].ejectedUntil))
	}
}

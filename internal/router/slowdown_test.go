package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// ratedBed is a holder with a route whose run times are known: 100 ms.
func ratedBed(t *testing.T, targets int) *holderBed {
	t.Helper()
	b := newHolderBed(t, targets, ClaimWon)
	b.router.learned["r"] = &history{count: 10 * historyTrust}
	return b
}

// ranFor notes runs at a target that take so many times as long as expected.
func (b *holderBed) ranFor(id string, times float64, runs int) {
	t := b.router.targets[id]
	for range runs {
		n := &run{job: &job{spec: pair("j")}, target: t, expect: 100 * time.Millisecond}
		b.router.noteSlowdown(n, time.Duration(times*float64(n.expect)))
	}
}

// TestSlowTargetIsLeftOut: a few runs in a row that take several times as long leave a
// target out, also where each is too short to be far behind.
func TestSlowTargetIsLeftOut(t *testing.T) {
	b := ratedBed(t, 4)
	isBarred := func(id string) bool { return b.now.Before(b.router.targets[id].barred) }
	b.ranFor("p", 4.5, 1)
	assert.False(t, isBarred("p"), "one run says little")
	b.ranFor("p", 4.5, 1)
	assert.True(t, isBarred("p"))

	for range 50 { // as estimates are off
		b.ranFor("q", 1.6, 2)
		b.ranFor("q", 0.6, 1)
	}
	assert.False(t, isBarred("q"))
}

// TestFailedTrialOfSlowTarget: a slow trial leaves the target out again at once, longer.
func TestFailedTrialOfSlowTarget(t *testing.T) {
	b := ratedBed(t, 4)
	b.ranFor("p", 4.5, 2)
	p := b.router.targets["p"]
	b.now = p.barred.Add(time.Millisecond)
	b.step(Tick{})
	b.ranFor("p", 2.5, 1)
	assert.Equal(t, 2*slowFor, p.barred.Sub(b.now))
}

// TestFewTargetsAreLeftOut: where most targets seem slow, what is expected is wrong.
func TestFewTargetsAreLeftOut(t *testing.T) {
	b := ratedBed(t, 6)
	barred := 0
	for _, id := range sortedKeys(b.router.targets) {
		b.ranFor(id, 5, 5)
		barred += one(b.now.Before(b.router.targets[id].barred))
	}
	assert.Equal(t, 2, barred)
}

// TestUnknownRunTimes: nothing is held against targets before run times are known.
func TestUnknownRunTimes(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	b.ranFor("p", 5, 5)
	assert.False(t, b.now.Before(b.router.targets["p"].barred))
}

// TestEndsSeenLate: a holder that lacks processor time sees the ends of all runs late, which
// says nothing of the targets.
func TestEndsSeenLate(t *testing.T) {
	b := ratedBed(t, 4)
	p := b.router.targets["p"]
	for range 10 {
		b.router.judge(&run{job: &job{spec: pair("j")}, target: p, expect: 100 * time.Millisecond, sent: b.router.now.Add(-500 * time.Millisecond)}, EndDone)
	}
	assert.False(t, b.now.Before(p.barred))
}

// TestNoProgress: a run that stands still tells at once that its target is slow, unless
// targets do not tell any progress.
func TestNoProgress(t *testing.T) {
	for _, progressive := range []bool{false, true} {
		b := ratedBed(t, 4)
		b.router.progressive = progressive
		for range 2 {
			b.router.noteRunning(&run{job: &job{spec: pair("j")}, target: b.router.targets["p"], expect: 100 * time.Millisecond}, 60*time.Millisecond)
		}
		assert.Equal(t, progressive, b.now.Before(b.router.targets["p"].barred))
	}
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// taught is a holder that has learned from so many runs of 100 ms.
func taught(t *testing.T, runs int) *holderBed {
	t.Helper()
	b := newHolderBed(t, 3, ClaimWon)
	for range runs {
		b.ran(100*time.Millisecond, false)
	}
	return b
}

// ran learns from a run that has taken so long since the holder knows of it.
func (b *holderBed) ran(span time.Duration, adopted bool) {
	b.router.learnFrom(&run{job: &job{spec: pair("j")}, target: b.router.targets["p"], sent: b.router.now.Add(-span), adopted: adopted})
}

// expected returns the expected run time of a task.
func (b *holderBed) expected() float64 {
	spec := pair("j")
	return b.router.predict(&spec).Seconds()
}

// TestAdoptedRunsTeachNothing: of runs that an earlier holder has started only the rest is
// seen.
func TestAdoptedRunsTeachNothing(t *testing.T) {
	b := taught(t, 0)
	for range 2 * historyTrust {
		b.ran(10*time.Millisecond, true)
	}
	assert.InDelta(t, 0.1, b.expected(), 0.001, "as declared")
}

// TestWrongHistoryIsForgotten: tasks that take nine times as long as was learned are not
// taken for outliers for good.
func TestWrongHistoryIsForgotten(t *testing.T) {
	b := taught(t, 10*historyTrust)
	for range 3 * historyTrust {
		b.ran(900*time.Millisecond, false)
	}
	assert.InDelta(t, 0.9, b.expected(), 0.1)
}

// TestOutliersTeachNothing: a sixth of the targets being slow changes nothing.
func TestOutliersTeachNothing(t *testing.T) {
	b := taught(t, 10*historyTrust)
	for range 10 * historyTrust {
		b.ran(900*time.Millisecond, false)
		for range 5 {
			b.ran(100*time.Millisecond, false)
		}
	}
	assert.InDelta(t, 0.1, b.expected(), 0.01)
}

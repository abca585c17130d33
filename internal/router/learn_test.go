package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTrainedBed returns a holder whose route model has learned from the given number of runs of
// 100 ms.
func newTrainedBed(t *testing.T, runs int) *holderBed {
	t.Helper()
	b := newHolderBed(t, 3, ClaimWon)
	for range runs {
		b.recordRun(100*time.Millisecond, false)
	}
	return b
}

// recordRun records a finished run that this host started runTime ago, or adopted then.
func (b *holderBed) recordRun(runTime time.Duration, adopted bool) {
	b.router.recordRunTime(&run{job: &job{spec: twoTaskJob("j")}, target: b.router.targets["p"], sentAt: b.router.now.Add(-runTime), adopted: adopted})
}

// predictedSeconds returns the expected run time of a task in seconds.
func (b *holderBed) predictedSeconds() float64 {
	spec := twoTaskJob("j")
	return b.router.predictRunTime(&spec).Seconds()
}

// TestAdoptedRunsDoNotChangePrediction: the holder sees only the rest of a run that a previous
// holder started, so its run time must not be learned.
func TestAdoptedRunsDoNotChangePrediction(t *testing.T) {
	b := newTrainedBed(t, 0)
	for range 2 * minRouteSamples {
		b.recordRun(10*time.Millisecond, true)
	}
	assert.InDelta(t, 0.1, b.predictedSeconds(), 0.001, "the run time must be the declared one")
}

// TestWrongRouteModelIsReset: if tasks take nine times as long as learned, they must not be
// ignored as outliers forever.
func TestWrongRouteModelIsReset(t *testing.T) {
	b := newTrainedBed(t, 10*minRouteSamples)
	for range 3 * minRouteSamples {
		b.recordRun(900*time.Millisecond, false)
	}
	assert.InDelta(t, 0.9, b.predictedSeconds(), 0.1)
}

// TestOutliersDoNotChangePrediction: the prediction must not change if a sixth of the targets
// are slow.
func TestOutliersDoNotChangePrediction(t *testing.T) {
	b := newTrainedBed(t, 10*minRouteSamples)
	for range 10 * minRouteSamples {
		b.recordRun(900*time.Millisecond, false)
		for range 5 {
			b.recordRun(100*time.Millisecond, false)
		}
	}
	assert.InDelta(t, 0.1, b.predictedSeconds(), 0.01)
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTrainedBed is a holder that has learned from so many runs of 100 ms.
func newTrainedBed(t *testing.T, runs int) *holderBed {
	t.Helper()
	b := newHolderBed(t, 3, ClaimWon)
	for range runs {
		b.recordRun(100*time.Millisecond, false)
	}
	return b
}

// recordRun learns from a run that has taken so long since the holder knows of it.
func (b *holderBed) recordRun(runTime time.Duration, adopted bool) {
	b.router.recordRunTime(&run{job: &job{spec: twoTaskJob("j")}, target: b.router.targets["p"], sentAt: b.router.now.Add(-runTime), adopted: adopted})
}

// predictedSeconds returns the expected run time of a task.
func (b *holderBed) predictedSeconds() float64 {
	spec := twoTaskJob("j")
	return b.router.predictRunTime(&spec).Seconds()
}

// TestAdoptedRunsDoNotChangePrediction: of runs that an earlier holder has started only the rest is
// seen.
func TestAdoptedRunsDoNotChangePrediction(t *testing.T) {
	b := newTrainedBed(t, 0)
	for range 2 * minRouteSamples {
		b.recordRun(10*time.Millisecond, true)
	}
	assert.InDelta(t, 0.1, b.predictedSeconds(), 0.001, "as declared")
}

// TestWrongRouteModelIsReset: tasks that take nine times as long as was learned are not
// taken for outliers for good.
func TestWrongRouteModelIsReset(t *testing.T) {
	b := newTrainedBed(t, 10*minRouteSamples)
	for range 3 * minRouteSamples {
		b.recordRun(900*time.Millisecond, false)
	}
	assert.InDelta(t, 0.9, b.predictedSeconds(), 0.1)
}

// TestOutliersDoNotChangePrediction: a sixth of the targets being slow changes nothing.
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

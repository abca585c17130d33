package router

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// predictionErrors returns the mean logarithms of run times over predicted ones, of jobs of which 3 % take seven times as
// long as the others and declare so. Run times and declared ones deviate by 0.4.
func predictionErrors(t *testing.T, disabled Mechanism) (body, tail float64) {
	t.Helper()
	b := newHolderBed(t, 3, ClaimWon)
	b.router.Policy.Disabled = disabled
	random := rand.New(rand.NewPCG(1, 2))
	bodyCount, tailCount := 0.0, 0.0
	for i := range 10_000 {
		logRunTime, isTail := math.Log(0.17)+0.4*random.NormFloat64(), random.Float64() < 0.03
		if isTail {
			logRunTime += math.Log(7)
		}
		spec := twoTaskJob("j")
		spec.ExpectedRunTime = seconds(math.Exp(logRunTime + 0.4*random.NormFloat64()))
		runTime := seconds(math.Exp(logRunTime))
		deviation := math.Log(runTime.Seconds()/b.router.predictRunTime(&spec).Seconds()) - b.router.logSpeed(b.router.targets["p"].kind())
		b.router.recordRunTime(&run{job: &job{spec: spec}, target: b.router.targets["p"], sentAt: b.router.now.Add(-runTime)})
		if i < 2000 {
			continue
		}
		if isTail {
			tail, tailCount = tail+deviation, tailCount+1
		} else {
			body, bodyCount = body+deviation, bodyCount+1
		}
	}
	t.Logf("body %.3f, tail %.3f, disabled %q", body/bodyCount, tail/tailCount, disabled)
	return body / bodyCount, tail / tailCount
}

// TestDeclaredTailsArePredicted guards against jobs that declare several times as much as others and are predicted to take
// half of their time, and against predictions for the others that these distort.
func TestDeclaredTailsArePredicted(t *testing.T) {
	body, tail := predictionErrors(t, "")
	linearBody, linearTail := predictionErrors(t, TailPrediction)
	assert.Less(t, tail, 0.7*linearTail)
	assert.Less(t, math.Abs(body), 0.05)
	assert.LessOrEqual(t, math.Abs(body), math.Abs(linearBody)+0.02)
}

package profiler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const process = 7

// newProfiler returns a profiler of 40 targets of two kinds after runs runs at each. logSpeed is the
// logarithm of the factor of a target's run times. Run times deviate by 0.3, and 3 % of them are seven
// times as long.
func newProfiler(runs int, logSpeed func(i int) float64) (*Profiler, time.Time) {
	random, p, now := rand.New(rand.NewPCG(1, 2)), &Profiler{}, time.Unix(1000, 0)
	for range runs {
		now = now.Add(50 * time.Millisecond)
		for i := range 40 {
			deviation := logSpeed(i) + 0.3*random.NormFloat64()
			if random.Float64() < 0.03 {
				deviation += math.Log(7)
			}
			p.Profile(targetID(i), string(rune('a'+i%2)), process).Record(deviation, now)
		}
		p.Refresh(now)
	}
	return p, now
}

func targetID(i int) string { return fmt.Sprintf("t%02d", i) }

// halfSpeed makes every fourth target, of either kind, half as fast as the others.
func halfSpeed(i int) float64 {
	if i%4 < 2 && i%8 < 4 {
		return math.Log(2)
	}
	return 0
}

// TestUnevenTargetsAreLearned guards against jobs that are placed at slow targets as if all targets
// of a kind were equally fast. The factors are relative to the mean of the kind.
func TestUnevenTargetsAreLearned(t *testing.T) {
	p, _ := newProfiler(40, halfSpeed)
	assert.InDelta(t, 0.30, p.Spread(), 0.06)
	for i := range 40 {
		assert.InDelta(t, halfSpeed(i)-math.Log(2)/4, math.Log(p.Profile(targetID(i), string(rune('a'+i%2)), process).Factor()), 0.16, targetID(i))
	}
	assert.InDelta(t, 1, p.Profile("t00", "a", process+1).Factor(), 0, "a new process has no history")
}

// TestEqualTargetsAreNotToldApart guards against noise and tails that are taken for differences.
func TestEqualTargetsAreNotToldApart(t *testing.T) {
	for _, runs := range []int{5, 10, 20, 60, 200} {
		p, _ := newProfiler(runs, func(i int) float64 { return float64(i%2) / 3 }) // kinds may differ
		assert.Zero(t, p.Spread(), "%d runs", runs)
		assert.InDelta(t, 1, p.Profile("t03", "b", process).Factor(), 0)
	}
}

// TestSuccessorInheritsSpeeds guards against a holder that learns the speeds anew after each change. The
// summary is bounded, so that the speeds of the other targets are not known.
func TestSuccessorInheritsSpeeds(t *testing.T) {
	p, now := newProfiler(40, halfSpeed)
	speeds, spread := p.Export(now, 10)
	assert.Len(t, speeds, 10)
	assert.True(t, IsSoundSpread(spread))
	heir := &Profiler{}
	heir.Import(speeds, spread, now)
	for _, s := range speeds {
		assert.True(t, s.IsSound())
		assert.InDelta(t, 1.68, heir.Profile(s.Target, "a", process).Factor(), 0.35)
		assert.InDelta(t, 1, heir.Profile(s.Target, "a", process+1).Factor(), 0)
	}
	assert.InDelta(t, 1, heir.Profile("t03", "b", process).Factor(), 0)
}

// TestSteadilySlowTargetIsUsedAgain guards against a target that is ejected again and again because its
// speed was learned before it became slow for good.
func TestSteadilySlowTargetIsUsedAgain(t *testing.T) {
	p, now := newProfiler(60, halfSpeed)
	f := p.Profile("t03", "b", process)
	before := f.Factor()
	for i := range steadyTrials {
		assert.Equal(t, i == steadyTrials-1, f.RecordTrial(math.Log(4), true))
	}
	p.Refresh(now.Add(refreshInterval))
	assert.Greater(t, f.Factor(), 3*before)
}

// TestLongJobsAreNotBlamed guards against healthy targets that are ejected for jobs whose tasks are all
// long. A job that is slow at one target only counts against that target.
func TestLongJobsAreNotBlamed(t *testing.T) {
	var long Blame
	amount, _ := long.Add("p", 1.5)
	assert.InDelta(t, 1.5, amount, 0, "nothing is known of the job yet")
	amount, _ = long.Add("p", 1.5)
	assert.Zero(t, amount, "tasks of one job are alike")
	amount, refunds := long.Add("q", 1.5)
	assert.Zero(t, amount)
	assert.Equal(t, []Refund{{"p", 1.5}}, refunds)

	var normal Blame
	for _, id := range []string{"p", "q", "s"} {
		amount, _ = normal.Add(id, -0.4)
		assert.InDelta(t, -0.4, amount, 0)
	}
	for range 2 {
		amount, refunds = normal.Add("u", 1.5)
		assert.InDelta(t, 1.5, amount, 0)
		assert.Empty(t, refunds)
	}
}

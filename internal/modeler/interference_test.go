package modeler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// noticedPairs runs a simulation and returns the pairs of kinds that holders have noticed.
func noticedPairs(t *testing.T, sim *Simulation) map[string]bool {
	t.Helper()
	pairs := make(map[string]bool)
	sim.Trace = func(_ time.Duration, _ string, e router.Decision) {
		if e.Action == "interference" && e.Pairs[1] == true {
			pairs[e.Pairs[3].(string)+" beside "+e.Pairs[5].(string)] = true
		}
	}
	sim.Run()
	logResults(t, sim)
	assert.Empty(t, sim.Violations)
	return pairs
}

// interferingSite returns a site where confirms and manifests at one target take 1.5 times as long. The holder is
// killed and replaced once.
func interferingSite() Simulation {
	sim := testSimulation(0.6, 14*time.Second, Fault{Kind: KillHost, Selector: "holder", At: 10 * time.Second, Duration: time.Second})
	sim.Interferences = []Interference{{"confirm", "manifest", 1.5}, {"manifest", "confirm", 1.5}}
	return *sim
}

// TestInterferenceIsAvoided checks that a pair of kinds that costs 1.5 times is noticed, no other pair is, and callers
// are served better for it.
func TestInterferenceIsAvoided(t *testing.T) {
	t.Parallel()
	with, without := interferingSite(), interferingSite()
	without.Policy.Disabled = router.InterferenceAvoidance
	pairs := noticedPairs(t, &with)
	assert.Contains(t, pairs, "confirm beside manifest")
	delete(pairs, "confirm beside manifest")
	delete(pairs, "manifest beside confirm")
	assert.Empty(t, pairs)
	assert.Empty(t, noticedPairs(t, &without))
	assert.Greater(t, with.Results.BenefitRatio(), without.Results.BenefitRatio())
}

// TestNoInterferenceIsInvented guards against pairs that are noticed because targets differ in speed, some jobs are long
// or targets become slow.
func TestNoInterferenceIsInvented(t *testing.T) {
	t.Parallel()
	sim := thirdOf(Pricing())
	sim.LoadDuration, sim.DrainDuration, sim.LoadFactor = 8*time.Second, 4*time.Second, 1.3
	sim.Faults = []Fault{{Kind: SlowTarget, At: 3 * time.Second, Duration: 3 * time.Second, TargetShare: 1.0 / 6}}
	assert.Empty(t, noticedPairs(t, &sim))
}

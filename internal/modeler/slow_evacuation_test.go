package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// slowEvacuationSimulation draws a deployment with a holder for each zone. Twice the holder of most cells is
// slow for 4 s, and each zone is evacuated for 0.5 to 2 s meanwhile.
func slowEvacuationSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 55))
	sim := testSimulation(0.2+0.6*random.Float64(), 10*time.Second)
	sim.Seed = seed
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 3, 4
	sim.Bounds.MaxSharedTargets = 6
	sim.DrainDuration = 13 * time.Second
	for round := range 2 {
		at := time.Second + time.Duration(round)*4500*time.Millisecond
		sim.Faults = append(sim.Faults, Fault{Kind: SlowHost, Selector: "holder", At: at, Duration: 4 * time.Second})
		for _, zone := range sim.Size.Zones {
			sim.Faults = append(sim.Faults, Fault{
				Kind: EvacuateZone, Selector: zone, At: at + time.Duration(random.Int64N(int64(3*time.Second))),
				Duration: 500*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))),
			})
		}
	}
	return sim
}

// TestSlowHolderKeepsNoCopyOfOffer guards against a task that runs in two zones at once: a slow holder of an
// evacuated zone accepts a copy of an offer that its host has given to another zone.
func TestSlowHolderKeepsNoCopyOfOffer(t *testing.T) {
	t.Parallel()
	sim := slowEvacuationSimulation(3974)
	sim.Run()
	assert.Empty(t, sim.Violations)
}

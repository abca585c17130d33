package modeler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestInvariantsHoldWhileUnevenHostsRestart checks the invariants under random faults while strong and
// weak hosts shut down and start again, so that leaving holders keep their cells.
func TestInvariantsHoldWhileUnevenHostsRestart(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, func(seed uint64) *Simulation {
		sim := randomSimulation(seed)
		random := rand.New(rand.NewPCG(seed, 11))
		sim.Size.HostClasses = []HostClass{{PerZone: 1 + random.IntN(2), CPUShare: 800}, {PerZone: 2, CPUShare: 192}}
		for range 2 + random.IntN(4) {
			f := restart("", time.Duration(random.Int64N(int64(6*time.Second))))
			f.Selector = []string{"holder", "h0-0", "h1-0", "h2-0"}[random.IntN(4)]
			sim.Faults = append(sim.Faults, f)
		}
		return sim
	})
}

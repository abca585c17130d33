package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// randomResetSimulation draws a small deployment with a holder for each zone whose tasks run for a second
// or more. Jobs go to other zones because their own is full or evacuated, and the connections of their clients
// break while targets execute orders late. In some, holders end, are slow or are cut off meanwhile.
func randomResetSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 17))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	sim := testSimulation(0.04+0.1*random.Float64(), 10*time.Second)
	sim.Seed = seed
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 2+random.IntN(2), 4+random.IntN(3)
	sim.Size.ZoneShares = []float64{0.7, 0.2, 0.1}
	sim.Bounds.MaxSharedTargets = 6
	sim.Patience = 8 * time.Second
	sim.DrainDuration += 10 * time.Second
	for i := range sim.Kinds {
		sim.Kinds[i].MeanRunTime *= time.Duration(3 + random.IntN(12))
	}
	for range 3 {
		at := between(time.Second, 8*time.Second)
		sim.Faults = append(
			sim.Faults,
			Fault{Kind: LateOrders, At: at, Duration: between(500*time.Millisecond, 3*time.Second), TargetShare: 0.2 + 0.4*random.Float64(), OrderShare: 1, Selector: []string{"", "soon"}[random.IntN(2)]},
			Fault{Kind: ResetClients, At: at + between(0, 300*time.Millisecond), Duration: between(10*time.Millisecond, 300*time.Millisecond), TargetShare: 0.3 + 0.5*random.Float64()},
			Fault{Kind: Burst, At: at - time.Second, Duration: time.Second, RateFactor: 1 + 2*random.Float64()},
		)
		if random.IntN(2) == 0 {
			sim.Faults = append(sim.Faults, Fault{Kind: EvacuateZone, Selector: sim.Size.Zones[random.IntN(2)], At: at - between(0, 2*time.Second), Duration: between(time.Second, 4*time.Second)})
		}
		if random.IntN(3) == 0 {
			kinds := []FaultKind{KillHost, RestartHost, SlowHost, SlowHost, PauseHost, ThrottleHost, PartitionHost, CutOneWay, ReplaceLinks, MuteLinks}
			sim.Faults = append(sim.Faults, Fault{Kind: kinds[random.IntN(len(kinds))], Selector: "holder", At: at + between(-500*time.Millisecond, time.Second), Duration: between(300*time.Millisecond, 2*time.Second)})
		}
	}
	return sim
}

// TestResentJobWaitsForRunInOtherZone guards against a task that runs in two zones at once: its client has
// sent its job again, the job was served by another zone before, and the run there has not ended.
func TestResentJobWaitsForRunInOtherZone(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, randomResetSimulation)
}

// TestRunInOtherZoneRegressionSeeds repeats the simulations of TestResentJobWaitsForRunInOtherZone in which a
// task ran in two zones at once.
func TestRunInOtherZoneRegressionSeeds(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{31, 33, 42, 45, 102} {
		sim := randomResetSimulation(seed)
		sim.Run()
		assert.Empty(t, sim.Violations, "seed %d", seed)
	}
}

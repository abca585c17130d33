package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// randomCutSimulation draws a small deployment whose tasks run for a second or more, in which a zone is cut off
// several times. While targets execute orders late, connections of clients break or hosts end, and the
// clients resend their jobs to any zone. In most deployments, one host holds all zones until the cut.
func randomCutSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 19))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	sim := testSimulation(0.03+0.05*random.Float64(), 12*time.Second)
	sim.Seed = seed
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 2+random.IntN(2), 4+random.IntN(3)
	if random.IntN(4) == 0 {
		sim.Bounds.MaxSharedTargets = 6 // one holder per zone
	}
	sim.ResendAnywhere, sim.Patience = true, 8*time.Second
	sim.DrainDuration += 10 * time.Second
	for i := range sim.Kinds {
		sim.Kinds[i].MeanRunTime *= time.Duration(3 + random.IntN(12))
	}
	for at := 2 * time.Second; at < 10*time.Second; at += between(2*time.Second, 4*time.Second) {
		lost := at + between(-500*time.Millisecond, 2*time.Second)
		sim.Faults = append(
			sim.Faults,
			Fault{Kind: PartitionZone, At: at, Duration: between(time.Second, 4*time.Second)},
			Fault{Kind: LateOrders, At: lost - between(0, 300*time.Millisecond), Duration: between(time.Second, 3*time.Second), TargetShare: 0.2 + 0.4*random.Float64(), OrderShare: 1, Selector: []string{"", "soon"}[random.IntN(2)]},
		)
		if random.IntN(2) == 0 {
			sim.Faults = append(sim.Faults, Fault{Kind: ResetClients, At: lost, Duration: between(10*time.Millisecond, 300*time.Millisecond), TargetShare: 0.3 + 0.5*random.Float64()})
		} else {
			sim.Faults = append(sim.Faults, Fault{Kind: KillHost, Selector: []string{"", "", "holder"}[random.IntN(3)], At: lost, Duration: between(300*time.Millisecond, 3*time.Second)})
		}
	}
	return sim
}

// TestRunEndsBeforeJobIsResentDuringCut guards against a task that runs in two zones at once: the client or the
// host of its job is lost, its target does not answer the Stop, and the client resends the job to the other
// side of a cut, where nobody knows of the run.
func TestRunEndsBeforeJobIsResentDuringCut(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, randomCutSimulation)
}

// TestCutRegressionSeeds repeats the random simulations in which a holder extended the leases of a target that
// left a Stop unanswered, because one host had held all zones before the cut.
func TestCutRegressionSeeds(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{35, 46, 50, 71, 85, 97} {
		sim := randomCutSimulation(seed)
		sim.Run()
		assert.Empty(t, sim.Violations, "seed %d", seed)
	}
}

package modeler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// randomUnlistedSimulation draws a small deployment whose tasks run for seconds. The entries of targets
// leave the store while tasks run there, and the holders are replaced once or twice meanwhile.
func randomUnlistedSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 16))
	sim := randomSimulation(seed)
	sim.Faults = nil
	sim.LoadFactor = 0.05
	sim.DrainDuration += 10 * time.Second
	for i := range sim.Kinds {
		sim.Kinds[i].MeanRunTime *= time.Duration(5 + random.IntN(20))
	}
	hiddenAt := time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
	sim.Faults = append(sim.Faults, Fault{Kind: HideTarget, At: hiddenAt, Duration: 12 * time.Second, TargetShare: 0.2 + 0.6*random.Float64()})
	for range 1 + random.IntN(2) {
		kinds := []FaultKind{KillHost, RestartHost, PauseHost, PartitionHost, KillSome}
		sim.Faults = append(sim.Faults, Fault{
			Kind: kinds[random.IntN(len(kinds))], Selector: "holder", Duration: 2 * time.Second,
			At: hiddenAt + time.Second + time.Duration(random.Int64N(int64(8*time.Second))),
		})
	}
	return sim
}

// TestRunsAtUnlistedTargetsAreNotRepeated guards against a second run of a task that is still at work
// at a target whose entry left the store long before the holder was replaced.
func TestRunsAtUnlistedTargetsAreNotRepeated(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, randomUnlistedSimulation)
}

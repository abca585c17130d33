package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// crashSimulation draws a small deployment with deadly tasks, losses of hosts between the
// crashes and clients that resend jobs for a long time.
func crashSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 9))
	sim := testSimulation(0.3, 12*time.Second)
	sim.Seed, sim.DrainDuration = seed, 20*time.Second
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 2, 10
	sim.DeadlyShare, sim.Patience = 0.02, time.Duration(random.IntN(25))*time.Second
	if seed%3 == 0 {
		sim.Bounds.MaxSharedTargets = 12 // one holder per zone
	}
	sim.Kinds = append(sim.Kinds, sim.Kinds[1])
	long := &sim.Kinds[len(sim.Kinds)-1]
	long.Name, long.Rate, long.MeanTasks, long.MeanRunTime = "long", 3, 2, 2500*time.Millisecond
	for range random.IntN(4) {
		f := []Fault{{Kind: KillHost, Selector: "holder"}, {Kind: RestartHost, Selector: "holder"}, {Kind: KillHost}, {Kind: PartitionHost, Selector: "holder"}}[random.IntN(4)]
		f.At, f.Duration = time.Duration(random.Int64N(int64(14*time.Second))), 500*time.Millisecond+time.Duration(random.Int64N(int64(3*time.Second)))
		sim.Faults = append(sim.Faults, f)
	}
	return sim
}

// TestDeadlyTaskDoesNotCrashTargetAfterTarget guards against a task that crashes the targets
// that start it and is started at one after another.
func TestDeadlyTaskDoesNotCrashTargetAfterTarget(t *testing.T) {
	t.Parallel()
	const seeds = 12
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := crashSimulation(seed)
		sim.Run()
		mostStarts := 0
		for _, c := range sim.crashes {
			mostStarts = max(mostStarts, c.starts)
		}
		t.Logf("seed %d: %d crashes under %d tasks, at most %d starts of one", seed, sim.Results.Crashes, len(sim.crashes), mostStarts)
		assert.Positive(t, sim.Results.Crashes, "seed %d", seed)
		if !assert.Empty(t, sim.Violations, "seed %d, %+v", seed, sim.Faults) {
			logResults(t, sim)
		}
	}
}

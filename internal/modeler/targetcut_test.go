package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// targetCutSimulation draws a small deployment with long tasks and patient clients, in which the targets of
// two zones are cut off for longer than a lease, one zone after the other, and start again: behind the cut,
// or some time after they are back. A holder may be lost in between.
func targetCutSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 61))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	sim := testSimulation(0.03, 4*time.Second)
	sim.Seed, sim.DrainDuration, sim.Patience = seed, 16*time.Second, 14*time.Second
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 1+random.IntN(2), 3
	if random.IntN(3) == 0 {
		sim.Bounds.MaxSharedTargets = 3 // one holder per zone
	}
	for i := range sim.Kinds {
		sim.Kinds[i].MeanRunTime = between(4*time.Second, 8*time.Second)
		sim.Kinds[i].MeanTasks = 2
	}
	at := between(1500*time.Millisecond, 3*time.Second)
	for _, i := range random.Perm(len(sim.Size.Zones))[:2] {
		zone := sim.Size.Zones[i]
		cut := Fault{Kind: CutTargets, Selector: zone, At: at, Duration: between(1500*time.Millisecond, 6*time.Second)}
		restart := Fault{Kind: RestartTargets, Selector: zone, Duration: between(100*time.Millisecond, 2*time.Second)}
		restart.At = cut.At + sim.Bounds.LeaseDuration + between(200*time.Millisecond, 8*time.Second)
		sim.Faults = append(sim.Faults, cut, restart)
		at += between(1500*time.Millisecond, 5*time.Second)
	}
	for range random.IntN(3) {
		f := []Fault{{Kind: KillHost, Selector: "holder"}, {Kind: RestartHost, Selector: "holder"}, {Kind: PartitionHost, Selector: "holder"}, {Kind: KillHost}}[random.IntN(4)]
		f.At, f.Duration = between(3*time.Second, 12*time.Second), between(300*time.Millisecond, 3*time.Second)
		sim.Faults = append(sim.Faults, f)
	}
	return sim
}

// TestTargetsThatLapseBehindCutFailNoJob guards against a job that is shown as failed because targets that had
// been cut off under it start again long after its runs there have ended.
func TestTargetsThatLapseBehindCutFailNoJob(t *testing.T) {
	t.Parallel()
	checkSimulations(t, (*simulationCount+4)/5, targetCutSimulation)
}

// TestClearedSuspicionFailsNoJob repeats simulations in which a target had answered again as the same process,
// and a copy of the suspicion came back from another host and was confirmed by the next start of the target.
func TestClearedSuspicionFailsNoJob(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{13, 20, 22} {
		sim := targetCutSimulation(seed)
		sim.Run()
		assert.Empty(t, sim.Violations, "seed %d", seed)
	}
}

// outlivingOrderSimulation draws one of the simulations with late orders, in which later processes of the
// targets execute what was meant for earlier ones, and targets crash and start again under their names.
func outlivingOrderSimulation(seed uint64) *Simulation {
	sim := randomLateSimulation(seed)
	random := rand.New(rand.NewPCG(seed, 62))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	sim.OutlivingOrders = true
	for range 1 + random.IntN(3) {
		f := []Fault{
			{Kind: CrashTargets, TargetShare: 0.2},
			{Kind: CrashTargets, TargetShare: 0.4},
			{Kind: KillTarget, TargetShare: 0.6},
			{Kind: RebornTargets, TargetShare: 0.5},
			{Kind: RestartTargets, Selector: "zone"},
		}[random.IntN(5)]
		f.At, f.Duration = between(500*time.Millisecond, 8*time.Second), between(100*time.Millisecond, 3*time.Second)
		sim.Faults = append(sim.Faults, f)
	}
	return sim
}

// TestInvariantsHoldWhenOrdersOutliveProcesses guards against a task that runs twice, or an answer that is not
// true, when a target that has started again executes an order or a renewal for its former process.
func TestInvariantsHoldWhenOrdersOutliveProcesses(t *testing.T) {
	t.Parallel()
	checkSimulations(t, (*simulationCount+4)/5, outlivingOrderSimulation)
}

// TestOutlivingOrderRegressionSeeds repeats the simulations of TestInvariantsHoldWhenOrdersOutliveProcesses that
// once violated an invariant.
func TestOutlivingOrderRegressionSeeds(t *testing.T) {
	t.Parallel()
	for seed, cause := range map[uint64]string{
		3:  "a target that had started again executed the Start of a former run beside the next run of its task",
		23: "a target that had started again executed a Start of a run that had ended before, and the host had no room for it",
		28: "a run whose Start was never executed counted as lost with the process of its target",
	} {
		sim := outlivingOrderSimulation(seed)
		sim.Run()
		assert.Empty(t, sim.Violations, "seed %d: %s", seed, cause)
	}
}

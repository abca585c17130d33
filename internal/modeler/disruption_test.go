package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// connectionFaults are the faults that randomConnectionSimulation draws from.
var connectionFaults = []Fault{
	{Kind: ReplaceLinks, Selector: "holder"},
	{Kind: ReplaceLinks, Selector: "holder"},
	{Kind: ReplaceLinks},
	{Kind: MuteLinks, Selector: "holder"},
	{Kind: MuteLinks},
	{Kind: CutOneWay, Selector: "holder"},
	{Kind: CutOneWay},
	{Kind: CutStores},
	{Kind: CrashHost, Selector: "holder"},
	{Kind: CrashHost, Selector: "holder"},
	{Kind: CrashHost},
	{Kind: CrashHost, Selector: "zone"},
	{Kind: CrashHost, Selector: "zone"},
	{Kind: SlowHost, Selector: "holder"},
	{Kind: SlowHost},
	{Kind: CrashTargets, TargetShare: 0.1},
	{Kind: ResizeTarget, TargetShare: 0.5},
	{Kind: PauseHost, Selector: "holder"},
	{Kind: PauseHost},
	{Kind: PartitionHost, Selector: "holder"},
	{Kind: RestartHost, Selector: "holder"},
	{Kind: Burst, RateFactor: 3},
}

// randomConnectionSimulation draws a small deployment, mostly with a holder for each zone, under
// so much load in some of its zones that jobs are refused, with three to eight faults.
func randomConnectionSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 9))
	sim := testSimulation(0.2+0.3*random.Float64(), 9*time.Second)
	sim.Seed = seed
	sim.Size.HostsPerZone = 2 + random.IntN(3)
	sim.Size.TargetsPerZone = 4 + random.IntN(3)
	sim.Size.ZoneShares = []float64{0.5, 0.3, 0.2}
	if random.IntN(5) > 0 {
		sim.Bounds.MaxSharedTargets = 6 // one holder per zone
	}
	if random.IntN(2) == 0 {
		sim.Bounds.FullMeshHosts = 1
	}
	if random.IntN(4) == 0 {
		sim.LostAnswerShare = 0.05
	}
	for range 3 + random.IntN(6) {
		f := connectionFaults[random.IntN(len(connectionFaults))]
		f.At = time.Duration(random.Int64N(int64(7 * time.Second)))
		f.Duration = 200*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second)))
		sim.Faults = append(sim.Faults, f)
	}
	addEvacuations(sim)
	return sim
}

// longPauseSimulation draws a deployment with a holder for each zone under high load, three of
// whose hosts are paused for longer than holders retain verdicts.
func longPauseSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 10))
	sim := testSimulation(0.4+0.3*random.Float64(), 14*time.Second)
	sim.Seed = seed
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 3, 6
	sim.Bounds.MaxSharedTargets = 6
	for range 3 {
		f := Fault{Kind: SuspendHost, At: time.Duration(random.Int64N(int64(5 * time.Second)))}
		f.Duration = sim.Bounds.VerdictRetention + 600*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))
		sim.Faults = append(sim.Faults, f)
	}
	return sim
}

// TestLongPauseOfHostsDoesNotRefuseStartedJobs guards against refusals as not run of jobs that a
// holder had forgotten when the hosts of their clients offered them again.
func TestLongPauseOfHostsDoesNotRefuseStartedJobs(t *testing.T) {
	t.Parallel()
	for seed := uint64(33); seed < 35; seed++ {
		sim := longPauseSimulation(seed)
		sim.Run()
		assert.Empty(t, sim.Violations, "seed %d", seed)
	}
}

// TestInvariantsHoldUnderConnectionFaults checks the invariants of
// TestInvariantsHoldUnderRandomFaults under faults of connections, slow hosts and crashes in
// series.
func TestInvariantsHoldUnderConnectionFaults(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, randomConnectionSimulation)
}

// TestConnectionRegressionSeeds repeats the simulations of TestInvariantsHoldUnderConnectionFaults
// that once violated an invariant.
func TestConnectionRegressionSeeds(t *testing.T) {
	t.Parallel()
	for seed, cause := range map[uint64]string{
		1023: "a restarted holder refused a job of another zone that its previous process had started",
		1282: "a restarted holder refused a job that its previous process had started, and a third zone started it again",
		1689: "a restarted holder in an evacuated zone refused a job that its previous process had started",
	} {
		sim := randomConnectionSimulation(seed)
		sim.Run()
		assert.Empty(t, sim.Violations, "seed %d: %s", seed, cause)
	}
}

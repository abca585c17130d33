package modeler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testSimulation returns the Restrepo site under a load with faults.
func testSimulation(load float64, length time.Duration, faults ...Fault) *Simulation {
	sim := Restrepo()
	sim.LoadFactor, sim.LoadDuration, sim.Faults = load, length, faults
	return &sim
}

func logResults(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, name := range sortedKeys(sim.Results.Kinds) {
		n := sim.Results.Kinds[name]
		t.Logf("%-9s sent %d in time %d late %d refused %d failed %d unknown %d, p50 %v p99 %v, %v", name, n.Sent, n.InTime, n.Late,
			n.Refused, n.Failed, n.Unknown, n.ResponseTimeQuantile(0.5), n.ResponseTimeQuantile(0.99), n.Reasons)
	}
	t.Logf("benefit %.3f, worst 2 s %.3f, starts %d", sim.Results.BenefitRatio(), sim.Results.WorstBenefitRatio(2), sim.Results.Starts)
}

// TestLightLoadIsAnsweredInTime checks that nearly all jobs are answered in time under light
// load without faults.
func TestLightLoadIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	sim := testSimulation(0.6, 10*time.Second)
	sim.Run()
	logResults(t, sim)
	require.Empty(t, sim.Violations)
	assert.GreaterOrEqual(t, sim.Results.BenefitRatio(), 0.98)
}

// faultsOfHostsAndNetwork are faults of hosts, the network, the store and the load, one by one.
func faultsOfHostsAndNetwork() []Fault {
	const second = time.Second
	return []Fault{
		{Kind: KillHost, Selector: "holder", Duration: second},
		{Kind: KillHost, Duration: second},
		{Kind: PauseHost, Selector: "holder", Duration: 4 * second},
		{Kind: PauseHost, Duration: 4 * second},
		{Kind: PauseHost, Selector: "holder", Duration: 700 * time.Millisecond},
		{Kind: RestartHost, Selector: "holder"},
		{Kind: RestartHost},
		{Kind: PartitionHost, Selector: "holder", Duration: 5 * second},
		{Kind: PartitionHost, Duration: 5 * second},
		{Kind: PartitionStore, Selector: "holder", Duration: 5 * second},
		{Kind: PartitionZone, Selector: "north", Duration: 6 * second},
		{Kind: PartitionZone, Selector: "south", Duration: 6 * second},
		{Kind: PartitionZone, Selector: "west", Duration: 6 * second},
		{Kind: StoreUnavailable, Duration: 5 * second},
		{Kind: StoreSlow, Duration: 5 * second},
		{Kind: StoreAnswersLost, Duration: 5 * second},
		{Kind: KillAllHosts, Duration: second},
		{Kind: Burst, RateFactor: 2, Duration: 4 * second},
	}
}

// TestInvariantsHoldUnderEachFault injects each fault alone, into holders and other hosts.
func TestInvariantsHoldUnderEachFault(t *testing.T) {
	t.Parallel()
	const second = time.Second
	for _, f := range append(faultsOfHostsAndNetwork(), []Fault{
		{Kind: KillTarget, TargetShare: 0.15, Duration: 4 * second},
		{Kind: FailTarget, TargetShare: 0.15, Duration: 6 * second},
		{Kind: HangTarget, TargetShare: 0.15, Duration: 6 * second},
		{Kind: SlowTarget, TargetShare: 0.15, Duration: 6 * second},
		{Kind: DrainTarget, TargetShare: 0.1},
		{Kind: CutTargets, TargetShare: 0.15, Duration: 4 * second},
		{Kind: CutTargets, Selector: "south", Duration: 4 * second},
		{Kind: RebornTargets, TargetShare: 0.15, Duration: 4 * second},
		{Kind: RebornTargets, Selector: "west", Duration: 4 * second},
		{Kind: RestartTargets, Selector: "zone", Duration: second},
	}...) {
		f.At = 4 * second
		t.Run(fmt.Sprintf("%s-%s", f.Kind, f.Selector), func(t *testing.T) {
			t.Parallel()
			sim := testSimulation(0.8, 14*second, f)
			sim.Run()
			logResults(t, sim)
			assert.Empty(t, sim.Violations)
			assert.GreaterOrEqual(t, sim.Results.BenefitRatio(), 0.5)
		})
	}
}

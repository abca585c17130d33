package modeler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// combinedFaults are the faults that randomCombinedSimulation draws from.
var combinedFaults = []Fault{
	{Kind: SuspendHost, Selector: "holder"},
	{Kind: SuspendHost},
	{Kind: MuteAll},
	{Kind: MuteAll},
	{Kind: MuteLinks, Selector: "holder"},
	{Kind: ReplaceLinks, Selector: "holder"},
	{Kind: KillHost, Selector: "holder"},
	{Kind: CrashHost, Selector: "holder"},
	{Kind: KillSome},
	{Kind: KillAllHosts},
	{Kind: RollHosts},
	{Kind: RestartHost, Selector: "holder"},
	{Kind: ShiftClock, Selector: "holder"},
	{Kind: ShiftClock},
	{Kind: ThrottleHost, Selector: "holder"},
	{Kind: KillTarget, TargetShare: 0.2},
	{Kind: DrainTarget, TargetShare: 0.2},
	{Kind: StoreUnavailable},
	{Kind: StoreAnswersLost},
	{Kind: Burst, RateFactor: 2},
}

// randomCombinedSimulation draws a small deployment under so much load that jobs are refused, with
// late orders and impatient or patient clients, and with two to nine faults that include
// suspensions for longer than holders retain verdicts.
func randomCombinedSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 12))
	oneIn := func(n int) bool { return random.IntN(n) == 0 }
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	sim := testSimulation(0.2+0.3*random.Float64(), 14*time.Second)
	sim.Seed = seed
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 2+random.IntN(2), 4+random.IntN(3)
	sim.Size.ZoneShares = []float64{0.5, 0.3, 0.2}
	if !oneIn(3) {
		sim.Bounds.MaxSharedTargets = 6 // one holder per zone
	}
	if oneIn(3) {
		sim.Bounds.FullMeshHosts = 1
	}
	if oneIn(2) {
		sim.LateOrderShare, sim.LateRenewals = 0.03, oneIn(2)
	}
	if oneIn(4) {
		sim.LostAnswerShare = 0.05
	}
	if oneIn(4) {
		sim.Patience = 6 * time.Second
	}
	sim.RetryRefusedJobs = oneIn(2)
	sim.Kinds[1].Rate *= 4 // the clients of these jobs wait longer than holders retain verdicts
	sim.Kinds[2].Rate /= 2
	if oneIn(4) {
		sim.Kinds[1].Stretch *= 2
	}
	for range random.IntN(4) {
		pause := Fault{Kind: SuspendHost, At: between(0, 5*time.Second)}
		pause.Duration = sim.Bounds.VerdictRetention + between(200*time.Millisecond, 2500*time.Millisecond)
		sim.Faults = append(sim.Faults, pause)
	}
	for range 2 + random.IntN(5) {
		f := combinedFaults[random.IntN(len(combinedFaults))]
		f.At, f.Duration = between(0, 9*time.Second), between(200*time.Millisecond, 3*time.Second)
		switch f.Kind {
		case SuspendHost:
			f.Duration = between(time.Second, sim.Bounds.VerdictRetention+3*time.Second)
		case ShiftClock, KillHost, KillSome, KillAllHosts:
			f.Duration = between(50*time.Millisecond, 1500*time.Millisecond)
			f.ClockShift = between(-6*time.Second, 2*time.Second)
		}
		sim.Faults = append(sim.Faults, f)
	}
	addEvacuations(sim)
	return sim
}

// TestInvariantsHoldUnderCombinedFaults checks the invariants of TestInvariantsHoldUnderRandomFaults
// under suspensions, silent connections, shifted clocks, late orders and refusals together.
func TestInvariantsHoldUnderCombinedFaults(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, randomCombinedSimulation)
}

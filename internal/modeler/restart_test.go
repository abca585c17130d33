package modeler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// eventCost is the processor time of an event or order: 0.26 cores at 960 starts a second, each with 2.4
// orders and their answers (docs/CAPACITY.md).
const eventCost = 60 * time.Microsecond

// restartSimulation returns the site with weak and strong hosts with simulated processors under faults,
// and a configuration that changes each second. It counts the claims and the ends of shutdowns during
// the load.
func restartSimulation(length time.Duration, faults ...Fault) (sim *Simulation, actions map[string]int) {
	site := Tables()
	sim, actions = &site, make(map[string]int)
	sim.Size.EventCost, sim.LoadDuration, sim.DrainDuration, sim.Faults = eventCost, length, 4*time.Second, faults
	for i := range uint64(length / time.Second) {
		sim.schedule(sim.WarmUpDuration+time.Duration(i)*time.Second, func() {
			sim.store.config = &router.Config{Version: i + 1, Routes: []router.Route{{Name: "check"}, {Name: "manifest"}, {Name: "confirm"}}}
		})
	}
	sim.Trace = func(at time.Duration, _ string, e router.Decision) {
		if at > 0 {
			actions[e.Action]++
		}
	}
	return sim, actions
}

func restart(host string, at time.Duration) Fault {
	return Fault{Kind: RestartHost, Selector: host, At: at}
}

// TestRestartsInTurnCostNothing guards against takeovers by hosts that are too weak for a cell: they are
// unresponsive for so long that the cell moves on, and jobs that never started are reported as possibly
// run. The same faults cost up to 0.9 of the benefit of two seconds without the planned handover.
func TestRestartsInTurnCostNothing(t *testing.T) {
	t.Parallel()
	var all []Fault
	for i := range 33 { // six at once, two a zone
		all = append(all, restart(fmt.Sprintf("h%d-%d", i%3, i/3), time.Second+time.Duration(i/6)*2*time.Second))
	}
	for name, c := range map[string]struct {
		faults    []Fault
		length    time.Duration
		maxClaims int
	}{
		"strong hosts of a zone in turn":  {[]Fault{restart("h0-0", time.Second), restart("h0-1", 3*time.Second)}, 8 * time.Second, 2},
		"strong hosts of a zone together": {[]Fault{restart("h0-0", time.Second), restart("h0-1", time.Second)}, 8 * time.Second, 1},
		"all hosts":                       {all, 14 * time.Second, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, actions := restartSimulation(c.length, c.faults...)
			sim.reduceToThird()
			sim.Run()
			logResults(t, sim)
			assert.Empty(t, sim.Violations)
			assert.GreaterOrEqual(t, sim.Results.WorstBenefitRatio(2), 0.97)
			assert.Zero(t, sim.Results.UnknownUnstarted)
			assert.LessOrEqual(t, actions["claim"], c.maxClaims)
			assert.Equal(t, len(c.faults), actions["halt"], "shutdowns that end within their grace")
		})
	}
}

// TestInterruptedHandover checks restarts of the strong hosts of a zone when the leaving holder ends, the
// successor ends, the store is away or the zone is cut off meanwhile, and when the weak hosts are of a
// build that replaces a leaving holder at once.
func TestInterruptedHandover(t *testing.T) {
	t.Parallel()
	earlier := make(map[string]router.Policy)
	for i := 2; i < 11; i++ {
		earlier[fmt.Sprintf("h0-%d", i)] = router.Policy{Disabled: router.PlannedHandover}
	}
	const returnAt = 4300 * time.Millisecond // when the strong hosts are back, and one is named
	for name, c := range map[string]struct {
		faults   []Fault
		policies map[string]router.Policy
		least    float64
	}{
		"holder ends":     {[]Fault{{Kind: KillHost, Selector: "h0-1", At: 2 * time.Second, Duration: time.Second}}, nil, 0.9},
		"successor ends":  {[]Fault{{Kind: KillHost, Selector: "h0-0", At: returnAt, Duration: time.Second}}, nil, 0.97},
		"store is away":   {[]Fault{{Kind: StoreUnavailable, At: 1500 * time.Millisecond, Duration: 5 * time.Second}}, nil, 0.9},
		"zone is cut off": {[]Fault{{Kind: PartitionZone, Selector: "north", At: 1500 * time.Millisecond, Duration: 5 * time.Second}}, nil, 0.85},
		"earlier build":   {nil, earlier, 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, _ := restartSimulation(8*time.Second, append(c.faults, restart("h0-0", time.Second), restart("h0-1", time.Second))...)
			sim.HostPolicies = c.policies
			sim.Run()
			logResults(t, sim)
			assert.Empty(t, sim.Violations)
			assert.GreaterOrEqual(t, sim.Results.BenefitRatio(), c.least)
		})
	}
}

// TestBusyHolderIsNotReplaced guards against a cell that moves between weak hosts because each is busy
// with its takeover: both strong hosts of a zone end, and the weak ones can carry the load.
func TestBusyHolderIsNotReplaced(t *testing.T) {
	t.Parallel()
	sim, actions := restartSimulation(8*time.Second,
		Fault{Kind: KillHost, Selector: "h0-0", At: time.Second, Duration: 5 * time.Second}, Fault{Kind: KillHost, Selector: "h0-1", At: time.Second, Duration: 5 * time.Second})
	sim.LoadFactor = 0.35
	sim.Run()
	logResults(t, sim)
	assert.Empty(t, sim.Violations)
	assert.LessOrEqual(t, actions["claim"], 2)
	assert.GreaterOrEqual(t, sim.Results.WorstBenefitRatio(2), 0.93)
}

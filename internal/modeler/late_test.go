package modeler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// lateOrderFault makes orders late in seconds 3 to 8 of a load of 10 s.
func lateOrderFault(targets, orders float64, selector string) Fault {
	return Fault{Kind: LateOrders, At: 3 * time.Second, Duration: 5 * time.Second, TargetShare: targets, OrderShare: orders, Selector: selector}
}

// TestServiceWithLateOrders guards against seconds without service while targets execute orders
// seconds late and do not answer them: orders under way then occupied the slots of the host, and jobs
// waited for time-outs. The loads of the cases a to c are those of docs/design/orders.md.
func TestServiceWithLateOrders(t *testing.T) {
	t.Parallel()
	smallTables := func() Simulation { return thirdOf(Tables()) }
	for _, c := range []struct {
		name        string
		site        func() Simulation
		load        float64
		fault       Fault
		mean, worst float64
	}{
		{"a", smallTables, 1, lateOrderFault(1, 0.05, ""), 0.98, 0.9},
		{"b", Tables, 1, lateOrderFault(0.2, 0.4, ""), 0.98, 0.9},
		{"c", smallTables, 0.5, lateOrderFault(1, 0.5, ""), 0.98, 0.9},
		{"c and renewals", smallTables, 0.5, lateOrderFault(1, 0.5, "renewals"), 0.95, 0.8},
		{"c and renewals", Restrepo, 0.5, lateOrderFault(1, 0.5, "renewals"), 0.94, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim := c.site()
			sim.LoadFactor, sim.LoadDuration, sim.LimitOrders, sim.Faults = c.load, 10*time.Second, true, []Fault{c.fault}
			sim.Run()
			logResults(t, &sim)
			assert.Empty(t, sim.Violations)
			assert.GreaterOrEqual(t, sim.Results.BenefitRatio(), c.mean)
			assert.GreaterOrEqual(t, sim.Results.WorstBenefitRatio(1), c.worst)
		})
	}
}

// TestTargetsThatAnswerNoOrdersAreAvoided checks that jobs end in time elsewhere while a tenth of the
// targets answers renewals but no orders, and that the others cost nothing when these answer again.
func TestTargetsThatAnswerNoOrdersAreAvoided(t *testing.T) {
	t.Parallel()
	run := func(policy router.Policy) float64 {
		return meanBenefit(t, func() *Simulation {
			sim := testSimulation(0.8, 10*time.Second, lateOrderFault(0.1, 1, ""))
			sim.LimitOrders, sim.Policy = true, policy
			return sim
		})
	}
	with, without := run(router.Policy{}), run(router.Policy{Disabled: router.EarlyRepeats})
	assert.GreaterOrEqual(t, with, 0.97)
	assert.Greater(t, with, without)
}

// randomLateSimulation draws one of the simulations with random faults, in which shares of the orders
// are executed late, also within the time of a lease.
func randomLateSimulation(seed uint64) *Simulation {
	random := rand.New(rand.NewPCG(seed, 14))
	builders := []func(uint64) *Simulation{randomSimulation, randomConnectionSimulation, randomCombinedSimulation}
	sim := builders[random.IntN(len(builders))](seed)
	sim.LimitOrders = random.IntN(2) == 0
	for range 1 + random.IntN(3) {
		f := Fault{Kind: LateOrders, At: time.Duration(random.Int64N(int64(6 * time.Second))), TargetShare: 0.2 + 0.8*random.Float64(), OrderShare: random.Float64()}
		f.Duration = 300*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second)))
		f.Selector = []string{"", "soon", "renewals", "soon renewals"}[random.IntN(4)]
		sim.Faults = append(sim.Faults, f)
	}
	return sim
}

// TestInvariantsHoldWithLateOrders checks the invariants of TestInvariantsHoldUnderRandomFaults while
// many orders are executed late, before and after the end of their leases. It guards against a task
// that runs twice when a Start is executed after its run was taken for over, when a Stop is executed
// after the next run has started, or when a renewal is executed after later ones.
func TestInvariantsHoldWithLateOrders(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *simulationCount, randomLateSimulation)
}

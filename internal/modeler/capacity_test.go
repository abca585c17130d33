package modeler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var shrinkCount = flag.Int("shrinks", 20, "number of random simulations with changing capacities to run")

// addShrinks adds changes of the targets' capacities, beside the faults of a random simulation.
func addShrinks(sim *Simulation) {
	random := rand.New(rand.NewPCG(sim.Seed, 9))
	sim.UnguardedTargets = random.IntN(2) == 0
	for range 1 + random.IntN(3) {
		sim.Faults = append(sim.Faults, Fault{
			Kind: ShrinkTarget, At: time.Duration(random.Int64N(int64(6 * time.Second))), Duration: time.Second + time.Duration(random.Int64N(int64(9*time.Second))),
			TargetShare: 0.2 + 0.8*random.Float64(), RateFactor: 0.8 * random.Float64(),
		})
	}
}

// TestInvariantsHoldWhileCapacitiesChange checks the invariants under random faults while the
// capacities of targets shrink and grow.
func TestInvariantsHoldWhileCapacitiesChange(t *testing.T) {
	t.Parallel()
	checkSimulations(t, *shrinkCount, func(seed uint64) *Simulation {
		sim := randomSimulation(seed)
		addShrinks(sim)
		return sim
	})
}

// newShrinkSimulation returns a small deployment in which most targets shrink.
func newShrinkSimulation(faults ...Fault) *Simulation {
	sim := testSimulation(0.25, 9*time.Second, append(faults, Fault{Kind: ShrinkTarget, At: 2 * time.Second, Duration: 6 * time.Second, TargetShare: 0.7, RateFactor: 0.4})...)
	sim.Size.TargetsPerZone = 4
	return sim
}

// TestShrunkCapacityIsUsedAtOnce checks that no start exceeds a capacity later than the interval
// of reads and an order under way, whether one host holds all zones or each zone has a holder,
// and whether or not the targets guard their capacity.
func TestShrunkCapacityIsUsedAtOnce(t *testing.T) {
	t.Parallel()
	for _, maxShared := range []int{150, 6} {
		for _, unguarded := range []bool{false, true} {
			sim := newShrinkSimulation()
			sim.Bounds.MaxSharedTargets, sim.UnguardedTargets = maxShared, unguarded
			sim.Run()
			assert.Empty(t, sim.Violations)
			assert.NotEmpty(t, sim.Results.ExcessStarts, "the targets are busy")
			assert.LessOrEqual(t, slices.Max(append(sim.Results.ExcessStarts, 0)), sim.Bounds.DirectoryInterval+100*time.Millisecond)
		}
	}
}

// TestShrunkCapacityHoldsUnderEachFault shrinks targets just after each fault of the hosts, the
// store or the network has begun.
func TestShrunkCapacityHoldsUnderEachFault(t *testing.T) {
	t.Parallel()
	for _, f := range faultsOfHostsAndNetwork() {
		t.Run(fmt.Sprintf("%s-%s", f.Kind, f.Selector), func(t *testing.T) {
			t.Parallel()
			fault := f // the subtests run in parallel
			fault.At = 1900 * time.Millisecond
			sim := newShrinkSimulation(fault)
			sim.UnguardedTargets = true
			sim.Run()
			assert.Empty(t, sim.Violations)
		})
	}
}

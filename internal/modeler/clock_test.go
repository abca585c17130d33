package modeler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// TestHostWhoseClockWasSetBackRejoins guards against a restarted host that its peers ignore, so that it
// and they claim the same cells in turn.
func TestHostWhoseClockWasSetBackRejoins(t *testing.T) {
	t.Parallel()
	checkShiftedClocks(t)
}

// TestHostWhoseClockWasSetBackRejoinsWithoutStore guards against a restarted host that its peers ignore
// until the store answers.
func TestHostWhoseClockWasSetBackRejoinsWithoutStore(t *testing.T) {
	t.Parallel()
	checkShiftedClocks(t, Fault{Kind: StoreUnavailable, At: 1500 * time.Millisecond, Duration: 6 * time.Second})
}

// checkShiftedClocks simulates the restart of a host with its clock set back or ahead beside other
// faults, and checks that it costs little.
func checkShiftedClocks(t *testing.T, faults ...Fault) {
	t.Helper()
	for _, test := range []struct {
		selector         string
		maxSharedTargets int // below the 48 targets of the site, each zone has a holder of its own
		shift            time.Duration
	}{{"holder", 6, -8 * time.Second}, {"holder", 150, -8 * time.Second}, {"holder", 150, 8 * time.Second}, {"h1-1", 6, -8 * time.Second}, {"h1-1", 150, -8 * time.Second}} {
		sim := testSimulation(0.6, 6*time.Second, Fault{Kind: ShiftClock, Selector: test.selector, At: 2 * time.Second, Duration: 300 * time.Millisecond, ClockShift: test.shift})
		sim.Faults, sim.Bounds.MaxSharedTargets = append(sim.Faults, faults...), test.maxSharedTargets
		claims := 0
		sim.Trace = func(at time.Duration, _ string, e router.Decision) {
			if at > 2*time.Second && e.Action == "claim" {
				claims++
			}
		}
		sim.Run()
		assert.Empty(t, sim.Violations)
		assert.LessOrEqual(t, claims, len(sim.Size.Zones), "%+v", test)
		assert.GreaterOrEqual(t, sim.Results.BenefitRatio(), 0.95, "%+v", test)
	}
}

package modeler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUnevenTargetsAreUsed checks that a site with targets of different speeds is served in time
// at its heaviest usual load.
func TestUnevenTargetsAreUsed(t *testing.T) {
	t.Parallel()
	for name, site := range map[string]func() Simulation{"tables": Tables, "pricing": Pricing} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := thirdOf(site())
			sim.LoadDuration, sim.DrainDuration = 4*time.Second, 4*time.Second
			sim.Run()
			logResults(t, &sim)
			assert.Empty(t, sim.Violations)
			assert.GreaterOrEqual(t, sim.Results.BenefitRatio(), 0.95)
		})
	}
}

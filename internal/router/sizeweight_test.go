package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLargeTasksAreRefusedAtOnce guards against jobs of large tasks that are admitted behind work that
// will pass them, wait until they are late and are refused then.
func TestLargeTasksAreRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		cpu      int
		disabled Mechanism
		refused  bool
	}{{1000, "", false}, {1400, "", true}, {1400, SizeWeighting, false}} {
		b := newHolderBed(t, 1, ClaimWon)
		b.router.Policy.Disabled = test.disabled
		b.step(Submit{Request: 1, Job: patientJob("blocking"), Budget: 20 * time.Second})
		j := twoTaskJob("j")
		j.Count, j.Need.CPU, j.Allowance = 1, test.cpu, 50*time.Millisecond
		b.router.meanNeeds["work"] = 1000
		got := answers(b.step(Submit{Request: 2, Job: j, Budget: 5 * time.Second}))
		assert.Equal(t, test.refused, len(got) > 0, "%d thousandths of a core, without %q", test.cpu, test.disabled)
	}
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestFragmentationCountsUnusableRoom guards against a metric that counts room as lost while nothing
// waits, or that counts room in which a waiting task fits.
func TestFragmentationCountsUnusableRoom(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	large := patientJob("large")
	large.Need.CPU = 1500
	b.step(Submit{Request: 1, Job: large, Budget: 20 * time.Second})
	assert.Equal(t, 0.75, b.router.View().Utilization)
	assert.Zero(t, b.router.View().Fragmentation, "nothing waits")
	large.ID = "waiting"
	b.step(Submit{Request: 2, Job: large, Budget: 20 * time.Second})
	assert.Equal(t, 0.25, b.router.View().Fragmentation)
	small := patientJob("small")
	small.Need.CPU, small.Count = 500, 1
	b.step(Submit{Request: 3, Job: small, Budget: 20 * time.Second})
	assert.Equal(t, 0.875, b.router.View().Utilization)
	assert.Equal(t, 0.125, b.router.View().Fragmentation)
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// countWarmUps returns the number of WarmUp effects by target ID.
func countWarmUps(effects []Effect) map[string]int {
	count := make(map[string]int)
	for _, e := range effectsOf[WarmUp](effects) {
		count[e.Target.ID]++
	}
	return count
}

// TestSuccessorKeepsStandbyConnections: a likely successor must open connections to the
// targets of the cell, one target at a time, and keep them open.
func TestSuccessorKeepsStandbyConnections(t *testing.T) {
	b := newClusterBed(t, "n2", "s1")
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: newTargets(5)}})
	assert.LessOrEqual(t, len(countWarmUps(b.advanceWithHeartbeats(standbyOpenInterval, "n2", "s1"))), 1)
	b.advanceWithHeartbeats(time.Second, "n2", "s1")
	counts := countWarmUps(b.advanceWithHeartbeats(standbyUseInterval, "n2", "s1"))
	assert.Len(t, counts, 5)
	for id, count := range counts {
		assert.Equal(t, 1, count, id)
	}
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: newTargets(4)}})
	assert.Len(t, b.router.standbyUsedAt, 4)
}

// TestOnlySuccessorsKeepStandbyConnections: neither the holder nor hosts that are
// unlikely successors may keep standby connections.
func TestOnlySuccessorsKeepStandbyConnections(t *testing.T) {
	b := newClusterBed(t, "n2", "n3", "s1")
	b.router.Self.Slot = 99 // n2 and n3 are the likely successors
	b.advanceWithHeartbeats(b.router.Bounds.HeartbeatInterval, "n2", "n3", "s1")
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: newTargets(5)}})
	assert.Empty(t, countWarmUps(b.advanceWithHeartbeats(time.Second, "n2", "n3", "s1")))

	holder := newHolderBed(t, 5, ClaimWon)
	assert.Empty(t, countWarmUps(holder.advance(time.Second)))
}

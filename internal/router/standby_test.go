package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// countWarmUps returns how often connections to each target are opened or used ahead.
func countWarmUps(effects []Effect) map[string]int {
	count := make(map[string]int)
	for _, e := range effectsOf[WarmUp](effects) {
		count[e.Target.ID]++
	}
	return count
}

// TestSuccessorKeepsStandbyConnections: a host that would hold the cell next opens connections to its targets, a
// few at a time, and keeps them open.
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

// TestOnlySuccessorsKeepStandbyConnections: neither the holder nor hosts far behind in line keep
// connections open.
func TestOnlySuccessorsKeepStandbyConnections(t *testing.T) {
	b := newClusterBed(t, "n2", "n3", "s1")
	b.router.Self.Slot = 99 // n2 and n3 come first
	b.advanceWithHeartbeats(b.router.Bounds.HeartbeatInterval, "n2", "n3", "s1")
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: newTargets(5)}})
	assert.Empty(t, countWarmUps(b.advanceWithHeartbeats(time.Second, "n2", "n3", "s1")))

	holder := newHolderBed(t, 5, ClaimWon)
	assert.Empty(t, countWarmUps(holder.advance(time.Second)))
}

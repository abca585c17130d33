package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// warmed returns how often connections to each target are opened or used ahead.
func warmed(effects []Effect) map[string]int {
	count := make(map[string]int)
	for _, e := range only[WarmUp](effects) {
		count[e.Target.ID]++
	}
	return count
}

// TestStandBy: a host that would hold the cell next opens connections to its targets, a
// few at a time, and keeps them open.
func TestStandBy(t *testing.T) {
	b := newSides(t, "n2", "s1")
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: entries(5)}})
	assert.LessOrEqual(t, len(warmed(b.touch(warmPause, "n2", "s1"))), 1)
	b.touch(time.Second, "n2", "s1")
	again := warmed(b.touch(warmEvery, "n2", "s1"))
	assert.Len(t, again, 5)
	for id, count := range again {
		assert.Equal(t, 1, count, id)
	}
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: entries(4)}})
	assert.Len(t, b.router.warm, 4)
}

// TestStandByOfSuccessorsOnly: neither the holder nor hosts far behind in line keep
// connections open.
func TestStandByOfSuccessorsOnly(t *testing.T) {
	b := newSides(t, "n2", "n3", "s1")
	b.router.Self.Slot = 99 // n2 and n3 come first
	b.touch(b.router.Bounds.HeartbeatInterval, "n2", "n3", "s1")
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: entries(5)}})
	assert.Empty(t, warmed(b.touch(time.Second, "n2", "n3", "s1")))

	holder := newHolderBed(t, 5, ClaimWon)
	assert.Empty(t, warmed(holder.pass(time.Second)))
}

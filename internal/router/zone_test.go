package router

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTwoZoneDirectory returns a directory with targetsPerZone targets in each of two
// zones.
func newTwoZoneDirectory(targetsPerZone int) Directory {
	d := Directory{Version: 5}
	for _, zone := range []string{"north", "south"} {
		for i := range targetsPerZone {
			d.Targets = append(d.Targets, Target{ID: fmt.Sprint(zone, i), Zone: zone, Service: "work", Capacity: Resources{CPU: 2000}})
		}
	}
	return d
}

// receiveDirectoryHeartbeat delivers a heartbeat that makes a host reachable and names
// its directory version and target count.
func (b *originBed) receiveDirectoryHeartbeat(zone, address string, directory uint64, total int) []Effect {
	return b.step(Receive{From: address, Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: address, Zone: zone, Address: address, Incarnation: 5, Slot: 9}, Sent: 1, Echo: b.now.UnixNano(),
		Directory: directory, TargetCount: total, WantsHeartbeats: true,
	}}})
}

// TestSplitZoneHostKeepsOnlyItsTargets: if each zone has a holder of its own, a host
// must keep only the targets of its zone, send them only to hosts of the zone, and not
// adopt the directory of another zone.
func TestSplitZoneHostKeepsOnlyItsTargets(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	count := b.router.Bounds.MaxSharedTargets
	b.step(DirectoryRead{RequestedAt: b.now, Directory: newTwoZoneDirectory(count)})
	assert.Len(t, b.router.directory.Targets, count)
	assert.Equal(t, 2*count, b.router.directory.Total)

	countSentDirectories := func(effects []Effect) int {
		n := 0
		for _, e := range effectsOf[Send](effects) {
			if e.Message.Directory != nil {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 0, countSentDirectories(b.receiveDirectoryHeartbeat("south", "10.0.0.7:1", 1, 2*count)))
	assert.Equal(t, 1, countSentDirectories(b.receiveDirectoryHeartbeat("north", "10.0.0.8:1", 1, 2*count)))

	otherZone := Directory{Version: 6, Targets: newTwoZoneDirectory(count).Targets[count:], Total: 2 * count}
	b.step(Receive{From: "10.0.0.7:1", Message: Message{Directory: &otherZone}})
	require.Len(t, b.router.directory.Targets, count)
	assert.Equal(t, "north", b.router.directory.Targets[0].Zone)
}

// TestTargetCountFromHeartbeatSplitsZones: a host with an outdated directory must learn
// from heartbeats that each zone has a holder of its own. It must then read the
// directory itself, even if a host of another zone has read it.
func TestTargetCountFromHeartbeatSplitsZones(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	assert.False(t, b.router.holderPerZone)
	b.receiveDirectoryHeartbeat("south", "10.0.0.7:1", 7, b.router.Bounds.MaxSharedTargets+1)
	assert.True(t, b.router.holderPerZone)
	assert.False(t, b.router.hasPeerReadDirectory())
}

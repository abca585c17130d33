package router

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// many returns a list of so many targets in each of two zones.
func many(count int) Directory {
	d := Directory{Version: 5}
	for _, zone := range []string{"north", "south"} {
		for i := range count {
			d.Targets = append(d.Targets, Target{ID: fmt.Sprint(zone, i), Zone: zone, Service: "work", Capacity: Resources{CPU: 2000}})
		}
	}
	return d
}

// beatFrom brings a heartbeat of a host of another zone, in touch.
func (b *bed) beatFrom(zone, address string, directory uint64, total int) []Effect {
	return b.step(Receive{From: address, Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: address, Zone: zone, Address: address, Incarnation: 5, Slot: 9}, Sent: 1, Echo: b.now.UnixNano(),
		Directory: directory, TargetCount: total, WantsHeartbeats: true,
	}}})
}

// TestListsOfZones: where each zone has its own holder, a host keeps the targets of its
// zone, passes them on within the zone only, and does not take the list of another zone
// for its own.
func TestListsOfZones(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	count := b.router.Bounds.MaxSharedTargets
	b.step(DirectoryRead{RequestedAt: b.now, Directory: many(count)})
	assert.Len(t, b.router.directory.Targets, count)
	assert.Equal(t, 2*count, b.router.directory.Total)

	told := func(effects []Effect) int {
		n := 0
		for _, e := range only[Send](effects) {
			if e.Message.Directory != nil {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 0, told(b.beatFrom("south", "10.0.0.7:1", 1, 2*count)))
	assert.Equal(t, 1, told(b.beatFrom("north", "10.0.0.8:1", 1, 2*count)))

	theirs := Directory{Version: 6, Targets: many(count).Targets[count:], Total: 2 * count}
	b.step(Receive{From: "10.0.0.7:1", Message: Message{Directory: &theirs}})
	require.Len(t, b.router.directory.Targets, count)
	assert.Equal(t, "north", b.router.directory.Targets[0].Zone)
}

// TestTotalIsHeardOf: a host that has no list yet learns from heartbeats that each zone
// has a holder of its own, and then reads the list itself although a host of another
// zone has read it.
func TestTotalIsHeardOf(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	assert.False(t, b.router.split)
	b.beatFrom("south", "10.0.0.7:1", 7, b.router.Bounds.MaxSharedTargets+1)
	assert.True(t, b.router.split)
	assert.False(t, b.router.readElsewhere())
}

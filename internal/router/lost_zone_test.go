package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestZoneThatHolderHasLostSinceOfferIsListed guards against a second run of a job that was started
// in another zone of its holder, which the holder lost before the zone of the job.
func TestZoneThatHolderHasLostSinceOfferIsListed(t *testing.T) {
	const first = 2 << (slotBits + slotUseBits)
	b := newOriginBed(t)
	b.router.totalTargets = b.router.Bounds.MaxSharedTargets + 1
	b.router.updateHolderPerZone()
	next := Member{Name: "c", Zone: "south", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3}
	receiveClaims := func(from Member, claims ...Claim) {
		b.step(Receive{From: from.Address, Message: Message{Heartbeat: &Heartbeat{Member: from, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Claims: claims}}})
	}
	receiveClaims(b.peer, Claim{Zone: "north", Token: first, Holder: b.peer}, Claim{Zone: "south", Token: first + 1, Holder: b.peer})
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	require.Equal(t, b.peer.Address, b.router.requestsByJob["j"].holder)

	receiveClaims(next, Claim{Zone: "south", Token: first + 2, Holder: next})
	receiveClaims(next, Claim{Zone: "north", Token: first + 3, Holder: next})
	b.step(Tick{})
	q := b.router.requestsByJob["j"]
	require.Equal(t, next.Address, q.holder)
	assert.ElementsMatch(t, []string{"north", "south"}, q.previousZones)
}

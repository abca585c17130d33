package router

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOddVersionIsNotAdopted guards against evacuations, configurations and lists of targets that can
// never be replaced, since one had a version that no later one exceeds.
func TestOddVersionIsNotAdopted(t *testing.T) {
	for _, odd := range []uint64{math.MaxUint64, math.MaxInt64, 1<<53 + 1} {
		b := newOriginBed(t)
		send := func(m Message) { b.step(Receive{From: b.peer.Address, Message: m}) }
		heartbeat := func(h Heartbeat) {
			h.Member, h.Sent, h.Echo = b.peer, b.now.UnixNano(), b.now.UnixNano()
			send(Message{Heartbeat: &h})
		}
		heartbeat(Heartbeat{Evacuations: &Evacuations{Version: odd, Zones: []string{"north"}}})
		b.step(EvacuationsRead{RequestedAt: b.now, Evacuations: Evacuations{Version: odd, Zones: []string{"north"}}})
		heartbeat(Heartbeat{Evacuations: &Evacuations{Version: 5, Zones: []string{"south"}}})
		assert.Equal(t, []string{"south"}, b.router.evacuations.Zones, "version %d", odd)

		send(Message{Config: &Config{Version: odd}})
		b.step(Adopt{Config: &Config{Version: odd}})
		send(Message{Config: &Config{Version: 5}})
		assert.EqualValues(t, 5, b.router.config.Version, "version %d", odd)

		heartbeat(Heartbeat{Directory: odd, TargetCount: 10_000})
		assert.False(t, b.router.holderPerZone, "version %d", odd)
		send(Message{Directory: &Directory{Version: odd, Targets: newTargets(1)}})
		b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: odd, Targets: newTargets(1)}})
		send(Message{Directory: &Directory{Version: 4, Targets: newTargets(2)}})
		send(Message{DirectoryChanges: &DirectoryChanges{From: 4, Version: odd, Removed: []string{"p", "q"}}})
		send(Message{DirectoryChanges: &DirectoryChanges{From: 4, Version: 5, Removed: []string{"p"}}})
		assert.EqualValues(t, 5, b.router.directory.Version, "version %d", odd)
		assert.Len(t, b.router.directory.Targets, 1, "version %d", odd)
		heartbeat(Heartbeat{Directory: 6, TargetCount: 10_000})
		assert.True(t, b.router.holderPerZone, "version %d", odd)
	}
}

// TestOddTargetCountIsNotAdopted guards against hosts that split the cells differently for good.
func TestOddTargetCountIsNotAdopted(t *testing.T) {
	for _, odd := range []int{math.MinInt, -1} {
		b := newOriginBed(t)
		b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Directory: 5, TargetCount: 10_000}}})
		b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Directory: 6, TargetCount: odd}}})
		assert.True(t, b.router.holderPerZone, "count %d", odd)
	}
}

// TestOddMemberIsNotAdopted guards against a host that its peers ignore, and hosts that split the cells
// differently for good, since a row of the store or a claim has an odd member.
func TestOddMemberIsNotAdopted(t *testing.T) {
	sound := Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 5, Slot: 3, LinkRate: 1_000}
	for name, change := range map[string]func(*Member){
		"incarnation":     func(m *Member) { m.Incarnation = math.MaxInt64 },
		"no incarnation":  func(m *Member) { m.Incarnation = -1 },
		"link rate":       func(m *Member) { m.LinkRate = math.MaxInt },
		"no link rate":    func(m *Member) { m.LinkRate = -1 },
		"processor share": func(m *Member) { m.CPUShare = math.MaxInt },
		"slot":            func(m *Member) { m.Slot = 1 << 16 },
		"negative slot":   func(m *Member) { m.Slot = -1 },
		"long zone":       func(m *Member) { m.Zone = strings.Repeat("z", 1_000) },
		"long address":    func(m *Member) { m.Address = strings.Repeat("1", 1_000) },
	} {
		odd := sound
		change(&odd)
		b := &originBed{now: time.Unix(testEpoch, 0)}
		b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1, LinkRate: 100}, Bounds: Standard()}
		b.step(Tick{})
		claim := Claim{Zone: "north", Token: 5 << (slotBits + slotUseBits), Holder: odd}
		b.step(Registered{Slot: 2, SlotUses: 1, Members: []Member{odd}, Claims: []StoredClaim{{Claim: claim, Version: 3}}})
		b.step(Receive{From: sound.Address, Message: Message{Heartbeat: &Heartbeat{Member: odd, Sent: b.now.UnixNano()}}})
		assert.EqualValues(t, 5, b.router.generation, name)
		b.step(Receive{From: sound.Address, Message: Message{Heartbeat: &Heartbeat{Member: sound, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
		require.Contains(t, b.router.peers, sound.Address, name)
		assert.True(t, b.router.isReachable(b.router.peers[sound.Address]), name)
		b.now = b.now.Add(b.router.Bounds.HeartbeatInterval)
		b.step(Tick{})
		assert.Equal(t, 1_000, b.router.maxLinkRate, name)
		assert.Len(t, b.router.peers, 1, name)
	}
}

// TestOddTimestampIsNotEchoed guards against a peer that stays unreachable, and whose offers count as
// overtaken, since one of its heartbeats had a time that its clock never reaches again.
func TestOddTimestampIsNotEchoed(t *testing.T) {
	b := newOriginBed(t)
	b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peer, Sent: math.MaxInt64, Echo: b.now.UnixNano()}}})
	b.receiveHeartbeat(0)
	assert.Equal(t, b.now.UnixNano(), b.router.peers[b.peer.Address].lastPeerTimestamp)
}

// TestZonesThatTheStoreRejectsDoNotEndClaims guards against claims that the store rejects for good, since
// they go into one transaction with one for a zone whose name is no key, or with too many others.
func TestZonesThatTheStoreRejectsDoNotEndClaims(t *testing.T) {
	b := &holderBed{originBed: &originBed{now: time.Unix(testEpoch, 0)}, t: t}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.step(Tick{})
	b.step(Registered{Slot: 2, SlotUses: 1})
	targets := newTargets(1)
	for i := range 140 {
		targets = append(targets, Target{ID: fmt.Sprint("x-", i), Zone: fmt.Sprint("a-", i), Service: "work"})
	}
	targets = append(targets, Target{ID: "y", Zone: strings.Repeat("y", 300)}, Target{ID: "z"})
	b.step(EvacuationsRead{RequestedAt: b.now, Evacuations: Evacuations{Version: 1}})
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: targets}})
	for range 100 {
		for _, e := range effectsOf[WriteClaims](b.advance(b.router.Bounds.TickInterval)) {
			isRejected := len(e.Rows) > 50 || slices.ContainsFunc(e.Rows, func(row StoredClaim) bool { return row.Claim.Zone == "" || len(row.Claim.Zone) > 200 })
			require.False(t, isRejected, "%d rows", len(e.Rows))
			b.step(ClaimsWritten{Token: e.Token, Result: ClaimWon, Rows: e.Rows})
		}
	}
	for i := range 140 {
		assert.True(t, b.router.cells[fmt.Sprint("a-", i)].heldHere)
	}
	assert.True(t, b.router.cells["north"].heldHere)
}

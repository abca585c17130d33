package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sides is a router in zone north with peers in three zones, all of which are in touch
// at first; a host of zone south holds all cells.
type sides struct {
	*bed
	peers map[string]Member
}

// newSides returns a router with peers that are named by the first letter of their
// zone and a number; s1 is the holder.
func newSides(t *testing.T, names ...string) *sides {
	t.Helper()
	b := &sides{bed: &bed{now: time.Unix(origin, 0)}, peers: make(map[string]Member)}
	b.router = &Router{Self: Member{Name: "n1", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.step(Tick{})
	b.step(Registered{Slot: 9, SlotUses: 1})
	zones := map[byte]string{'n': "north", 's': "south", 'w': "west"}
	for i, name := range names {
		b.peers[name] = Member{Name: name, Zone: zones[name[0]], Address: fmt.Sprintf("10.0.1.%d:1", i), Incarnation: 1, Slot: 10 + i}
	}
	for _, zone := range zones {
		b.router.learn(Claim{Zone: zone, Token: 1<<(slotBits+lifeBits) | 1, Holder: b.peers["s1"]})
	}
	b.touch(time.Second, names...)
	require.Empty(t, b.held())
	return b
}

// beat brings a heartbeat of each peer.
func (b *sides) beat(leaving bool, names ...string) {
	for _, name := range names {
		m := b.peers[name]
		b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{Member: m, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Leaving: leaving}}})
	}
}

// touch lets time go by in which these peers alone are in touch.
func (b *sides) touch(span time.Duration, names ...string) []Effect {
	var all []Effect
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		b.beat(false, names...)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

// held returns the zones whose cells this host holds.
func (b *sides) held() []string {
	var zones []string
	for _, zone := range sortedKeys(b.router.cells) {
		if b.router.cells[zone].mine {
			zones = append(zones, zone)
		}
	}
	return zones
}

// TestClaimOfCutSide: the heartbeats of hosts behind a cut end at different times. The
// smaller side claims no more than its own zone.
func TestClaimOfCutSide(t *testing.T) {
	b := newSides(t, "n2", "n3", "s1", "s2", "w1", "w2")
	b.touch(80*time.Millisecond, "n2", "n3", "s2", "w1", "w2") // the holder is heard of first to fall silent
	require.NotEmpty(t, only[WriteClaims](b.touch(b.router.Bounds.PeerTimeout, "n2", "n3")))
	b.touch(b.router.Bounds.PeerTimeout, "n2", "n3")
	assert.Equal(t, []string{"north"}, b.held())
}

// TestClaimOfLargerSide: a host with most others goes on without the store.
func TestClaimOfLargerSide(t *testing.T) {
	b := newSides(t, "n2", "n3", "s1", "s2", "w1", "w2")
	b.touch(b.router.Bounds.PeerTimeout+b.router.Bounds.TickInterval+claimTimeout, "n2", "n3", "s2", "w1", "w2")
	b.touch(2*b.router.Bounds.TickInterval, "n2", "n3", "s2", "w1", "w2")
	assert.Equal(t, []string{"north", "south", "west"}, b.held())
}

// TestLeftHostsBehindCut: hosts that had left before a cut may be back behind it and do
// not make the smaller side the larger one.
func TestLeftHostsBehindCut(t *testing.T) {
	b := newSides(t, "n2", "n3", "s1", "s2", "w1", "w2")
	b.beat(true, "s2", "w2")
	b.touch(time.Second, "n2", "n3", "s1", "w1")
	b.touch(2*b.router.Bounds.PeerTimeout, "n2", "n3")
	assert.Equal(t, []string{"north"}, b.held())
}

// TestLeftHostsAndDeadHolder: with one host silent there is no cut.
func TestLeftHostsAndDeadHolder(t *testing.T) {
	b := newSides(t, "n2", "s1", "s2")
	b.beat(true, "s2")
	b.touch(time.Second, "n2", "s1")
	b.touch(2*b.router.Bounds.PeerTimeout, "n2")
	assert.Equal(t, []string{"north", "south", "west"}, b.held())
}

// TestFewestCellsMove: of two holders in touch the one with more cells takes the rest.
func TestFewestCellsMove(t *testing.T) {
	for own, moves := range map[int]bool{1: false, 2: true} {
		b := newSides(t, "s1") // it comes first by its slot, too
		b.router.Self.Slot = 99
		for _, zone := range []string{"north", "west"}[:own] {
			b.router.acquire(b.router.cell(zone), 2<<(slotBits+lifeBits)|99)
		}
		claimed := false
		for _, e := range only[WriteClaims](b.touch(b.router.Bounds.MergeDelay+100*time.Millisecond, "s1")) {
			claimed = claimed || e.Rows[0].Claim.Zone == "south"
		}
		assert.Equal(t, moves, claimed, own)
	}
}

// TestProofAfterOffer: that a target obeyed this host before a job came from another
// holder does not prove that the other has not used it since.
func TestProofAfterOffer(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	b.now = b.now.Add(10 * time.Millisecond)
	offer := &Offer{Job: pair("j"), TimeLeft: 5 * time.Second, Reoffered: true, PreviousZones: []string{"north"}, RunBase: runStride}
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	effects := b.step(Receive{From: peer.Address, Message: Message{Offer: offer}})
	assert.Empty(t, only[Start](effects))
	looks := only[Renew](effects)
	require.Len(t, looks, 2, "both are asked at once")
	b.now = b.now.Add(3 * time.Millisecond)
	assert.Empty(t, only[Start](b.answer(looks[0])))
	assert.Len(t, only[Start](b.answer(looks[1])), 2)
}

// TestLaterCell: a job is not started in a cell that was taken after the job came. The
// host of the job does not count that cell when another holder takes over.
func TestLaterCell(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon) // room for two tasks
	wide := pair("wide")
	wide.Count, wide.Allowance = 3, 2*time.Second
	require.Len(t, only[Start](b.step(Submit{Request: 1, Job: wide, Budget: 5 * time.Second})), 2)
	b.now = b.now.Add(10 * time.Millisecond)
	list := append(entries(1), Target{ID: "z", Address: "10.1.0.2:1", Service: "work", Zone: "south", Capacity: Resources{CPU: 2000, Memory: 10}, Labels: []string{"a"}})
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: list}})
	b.router.acquire(b.router.cell("south"), b.router.token(9))
	var renews []Renew
	for _, e := range only[Renew](b.router.effects) {
		if e.Target.ID == "z" {
			renews = append(renews, e)
		}
	}
	require.NotEmpty(t, renews)
	assert.Empty(t, only[Start](b.answer(renews[0])), "the third task waits")
	b.now = b.now.Add(10 * time.Millisecond)
	later := pair("later")
	later.Count = 1
	starts := only[Start](b.step(Submit{Request: 2, Job: later, Budget: 5 * time.Second}))
	require.Len(t, starts, 1)
	assert.Equal(t, "z", starts[0].Target.ID)
}

// TestTakenOverJobGoesOn: a job whose tasks all run is not given up while it is not
// known what else an earlier holder may have started.
func TestTakenOverJobGoesOn(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.router.former["gone"] = &sighting{target: Target{ID: "gone", Zone: "north"}, told: b.now}
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: pair("j"), TimeLeft: 5 * time.Second, Reoffered: true, PreviousZones: []string{"north"}, RunBase: runStride}}})
	held := b.router.targets["p"]
	effects := b.answer(Renew{Target: held.Target, Token: held.token}, RunningTask{Task: "j.0.0.0", Run: 1}, RunningTask{Task: "j.0.0.1", Run: 1})
	effects = append(effects, b.pass(b.router.Bounds.OrphanGrace+100*time.Millisecond)...)
	for _, e := range only[Send](effects) {
		assert.Nil(t, e.Message.Verdict)
	}
	assert.Zero(t, b.router.queue.Len())
}

// TestTokensAreUnique: no two hosts share a token, whatever their slots, lives and
// generations; a token fits into the whole numbers that JSON carries exactly.
func TestTokensAreUnique(t *testing.T) {
	seen := make(map[uint64]string)
	for _, slot := range []int{1, 2, 1023, 1024, 1025, 2048, 65535} {
		for _, life := range []int{1, 2, 1023} {
			for _, generation := range []uint64{1, 2, 3, 1 << 26} {
				r := &Router{Self: Member{Slot: slot}, life: life}
				token, name := r.token(generation), fmt.Sprint(slot, life, generation)
				assert.Empty(t, seen[token], name)
				assert.Equal(t, generation, generationOf(token))
				assert.Less(t, token, uint64(1)<<53)
				seen[token] = name
			}
		}
	}
}

// TestLateClaim: a claim that this host has given up for want of an answer may be written
// to the store later. The other hosts then take it for the holder, so it has to act as one.
func TestLateClaim(t *testing.T) {
	for _, way := range []string{"answer", "heartbeat"} {
		b := newSides(t, "n2", "n3", "s1", "s2", "s3", "w1", "w2")
		var lost WriteClaims
		for _, stake := range only[WriteClaims](b.touch(2*time.Second, "n2", "n3")) {
			for _, row := range stake.Rows {
				if row.Claim.Zone == "south" {
					lost = stake
				}
			}
		}
		require.NotZero(t, lost.Token, "the smaller side asks the store for cells that seem to lack a holder")
		b.touch(time.Second, "n2", "n3")
		require.NotContains(t, b.held(), "south")
		if way == "answer" {
			b.step(ClaimsWritten{Token: lost.Token, Result: ClaimWon, Rows: lost.Rows})
		} else {
			m := b.peers["s2"]
			claims := []Claim{{Zone: "south", Token: lost.Token, Holder: b.router.Self}}
			b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{Member: m, Sent: b.now.UnixNano(), Claims: claims}}})
		}
		assert.Contains(t, b.held(), "south", way)
	}
}

// restarted returns a router that starts at the same time as the holder of all cells: the
// store still names the holder's earlier process, and its heartbeat shows the next one. A
// third host is known from the store only.
func restarted(power int) *bed {
	b := &bed{now: time.Unix(origin, 0)}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 2, CPUShare: 100}, Bounds: Standard()}
	b.step(Tick{})
	b.now = b.now.Add(2 * b.router.Bounds.TickInterval)
	holder := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1, CPUShare: 100}
	third := Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3, CPUShare: power}
	claim := Claim{Zone: "north", Token: 1 << (slotBits + lifeBits), Holder: holder}
	b.step(Registered{Slot: 2, SlotUses: 2, Members: []Member{holder, third}, Claims: []StoredClaim{{Claim: claim, Version: 7}}})
	holder.Incarnation, holder.Slot = 2, 0 // it is not registered yet
	b.step(Receive{From: holder.Address, Message: Message{Heartbeat: &Heartbeat{Member: holder, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	return b
}

// TestClaimAfterRestartOfAll: a host that knows the last holder to be dead claims at once,
// unless a much stronger one may have started as well.
func TestClaimAfterRestartOfAll(t *testing.T) {
	tick := Standard().TickInterval
	for power, want := range map[int]time.Duration{100: tick, 300: Standard().StartupDelay/4 - 2*tick} {
		b := restarted(power)
		span := time.Duration(0)
		for len(only[WriteClaims](b.last)) == 0 && span < time.Second {
			span += tick
			b.now = b.now.Add(tick)
			b.step(Tick{})
		}
		assert.Equal(t, want, span, "power %d", power)
	}
}

// TestClaimKnowsRows: the holder's heartbeats tell which version of its row the next claim
// has to name, so that the first one is not beaten.
func TestClaimKnowsRows(t *testing.T) {
	b := newSides(t, "n2", "s1")
	for _, zone := range []string{"north", "south", "west"} {
		claim := Claim{Zone: zone, Token: 1<<(slotBits+lifeBits) | 1, Holder: b.peers["s1"], RowVersion: 42}
		b.step(Receive{From: b.peers["s1"].Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peers["s1"], Sent: b.now.UnixNano(), Claims: []Claim{claim}}}})
	}
	stakes := only[WriteClaims](b.touch(2*b.router.Bounds.PeerTimeout, "n2"))
	require.NotEmpty(t, stakes)
	for _, row := range stakes[0].Rows {
		assert.EqualValues(t, 42, row.Version, row.Claim.Zone)
		assert.Zero(t, row.Claim.RowVersion)
	}
}

// TestHolderTellsRows: a holder's heartbeats name the versions that its claim was given.
func TestHolderTellsRows(t *testing.T) {
	b := newSides(t, "n2", "s1")
	var stakes []WriteClaims
	for len(stakes) == 0 {
		stakes = only[WriteClaims](b.touch(b.router.Bounds.TickInterval, "n2"))
	}
	rows := stakes[0].Rows
	for i := range rows {
		rows[i].Version = 43
	}
	b.step(ClaimsWritten{Token: stakes[0].Token, Result: ClaimWon, Rows: rows})
	require.Len(t, b.held(), 3)
	told := 0
	for _, send := range only[Send](b.touch(time.Second, "n2")) {
		if send.Message.Heartbeat == nil {
			continue
		}
		for _, claim := range send.Message.Heartbeat.Claims {
			assert.EqualValues(t, 43, claim.RowVersion)
			told++
		}
	}
	assert.Positive(t, told)
}

package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// clusterBed is a router in zone north with peers in three zones. At first all peers
// are reachable, and a host of zone south holds all cells.
type clusterBed struct {
	*originBed
	peers map[string]Member
}

// newClusterBed returns a router with the named peers. A name consists of the first
// letter of the zone and a number; s1 is the holder.
func newClusterBed(t *testing.T, names ...string) *clusterBed {
	t.Helper()
	b := &clusterBed{originBed: &originBed{now: time.Unix(testEpoch, 0)}, peers: make(map[string]Member)}
	b.router = &Router{Self: Member{Name: "n1", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.step(Tick{})
	b.step(Registered{Slot: 9, SlotUses: 1})
	zones := map[byte]string{'n': "north", 's': "south", 'w': "west"}
	for i, name := range names {
		b.peers[name] = Member{Name: name, Zone: zones[name[0]], Address: fmt.Sprintf("10.0.1.%d:1", i), Incarnation: 1, Slot: 10 + i}
	}
	for _, zone := range zones {
		b.router.applyClaim(Claim{Zone: zone, Token: 1<<(slotBits+slotUseBits) | 1, Holder: b.peers["s1"]})
	}
	b.advanceWithHeartbeats(time.Second, names...)
	require.Empty(t, b.heldZones())
	return b
}

// receiveHeartbeats delivers a heartbeat from each named peer.
func (b *clusterBed) receiveHeartbeats(leaving bool, names ...string) {
	for _, name := range names {
		m := b.peers[name]
		b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{Member: m, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Leaving: leaving}}})
	}
}

// advanceWithHeartbeats advances the time in ticks, in which only the named peers send
// heartbeats, and returns the effects of the ticks.
func (b *clusterBed) advanceWithHeartbeats(duration time.Duration, names ...string) []Effect {
	var all []Effect
	for end := b.now.Add(duration); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		b.receiveHeartbeats(false, names...)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

// heldZones returns the zones whose cells this host holds.
func (b *clusterBed) heldZones() []string {
	var zones []string
	for _, zone := range sortedKeys(b.router.cells) {
		if b.router.cells[zone].heldHere {
			zones = append(zones, zone)
		}
	}
	return zones
}

// TestSmallerSideOfPartitionClaimsOnlyOwnZone: the heartbeats of the hosts behind a partition
// stop at different times, so the smaller side may at first appear to be the larger
// one. It must not hold more than the cell of its own zone in the end.
func TestSmallerSideOfPartitionClaimsOnlyOwnZone(t *testing.T) {
	b := newClusterBed(t, "n2", "n3", "s1", "s2", "w1", "w2")
	b.advanceWithHeartbeats(80*time.Millisecond, "n2", "n3", "s2", "w1", "w2") // the holder's heartbeats stop first
	require.NotEmpty(t, effectsOf[WriteClaims](b.advanceWithHeartbeats(b.router.Bounds.PeerTimeout, "n2", "n3")))
	b.advanceWithHeartbeats(b.router.Bounds.PeerTimeout, "n2", "n3")
	assert.Equal(t, []string{"north"}, b.heldZones())
}

// TestLargerSideOfPartitionClaimsWithoutStore: a host that reaches most other hosts must take
// over the cells even if the store does not answer.
func TestLargerSideOfPartitionClaimsWithoutStore(t *testing.T) {
	b := newClusterBed(t, "n2", "n3", "s1", "s2", "w1", "w2")
	b.advanceWithHeartbeats(b.router.Bounds.PeerTimeout+b.router.Bounds.TickInterval+claimTimeout, "n2", "n3", "s2", "w1", "w2")
	b.advanceWithHeartbeats(2*b.router.Bounds.TickInterval, "n2", "n3", "s2", "w1", "w2")
	assert.Equal(t, []string{"north", "south", "west"}, b.heldZones())
}

// TestLeftHostsDoNotGiveSmallerSideMajority: hosts that had shut down before a
// partition may have restarted behind it. Their absence must not make the smaller side
// count as the larger one.
func TestLeftHostsDoNotGiveSmallerSideMajority(t *testing.T) {
	b := newClusterBed(t, "n2", "n3", "s1", "s2", "w1", "w2")
	b.receiveHeartbeats(true, "s2", "w2")
	b.advanceWithHeartbeats(time.Second, "n2", "n3", "s1", "w1")
	b.advanceWithHeartbeats(2*b.router.Bounds.PeerTimeout, "n2", "n3")
	assert.Equal(t, []string{"north"}, b.heldZones())
}

// TestLeftHostsDoNotBlockClaimOfUnresponsiveHolder: a single unresponsive host is no
// sign of a partition, so hosts that have shut down must not count against the
// majority.
func TestLeftHostsDoNotBlockClaimOfUnresponsiveHolder(t *testing.T) {
	b := newClusterBed(t, "n2", "s1", "s2")
	b.receiveHeartbeats(true, "s2")
	b.advanceWithHeartbeats(time.Second, "n2", "s1")
	b.advanceWithHeartbeats(2*b.router.Bounds.PeerTimeout, "n2")
	assert.Equal(t, []string{"north", "south", "west"}, b.heldZones())
}

// TestHolderOfMostCellsClaimsTheRest: of two holders that reach each other, the one
// with more cells must claim the others.
func TestHolderOfMostCellsClaimsTheRest(t *testing.T) {
	for heldCells, shouldClaim := range map[int]bool{1: false, 2: true} {
		b := newClusterBed(t, "s1") // it also comes first by its slot
		b.router.Self.Slot = 99
		for _, zone := range []string{"north", "west"}[:heldCells] {
			b.router.acquireCell(b.router.cell(zone), 2<<(slotBits+slotUseBits)|99)
		}
		claimed := false
		for _, e := range effectsOf[WriteClaims](b.advanceWithHeartbeats(b.router.Bounds.MergeDelay+100*time.Millisecond, "s1")) {
			claimed = claimed || e.Rows[0].Claim.Zone == "south"
		}
		assert.Equal(t, shouldClaim, claimed, heldCells)
	}
}

// TestReofferedJobStartsOnlyAfterTargetsArePolled: a target that accepted this host's
// token before a job arrived from another holder may have been used by that holder
// since. The job must not start before the targets have been polled again.
func TestReofferedJobStartsOnlyAfterTargetsArePolled(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	b.now = b.now.Add(10 * time.Millisecond)
	offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, Reoffered: true, PreviousZones: []string{"north"}, RunBase: runNumberStride}
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	effects := b.step(Receive{From: peer.Address, Message: Message{Offer: offer}})
	assert.Empty(t, effectsOf[Start](effects))
	polls := effectsOf[Renew](effects)
	require.Len(t, polls, 2, "both targets are polled at once")
	b.now = b.now.Add(3 * time.Millisecond)
	assert.Empty(t, effectsOf[Start](b.answerRenewal(polls[0])))
	assert.Len(t, effectsOf[Start](b.answerRenewal(polls[1])), 2)
}

// TestJobDoesNotStartInCellAcquiredLater: a job must not start in a cell that was
// acquired after the job arrived: the job's host does not count that cell among the
// previous zones when another holder takes over.
func TestJobDoesNotStartInCellAcquiredLater(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon) // its target has room for two tasks
	wide := twoTaskJob("wide")
	wide.Count, wide.Allowance = 3, 2*time.Second
	require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: wide, Budget: 5 * time.Second})), 2)
	b.now = b.now.Add(10 * time.Millisecond)
	list := append(newTargets(1), Target{ID: "z", Address: "10.1.0.2:1", Service: "work", Zone: "south", Capacity: Resources{CPU: 2000, Memory: 10}, Labels: []string{"a"}})
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: list}})
	b.router.acquireCell(b.router.cell("south"), b.router.tokenFor(9))
	var renews []Renew
	for _, e := range effectsOf[Renew](b.router.effects) {
		if e.Target.ID == "z" {
			renews = append(renews, e)
		}
	}
	require.NotEmpty(t, renews)
	assert.Empty(t, effectsOf[Start](b.answerRenewal(renews[0])), "the third task waits")
	b.now = b.now.Add(10 * time.Millisecond)
	later := twoTaskJob("later")
	later.Count = 1
	starts := effectsOf[Start](b.step(Submit{Request: 2, Job: later, Budget: 5 * time.Second}))
	require.Len(t, starts, 1)
	assert.Equal(t, "z", starts[0].Target.ID)
}

// TestTakenOverRunningJobIsNotAborted: a job of which all tasks run must not be aborted
// while it is unknown what else a previous holder has started.
func TestTakenOverRunningJobIsNotAborted(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.router.previousTargets["gone"] = &previousTarget{target: Target{ID: "gone", Zone: "north"}, reportedAt: b.now}
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, Reoffered: true, PreviousZones: []string{"north"}, RunBase: runNumberStride}}})
	held := b.router.targets["p"]
	effects := b.answerRenewal(Renew{Target: held.Target, Token: held.token}, RunningTask{Task: "j.0.0.0", Run: 1}, RunningTask{Task: "j.0.0.1", Run: 1})
	effects = append(effects, b.advance(b.router.Bounds.OrphanGrace+100*time.Millisecond)...)
	for _, e := range effectsOf[Send](effects) {
		assert.Nil(t, e.Message.Verdict)
	}
	assert.Zero(t, b.router.queue.Len())
}

// TestTokensAreUnique: no two processes may share a token, whatever their slots, slot
// uses and generations. A token must stay below 2^53, so that it is exact in JSON.
func TestTokensAreUnique(t *testing.T) {
	seen := make(map[uint64]string)
	for _, slot := range []int{1, 2, 1023, 1024, 1025, 2048, 65535} {
		for _, slotUses := range []int{1, 2, 1023} {
			for _, generation := range []uint64{1, 2, 3, 1 << 26} {
				r := &Router{Self: Member{Slot: slot}, slotUses: slotUses}
				token, name := r.tokenFor(generation), fmt.Sprint(slot, slotUses, generation)
				assert.Empty(t, seen[token], name)
				assert.Equal(t, generation, generationOf(token))
				assert.Less(t, token, uint64(1)<<53)
				seen[token] = name
			}
		}
	}
}

// TestClaimConfirmedAfterTimeoutIsAcquired: a claim that timed out may still be written
// to the store later. The other hosts then treat this host as the holder, so it must
// hold the cell.
func TestClaimConfirmedAfterTimeoutIsAcquired(t *testing.T) {
	for _, source := range []string{"answer", "heartbeat"} {
		b := newClusterBed(t, "n2", "n3", "s1", "s2", "s3", "w1", "w2")
		var unanswered WriteClaims
		for _, write := range effectsOf[WriteClaims](b.advanceWithHeartbeats(2*time.Second, "n2", "n3")) {
			for _, row := range write.Rows {
				if row.Claim.Zone == "south" {
					unanswered = write
				}
			}
		}
		require.NotZero(t, unanswered.Token, "the smaller side writes claims for cells that seem to lack a holder")
		b.advanceWithHeartbeats(time.Second, "n2", "n3")
		require.NotContains(t, b.heldZones(), "south")
		if source == "answer" {
			b.step(ClaimsWritten{Token: unanswered.Token, Result: ClaimWon, Rows: unanswered.Rows})
		} else {
			m := b.peers["s2"]
			claims := []Claim{{Zone: "south", Token: unanswered.Token, Holder: b.router.Self}}
			b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{Member: m, Sent: b.now.UnixNano(), Claims: claims}}})
		}
		assert.Contains(t, b.heldZones(), "south", source)
	}
}

// newRestartedBed returns a router that starts at the same time as the holder of all
// cells. The store still names the previous incarnation of the holder, while its
// heartbeat shows the next one. A third host with the given processor share is known
// from the store only.
func newRestartedBed(cpuShare int) *originBed {
	b := &originBed{now: time.Unix(testEpoch, 0)}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 2, CPUShare: 100}, Bounds: Standard()}
	b.step(Tick{})
	b.now = b.now.Add(2 * b.router.Bounds.TickInterval)
	holder := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1, CPUShare: 100}
	thirdHost := Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3, CPUShare: cpuShare}
	claim := Claim{Zone: "north", Token: 1 << (slotBits + slotUseBits), Holder: holder}
	b.step(Registered{Slot: 2, SlotUses: 2, Members: []Member{holder, thirdHost}, Claims: []StoredClaim{{Claim: claim, Version: 7}}})
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: newTargets(1)}})
	holder.Incarnation, holder.Slot = 2, 0 // it is not registered yet
	b.step(Receive{From: holder.Address, Message: Message{Heartbeat: &Heartbeat{Member: holder, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	return b
}

// TestRestartedHostClaimsAtOnceUnlessMuchWeaker: a host that knows that the last holder
// has exited must claim at once, unless a much stronger host may have started as well.
func TestRestartedHostClaimsAtOnceUnlessMuchWeaker(t *testing.T) {
	tick := Standard().TickInterval
	for cpuShare, want := range map[int]time.Duration{100: tick, 300: Standard().StartupDelay/4 - 2*tick} {
		b := newRestartedBed(cpuShare)
		elapsed := time.Duration(0)
		for len(effectsOf[WriteClaims](b.effects)) == 0 && elapsed < time.Second {
			elapsed += tick
			b.now = b.now.Add(tick)
			b.step(Tick{})
		}
		assert.Equal(t, want, elapsed, "processor share %d", cpuShare)
	}
}

// TestClaimWaitsForNumberOfTargets: a host that has just started must not claim the cells of
// other zones before it knows whether each zone has a holder of its own. It claims its own as
// soon as it does.
func TestClaimWaitsForNumberOfTargets(t *testing.T) {
	b := newRestartedBed(100)
	b.router.totalTargets, b.router.totalTargetsVersion = 0, 0
	south := Member{Name: "s", Zone: "south", Address: "10.0.0.9:1", Incarnation: 1, Slot: 4, CPUShare: 100}
	b.step(ClaimsRead{Claims: []StoredClaim{{Claim: Claim{Zone: "south", Token: 1 << (slotBits + slotUseBits), Holder: south}, Version: 8}}})
	south.Incarnation, south.Slot = 2, 0 // it has restarted as well, so that it does not hold the cell any more
	b.step(Receive{From: south.Address, Message: Message{Heartbeat: &Heartbeat{Member: south, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	b.now = b.now.Add(b.router.Bounds.TickInterval)
	assert.Empty(t, effectsOf[WriteClaims](b.step(Tick{})))
	b.step(DirectoryRead{RequestedAt: b.now, Directory: newTwoZoneDirectory(b.router.Bounds.MaxSharedTargets)})
	b.now = b.now.Add(b.router.Bounds.TickInterval)
	writes := effectsOf[WriteClaims](b.step(Tick{}))
	require.Len(t, writes, 1)
	require.Len(t, writes[0].Rows, 1)
	assert.Equal(t, "north", writes[0].Rows[0].Claim.Zone)
}

// TestClaimNamesRowVersionsFromHeartbeats: a claim must name the row versions from the
// holder's heartbeats, so that it does not meet a conflict at the first attempt.
func TestClaimNamesRowVersionsFromHeartbeats(t *testing.T) {
	b := newClusterBed(t, "n2", "s1")
	for _, zone := range []string{"north", "south", "west"} {
		claim := Claim{Zone: zone, Token: 1<<(slotBits+slotUseBits) | 1, Holder: b.peers["s1"], RowVersion: 42}
		b.step(Receive{From: b.peers["s1"].Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peers["s1"], Sent: b.now.UnixNano(), Claims: []Claim{claim}}}})
	}
	writes := effectsOf[WriteClaims](b.advanceWithHeartbeats(2*b.router.Bounds.PeerTimeout, "n2"))
	require.NotEmpty(t, writes)
	for _, row := range writes[0].Rows {
		assert.EqualValues(t, 42, row.Version, row.Claim.Zone)
		assert.Zero(t, row.Claim.RowVersion)
	}
}

// TestHolderHeartbeatsNameRowVersions: a holder's heartbeats must name the row versions
// that the store gave to its claim.
func TestHolderHeartbeatsNameRowVersions(t *testing.T) {
	b := newClusterBed(t, "n2", "s1")
	var writes []WriteClaims
	for len(writes) == 0 {
		writes = effectsOf[WriteClaims](b.advanceWithHeartbeats(b.router.Bounds.TickInterval, "n2"))
	}
	rows := writes[0].Rows
	for i := range rows {
		rows[i].Version = 43
	}
	b.step(ClaimsWritten{Token: writes[0].Token, Result: ClaimWon, Rows: rows})
	require.Len(t, b.heldZones(), 3)
	received := 0
	for _, send := range effectsOf[Send](b.advanceWithHeartbeats(time.Second, "n2")) {
		if send.Message.Heartbeat == nil {
			continue
		}
		for _, claim := range send.Message.Heartbeat.Claims {
			assert.EqualValues(t, 43, claim.RowVersion)
			received++
		}
	}
	assert.Positive(t, received)
}

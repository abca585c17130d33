package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestHandoverDecision checks when a leaving holder keeps its cells and whom it names.
func TestHandoverDecision(t *testing.T) {
	strong := Member{Name: "strong", Address: "s", CPUShare: 800, LinkRate: 200_000}
	other := Member{Name: "other", Address: "o", CPUShare: 480, LinkRate: 62_000}
	weak := Member{Name: "weak", Address: "w", CPUShare: 192, LinkRate: 25_000}
	heavy, light := cellDemand{targets: 117, startRate: 900}, cellDemand{targets: 117, startRate: 200}
	for name, c := range map[string]struct {
		after      time.Duration
		demand     cellDemand
		candidates []Member
		alone      bool
		keeps      bool
		successor  string
		reason     handoverReason
	}{
		"nobody else is known":      {0, heavy, nil, true, false, "", releasesAlone},
		"all others leave":          {0, heavy, nil, false, true, "", keepsNone},
		"only weak hosts":           {0, light, []Member{weak}, false, true, "", keepsIncapable},
		"a weak host that suffices": {4 * time.Second, light, []Member{weak}, false, true, "w", namesSuccessor},
		"a weak host under load":    {4 * time.Second, heavy, []Member{weak}, false, true, "", keepsIncapable},
		"a weaker host at first":    {0, heavy, []Member{other, weak}, false, true, "", keepsIncapable},
		"a weaker host in the end":  {4 * time.Second, heavy, []Member{other, weak}, false, true, "o", namesSuccessor},
		"a host of equal share":     {0, heavy, []Member{{Address: "e", CPUShare: 750}, other}, false, true, "e", namesSuccessor},
		"the shutdown ends":         {5 * time.Second, heavy, []Member{weak}, false, false, "", releasesLate},
	} {
		h := handover{}
		start := time.Unix(testEpoch, 0)
		h.update(handoverInput{
			now: start.Add(c.after), leavingSince: start, shutdownTimeout: Standard().ShutdownTimeout, holder: strong,
			demand: c.demand, candidates: c.candidates, hasPeers: !c.alone,
		})
		assert.Equal(t, c.keeps, h.keeps, name)
		assert.Equal(t, c.successor, h.successor.Address, name)
		assert.Equal(t, c.reason, h.reason, name)
	}
}

// TestSuccessorThatDoesNotClaimIsReplaced: a handover must not wait for a named host that has ended or
// cannot claim.
func TestSuccessorThatDoesNotClaimIsReplaced(t *testing.T) {
	start := time.Unix(testEpoch, 0)
	in := handoverInput{now: start, leavingSince: start, shutdownTimeout: Standard().ShutdownTimeout, hasPeers: true, candidates: []Member{{Address: "a"}, {Address: "b"}}}
	h := handover{}
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "a"}, {successorTimeout - 1, "a"}, {successorTimeout, "b"}, {2 * successorTimeout, "a"}} {
		in.now = start.Add(c.after)
		h.update(in)
		assert.Equal(t, c.want, h.successor.Address, c.after)
	}
}

// TestKeptCellIsClaimedByNamedHostOnly: while a leaving holder keeps its cell, only the host that it names
// may claim it. A holder of an earlier build, which does not say so, is replaced at once.
func TestKeptCellIsClaimedByNamedHostOnly(t *testing.T) {
	for _, c := range []struct {
		keeps     bool
		successor string
		claims    bool
	}{{false, "", true}, {true, "", false}, {true, "10.0.0.9:1", false}, {true, "10.0.0.1:1", true}} {
		b := newClusterBed(t, "s1")
		var writes []WriteClaims
		for range 10 {
			b.now = b.now.Add(b.router.Bounds.TickInterval)
			m := b.peers["s1"]
			b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{
				Member: m, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Leaving: true, KeepsCells: c.keeps, Successor: c.successor,
			}}})
			writes = append(writes, effectsOf[WriteClaims](b.step(Tick{}))...)
		}
		assert.Equal(t, c.claims, len(writes) > 0, "%+v", c)
	}
}

// TestLeavingHolderWaitsForSuccessor: a host must not exit while it keeps its cells, and must exit within its
// grace.
func TestLeavingHolderWaitsForSuccessor(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.router.Self.CPUShare = 800
	b.router.addPeer(Member{Name: "weak", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 3, CPUShare: 192})
	b.step(Drain{})
	require.Empty(t, effectsOf[Halt](b.advance(b.router.Bounds.ShutdownTimeout-handoverReserve-b.router.Bounds.TickInterval)))
	assert.True(t, b.router.View().KeepsCells)
	assert.Len(t, effectsOf[Halt](b.advance(handoverReserve-shutdownAnswerReserve)), 1)
}

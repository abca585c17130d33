package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// oddTokens are tokens that no host can have, or after which no host could claim any more.
var oddTokens = []uint64{math.MaxUint64, math.MaxInt64, 1 << 60, 1 << 53, 1<<53 - 1}

// TestOddClaimRowDoesNotEndClaims guards against a cell that stays without a holder, and hosts that
// reject each other's heartbeats, since one row of the store has a token that no host can have.
func TestOddClaimRowDoesNotEndClaims(t *testing.T) {
	for _, token := range oddTokens {
		odd := StoredClaim{Claim: Claim{Zone: "north", Token: token, Holder: Member{Name: "x", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}}, Version: 7}
		b := &holderBed{originBed: &originBed{now: time.Unix(testEpoch, 0)}, t: t}
		b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
		b.step(Tick{})
		b.step(Registered{Slot: 2, SlotUses: 1, Claims: []StoredClaim{odd}})
		b.step(ClaimsRead{Claims: []StoredClaim{odd}})
		writes := effectsOf[WriteClaims](b.advance(3 * time.Second))
		require.NotEmpty(t, writes, "token %d", token)
		assert.EqualValues(t, 7, writes[0].Rows[0].Version, "token %d", token)
		odd.Version = 8
		b.step(ClaimsWritten{Token: writes[0].Token, Result: ClaimConflict, Rows: []StoredClaim{odd}})
		writes = effectsOf[WriteClaims](b.advance(time.Second))
		require.NotEmpty(t, writes, "token %d", token)
		assert.EqualValues(t, 8, writes[0].Rows[0].Version, "token %d", token)
		b.step(ClaimsWritten{Token: writes[0].Token, Result: ClaimWon, Rows: writes[0].Rows})
		assert.True(t, b.router.cells["north"].heldHere, "token %d", token)
		heartbeat := b.router.newHeartbeat()
		heartbeat.Claims = b.router.knownClaims()
		assert.NoError(t, Message{Heartbeat: &heartbeat}.Check(), "token %d", token)
	}
}

// TestClaimOfOtherProcessWithOwnNameIsNotTaken guards against two processes with one token: a row may
// name this process as the holder, but only a token that it has made is its own.
func TestClaimOfOtherProcessWithOwnNameIsNotTaken(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	own := b.router.cells["north"].claim.Token
	foreign := own + 5<<(slotBits+slotUseBits) + 1
	b.step(ClaimsRead{Claims: []StoredClaim{{Claim: Claim{Zone: "north", Token: foreign, Holder: b.router.Self}, Version: 9}}})
	assert.Equal(t, own, b.router.cells["north"].claim.Token)
	assert.True(t, b.router.cells["north"].heldHere)
	start, _ := b.startTask("j", Running)
	assert.Equal(t, own, start.Token)
	assert.Greater(t, b.router.tokenFor(b.router.generation+1), foreign)
}

// TestOddRowVersionDoesNotEndClaims guards against claims that meet a conflict for ever, since hosts tell
// each other a version that the claim's row never has.
func TestOddRowVersionDoesNotEndClaims(t *testing.T) {
	b := newOriginBed(t)
	claim := Claim{Zone: "north", Token: 5 << (slotBits + slotUseBits), Holder: Member{Name: "x", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}, RowVersion: 7}
	tell := func(version uint64) {
		claim.RowVersion = version
		b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Claims: []Claim{claim}}}})
	}
	tell(7)
	for _, odd := range []uint64{math.MaxUint64, math.MaxInt64, 1<<53 + 1} {
		tell(odd)
		b.step(ClaimsRead{Claims: []StoredClaim{{Claim: claim, Version: odd}}})
		b.step(ClaimsWritten{Token: 3, Result: ClaimConflict, Rows: []StoredClaim{{Claim: claim, Version: odd}}})
		assert.EqualValues(t, 7, b.router.cells["north"].rowVersion, "version %d", odd)
	}
	tell(9)
	assert.EqualValues(t, 9, b.router.cells["north"].rowVersion)
	b.step(ClaimsWritten{Token: 3, Result: ClaimConflict, Rows: []StoredClaim{{Claim: claim, Version: 8}}})
	assert.EqualValues(t, 8, b.router.cells["north"].rowVersion, "the store is right")
}

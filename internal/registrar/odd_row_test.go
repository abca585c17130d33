package registrar

import (
	"bytes"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// oddValues are values of rows that another writer may have left.
func oddValues(t *testing.T) map[string][]byte {
	t.Helper()
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		require.NoError(t, err)
		return data
	}
	return map[string][]byte{
		"no CBOR":          {0xff, 0x00},
		"deep nesting":     append(bytes.Repeat([]byte{0x81}, 60_000), 0x01),
		"deep maps":        append(bytes.Repeat([]byte{0xa1, 0x01}, 30_000), 0x01),
		"huge array":       {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge text":        {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite text":  append(append([]byte{0xa1, 0x01, 0x7f}, bytes.Repeat([]byte{0x61, 'x'}, 30_000)...), 0xff),
		"endless text":     append([]byte{0xa1, 0x01, 0x7f}, bytes.Repeat([]byte{0x61, 'x'}, 30_000)...),
		"another zone":     encode(map[int]any{1: "south", 2: 9, 3: map[int]any{1: "x", 3: "10.0.0.9:1"}}),
		"no zone":          encode(map[int]any{2: 9}),
		"number too large": encode(map[int]any{1: "south", 2: 9, 3: map[int]any{3: "10.0.0.9:1", 4: uint64(1 << 63)}}),
		"wrong type":       encode(map[int]any{1: "north", 2: 9, 3: "x"}),
		"text":             encode("text"),
	}
}

// TestOddClaimRowIsThatOfItsOwnZone guards against a cell that can never be claimed, since the version
// of its row is taken for that of another zone's.
func TestOddClaimRowIsThatOfItsOwnZone(t *testing.T) {
	for name, value := range oddValues(t) {
		m := &memoryTable{rows: make(map[string]Row), version: 5}
		m.rows[ClaimsTable+"north"] = Row{Table: ClaimsTable, Key: "north", Value: value, Version: 5}
		g := &Registrar{Store: m, Log: logr.Discard()}
		claim := router.StoredClaim{Claim: router.Claim{Zone: "north", Token: 3}}
		conflict := g.commitClaims(t.Context(), router.WriteClaims{Token: 3, Rows: []router.StoredClaim{claim}})
		require.Equal(t, router.ClaimConflict, conflict.Result, name)
		assert.Equal(t, []router.StoredClaim{{Claim: router.Claim{Zone: "north"}, Version: 5}}, conflict.Rows, name)
		claim.Version = conflict.Rows[0].Version
		assert.Equal(t, router.ClaimWon, g.commitClaims(t.Context(), router.WriteClaims{Token: 3, Rows: []router.StoredClaim{claim}}).Result, name)
	}
}

// TestUnreadableMemberRowKeepsItsSlot guards against two processes with one token: the row may be that
// of a running host whose slot and number of uses the next process would repeat.
func TestUnreadableMemberRowKeepsItsSlot(t *testing.T) {
	values := oddValues(t)
	delete(values, "another zone") // readable, as the row of another host
	delete(values, "no zone")
	for name, value := range values {
		m := &memoryTable{rows: make(map[string]Row)}
		slot := preferredSlot("10.0.0.1:1")
		m.rows[MembersTable+rowKey(slot)] = Row{Table: MembersTable, Key: rowKey(slot), Value: value, Version: 99}
		got := register(t, m, "10.0.0.1:1", 1)
		assert.NotEqual(t, slot, got.Slot, name)
		assert.True(t, bytes.Equal(value, m.rows[MembersTable+rowKey(slot)].Value), name)
	}
}

// TestIncarnationOfOddMemberRowIsNotExceeded guards against a host that its peers ignore for good, since
// it took an incarnation above one that no process can have.
func TestIncarnationOfOddMemberRowIsNotExceeded(t *testing.T) {
	for _, odd := range []int64{math.MaxInt64, math.MaxInt64/2 + 1, math.MaxInt64 / 2, math.MaxInt64/2 - incarnationStep + 1, -1} {
		m := &memoryTable{rows: make(map[string]Row)}
		slot := preferredSlot("10.0.0.1:1")
		value, err := cbor.Marshal(member{Member: router.Member{Address: "10.0.0.1:1", Slot: slot, Incarnation: odd}, SlotUses: 1})
		require.NoError(t, err)
		m.rows[MembersTable+rowKey(slot)] = Row{Table: MembersTable, Key: rowKey(slot), Value: value, Version: 99}
		got := register(t, m, "10.0.0.1:1", 100)
		assert.NotEqual(t, slot, got.Slot)
		assert.Equal(t, int64(100), got.Incarnation)
	}
}

// FuzzClaimRow decodes any value of a claim's row. The claim must be that of the row's zone.
func FuzzClaimRow(f *testing.F) {
	sound, err := cbor.Marshal(router.Claim{Zone: "north", Token: 9, Holder: router.Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 5, Slot: 3}})
	require.NoError(f, err)
	f.Add(sound)
	f.Add([]byte{0xa1, 0x01, 0x65, 's', 'o', 'u', 't', 'h'})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		claim, err := decodeClaim(Row{Table: ClaimsTable, Key: "north", Value: value, Version: 5})
		assert.Equal(t, "north", claim.Zone)
		if err != nil {
			assert.Equal(t, router.Claim{Zone: "north"}, claim)
		}
	})
}

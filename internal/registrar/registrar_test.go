package registrar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// table is a store in memory.
type table struct {
	mutex   sync.Mutex
	rows    map[string]Row
	version uint64
	lose    int // changes that are made and not answered

	listed    []Entry // the list of targets
	changes   []Entry // what the next question for changes is answered
	compacted uint64  // version up to which the history is gone
	reads     int     // of the whole list
}

var errLost = errors.New("no answer")

func (m *table) List(_ context.Context, name string) ([]Row, uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var list []Row
	for _, row := range m.rows {
		if row.Table == name {
			list = append(list, row)
		}
	}
	return list, m.version, nil
}

func (m *table) Commit(_ context.Context, puts, removes []Row) ([]Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, row := range slices.Concat(puts, removes) {
		if m.rows[row.Table+row.Key].Version != row.Version {
			return []Row{m.rows[row.Table+row.Key]}, ErrConflict
		}
	}
	m.version++
	written := slices.Clone(puts)
	for i := range written {
		written[i].Version = m.version
		m.rows[written[i].Table+written[i].Key] = written[i]
	}
	for _, row := range removes {
		delete(m.rows, row.Table+row.Key)
	}
	if m.lose > 0 {
		m.lose--
		return nil, errLost
	}
	return written, nil
}

func (m *table) Config(context.Context) (*router.Config, uint64, error) { return nil, 0, nil }

func (m *table) Watch(context.Context, uint64, time.Duration) (*router.Config, uint64, error) {
	return nil, 0, nil
}

func (m *table) Targets(context.Context) ([]Entry, uint64, error) {
	m.reads++
	return m.listed, m.version, nil
}

func (m *table) TargetChanges(_ context.Context, after uint64) ([]Entry, uint64, error) {
	if after < m.compacted {
		return nil, 0, ErrHistory
	}
	changes := m.changes
	m.changes = nil
	return changes, m.version, nil
}

func enrolled(t *testing.T, m *table, address string, life int64) router.Registered {
	t.Helper()
	e := &enroller{registrar: &Registrar{Self: router.Member{Name: address, Address: address, Incarnation: life}, Table: m, Log: logr.Discard()}}
	for range 3 {
		got, err := e.enrol(t.Context())
		if err == nil {
			return got
		}
		require.ErrorIs(t, err, errLost)
	}
	t.Fatal("not registered after three tries")
	return router.Registered{}
}

// TestEnrol: hosts get slots of their own, also from the same start; a host that
// starts again keeps its slot and counts its lives, so that no two processes share
// a token.
func TestEnrol(t *testing.T) {
	m := &table{rows: make(map[string]Row)}
	first := enrolled(t, m, "10.0.0.1:1", 1)
	taken, err := cbor.Marshal(member{Member: router.Member{Address: "other"}, Lives: 1})
	require.NoError(t, err)
	m.rows[Members+key(firstSlot("10.0.0.2:1"))] = Row{Table: Members, Key: key(firstSlot("10.0.0.2:1")), Value: taken, Version: 99}
	second := enrolled(t, m, "10.0.0.2:1", 1)
	assert.NotEqual(t, firstSlot("10.0.0.2:1"), second.Slot)
	again := enrolled(t, m, "10.0.0.1:1", 2)
	assert.Equal(t, first.Slot, again.Slot)
	assert.Equal(t, first.SlotUses+1, again.SlotUses)
	assert.Len(t, again.Members, 3)
}

// TestEnrolWithLostAnswer: a registration whose answer was lost is found again, not
// made twice.
func TestEnrolWithLostAnswer(t *testing.T) {
	m := &table{rows: make(map[string]Row), lose: 1}
	got := enrolled(t, m, "10.0.0.1:1", 1)
	assert.Equal(t, 1, got.SlotUses)
	assert.Len(t, got.Members, 1)
}

// TestStake: a claim is won once; a second one with the same condition is beaten
// and told by what.
func TestStake(t *testing.T) {
	m := &table{rows: make(map[string]Row)}
	g := &Registrar{Table: m, Log: logr.Discard()}
	claim := func(token uint64) router.ClaimsWritten {
		return g.stake(t.Context(), router.WriteClaims{Token: token, Rows: []router.StoredClaim{{Claim: router.Claim{Zone: "z", Token: token}}}})
	}
	assert.Equal(t, router.ClaimWon, claim(5).Result)
	beaten := claim(7)
	assert.Equal(t, router.ClaimConflict, beaten.Result)
	require.Len(t, beaten.Rows, 1)
	assert.Equal(t, uint64(5), beaten.Rows[0].Claim.Token)
	assert.Positive(t, beaten.Rows[0].Version)
	assert.Equal(t, router.ClaimWon, claim(5).Result, "the answer to an earlier call was lost")
	m.lose = 1
	next := g.stake(t.Context(), router.WriteClaims{Token: 9, Rows: []router.StoredClaim{{Claim: router.Claim{Zone: "z", Token: 9}, Version: beaten.Rows[0].Version}}})
	assert.Equal(t, router.ClaimTimeout, next.Result)
}

// TestCatalog: the whole list of targets is read once; then changes, unless the store has
// dropped its history.
func TestCatalog(t *testing.T) {
	target := func(id string) Entry { return Entry{Key: id, Target: router.Target{ID: id}} }
	m := &table{listed: []Entry{target("a"), target("b")}, version: 5}
	c := &catalog{}
	ids := func() []string {
		d, err := c.read(t.Context(), m)
		require.NoError(t, err)
		assert.Equal(t, m.version, d.Version)
		var list []string
		for _, entry := range d.Targets {
			list = append(list, entry.ID)
		}
		slices.Sort(list)
		return list
	}
	assert.Equal(t, []string{"a", "b"}, ids())
	m.version, m.changes = 7, []Entry{target("c"), {Key: "a", Gone: true}}
	assert.Equal(t, []string{"b", "c"}, ids())
	assert.Equal(t, []string{"b", "c"}, ids())
	assert.Equal(t, 1, m.reads)
	m.version, m.compacted, m.listed = 9, 8, []Entry{target("d")}
	assert.Equal(t, []string{"d"}, ids())
	assert.Equal(t, 2, m.reads)
}

// TestKeep: what a holder has learned is read by hosts that start later, and written over
// by the next holder of the zone. A row that cannot be read hides no other.
func TestKeep(t *testing.T) {
	m := &table{rows: make(map[string]Row)}
	g := &Registrar{Self: router.Member{Zone: "north"}, Table: m, Log: logr.Discard(), Sink: make(sink, 1)}
	recalled := func() []router.SaveLearnedState {
		g.recall(t.Context())
		return (<-g.Sink.(sink)).(router.LearnedStateRead).Saved
	}
	assert.Empty(t, recalled())
	for _, count := range []int{5, 7} {
		want := router.SaveLearnedState{Routes: []router.RouteStats{{Route: "r", Count: count, Timeouts: 3, MeanTimeout: 1.5}}}
		require.NoError(t, g.keep(t.Context(), want))
		assert.Equal(t, []router.SaveLearnedState{want}, recalled())
	}
	m.rows[Lessons+"south"] = Row{Table: Lessons, Key: "south", Value: []byte{0xff}, Version: 99}
	assert.Len(t, recalled(), 1)
}

// sink passes events on.
type sink chan router.Event

func (s sink) Put(e router.Event) { s <- e }

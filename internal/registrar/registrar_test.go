package registrar

import (
	"context"
	"errors"
	"fmt"
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

// memoryTable is a store in memory.
type memoryTable struct {
	mutex         sync.Mutex
	rows          map[string]Row
	version       uint64
	answersToLose int // number of commits that take effect but return errNoAnswer

	entries         []DirectoryEntry // the list of targets
	changes         []DirectoryEntry // what the next call of TargetChanges returns
	changesLostUpTo uint64           // TargetChanges fails for earlier versions
	changesError    error            // what TargetChanges returns unless nil
	fullReads       int              // calls of Targets
	// declarations and declarationsError are what Declarations and Watch return.
	declarations      Declarations
	declarationsError error
}

var errNoAnswer = errors.New("no answer")

func (m *memoryTable) List(_ context.Context, name string) ([]Row, uint64, error) {
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

func (m *memoryTable) Commit(_ context.Context, puts, removes []Row) ([]Row, error) {
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
	if m.answersToLose > 0 {
		m.answersToLose--
		return nil, errNoAnswer
	}
	return written, nil
}

func (m *memoryTable) Declarations(context.Context) (Declarations, error) {
	return m.declarations, m.declarationsError
}

func (m *memoryTable) Watch(context.Context, uint64, time.Duration) (Declarations, error) {
	return m.declarations, m.declarationsError
}

func (m *memoryTable) Targets(context.Context) ([]DirectoryEntry, uint64, error) {
	m.fullReads++
	return m.entries, m.version, nil
}

func (m *memoryTable) TargetChanges(_ context.Context, after uint64) ([]DirectoryEntry, uint64, error) {
	if after < m.changesLostUpTo {
		return nil, 0, ErrChangesLost
	}
	if m.changesError != nil {
		return nil, 0, m.changesError
	}
	changes := m.changes
	m.changes = nil
	return changes, m.version, nil
}

func register(t *testing.T, m *memoryTable, address string, incarnation int64) router.Registered {
	t.Helper()
	r := &registration{registrar: &Registrar{Self: router.Member{Name: address, Address: address, Incarnation: incarnation}, Store: m, Log: logr.Discard()}}
	for range 3 {
		got, err := r.register(t.Context())
		if err == nil {
			return got
		}
		require.ErrorIs(t, err, errNoAnswer)
	}
	t.Fatal("not registered after three tries")
	return router.Registered{}
}

// TestRestartedHostKeepsItsSlot: each host gets its own slot, also when its preferred one
// is in use. A restarted host keeps its slot and increases SlotUses. Otherwise two
// processes could use the same fencing token.
func TestRestartedHostKeepsItsSlot(t *testing.T) {
	m := &memoryTable{rows: make(map[string]Row)}
	first := register(t, m, "10.0.0.1:1", 1)
	taken, err := cbor.Marshal(member{Member: router.Member{Address: "other"}, SlotUses: 1})
	require.NoError(t, err)
	m.rows[MembersTable+rowKey(preferredSlot("10.0.0.2:1"))] = Row{Table: MembersTable, Key: rowKey(preferredSlot("10.0.0.2:1")), Value: taken, Version: 99}
	second := register(t, m, "10.0.0.2:1", 1)
	assert.NotEqual(t, preferredSlot("10.0.0.2:1"), second.Slot)
	restarted := register(t, m, "10.0.0.1:1", 2)
	assert.Equal(t, first.Slot, restarted.Slot)
	assert.Equal(t, first.SlotUses+1, restarted.SlotUses)
	assert.Len(t, restarted.Members, 3)
}

// TestIncarnationRisesThoughClockWasSetBack guards against a restarted host that its peers ignore, since
// they take its messages for those of its former process.
func TestIncarnationRisesThoughClockWasSetBack(t *testing.T) {
	m := &memoryTable{rows: make(map[string]Row)}
	for i, test := range []struct {
		startedAt, want int64
		answersToLose   int
	}{
		{startedAt: 100, want: 100},
		{startedAt: 50, want: 100 + incarnationStep},
		{startedAt: 100 + incarnationStep, want: 100 + 2*incarnationStep},
		{startedAt: 60, want: 100 + 3*incarnationStep, answersToLose: 1},
		{startedAt: 100 + 9*incarnationStep, want: 100 + 9*incarnationStep},
	} {
		m.answersToLose = test.answersToLose
		got := register(t, m, "10.0.0.1:1", test.startedAt)
		assert.Equal(t, test.want, got.Incarnation)
		assert.Equal(t, i+1, got.SlotUses)
		require.Len(t, got.Members, 1)
		assert.Equal(t, test.want, got.Members[0].Incarnation)
	}
}

// TestRegistrationWithLostAnswerIsFound: when the store commits a registration but its
// answer is lost, the retry finds the row and does not register the host again.
func TestRegistrationWithLostAnswerIsFound(t *testing.T) {
	m := &memoryTable{rows: make(map[string]Row), answersToLose: 1}
	got := register(t, m, "10.0.0.1:1", 1)
	assert.Equal(t, 1, got.SlotUses)
	assert.Len(t, got.Members, 1)
}

// TestConcurrentClaimIsWonOnce: of two claims that expect the same version, the second
// gets a conflict with the stored claim. A claim that is repeated because its answer was
// lost is won. When the store does not answer, the result is a timeout.
func TestConcurrentClaimIsWonOnce(t *testing.T) {
	m := &memoryTable{rows: make(map[string]Row)}
	g := &Registrar{Store: m, Log: logr.Discard()}
	claim := func(token uint64) router.ClaimsWritten {
		return g.commitClaims(t.Context(), router.WriteClaims{Token: token, Rows: []router.StoredClaim{{Claim: router.Claim{Zone: "z", Token: token}}}})
	}
	assert.Equal(t, router.ClaimWon, claim(5).Result)
	conflict := claim(7)
	assert.Equal(t, router.ClaimConflict, conflict.Result)
	require.Len(t, conflict.Rows, 1)
	assert.Equal(t, uint64(5), conflict.Rows[0].Claim.Token)
	assert.Positive(t, conflict.Rows[0].Version)
	assert.Equal(t, router.ClaimWon, claim(5).Result, "the answer to an earlier call was lost")
	m.answersToLose = 1
	unconfirmed := g.commitClaims(t.Context(), router.WriteClaims{Token: 9, Rows: []router.StoredClaim{{Claim: router.Claim{Zone: "z", Token: 9}, Version: conflict.Rows[0].Version}}})
	assert.Equal(t, router.ClaimTimeout, unconfirmed.Result)
}

// TestDirectoryIsReadOnceThenChanges: the whole list of targets is read once and then only
// the changes, unless the store no longer has them.
func TestDirectoryIsReadOnceThenChanges(t *testing.T) {
	target := func(id string) DirectoryEntry { return DirectoryEntry{Key: id, Target: router.Target{ID: id}} }
	m := &memoryTable{entries: []DirectoryEntry{target("a"), target("b")}, version: 5}
	c := &directoryCache{}
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
	m.version, m.changes = 7, []DirectoryEntry{target("c"), {Key: "a", Removed: true}}
	assert.Equal(t, []string{"b", "c"}, ids())
	assert.Equal(t, []string{"b", "c"}, ids())
	assert.Equal(t, 1, m.fullReads)
	m.version, m.changesLostUpTo, m.entries = 9, 8, []DirectoryEntry{target("d")}
	assert.Equal(t, []string{"d"}, ids())
	assert.Equal(t, 2, m.fullReads)
}

// TestWholeListIsReadAfterSlowChanges: changes that do not arrive in time must not be asked for
// again and again, while they grow. Other errors do not cost a read of the whole list.
func TestWholeListIsReadAfterSlowChanges(t *testing.T) {
	m := &memoryTable{entries: []DirectoryEntry{{Key: "a"}}, version: 5}
	c := &directoryCache{}
	_, err := c.read(t.Context(), m)
	require.NoError(t, err)
	for _, failure := range []error{errNoAnswer, fmt.Errorf("get: %w", context.DeadlineExceeded)} {
		m.fullReads, m.changesError = 0, failure
		_, err = c.read(t.Context(), m)
		require.ErrorIs(t, err, failure)
		require.Zero(t, m.fullReads)
		_, err = c.read(t.Context(), m)
		if errors.Is(failure, errNoAnswer) {
			require.ErrorIs(t, err, failure)
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, 1, m.fullReads)
	}
	m.changesError = nil
	_, err = c.read(t.Context(), m)
	require.NoError(t, err)
	assert.Equal(t, 1, m.fullReads, "only the next read is of the whole list")
}

// TestLearnedStateIsReplacedByNextHolder: a host that starts later loads the saved learned
// state, and the next holder of the zone replaces it. A row that cannot be decoded does
// not prevent the load of the others.
func TestLearnedStateIsReplacedByNextHolder(t *testing.T) {
	m := &memoryTable{rows: make(map[string]Row)}
	g := &Registrar{Self: router.Member{Zone: "north"}, Store: m, Log: logr.Discard(), Sink: make(eventChannel, 1)}
	load := func() []router.SaveLearnedState {
		g.loadLearnedState(t.Context())
		return (<-g.Sink.(eventChannel)).(router.LearnedStateRead).Saved
	}
	assert.Empty(t, load())
	for _, count := range []int{5, 7} {
		want := router.SaveLearnedState{Routes: []router.RouteStats{{Route: "r", Count: count, Timeouts: 3, MeanTimeout: 1.5}}}
		require.NoError(t, g.commitLearnedState(t.Context(), want))
		assert.Equal(t, []router.SaveLearnedState{want}, load())
	}
	m.rows[LearnedStateTable+"south"] = Row{Table: LearnedStateTable, Key: "south", Value: []byte{0xff}, Version: 99}
	assert.Len(t, load(), 1)
}

// eventChannel is a Sink that sends the events to a channel.
type eventChannel chan router.Event

func (s eventChannel) Put(e router.Event) { s <- e }

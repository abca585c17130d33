package registrar

import (
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// watcherBed is a watcher of the declarations in a store in memory.
type watcherBed struct {
	*declarationWatcher
	table  *memoryTable
	events eventChannel
}

func newWatcherBed() *watcherBed {
	b := &watcherBed{table: &memoryTable{}, events: make(eventChannel, 4)}
	b.declarationWatcher = &declarationWatcher{registrar: &Registrar{Store: b.table, Sink: b.events, Clock: clockwork.NewFakeClock(), Log: logr.Discard()}}
	return b
}

// readEvacuations makes one call and returns the evacuations that it passes on.
func (b *watcherBed) readEvacuations(t *testing.T, declared Declarations) router.Evacuations {
	t.Helper()
	b.table.declarations = declared
	require.NoError(t, b.read(t.Context()))
	require.Len(t, b.events, 1)
	return (<-b.events).(router.EvacuationsRead).Evacuations
}

// TestWatcherKeepsEvacuatedZones: a full read replaces the set, changes are added to it, and
// its version is that of the last change, also where a read finds none.
func TestWatcherKeepsEvacuatedZones(t *testing.T) {
	b := newWatcherBed()
	assert.Equal(t, router.Evacuations{Version: 3, Zones: []string{"north"}}, b.readEvacuations(t, Declarations{Version: 3, Evacuated: map[string]bool{"north": true}}))
	assert.Equal(t, router.Evacuations{Version: 5, Zones: []string{"north", "south"}}, b.readEvacuations(t, Declarations{Version: 5, Evacuated: map[string]bool{"south": true}}))
	assert.Equal(t, router.Evacuations{Version: 5, Zones: []string{"north", "south"}}, b.readEvacuations(t, Declarations{Version: 8}))
	assert.Equal(t, router.Evacuations{Version: 9, Zones: []string{"south"}}, b.readEvacuations(t, Declarations{Version: 9, Evacuated: map[string]bool{"north": false}}))
	b.handleResult(ErrChangesLost)
	assert.Equal(t, router.Evacuations{Version: 12}, b.readEvacuations(t, Declarations{Version: 12}), "a full read without evacuations")
}

// TestUnreadableConfigurationDoesNotHideEvacuations: the evacuations must be passed on with
// the error of an unreadable configuration, and an empty store is an error.
func TestUnreadableConfigurationDoesNotHideEvacuations(t *testing.T) {
	b := newWatcherBed()
	require.ErrorIs(t, b.read(t.Context()), errNothingDeclared)
	assert.Empty(t, b.events)
	b.table.declarations, b.table.declarationsError = Declarations{Version: 3, Evacuated: map[string]bool{"north": true}}, errUnreadable
	require.ErrorIs(t, b.read(t.Context()), errUnreadable)
	require.Len(t, b.events, 1)
	assert.Equal(t, []string{"north"}, (<-b.events).(router.EvacuationsRead).Evacuations.Zones)
}

var errUnreadable = errors.New("unreadable")

// TestUnreadableConfigurationDoesNotEndWatch guards against evacuations and configurations that are
// followed late, by whole reads with pauses, for as long as one configuration is unreadable.
func TestUnreadableConfigurationDoesNotEndWatch(t *testing.T) {
	b := newWatcherBed()
	b.table.declarations, b.table.declarationsError = Declarations{Version: 3}, &UnreadableConfigError{Version: 2, Err: errUnreadable}
	assert.False(t, b.handleResult(b.read(t.Context())), "the next call follows at once")
	assert.Len(t, b.events, 1)
	assert.EqualValues(t, 3, b.storeVersion, "the next call watches for changes")
	assert.Zero(t, b.failures)
	b.table.declarations, b.table.declarationsError = Declarations{Version: 4, Config: &router.Config{Version: 9}}, nil
	assert.False(t, b.handleResult(b.read(t.Context())))
	require.Len(t, b.events, 3)
	b.table.declarations, b.table.declarationsError = Declarations{}, errUnreadable
	assert.True(t, b.handleResult(b.read(t.Context())))
	assert.Zero(t, b.storeVersion)
}

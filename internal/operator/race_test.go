package operator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/stager"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// concurrentOperator is one of several operators who change the row at the same time.
type concurrentOperator struct {
	changer    *Changer
	text       string
	accepted   int
	conflicts  int
	unsettled  int
	unexpected error
}

// run makes changes: it switches between the presets, and every third change applies
// declarations.
func (r *concurrentOperator) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	const changes = 12
	for i := range changes {
		edit := SwitchPreset(declarer.PresetNames()[i%len(declarer.PresetNames())])
		if i%3 == 2 {
			edit = ApplyDeclarations("f", fmt.Sprintf("%s; %s %d\n", r.text, r.changer.Author, i))
		}
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := r.changer.Change(ctx, fmt.Sprint("change ", i), edit)
		cancel()
		var e *Error
		switch {
		case err == nil:
			r.accepted++
		case errors.As(err, &e) && e.Kind == Conflict:
			r.conflicts++
		case errors.As(err, &e) && (e.Kind == OutcomeUnknown || e.Kind == Invalid):
			r.unsettled++
		default:
			r.unexpected = err
		}
	}
}

// versionWatcher records when a host's active version decreases.
type versionWatcher struct {
	stage       *stager.Deployment
	stop        chan struct{}
	regressions []string
}

func (w *versionWatcher) run(group *sync.WaitGroup) {
	defer group.Done()
	lastVersions := make(map[string]uint64)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		for _, n := range w.stage.Nodes {
			v := n.Daemon.Runner().View().Config.Version
			if v < lastVersions[n.Name] {
				w.regressions = append(w.regressions, fmt.Sprintf("%s: %d after %d", n.Name, v, lastVersions[n.Name]))
			}
			lastVersions[n.Name] = v
		}
	}
}

// TestConcurrentChanges: three operators change the row at the same time while nine daemons
// follow it, and the platform is slow, loses answers, returns stale rows and fails. Each
// accepted change gets its own version, no daemon goes back to an older version, and all
// daemons end with the newest.
func TestConcurrentChanges(t *testing.T) {
	s := &stager.Deployment{
		Zones: []string{"a", "b", "c"}, Hosts: []int{3, 3, 3}, Targets: 1, Slots: 2,
		Clients: []string{"comites"}, Log: logr.Discard(),
	}
	require.NoError(t, s.Start(t.Context()))
	defer s.Close()
	before, _ := s.Platform.Row(storer.ConfigKey)
	w := &versionWatcher{stage: s, stop: make(chan struct{})}
	var watching, racing sync.WaitGroup
	watching.Add(1)
	go w.run(&watching)
	var operators []*concurrentOperator
	for _, name := range []string{"ana", "luis", "marta"} {
		r := &concurrentOperator{text: s.Declarations(), changer: &Changer{
			Author: name, Clock: clockwork.NewRealClock(), Table: storer.NewClient(s.PlatformAddress(), 500*time.Millisecond),
		}}
		operators = append(operators, r)
		racing.Add(1)
		go r.run(t.Context(), &racing)
	}
	for i := range 20 { // faults change while the operators run
		s.Platform.SetFaults(faker.PlatformFaults{LostAnswers: 1 + i%2, StaleReads: i % 3, Outage: i%7 == 6, Delay: time.Duration(i%4) * 5 * time.Millisecond})
		<-time.After(50 * time.Millisecond)
	}
	s.Platform.SetFaults(faker.PlatformFaults{})
	racing.Wait()
	after, value := s.Platform.Row(storer.ConfigKey)
	accepted, unsettled := 0, 0
	for _, r := range operators {
		require.NoError(t, r.unexpected)
		accepted += r.accepted
		unsettled += r.unsettled
	}
	written := int(after - before)
	assert.LessOrEqual(t, accepted, written, "each accepted change must have its own version")
	assert.GreaterOrEqual(t, accepted+unsettled, written, "each version must be from an accepted or unsettled change")
	assert.Positive(t, accepted)
	newest, err := declarer.Decode(after, value)
	require.NoError(t, err)
	require.NoError(t, s.WaitFor(20*time.Second, func() bool {
		for _, n := range s.Nodes {
			c := n.Daemon.Runner().View().Config
			if c.Version != after || c.Row.Preset != newest.Row.Preset {
				return false
			}
		}
		return true
	}))
	close(w.stop)
	watching.Wait()
	assert.Empty(t, w.regressions)
}

// fakeTable is a Table whose answers are set by a test.
type fakeTable struct {
	records []storer.Record
	read    func() error
	swap    func(t *fakeTable, expected uint64, value []byte) (uint64, error)
}

func (x *fakeTable) Read(context.Context, string, uint64) (storer.Record, error) {
	if x.read != nil {
		if err := x.read(); err != nil {
			return storer.Record{}, err
		}
	}
	return x.records[len(x.records)-1], nil
}

func (x *fakeTable) Swap(_ context.Context, _ string, expected uint64, value []byte) (uint64, error) {
	return x.swap(x, expected, value)
}

// writeIfVersion writes a value if the newest version is the expected one.
func (x *fakeTable) writeIfVersion(expected uint64, value []byte) (uint64, error) {
	if newest := x.records[len(x.records)-1].Version; newest != expected {
		return 0, &storer.Error{Kind: storer.Conflict}
	}
	x.records = append(x.records, storer.Record{Version: expected + 1, Value: value})
	return expected + 1, nil
}

var errNoAnswer = &storer.Error{Kind: storer.Unavailable, Message: "no answer"}

func newTable(t *testing.T) *fakeTable {
	value, err := declarer.Row{Text: "[service s]\n", Preset: declarer.Ordinary}.Encode()
	require.NoError(t, err)
	return &fakeTable{records: []storer.Record{{Version: 1, Value: value}}}
}

func newChanger(x *fakeTable) *Changer {
	return &Changer{Table: x, Clock: clockwork.NewRealClock(), Author: "ana"}
}

// TestChangeAppliesOnceAfterLostAnswer: when an answer of the platform is lost, before or
// after the write takes effect, the change is retried and is active exactly once.
func TestChangeAppliesOnceAfterLostAnswer(t *testing.T) {
	for _, effective := range []bool{true, false} {
		x := newTable(t)
		attempts := 0
		x.swap = func(x *fakeTable, expected uint64, value []byte) (uint64, error) {
			if attempts++; attempts > 1 {
				return x.writeIfVersion(expected, value)
			}
			if effective {
				_, _ = x.writeIfVersion(expected, value)
			}
			return 0, errNoAnswer
		}
		version, err := newChanger(x).Change(t.Context(), "n", SwitchPreset(declarer.Peak))
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		assert.Len(t, x.records, 2, "the change must be written once")
	}
}

// TestUnknownOutcomeIsReported: when neither the write nor the read after it gets an answer,
// the change is reported as unsettled.
func TestUnknownOutcomeIsReported(t *testing.T) {
	x := newTable(t)
	unavailable := false
	x.read = func() error {
		if unavailable {
			return errNoAnswer
		}
		return nil
	}
	x.swap = func(*fakeTable, uint64, []byte) (uint64, error) { unavailable = true; return 0, errNoAnswer }
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := newChanger(x).Change(ctx, "n", SwitchPreset(declarer.Peak))
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, OutcomeUnknown, e.Kind)
}

// TestConflictNamesOtherChange: an operator whose change conflicts with another is told who
// made the other change.
func TestConflictNamesOtherChange(t *testing.T) {
	x := newTable(t)
	x.swap = func(x *fakeTable, expected uint64, value []byte) (uint64, error) {
		if len(x.records) == 1 {
			row := declarer.Row{Text: "[service s]\n", Preset: declarer.Maintenance}
			won, err := row.WithChange(declarer.Change{ID: "x", Author: "luis", Note: "hurry"}).Encode()
			require.NoError(t, err)
			x.records = append(x.records, storer.Record{Version: 2, Value: won})
		}
		return x.writeIfVersion(expected, value)
	}
	_, err := newChanger(x).Change(t.Context(), "n", SwitchPreset(declarer.Peak))
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, Conflict, e.Kind)
	assert.Contains(t, e.Message, "the change of luis")
	assert.Len(t, x.records, 2)
}

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

// racer is one operator who changes the row again and again.
type racer struct {
	changer   *Changer
	text      string
	accepted  int
	raced     int
	unsettled int
	other     error
}

// run makes changes: presets in turn, and declarations every third time.
func (r *racer) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	const changes = 12
	for i := range changes {
		edit := Switch(declarer.Names()[i%len(declarer.Names())])
		if i%3 == 2 {
			edit = Apply("f", fmt.Sprintf("%s; %s %d\n", r.text, r.changer.Author, i))
		}
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := r.changer.Change(ctx, fmt.Sprint("change ", i), edit)
		cancel()
		var e *Error
		switch {
		case err == nil:
			r.accepted++
		case errors.As(err, &e) && e.Kind == Raced:
			r.raced++
		case errors.As(err, &e) && (e.Kind == Unsettled || e.Kind == Invalid):
			r.unsettled++
		default:
			r.other = err
		}
	}
}

// watcher requires that versions never go back while it runs.
type watcher struct {
	stage *stager.Stage
	stop  chan struct{}
	back  []string
}

func (w *watcher) run(group *sync.WaitGroup) {
	defer group.Done()
	seen := make(map[string]uint64)
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
			if v < seen[n.Name] {
				w.back = append(w.back, fmt.Sprintf("%s: %d after %d", n.Name, v, seen[n.Name]))
			}
			seen[n.Name] = v
		}
	}
}

// TestRace lets three operators race over a platform that is slow, loses
// answers, shows stale rows and fails, with nine daemons.
func TestRace(t *testing.T) {
	s := &stager.Stage{
		Zones: []string{"a", "b", "c"}, Hosts: []int{3, 3, 3}, Targets: 1, Slots: 2,
		Clients: []string{"comites"}, Log: logr.Discard(),
	}
	require.NoError(t, s.Start(t.Context()))
	defer s.Close()
	before, _ := s.Platform.Row(storer.Row)
	w := &watcher{stage: s, stop: make(chan struct{})}
	var watching, racing sync.WaitGroup
	watching.Add(1)
	go w.run(&watching)
	var racers []*racer
	for _, name := range []string{"ana", "luis", "marta"} {
		r := &racer{text: s.Declarations(), changer: &Changer{
			Author: name, Clock: clockwork.NewRealClock(), Table: storer.NewClient(s.PlatformAddress(), 500*time.Millisecond),
		}}
		racers = append(racers, r)
		racing.Add(1)
		go r.run(t.Context(), &racing)
	}
	for i := range 20 { // faults come and go while they race
		s.Platform.Set(faker.Faults{Lose: 1 + i%2, Stale: i % 3, Outage: i%7 == 6, Delay: time.Duration(i%4) * 5 * time.Millisecond})
		<-time.After(50 * time.Millisecond)
	}
	s.Platform.Set(faker.Faults{})
	racing.Wait()
	after, value := s.Platform.Row(storer.Row)
	accepted, unsettled := 0, 0
	for _, r := range racers {
		require.NoError(t, r.other)
		accepted += r.accepted
		unsettled += r.unsettled
	}
	written := int(after - before)
	assert.LessOrEqual(t, accepted, written, "each accepted change is a version of its own")
	assert.GreaterOrEqual(t, accepted+unsettled, written, "each version was accepted or is unsettled")
	assert.Positive(t, accepted)
	newest, err := declarer.Decode(after, value)
	require.NoError(t, err)
	require.NoError(t, s.Await(20*time.Second, func() bool {
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
	assert.Empty(t, w.back)
}

// table is a table whose answers a test chooses.
type table struct {
	records []storer.Record
	read    func() error
	swap    func(t *table, expected uint64, value []byte) (uint64, error)
}

func (x *table) Read(context.Context, string, uint64) (storer.Record, error) {
	if x.read != nil {
		if err := x.read(); err != nil {
			return storer.Record{}, err
		}
	}
	return x.records[len(x.records)-1], nil
}

func (x *table) Swap(_ context.Context, _ string, expected uint64, value []byte) (uint64, error) {
	return x.swap(x, expected, value)
}

// write takes a value if the version is the expected one.
func (x *table) write(expected uint64, value []byte) (uint64, error) {
	if newest := x.records[len(x.records)-1].Version; newest != expected {
		return 0, &storer.Error{Kind: storer.Conflict}
	}
	x.records = append(x.records, storer.Record{Version: expected + 1, Value: value})
	return expected + 1, nil
}

var errGone = &storer.Error{Kind: storer.Unavailable, Message: "no answer"}

func newTable(t *testing.T) *table {
	value, err := declarer.Row{Text: "[service s]\n", Preset: declarer.Ordinary}.Encode()
	require.NoError(t, err)
	return &table{records: []storer.Record{{Version: 1, Value: value}}}
}

func newChanger(x *table) *Changer {
	return &Changer{Table: x, Clock: clockwork.NewRealClock(), Author: "ana"}
}

// TestLostAnswers loses the answer before and after the write takes effect.
func TestLostAnswers(t *testing.T) {
	for _, effective := range []bool{true, false} {
		x := newTable(t)
		tries := 0
		x.swap = func(x *table, expected uint64, value []byte) (uint64, error) {
			if tries++; tries > 1 {
				return x.write(expected, value)
			}
			if effective {
				_, _ = x.write(expected, value)
			}
			return 0, errGone
		}
		version, err := newChanger(x).Change(t.Context(), "n", Switch(declarer.Peak))
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		assert.Len(t, x.records, 2, "the change is in force once")
	}
}

// TestUnsettled requires that a change whose fate is unknown is said to be so.
func TestUnsettled(t *testing.T) {
	x := newTable(t)
	down := false
	x.read = func() error {
		if down {
			return errGone
		}
		return nil
	}
	x.swap = func(*table, uint64, []byte) (uint64, error) { down = true; return 0, errGone }
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := newChanger(x).Change(ctx, "n", Switch(declarer.Peak))
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, Unsettled, e.Kind)
}

// TestLoserIsTold requires that the loser of a race learns whose change won.
func TestLoserIsTold(t *testing.T) {
	x := newTable(t)
	x.swap = func(x *table, expected uint64, value []byte) (uint64, error) {
		if len(x.records) == 1 {
			row := declarer.Row{Text: "[service s]\n", Preset: declarer.Maintenance}
			won, err := row.With(declarer.Change{ID: "x", Author: "luis", Note: "hurry"}).Encode()
			require.NoError(t, err)
			x.records = append(x.records, storer.Record{Version: 2, Value: won})
		}
		return x.write(expected, value)
	}
	_, err := newChanger(x).Change(t.Context(), "n", Switch(declarer.Peak))
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, Raced, e.Kind)
	assert.Contains(t, e.Message, "the change of luis")
	assert.Len(t, x.records, 2)
}

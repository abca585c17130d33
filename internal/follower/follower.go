// Package follower keeps a daemon's configuration and directory up to date with
// the platform.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// Sink receives what was read.
type Sink interface {
	// Put hands over one event. It may block for a moment.
	Put(scheduler.Event)
}

// Follower polls the platform. The more peers of its zone are present, the
// more rarely it polls, since each passes on what it reads. Its exported fields
// are set before Run.
type Follower struct {
	Clock  clockwork.Clock
	Log    logr.Logger
	Client *storer.Client
	Zone   string
	Sink   Sink
	// Every is the period of polls of a host alone in its zone, and Slowest
	// bounds the period with peers.
	Every   time.Duration
	Slowest time.Duration
	// Random spreads the polls.
	Random *rand.Rand
	// Observe is told of every poll and whether it failed. It may be nil.
	Observe func(failed bool)

	hosts     atomic.Int64
	config    atomic.Uint64
	directory atomic.Uint64
	good      atomic.Int64
	nudge     chan struct{}
}

// Init makes the Follower ready; it comes before Run and Nudge.
func (f *Follower) Init() { f.nudge = make(chan struct{}, 1) }

// Run polls until the context is done.
func (f *Follower) Run(ctx context.Context) { f.loop(ctx) }

// Nudge asks for a poll at once. It never blocks.
func (f *Follower) Nudge() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// Know tells which versions the daemon holds and how many hosts of the zone,
// itself included, are present.
func (f *Follower) Know(config, directory uint64, hosts int) {
	f.config.Store(config)
	f.directory.Store(directory)
	f.hosts.Store(int64(hosts))
}

// Age returns the time since the last successful poll, and false before it.
func (f *Follower) Age() (time.Duration, bool) {
	good := f.good.Load()
	if good == 0 {
		return 0, false
	}
	return f.Clock.Since(time.Unix(0, good)), true
}

func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		failed := f.poll(ctx)
		if f.Observe != nil {
			f.Observe(failed)
		}
		timer := f.Clock.NewTimer(f.period(failed))
		select {
		case <-ctx.Done():
		case <-f.nudge:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// period returns the time to the next poll, with jitter of an eighth either way.
// After a failure it does not count on the peers, who may be cut off too (#4).
func (f *Follower) period(failed bool) time.Duration {
	period := min(f.Every*time.Duration(max(f.hosts.Load(), 1)), f.Slowest)
	if failed {
		period = min(f.Every, f.Slowest)
	}
	return period - period/8 + time.Duration(f.Random.Int64N(int64(period)/4+1))
}

// poll reads the row and the directory and reports whether either failed.
func (f *Follower) poll(ctx context.Context) bool {
	failed := f.pollRow(ctx)
	failed = f.pollHosts(ctx) || failed
	if !failed {
		f.good.Store(f.Clock.Now().UnixNano())
	}
	return failed
}

func (f *Follower) pollRow(ctx context.Context) bool {
	record, err := f.Client.Read(ctx, storer.Row, f.config.Load())
	if err != nil {
		return f.failed(err, "row")
	}
	if record.Version <= f.config.Load() {
		return false
	}
	config, err := declarer.Decode(record.Version, record.Value)
	if err != nil {
		f.Log.Error(err, "configuration left out", "version", record.Version)
		return false
	}
	f.Sink.Put(scheduler.Adopt{Config: config})
	return false
}

func (f *Follower) pollHosts(ctx context.Context) bool {
	directory, err := f.Client.Hosts(ctx, f.Zone, f.directory.Load())
	if unchanged(err) {
		f.Sink.Put(scheduler.Confirm{Directory: f.directory.Load()})
		return false
	}
	if err != nil {
		return f.failed(err, "hosts")
	}
	f.Sink.Put(scheduler.Locate{Directory: directory})
	return false
}

func (f *Follower) failed(err error, what string) bool {
	if unchanged(err) {
		return false
	}
	f.Log.V(1).Info("poll failed", "what", what, "error", err.Error())
	return true
}

func unchanged(err error) bool {
	var e *storer.Error
	return errors.As(err, &e) && e.Kind == storer.Unchanged
}

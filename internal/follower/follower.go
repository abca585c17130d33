// Package follower polls the platform for new versions of a daemon's configuration and
// directory.
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

// Sink receives the new versions.
type Sink interface {
	// Put queues one event. It may block while the queue is full.
	Put(scheduler.Event)
}

// Follower polls the platform. Its poll interval grows with the number of hosts that are
// present in the zone, since each host passes new versions on to the others. Its
// exported fields are set before Run is called.
type Follower struct {
	Clock  clockwork.Clock
	Log    logr.Logger
	Client *storer.Client
	Zone   string
	Sink   Sink
	// PollInterval is the poll interval of a host without peers in its zone.
	// MaxPollInterval is the maximum poll interval.
	PollInterval    time.Duration
	MaxPollInterval time.Duration
	// Random is the source of the jitter of the poll intervals.
	Random *rand.Rand
	// OnPoll is called after every poll. It may be nil.
	OnPoll func(failed bool)

	hosts        atomic.Int64
	config       atomic.Uint64
	directory    atomic.Uint64
	lastPolledAt atomic.Int64
	pollNow      chan struct{}
}

// Init prepares the Follower. It is called before Run and PollNow.
func (f *Follower) Init() { f.pollNow = make(chan struct{}, 1) }

// Run polls until the context is done.
func (f *Follower) Run(ctx context.Context) { f.pollUntilDone(ctx) }

// PollNow triggers a poll now. It does not block.
func (f *Follower) PollNow() {
	select {
	case f.pollNow <- struct{}{}:
	default:
	}
}

// SetKnownVersions sets the versions of the configuration and the directory that the daemon
// holds, and the number of hosts that are present in the zone, including this one.
func (f *Follower) SetKnownVersions(config, directory uint64, hosts int) {
	f.config.Store(config)
	f.directory.Store(directory)
	f.hosts.Store(int64(hosts))
}

// Age returns the time since the last successful poll. It returns false if there was none.
func (f *Follower) Age() (time.Duration, bool) {
	polledAt := f.lastPolledAt.Load()
	if polledAt == 0 {
		return 0, false
	}
	return f.Clock.Since(time.Unix(0, polledAt)), true
}

func (f *Follower) pollUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		failed := f.poll(ctx)
		if f.OnPoll != nil {
			f.OnPoll(failed)
		}
		timer := f.Clock.NewTimer(f.nextDelay(failed))
		select {
		case <-ctx.Done():
		case <-f.pollNow:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// nextDelay returns the delay until the next poll, with jitter of an eighth either way.
// After a failure it ignores the number of peers, since the peers may have lost their
// connection to the platform too (#4).
func (f *Follower) nextDelay(failed bool) time.Duration {
	period := min(f.PollInterval*time.Duration(max(f.hosts.Load(), 1)), f.MaxPollInterval)
	if failed {
		period = min(f.PollInterval, f.MaxPollInterval)
	}
	return period - period/8 + time.Duration(f.Random.Int64N(int64(period)/4+1))
}

// poll reads the configuration and the directory and reports whether either read failed.
func (f *Follower) poll(ctx context.Context) bool {
	failed := f.pollConfig(ctx)
	failed = f.pollDirectory(ctx) || failed
	if !failed {
		f.lastPolledAt.Store(f.Clock.Now().UnixNano())
	}
	return failed
}

func (f *Follower) pollConfig(ctx context.Context) bool {
	record, err := f.Client.Read(ctx, storer.ConfigKey, f.config.Load())
	if err != nil {
		return f.handleError(err, "row")
	}
	if record.Version <= f.config.Load() {
		return false
	}
	config, err := declarer.Decode(record.Version, record.Value)
	if err != nil {
		f.Log.Error(err, "ignored an invalid configuration; correct and apply the declarations", "version", record.Version)
		return false
	}
	f.Sink.Put(scheduler.Adopt{Config: config})
	return false
}

func (f *Follower) pollDirectory(ctx context.Context) bool {
	directory, err := f.Client.ReadDirectory(ctx, f.Zone, f.directory.Load())
	if isUnchanged(err) {
		f.Sink.Put(scheduler.DirectoryUnchanged{Version: f.directory.Load()})
		return false
	}
	if err != nil {
		return f.handleError(err, "hosts")
	}
	f.Sink.Put(scheduler.Locate{Directory: directory})
	return false
}

// handleError logs the error and reports whether the poll failed. An unchanged version
// is not a failure.
func (f *Follower) handleError(err error, what string) bool {
	if isUnchanged(err) {
		return false
	}
	f.Log.V(1).Info("failed to poll the platform; polling again", "what", what, "error", err.Error())
	return true
}

func isUnchanged(err error) bool {
	var e *storer.Error
	return errors.As(err, &e) && e.Kind == storer.Unchanged
}

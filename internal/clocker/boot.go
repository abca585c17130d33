// Package clocker provides a clock for hosts that may be suspended.
package clocker

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// BootClock is a monotonic clock that, unlike Go's monotonic clock, also advances while the host
// is suspended. It starts at the wall-clock time of its creation. Timers and tickers come
// from the embedded clock.
type BootClock struct {
	clockwork.Clock

	createdAt        time.Time
	createdSinceBoot time.Duration
}

// NewBootClock returns a BootClock that uses the given clock for timers and tickers.
func NewBootClock(clock clockwork.Clock) *BootClock {
	return &BootClock{Clock: clock, createdAt: time.Unix(0, time.Now().UnixNano()), createdSinceBoot: sinceBoot()}
}

// Now returns the wall-clock time at which the clock was created plus the time that has
// passed since then, including suspensions.
func (b *BootClock) Now() time.Time { return b.createdAt.Add(sinceBoot() - b.createdSinceBoot) }

// Since returns the time elapsed since t, including suspensions.
func (b *BootClock) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until returns the duration until t.
func (b *BootClock) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }

// sinceBoot returns the time since the kernel booted, including suspensions. The read
// does not fail because every Linux kernel has CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("clocker: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(spec.Nano())
}

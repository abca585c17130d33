// Package clocker has the clock of a host that may be suspended.
package clocker

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock that never goes back and also counts the time in which the
// host was suspended, unlike the steady clock. It starts at the time of day.
// Timers and tickers are those of the embedded clock.
type Boot struct {
	clockwork.Clock

	base   time.Time
	booted time.Duration
}

// NewBoot returns a Boot that takes its timers from the given clock.
func NewBoot(clock clockwork.Clock) *Boot {
	return &Boot{Clock: clock, base: time.Unix(0, time.Now().UnixNano()), booted: sinceBoot()}
}

// Now returns the time since the clock was made, suspensions included, counted
// from the time of day of that moment.
func (b *Boot) Now() time.Time { return b.base.Add(sinceBoot() - b.booted) }

// Since returns the time that has passed since t.
func (b *Boot) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until returns the time that is left until t.
func (b *Boot) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }

// sinceBoot reads the kernel's clock that runs on through suspensions. Reading
// a clock that every Linux kernel has does not fail.
func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("clocker: the kernel has no boot-time clock: " + err.Error())
	}
	return time.Duration(spec.Nano())
}

// Package logger writes the log and limits its lines per second.
package logger

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// New returns a logger that writes JSON lines up to a verbosity level.
func New(w io.Writer, verbosity int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-verbosity)}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, options))
}

// Throttle limits the rate of decision lines. It is safe for concurrent use.
type Throttle struct {
	// Log receives the lines.
	Log logr.Logger
	// Limiter is the rate limit of the lines.
	Limiter *rate.Limiter
	// OnOmit is called for each line that is left out. It may be nil.
	OnOmit func()

	omitted atomic.Int64
}

// NewThrottle returns a Throttle that writes up to a number of lines per second.
func NewThrottle(log logr.Logger, lines int) *Throttle {
	return &Throttle{Log: log, Limiter: rate.NewLimiter(rate.Limit(lines), lines)}
}

// infoShare is the share of the rate limit that is reserved for Info, since refusals and
// failures are the lines that operators need most. The other half of the default 3,000 lines
// per second is about what all hosts together write on a heavy day (92,441 lines in 60 s).
const infoShare = 0.5

// Routine writes a line as Info does, unless the rest of the rate limit is reserved for Info.
func (t *Throttle) Routine(now time.Time, message string, pairs ...any) {
	if t.Limiter.TokensAt(now) < infoShare*float64(t.Limiter.Burst()) {
		t.omit()
		return
	}
	t.Info(now, message, pairs...)
}

func (t *Throttle) omit() {
	t.omitted.Add(1)
	if t.OnOmit != nil {
		t.OnOmit()
	}
}

// Info writes a line, or counts it as left out when the rate limit is reached. Before the next
// line it logs the number of lines that were left out.
func (t *Throttle) Info(now time.Time, message string, pairs ...any) {
	if !t.Limiter.AllowN(now, 1) {
		t.omit()
		return
	}
	if n := t.omitted.Swap(0); n > 0 {
		t.Log.Info("lines left out", "count", n)
	}
	t.Log.Info(message, pairs...)
}

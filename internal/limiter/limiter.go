// Package limiter limits the number of concurrent calls.
package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limiter limits the number of concurrent calls; further calls wait. Its exported fields
// must be set before use. It is safe for concurrent use.
type Limiter struct {
	Clock clockwork.Clock
	// MaxConcurrent is the maximum number of concurrent calls.
	MaxConcurrent int
	// SlotTimeout is the maximum time that a call occupies its slot, so that unanswered calls free
	// their slots for others before they end.
	SlotTimeout time.Duration

	initSlots sync.Once
	slots     chan struct{}
}

// Acquire waits for a free slot and occupies it. The returned function frees the slot when
// the call ends; it may be called more than once.
func (l *Limiter) Acquire() (end func()) {
	l.initSlots.Do(func() { l.slots = make(chan struct{}, l.MaxConcurrent) })
	l.slots <- struct{}{}
	release := sync.OnceFunc(func() { <-l.slots })
	timer := l.Clock.AfterFunc(l.SlotTimeout, release)
	return func() {
		timer.Stop()
		release()
	}
}

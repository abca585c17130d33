// Package limiter limits the number of concurrent calls.
package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limiter limits the number of concurrent calls; further calls wait, in the order of their arrival. Its
// exported fields must be set before use. It is safe for concurrent use. Slots decides which calls count.
type Limiter struct {
	Clock clockwork.Clock
	// MaxConcurrent is the maximum number of concurrent calls.
	MaxConcurrent int
	// SlotTimeout is the maximum time that a call occupies its slot, so that unanswered calls free
	// their slots for others before they end.
	SlotTimeout time.Duration

	mutex   sync.Mutex
	slots   Slots
	waiting []chan *Call
}

// Acquire waits for a free slot and occupies it. The returned function frees the slot when
// the call ends; it may be called more than once.
func (l *Limiter) Acquire() (end func()) {
	c := l.begin()
	timeout := l.Clock.AfterFunc(l.SlotTimeout, func() { l.change(func() { l.slots.Expire(c) }) })
	return func() {
		timeout.Stop()
		l.change(func() { l.slots.End(c, l.Clock.Now(), l.MaxConcurrent) })
	}
}

// begin waits for a free slot.
func (l *Limiter) begin() *Call {
	l.mutex.Lock()
	if !l.slots.HasFree(l.MaxConcurrent) {
		l.slots.FreeOvertaken(l.Clock.Now(), l.MaxConcurrent)
	}
	if len(l.waiting) == 0 && l.slots.HasFree(l.MaxConcurrent) {
		defer l.mutex.Unlock()
		return l.slots.Begin(l.Clock.Now())
	}
	admitted := make(chan *Call, 1)
	l.waiting = append(l.waiting, admitted)
	l.mutex.Unlock()
	return <-admitted
}

// change applies a change of the slots and admits the calls for which it has freed slots.
func (l *Limiter) change(apply func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	apply()
	for len(l.waiting) > 0 && l.slots.HasFree(l.MaxConcurrent) {
		l.waiting[0] <- l.slots.Begin(l.Clock.Now())
		l.waiting = l.waiting[1:]
	}
}

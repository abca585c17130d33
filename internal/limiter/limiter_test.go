package limiter

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

const slotTimeout = 50 * time.Millisecond

// TestConcurrentCallsAreLimited checks that no more than MaxConcurrent of many calls run
// at the same time.
func TestConcurrentCallsAreLimited(t *testing.T) {
	l := &Limiter{Clock: clockwork.NewFakeClock(), MaxConcurrent: 3, SlotTimeout: slotTimeout}
	var mutex sync.Mutex
	current, peak := 0, 0
	count := func(change int) {
		mutex.Lock()
		defer mutex.Unlock()
		current += change
		peak = max(peak, current)
	}
	var group sync.WaitGroup
	partners := make(chan struct{}, l.MaxConcurrent) // makes calls overlap
	for range 20 * l.MaxConcurrent {
		group.Go(func() {
			defer l.Acquire()()
			count(1)
			defer count(-1)
			select {
			case partners <- struct{}{}:
			case <-partners:
			}
		})
	}
	group.Wait()
	assert.LessOrEqual(t, peak, l.MaxConcurrent)
}

// TestSlowCallFreesItsSlotOnce checks that a call that takes longer than SlotTimeout frees
// its slot, and that its end does not free the slot of another call.
func TestSlowCallFreesItsSlotOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Limiter{Clock: clock, MaxConcurrent: 1, SlotTimeout: slotTimeout}
	endFirst := l.Acquire()
	began := make(chan func())
	go func() { began <- l.Acquire() }()
	select {
	case <-began:
		assert.Fail(t, "the second call began while the first one occupied the only slot")
	default:
	}
	clock.Advance(slotTimeout)
	endSecond := <-began
	endFirst() // must not free the second call's slot
	assert.Len(t, l.slots, 1)
	endSecond()
	endSecond()
	assert.Empty(t, l.slots)
}

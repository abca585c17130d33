package limiter

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

const span = 50 * time.Millisecond

// TestAtOnce: of many calls no more than the bound are under way at once.
func TestAtOnce(t *testing.T) {
	l := &Limiter{Clock: clockwork.NewFakeClock(), AtOnce: 3, Span: span}
	var mutex sync.Mutex
	now, most := 0, 0
	count := func(change int) {
		mutex.Lock()
		defer mutex.Unlock()
		now += change
		most = max(most, now)
	}
	var group sync.WaitGroup
	rounds := make(chan struct{}, l.AtOnce) // lets calls overlap
	for range 20 * l.AtOnce {
		group.Go(func() {
			defer l.Begin()()
			count(1)
			defer count(-1)
			select {
			case rounds <- struct{}{}:
			case <-rounds:
			}
		})
	}
	group.Wait()
	assert.LessOrEqual(t, most, l.AtOnce)
}

// TestSpan: a call that takes long makes room for another one, once.
func TestSpan(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Limiter{Clock: clock, AtOnce: 1, Span: span}
	long := l.Begin()
	began := make(chan func())
	go func() { began <- l.Begin() }()
	select {
	case <-began:
		assert.Fail(t, "two calls are under way")
	default:
	}
	clock.Advance(span)
	second := <-began
	long() // its slot has been given back already
	assert.Len(t, l.slots, 1)
	second()
	second()
	assert.Empty(t, l.slots)
}

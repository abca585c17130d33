// Package limiter bounds how many calls are under way at once.
package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limiter lets so many calls be under way at once; the others wait. Its exported fields are
// set before use. It is safe for concurrent use.
type Limiter struct {
	Clock clockwork.Clock
	// AtOnce bounds the calls under way.
	AtOnce int
	// Span is how long a call counts as under way, so that calls that are not answered
	// make room for others before they end.
	Span time.Duration

	once  sync.Once
	slots chan struct{}
}

// Begin waits until a call may begin. The function that it returns ends the call; it may be
// called more than once.
func (l *Limiter) Begin() (end func()) {
	l.once.Do(func() { l.slots = make(chan struct{}, l.AtOnce) })
	l.slots <- struct{}{}
	release := sync.OnceFunc(func() { <-l.slots })
	timer := l.Clock.AfterFunc(l.Span, release)
	return func() {
		timer.Stop()
		release()
	}
}

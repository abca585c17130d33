package logger

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a writer that never blocks: it keeps what its output does not take at
// once, up to a bound, and leaves out whole writes beyond. It is safe for
// concurrent use.
type Queue struct {
	// Output is where the bytes go.
	Output io.Writer
	// Bound is how many bytes may wait.
	Bound int
	// Observe is told of each write that is left out. It may be nil.
	Observe func()

	mutex   sync.Mutex
	waiting []byte
	wake    chan struct{}
	left    atomic.Int64
}

// Init makes the Queue ready; it comes before Write and Run.
func (q *Queue) Init() { q.wake = make(chan struct{}, 1) }

// Write keeps the bytes for the output. It always reports success.
func (q *Queue) Write(data []byte) (int, error) {
	q.mutex.Lock()
	fits := len(q.waiting)+len(data) <= q.Bound
	if fits {
		q.waiting = append(q.waiting, data...)
	}
	q.mutex.Unlock()
	if !fits {
		q.left.Add(1)
		if q.Observe != nil {
			q.Observe()
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(data), nil
}

// Left returns how many writes were left out.
func (q *Queue) Left() int64 { return q.left.Load() }

// Run writes until the context is done, and then once more.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			q.Flush()
			return
		case <-q.wake:
			q.Flush()
		}
	}
}

// Flush writes what waits. A failing output loses it: there is no other place
// to tell of that.
func (q *Queue) Flush() {
	q.mutex.Lock()
	data := q.waiting
	q.waiting = nil
	q.mutex.Unlock()
	if len(data) > 0 {
		_, _ = q.Output.Write(data)
	}
}

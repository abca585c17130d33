package logger

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a writer that never blocks. It buffers writes up to a number of bytes and drops
// whole writes that exceed it. It is safe for concurrent use.
type Queue struct {
	// Output receives the bytes.
	Output io.Writer
	// MaxBytes is the maximum number of buffered bytes.
	MaxBytes int
	// OnDrop is called for each write that is dropped. It may be nil.
	OnDrop func()

	mutex    sync.Mutex
	buffered []byte
	wake     chan struct{}
	dropped  atomic.Int64
}

// Init prepares the Queue. It must be called before Write and Run.
func (q *Queue) Init() { q.wake = make(chan struct{}, 1) }

// Write buffers the bytes for the output. It always reports success.
func (q *Queue) Write(data []byte) (int, error) {
	q.mutex.Lock()
	fits := len(q.buffered)+len(data) <= q.MaxBytes
	if fits {
		q.buffered = append(q.buffered, data...)
	}
	q.mutex.Unlock()
	if !fits {
		q.dropped.Add(1)
		if q.OnDrop != nil {
			q.OnDrop()
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(data), nil
}

// Dropped returns the number of dropped writes.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes buffered bytes to the output until the context is done, and then a last time.
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

// Flush writes the buffered bytes to the output. They are lost if the output fails; the error
// is ignored because there is no other place to report it.
func (q *Queue) Flush() {
	q.mutex.Lock()
	data := q.buffered
	q.buffered = nil
	q.mutex.Unlock()
	if len(data) > 0 {
		_, _ = q.Output.Write(data)
	}
}

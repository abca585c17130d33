package reporter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// byteRate bounds the bytes a second that a host sends to its peers, over
	// all links. It leaves a part of the 6 KB/s of control traffic to polls.
	byteRate = 4500
	// byteBurst is what may be sent at once after a quiet time.
	byteBurst = 10_000
)

// budget bounds what a host sends to its peers. A message is sent whole, and the
// next one waits until it is paid for. It is safe for concurrent use, and its zero
// value is ready.
type budget struct {
	once  sync.Once
	limit *rate.Limiter
	mutex sync.Mutex
	until time.Time // when what was sent is paid for
}

func (b *budget) init() { b.limit = rate.NewLimiter(byteRate, byteBurst) }

// spend notes that bytes were sent.
func (b *budget) spend(now time.Time, bytes int) {
	b.once.Do(b.init)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for bytes > 0 {
		part := min(bytes, byteBurst)
		bytes -= part
		if until := now.Add(b.limit.ReserveN(now, part).DelayFrom(now)); until.After(b.until) {
			b.until = until
		}
	}
}

// wait returns how long the next message has to wait.
func (b *budget) wait(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.until.Sub(now)
}

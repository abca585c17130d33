package reporter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxBytesPerSecond limits what a host sends to its peers, over all links. It leaves
	// a part of the 6 KB/s limit of control traffic for polls of the platform.
	maxBytesPerSecond = 4500
	// maxBurstBytes is what a host may send at once after an idle period.
	maxBurstBytes = 10_000
)

// budget limits the rate at which a host sends to its peers. A message of any size is
// sent at once, and the next message waits until the average rate is below the limit
// again. It is safe for concurrent use, and its zero value is ready.
type budget struct {
	once         sync.Once
	limiter      *rate.Limiter
	mutex        sync.Mutex
	blockedUntil time.Time // when the next message may be sent
}

func (b *budget) createLimiter() { b.limiter = rate.NewLimiter(maxBytesPerSecond, maxBurstBytes) }

// recordSent charges the sent bytes to the budget.
func (b *budget) recordSent(now time.Time, bytes int) {
	b.once.Do(b.createLimiter)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for bytes > 0 {
		part := min(bytes, maxBurstBytes)
		bytes -= part
		if blockedUntil := now.Add(b.limiter.ReserveN(now, part).DelayFrom(now)); blockedUntil.After(b.blockedUntil) {
			b.blockedUntil = blockedUntil
		}
	}
}

// delay returns how long the next message has to wait. It may be negative.
func (b *budget) delay(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.blockedUntil.Sub(now)
}

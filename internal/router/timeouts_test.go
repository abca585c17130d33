package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTimeoutStats returns statistics of normally distributed timeouts.
func newTimeoutStats(mean, deviation time.Duration) *timeoutStats {
	random := rand.New(rand.NewPCG(1, 1))
	b := &timeoutStats{}
	for range timeoutWindow {
		b.addSample(mean + time.Duration(random.NormFloat64()*float64(deviation)))
	}
	return b
}

// TestShortTimeoutsAreRecognised: a timeout is short if it is further below the mean than
// clients differ, which means that part of it was used in an earlier try.
func TestShortTimeoutsAreRecognised(t *testing.T) {
	similar := newTimeoutStats(2*time.Second, 100*time.Millisecond)
	assert.True(t, similar.isShort(700*time.Millisecond))
	assert.False(t, similar.isShort(1900*time.Millisecond))
	assert.False(t, similar.isShort(1600*time.Millisecond), "the shortfall is less than a client waits before it retries")
	assert.False(t, newTimeoutStats(2*time.Second, time.Second).isShort(700*time.Millisecond), "timeouts of clients differ this much")
	assert.False(t, (&timeoutStats{}).isShort(time.Millisecond), "there are no samples")
}

// TestLastingTimeoutChangeIsLearned: a burst of short timeouts must change the statistics only
// a little, but a lasting change must be learned.
func TestLastingTimeoutChangeIsLearned(t *testing.T) {
	b := newTimeoutStats(2*time.Second, 100*time.Millisecond)
	for range 100 {
		b.addSample(700 * time.Millisecond)
	}
	assert.True(t, b.isShort(700*time.Millisecond))
	for range 20 * timeoutWindow {
		b.addSample(700 * time.Millisecond)
	}
	assert.False(t, b.isShort(700*time.Millisecond))
}

// TestRetriesArePlacedLast: a retry starts at once while there is capacity. Otherwise it is
// placed after a new job, even if that arrives later.
func TestRetriesArePlacedLast(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.router.routeModelOf("r").timeouts = *newTimeoutStats(2*time.Second, 100*time.Millisecond)
	started := func(id string) bool { return b.router.jobs[id].mayHaveStarted }
	b.step(Submit{Request: 1, Job: twoTaskJob("retry"), Budget: 700 * time.Millisecond})
	assert.True(t, started("retry"))
	b.step(Submit{Request: 2, Job: twoTaskJob("again"), Budget: 700 * time.Millisecond})
	b.step(Submit{Request: 3, Job: twoTaskJob("new"), Budget: 2 * time.Second})
	assert.True(t, b.router.isPlacedBefore(b.router.jobs["new"], b.router.jobs["again"]))
}

// TestShortTimeoutIsRetryOnlyAfterLoss: a short timeout is a sign of a retry only after the
// start of this host or the loss of another host.
func TestShortTimeoutIsRetryOnlyAfterLoss(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	known := *newTimeoutStats(2*time.Second, 100*time.Millisecond)
	submit := func(id string) bool {
		b.router.routeModelOf("r").timeouts = known
		b.step(Submit{Request: uint64(len(b.router.jobs) + 1), Job: twoTaskJob(id), Budget: 700 * time.Millisecond})
		return b.router.jobs[id].likelyRetry
	}
	assert.True(t, submit("first"), "this host has just started")
	b.now = b.now.Add(retryPeriod)
	assert.False(t, submit("second"))
	b.receiveHeartbeatFrom("10.0.0.9:1")
	b.step(PeerExited{Address: "10.0.0.9:1"})
	assert.True(t, submit("third"))
}

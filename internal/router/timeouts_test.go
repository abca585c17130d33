package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// timeoutsOf returns what is learned from timeouts about a mean.
func timeoutsOf(mean, deviation time.Duration) *timeouts {
	random := rand.New(rand.NewPCG(1, 1))
	b := &timeouts{}
	for range timeoutWindow {
		b.take(mean + time.Duration(random.NormFloat64()*float64(deviation)))
	}
	return b
}

// TestShortTimeouts: a timeout that lacks more than clients differ by was used in part.
func TestShortTimeouts(t *testing.T) {
	alike := timeoutsOf(2*time.Second, 100*time.Millisecond)
	assert.True(t, alike.isShort(700*time.Millisecond))
	assert.False(t, alike.isShort(1900*time.Millisecond))
	assert.False(t, alike.isShort(1600*time.Millisecond), "less than a client waits before it tries again")
	assert.False(t, timeoutsOf(2*time.Second, time.Second).isShort(700*time.Millisecond), "clients differ")
	assert.False(t, (&timeouts{}).isShort(time.Millisecond), "nothing is known")
}

// TestTimeoutsChange: a surge of short timeouts changes little, a lasting change is learned.
func TestTimeoutsChange(t *testing.T) {
	b := timeoutsOf(2*time.Second, 100*time.Millisecond)
	for range 100 {
		b.take(700 * time.Millisecond)
	}
	assert.True(t, b.isShort(700*time.Millisecond))
	for range 20 * timeoutWindow {
		b.take(700 * time.Millisecond)
	}
	assert.False(t, b.isShort(700*time.Millisecond))
}

// TestRetryComesLast: a job whose client has waited before starts after one that came
// later, and starts at once while there is room.
func TestRetryComesLast(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.router.historyOf("r").timeouts = *timeoutsOf(2*time.Second, 100*time.Millisecond)
	started := func(id string) bool { return b.router.jobs[id].begun }
	b.step(Submit{Request: 1, Job: pair("retry"), Budget: 700 * time.Millisecond})
	assert.True(t, started("retry"))
	b.step(Submit{Request: 2, Job: pair("again"), Budget: 700 * time.Millisecond})
	b.step(Submit{Request: 3, Job: pair("new"), Budget: 2 * time.Second})
	assert.True(t, b.router.precedes(b.router.jobs["new"], b.router.jobs["again"]))
}

// TestClientsInAHurry: while no host was lost, a short timeout is no sign of an earlier try.
func TestClientsInAHurry(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	known := *timeoutsOf(2*time.Second, 100*time.Millisecond)
	submit := func(id string) bool {
		b.router.historyOf("r").timeouts = known
		b.step(Submit{Request: uint64(len(b.router.jobs) + 1), Job: pair(id), Budget: 700 * time.Millisecond})
		return b.router.jobs[id].waited
	}
	assert.True(t, submit("young"), "the host itself has just started")
	b.now = b.now.Add(retrySpan)
	assert.False(t, submit("hurry"))
	b.neighbour("10.0.0.9:1")
	b.step(PeerExited{Address: "10.0.0.9:1"})
	assert.True(t, submit("again"))
}

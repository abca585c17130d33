package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestManyUnknownRunsAreStoppedInTurn guards against a host that ends for lack of memory, since a target
// lists tens of thousands of runs that each get a stop at once, again and again.
func TestManyUnknownRunsAreStoppedInTurn(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	running := make([]RunningTask, 20_000)
	for i := range running {
		running[i] = RunningTask{Task: fmt.Sprintf("x%05d.0.0.0", i), Run: 1}
	}
	stops := 0
	for range 30 {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		effects := b.step(Tick{})
		effects = append(effects, b.step(RenewAnswered{Target: "p", Token: b.router.targets["p"].token, SentAt: b.now, Poll: true, Result: Running, Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now}, Running: running})...)
		count := len(effectsOf[Stop](effects))
		assert.LessOrEqual(t, count, 100)
		assert.Less(t, len(effectsOf[Decision](effects)), 110)
		stops += count
		running = running[count:] // the target obeys
	}
	assert.Greater(t, stops, 150)
}

// TestRunThatIsListedForeverIsAskedForAtIntervals guards against a host that asks a target as fast as it
// answers, since the target lists a run that no stop ends.
func TestRunThatIsListedForeverIsAskedForAtIntervals(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	pending := effectsOf[Renew](b.advance(b.router.Bounds.IdleRenewInterval))
	renewals := 0
	for range 1_000 {
		b.now = b.now.Add(time.Millisecond)
		answered := pending
		pending = nil
		for _, renew := range answered {
			renewals++
			pending = append(pending, effectsOf[Renew](b.answerRenewal(renew, RunningTask{}))...)
		}
		pending = append(pending, effectsOf[Renew](b.step(Tick{}))...)
	}
	assert.Greater(t, renewals, 10)
	assert.Less(t, renewals, 100, "in one second")
}

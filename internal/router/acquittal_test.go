package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestartAfterLeaseIsNoCrash guards against a job that fails because targets that were cut off have
// restarted long after its runs had lapsed there.
func TestRestartAfterLeaseIsNoCrash(t *testing.T) {
	b := newCrashBed(t, 5)
	starts := b.crashTwice("x")
	b.deadly = ""
	for _, e := range starts {
		b.restart(e.Target.ID)
	}
	b.run(time.Second)
	for _, v := range b.answers {
		assert.NotEqual(t, Crashes, v.Reason)
	}
}

// acquitSecondTarget lets a task crash one target and fall silent at a second one, which answers again. The
// task has started at a third target then.
func (b *crashBed) acquitSecondTarget(id string) []Start {
	b.t.Helper()
	starts := b.crashTwice(id)
	b.deadly = ""
	b.running[starts[1].Target.ID] = make(map[string]int) // the same process
	b.run(500 * time.Millisecond)
	require.Len(b.t, b.startsOf(id+".0.0.0"), 3)
	return starts
}

// TestOlderCopyOfClearedCrashIsIgnored guards against a job that fails because another host still suspects a
// target that has answered here since.
func TestOlderCopyOfClearedCrashIsIgnored(t *testing.T) {
	b := newCrashBed(t, 5)
	starts := b.acquitSecondTarget("x")
	for _, e := range starts {
		b.restart(e.Target.ID)
	}
	b.run(500 * time.Millisecond)
	second := starts[1].Target.ID
	b.router.mergeCrashes([]Crash{{Job: "x", Target: second, StartedAt: bornAt}}, "")
	for _, c := range b.router.crashes.crashesOf("x", 0) {
		assert.NotEqual(t, second, c.Target)
	}
	assert.Empty(t, b.answers)
}

// TestClearedCrashIsForgottenByHostOfClient guards against a job that fails at its next holder because
// its client's host was told of a suspicion, but not that the target has answered since.
func TestClearedCrashIsForgottenByHostOfClient(t *testing.T) {
	const address = "10.0.0.9:1"
	b := newCrashBed(t, 5)
	b.receiveHeartbeatFrom(address)
	b.deadly = "x.0.0.0"
	b.settle(b.step(Receive{From: address, Message: Message{Offer: &Offer{Job: longJob("x"), TimeLeft: 9 * time.Second, SubmissionID: 7}}}))
	runWithPeer := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			b.run(100 * time.Millisecond)
			b.receiveHeartbeatFrom(address)
		}
	}
	runWithPeer(1500 * time.Millisecond)
	b.deadly = ""
	first := b.startsOf("x.0.0.0")[0].Target.ID
	b.running[first] = make(map[string]int) // the same process
	runWithPeer(500 * time.Millisecond)
	require.Contains(t, b.logged, "acquit "+first)
	origin := newOriginBed(t)
	for _, m := range b.sent {
		if m.Progress != nil {
			origin.step(Receive{From: origin.peer.Address, Message: m})
		}
	}
	for _, c := range origin.router.crashes.crashesOf("x", 0) {
		assert.NotEqual(t, first, c.Target)
	}
}

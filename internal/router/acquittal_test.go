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
	starts := b.loseTwice("x")
	for _, e := range starts {
		b.restart(e.Target.ID)
	}
	b.run(time.Second)
	for _, v := range b.answers {
		assert.NotEqual(t, Crashes, v.Reason)
	}
}

// acquitSecondTarget lets two targets fall silent under a task, of which the second one answers again. The
// task has started at a third target then.
func (b *crashBed) acquitSecondTarget(id string) []Start {
	b.t.Helper()
	starts := b.loseTwice(id)
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
	b.run(b.router.Bounds.IdleRenewInterval + time.Second)
	second := starts[1].Target.ID
	require.Greater(t, b.router.targets[second].incarnation, int64(bornAt))
	b.hear([]Crash{{Job: "x", Target: second, StartedAt: bornAt}})
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

// TestConfirmationOfEarlierBuildIsNoProof guards against a job that fails on the word of a host of an
// earlier build, which takes a later restart of a target for proof.
func TestConfirmationOfEarlierBuildIsNoProof(t *testing.T) {
	b := newCrashBed(t, 5)
	b.submit(longJob("x"))
	crashes := confirmedCrashes("x")
	for i := range crashes {
		crashes[i].Run = 0
	}
	b.hear(crashes)
	assert.Empty(t, b.answers)
	assert.Len(t, b.router.crashes.crashesOf("x", 0), 2)

	origin := newOriginBed(t)
	effects := origin.step(Submit{Request: 1, Job: longJob("x"), Budget: 9 * time.Second})
	require.Len(t, offers(effects), 1)
	verdicts := answers(origin.receiveVerdict(Verdict{ID: "x", Outcome: Failed, Reason: suspectedCrashes}))
	require.Len(t, verdicts, 1)
	assert.Equal(t, Expired, verdicts[0].Reason)
	assert.Equal(t, crashRetention, verdicts[0].RetryAfter)
}

// TestTaskIsNotStartedAfterThreeLostRuns guards against a task that crashes target after target, none of
// which shows that it has crashed. The client is told once no answer can clear the targets any more.
func TestTaskIsNotStartedAfterThreeLostRuns(t *testing.T) {
	b := newCrashBed(t, 6)
	b.deadly = "x.0.0.0"
	b.submit(longJob("x"))
	b.run(8 * time.Second)
	starts := b.startsOf("x.0.0.0")
	require.Len(t, starts, 3)
	assert.Empty(t, b.answers)
	for _, e := range starts {
		b.restart(e.Target.ID)
	}
	b.run(time.Second)
	require.Len(t, b.answers, 1)
	assert.Equal(t, Expired, b.answers[0].Reason)
	assert.InDelta(t, heldRetention.Seconds(), b.answers[0].RetryAfter.Seconds(), 1)
	b.run(crashRetention + time.Second)
	b.submit(longJob("x"))
	require.Len(t, b.answers, 2)
	assert.Equal(t, Expired, b.answers[1].Reason)
	assert.Len(t, b.startsOf("x.0.0.0"), 3)
}

// TestClearedTargetFreesTask guards against a task that is never started again, although the targets under
// which its runs were lost were only cut off.
func TestClearedTargetFreesTask(t *testing.T) {
	b := newCrashBed(t, 6)
	b.deadly = "x.0.0.0"
	b.submit(longJob("x"))
	b.run(7 * time.Second)
	starts := b.startsOf("x.0.0.0")
	require.Len(t, starts, 3)
	b.deadly = ""
	b.running[starts[0].Target.ID] = make(map[string]int) // the same process
	b.run(500 * time.Millisecond)
	assert.Len(t, b.startsOf("x.0.0.0"), 4)
}

// TestEndAfterLeaseIsNoCrash guards against a crash that is confirmed although the runs may have lapsed before
// their process ended.
func TestEndAfterLeaseIsNoCrash(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
		b := newCrashBed(t, 3)
		b.deadly = "x.0.0.0"
		b.submit(longJob("x"))
		b.deadly = ""
		b.run(silence)
		b.restart(b.starts[0].Target.ID)
		b.run(2 * time.Second)
		crashes := b.router.crashes.crashesOf("x", 0)
		require.Len(t, crashes, 1)
		assert.Equal(t, silence < time.Second, crashes[0].Confirmed, silence)
	}
}

// TestCrashOfProcessThatAnswersIsCleared guards against a crash that is held against a task although the
// process lists its runs again.
func TestCrashOfProcessThatAnswersIsCleared(t *testing.T) {
	b := newCrashBed(t, 3)
	b.submit(longJob("x"))
	b.run(100 * time.Millisecond)
	id := b.starts[0].Target.ID
	b.settle(b.step(RenewAnswered{Target: id, Token: b.router.targets[id].token, SentAt: b.now, Result: Replaced}))
	require.Equal(t, []string{"crash " + id}, b.logged)
	delete(b.running[id], "x.0.0.0")
	b.run(time.Second)
	assert.Empty(t, b.router.crashes.crashesOf("x", 0))
	assert.Contains(t, b.logged, "acquit "+id)
}

// TestOneProcessIsOneCrash guards against a job that fails because two holders have lost runs with the same
// process.
func TestOneProcessIsOneCrash(t *testing.T) {
	b := newCrashBed(t, 5)
	b.submit(longJob("x"))
	crashes := confirmedCrashes("x")
	crashes[1].Target = crashes[0].Target
	b.hear(crashes)
	assert.Len(t, b.router.crashes.crashesOf("x", 0), 2)
	assert.Empty(t, b.answers)
}

// TestLateAnswerOfOtherProcessIsNoCrash guards against a crash that is confirmed by an answer to an order that was
// sent before the process listed its runs.
func TestLateAnswerOfOtherProcessIsNoCrash(t *testing.T) {
	b := newCrashBed(t, 3)
	b.submit(longJob("x"))
	b.run(100 * time.Millisecond)
	id := b.starts[0].Target.ID
	askedAt := b.router.targets[id].runListAt.Add(-time.Millisecond)
	b.settle(b.step(RenewAnswered{Target: id, Token: b.router.targets[id].token, SentAt: askedAt, Result: Replaced}))
	assert.Equal(t, []string{"undecided " + id}, b.logged)
}

// TestCrashIsSettledByProcessOfLowerStartTime guards against a loss that is not recorded because the clock of the
// target was set back before its next process started.
func TestCrashIsSettledByProcessOfLowerStartTime(t *testing.T) {
	b := newCrashBed(t, 3)
	b.deadly = "x.0.0.0"
	b.submit(longJob("x"))
	b.deadly = ""
	id := b.starts[0].Target.ID
	b.restart(id)
	b.startedAt[id] = bornAt - 1000
	b.run(time.Second)
	crashes := b.router.crashes.crashesOf("x", 0)
	require.Len(t, crashes, 1)
	assert.True(t, crashes[0].Confirmed)
}

// TestAcquittalsAreBounded guards against hosts that replace each other's acquittals for ever, and against
// acquittals that replace crashes.
func TestAcquittalsAreBounded(t *testing.T) {
	var l crashLedger
	now := time.Unix(testEpoch, 0)
	for i := range maxAcquittals {
		assert.True(t, l.acquit(Crash{Job: "x", Target: "p", StartedAt: 1, Run: i + 1}, now))
	}
	assert.False(t, l.acquit(Crash{Job: "x", Target: "p", StartedAt: 1, Run: 99}, now.Add(time.Second)))
	assert.Equal(t, now, l.entries[taskKey{"x", 0}].changedAt)
	for i := range maxCrashEntries {
		l.add(Crash{Job: "j", Task: i, Target: "p", StartedAt: 1, Run: 1}, now)
	}
	assert.False(t, l.acquit(Crash{Job: "y", Target: "p", StartedAt: 1, Run: 1}, now))
	assert.Nil(t, l.entries[taskKey{"y", 0}])
}

// TestLostRunIsReportedAtOnce guards against a next holder that does not know of a run which was lost less than
// a second before its holder.
func TestLostRunIsReportedAtOnce(t *testing.T) {
	const address = "10.0.0.9:1"
	b := newCrashBed(t, 5)
	b.receiveHeartbeatFrom(address)
	b.deadly = "x.0.0.0"
	b.submit(longJob("x"))
	b.deadly = ""
	for len(b.router.crashes.crashesOf("x", 0)) == 0 {
		b.run(b.router.Bounds.TickInterval)
		b.receiveHeartbeatFrom(address)
	}
	b.sent = nil
	b.run(b.router.Bounds.HeartbeatInterval + b.router.Bounds.TickInterval)
	reported := 0
	for _, m := range b.sent {
		if m.Heartbeat != nil {
			reported += len(m.Heartbeat.Crashes)
		}
	}
	assert.Equal(t, 1, reported)
}

// TestSilentTargetOfLostCellIsSuspected guards against a deadly task that is started once more by each holder, since
// the former one lost its cell before the run had lapsed.
func TestSilentTargetOfLostCellIsSuspected(t *testing.T) {
	b := newCrashBed(t, 5)
	b.deadly = "x.0.0.0"
	b.submit(longJob("x"))
	b.run(800 * time.Millisecond)
	require.Empty(t, b.router.crashes.crashesOf("x", 0))
	lost := b.router.targets[b.starts[0].Target.ID]
	require.Positive(t, lost.missedRenewals)
	b.router.releaseTarget(lost)
	assert.Len(t, b.router.crashes.crashesOf("x", 0), 1)
}

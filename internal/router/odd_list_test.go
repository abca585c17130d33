package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOddTaskNamesInRunListDoNotEndHost guards against a panic over a task number that no job has, and
// against the end of another step's task counting for this one.
func TestOddTaskNamesInRunListDoNotEndHost(t *testing.T) {
	for _, name := range []string{"j.0.0.-1", "j.0.0.-9223372036854775808", "j.0.0.+0", "j.0.0.00", "j.5.0.0", "j.0.3.0", "j.0.0.9223372036854775807", "j.0.0.1e9", "j", "", "...."} {
		b := newHolderBed(t, 1, ClaimWon)
		j := twoTaskJob("j")
		starts := effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second}))
		require.Len(t, starts, 2, name)
		answer := RenewAnswered{Target: "p", Token: starts[0].Token, SentAt: b.now, Poll: true, Result: Running, Clock: Reading{Millis: 1_000, At: b.now}}
		answer.Ended = []End{{Number: 1, Task: name, Run: 1, Reason: EndDone}}
		require.NotPanics(t, func() { b.step(answer) }, name)
		assert.Zero(t, b.router.jobs["j"].doneCount, name)
		answer.Ended, answer.Running = nil, []RunningTask{{Task: name, Run: 1}}
		var effects []Effect
		require.NotPanics(t, func() { effects = b.step(answer) }, name)
		assert.Empty(t, effectsOf[Violation](effects), name)
		assert.Contains(t, b.router.targets["p"].orphanRunNumbers, name)
	}
}

// TestRunListAfterOddClockCounts guards against a target whose lists count no more, since one answer
// had a reading that its clock never reaches again.
func TestRunListAfterOddClockCounts(t *testing.T) {
	for _, odd := range []int64{math.MaxInt64, 1 << 53, 1 << 42, 2_000_000} {
		b := newHolderBed(t, 2, ClaimWon)
		start, _ := b.startTask("j", Running)
		list := func(millis int64, running ...RunningTask) []Effect {
			b.now = b.now.Add(20 * time.Millisecond)
			sentAt := b.now
			b.now = b.now.Add(2 * time.Millisecond)
			return b.step(RenewAnswered{Target: start.Target.ID, Token: start.Token, SentAt: sentAt, Poll: true, Result: Running, Clock: Reading{Millis: millis, At: b.now}, Running: running})
		}
		list(odd, RunningTask{Task: start.Task, Run: start.Run})
		list(1_000, RunningTask{Task: start.Task, Run: start.Run}, RunningTask{Task: "x.0.0.0", Run: 3})
		assert.Contains(t, b.router.targets[start.Target.ID].orphanRunNumbers, "x.0.0.0", "clock %d", odd)
		assert.Len(t, effectsOf[Start](list(1_020)), 1, "the lost run is repeated after clock %d", odd)
	}
}

// TestOvertakenRunListIsIgnored: of two lists that were under way at once, the one with the later
// reading of the target's clock counts.
func TestOvertakenRunListIsIgnored(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	sentAt := b.now
	start, _ := b.startTask("j", Running)
	b.now = b.now.Add(10 * time.Millisecond)
	answer := RenewAnswered{Target: "p", Token: start.Token, SentAt: sentAt, Poll: true, Result: Running, Clock: Reading{Millis: 1_000, At: b.now}, Running: []RunningTask{{Task: "x.0.0.0", Run: 3}}}
	b.step(answer)
	answer.Clock.Millis, answer.Running = 990, nil
	b.step(answer)
	assert.Contains(t, b.router.targets["p"].orphanRunNumbers, "x.0.0.0")
}

// TestRunThatListMayHoldUnreadablyIsNotRepeated guards against a task that runs twice, since the row of
// its run in the target's list could not be decoded.
func TestRunThatListMayHoldUnreadablyIsNotRepeated(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	start, _ := b.startTask("j", Running)
	list := func(partial bool) []Effect {
		b.now = b.now.Add(20 * time.Millisecond)
		return b.step(RenewAnswered{Target: start.Target.ID, Token: start.Token, SentAt: b.now, Poll: true, Result: Running, Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now}, Partial: partial})
	}
	effects := list(true)
	assert.Empty(t, effectsOf[Start](effects))
	target := b.router.targets[start.Target.ID]
	assert.NotEmpty(t, target.runs)
	assert.False(t, b.router.isUsable(target), "an unknown run takes part of its room")
	b.now = b.now.Add(b.router.Bounds.IdleRenewInterval)
	for _, renew := range effectsOf[Renew](b.step(Tick{})) {
		if renew.Target.ID == start.Target.ID {
			assert.Zero(t, renew.LeaseEnd, "the unknown run would run on")
		}
	}
	effects = list(false)
	require.Len(t, effectsOf[Start](effects), 1)
	assert.True(t, b.router.isUsable(target))
}

// TestReofferedJobWaitsForUnreadableRuns guards against a second run of a previous holder's task beside
// one that a target lists unreadably.
func TestReofferedJobWaitsForUnreadableRuns(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	j := twoTaskJob("j")
	j.Stretch = 30
	b.now = b.now.Add(20 * time.Millisecond)
	effects := b.step(Receive{From: "10.0.0.9:1", Message: Message{Heartbeat: &Heartbeat{Member: Member{Name: "n", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	token := b.router.cells["north"].claim.Token
	effects = append(effects, b.step(Receive{From: "10.0.0.9:1", Message: Message{Offer: &Offer{
		Job: j, TimeLeft: 9 * time.Second, SubmissionID: b.now.UnixNano(), Token: token, Reoffered: true, PreviousZones: []string{"north"},
	}}})...)
	require.Empty(t, effectsOf[Start](effects))
	list := func(partial bool) []Effect {
		b.now = b.now.Add(20 * time.Millisecond)
		return b.step(RenewAnswered{Target: "p", Token: token, SentAt: b.now, Poll: true, Result: Running, Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now}, Partial: partial})
	}
	assert.Empty(t, effectsOf[Start](list(true)))
	assert.False(t, b.router.isQuarantineOver(b.router.jobs["j"]))
	assert.Len(t, effectsOf[Start](list(false)), 2)
}

// TestRunAfterHugeRunNumberIsPositive guards against run numbers that overflow, which every target
// rejects.
func TestRunAfterHugeRunNumberIsPositive(t *testing.T) {
	for _, number := range []int{math.MaxInt, math.MaxInt - 1, 1 << 53} {
		b := newHolderBed(t, 2, ClaimWon)
		list := func(running ...RunningTask) []Effect {
			b.now = b.now.Add(20 * time.Millisecond)
			return b.step(RenewAnswered{Target: "p", Token: b.router.targets["p"].token, SentAt: b.now, Poll: true, Result: Running, Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now}, Running: running})
		}
		list(RunningTask{Task: "j.0.0.0", Run: number})
		j := twoTaskJob("j")
		j.Count = 1
		require.Empty(t, effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second})), "it runs already")
		starts := effectsOf[Start](list())
		require.Len(t, starts, 1, "run %d", number)
		assert.Positive(t, starts[0].Run, "run %d", number)
	}
}

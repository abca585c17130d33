package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resize delivers a directory in which all targets have the given CPU capacity.
func (b *holderBed) resize(cpu int) []Effect {
	entries := newTargets(len(b.router.directory.Targets))
	for i := range entries {
		entries[i].Capacity.CPU = cpu
	}
	return b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: b.router.directory.Version + 1, Targets: entries}})
}

// TestJobThatFitsOnlyFullCapacityIsRefused: a job that fits no target while the capacities are
// small must be refused for the time being. A job that has never fitted must fail at once.
func TestJobThatFitsOnlyFullCapacityIsRefused(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	b.resize(500)
	got := answers(b.step(Submit{Request: 1, Job: twoTaskJob("fits later"), Budget: 5 * time.Second}))
	require.Len(t, got, 1)
	assert.Equal(t, Refused, got[0].Outcome)
	assert.Equal(t, Overload, got[0].Reason)
	assert.Equal(t, maxRetryAfter, got[0].RetryAfter)
	large := twoTaskJob("fits never")
	large.Need.CPU = 2001
	got = answers(b.step(Submit{Request: 2, Job: large, Budget: 5 * time.Second}))
	require.Len(t, got, 1)
	assert.Equal(t, Failed, got[0].Outcome)
	assert.Equal(t, DoesNotFit, got[0].Reason)
	b.resize(2000)
	assert.Len(t, effectsOf[Start](b.step(Submit{Request: 3, Job: twoTaskJob("again"), Budget: 5 * time.Second})), 2)
}

// TestOverfullTargetHidesNoRoom: a target whose runs exceed its shrunk capacity must not count
// against the room of the other targets, nor as more than full.
func TestOverfullTargetHidesNoRoom(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})), 2)
	entries := newTargets(2)
	full := 0
	if b.router.targets["q"].used.CPU > 0 {
		full = 1
	}
	entries[full].Capacity.CPU = 0
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: entries}})
	b.router.holderPerZone = true
	assert.Equal(t, map[string]int{"work": 2}, b.router.headroom())
	assert.Zero(t, b.router.currentUtilization())
}

// answeringBed is a holderBed whose targets answer renewals at the next tick.
type answeringBed struct {
	*holderBed
	pending []Renew
}

// startsOf returns the starts among effects, and keeps the renewals.
func (b *answeringBed) startsOf(effects []Effect) []Start {
	b.pending = append(b.pending, effectsOf[Renew](effects)...)
	return effectsOf[Start](effects)
}

// startsWithin advances the time and returns the starts.
func (b *answeringBed) startsWithin(d time.Duration) []Start {
	var starts []Start
	for end := b.now.Add(d); b.now.Before(end); {
		pending := b.pending
		b.pending = nil
		starts = append(starts, b.startsOf(b.advance(b.router.Bounds.TickInterval))...)
		for _, renew := range pending {
			starts = append(starts, b.startsOf(b.answerRenewal(renew))...)
		}
	}
	return starts
}

// TestTargetWithoutRoomIsNotTriedAgain: a target that has rejected a task for lack of room must
// not get another for the same room before its entry shows the capacity or is overdue.
func TestTargetWithoutRoomIsNotTriedAgain(t *testing.T) {
	for _, isShown := range []bool{false, true} {
		b := &answeringBed{holderBed: newHolderBed(t, 1, ClaimWon)}
		j := twoTaskJob("j")
		j.Count, j.Stretch = 1, 100
		starts := b.startsOf(b.step(Submit{Request: 1, Job: j, Budget: 20 * time.Second}))
		require.Len(t, starts, 1)
		rejection := StartAnswered{Target: "p", Task: starts[0].Task, Run: starts[0].Run, Result: NoCapacity}
		require.Empty(t, b.startsOf(b.step(rejection)))
		assert.Empty(t, b.startsWithin(2*time.Second))
		if isShown {
			assert.Empty(t, b.startsOf(b.resize(500)))
			assert.Len(t, b.startsOf(b.resize(2000)), 1)
		} else {
			assert.Len(t, b.startsWithin(2*time.Second), 1)
		}
	}
}

// TestRoomOfOrphanIsUsedOnceItIsGone: a target that had no room because of a run that its holder
// did not know must get tasks again as soon as that run has ended.
func TestRoomOfOrphanIsUsedOnceItIsGone(t *testing.T) {
	b := &answeringBed{holderBed: newHolderBed(t, 1, ClaimWon)}
	j := twoTaskJob("j")
	j.Count, j.Stretch = 1, 100
	starts := b.startsOf(b.step(Submit{Request: 1, Job: j, Budget: 20 * time.Second}))
	require.Len(t, starts, 1)
	require.Empty(t, b.startsOf(b.step(StartAnswered{Target: "p", Task: starts[0].Task, Run: starts[0].Run, Result: NoCapacity})))
	require.NotEmpty(t, b.pending)
	require.Empty(t, b.startsOf(b.answerRenewal(b.pending[0], RunningTask{Task: "orphan.0.0.0", Run: 1})))
	b.pending = b.pending[1:]
	assert.Len(t, b.startsWithin(1500*time.Millisecond), 1)
}

// list delivers a directory with the given targets.
func (b *holderBed) list(targets ...Target) []Effect {
	return b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: b.router.directory.Version + 1, Targets: targets}})
}

// submitOf submits a job of one task that needs an amount of CPU, and returns its answer.
func (b *holderBed) submitOf(id string, cpu int) Verdict {
	b.t.Helper()
	j := twoTaskJob(id)
	j.Count, j.Need.CPU = 1, cpu
	got := answers(b.step(Submit{Request: uint64(100 + len(id)), Job: j, Budget: 5 * time.Second}))
	require.Len(b.t, got, 1)
	return got[0]
}

// TestCapacityOfGoneEntryIsForgotten: a job that fits no target, but would have fitted one that
// has left, must fail and not be told to come back for ever.
func TestCapacityOfGoneEntryIsForgotten(t *testing.T) {
	restarted, otherKind := newTargets(3), newTargets(3)
	restarted[2].StartedAt, otherKind[2].StartedAt, otherKind[2].Labels = 2, 1, []string{"b"}
	for name, later := range map[string][]Target{"gone": newTargets(2), "restarted": restarted, "of another kind": otherKind} {
		t.Run(name, func(t *testing.T) {
			b := newHolderBed(t, 2, ClaimWon)
			large := newTargets(3)
			large[2].Capacity.CPU, large[2].StartedAt = 9000, 1
			b.list(large...)
			b.list(later...)
			b.advance(b.router.Bounds.UnlistedGrace + 2*b.router.Bounds.TickInterval)
			got := b.submitOf("never", 8000)
			assert.Equal(t, Failed, got.Outcome)
			assert.Equal(t, DoesNotFit, got.Reason)
		})
	}
}

// TestCapacityOfUnlistedTargetIsForgottenInTime: the full capacity of a shrunk target must be
// remembered while its entry may be back, and not for longer.
func TestCapacityOfUnlistedTargetIsForgottenInTime(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	b.list(newTargets(2)...)
	b.resize(500)
	b.list()
	b.advance(b.router.Bounds.UnlistedGrace - b.router.Bounds.TickInterval)
	shrunk := newTargets(2)
	shrunk[0].Capacity.CPU, shrunk[1].Capacity.CPU = 500, 500
	b.list(shrunk...)
	assert.Equal(t, Refused, b.submitOf("a", 1000).Outcome)
	b.list(shrunk[0])
	b.list()
	b.advance(b.router.Bounds.UnlistedGrace + 2*b.router.Bounds.TickInterval)
	assert.Empty(t, b.router.shownCapacities)
	b.list(shrunk...)
	got := b.submitOf("bb", 1000)
	assert.Equal(t, Failed, got.Outcome)
	assert.Equal(t, DoesNotFit, got.Reason)
}

// TestHugeNeedFitsNowhere: the need of a task added to what a target has in use must not exceed
// the range of an int, by which a task too large for every target would seem to fit.
func TestHugeNeedFitsNowhere(t *testing.T) {
	for name, need := range map[string]Resources{"CPU": {CPU: math.MaxInt}, "memory": {Memory: math.MaxInt}, "GPU": {GPU: math.MaxInt}} {
		t.Run(name, func(t *testing.T) {
			b := newHolderBed(t, 0, ClaimWon)
			patient := func(id string, need Resources) Submit {
				j := twoTaskJob(id)
				j.Count, j.Need, j.Allowance = 1, need, 20*time.Second
				return Submit{Request: uint64(len(id)), Job: j, Budget: 30 * time.Second}
			}
			require.Empty(t, answers(b.step(patient("a", Resources{CPU: 1000, Memory: 1, GPU: 1}))))
			effects := b.step(patient("bb", need))
			entries := newTargets(1)
			entries[0].Capacity.GPU = 1
			bed := &answeringBed{holderBed: b}
			starts := append(bed.startsOf(effects), bed.startsOf(b.list(entries...))...)
			starts = append(starts, bed.startsWithin(time.Second)...)
			require.Len(t, starts, 1)
			assert.Equal(t, "a.0.0.0", starts[0].Task)
			got := answers(effects)
			require.Len(t, got, 1)
			assert.Equal(t, Failed, got[0].Outcome)
			assert.Equal(t, DoesNotFit, got[0].Reason)
		})
	}
}

// TestStartedJobDoesNotFailAsMisfit guards against a started job that fails because its next holder knows only
// targets that it does not fit.
func TestStartedJobDoesNotFailAsMisfit(t *testing.T) {
	const address = "10.0.0.9:1"
	b := newCrashBed(t, 3)
	b.receiveHeartbeatFrom(address)
	j := longJob("x")
	j.Need.CPU = 2500 // more than any target has now
	b.running["p"]["x.0.0.0"] = 1
	b.settle(b.step(Receive{From: address, Message: Message{Offer: &Offer{
		Job: j, TimeLeft: 9 * time.Second, SubmissionID: 7, Reoffered: true, PreviousZones: []string{"north"}, RunBase: 16, Token: b.router.cells["north"].claim.Token,
	}}}))
	for range 10 {
		b.run(100 * time.Millisecond)
		b.receiveHeartbeatFrom(address)
	}
	for _, m := range b.sent {
		assert.Nil(t, m.Verdict)
	}
	assert.True(t, b.router.jobs["x"].tasks[0].run.isLive())
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestartedTargetLosesOnlyOldRuns: when a target restarts under its ID, its earlier
// runs are over. Runs that were started in its new incarnation, before this host knew
// of the restart, must continue.
func TestRestartedTargetLosesOnlyOldRuns(t *testing.T) {
	const oldStartedAt, newStartedAt = 1_000, 2_000
	for _, listed := range []bool{true, false} {
		b := newHolderBed(t, 1, ClaimWon)
		old, _ := b.startTask("old", Running)
		effects := b.step(RenewAnswered{
			Target: old.Target.ID, Token: old.Token, SentAt: b.now, Result: Running, StartedAt: oldStartedAt,
			Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: old.Task, Run: old.Run}},
		})
		assert.Empty(t, effectsOf[Start](effects))
		b.now = b.now.Add(50 * time.Millisecond)
		requestedAt := b.now
		b.now = b.now.Add(10 * time.Millisecond)
		fresh, _ := b.startTask("fresh", Running) // in the new incarnation
		answer := RenewAnswered{Target: old.Target.ID, Token: old.Token, SentAt: requestedAt, Result: Running, StartedAt: newStartedAt, Clock: Reading{Millis: 30, At: b.now}}
		if listed {
			answer.Running = []RunningTask{{Task: fresh.Task, Run: fresh.Run}}
		}
		effects = b.step(answer)
		require.Len(t, effectsOf[Start](effects), 1, "the old task is started again, listed %t", listed)
		assert.Equal(t, old.Task, effectsOf[Start](effects)[0].Task)
		assert.Empty(t, effectsOf[Stop](effects))
		assert.NotNil(t, b.router.targets[fresh.Target.ID].runs[fresh.Task], "listed %t", listed)
	}
}

// TestTargetRestartInDirectoryTriggersPoll: when the directory shows a new incarnation
// of a target, the target must be polled for its runs.
func TestTargetRestartInDirectoryTriggersPoll(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	list := newTargets(1)
	list[0].StartedAt = 1_000
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: list}})
	old, _ := b.startTask("old", Running)
	list = newTargets(1)
	list[0].StartedAt = 2_000
	b.now = b.now.Add(50 * time.Millisecond)
	effects := b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: list}})
	assert.Empty(t, effectsOf[Start](effects))
	require.Len(t, effectsOf[Renew](effects), 1)
	effects = b.step(RenewAnswered{Target: old.Target.ID, Token: old.Token, SentAt: b.now, Poll: true, Result: Running, StartedAt: 2_000, Clock: Reading{Millis: 30, At: b.now}})
	require.Len(t, effectsOf[Start](effects), 1)
	assert.Equal(t, old.Task, effectsOf[Start](effects)[0].Task)
}

// TestRestartedTargetWaitsForItsEntry: a target that has restarted, as its run list shows, may be
// of another kind than its entry says. It must get no task before the directory has its new entry.
func TestRestartedTargetWaitsForItsEntry(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	list := newTargets(1)
	list[0].StartedAt = 1_000
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: list}})
	token := b.router.targets["p"].token
	b.step(RenewAnswered{Target: "p", Token: token, SentAt: b.now, Poll: true, Result: Running, StartedAt: 2_000, Clock: Reading{Millis: 30, At: b.now}})
	j := twoTaskJob("j")
	j.Stretch = 8
	effects := b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second})
	assert.Empty(t, effectsOf[Start](effects))
	require.Empty(t, answers(effects))
	list = newTargets(1)
	list[0].StartedAt, list[0].Capacity.CPU = 2_000, 1_000
	assert.Len(t, effectsOf[Start](b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: list}})), 1)
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestartedTargetLosesOnlyOldRuns: a target starts again under its ID. What ran before is over;
// what was started in its new life, before this host knew of that, goes on.
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
		fresh, _ := b.startTask("fresh", Running) // by the new life
		answer := RenewAnswered{Target: old.Target.ID, Token: old.Token, SentAt: requestedAt, Result: Running, StartedAt: newStartedAt, Clock: Reading{Millis: 30, At: b.now}}
		if listed {
			answer.Running = []RunningTask{{Task: fresh.Task, Run: fresh.Run}}
		}
		effects = b.step(answer)
		require.Len(t, effectsOf[Start](effects), 1, "the old run is started anew, listed %t", listed)
		assert.Equal(t, old.Task, effectsOf[Start](effects)[0].Task)
		assert.Empty(t, effectsOf[Stop](effects))
		assert.NotNil(t, b.router.targets[fresh.Target.ID].runs[fresh.Task], "listed %t", listed)
	}
}

// TestTargetRestartInDirectoryTriggersPoll: when the list of targets tells of a new life, the target is
// asked what runs there.
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

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLateRunListOfFormerTargetProcessIsIgnored guards against runs that are taken over from the run
// list of a target's former process.
func TestLateRunListOfFormerTargetProcessIsIgnored(t *testing.T) {
	const oldStartedAt, newStartedAt = 1_000, 2_000
	b := newHolderBed(t, 1, ClaimWon)
	old, _ := b.startTask("old", Running)
	answer := RenewAnswered{
		Target: old.Target.ID, Token: old.Token, SentAt: b.now, Poll: true, Result: Running, StartedAt: oldStartedAt,
		Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: old.Task, Run: old.Run}, {Task: "gone.0.0.0", Run: 1}},
	}
	b.step(answer)
	b.now = b.now.Add(50 * time.Millisecond)
	b.step(RenewAnswered{Target: old.Target.ID, Token: old.Token, SentAt: b.now, Poll: true, Result: Running, StartedAt: newStartedAt, Clock: Reading{Millis: 30, At: b.now}})
	target := b.router.targets[old.Target.ID]
	require.EqualValues(t, newStartedAt, target.incarnation)
	b.step(answer)
	assert.EqualValues(t, newStartedAt, target.incarnation)
	assert.Empty(t, target.orphanRunNumbers)
}

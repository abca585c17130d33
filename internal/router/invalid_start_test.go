package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStartThatIsNotUnderstoodIsNoAttempt guards against a job that fails although none of its runs has.
func TestStartThatIsNotUnderstoodIsNoAttempt(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	j := twoTaskJob("j")
	j.Count = 1
	starts := effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second}))
	var verdicts []Verdict
	for range j.MaxAttempts {
		require.Len(t, starts, 1)
		require.Empty(t, verdicts)
		b.now = b.now.Add(time.Millisecond)
		effects := b.step(StartAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Result: Invalid})
		starts, verdicts = effectsOf[Start](effects), answers(effects)
	}
	require.Len(t, verdicts, 1)
	assert.Equal(t, Expired, verdicts[0].Reason)
	assert.Empty(t, starts)
}

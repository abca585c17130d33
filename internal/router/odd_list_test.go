package router

import (
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

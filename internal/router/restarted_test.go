package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answerList answers a renewal with the empty run list of a process.
func (b *holderBed) answerList(e Renew, process int64) []Effect {
	return b.step(RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: b.now, Poll: e.Poll, Result: Running, StartedAt: process})
}

// newProcessBed returns a holder whose targets p and q, of processes 1, have told which processes they are.
func newProcessBed(t *testing.T) *holderBed {
	t.Helper()
	b := newHolderBed(t, 2, ClaimWon)
	for _, e := range effectsOf[Renew](b.readProcesses(1, 1)) {
		b.answerList(e, 1)
	}
	for _, e := range effectsOf[Renew](b.advance(b.router.Bounds.IdleRenewInterval + b.router.Bounds.TickInterval)) {
		b.answerList(e, 1)
	}
	return b
}

// readProcesses reads a directory in which p and q have the given processes.
func (b *holderBed) readProcesses(p, q int64) []Effect {
	targets := newTargets(2)
	targets[0].StartedAt, targets[1].StartedAt = p, q
	return b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: b.router.directory.Version + 1, Targets: targets}})
}

// TestStartIsForListedProcess guards against a task that starts at a target which has restarted as another
// kind: the start must name the process that the holder knows, and the task must start elsewhere.
func TestStartIsForListedProcess(t *testing.T) {
	b := newProcessBed(t)
	j := twoTaskJob("j")
	j.Count = 1
	starts := effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second}))
	require.Len(t, starts, 1)
	assert.EqualValues(t, 1, starts[0].Process.StartedAt)
	assert.Equal(t, b.router.targets[starts[0].Target.ID].lastConfirmedAt, starts[0].Process.ConfirmedAt)

	restarted := starts[0].Target.ID
	effects := b.step(StartAnswered{Target: restarted, Task: starts[0].Task, Run: starts[0].Run, Result: Restarted})
	starts = effectsOf[Start](effects)
	require.Len(t, starts, 1)
	assert.NotEqual(t, restarted, starts[0].Target.ID)
	renews := effectsOf[Renew](effects)
	require.NotEmpty(t, renews)
	assert.Equal(t, restarted, renews[0].Target.ID, "it is asked what it is now")
}

// TestEntryOfOtherProcessIsNotUsed guards against a task that starts at a target whose entry is that of
// another process than its list of runs, an earlier or a later one.
func TestEntryOfOtherProcessIsNotUsed(t *testing.T) {
	b := newProcessBed(t)
	p := b.router.targets["p"]
	require.True(t, b.router.isUsable(p))
	renews := effectsOf[Renew](b.readProcesses(2, 1))
	require.NotEmpty(t, renews)
	assert.False(t, b.router.isUsable(p), "the entry is of a later process")
	b.now = b.now.Add(time.Millisecond)
	b.answerList(renews[0], 2)
	assert.True(t, b.router.isUsable(p))
	b.now = b.now.Add(time.Millisecond)
	b.answerList(renews[0], 3)
	assert.False(t, b.router.isUsable(p), "the entry is of an earlier process")
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRenewalAcknowledgesEndsOfListedProcess guards against ends of a restarted target that are taken for known,
// since its entry was read twice before its first list: the numbers of the ends start again.
func TestRenewalAcknowledgesEndsOfListedProcess(t *testing.T) {
	b := newProcessBed(t)
	p := b.router.targets["p"]
	list := func(process int64, ends ...End) []Renew {
		b.now = b.now.Add(time.Millisecond)
		return effectsOf[Renew](b.step(RenewAnswered{Target: "p", Token: p.token, SentAt: b.now, Result: Running, StartedAt: process, Ended: ends}))
	}
	list(1, End{Number: 5, Task: "x.0.0.0", Run: 1, Reason: EndStopped})
	require.Equal(t, 5, p.lastAckedEnd)
	polls := effectsOf[Renew](b.readProcesses(2, 1))
	require.NotEmpty(t, polls)
	assert.EqualValues(t, 1, polls[0].Process.StartedAt)
	assert.Equal(t, 5, polls[0].Acked)
	b.readProcesses(2, 2)
	for _, e := range list(2, End{Number: 1, Task: "j.0.0.0", Run: 1, Reason: EndDone}) {
		assert.EqualValues(t, 2, e.Process.StartedAt)
		assert.Equal(t, 1, e.Acked)
	}
	assert.Equal(t, 1, p.lastAckedEnd)
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	assert.Equal(t, 1, b.router.jobs["j"].doneCount, "the end of the later process is read")
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestInspectReportsTargetStatuses: a holder must report its state and, for each
// target, whether it is given tasks or why not.
func TestInspectReportsTargetStatuses(t *testing.T) {
	b := newHolderBed(t, 8, ClaimWon)
	b.startTask("j", Running)
	list := b.router.knownTargets([]string{b.router.Self.Zone})
	target := func(i int) *target { return b.router.targets[list[i].ID] }
	target(1).Draining = true
	target(2).listed = false
	target(3).fenced = false
	target(4).missedRenewals = 1
	target(5).ejectedUntil = b.now.Add(time.Second)
	target(6).onTrial = true
	states := effectsOf[State](b.step(Inspect{Request: 7}))
	require.Len(t, states, 1)
	s := states[0]
	assert.EqualValues(t, 7, s.Request)
	assert.Equal(t, "a", s.Host)
	assert.Equal(t, 1, s.Open)
	assert.Equal(t, 8, s.TargetCount)
	require.Len(t, s.Cells, 1)
	assert.True(t, s.Cells[0].Reachable)
	assert.Equal(t, "a", s.Cells[0].Holder)
	statusCounts := make(map[TargetStatus]int)
	runs := 0
	for _, target := range s.Targets {
		statusCounts[target.State]++
		runs += target.Runs
	}
	assert.Equal(t, map[TargetStatus]int{Usable: 2, Draining: 1, Unlisted: 1, Unfenced: 1, Unresponsive: 1, Ejected: 1, OnTrial: 1}, statusCounts)
	assert.Equal(t, 1, runs)
}

// TestInspectOfNewHostReportsNothingKnown: a host that has just started must report
// that it has no slot, directory or holder.
func TestInspectOfNewHostReportsNothingKnown(t *testing.T) {
	r := &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	states := effectsOf[State](r.Step(time.Unix(testEpoch, 0), Inspect{Request: 1}))
	require.Len(t, states, 1)
	assert.EqualValues(t, -1, states[0].DirectoryAge)
	assert.Zero(t, states[0].Slot)
	assert.False(t, states[0].Cells[0].Reachable)
}

// TestEachStageIsMeasuredOnce: each stage of a job must be measured exactly once, and
// the view must show the lease margin of its run.
func TestEachStageIsMeasuredOnce(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	j := twoTaskJob("j")
	j.Count = 1
	effects := b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second})
	starts := effectsOf[Start](effects)
	require.Len(t, starts, 1)
	b.now = b.now.Add(5 * time.Millisecond)
	effects = append(effects, b.step(StartAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Result: Running})...)
	assert.InDelta(t, 1, b.router.View().LeaseMargin.Seconds(), 0.1)
	b.now = b.now.Add(95 * time.Millisecond)
	end := End{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Reason: EndDone}
	effects = append(effects, b.step(RenewAnswered{Target: starts[0].Target.ID, Token: starts[0].Token, SentAt: b.now, Result: Running, Clock: Reading{Millis: 900_000, At: b.now}, Ended: []End{end}})...)
	durations := make(map[Stage]time.Duration)
	for _, m := range effectsOf[StageDuration](effects) {
		assert.Equal(t, "r", m.Route)
		assert.NotContains(t, durations, m.Stage)
		durations[m.Stage] = m.Duration
	}
	assert.Equal(t, map[Stage]time.Duration{Accepted: 0, Queued: 0, Started: 5 * time.Millisecond, Ended: 100 * time.Millisecond}, durations)
}

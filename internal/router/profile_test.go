package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newProfiledBed returns a holder that has learned that the target "p" takes twice as long as the
// other targets.
func newProfiledBed(t *testing.T) *holderBed {
	t.Helper()
	b := newModelledBed(t, 6)
	for id, s := range b.router.targets {
		for range 40 {
			b.router.profileOf(s).Record(math.Log(2)*float64(boolToInt(id == "p")), b.now)
		}
	}
	b.advance(300 * time.Millisecond)
	require.InDelta(t, 2, b.router.speedFactorOf(b.router.targets["p"])/b.router.speedFactorOf(b.router.targets["q"]), 0.1)
	return b
}

// TestSteadyTargetIsNotEjected guards against a slow target that is ejected for runs that take as long as
// they always do there. One that becomes slower still must be ejected.
func TestSteadyTargetIsNotEjected(t *testing.T) {
	b := newProfiledBed(t)
	p := b.router.targets["p"]
	runAt := func(runTime time.Duration) {
		j := &job{spec: twoTaskJob("j"), taskRunTime: 100 * time.Millisecond}
		b.router.recordSlowdown(&run{job: j, target: p, expectedRunTime: b.router.expectedRunTimeAt(j, p)}, runTime)
	}
	for range 20 {
		runAt(220 * time.Millisecond)
	}
	assert.False(t, b.now.Before(p.ejectedUntil))
	runAt(900 * time.Millisecond)
	runAt(900 * time.Millisecond)
	assert.True(t, b.now.Before(p.ejectedUntil))
}

// TestSuccessorsGetTargetSpeeds guards against a successor that starts without the learned speeds, and
// against malformed ones.
func TestSuccessorsGetTargetSpeeds(t *testing.T) {
	b := newProfiledBed(t)
	speeds, spread := b.router.profiler.Export(b.now, maxSentTargetSpeeds)
	require.NotEmpty(t, speeds)
	require.NoError(t, checkTargetSpeeds(speeds, spread))
	heir := newModelledBed(t, 6)
	heir.router.cells[heir.router.Self.Zone].heldHere = false
	holder := &peer{member: heir.router.cells[heir.router.Self.Zone].claim.Holder}
	heir.router.importProfiles(holder, &Heartbeat{TargetSpeeds: speeds, SpeedSpread: spread})
	assert.Greater(t, heir.router.profileFactor(heir.router.targets["p"]), 1.4)

	for _, log := range []int{5000, math.MinInt} {
		speeds[0].Log = log
		assert.Error(t, checkTargetSpeeds(speeds, spread))
	}
	assert.Error(t, checkTargetSpeeds(nil, -1))
}

// TestLastAttemptAvoidsFailingTarget guards against a job that fails because its last attempt goes to a
// target where the last run has failed.
func TestLastAttemptAvoidsFailingTarget(t *testing.T) {
	b := newProfiledBed(t)
	for id, s := range b.router.targets {
		b.router.profileOf(s).RecordOutcome(id == "s", b.now)
	}
	j := b.router.newJob(b.router.Self, &Offer{Job: twoTaskJob("j"), TimeLeft: time.Minute})
	b.router.createTasks(j)
	j.spec.MaxAttempts = 2
	j.tasks[0].failures = 1
	assert.Equal(t, "s", b.router.chooseTarget(j, 0).ID)
}

// TestTaskAwaitsFasterTarget guards against tasks that start at a slow target where they are late, although
// they could be in time at another target a little later.
func TestTaskAwaitsFasterTarget(t *testing.T) {
	b := newProfiledBed(t)
	p, q := b.router.targets["p"], b.router.targets["q"]
	j := b.router.newJob(b.router.Self, &Offer{Job: twoTaskJob("j"), TimeLeft: time.Minute})
	b.router.createTasks(j)
	j.taskRunTime, j.dueAt = 100*time.Millisecond, b.now.Add(200*time.Millisecond)
	assert.True(t, b.router.shouldAwaitFasterTarget(j, p))
	assert.False(t, b.router.shouldAwaitFasterTarget(j, q))
	j.dueAt = b.now.Add(100 * time.Millisecond)
	assert.False(t, b.router.shouldAwaitFasterTarget(j, p), "it would be late everywhere")
}

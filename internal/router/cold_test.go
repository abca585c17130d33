package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newColdBed returns a holder of four targets of which the first is cold for 5 s.
func newColdBed(t *testing.T) *holderBed {
	t.Helper()
	b := newHolderBed(t, 4, ClaimWon)
	entries := newTargets(4)
	entries[0].ColdLeft = 5 * time.Second
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: entries}})
	require.True(t, b.router.isCold(b.router.targets["p"]))
	return b
}

// TestColdTargetsAreExcludedWhileMostAreWarm: cold targets get tasks until it is known that runs take much longer
// there, and then none while most targets are warm. They are used again once they are warm.
func TestColdTargetsAreExcludedWhileMostAreWarm(t *testing.T) {
	b := newColdBed(t)
	cold := b.router.targets["p"]
	assert.True(t, b.router.isUsable(cold))
	for range minColdRuns {
		b.router.cold.recordRun(3)
	}
	b.step(Tick{})
	assert.False(t, b.router.isUsable(cold))
	_, total := b.router.capacity(&job{spec: twoTaskJob("j")})
	assert.Equal(t, 3*2000, total)
	for _, id := range []string{"q", "r"} {
		b.router.targets[id].coldUntil = b.now.Add(time.Second)
	}
	b.step(Tick{})
	assert.True(t, b.router.isUsable(cold), "most targets are cold")
	b.now = cold.coldUntil
	b.step(Tick{})
	assert.False(t, b.router.isCold(cold))
}

// TestColdRunsDoNotTeachWarmTargets: runs at cold targets must change neither the model of
// their route nor the speed of their kind of target, and must not eject the target.
func TestColdRunsDoNotTeachWarmTargets(t *testing.T) {
	b := newColdBed(t)
	for range minRouteSamples {
		b.router.routeModelOf("r").addSample(-2.3, -2.3)
	}
	before := *b.router.routeModelOf("r")
	j := b.router.newJob(b.router.Self, &Offer{Job: twoTaskJob("j"), TimeLeft: time.Minute})
	b.router.createTasks(j)
	for range minColdRuns {
		n := &run{job: j, target: b.router.targets["p"], sentAt: b.now.Add(-300 * time.Millisecond), expectedRunTime: 100 * time.Millisecond, cold: true}
		b.router.recordRunTime(n)
		b.router.recordSlowdown(n, 300*time.Millisecond)
	}
	assert.Equal(t, before, *b.router.routeModelOf("r"))
	assert.Empty(t, b.router.kindSpeeds)
	assert.Zero(t, b.router.targets["p"].ejections)
	assert.Greater(t, b.router.coldFactorOf(b.router.targets["p"]), 2.0)
	assert.EqualValues(t, 1, b.router.coldFactorOf(b.router.targets["q"]))
}

// TestNewTargetMayBeCold: a target that is cold when it is first listed, because it has just
// started or its cell is new here, must count as cold.
func TestNewTargetMayBeCold(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	entries := newTargets(2)
	entries[1].ColdLeft = 5 * time.Second
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: entries}})
	assert.False(t, b.router.isCold(b.router.targets["p"]))
	assert.True(t, b.router.isCold(b.router.targets["q"]))
}

// TestJobOfOtherZoneStaysAtColdTargets: a job that another zone has handed over must not be
// refused for the sake of a third zone, as it is handed over once only.
func TestJobOfOtherZoneStaysAtColdTargets(t *testing.T) {
	b, remote := newNeighbourBed(t)
	b.router.peers[remote.Address].headroom = map[string]int{"work": 9}
	b.router.targets["p"].coldUntil = b.now.Add(time.Minute)
	for range minColdRuns {
		b.router.cold.recordRun(9)
	}
	b.step(Tick{})
	own := b.router.newJob(b.router.Self, &Offer{Job: twoTaskJob("own"), TimeLeft: time.Minute})
	handedOver := b.router.newJob(remote, &Offer{Job: twoTaskJob("handed over"), TimeLeft: time.Minute, Zone: "north"})
	assert.Equal(t, "south", b.router.zoneForColdJob(own))
	assert.Empty(t, b.router.zoneForColdJob(handedOver))
}

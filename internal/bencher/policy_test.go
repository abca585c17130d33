package bencher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The limits of these tests are the requirements on the deployments; see
// docs/PROOFS.md for the measured values.
const (
	maxMeanSlowdown    = 1.15 // at 60 % load
	maxFloodRatio      = 1.5  // p99 slowdown of the small client beside a flood over that without one
	minJainIndex       = 0.98
	maxIdleShare       = 0.02 // slots that are idle while tasks wait
	maxMessagesPerTask = 2.1  // per started task
	maxBusyShare       = 0.01 // refusals for lack of a slot per started task
	maxFailedShare     = 0.005
	maxSlowTargetRatio = 1.5 // p99 slowdown with slow targets over that without them
	testDuration       = 30 * time.Second
)

// site is a deployment with its number of clients.
type site struct {
	name    string
	place   Deployment
	clients int
}

func sites() []site {
	return []site{{"restrepo", Restrepo(), 4}, {"kutchwala", Kutchwala(), 10}}
}

func TestModerateLoadIsServedWithinLimits(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		f := MeasureWellBehaved(s.place, s.clients, 0.6, 1, testDuration)
		require.Empty(t, f.Violations, s.name)
		assert.LessOrEqual(t, f.MeanSlowdown, maxMeanSlowdown, s.name)
		assert.LessOrEqual(t, f.MessagesPerTask, maxMessagesPerTask, s.name)
		assert.LessOrEqual(t, f.BusyRefusalsPerTask, maxBusyShare, s.name)
		assert.Zero(t, f.FailedShare, s.name)
	}
}

func TestFloodBarelySlowsSmallClient(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		alone := MeasureSmallAlone(s.place, 1, testDuration)
		flooded := MeasureSmallBesideFlood(s.place, 1, testDuration)
		require.Empty(t, flooded.Violations, s.name)
		assert.LessOrEqual(t, flooded.P99Slowdown/alone.P99Slowdown, maxFloodRatio, s.name)
	}
}

// TestSingleQueueExceedsFloodLimit shows that the check of
// TestFloodBarelySlowsSmallClient detects an unfair policy: a single queue for all
// clients exceeds the limit.
func TestSingleQueueExceedsFloodLimit(t *testing.T) {
	t.Parallel()
	p := Restrepo()
	for _, v := range PolicyVariants() {
		if v.Name == "fifo" {
			v.Apply(&p)
		}
	}
	flooded := MeasureSmallBesideFlood(p, 1, testDuration)
	assert.False(t, flooded.P99Slowdown/MeasureSmallAlone(p, 1, testDuration).P99Slowdown <= maxFloodRatio, "p99 %.2f", flooded.P99Slowdown)
}

func TestBacklogIsSharedFairly(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		f, jain := MeasureBacklog(s.place, s.clients, 1, testDuration)
		require.Empty(t, f.Violations, s.name)
		assert.GreaterOrEqual(t, jain, minJainIndex, s.name)
		assert.LessOrEqual(t, f.IdleShareWhileWaiting, maxIdleShare, s.name)
		assert.LessOrEqual(t, f.BusyRefusalsPerTask, maxBusyShare, s.name)
	}
}

func TestFailingTargetsFailFewJobs(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		f := MeasureUnhealthyTargets(s.place, s.clients, 1, testDuration, 2*time.Second, MakeTasksFail)
		require.Empty(t, f.Violations, s.name)
		assert.LessOrEqual(t, f.FailedShare, maxFailedShare, s.name)
	}
}

func TestSlowTargetsBarelySlowJobs(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		healthy := MeasureWellBehaved(s.place, s.clients, 0.6, 1, testDuration)
		f := MeasureUnhealthyTargets(s.place, s.clients, 1, testDuration, 2*time.Second, MakeSlow)
		require.Empty(t, f.Violations, s.name)
		assert.LessOrEqual(t, f.P99Slowdown/healthy.P99Slowdown, maxSlowTargetRatio, s.name)
	}
}

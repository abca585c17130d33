package bencher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The bounds of these tests are the targets that the users stated; see
// docs/PROOFS.md for the figures.
const (
	maxMean      = 1.15 // mean slowdown at 60 % load
	maxVictim    = 1.5  // p99 slowdown beside a flood over that alone
	minJain      = 0.98
	maxIdle      = 0.02 // slots idle while work waits
	maxMessages  = 2.1  // a task
	maxBusy      = 0.01 // starts refused as busy
	maxLostJobs  = 0.005
	maxSlowRatio = 1.5 // p99 slowdown with slow targets over healthy ones
	length       = 30 * time.Second
)

// site is a deployment with its number of clients.
type site struct {
	name    string
	place   Place
	clients int
}

func sites() []site {
	return []site{{"restrepo", Restrepo(), 4}, {"kutchwala", Kutchwala(), 10}}
}

func TestHonestLoad(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		f := Honest(s.place, s.clients, 0.6, 1, length)
		require.Empty(t, f.Violations, s.name)
		assert.LessOrEqual(t, f.Mean, maxMean, s.name)
		assert.LessOrEqual(t, f.Messages, maxMessages, s.name)
		assert.LessOrEqual(t, f.Busy, maxBusy, s.name)
		assert.Zero(t, f.Failed, s.name)
	}
}

func TestFlood(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		alone := Alone(s.place, 1, length)
		beside := Flood(s.place, 1, length)
		require.Empty(t, beside.Violations, s.name)
		assert.LessOrEqual(t, beside.P99/alone.P99, maxVictim, s.name)
	}
}

// TestFloodNeedsFairness shows that the check of TestFlood can fail: one queue
// for all clients breaks its bound.
func TestFloodNeedsFairness(t *testing.T) {
	t.Parallel()
	p := Restrepo()
	for _, v := range Variants() {
		if v.Name == "fifo" {
			v.Change(&p)
		}
	}
	beside := Flood(p, 1, length)
	assert.False(t, beside.P99/Alone(p, 1, length).P99 <= maxVictim, "p99 %.2f", beside.P99)
}

func TestBacklog(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		f, jain := Backlog(s.place, s.clients, 1, length)
		require.Empty(t, f.Violations, s.name)
		assert.GreaterOrEqual(t, jain, minJain, s.name)
		assert.LessOrEqual(t, f.IdleWhile, maxIdle, s.name)
		assert.LessOrEqual(t, f.Busy, maxBusy, s.name)
	}
}

func TestFailingTargets(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		f := Sick(s.place, s.clients, 1, length, 2*time.Second, FailAll)
		require.Empty(t, f.Violations, s.name)
		assert.LessOrEqual(t, f.Failed, maxLostJobs, s.name)
	}
}

func TestSlowTargets(t *testing.T) {
	t.Parallel()
	for _, s := range sites() {
		healthy := Honest(s.place, s.clients, 0.6, 1, length)
		f := Sick(s.place, s.clients, 1, length, 2*time.Second, SlowDown)
		require.Empty(t, f.Violations, s.name)
		assert.LessOrEqual(t, f.P99/healthy.P99, maxSlowRatio, s.name)
	}
}

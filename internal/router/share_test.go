package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestFairRateSatisfiesSmallDemandsFirst divides what there is so that routes that ask for little get it all.
func TestFairRateSatisfiesSmallDemandsFirst(t *testing.T) {
	for _, c := range []struct {
		asked []float64
		total float64
		level float64
	}{
		{[]float64{100, 200, 300}, 600, math.Inf(1)},
		{[]float64{100, 200, 900}, 600, 300},
		{[]float64{100, 500, 900}, 600, 250},
		{[]float64{700, 500, 900}, 600, 200},
		{[]float64{900}, 600, 600},
		{nil, 0, math.Inf(1)},
	} {
		r := &Router{Bounds: Standard(), routeShares: make(map[string]*share), now: time.Unix(testEpoch, 0)}
		for i, asked := range c.asked {
			r.routeShares[string(rune('a'+i))] = &share{service: "work", demand: asked, demandUpdatedAt: r.now}
		}
		r.routeShares["other"] = &share{service: "elsewhere", demand: 5000, demandUpdatedAt: r.now}
		assert.Equal(t, c.level, r.fairRate("work", c.total), c.asked)
	}
}

// TestRouteBeyondFairShareIsPlacedLast: while one route asks for more than its fair share and all together for
// more than there is, its jobs beyond the share come after those of the others; what
// was asked for is forgotten.
func TestRouteBeyondFairShareIsPlacedLast(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon) // 8 cores
	spec := func(id, route string) Job {
		j := twoTaskJob(id)
		j.Route, j.Count, j.ExpectedRunTime = route, 1, 400*time.Millisecond
		return j
	}
	newJob := func(id, route string) *job {
		return b.router.newJob("10.0.0.1:1", &Offer{Job: spec(id, route), TimeLeft: 5 * time.Second})
	}
	exceeding := 0
	for i := range 100 {
		j := newJob(string(rune('A'+i)), "flood")
		b.router.now = b.now
		if j.exceedsShare = b.router.exceedsFairShare(j, 8000); j.exceedsShare {
			exceeding++
		} else {
			b.router.shareOf(j).workBudget -= j.pendingWork()
		}
		b.now = b.now.Add(10 * time.Millisecond)
	}
	assert.Greater(t, exceeding, 50, "100 jobs of 0.4 core-seconds in a second, of 8 cores")
	flooding, quiet := newJob("f", "flood"), newJob("q", "quiet")
	flooding.exceedsShare, quiet.exceedsShare = b.router.exceedsFairShare(flooding, 8000), b.router.exceedsFairShare(quiet, 8000)
	assert.True(t, flooding.exceedsShare)
	assert.False(t, quiet.exceedsShare)
	assert.True(t, b.router.isPlacedBefore(quiet, flooding))
	b.router.now = b.now.Add(10 * demandWindow)
	assert.False(t, b.router.exceedsFairShare(flooding, 8000))
}

// TestSharesOfRemovedRoutesAreDropped: what was learned of a route goes with it.
func TestSharesOfRemovedRoutesAreDropped(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	for _, route := range []string{"kept", "gone"} {
		j := twoTaskJob(route)
		j.Route = route
		b.step(Submit{Request: uint64(len(route)), Job: j, Budget: 5 * time.Second})
	}
	assert.Len(t, b.router.routeShares, 2)
	assert.Len(t, b.router.meanWorkByRoute, 2)
	b.step(Adopt{Config: &Config{Version: 1, Routes: []Route{{Name: "kept"}}}})
	assert.Contains(t, b.router.routeShares, "kept")
	assert.Len(t, b.router.routeShares, 1)
	assert.Len(t, b.router.meanWorkByRoute, 1)
}

// TestOverloadBackoffGrowsWithOverloadPeriod: a route that has been overloaded for some time is expected to be so for
// as long again, up to a second.
func TestOverloadBackoffGrowsWithOverloadPeriod(t *testing.T) {
	now := time.Unix(testEpoch, 0)
	s := &share{}
	assert.Zero(t, s.recordRefusal(now))
	assert.Equal(t, 400*time.Millisecond, s.recordRefusal(now.Add(400*time.Millisecond)))
	assert.Equal(t, 800*time.Millisecond, s.recordRefusal(now.Add(800*time.Millisecond)))
	assert.Equal(t, maxOverloadBackoff, s.recordRefusal(now.Add(1200*time.Millisecond)))
	assert.Zero(t, s.recordRefusal(now.Add(1201*time.Millisecond+overloadGap)), "a new spell")
}

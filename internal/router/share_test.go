package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFairRateSatisfiesSmallDemandsFirst(t *testing.T) {
	for _, c := range []struct {
		demands  []float64
		total    float64
		fairRate float64
	}{
		{[]float64{100, 200, 300}, 600, math.Inf(1)},
		{[]float64{100, 200, 900}, 600, 300},
		{[]float64{100, 500, 900}, 600, 250},
		{[]float64{700, 500, 900}, 600, 200},
		{[]float64{900}, 600, 600},
		{nil, 0, math.Inf(1)},
	} {
		r := &Router{Bounds: Standard(), routeShares: make(map[string]*share), now: time.Unix(testEpoch, 0)}
		for i, demand := range c.demands {
			r.routeShares[string(rune('a'+i))] = &share{service: "work", demand: demand, demandUpdatedAt: r.now}
		}
		r.routeShares["other"] = &share{service: "elsewhere", demand: 5000, demandUpdatedAt: r.now}
		assert.Equal(t, c.fairRate, r.fairRate("work", c.total), c.demands)
	}
}

// TestRouteBeyondFairShareIsPlacedLast: while the demand of all routes exceeds the capacity and
// one route exceeds its fair share, the jobs beyond that share are placed after those of other
// routes. The recorded demand decays afterwards.
func TestRouteBeyondFairShareIsPlacedLast(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon) // 8 cores in all
	spec := func(id, route string) Job {
		j := twoTaskJob(id)
		j.Route, j.Count, j.ExpectedRunTime = route, 1, 400*time.Millisecond
		return j
	}
	newJob := func(id, route string) *job {
		return b.router.newJob(Member{Address: "10.0.0.1:1", Zone: "north"}, &Offer{Job: spec(id, route), TimeLeft: 5 * time.Second})
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
	assert.Greater(t, exceeding, 50, "100 jobs of 0.4 core-seconds arrive in one second at 8 cores")
	flooding, modest := newJob("f", "flood"), newJob("q", "quiet")
	flooding.exceedsShare, modest.exceedsShare = b.router.exceedsFairShare(flooding, 8000), b.router.exceedsFairShare(modest, 8000)
	assert.True(t, flooding.exceedsShare)
	assert.False(t, modest.exceedsShare)
	assert.True(t, b.router.isPlacedBefore(modest, flooding))
	b.router.now = b.now.Add(10 * demandWindow)
	assert.False(t, b.router.exceedsFairShare(flooding, 8000))
}

// TestSharesOfRemovedRoutesAreDropped: when the configuration removes a route, its share and
// its mean work are dropped, so that state of removed routes does not accumulate.
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

// TestOverloadBackoffGrowsWithOverloadPeriod: an overload is expected to last as long as it has
// lasted already, up to one second.
func TestOverloadBackoffGrowsWithOverloadPeriod(t *testing.T) {
	now := time.Unix(testEpoch, 0)
	s := &share{}
	assert.Zero(t, s.recordRefusal(now))
	assert.Equal(t, 400*time.Millisecond, s.recordRefusal(now.Add(400*time.Millisecond)))
	assert.Equal(t, 800*time.Millisecond, s.recordRefusal(now.Add(800*time.Millisecond)))
	assert.Equal(t, maxOverloadBackoff, s.recordRefusal(now.Add(1200*time.Millisecond)))
	assert.Zero(t, s.recordRefusal(now.Add(1201*time.Millisecond+overloadGap)), "a new overload period begins")
}

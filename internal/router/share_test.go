package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLevel divides what there is so that routes that ask for little get it all.
func TestLevel(t *testing.T) {
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
		r := &Router{Bounds: Standard(), shares: make(map[string]*share), now: time.Unix(origin, 0)}
		for i, asked := range c.asked {
			r.shares[string(rune('a'+i))] = &share{service: "work", asked: asked, noted: r.now}
		}
		r.shares["other"] = &share{service: "elsewhere", asked: 5000, noted: r.now}
		assert.Equal(t, c.level, r.level("work", c.total), c.asked)
	}
}

// TestExcess: while one route asks for more than its fair share and all together for
// more than there is, its jobs beyond the share come after those of the others; what
// was asked for is forgotten.
func TestExcess(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon) // 8 cores
	spec := func(id, route string) Job {
		j := pair(id)
		j.Route, j.Count, j.ExpectedRunTime = route, 1, 400*time.Millisecond
		return j
	}
	accept := func(id, route string) *job {
		return b.router.accept("10.0.0.1:1", &Offer{Job: spec(id, route), TimeLeft: 5 * time.Second})
	}
	excess := 0
	for i := range 100 {
		j := accept(string(rune('A'+i)), "flood")
		b.router.now = b.now
		if j.excess = b.router.exceeds(j, 8000); j.excess {
			excess++
		} else {
			b.router.shareOf(j).credit -= j.work()
		}
		b.now = b.now.Add(10 * time.Millisecond)
	}
	assert.Greater(t, excess, 50, "100 jobs of 0.4 core-seconds in a second, of 8 cores")
	flooding, quiet := accept("f", "flood"), accept("q", "quiet")
	flooding.excess, quiet.excess = b.router.exceeds(flooding, 8000), b.router.exceeds(quiet, 8000)
	assert.True(t, flooding.excess)
	assert.False(t, quiet.excess)
	assert.True(t, b.router.precedes(quiet, flooding))
	b.router.now = b.now.Add(10 * shareWindow)
	assert.False(t, b.router.exceeds(flooding, 8000))
}

// TestRoutesAreForgotten: what was learned of a route goes with it.
func TestRoutesAreForgotten(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	for _, route := range []string{"kept", "gone"} {
		j := pair(route)
		j.Route = route
		b.step(Submit{Request: uint64(len(route)), Job: j, Budget: 5 * time.Second})
	}
	assert.Len(t, b.router.shares, 2)
	assert.Len(t, b.router.works, 2)
	b.step(Adopt{Config: &Config{Version: 1, Routes: []Route{{Name: "kept"}}}})
	assert.Contains(t, b.router.shares, "kept")
	assert.Len(t, b.router.shares, 1)
	assert.Len(t, b.router.works, 1)
}

// TestSpell: a route that has been overloaded for some time is expected to be so for
// as long again, up to a second.
func TestSpell(t *testing.T) {
	now := time.Unix(origin, 0)
	s := &share{}
	assert.Zero(t, s.refuse(now))
	assert.Equal(t, 400*time.Millisecond, s.refuse(now.Add(400*time.Millisecond)))
	assert.Equal(t, 800*time.Millisecond, s.refuse(now.Add(800*time.Millisecond)))
	assert.Equal(t, longestSpell, s.refuse(now.Add(1200*time.Millisecond)))
	assert.Zero(t, s.refuse(now.Add(1201*time.Millisecond+spellGap)), "a new spell")
}

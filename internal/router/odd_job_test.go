package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestJobWithHugeTimesIsPlanned guards against times that overflow, so that a job whose client waits for
// very long counts as late, and against the same in an offer of another host.
func TestJobWithHugeTimesIsPlanned(t *testing.T) {
	for name, change := range map[string]func(*Offer){
		"time left":           func(o *Offer) { o.TimeLeft = math.MaxInt64 },
		"time left, run time": func(o *Offer) { o.TimeLeft, o.Job.ExpectedRunTime = math.MaxInt64, time.Hour },
		"allowance":           func(o *Offer) { o.Job.Allowance = math.MaxInt64 },
		"allowance, stretch":  func(o *Offer) { o.TimeLeft, o.Job.Allowance, o.Job.Stretch = math.MaxInt64, math.MaxInt64, 1e308 },
		"stretch":             func(o *Offer) { o.Job.Stretch = 1e308 },
		"negative stretch":    func(o *Offer) { o.Job.Stretch = -1e308 },
		"run time":            func(o *Offer) { o.TimeLeft, o.Job.ExpectedRunTime, o.Job.Stretch = math.MaxInt64, 1<<56, 3 },
		"all": func(o *Offer) {
			o.TimeLeft, o.Job.ExpectedRunTime, o.Job.Allowance, o.Job.Stretch = math.MaxInt64, 1<<56, math.MaxInt64, 1e308
		},
		"negative run time":       func(o *Offer) { o.Job.ExpectedRunTime = math.MinInt64 },
		"elapsed in the future":   func(o *Offer) { o.Elapsed = math.MinInt64 },
		"elapsed, with time left": func(o *Offer) { o.Elapsed, o.TimeLeft = math.MinInt64, math.MaxInt64 },
	} {
		b := newHolderBed(t, 2, ClaimWon)
		const from = "10.0.0.9:1"
		b.receiveHeartbeatFrom(from)
		o := &Offer{Job: twoTaskJob("odd"), TimeLeft: 5 * time.Second, Token: b.router.cells["north"].claim.Token}
		change(o)
		effects := b.step(Receive{From: from, Message: Message{Offer: o}})
		assert.Len(t, effectsOf[Start](effects), 2, name)
		effects = append(effects, b.advance(100*time.Millisecond)...)
		assert.Empty(t, effectsOf[Violation](effects), name)
		_, effects = b.startTask("valid", Running)
		assert.Empty(t, effectsOf[Violation](effects), name)
	}
}

// TestHugeBudgetIsNoShortOne guards against a job that is refused at once since its client waits for very
// long.
func TestHugeBudgetIsNoShortOne(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	effects := b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: math.MaxInt64})
	assert.Len(t, effectsOf[Start](effects), 2)
	assert.Empty(t, answers(append(effects, b.advance(time.Second)...)))
}

// TestHugeNeedDoesNotOverflow guards against a negative demand, which hides that of other routes.
func TestHugeNeedDoesNotOverflow(t *testing.T) {
	j := &job{spec: Job{Need: Resources{CPU: math.MaxInt}}, waitingCount: 7, expectedRunTime: time.Second}
	assert.Positive(t, j.pendingWork())
	j.spec.Need.CPU = math.MaxInt/2 + 1
	j.waitingCount = 2
	assert.Positive(t, j.pendingWork())
}

// TestOddLearnedStateDoesNotEndRoute guards against a route whose jobs are all refused for good, since
// the learned state in the store, or of another host, has numbers that no run leads to.
func TestOddLearnedStateDoesNotEndRoute(t *testing.T) {
	sound := RouteStats{Route: "r", Count: 100, MeanX: -2, MeanY: -2, VarX: 0.1, CovXY: 0.1, Timeouts: 100, MeanTimeout: 3, VarTimeout: 1}
	for name, change := range map[string]func(*RouteStats, *KindSpeed){
		"run time":           func(r *RouteStats, _ *KindSpeed) { r.MeanY = 1e300 },
		"short run time":     func(r *RouteStats, _ *KindSpeed) { r.MeanY = -1e300 },
		"declared run time":  func(r *RouteStats, _ *KindSpeed) { r.MeanX = -1e300 },
		"long run time":      func(r *RouteStats, _ *KindSpeed) { r.MeanY = 700 },
		"number":             func(r *RouteStats, _ *KindSpeed) { r.Count = math.MaxInt },
		"number of timeouts": func(r *RouteStats, _ *KindSpeed) { r.Timeouts = math.MaxInt },
		"timeout":            func(r *RouteStats, _ *KindSpeed) { r.MeanTimeout = 1e300 },
		"speed":              func(_ *RouteStats, s *KindSpeed) { s.Log = 1e300 },
		"negative speed":     func(_ *RouteStats, s *KindSpeed) { s.Log = -1e300 },
		"number of runs":     func(_ *RouteStats, s *KindSpeed) { s.Count = math.MaxInt },
	} {
		odd, speed := sound, KindSpeed{Kind: "a", Count: 100}
		change(&odd, &speed)
		b := newHolderBed(t, 2, ClaimWon)
		b.step(LearnedStateRead{Saved: []SaveLearnedState{{Routes: []RouteStats{odd}, Speeds: []KindSpeed{speed}}}})
		assert.Empty(t, b.router.routeModels, name)
		effects := b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
		assert.Len(t, effectsOf[Start](effects), 2, name)
		assert.Empty(t, answers(effects), name)
		b.step(LearnedStateRead{Saved: []SaveLearnedState{{Routes: []RouteStats{sound}, Speeds: []KindSpeed{{Kind: "a", Count: 100}}}}})
		assert.Contains(t, b.router.routeModels, "r", name)
	}
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/separator"
)

// newInterferingBed returns a holder that knows that tasks of the routes "r" and "x" slow each other down.
func newInterferingBed(t *testing.T, targets int) *holderBed {
	t.Helper()
	b := newHolderBed(t, targets, ClaimWon)
	b.router.separator.Import([]separator.Pair{{Route: "r", Beside: "x", Ratio: 1500}}, b.now)
	return b
}

// runRoute makes a target run a task of a route that needs little.
func (b *holderBed) runRoute(id, route string) *run {
	t := b.router.targets[id]
	n := &run{job: &job{spec: Job{ID: "other-" + id, Route: route}}, target: t, sentAt: b.now, need: Resources{CPU: 1}}
	b.router.recordCompanions(n)
	t.runs[taskName(n.job.spec.ID, 0)] = n
	t.used = t.used.plus(n.need)
	return n
}

// TestInterferingRoutesAreKeptApart guards against tasks of routes that slow each other down at one target although
// another has room, and against tasks that are kept waiting for that.
func TestInterferingRoutesAreKeptApart(t *testing.T) {
	b := newInterferingBed(t, 2)
	b.runRoute("p", "x")
	j := b.router.newJob(b.router.Self, &Offer{Job: twoTaskJob("j"), TimeLeft: time.Minute})
	b.router.createTasks(j)
	assert.Equal(t, "q", b.router.chooseTarget(j, 0).ID)
	b.router.Policy.Disabled = InterferenceAvoidance
	assert.Equal(t, "p", b.router.chooseTarget(j, 0).ID, "the least free CPU decides otherwise")
	b.router.Policy.Disabled = ""
	b.runRoute("q", "x")
	assert.NotNil(t, b.router.chooseTarget(j, 0), "no other target has room")
}

// TestOverlapIsRecorded guards against run times that are attributed to routes that ran beside a task for a small part
// of its run, or not at all.
func TestOverlapIsRecorded(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	long := b.runRoute("p", "long")
	b.runRoute("q", "elsewhere")
	b.now = b.now.Add(100 * time.Millisecond)
	b.router.now = b.now
	short := &run{job: &job{spec: Job{ID: "short", Route: "short"}}, target: long.target, sentAt: b.now}
	long.target.runs[taskName("short", 0)] = short
	b.router.recordCompanions(short)
	b.router.now = b.now.Add(50 * time.Millisecond)
	b.router.releaseCapacity(short)
	assert.Equal(t, []companion{{"long", true, 50 * time.Millisecond}}, short.companions)
	assert.Equal(t, []companion{{"short", false, 50 * time.Millisecond}}, long.companions)
}

// TestOddInterferencesAreRefused guards against pairs that no host can have learned.
func TestOddInterferencesAreRefused(t *testing.T) {
	require.NoError(t, checkInterferences([]separator.Pair{{Route: "r", Beside: "x", Ratio: 1500}}))
	for _, p := range []separator.Pair{{Route: "", Beside: "x", Ratio: 1500}, {Route: "r", Beside: "x"}, {Route: "r", Beside: "x", Ratio: 1 << 62}} {
		assert.Error(t, checkInterferences([]separator.Pair{p}))
	}
	assert.Error(t, checkInterferences(make([]separator.Pair, maxReceivedInterferences+1)))
}

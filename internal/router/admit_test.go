package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestJobThatFitsIsAdmittedBesideBlockedQueue: a job whose tasks fit the free capacity must
// start at once, although larger tasks that do not fit anywhere wait before it.
func TestJobThatFitsIsAdmittedBesideBlockedQueue(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	for i, id := range []string{"a", "b"} {
		j := twoTaskJob(id)
		j.Count, j.ExpectedRunTime, j.Need.CPU = 1, time.Second, 1200
		require.Len(t, effectsOf[Start](b.step(Submit{Request: uint64(i + 1), Job: j, Budget: 9 * time.Second})), 1)
	}
	large := twoTaskJob("large")
	large.Need.CPU, large.ExpectedRunTime, large.Stretch = 1500, time.Second, 8
	b.step(Submit{Request: 3, Job: large, Budget: 20 * time.Second})
	require.Equal(t, 1, b.router.queue.Len())
	small := twoTaskJob("small")
	small.Need.CPU = 700
	effects := b.step(Submit{Request: 4, Job: small, Budget: 5 * time.Second})
	assert.Empty(t, answers(effects))
	assert.Len(t, effectsOf[Start](effects), 2)
}

// TestLargeJobsAreRefusedEarlier: under the same backlog, a job with more work than is
// usual for its route must be refused before a usual job is.
func TestLargeJobsAreRefusedEarlier(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	b.router.meanWorkByRoute["r"] = 2 * 0.1 * 1000
	usual, large := twoTaskJob("usual"), twoTaskJob("large")
	large.Count = 12
	usualJob, largeJob := b.router.newJob(Member{Address: "x"}, &Offer{Job: usual, TimeLeft: time.Minute}), b.router.newJob(Member{Address: "x"}, &Offer{Job: large, TimeLeft: time.Minute})
	assert.Less(t, b.router.waitWeight(usualJob), b.router.waitWeight(largeJob))
	assert.LessOrEqual(t, b.router.waitWeight(largeJob), maxWaitWeight)
}

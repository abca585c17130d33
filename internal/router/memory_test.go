package router

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wideJob returns a job of very many tasks, which no site serves within a second.
func wideJob(id string) Job {
	j := twoTaskJob(id)
	j.Count, j.ExpectedRunTime, j.Spec = MaxTasks, time.Second, strings.Repeat("x", 100)
	return j
}

// heapInUse returns the bytes that live objects take.
func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// endRuns ends all runs at the first target.
func (b *holderBed) endRuns(reason EndReason) {
	for _, name := range sortedKeys(b.router.targets["p"].runs) {
		b.router.endRun(b.router.targets["p"].runs[name], reason)
	}
}

// TestRefusedWideJobsTakeLittleMemory guards against a holder that exceeds the memory of its host because
// it keeps the tasks of refused jobs.
func TestRefusedWideJobsTakeLittleMemory(t *testing.T) {
	const jobs, perJob = 300, 4 << 10
	b := newHolderBed(t, 2, ClaimWon)
	before := heapInUse()
	for i := range jobs {
		got := answers(b.step(Submit{Request: uint64(i), Job: wideJob(fmt.Sprint("j", i)), Budget: time.Minute}))
		require.Len(t, got, 1)
		require.Equal(t, Refused, got[0].Outcome)
		b.step(Tick{})
	}
	assert.LessOrEqual(t, heapInUse()-before, jobs*perJob)
	require.Len(t, b.router.jobs, jobs, "repeated offers get the same answer")
}

// TestEndedJobsTakeLittleMemory guards against a holder that exceeds the memory of its host because it
// keeps the tasks and texts of ended jobs until the deadlines of their clients.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	const jobs, perJob = 60, 4 << 10
	b := newHolderBed(t, 1, ClaimWon)
	before := heapInUse()
	for i := range jobs {
		j := wideJob(fmt.Sprint("j", i))
		j.Count, j.Need, j.ExpectedRunTime = 460, Resources{}, 10*time.Millisecond
		require.Len(t, effectsOf[Start](b.step(Submit{Request: uint64(i), Job: j, Budget: time.Minute})), j.Count)
		b.endRuns(EndDone)
		require.Equal(t, Complete, b.router.jobs[j.ID].verdict.Outcome)
		b.step(Tick{})
	}
	assert.LessOrEqual(t, heapInUse()-before, jobs*perJob)
	require.Len(t, b.router.jobs, jobs, "repeated offers get the same answer")
	assert.Zero(t, b.router.openFootprint)
}

// TestOpenJobsAreBoundedByMemory guards against jobs of very many small tasks, all of which the targets
// have room for, that take a holder over the memory of its host.
func TestOpenJobsAreBoundedByMemory(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.router.Bounds.JobMemory = 3 * 1000 * taskFootprint
	narrow := func(id string) Submit {
		j := wideJob(id)
		j.Count, j.Need, j.ExpectedRunTime = 1000, Resources{}, 10*time.Millisecond
		return Submit{Request: uint64(len(id)), Job: j, Budget: time.Minute}
	}
	require.NotEmpty(t, effectsOf[Start](b.step(narrow("j"))))
	require.NotEmpty(t, effectsOf[Start](b.step(narrow("jj"))))
	got := answers(b.step(narrow("jjj")))
	require.Len(t, got, 1)
	assert.Equal(t, Refused, got[0].Outcome)
	assert.Equal(t, Overload, got[0].Reason)
	assert.Positive(t, got[0].RetryAfter)

	b.endRuns(EndDone)
	b.step(Tick{})
	assert.NotEmpty(t, effectsOf[Start](b.step(narrow("jjjj"))), "there is room again")
}

// TestRunNumbersRiseAfterJobIsReduced guards against a task that a target rejects, since an earlier
// submission of its job, which has ended, has used the number of its run.
func TestRunNumbersRiseAfterJobIsReduced(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	start, _ := b.startTask("j", Running)
	b.step(Cancel{ID: "j"})
	b.endRuns(EndStopped)
	b.step(Tick{})
	require.Empty(t, b.router.jobs["j"].tasks)
	next, _ := b.startTask("j", Running)
	assert.Greater(t, next.Run, start.Run)
}

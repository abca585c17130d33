package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newUnstoppedRun returns the holder of zone north beside that of zone south. It runs a job whose client has
// left, and the target has not answered the Stop.
func newUnstoppedRun(t *testing.T) (b *holderBed, start Start, remote Member) {
	t.Helper()
	b, remote = newNeighbourBed(t)
	start, _ = b.startTask("j", Running)
	b.answerRenewal(Renew{Target: start.Target, Token: start.Token}, RunningTask{Task: start.Task, Run: start.Run})
	stops := effectsOf[Stop](b.step(ClientGone{Request: 1}))
	require.Len(t, stops, 1)
	b.now = b.now.Add(stops[0].Timeout)
	b.step(StopAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run})
	return b, start, remote
}

// leaseEnds returns the lease ends of all renewals within half a second. The target answers each after a tick.
func (b *holderBed) leaseEnds(start Start) (ends []int64) {
	b.t.Helper()
	due := []Renew{{Target: start.Target, Token: start.Token}}
	for range 25 {
		effects := b.advance(b.router.Bounds.TickInterval)
		for _, e := range due {
			effects = append(effects, b.answerRenewal(e, RunningTask{Task: start.Task, Run: start.Run})...)
		}
		due = effectsOf[Renew](effects)
		for _, e := range due {
			ends = append(ends, e.LeaseEnd)
		}
	}
	require.NotEmpty(b.t, ends)
	return ends
}

// TestUnstoppedRunEndsWithItsLease guards against a run that goes on for as long as its target leaves Stop
// orders unanswered, while another zone starts the task for the client's next submission.
func TestUnstoppedRunEndsWithItsLease(t *testing.T) {
	b, start, _ := newUnstoppedRun(t)
	target := b.router.targets[start.Target.ID]
	lapsesAt := target.runsExpireAt
	for _, end := range b.leaseEnds(start) {
		assert.Zero(t, end)
	}
	assert.Equal(t, lapsesAt, target.runsExpireAt)
	b.advance(lapsesAt.Sub(b.now) + b.router.Bounds.TickInterval)
	assert.Empty(t, target.runs)
	assert.Zero(t, target.overdueStops)
}

// TestTargetWithUnstoppedRunIsNotUsed guards against a Start, which extends the leases of all runs of its
// target, and against a target that stays unused once it has answered a Stop.
func TestTargetWithUnstoppedRunIsNotUsed(t *testing.T) {
	b, start, _ := newUnstoppedRun(t)
	target := b.router.targets[start.Target.ID]
	require.Equal(t, Unheard, b.router.targetStatus(target))
	assert.Empty(t, effectsOf[Start](b.step(Submit{Request: 2, Job: patientJob("next"), Budget: 20 * time.Second})))
	polls := effectsOf[Renew](b.step(StopAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run, Acknowledged: true}))
	require.Len(t, polls, 1)
	assert.NotZero(t, polls[0].LeaseEnd, "the other runs of the target go on")
	assert.Equal(t, Usable, b.router.targetStatus(target))
	b.step(StopAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run})
	assert.Equal(t, Usable, b.router.targetStatus(target), "the target has received a Stop, whatever became of the other")
}

// TestOneHolderLetsUnstoppedRunEnd guards against a run that goes on at a target which leaves Stop orders unanswered,
// where one host holds all zones: a zone that is cut off has another holder, which does not know of the run when
// the client submits the job again.
func TestOneHolderLetsUnstoppedRunEnd(t *testing.T) {
	b, start, _ := newUnstoppedRun(t)
	b.router.totalTargets = 1
	b.router.updateHolderPerZone()
	require.False(t, b.router.holderPerZone)
	target := b.router.targets[start.Target.ID]
	lapsesAt := target.runsExpireAt
	for _, end := range b.leaseEnds(start) {
		assert.Zero(t, end)
	}
	assert.Equal(t, lapsesAt, target.runsExpireAt)
	assert.Equal(t, Unheard, b.router.targetStatus(target))
	unstopped := b.router.newHeartbeat().Unstopped
	require.Len(t, unstopped, 1)
	assert.Equal(t, "j", unstopped[0].ID)
	polls := effectsOf[Renew](b.step(StopAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run, Acknowledged: true}))
	require.Len(t, polls, 1)
	assert.NotZero(t, polls[0].LeaseEnd, "the other runs of the target go on")
}

// TestHolderReportsUnstoppedRuns guards against other holders that do not learn of a run which outlives its
// job, or wait for it after its end.
func TestHolderReportsUnstoppedRuns(t *testing.T) {
	b, start, _ := newUnstoppedRun(t)
	unstopped := b.router.newHeartbeat().Unstopped
	require.Len(t, unstopped, 1)
	assert.Equal(t, "j", unstopped[0].ID)
	assert.Equal(t, b.router.targets[start.Target.ID].runsExpireAt, b.now.Add(unstopped[0].Left))
	b.step(StopAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run, Acknowledged: true})
	assert.Empty(t, b.router.newHeartbeat().Unstopped)
}

// reportUnstopped delivers a heartbeat of another holder with its unstopped jobs.
func (b *holderBed) reportUnstopped(from Member, jobs ...UnstoppedJob) []Effect {
	b.now = b.now.Add(time.Millisecond)
	heartbeat := &Heartbeat{Member: from, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Unstopped: jobs, Headroom: map[string]int{"work": 9}}
	return b.step(Receive{From: from.Address, Message: Message{Heartbeat: heartbeat}})
}

// TestJobWaitsForRunInOtherZone guards against a task that runs in two zones at once: the holder of another
// zone has not stopped the run of an earlier submission. A client whose run is over does not wait.
func TestJobWaitsForRunInOtherZone(t *testing.T) {
	const left = 900 * time.Millisecond
	for name, test := range map[string]struct {
		end   func(b *holderBed, remote Member) []Effect
		waits time.Duration
	}{
		"the run is over": {func(b *holderBed, remote Member) []Effect { return b.reportUnstopped(remote) }, 0},
		"the holder has gone": {func(b *holderBed, _ Member) []Effect {
			return b.advance(left + b.router.Bounds.TickInterval)
		}, left},
	} {
		t.Run(name, func(t *testing.T) {
			b, remote := newNeighbourBed(t)
			b.reportUnstopped(remote, UnstoppedJob{ID: "j", Left: left}, UnstoppedJob{ID: "other", Left: time.Hour})
			reportedAt := b.now
			assert.Empty(t, effectsOf[Start](b.step(Submit{Request: 1, Job: patientJob("j"), Budget: 20 * time.Second})))
			require.True(t, b.router.jobs["j"].mayHaveStartedEarlier)
			assert.Len(t, effectsOf[Start](b.step(Submit{Request: 2, Job: twoTaskJob("k"), Budget: 20 * time.Second})), 2, "other jobs do not wait")
			b.router.endJob(b.router.jobs["k"], Verdict{Outcome: Failed})
			b.router.targets["p"].used, b.router.targets["p"].runs = Resources{}, make(map[string]*run)
			starts := effectsOf[Start](test.end(b, remote))
			assert.Len(t, starts, 2)
			assert.GreaterOrEqual(t, b.now.Sub(reportedAt), test.waits)
		})
	}
}

// TestJobWithEarlierRunIsNotReferred guards against a job that a third zone starts, whose holder does not
// know of the run of an earlier submission here or elsewhere.
func TestJobWithEarlierRunIsNotReferred(t *testing.T) {
	b, remote := newBusyBed(t, Heartbeat{Headroom: map[string]int{"work": 9}})
	b.reportUnstopped(remote, UnstoppedJob{ID: "j", Left: time.Second})
	assert.Empty(t, offers(b.step(Submit{Request: 10, Job: patientJob("j"), Budget: 20 * time.Second})))
	assert.False(t, b.router.jobs["j"].ended)
	assert.Len(t, offers(b.step(Submit{Request: 11, Job: patientJob("k"), Budget: 20 * time.Second})), 1)
}

// TestJobIsAnsweredIfRunElsewhereOutlastsIt guards against a client that waits for its deadline although the
// run in another zone lasts longer, and against the answer that its job has not run.
func TestJobIsAnsweredIfRunElsewhereOutlastsIt(t *testing.T) {
	b, remote := newNeighbourBed(t)
	b.reportUnstopped(remote, UnstoppedJob{ID: "j", Left: 3 * time.Second})
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 2 * time.Second})
	got := answers(b.advance(b.router.Bounds.OrphanGrace + 2*b.router.Bounds.TickInterval))
	require.Len(t, got, 1)
	assert.Equal(t, Unknown, got[0].Outcome)
}

// TestOldHeartbeatDoesNotReleaseJob guards against a heartbeat that arrives late over a replaced connection.
func TestOldHeartbeatDoesNotReleaseJob(t *testing.T) {
	b, remote := newNeighbourBed(t)
	b.reportUnstopped(remote, UnstoppedJob{ID: "j", Left: time.Second})
	b.step(Receive{From: remote.Address, Message: Message{Heartbeat: &Heartbeat{Member: remote, Sent: b.now.UnixNano() - 1, Echo: b.now.UnixNano()}}})
	assert.False(t, b.router.remoteRuns.until("j").IsZero())
}

// TestReportedRunEndsWithLongestLease guards against a job that waits for good because its ID was in the last
// heartbeat of a host that has gone.
func TestReportedRunEndsWithLongestLease(t *testing.T) {
	b, remote := newNeighbourBed(t)
	b.reportUnstopped(remote, UnstoppedJob{ID: "j", Left: 24 * time.Hour})
	b.advance(b.router.longestLease(b.router.Bounds.LeaseDuration) + b.router.Bounds.TickInterval)
	assert.Empty(t, b.router.remoteRuns)
}

// TestOddUnstoppedJobIsNotAdopted guards against jobs that no holder can report.
func TestOddUnstoppedJobIsNotAdopted(t *testing.T) {
	for _, odd := range [][]UnstoppedJob{{{ID: ""}}, {{ID: "j", Left: -1}}, {{ID: "j", Left: math.MaxInt64}}, make([]UnstoppedJob, maxUnstopped+1)} {
		var malformed *MalformedError
		assert.ErrorAs(t, Message{Heartbeat: &Heartbeat{Unstopped: odd}}.Check(), &malformed)
	}
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newRemoteRun returns a holder of all zones. It runs a job of the client of another host, which has answered its
// last heartbeat now.
func newRemoteRun(t *testing.T) (b *holderBed, start Start, remote Member) {
	t.Helper()
	b, remote = newNeighbourBed(t)
	b.router.totalTargets = 1
	b.router.updateHolderPerZone()
	require.False(t, b.router.holderPerZone)
	b.reportUnstopped(remote)
	offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 20 * time.Second, Zone: "north", Token: b.router.cell("north").claim.Token, SubmissionID: b.now.UnixNano() + 1}
	offer.Job.Count = 1
	starts := effectsOf[Start](b.step(Receive{From: remote.Address, Message: Message{Offer: offer}}))
	require.Len(t, starts, 1)
	b.step(StartAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Result: Running})
	return b, starts[0], remote
}

// loseAnswers advances the time while the target answers each renewal after a tick and leaves each Stop unanswered.
// It returns when the last lease ends, by the target's clock.
func (b *holderBed) loseAnswers(start Start, d time.Duration) time.Time {
	last, effects := start.LeaseEnd, b.step(Tick{})
	for end := b.now.Add(d); b.now.Before(end); {
		renewals, stops := effectsOf[Renew](effects), effectsOf[Stop](effects)
		effects = b.advance(b.router.Bounds.TickInterval)
		for _, e := range renewals {
			last = max(last, e.LeaseEnd)
			effects = append(effects, b.answerRenewal(e, RunningTask{Task: start.Task, Run: start.Run})...)
		}
		for _, e := range stops {
			effects = append(effects, b.step(StopAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run})...)
		}
	}
	return time.Unix(testEpoch, 0).Add(time.Duration(last) * time.Millisecond)
}

// TestRunEndsBeforeClientOfLostHostRetries guards against a task that runs twice at once: its host is lost, its target
// leaves Stop orders unanswered, and the client submits the job again to a host that does not know of the run.
func TestRunEndsBeforeClientOfLostHostRetries(t *testing.T) {
	b, start, remote := newRemoteRun(t)
	target := b.router.targets[start.Target.ID]
	lastEcho := b.router.peers[remote.Address].lastEchoedAt
	leaseEnd := b.loseAnswers(start, b.router.Bounds.RetryDelay+b.router.Bounds.TickInterval)
	drift := time.Duration(float64(b.router.Bounds.LeaseDuration) * b.router.Bounds.MaxClockDrift)
	assert.True(t, b.router.jobs["j"].ended)
	assert.LessOrEqual(t, leaseEnd.Add(drift).Sub(lastEcho), b.router.Bounds.RetryDelay)
	assert.LessOrEqual(t, target.runsExpireAt.Sub(lastEcho), b.router.Bounds.RetryDelay)
	assert.Empty(t, target.runs)
}

// TestRunStartedLateEndsBeforeClientRetries guards against a run that outlasts RetryDelay because its Start is
// repeated after the client has gone, while its target leaves each order unanswered.
func TestRunStartedLateEndsBeforeClientRetries(t *testing.T) {
	b, remote := newNeighbourBed(t)
	b.reportUnstopped(remote)
	b.answerRenewal(Renew{Target: b.router.targets["p"].Target, Token: b.router.targets["p"].token})
	job := patientJob("j")
	job.Count = 1
	starts := effectsOf[Start](b.step(Submit{Request: 1, Job: job, Budget: 20 * time.Second}))
	require.Len(t, starts, 1)
	start := starts[0]
	b.step(ClientGone{Request: 1})
	goneAt := b.now
	require.True(t, b.router.jobs["j"].ended)
	leaseEnd := start.LeaseEnd
	for attempt := range maxStartAttempts {
		b.advance(b.router.Bounds.OrderTimeout)
		for _, e := range effectsOf[Start](b.step(StartAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run, Result: NoAnswer})) {
			require.Less(t, attempt, maxStartAttempts)
			leaseEnd = max(leaseEnd, e.LeaseEnd)
		}
	}
	start.LeaseEnd = leaseEnd
	assert.LessOrEqual(t, b.loseAnswers(start, b.router.Bounds.RetryDelay).Sub(goneAt), b.router.Bounds.RetryDelay)
}

// TestLeasesAreFullWhileHostAnswers guards against shorter leases, and renewals at shorter intervals, while the hosts
// of all jobs answer.
func TestLeasesAreFullWhileHostAnswers(t *testing.T) {
	b, start, remote := newRemoteRun(t)
	target := b.router.targets[start.Target.ID]
	for range 10 {
		b.advance(b.router.Bounds.HeartbeatInterval)
		assert.Equal(t, b.router.Bounds.LeaseDuration, b.router.leaseDuration(target))
		assert.Equal(t, b.router.Bounds.RenewWait, b.router.renewWait(target))
		b.reportUnstopped(remote)
	}
	b.advance(b.router.Bounds.PeerTimeout)
	lease := b.router.leaseDuration(target)
	assert.Less(t, lease, b.router.Bounds.LeaseDuration)
	assert.Equal(t, b.router.Bounds.LeaseDuration-lease, b.router.Bounds.RenewWait-b.router.renewWait(target), "the time left for the next renewal is the same")
}

// TestStandardTimeoutsEndRunsBeforeClientsRetry guards against default timeouts whose sum exceeds the time after which
// clients submit their jobs again.
func TestStandardTimeoutsEndRunsBeforeClientsRetry(t *testing.T) {
	r := Router{Bounds: Standard()}
	b := r.Bounds
	assert.Less(t, b.OrderTimeout+r.longestLease(b.LeaseDuration), b.RetryDelay, "an unanswered Stop, and the lease")
	assert.Less(t, b.OriginTimeout+b.OrderTimeout+b.StopDuration, b.RetryDelay, "the loss of a host, and a Stop")
}

// TestRunEndsBeforeClientOfPausedHolderRetries guards against leases that a holder extends after a pause, before it
// learns that a client of its own has left meanwhile.
func TestRunEndsBeforeClientOfPausedHolderRetries(t *testing.T) {
	b, _ := newNeighbourBed(t)
	start, _ := b.startTask("j", Running)
	running := RunningTask{Task: start.Task, Run: start.Run}
	b.answerRenewal(Renew{Target: start.Target, Token: start.Token}, running)
	for range 10 { // the target answers, and the lease is extended
		for _, e := range effectsOf[Renew](b.advance(b.router.Bounds.TickInterval)) {
			b.answerRenewal(e, running)
		}
	}
	goneAt := b.now
	b.now = b.now.Add(b.router.Bounds.LeaseDuration / 2)
	renewals := append(effectsOf[Renew](b.answerRenewal(Renew{Target: start.Target, Token: start.Token}, running)), effectsOf[Renew](b.step(Tick{}))...)
	require.NotEmpty(t, renewals)
	for _, e := range renewals {
		start.LeaseEnd = max(start.LeaseEnd, e.LeaseEnd)
	}
	b.step(ClientGone{Request: 1})
	assert.LessOrEqual(t, b.loseAnswers(start, b.router.Bounds.RetryDelay).Sub(goneAt), b.router.Bounds.RetryDelay)
}

// TestRunEndsBeforeClientOfPausedHostRetries guards against leases that a holder extends when the host of a job answers
// again after a pause, before that host has told that the client has left meanwhile.
func TestRunEndsBeforeClientOfPausedHostRetries(t *testing.T) {
	b, start, remote := newRemoteRun(t)
	goneAt := b.now
	const pause = 450 * time.Millisecond
	start.LeaseEnd = b.loseAnswers(start, pause).Sub(time.Unix(testEpoch, 0)).Milliseconds()
	heartbeat := &Heartbeat{Member: remote, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Lag: pause - b.router.Bounds.TickInterval}
	b.step(Receive{From: remote.Address, Message: Message{Heartbeat: heartbeat}})
	for _, e := range effectsOf[Renew](b.answerRenewal(Renew{Target: start.Target, Token: start.Token}, RunningTask{Task: start.Task, Run: start.Run})) {
		start.LeaseEnd = max(start.LeaseEnd, e.LeaseEnd)
	}
	b.step(Receive{From: remote.Address, Message: Message{Withdraw: &Withdraw{ID: "j"}}})
	assert.LessOrEqual(t, b.loseAnswers(start, b.router.Bounds.RetryDelay).Sub(goneAt), b.router.Bounds.RetryDelay)
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// holderBed is a router that holds its zone's cell. Each of its targets has room for
// two tasks.
type holderBed struct {
	*originBed
	t *testing.T
}

// newTargets returns directory entries of targets with the IDs p, q, r and so on.
func newTargets(count int) []Target {
	var list []Target
	for i := range count {
		list = append(list, Target{
			ID: string(rune('p' + i)), Address: "10.1.0.1:1", Service: "work", Zone: "north", Capacity: Resources{CPU: 2000, Memory: 10}, Labels: []string{"a"},
		})
	}
	return list
}

// newHolderBed returns a router that has claimed the cell of zone north with the given
// result and whose targets have accepted its token.
func newHolderBed(t *testing.T, targets int, result ClaimResult) *holderBed {
	t.Helper()
	b := &holderBed{originBed: &originBed{now: time.Unix(testEpoch, 0)}, t: t}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.step(Tick{})
	b.step(Registered{Slot: 2, SlotUses: 1})
	b.step(EvacuationsRead{RequestedAt: b.now, Evacuations: Evacuations{Version: 1}})
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: newTargets(targets)}})
	writes := effectsOf[WriteClaims](b.advance(b.router.Bounds.StartupDelay + b.router.Bounds.TickInterval))
	require.NotEmpty(t, writes)
	rows := writes[0].Rows
	if result == ClaimTimeout {
		rows = nil
	}
	for _, renew := range effectsOf[Renew](b.step(ClaimsWritten{Token: writes[0].Token, Result: result, Rows: rows})) {
		b.answerRenewal(renew)
	}
	return b
}

// effectsOf returns the effects of one type.
func effectsOf[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// answerRenewal answers a renewal with a list of running tasks and no ends.
func (b *holderBed) answerRenewal(e Renew, running ...RunningTask) []Effect {
	return b.step(RenewAnswered{
		Target: e.Target.ID, Token: e.Token, SentAt: b.now, Poll: e.Poll, Result: Running,
		Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now}, Running: running,
	})
}

// advance advances the time in ticks and returns all effects.
func (b *holderBed) advance(d time.Duration) []Effect {
	var all []Effect
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

// startTask submits a job of one task and answers the task's start. It returns the
// start and the effects of the answer.
func (b *holderBed) startTask(id string, result StartResult) (Start, []Effect) {
	b.t.Helper()
	j := twoTaskJob(id)
	j.Count = 1
	starts := effectsOf[Start](b.step(Submit{Request: uint64(len(id)), Job: j, Budget: 5 * time.Second}))
	require.Len(b.t, starts, 1)
	b.now = b.now.Add(time.Millisecond)
	return starts[0], b.step(StartAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Result: result})
}

// TestQuarantinedJobDoesNotDelayNewJob: a job that waits for the targets of a previous
// holder must not count as work ahead of a new job that can start at once.
func TestQuarantinedJobDoesNotDelayNewJob(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	b.router.previousTargets["gone"] = &previousTarget{target: Target{ID: "gone", Zone: "north"}, reportedAt: b.now}
	quarantined := twoTaskJob("resent")
	quarantined.Count, quarantined.ExpectedRunTime = 30, time.Second
	b.step(Submit{Request: 1, Job: quarantined, Budget: 9 * time.Second})
	b.router.handleOffer(nil, &Offer{Job: quarantined, TimeLeft: 9 * time.Second, Reoffered: true, PreviousZones: []string{"north"}, Done: []int{0}})
	effects := b.step(Submit{Request: 2, Job: twoTaskJob("fresh"), Budget: 5 * time.Second})
	assert.Empty(t, answers(effects))
	assert.Len(t, effectsOf[Start](effects), 2)
}

// TestOrphanLeasesAreNotExtended: renewals must not extend the lease of a target with
// orphans, and the orphans must be stopped by name.
func TestOrphanLeasesAreNotExtended(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	renews := effectsOf[Renew](b.advance(b.router.Bounds.IdleRenewInterval + b.router.Bounds.TickInterval))
	require.NotEmpty(t, renews)
	effects := b.answerRenewal(renews[0], RunningTask{Task: "x.0.0.0", Run: 3})
	effects = append(effects, b.advance(40*time.Millisecond)...)
	for _, e := range effectsOf[Renew](effects) {
		assert.Zero(t, e.LeaseEnd)
	}
	stops := effectsOf[Stop](effects)
	require.NotEmpty(t, stops)
	assert.Equal(t, "x.0.0.0", stops[0].Task)
	assert.Equal(t, 3, stops[0].Run)
}

// TestUnansweredStartIsRepeatedAsSameRun: a start without an answer must be sent again
// as the same run. If the target then answers that the task runs, the run continues.
// Any other answer leaves open whether the first order was executed, so the run must be
// stopped.
func TestUnansweredStartIsRepeatedAsSameRun(t *testing.T) {
	for _, result := range []StartResult{Running, StaleRun, NoCapacity, OrderExpired, Unhealthy} {
		b := newHolderBed(t, 2, ClaimWon)
		first, effects := b.startTask("j", NoAnswer)
		assert.Empty(t, effectsOf[Stop](effects))
		repeats := effectsOf[Start](effects)
		require.Len(t, repeats, 1)
		assert.Equal(t, first.Run, repeats[0].Run)
		assert.Equal(t, first.Target.ID, repeats[0].Target.ID)
		effects = b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: result})
		assert.Empty(t, effectsOf[Start](effects), result)
		if result == Running {
			assert.Empty(t, effectsOf[Stop](effects))
		} else {
			assert.Len(t, effectsOf[Stop](effects), 1, result)
		}
	}
}

// TestUnconfirmedStartIsStoppedBeforeRestart: a run whose start was twice not answered
// must be stopped. Its task may start elsewhere only after a run list that was
// requested after the stop lacks the run.
func TestUnconfirmedStartIsStoppedBeforeRestart(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, effects := b.startTask("j", NoAnswer)
	assert.Empty(t, effectsOf[Stop](effects))
	effects = b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: NoAnswer})
	require.Len(t, effectsOf[Stop](effects), 1)
	assert.Empty(t, effectsOf[Start](effects))
	polls := effectsOf[Renew](effects)
	require.NotEmpty(t, polls)
	assert.Empty(t, effectsOf[Start](b.answerRenewal(polls[0])), "the list was requested before the stop was answered")
	b.now = b.now.Add(time.Millisecond)
	effects = b.step(StopAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Acknowledged: true})
	polls = effectsOf[Renew](effects)
	require.NotEmpty(t, polls)
	b.now = b.now.Add(time.Millisecond)
	starts := effectsOf[Start](b.answerRenewal(polls[0]))
	require.Len(t, starts, 1)
	assert.Greater(t, starts[0].Run, first.Run)
}

// TestStalledRunIsStopped: a run without progress must be stopped while its job can
// still finish in time at another target.
func TestStalledRunIsStopped(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.startTask("j", Running)
	b.now = b.now.Add(800 * time.Millisecond)
	effects := b.step(RenewAnswered{
		Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: Running, Poll: true,
		Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 1}},
	})
	assert.Len(t, effectsOf[Stop](effects), 1)
}

// TestRunThatCannotFinishInTimeIsAborted: if progress shows that a job cannot finish in
// time, its client must be answered at once.
func TestRunThatCannotFinishInTimeIsAborted(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.startTask("j", Running)
	b.router.jobs["j"].tasks[0].run.expectedRunTime = 8 * time.Second
	b.now = b.now.Add(time.Second)
	effects := b.step(RenewAnswered{
		Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: Running, Poll: true,
		Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 10}},
	})
	verdicts := answers(effects)
	require.Len(t, verdicts, 1)
	assert.Equal(t, Failed, verdicts[0].Outcome)
	assert.Equal(t, Expired, verdicts[0].Reason)
	assert.Len(t, effectsOf[Stop](effects), 1)
}

// TestFencedHolderSendsNoOrders: a target that obeys a higher token shows that another
// host has claimed the cell. No order may then go to the targets of the zone.
func TestFencedHolderSendsNoOrders(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.startTask("j", Running)
	b.step(RenewAnswered{Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: Fenced})
	effects := b.step(Submit{Request: 9, Job: twoTaskJob("k"), Budget: 5 * time.Second})
	assert.Empty(t, effectsOf[Start](effects))
	assert.Empty(t, effectsOf[Stop](b.advance(b.router.Bounds.TickInterval)))
}

// TestClaimIsWrittenAfterStoreOutage: a claim that was made during a store outage must
// be written once the store answers again, so that hosts that start later continue from
// its token.
func TestClaimIsWrittenAfterStoreOutage(t *testing.T) {
	b := newHolderBed(t, 1, ClaimTimeout)
	writes := effectsOf[WriteClaims](b.advance(time.Second))
	require.NotEmpty(t, writes)
	assert.Equal(t, b.router.cells["north"].claim.Token, writes[0].Token)
	b.step(ClaimsWritten{Token: writes[0].Token, Result: ClaimWon, Rows: writes[0].Rows})
	assert.Empty(t, effectsOf[WriteClaims](b.advance(2*time.Second)))
}

// TestReacquiredCellDoesNotStartOldJobs: a host that loses a cell and claims it again
// at once must not continue the jobs that it had: another host may have run them
// meanwhile.
func TestReacquiredCellDoesNotStartOldJobs(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.startTask("j", Running)
	c := b.router.cells["north"]
	b.step(Receive{Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}, Sent: 1,
		Claims: []Claim{{Zone: "north", Token: c.claim.Token + 1<<20, Holder: Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}}},
	}}})
	require.False(t, c.heldHere)
	b.router.acquireCell(c, c.claim.Token+1<<20)
	require.NotNil(t, b.router.jobs["j"], "it is offered again")
	assert.True(t, b.router.jobs["j"].reoffered)
}

// TestCandidatesWithMoreCPUComeFirst: the candidate with the larger processor share
// must come first, whatever the slots.
func TestCandidatesWithMoreCPUComeFirst(t *testing.T) {
	b := newOriginBed(t)
	b.peer.CPUShare, b.router.Self.CPUShare = 200, 800
	b.receiveHeartbeat(1)
	list := b.router.candidates("north")
	require.Len(t, list, 2)
	assert.Equal(t, "a", list[0].Name)
}

// TestOfferFromUnreachableHostIsRejected: an offer that was delayed by a partition,
// from a host that is not reachable, must not start tasks: its client may have been
// answered long ago.
func TestOfferFromUnreachableHostIsRejected(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: 1, Echo: b.now.UnixNano()}}})
	b.now = b.now.Add(5 * time.Second)
	effects := b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: twoTaskJob("j"), TimeLeft: time.Second}}})
	assert.Empty(t, effectsOf[Start](effects))
	require.Len(t, effectsOf[Send](effects), 1)
	assert.Equal(t, WrongHolder, effectsOf[Send](effects)[0].Message.Verdict.Outcome)
}

// TestResubmittedStartedJobIsNotRefused: a job with tasks that were started for a
// previous submission must not be refused as not run, even if there is no room for it.
func TestResubmittedStartedJobIsNotRefused(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	receiveHeartbeat := func() {
		b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	}
	offer := func() []Send {
		return effectsOf[Send](b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: twoTaskJob("j"), TimeLeft: 300 * time.Millisecond}}}))
	}
	receiveHeartbeat()
	assert.Empty(t, offer())
	b.router.endJobsOfOrigin(peer.Address)
	b.step(Submit{Request: 1, Job: twoTaskJob("other"), Budget: 9 * time.Second})
	receiveHeartbeat()
	sends := offer()
	require.Len(t, sends, 1)
	assert.Equal(t, Unknown, sends[0].Message.Verdict.Outcome)
}

// TestDroppedJobDoesNotStartBesideItsOldRun: a holder may lose the cell of a job's host
// but keep that of the job's target, and then be offered the job again. It must not
// start a task while its own previous run is being stopped, and must not report the job
// as not run.
func TestDroppedJobDoesNotStartBesideItsOldRun(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.startTask("j", Running)
	b.router.dropJobsOfZone("north") // as if a cell without these targets was lost
	j := twoTaskJob("j")
	j.Count = 1
	effects := b.step(Submit{Request: 9, Job: j, Budget: 5 * time.Second})
	b.router.handleOffer(nil, &Offer{Job: j, TimeLeft: 5 * time.Second})
	assert.Empty(t, effectsOf[Start](append(effects, b.advance(b.router.Bounds.TickInterval)...)), "run %d is being stopped", first.Run)
	assert.True(t, b.router.jobs["j"].mayHaveStartedEarlier)
}

// TestUnresponsiveTargetLeaseIsNotExtended: the lease of a target that does not answer
// must not be extended, so that its tasks can start elsewhere once the lease has
// expired.
func TestUnresponsiveTargetLeaseIsNotExtended(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	bounds := b.router.Bounds
	j := twoTaskJob("j")
	j.Count, j.ExpectedRunTime, j.Stretch = 1, time.Second, 2
	starts := effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 9 * time.Second}))
	require.Len(t, starts, 1)
	first := starts[0]
	effects := b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: Running})
	cutAt := b.now
	var restarts []Start
	detectionDelay := bounds.RenewWait + bounds.RenewTimeout
	for b.now.Sub(cutAt) < detectionDelay+bounds.LeaseDuration && len(restarts) == 0 {
		var next []Effect
		for _, e := range effectsOf[Renew](effects) {
			if e.Target.ID != first.Target.ID {
				next = append(next, b.answerRenewal(e)...)
			}
		}
		unresponsive := b.now.Sub(cutAt) >= detectionDelay
		if unresponsive {
			for id, target := range b.router.targets {
				if id == first.Target.ID && target.renewing {
					next = append(next, b.step(RenewAnswered{Target: id, Token: target.token, SentAt: b.now, Result: NoAnswer})...)
				}
			}
		}
		for _, e := range effectsOf[Renew](next) {
			if unresponsive && e.Target.ID == first.Target.ID {
				assert.Zero(t, e.LeaseEnd, "after %v", b.now.Sub(cutAt))
			}
		}
		effects = append(next, b.advance(bounds.TickInterval)...)
		restarts = effectsOf[Start](effects)
	}
	require.Len(t, restarts, 1, "after %v", b.now.Sub(cutAt))
	assert.NotEqual(t, first.Target.ID, restarts[0].Target.ID)
	assert.Greater(t, restarts[0].Run, first.Run)
}

// TestReportedProgressIsNotPolled: while other answers of a target report the progress
// of its runs, no poll may be sent for progress alone.
func TestReportedProgressIsNotPolled(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	first, _ := b.startTask("j", Running)
	polls := 0
	for i := range 6 {
		for _, e := range effectsOf[Renew](b.advance(minProgressPollDelay / 2)) {
			if e.Poll {
				polls++
			}
		}
		renew := Renew{Target: first.Target, Token: first.Token}
		b.answerRenewal(renew, RunningTask{Task: first.Task, Run: first.Run, Percent: float64(10 * i)})
	}
	assert.Zero(t, polls)
}

// TestAnsweredPollShowsTargetIsHealthy: while a renewal or a poll waits for an answer
// that was lost, further polls must be sent. One that is answered shows that the target
// is healthy, so losing the answer to an older poll must not make it unresponsive;
// losing the answer to a newer renewal must.
func TestAnsweredPollShowsTargetIsHealthy(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	start, _ := b.startTask("j", Running)
	var polls []Renew
	for _, e := range effectsOf[Renew](b.advance(3 * minProgressPollDelay)) {
		if e.Poll {
			polls = append(polls, e)
		}
	}
	require.GreaterOrEqual(t, len(polls), 2, "a poll that is not answered is followed by another")
	b.answerRenewal(polls[1], RunningTask{Task: start.Task, Run: start.Run, Percent: 50})
	target := b.router.targets[start.Target.ID]
	b.step(RenewAnswered{Target: start.Target.ID, Token: start.Token, SentAt: b.now.Add(-minProgressPollDelay), Result: NoAnswer, Poll: true})
	assert.Zero(t, target.missedRenewals)
	assert.True(t, b.router.isUsable(target))
	b.now = b.now.Add(time.Millisecond)
	b.step(RenewAnswered{Target: start.Target.ID, Token: start.Token, SentAt: b.now, Result: NoAnswer})
	assert.False(t, b.router.isUsable(target))
}

// TestUnlistedTargetsAreRetainedAfterPartition: a holder that was partitioned off with its
// targets must keep using them when it reaches other hosts again whose directory lacks
// them, but only for a limited time.
func TestUnlistedTargetsAreRetainedAfterPartition(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	peer := Member{Name: "b", Zone: "south", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(DirectoryReadFailed{})
	b.advance(2 * maxShortOutage)
	receiveDirectory := func(version uint64) {
		heartbeat := &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}
		b.step(Receive{From: peer.Address, Message: Message{Heartbeat: heartbeat}})
		b.step(Receive{From: peer.Address, Message: Message{Directory: &Directory{Version: version}}})
	}
	receiveDirectory(7)
	assert.Len(t, b.router.directory.Targets, 3)
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 8}})
	assert.Len(t, b.router.directory.Targets, 3)
	b.advance(b.router.Bounds.UnlistedGrace + b.router.Bounds.TickInterval)
	receiveDirectory(9)
	assert.Empty(t, b.router.directory.Targets)
}

// TestPeerDirectoryIsAdoptedDuringStoreOutage: a host that does not reach the store but
// has reached a peer all along must adopt that peer's directory unchanged.
func TestPeerDirectoryIsAdoptedDuringStoreOutage(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	peer := Member{Name: "b", Zone: "south", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(DirectoryReadFailed{})
	for start := b.now; b.now.Sub(start) < b.router.Bounds.UnlistedGrace+2*maxShortOutage; {
		b.advance(b.router.Bounds.HeartbeatInterval)
		heartbeat := &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}
		b.step(Receive{From: peer.Address, Message: Message{Heartbeat: heartbeat}})
	}
	b.step(Receive{From: peer.Address, Message: Message{Directory: &Directory{Version: 7}}})
	assert.Empty(t, b.router.directory.Targets)
}

// TestFailedTrialsLengthenEjection: a target whose trials fail must be ejected for
// longer each time, up to a bound. After a successful run the first duration applies
// again.
func TestFailedTrialsLengthenEjection(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	target := b.router.sortedTargets[0]
	var ejections []time.Duration
	for range 5 {
		b.router.ejectTarget(target, time.Second, "failing")
		ejections = append(ejections, target.ejectedUntil.Sub(b.now))
		b.router.ejectTarget(target, time.Second, "failing") // a second failed run of the same ejection
		b.now = target.ejectedUntil
		b.router.now = b.now
	}
	assert.Equal(t, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second}, ejections)
	b.router.ejectTarget(target, time.Second, "failing")
	b.router.updateTargetHealth(&run{target: target}, EndDone) // a run that was started before the ejection
	b.router.ejectTarget(target, time.Second, "failing")
	assert.Equal(t, time.Second, target.ejectedUntil.Sub(b.now))
}

// TestDoneTaskIsReportedBeforeItsEndIsAcknowledged: a done task must be reported to the
// job's host before the target may forget the end of its run.
func TestDoneTaskIsReportedBeforeItsEndIsAcknowledged(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	starts := effectsOf[Start](b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second}}}))
	require.Len(t, starts, 2)
	for _, e := range starts {
		b.step(StartAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Result: Running})
	}
	b.now = b.now.Add(50 * time.Millisecond)
	effects := b.step(RenewAnswered{
		Target: starts[0].Target.ID, Token: starts[0].Token, SentAt: b.now, Result: Running,
		Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: starts[1].Task, Run: starts[1].Run}},
		Ended: []End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Reason: EndDone}},
	})
	reported := false
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			reported = reported || e.Message.Progress != nil
		case Renew:
			assert.True(t, reported || e.Acked == 0)
		}
	}
	assert.True(t, reported)
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// holderBed is a router that holds its zone's cell, with targets of room for two
// tasks each.
type holderBed struct {
	*bed
	t *testing.T
}

func entries(count int) []Target {
	var list []Target
	for i := range count {
		list = append(list, Target{
			ID: string(rune('p' + i)), Address: "10.1.0.1:1", Service: "work", Zone: "north", Capacity: Resources{CPU: 2000, Memory: 10}, Labels: []string{"a"},
		})
	}
	return list
}

func newHolderBed(t *testing.T, targets int, result ClaimResult) *holderBed {
	t.Helper()
	b := &holderBed{bed: &bed{now: time.Unix(origin, 0)}, t: t}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.step(Tick{})
	b.step(Registered{Slot: 2, SlotUses: 1})
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: entries(targets)}})
	stakes := only[WriteClaims](b.pass(b.router.Bounds.StartupDelay + b.router.Bounds.TickInterval))
	require.NotEmpty(t, stakes)
	rows := stakes[0].Rows
	if result == ClaimTimeout {
		rows = nil
	}
	for _, renew := range only[Renew](b.step(ClaimsWritten{Token: stakes[0].Token, Result: result, Rows: rows})) {
		b.answer(renew)
	}
	return b
}

// only returns the effects of one type.
func only[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// answer answers a renewal with what runs and what has ended.
func (b *holderBed) answer(e Renew, running ...RunningTask) []Effect {
	return b.step(RenewAnswered{
		Target: e.Target.ID, Token: e.Token, SentAt: b.now, Poll: e.Poll, Result: Running,
		Clock: Reading{Millis: b.now.UnixMilli() - origin*1000, At: b.now}, Running: running,
	})
}

// pass lets time go by in ticks.
func (b *holderBed) pass(d time.Duration) []Effect {
	var all []Effect
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

// begin submits a job of one task and has its start answered.
func (b *holderBed) begin(id string, result StartResult) (Start, []Effect) {
	b.t.Helper()
	j := pair(id)
	j.Count = 1
	starts := only[Start](b.step(Submit{Request: uint64(len(id)), Job: j, Budget: 5 * time.Second}))
	require.Len(b.t, starts, 1)
	b.now = b.now.Add(time.Millisecond)
	return starts[0], b.step(StartAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Result: result})
}

// TestQuarantineTakesNoRoom: a job that waits for an earlier holder's targets does
// not count as work ahead of a new one that could start at once.
func TestQuarantineTakesNoRoom(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	b.router.former["gone"] = &sighting{target: Target{ID: "gone", Zone: "north"}, told: b.now}
	resent := pair("resent")
	resent.Count, resent.ExpectedRunTime = 30, time.Second
	b.step(Submit{Request: 1, Job: resent, Budget: 9 * time.Second})
	b.router.offered(nil, &Offer{Job: resent, TimeLeft: 9 * time.Second, Reoffered: true, PreviousZones: []string{"north"}, Done: []int{0}})
	effects := b.step(Submit{Request: 2, Job: pair("fresh"), Budget: 5 * time.Second})
	assert.Empty(t, answers(effects))
	assert.Len(t, only[Start](effects), 2)
}

// TestOrphansAreNotExtended: runs that no job claims get no longer lease, and are
// stopped by name.
func TestOrphansAreNotExtended(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	renews := only[Renew](b.pass(b.router.Bounds.IdleRenewInterval + b.router.Bounds.TickInterval))
	require.NotEmpty(t, renews)
	effects := b.answer(renews[0], RunningTask{Task: "x.0.0.0", Run: 3})
	effects = append(effects, b.pass(40*time.Millisecond)...)
	for _, e := range only[Renew](effects) {
		assert.Zero(t, e.LeaseEnd)
	}
	stops := only[Stop](effects)
	require.NotEmpty(t, stops)
	assert.Equal(t, "x.0.0.0", stops[0].Task)
	assert.Equal(t, 3, stops[0].Run)
}

// TestRepeatedStart: a start without an answer is ordered once more, as the same
// run. When that is answered the run goes on; any other answer does not tell whether
// the first order was carried out.
func TestRepeatedStart(t *testing.T) {
	for _, result := range []StartResult{Running, StaleRun, NoCapacity, OrderExpired, Unhealthy} {
		b := newHolderBed(t, 2, ClaimWon)
		first, effects := b.begin("j", NoAnswer)
		assert.Empty(t, only[Stop](effects))
		repeats := only[Start](effects)
		require.Len(t, repeats, 1)
		assert.Equal(t, first.Run, repeats[0].Run)
		assert.Equal(t, first.Target.ID, repeats[0].Target.ID)
		effects = b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: result})
		assert.Empty(t, only[Start](effects), result)
		if result == Running {
			assert.Empty(t, only[Stop](effects))
		} else {
			assert.Len(t, only[Stop](effects), 1, result)
		}
	}
}

// TestDoubtfulStart: a start that is not answered twice is stopped, and the task
// starts elsewhere only when a list asked for after the stop lacks the run.
func TestDoubtfulStart(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, effects := b.begin("j", NoAnswer)
	assert.Empty(t, only[Stop](effects))
	effects = b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: NoAnswer})
	require.Len(t, only[Stop](effects), 1)
	assert.Empty(t, only[Start](effects))
	looks := only[Renew](effects)
	require.NotEmpty(t, looks)
	assert.Empty(t, only[Start](b.answer(looks[0])), "the list was asked for before the stop was answered")
	b.now = b.now.Add(time.Millisecond)
	effects = b.step(StopAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Acknowledged: true})
	looks = only[Renew](effects)
	require.NotEmpty(t, looks)
	b.now = b.now.Add(time.Millisecond)
	starts := only[Start](b.answer(looks[0]))
	require.Len(t, starts, 1)
	assert.Greater(t, starts[0].Run, first.Run)
}

// TestStalledRunMoves: a run that makes no progress is stopped while its job can
// still end in time elsewhere.
func TestStalledRunMoves(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.begin("j", Running)
	b.now = b.now.Add(800 * time.Millisecond)
	effects := b.step(RenewAnswered{
		Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: Running, Poll: true,
		Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 1}},
	})
	assert.Len(t, only[Stop](effects), 1)
}

// TestHopelessRunIsGivenUp: progress that shows that a job cannot end in time gives
// its client the answer at once.
func TestHopelessRunIsGivenUp(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.begin("j", Running)
	b.router.jobs["j"].tasks[0].run.expect = 8 * time.Second
	b.now = b.now.Add(time.Second)
	effects := b.step(RenewAnswered{
		Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: Running, Poll: true,
		Clock: Reading{Millis: 900_000, At: b.now}, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 10}},
	})
	got := answers(effects)
	require.Len(t, got, 1)
	assert.Equal(t, Failed, got[0].Outcome)
	assert.Equal(t, Expired, got[0].Reason)
	assert.Len(t, only[Stop](effects), 1)
}

// TestFencedHolderStops: a target that obeys a higher token takes the cell away;
// nothing more is started, and no order goes to the zone's targets.
func TestFencedHolderStops(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.begin("j", Running)
	b.step(RenewAnswered{Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: Fenced})
	effects := b.step(Submit{Request: 9, Job: pair("k"), Budget: 5 * time.Second})
	assert.Empty(t, only[Start](effects))
	assert.Empty(t, only[Stop](b.pass(b.router.Bounds.TickInterval)))
}

// TestClaimIsWrittenLater: a claim that was made while the store was away is
// written once it is back, so that hosts that start anew go on from its token.
func TestClaimIsWrittenLater(t *testing.T) {
	b := newHolderBed(t, 1, ClaimTimeout)
	stakes := only[WriteClaims](b.pass(time.Second))
	require.NotEmpty(t, stakes)
	assert.Equal(t, b.router.cells["north"].claim.Token, stakes[0].Token)
	b.step(ClaimsWritten{Token: stakes[0].Token, Result: ClaimWon, Rows: stakes[0].Rows})
	assert.Empty(t, only[WriteClaims](b.pass(2*time.Second)))
}

// TestRegainedCell: a host that loses a cell and claims it again at once starts
// nothing of the jobs that it had: another host has had them meanwhile.
func TestRegainedCell(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	b.begin("j", Running)
	c := b.router.cells["north"]
	b.step(Receive{Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}, Sent: 1,
		Claims: []Claim{{Zone: "north", Token: c.claim.Token + 1<<20, Holder: Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}}},
	}}})
	require.False(t, c.mine)
	b.router.acquire(c, c.claim.Token+1<<20)
	require.NotNil(t, b.router.jobs["j"], "it is offered anew")
	assert.True(t, b.router.jobs["j"].resent)
}

// TestLargeJobsAreRefusedEarlier: under the same backlog a job with much work for
// its route is refused while a usual one is taken.
func TestLargeJobsAreRefusedEarlier(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	b.router.works["r"] = 2 * 0.1 * 1000
	usual, large := pair("usual"), pair("large")
	large.Count = 12
	u, l := b.router.accept("x", &Offer{Job: usual, TimeLeft: time.Minute}), b.router.accept("x", &Offer{Job: large, TimeLeft: time.Minute})
	assert.Less(t, b.router.weight(u), b.router.weight(l))
	assert.LessOrEqual(t, b.router.weight(l), mostShare)
}

// TestStrongHostsFirst: of two candidates the one with more processor comes first,
// whatever their slots.
func TestStrongHostsFirst(t *testing.T) {
	b := newBed(t)
	b.peer.CPUShare, b.router.Self.CPUShare = 200, 800
	b.hold(1)
	list := b.router.candidates("north")
	require.Len(t, list, 2)
	assert.Equal(t, "a", list[0].Name)
}

// TestStaleOffer: an offer that comes out of a cut, from a host that has not been
// heard for long, starts nothing; its client may have been answered long ago.
func TestStaleOffer(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: 1, Echo: b.now.UnixNano()}}})
	b.now = b.now.Add(5 * time.Second)
	effects := b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: pair("j"), TimeLeft: time.Second}}})
	assert.Empty(t, only[Start](effects))
	require.Len(t, only[Send](effects), 1)
	assert.Equal(t, WrongHolder, only[Send](effects)[0].Message.Verdict.Outcome)
}

// TestSecondSubmissionIsNotRefused: a job of which tasks were started for an
// earlier submission is not refused as not run, even if there is no room for it.
func TestSecondSubmissionIsNotRefused(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	hear := func() {
		b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	}
	offer := func() []Send {
		return only[Send](b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: pair("j"), TimeLeft: 300 * time.Millisecond}}}))
	}
	hear()
	assert.Empty(t, offer())
	b.router.dropOrigin(peer.Address)
	b.step(Submit{Request: 1, Job: pair("other"), Budget: 9 * time.Second})
	hear()
	sends := offer()
	require.Len(t, sends, 1)
	assert.Equal(t, Unknown, sends[0].Message.Verdict.Outcome)
}

// TestDroppedJobIsRemembered: a holder that loses the cell of a job's host, but not
// that of its target, and gets the job back does not start a task beside its own
// run that is still being stopped, and does not call the job not run.
func TestDroppedJobIsRemembered(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.begin("j", Running)
	b.router.dropZone("north") // as for a cell whose targets are not these
	j := pair("j")
	j.Count = 1
	effects := b.step(Submit{Request: 9, Job: j, Budget: 5 * time.Second})
	b.router.offered(nil, &Offer{Job: j, TimeLeft: 5 * time.Second})
	assert.Empty(t, only[Start](append(effects, b.pass(b.router.Bounds.TickInterval)...)), "run %d is being stopped", first.Run)
	assert.True(t, b.router.jobs["j"].tried)
}

// TestSilentTargetLapses: a target that does not answer gets no longer lease, so
// that what ran there can start elsewhere once it has passed.
func TestSilentTargetLapses(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	bounds := b.router.Bounds
	j := pair("j")
	j.Count, j.ExpectedRunTime, j.Stretch = 1, time.Second, 2
	starts := only[Start](b.step(Submit{Request: 1, Job: j, Budget: 9 * time.Second}))
	require.Len(t, starts, 1)
	first := starts[0]
	effects := b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: Running})
	cut := b.now
	var again []Start
	noticed := bounds.RenewWait + bounds.RenewTimeout
	for b.now.Sub(cut) < noticed+bounds.LeaseDuration && len(again) == 0 {
		var next []Effect
		for _, e := range only[Renew](effects) {
			if e.Target.ID != first.Target.ID {
				next = append(next, b.answer(e)...)
			}
		}
		silent := b.now.Sub(cut) >= noticed
		if silent {
			for id, target := range b.router.targets {
				if id == first.Target.ID && target.waiting {
					next = append(next, b.step(RenewAnswered{Target: id, Token: target.token, SentAt: b.now, Result: NoAnswer})...)
				}
			}
		}
		for _, e := range only[Renew](next) {
			if silent && e.Target.ID == first.Target.ID {
				assert.Zero(t, e.LeaseEnd, "after %v", b.now.Sub(cut))
			}
		}
		effects = append(next, b.pass(bounds.TickInterval)...)
		again = only[Start](effects)
	}
	require.Len(t, again, 1, "after %v", b.now.Sub(cut))
	assert.NotEqual(t, first.Target.ID, again[0].Target.ID)
	assert.Greater(t, again[0].Run, first.Run)
}

// TestShownProgressIsNotAskedFor: while other answers of a target show how far its
// runs have come, none is asked for that alone.
func TestShownProgressIsNotAskedFor(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	first, _ := b.begin("j", Running)
	looks := 0
	for i := range 6 {
		for _, e := range only[Renew](b.pass(shortestLook / 2)) {
			if e.Poll {
				looks++
			}
		}
		renew := Renew{Target: first.Target, Token: first.Token}
		b.answer(renew, RunningTask{Task: first.Task, Run: first.Run, Percent: float64(10 * i)})
	}
	assert.Zero(t, looks)
}

// TestLostAnswers: while a renewal or a look waits in vain for its answer, others are
// sent, and one that is answered shows that the target is sound.
func TestLostAnswers(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	first, _ := b.begin("j", Running)
	var looks []Renew
	for _, e := range only[Renew](b.pass(3 * shortestLook)) {
		if e.Poll {
			looks = append(looks, e)
		}
	}
	require.GreaterOrEqual(t, len(looks), 2, "the first look was lost")
	b.answer(looks[1], RunningTask{Task: first.Task, Run: first.Run, Percent: 50})
	target := b.router.targets[first.Target.ID]
	b.step(RenewAnswered{Target: first.Target.ID, Token: first.Token, SentAt: b.now.Add(-shortestLook), Result: NoAnswer, Poll: true})
	assert.Zero(t, target.misses)
	assert.True(t, b.router.usable(target))
	b.now = b.now.Add(time.Millisecond)
	b.step(RenewAnswered{Target: first.Target.ID, Token: first.Token, SentAt: b.now, Result: NoAnswer})
	assert.False(t, b.router.usable(target))
}

// TestListAfterCut: a holder that was cut off with its targets keeps using them when
// the others, whose list lacks them, are back; for a while only.
func TestListAfterCut(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	peer := Member{Name: "b", Zone: "south", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(DirectoryReadFailed{})
	b.pass(2 * shortOutage)
	hear := func(version uint64) {
		beat := &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}
		b.step(Receive{From: peer.Address, Message: Message{Heartbeat: beat}})
		b.step(Receive{From: peer.Address, Message: Message{Directory: &Directory{Version: version}}})
	}
	hear(7)
	assert.Len(t, b.router.directory.Targets, 3)
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 8}})
	assert.Len(t, b.router.directory.Targets, 3)
	b.pass(b.router.Bounds.UnlistedGrace + b.router.Bounds.TickInterval)
	hear(9)
	assert.Empty(t, b.router.directory.Targets)
}

// TestListWithoutStore: a host that does not reach the store, but others all along,
// takes their list as it is.
func TestListWithoutStore(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	peer := Member{Name: "b", Zone: "south", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(DirectoryReadFailed{})
	for start := b.now; b.now.Sub(start) < b.router.Bounds.UnlistedGrace+2*shortOutage; {
		b.pass(b.router.Bounds.HeartbeatInterval)
		beat := &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}
		b.step(Receive{From: peer.Address, Message: Message{Heartbeat: beat}})
	}
	b.step(Receive{From: peer.Address, Message: Message{Directory: &Directory{Version: 7}}})
	assert.Empty(t, b.router.directory.Targets)
}

// TestTrialsGrowRare: a target whose trials fail is left out longer each time, up to a
// bound, and no longer than at first once a run has succeeded.
func TestTrialsGrowRare(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	target := b.router.pool[0]
	var spans []time.Duration
	for range 5 {
		b.router.bar(target, time.Second, "failing")
		spans = append(spans, target.barred.Sub(b.now))
		b.router.bar(target, time.Second, "failing") // a second run of the same time
		b.now = target.barred
		b.router.now = b.now
	}
	assert.Equal(t, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second}, spans)
	b.router.bar(target, time.Second, "failing")
	b.router.judge(&run{target: target}, EndDone) // a run that had begun before
	b.router.bar(target, time.Second, "failing")
	assert.Equal(t, time.Second, target.barred.Sub(b.now))
}

// TestEndsAreToldFirst: the host of a job is told of a task that is done before its
// target may forget it.
func TestEndsAreToldFirst(t *testing.T) {
	b := newHolderBed(t, 1, ClaimWon)
	peer := Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Receive{From: peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}}})
	starts := only[Start](b.step(Receive{From: peer.Address, Message: Message{Offer: &Offer{Job: pair("j"), TimeLeft: 5 * time.Second}}}))
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
	told := false
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			told = told || e.Message.Progress != nil
		case Renew:
			assert.True(t, told || e.Acked == 0)
		}
	}
	assert.True(t, told)
}

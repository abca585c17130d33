package router

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crashBed is a holder whose targets answer all orders, except those that have crashed.
type crashBed struct {
	*holderBed
	startedAt map[string]int64          // process of each target
	running   map[string]map[string]int // run numbers by target and task; no entry for a crashed target
	deadly    string                    // task that crashes the targets that start it
	back      time.Duration             // after which crashed targets start again; never if 0
	backAt    map[string]time.Time      // of each target that is to start again
	renewals  []pendingRenewal
	starts    []Start
	answers   []Verdict
	sent      []Message
	logged    []string // actions of the ledger's decisions, with the targets
}

// pendingRenewal is a renewal that is answered, or counts as unanswered, at a later time.
type pendingRenewal struct {
	renew  Renew
	sentAt time.Time
}

// bornAt is the start time of the targets in Unix milliseconds.
const bornAt = testEpoch*1000 - 60_000

func newCrashBed(t *testing.T, targets int) *crashBed {
	t.Helper()
	b := &crashBed{holderBed: newHolderBed(t, targets, ClaimWon), startedAt: make(map[string]int64), running: make(map[string]map[string]int), backAt: make(map[string]time.Time)}
	entries := newTargets(targets)
	for i := range entries {
		entries[i].StartedAt = bornAt
		entries[i].Labels = append(entries[i].Labels, entries[i].ID)
		b.startedAt[entries[i].ID], b.running[entries[i].ID] = bornAt, make(map[string]int)
	}
	b.settle(b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: entries}}))
	b.run(b.router.Bounds.IdleRenewInterval)
	return b
}

// longJob returns a job whose single task may start again for several seconds.
func longJob(id string) Job {
	j := twoTaskJob(id)
	j.Count, j.ExpectedRunTime = 1, 4*time.Second
	return j
}

// submit submits a job with a timeout of 15 s.
func (b *crashBed) submit(j Job) {
	b.settle(b.step(Submit{Request: uint64(len(b.answers)) + 1, Job: j, Budget: 15 * time.Second}))
}

// run advances the time and answers the orders to the targets.
func (b *crashBed) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		for _, id := range sortedKeys(b.backAt) {
			if !b.now.Before(b.backAt[id]) {
				delete(b.backAt, id)
				b.restart(id)
			}
		}
		b.settle(b.step(Tick{}))
		pending := b.renewals
		b.renewals = nil
		for _, p := range pending {
			b.answerDue(p)
		}
	}
}

// answerDue answers a renewal if its wait is over, or if its timeout is over and the target has
// crashed.
func (b *crashBed) answerDue(p pendingRenewal) {
	delay := p.renew.Wait
	if b.running[p.renew.Target.ID] == nil {
		delay = p.renew.Timeout
	}
	if b.now.Before(p.sentAt.Add(delay)) {
		b.renewals = append(b.renewals, p)
		return
	}
	b.settle(b.renew(p))
}

// settle answers orders, and the orders that follow.
func (b *crashBed) settle(effects []Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case Start:
			effects = append(effects, b.start(e)...)
		case Stop:
			delete(b.running[e.Target.ID], e.Task)
			effects = append(effects, b.step(StopAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Acknowledged: b.running[e.Target.ID] != nil})...)
		case Renew:
			b.renewals = append(b.renewals, pendingRenewal{e, b.now})
		case Answer:
			b.answers = append(b.answers, e.Verdict)
		case Decision:
			if e.Action == "suspect" || e.Action == "undecided" || e.Action == "crash" || e.Action == "acquit" {
				b.logged = append(b.logged, e.Action+" "+e.Target)
			}
		case Violation:
			b.t.Errorf("%s: %s", e.Invariant, e.Detail)
		case Send:
			b.sent = append(b.sent, e.Message)
		}
	}
}

func (b *crashBed) start(e Start) []Effect {
	b.starts = append(b.starts, e)
	result := NotSent
	if running := b.running[e.Target.ID]; running != nil {
		running[e.Task] = e.Run
		result = Running
	}
	effects := b.step(StartAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Result: result, Clock: b.clockOf(e.Target.ID)})
	if e.Task == b.deadly {
		delete(b.running, e.Target.ID)
		if b.back > 0 {
			b.backAt[e.Target.ID] = b.now.Add(b.back)
		}
	}
	return effects
}

func (b *crashBed) renew(p pendingRenewal) []Effect {
	e := p.renew
	answer := RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: p.sentAt, Poll: e.Poll, LeaseEnd: e.LeaseEnd, Result: NoAnswer}
	if running := b.running[e.Target.ID]; running != nil {
		answer.Result, answer.StartedAt = Running, b.startedAt[e.Target.ID]
		answer.Clock = b.clockOf(e.Target.ID)
		for _, task := range sortedKeys(running) {
			answer.Running = append(answer.Running, RunningTask{Task: task, Run: running[task]})
		}
	}
	return b.step(answer)
}

// hear delivers crashes that another host has recorded.
func (b *crashBed) hear(crashes []Crash) {
	const address = "10.0.0.8:1"
	b.receiveHeartbeatFrom(address)
	b.settle(b.step(Receive{From: address, Message: Message{Progress: &Progress{Crashes: crashes}}}))
}

// clockOf returns a reading of a target's clock, which counts from the start of its process.
func (b *crashBed) clockOf(id string) Reading {
	return Reading{Millis: b.now.UnixMilli() - b.startedAt[id], At: b.now}
}

// restart starts a crashed target again.
func (b *crashBed) restart(id string) {
	b.startedAt[id], b.running[id] = b.now.UnixMilli(), make(map[string]int)
}

// startsOf returns the starts of a task.
func (b *crashBed) startsOf(task string) []Start {
	var list []Start
	for _, e := range b.starts {
		if e.Task == task {
			list = append(list, e)
		}
	}
	return list
}

// crashTwice submits a deadly job and lets it crash two targets, which are back before their leases
// have expired.
func (b *crashBed) crashTwice(id string) []Start {
	b.t.Helper()
	b.deadly, b.back = id+".0.0.0", 300*time.Millisecond
	b.submit(longJob(id))
	b.run(3 * time.Second)
	starts := b.startsOf(b.deadly)
	require.Len(b.t, starts, 2)
	require.NotEqual(b.t, starts[0].Target.ID, starts[1].Target.ID)
	return starts
}

// loseTwice submits a job whose targets fall silent under its task, one after the other, until the
// second run has lapsed. The task has started at a third target then.
func (b *crashBed) loseTwice(id string) []Start {
	b.t.Helper()
	b.deadly = id + ".0.0.0"
	b.submit(longJob(id))
	for len(b.startsOf(id+".0.0.0")) < 2 {
		b.run(b.router.Bounds.TickInterval)
	}
	b.deadly = ""
	for len(b.router.crashes.crashesOf(id, 0)) < 2 {
		b.run(b.router.Bounds.TickInterval)
	}
	starts := b.startsOf(id + ".0.0.0")
	require.Len(b.t, starts, 3)
	return starts[:2]
}

// TestTaskIsGivenUpAfterTwoCrashes guards against a task that crashes one target after another.
func TestTaskIsGivenUpAfterTwoCrashes(t *testing.T) {
	b := newCrashBed(t, 5)
	starts := b.crashTwice("x")
	require.Len(t, b.answers, 1)
	assert.Equal(t, Failed, b.answers[0].Outcome)
	assert.Equal(t, Crashes, b.answers[0].Reason)
	b.run(time.Second)
	assert.Len(t, b.startsOf("x.0.0.0"), 2)
	first, second := starts[0].Target.ID, starts[1].Target.ID
	assert.Equal(t, []string{"crash " + first, "crash " + second}, b.logged)
}

// TestCrashesAreKeptForResubmission guards against a deadly task that starts again for another
// submission of its job.
func TestCrashesAreKeptForResubmission(t *testing.T) {
	b := newCrashBed(t, 5)
	b.crashTwice("x")
	b.run(b.router.jobs["x"].retainedUntil.Sub(b.now) + time.Second)
	require.Nil(t, b.router.jobs["x"])
	b.submit(longJob("x"))
	require.Len(t, b.answers, 2)
	assert.Equal(t, Crashes, b.answers[1].Reason)
	assert.Len(t, b.startsOf("x.0.0.0"), 2)
	b.deadly = ""
	b.run(crashRetention)
	b.submit(longJob("x"))
	assert.Len(t, b.startsOf("x.0.0.0"), 3, "after crashRetention")
}

// TestSilentTargetIsNoCrash guards against a job that is given up because targets were cut off.
func TestSilentTargetIsNoCrash(t *testing.T) {
	b := newCrashBed(t, 5)
	starts := b.loseTwice("x")
	for _, e := range starts {
		b.running[e.Target.ID] = make(map[string]int) // the same process
	}
	b.run(time.Second)
	assert.Empty(t, b.answers)
	assert.Len(t, b.startsOf("x.0.0.0"), 3)
	assert.Contains(t, b.logged, "acquit "+starts[0].Target.ID)
	assert.Empty(t, b.router.crashes.crashesOf("x", 0))
}

// TestDoneTaskClearsCrashes guards against crashes that are held against a task that has ended
// well since.
func TestDoneTaskClearsCrashes(t *testing.T) {
	b := newCrashBed(t, 5)
	b.deadly = "x.0.0.0"
	b.submit(longJob("x"))
	b.deadly = ""
	b.run(2 * time.Second)
	require.Len(t, b.startsOf("x.0.0.0"), 2)
	require.Len(t, b.router.crashes.entries, 1)
	b.router.completeTask(b.router.jobs["x"], 0)
	assert.Empty(t, b.router.crashes.entries)
	assert.Empty(t, b.router.crashes.unsettled)
}

// TestSuspectTaskRunsApart guards against tasks that are lost beside a deadly one: a task under
// which a target was lost starts at an empty target, and none starts beside it.
func TestSuspectTaskRunsApart(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		b := newCrashBed(t, 3)
		if !isolated {
			b.router.Policy.Disabled = CrashIsolation
		}
		b.router.crashes.add(Crash{Job: "x", Target: "gone", StartedAt: bornAt}, b.now)
		first, large := longJob("first"), longJob("large")
		first.Label = "q"
		large.Need.CPU = 2000 // there is no room beside it
		for _, j := range []Job{first, longJob("x"), large, longJob("last")} {
			b.submit(j)
		}
		require.Len(t, b.starts, 4)
		place := func(i int) string { return b.starts[i].Target.ID }
		assert.Equal(t, isolated, place(1) != place(0), "isolated %v", isolated)
		assert.NotEqual(t, place(1), place(3))
	}
}

// confirmedCrashes returns two crashes under the first task of a job.
func confirmedCrashes(id string) []Crash {
	return []Crash{{Job: id, Target: "p", StartedAt: bornAt - 1, Confirmed: true, Run: 1}, {Job: id, Target: "q", StartedAt: bornAt - 1, Confirmed: true, Run: 2}}
}

// TestCrashesReachNextHolder guards against a new holder that starts a deadly task because it does
// not know of the crashes before.
func TestCrashesReachNextHolder(t *testing.T) {
	origin := newOriginBed(t)
	origin.step(Submit{Request: 1, Job: longJob("x"), Budget: 9 * time.Second})
	origin.step(Receive{From: origin.peer.Address, Message: Message{Progress: &Progress{Crashes: confirmedCrashes("x")}}})
	origin.peer = Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3}
	offered := offers(origin.receiveHeartbeat(2))
	require.Len(t, offered, 1)
	require.Equal(t, confirmedCrashes("x"), offered[0].Crashes)

	b := newCrashBed(t, 3)
	b.receiveHeartbeatFrom("10.0.0.9:1")
	offered[0].Token, offered[0].Incarnation = b.router.cells["north"].claim.Token, b.router.peers["10.0.0.9:1"].member.Incarnation
	b.settle(b.step(Receive{From: "10.0.0.9:1", Message: Message{Offer: &offered[0]}}))
	require.NotEmpty(t, b.sent)
	verdict := b.sent[len(b.sent)-1].Verdict
	require.NotNil(t, verdict)
	assert.Equal(t, Failed, verdict.Outcome)
	assert.Equal(t, Crashes, verdict.Reason)
	assert.Empty(t, b.starts)
}

// TestHolderSendsCrashes guards against a holder that keeps the crashes to itself: it reports them
// to the host of the job's client at once, and to its successors with its learned state.
func TestHolderSendsCrashes(t *testing.T) {
	const address = "10.0.0.9:1"
	b := newCrashBed(t, 5)
	b.receiveHeartbeatFrom(address)
	b.deadly = "x.0.0.0"
	b.settle(b.step(Receive{From: address, Message: Message{Offer: &Offer{Job: longJob("x"), TimeLeft: 9 * time.Second, SubmissionID: 7}}}))
	var reported, sent []Crash
	for range 15 {
		b.run(100 * time.Millisecond)
		b.receiveHeartbeatFrom(address)
	}
	for _, m := range b.sent {
		switch {
		case m.Progress != nil:
			reported = append(reported, m.Progress.Crashes...)
		case m.Heartbeat != nil:
			sent = append(sent, m.Heartbeat.Crashes...)
		}
	}
	crash := Crash{Job: "x", Target: b.starts[0].Target.ID, StartedAt: bornAt, Run: 1}
	assert.Contains(t, reported, crash)
	b.run(time.Second)
	for _, m := range b.sent {
		if m.Heartbeat != nil {
			sent = append(sent, m.Heartbeat.Crashes...)
		}
	}
	assert.Contains(t, sent, crash)

	successor := newOriginBed(t)
	successor.step(Receive{From: successor.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: successor.peer, Sent: 1, Crashes: confirmedCrashes("x")}}})
	assert.Len(t, successor.router.crashes.crashesOf("x", 0), 2)
}

// TestRestartedTargetHasCrashed checks each way in which a holder can learn of the end of a process:
// from a run list of the next process and from its rejection of an order, which confirm the crash
// before the leases can have expired, and from the directory, which settles it.
func TestRestartedTargetHasCrashed(t *testing.T) {
	for name, learn := range map[string]func(*crashBed, string){
		"run list": func(b *crashBed, id string) {
			b.restart(id)
			b.run(time.Second)
		},
		"directory": func(b *crashBed, id string) {
			b.run(1500 * time.Millisecond)
			d := Directory{Version: 3, Targets: newTargets(3)}
			for i := range d.Targets {
				d.Targets[i].StartedAt = b.startedAt[d.Targets[i].ID]
				if d.Targets[i].ID == id {
					d.Targets[i].StartedAt = b.now.UnixMilli()
				}
			}
			b.settle(b.step(DirectoryRead{RequestedAt: b.now, Directory: d}))
		},
		"rejection": func(b *crashBed, id string) {
			b.settle(b.step(RenewAnswered{Target: id, Token: b.router.targets[id].token, SentAt: b.now, Result: Replaced}))
		},
	} {
		b := newCrashBed(t, 3)
		b.deadly = "x.0.0.0"
		b.submit(longJob("x"))
		b.deadly = ""
		id := b.starts[0].Target.ID
		learn(b, id)
		crash := Crash{Job: "x", Target: id, StartedAt: bornAt, Run: 1, Confirmed: name != "directory", Replaced: true}
		assert.Equal(t, []Crash{crash}, b.router.crashes.crashesOf("x", 0), name)
		assert.Len(t, b.starts, 2, name)
	}
}

// TestOtherHostsSuspicionIsChecked guards against a task that is held because another host could
// not reach targets that answer here.
func TestOtherHostsSuspicionIsChecked(t *testing.T) {
	b := newCrashBed(t, 3)
	b.hear([]Crash{{Job: "x", Target: "p", StartedAt: bornAt}, {Job: "x", Target: "q", StartedAt: bornAt - 1}})
	assert.Equal(t, []Crash{{Job: "x", Target: "q", StartedAt: bornAt - 1, Replaced: true}}, b.router.crashes.crashesOf("x", 0))
}

// TestCrashingJobIsNotRefused guards against a client that comes back with a job that is given up
// anyway, because its zone had no room.
func TestCrashingJobIsNotRefused(t *testing.T) {
	b := newCrashBed(t, 3)
	b.step(EvacuationsRead{RequestedAt: b.now, Evacuations: Evacuations{Version: 2, Zones: []string{"north"}}})
	b.submit(longJob("y"))
	b.hear(confirmedCrashes("x"))
	b.submit(longJob("x"))
	require.Len(t, b.answers, 2)
	assert.Equal(t, Refused, b.answers[0].Outcome)
	assert.Equal(t, Failed, b.answers[1].Outcome)
	assert.Equal(t, Crashes, b.answers[1].Reason)
}

// TestExpiredJobIsGivenUpOnceCrashesAreKnown guards against a client that resubmits a job with a
// deadly task because it was told that the job has expired.
func TestExpiredJobIsGivenUpOnceCrashesAreKnown(t *testing.T) {
	b := newCrashBed(t, 5)
	b.loseTwice("x")
	b.router.endJob(b.router.jobs["x"], Verdict{Outcome: Failed, Reason: Expired})
	b.submit(longJob("x"))
	require.Len(t, b.answers, 1)
	assert.Equal(t, Expired, b.answers[0].Reason)
	b.hear(confirmedCrashes("x"))
	b.submit(longJob("x"))
	require.Len(t, b.answers, 2)
	assert.Equal(t, Crashes, b.answers[1].Reason)
}

// TestDrainedTargetIsNoCrash guards against a task that is blamed for a target that has left.
func TestDrainedTargetIsNoCrash(t *testing.T) {
	b := newCrashBed(t, 3)
	b.submit(longJob("x"))
	id := b.starts[0].Target.ID
	b.router.targets[id].Draining = true
	delete(b.running, id)
	b.run(1500 * time.Millisecond)
	assert.Empty(t, b.router.crashes.entries)
}

// TestLedgerIsBounded checks that the oldest entry makes room for a new one, and that the number
// of unconfirmed crashes follows.
func TestLedgerIsBounded(t *testing.T) {
	var l crashLedger
	now := time.Unix(testEpoch, 0)
	for i := range maxCrashEntries + 5 {
		l.add(Crash{Job: "j", Task: i, Target: "p", StartedAt: 1}, now.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Len(t, l.entries, maxCrashEntries)
	assert.Equal(t, maxCrashEntries, l.unsettled["p"])
	assert.Empty(t, l.crashesOf("j", 4))
	assert.Len(t, l.crashesOf("j", 5), 1)
	assert.Equal(t, maxCrashEntries, l.jobEntries["j"])
	l.prune(now.Add(crashRetention + time.Hour))
	assert.Empty(t, l.entries)
	assert.Empty(t, l.unsettled)
	assert.Empty(t, l.jobEntries)
}

// TestMessagesWithCrashesAreReadByEarlierVersions: hosts of earlier versions, which lack the
// fields, must be able to read the messages.
func TestMessagesWithCrashesAreReadByEarlierVersions(t *testing.T) {
	type earlierProgress struct {
		Tasks []DoneTask `cbor:"1,keyasint"`
	}
	type earlierOffer struct {
		RunBase int `cbor:"7,keyasint,omitempty"`
	}
	type earlierMessage struct {
		Progress *earlierProgress `cbor:"5,keyasint,omitempty"`
		Offer    *earlierOffer    `cbor:"2,keyasint,omitempty"`
	}
	var m earlierMessage
	data, err := cbor.Marshal(Message{
		Progress: &Progress{Tasks: []DoneTask{{ID: "x", Task: 1}}, Crashes: confirmedCrashes("x")},
		Offer:    &Offer{Job: longJob("x"), RunBase: 16, Crashes: confirmedCrashes("x")},
	})
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &m))
	assert.Equal(t, []DoneTask{{ID: "x", Task: 1}}, m.Progress.Tasks)
	assert.Equal(t, 16, m.Offer.RunBase)
}

package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// evacuate delivers the evacuated zones at a version of the store.
func (b *originBed) evacuate(version uint64, zones ...string) []Effect {
	return b.step(EvacuationsRead{RequestedAt: b.now, Evacuations: Evacuations{Version: version, Zones: zones}})
}

// newTwoZoneBed returns a holder of the cells of zones north and south with one target of
// two cores in each.
func newTwoZoneBed(t *testing.T) *holderBed {
	t.Helper()
	b := newHolderBed(t, 1, ClaimWon)
	south := newTargets(2)[1]
	south.Zone = "south"
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: append(newTargets(1), south)}})
	claims := effectsOf[WriteClaims](b.advance(b.router.Bounds.TickInterval))
	require.Len(t, claims, 1)
	for _, renew := range effectsOf[Renew](b.step(ClaimsWritten{Token: claims[0].Token, Result: ClaimWon, Rows: claims[0].Rows})) {
		b.answerRenewal(renew)
	}
	require.True(t, b.router.isUsable(b.router.targets["q"]))
	return b
}

// targetsOf returns the targets of the starts among effects, in order.
func targetsOf(effects []Effect) []string {
	var list []string
	for _, s := range effectsOf[Start](effects) {
		list = append(list, s.Target.ID)
	}
	slices.Sort(list)
	return list
}

// TestEvacuatedZoneGetsNoStarts: from the step that delivers an evacuation on, nothing starts
// in the zone and other zones serve its clients; what runs there is neither stopped nor does
// its lease expire. After the evacuation the zone is used again.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	b := newTwoZoneBed(t)
	request := uint64(0)
	start := func() []string {
		request++
		j := twoTaskJob(fmt.Sprint("job", request))
		j.Count = 1
		return targetsOf(b.step(Submit{Request: request, Job: j, Budget: 5 * time.Second}))
	}
	require.Equal(t, []string{"p"}, start(), "the zone of the client is preferred")
	assert.Empty(t, effectsOf[Stop](b.evacuate(5, "north")))
	assert.Equal(t, InEvacuatedZone, b.router.targetStatus(b.router.targets["p"]))
	assert.Equal(t, []string{"q"}, start(), "p has room for it")
	p := b.router.targets["p"]
	renewals := effectsOf[Renew](b.answerRenewal(Renew{Target: p.Target, Token: p.token}, RunningTask{Task: taskName("job1", 0), Run: 1}))
	require.Len(t, renewals, 1)
	assert.NotZero(t, renewals[0].LeaseEnd, "what runs there goes on")
	b.evacuate(6)
	assert.Equal(t, []string{"p"}, start())
}

// TestUnansweredStartIsNotRepeatedInEvacuatedZone: a target that has not seen the first order
// would start the run on the second. The run is stopped instead, and its task starts in
// another zone once the target's run list lacks it.
func TestUnansweredStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	b := newTwoZoneBed(t)
	j := twoTaskJob("a")
	j.Count = 1
	starts := effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second}))
	require.Len(t, starts, 1)
	b.evacuate(5, "north")
	effects := b.step(StartAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Result: NoAnswer})
	assert.Empty(t, effectsOf[Start](effects))
	require.NotEmpty(t, effectsOf[Stop](effects))
	polls := effectsOf[Renew](effects)
	require.NotEmpty(t, polls)
	b.now = b.now.Add(time.Millisecond)
	effects = b.step(StopAnswered{Target: starts[0].Target.ID, Task: starts[0].Task, Run: starts[0].Run, Acknowledged: true})
	effects = append(effects, b.advance(2*minPollInterval)...)
	for _, renew := range effectsOf[Renew](effects) {
		if renew.Target.ID == "p" {
			b.now = b.now.Add(time.Millisecond)
			assert.Subset(t, []string{"q"}, targetsOf(b.answerRenewal(renew)))
		}
	}
	assert.Len(t, b.router.targets["q"].runs, 1)
}

// TestOlderEvacuationsAreIgnored: a set that arrives late must not replace a newer one,
// whatever its source, also if the zone was readmitted and evacuated again.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	b := newTwoZoneBed(t)
	b.evacuate(5, "north")
	b.evacuate(6)
	b.evacuate(7, "north")
	b.evacuate(6)
	assert.True(t, b.router.isEvacuated("north"))
	late := &Heartbeat{Member: Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1}, Sent: 1, Evacuations: &Evacuations{Version: 6}}
	b.step(Receive{From: late.Member.Address, Message: Message{Heartbeat: late}})
	assert.True(t, b.router.isEvacuated("north"))
	late.Evacuations = &Evacuations{Version: 8, Zones: []string{"south"}}
	b.step(Receive{From: late.Member.Address, Message: Message{Heartbeat: late}})
	assert.False(t, b.router.isEvacuated("north"))
	assert.True(t, b.router.isEvacuated("south"))
}

// TestOutdatedReadDoesNotConfirmEvacuations: a read of the store that lacks the newest
// evacuation must not make what this host knows look recent.
func TestOutdatedReadDoesNotConfirmEvacuations(t *testing.T) {
	b := newTwoZoneBed(t)
	b.evacuate(5, "north")
	b.now = b.now.Add(3 * time.Second)
	b.evacuate(4)
	assert.Equal(t, 3*time.Second, b.router.View().EvacuationsAge)
	b.evacuate(4, "north")
	assert.Zero(t, b.router.View().EvacuationsAge, "the same set under an earlier version")
}

// TestHolderWaitsForEvacuations: a holder starts nothing before it knows which zones are
// evacuated, and learns it from a peer if it cannot read the store.
func TestHolderWaitsForEvacuations(t *testing.T) {
	b := newTwoZoneBed(t)
	b.router.evacuations = Evacuations{} // as after a restart without the store
	assert.Empty(t, targetsOf(b.step(Submit{Request: 1, Job: twoTaskJob("a"), Budget: 5 * time.Second})))
	known := &Heartbeat{Member: Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1}, Sent: 1, Evacuations: &Evacuations{Version: 8, Zones: []string{"north"}}}
	assert.Equal(t, []string{"q", "q"}, targetsOf(b.step(Receive{From: known.Member.Address, Message: Message{Heartbeat: known}})))
}

// TestEvacuationsSpreadWithClaims: a change must be sent to all monitored peers with the next
// heartbeat, and each first heartbeat to a host must have the set.
func TestEvacuationsSpreadWithClaims(t *testing.T) {
	b := newOriginBed(t)
	b.advance(b.router.Bounds.PeerTimeout, 1)
	b.evacuate(5, "north")
	sent := false
	for _, e := range effectsOf[Send](b.advance(b.router.Bounds.HeartbeatInterval+b.router.Bounds.TickInterval, 1)) {
		if heartbeat := e.Message.Heartbeat; heartbeat != nil && heartbeat.Evacuations != nil {
			sent = true
			assert.Equal(t, Evacuations{Version: 5, Zones: []string{"north"}}, *heartbeat.Evacuations)
		}
	}
	assert.True(t, sent)
	full := effectsOf[Send](b.step(LinkOpened{Address: b.peer.Address}))
	require.NotEmpty(t, full)
	require.NotNil(t, full[0].Message.Heartbeat.Evacuations)
}

// TestBacklogIsShedWhenCapacityIsEvacuated: when half of the capacity is evacuated, the queued
// jobs that can no longer be in time are refused in the same step, truthfully and with a time
// to retry; those that still can be stay.
func TestBacklogIsShedWhenCapacityIsEvacuated(t *testing.T) {
	b := newTwoZoneBed(t)
	request := uint64(0)
	submit := func(id string) []Verdict {
		request++
		j := twoTaskJob(id)
		j.ExpectedRunTime, j.Stretch = 400*time.Millisecond, 3
		return answers(b.step(Submit{Request: request, Job: j, Budget: 5 * time.Second}))
	}
	for _, id := range []string{"a", "b", "c"} {
		require.Empty(t, submit(id))
	}
	require.Equal(t, 2, b.router.queue.Items()[0].waitingCount)
	queued := b.router.queue.Len()
	for id := 'd'; len(submit(string(id))) == 0; id++ {
		queued++
	}
	require.Greater(t, queued, 1)
	shed := answers(b.evacuate(5, "north"))
	require.NotEmpty(t, shed)
	assert.Less(t, len(shed), queued, "the first jobs can still be in time")
	for _, v := range shed {
		assert.Equal(t, Refused, v.Outcome)
		assert.Equal(t, Overload, v.Reason)
		assert.Positive(t, v.RetryAfter)
	}
}

// TestJobOfEvacuatedTargetsIsRefusedAtOnce: a job that fits only targets of evacuated zones is
// refused on arrival and from the queue, whether one zone or every zone is evacuated.
func TestJobOfEvacuatedTargetsIsRefusedAtOnce(t *testing.T) {
	b := newTwoZoneBed(t)
	labelled := func(id string) Job {
		j := twoTaskJob(id)
		j.Label = "special"
		return j
	}
	b.router.directory.Targets[0].Labels = []string{"a", "special"}
	b.router.targets["p"].Labels = []string{"a", "special"}
	require.Len(t, targetsOf(b.step(Submit{Request: 1, Job: labelled("a"), Budget: 5 * time.Second})), 2)
	require.Empty(t, answers(b.step(Submit{Request: 2, Job: labelled("b"), Budget: 5 * time.Second})))
	got := answers(b.evacuate(5, "north"))
	require.Len(t, got, 1)
	assert.Equal(t, Evacuated, got[0].Reason)
	assert.Equal(t, Refused, got[0].Outcome)
	got = answers(b.step(Submit{Request: 3, Job: labelled("c"), Budget: 5 * time.Second}))
	require.Len(t, got, 1)
	assert.Equal(t, Evacuated, got[0].Reason)
	assert.Empty(t, answers(b.step(Submit{Request: 4, Job: twoTaskJob("d"), Budget: 5 * time.Second})))
	b.evacuate(6, "north", "south")
	got = answers(b.step(Submit{Request: 5, Job: twoTaskJob("e"), Budget: 60 * time.Second}))
	require.Len(t, got, 1)
	assert.Equal(t, Evacuated, got[0].Reason)
	assert.Equal(t, maxRetryAfter, got[0].RetryAfter)
}

// BenchmarkEvacuation measures the evacuation of a zone of 350 targets at their holder.
func BenchmarkEvacuation(b *testing.B) {
	r := &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1"}, Bounds: Standard()}
	now := time.Unix(testEpoch, 0)
	r.Step(now, Tick{})
	for i := range 350 {
		entry := Target{ID: taskName("t", i), Zone: "north", Service: "work", Capacity: Resources{CPU: 64000}}
		r.registerTarget(entry, r.cell("north"))
	}
	version := uint64(1)
	for b.Loop() {
		version++
		r.Step(now, EvacuationsRead{RequestedAt: now, Evacuations: Evacuations{Version: version, Zones: []string{"north"}[:version%2]}})
	}
}

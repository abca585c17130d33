package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// receiveHeartbeatOf delivers a heartbeat of a process of another host that makes it known and
// reachable. sent is the time on the process's clock.
func (b *originBed) receiveHeartbeatOf(m Member, sent time.Time) []Effect {
	return b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{Member: m, Sent: sent.UnixNano(), Echo: b.now.UnixNano()}}})
}

// TestLateOfferOfProcessBeforeClockWasSetBackDoesNotStart guards against a start of a job whose
// client was told that it is refused: the times of the host's next process are lower than that of the offer.
func TestLateOfferOfProcessBeforeClockWasSetBackDoesNotStart(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	origin := Member{Name: "n", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}
	b.receiveHeartbeatOf(origin, b.now)
	late := &Offer{
		Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: b.now.UnixNano(), Token: b.router.cells["north"].claim.Token, Incarnation: origin.Incarnation,
	}
	origin.Incarnation++
	b.receiveHeartbeatOf(origin, b.now.Add(-3*time.Second))
	assert.Empty(t, effectsOf[Start](b.step(Receive{From: origin.Address, Message: Message{Offer: late}})))

	current := *late
	current.SubmissionID, current.Incarnation = b.now.Add(-2*time.Second).UnixNano(), origin.Incarnation
	assert.Len(t, effectsOf[Start](b.step(Receive{From: origin.Address, Message: Message{Offer: &current}})), 2)
}

// TestOffersNameTheProcess guards against offers that holders cannot tell from those of the next
// process of their host.
func TestOffersNameTheProcess(t *testing.T) {
	b := newOriginBed(t)
	offered := offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second}))
	require.Len(t, offered, 1)
	assert.Equal(t, b.router.Self.Incarnation, offered[0].Incarnation)
}

// TestPeerNotReachedBeforeItsClockWasSetBackIsEchoed guards against a restarted host that is not
// reachable until its clock has passed the last time of its former process.
func TestPeerNotReachedBeforeItsClockWasSetBackIsEchoed(t *testing.T) {
	b := newOriginBed(t)
	m := Member{Name: "n", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}
	for _, sent := range []time.Time{b.now, b.now.Add(-3 * time.Second)} {
		b.step(Receive{From: m.Address, Message: Message{Heartbeat: &Heartbeat{Member: m, Sent: sent.UnixNano()}}})
		assert.Equal(t, sent.UnixNano(), b.router.peers[m.Address].lastPeerTimestamp)
		m.Incarnation++
	}
}

// TestResubmittedJobRunsAfterClockWasSetBack guards against a job that is answered as unknown,
// and does not run, each time its client submits it again: the submissions of the host's next process
// have lower IDs than that of its former process.
func TestResubmittedJobRunsAfterClockWasSetBack(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	origin := Member{Name: "n", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}
	b.receiveHeartbeatOf(origin, b.now)
	first := Offer{
		Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: b.now.UnixNano(), Token: b.router.cells["north"].claim.Token, Incarnation: origin.Incarnation,
	}
	starts := effectsOf[Start](b.step(Receive{From: origin.Address, Message: Message{Offer: &first}}))
	require.Len(t, starts, 2)
	for _, start := range starts {
		b.step(StartAnswered{Target: start.Target.ID, Task: start.Task, Run: start.Run, Result: Running})
	}
	origin.Incarnation++
	b.now = b.now.Add(10 * time.Millisecond)
	stops := effectsOf[Stop](b.receiveHeartbeatOf(origin, b.now.Add(-3*time.Second)))
	require.Len(t, stops, 2)
	b.now = b.now.Add(10 * time.Millisecond)
	for i, stop := range stops {
		b.step(StopAnswered{Target: stop.Target.ID, Task: stop.Task, Run: stop.Run, Acknowledged: true})
		b.step(RenewAnswered{
			Target: stop.Target.ID, Token: first.Token, SentAt: b.now, Result: Running, Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now},
			Ended: []End{{Number: i + 1, Task: stop.Task, Run: stop.Run, Reason: EndStopped}},
		})
	}
	b.receiveHeartbeatOf(origin, b.now.Add(-3*time.Second))
	again := first
	again.SubmissionID, again.Incarnation = b.now.Add(-3*time.Second).UnixNano(), origin.Incarnation
	effects := b.step(Receive{From: origin.Address, Message: Message{Offer: &again}})
	assert.Nil(t, verdictTo(origin.Address, effects))
	assert.Len(t, effectsOf[Start](effects), 2)
}

// TestJobsAreOfferedAgainUnderRaisedIncarnation guards against jobs that wait in vain, since their
// holder takes the process for a restarted one when it is registered with a higher incarnation.
func TestJobsAreOfferedAgainUnderRaisedIncarnation(t *testing.T) {
	const raised = 9
	b := &originBed{now: time.Unix(testEpoch, 0), peer: Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.advance(200*time.Millisecond, 1)
	require.Len(t, offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})), 1)
	effects := b.step(Registered{Slot: 2, SlotUses: 2, Incarnation: raised, Members: []Member{b.peer}})
	effects = append(effects, b.advance(40*time.Millisecond, 1)...)
	announced := false
	for _, e := range effectsOf[Send](effects) {
		if h := e.Message.Heartbeat; h != nil && h.Member.Address == b.router.Self.Address && h.Member.Incarnation == raised {
			announced = true
		}
		if o := e.Message.Offer; o != nil {
			assert.True(t, announced, "the heartbeat comes first")
			assert.Equal(t, int64(raised), o.Incarnation)
			assert.True(t, o.Reoffered)
		}
	}
	assert.Len(t, offers(effects), 1)
}

// TestRestartedHostLearnsOfHigherIncarnation guards against a host whose heartbeats are ignored, because its
// clock was set back, and that cannot ask the store.
func TestRestartedHostLearnsOfHigherIncarnation(t *testing.T) {
	b := newOriginBed(t)
	b.peer.Incarnation = 5
	b.receiveHeartbeat(1)
	told := func(member Member) []int64 {
		b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: member, Sent: b.now.UnixNano()}}})
		var list []int64
		for range 8 {
			b.now = b.now.Add(b.router.Bounds.TickInterval)
			for _, e := range effectsOf[Send](b.step(Tick{})) {
				if h := e.Message.Heartbeat; h != nil && h.ReceiverIncarnation != 0 {
					list = append(list, h.ReceiverIncarnation)
				}
			}
		}
		return list
	}
	lower := b.peer
	lower.Incarnation--
	for _, member := range []Member{lower, {Incarnation: lower.Incarnation}} {
		assert.Equal(t, []int64{5}, told(member))
		assert.Empty(t, told(b.peer))
	}
}

// TestIncarnationRisesAboveThatOfFormerProcess checks that a host which hears of a higher incarnation of
// itself takes one above, and that it does so once.
func TestIncarnationRisesAboveThatOfFormerProcess(t *testing.T) {
	b := newOriginBed(t)
	b.router.Self.Incarnation = 7
	for _, test := range []struct{ known, want int64 }{{0, 7}, {6, 7}, {7, 7}, {8, 9}, {8, 9}, {math.MaxInt64, 9}, {maxTimestamp, 9}, {maxTimestamp - 1, maxTimestamp}} {
		b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), ReceiverIncarnation: test.known}}})
		assert.Equal(t, test.want, b.router.Self.Incarnation, "known as %d", test.known)
		assert.NoError(t, b.router.Self.Check(), "known as %d", test.known)
	}
}

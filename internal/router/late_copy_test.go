package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLateOfferOfRefusedSubmissionDoesNotStart guards against a start of a job of which every
// submission was refused: a copy of the first one's offer arrives after the second was refused.
func TestLateOfferOfRefusedSubmissionDoesNotStart(t *testing.T) {
	for _, second := range []string{"10.0.0.9:1", "10.0.0.8:1"} {
		const first = "10.0.0.9:1"
		b := newHolderBed(t, 1, ClaimWon)
		b.receiveHeartbeatFrom(first)
		b.receiveHeartbeatFrom(second)
		filler := twoTaskJob("filler")
		filler.ExpectedRunTime = 4 * time.Second
		require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: filler, Budget: 9 * time.Second})), 2)

		offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 7, Token: b.router.cells["north"].claim.Token}
		offer.Job.Stretch = 1.1 // it cannot wait for the filler
		verdict := verdictTo(first, b.step(Receive{From: first, Message: Message{Offer: offer}}))
		require.NotNil(t, verdict)
		require.Equal(t, Refused, verdict.Outcome)
		again := *offer
		again.SubmissionID = 8
		verdict = verdictTo(second, b.step(Receive{From: second, Message: Message{Offer: &again}}))
		require.NotNil(t, verdict)
		require.Equal(t, Refused, verdict.Outcome)

		b.step(ClientGone{Request: 1}) // its runs are stopped, so there is room again
		for _, task := range []string{"filler.0.0.0", "filler.0.0.1"} {
			b.step(StopAnswered{Target: "p", Task: task, Run: 1, Acknowledged: true})
		}
		for _, renew := range effectsOf[Renew](b.advance(200 * time.Millisecond)) {
			b.answerRenewal(renew)
		}
		b.receiveHeartbeatFrom(first)
		b.receiveHeartbeatFrom(second)
		assert.Empty(t, effectsOf[Start](b.step(Receive{From: first, Message: Message{Offer: offer}})), "second submission through %s", second)
	}
}

// TestLateOfferOfEarlierSubmissionKeepsLaterOne guards against a withdrawal without effect: a late
// offer of the earlier submission arrives between the offer of the later one and its withdrawal.
func TestLateOfferOfEarlierSubmissionKeepsLaterOne(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	later := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 8, Token: b.router.cells["north"].claim.Token}
	earlier := *later
	earlier.SubmissionID = 7
	require.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: later}})), 2)
	b.step(Receive{From: origin, Message: Message{Offer: &earlier}})
	assert.EqualValues(t, 8, b.router.jobs["j"].submissionID, "the verdict would be ignored")
	b.step(Receive{From: origin, Message: Message{Withdraw: &Withdraw{ID: "j", SubmissionID: 8}}})
	assert.True(t, b.router.jobs["j"].ended)
}

// TestRefusalOfRestartedHolderLeavesDoubt guards against a refusal as not run by the next process
// at the holder's address, of a build that accepts offers under former claims.
func TestRefusalOfRestartedHolderLeavesDoubt(t *testing.T) {
	for _, named := range []bool{true, false} { // whether the build names claims
		b := newOriginBed(t)
		sent := offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second}))
		require.Len(t, sent, 1)
		b.peer.Incarnation++
		b.receiveHeartbeat(0)
		refusal := Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: sent[0].SubmissionID}
		if named {
			refusal.Token = sent[0].Token
		}
		for _, v := range answers(b.receiveVerdict(refusal)) {
			assert.NotEqual(t, Refused, v.Outcome, "token %t", named)
		}
	}
}

// TestMisdirectedOfferCreatesNoCell guards against a claim on a zone that only an offer names.
func TestMisdirectedOfferCreatesNoCell(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	effects := b.step(Receive{From: origin, Message: Message{Offer: &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 7, Zone: "nowhere", Token: 3}}})
	require.NotNil(t, verdictTo(origin, effects))
	assert.NotContains(t, b.router.cells, "nowhere")
}

// TestCopyFromSilentHostOfOtherZoneDoesNotStart guards against a start of a job whose client was told
// that it is refused, by a copy that a host of another zone sent before it was paused.
func TestCopyFromSilentHostOfOtherZoneDoesNotStart(t *testing.T) {
	for _, zone := range []string{"north", "south"} {
		b := newSplitHolderBed(t)
		origin := Member{Name: "o", Zone: zone, Address: "10.0.0.9:1", Incarnation: 5, Slot: 10}
		heartbeat := Heartbeat{Member: origin, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), WantsHeartbeats: true}
		b.step(Receive{From: origin.Address, Message: Message{Heartbeat: &heartbeat}})
		b.evacuate(5, "north")
		offer := Offer{Job: twoTaskJob("j"), TimeLeft: time.Second, Elapsed: time.Millisecond, SubmissionID: b.now.UnixNano(), Zone: "north", Token: b.router.cells["north"].claim.Token}
		first := offer
		verdict := verdictTo(origin.Address, b.step(Receive{From: origin.Address, Message: Message{Offer: &first}}))
		require.NotNil(t, verdict)
		require.Equal(t, Refused, verdict.Outcome)

		b.evacuate(6)
		for end := b.now.Add(b.router.Bounds.VerdictRetention + time.Second); b.now.Before(end); {
			for _, renew := range effectsOf[Renew](b.advance(b.router.Bounds.TickInterval)) {
				b.answerRenewal(renew)
			}
		}
		assert.Empty(t, effectsOf[Start](b.step(Receive{From: origin.Address, Message: Message{Offer: &offer}})), "host of zone %s", zone)
	}
}

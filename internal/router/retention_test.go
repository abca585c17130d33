package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStartedJobIsNotRefusedAfterLongSilenceOfItsHost guards against a refusal as not run of a job
// that the holder had started and forgotten before its host, which was paused, offered it again.
func TestStartedJobIsNotRefusedAfterLongSilenceOfItsHost(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	offer := Offer{Job: twoTaskJob("j"), TimeLeft: 20 * time.Second, SubmissionID: 7, Token: b.router.cells["north"].claim.Token}
	first := offer
	require.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: &first}})), 2)

	silence := b.router.Bounds.OriginTimeout + b.router.Bounds.VerdictRetention + time.Second
	b.advance(silence)
	b.receiveHeartbeatFrom(origin)
	offer.TimeLeft -= silence
	var verdicts []Verdict
	for _, e := range effectsOf[Send](b.step(Receive{From: origin, Message: Message{Offer: &offer}})) {
		if e.Message.Verdict != nil {
			verdicts = append(verdicts, *e.Message.Verdict)
		}
	}
	require.Len(t, verdicts, 1)
	assert.Equal(t, Unknown, verdicts[0].Outcome)
}

// TestLaterSubmissionDoesNotShortenMemoryOfEarlierOne guards against a refusal as not run of a
// submission that was started, forgotten with a later submission that had less time.
func TestLaterSubmissionDoesNotShortenMemoryOfEarlierOne(t *testing.T) {
	const paused, other = "10.0.0.9:1", "10.0.0.8:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(paused)
	token := b.router.cells["north"].claim.Token
	first := Offer{Job: twoTaskJob("j"), TimeLeft: 20 * time.Second, SubmissionID: 7, Token: token}
	sent := first
	require.Len(t, effectsOf[Start](b.step(Receive{From: paused, Message: Message{Offer: &sent}})), 2)

	b.advance(b.router.Bounds.OriginTimeout + 2*b.router.Bounds.TickInterval)
	require.Equal(t, Unknown, b.router.jobs["j"].verdict.Outcome, "its host is silent")
	b.receiveHeartbeatFrom(other)
	second := Offer{Job: twoTaskJob("j"), TimeLeft: 50 * time.Millisecond, SubmissionID: 8, Token: token}
	b.step(Receive{From: other, Message: Message{Offer: &second}})
	b.advance(b.router.Bounds.VerdictRetention + time.Second)

	b.receiveHeartbeatFrom(paused)
	first.TimeLeft, first.Elapsed = 12*time.Second, 8*time.Second
	first.Job.Stretch = 1.1
	verdict := verdictTo(paused, b.step(Receive{From: paused, Message: Message{Offer: &first}}))
	require.NotNil(t, verdict)
	assert.Equal(t, Unknown, verdict.Outcome)
}

// TestStartedJobIsNotRefusedAfterItsDeadline guards against a refusal as not run of a job that the
// holder had started, offered again between its deadline and the answer.
func TestStartedJobIsNotRefusedAfterItsDeadline(t *testing.T) {
	const origin = "10.0.0.9:1"
	const transit = 3 * time.Millisecond
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	offer := Offer{Job: twoTaskJob("j"), TimeLeft: 6 * time.Second, SubmissionID: 7, Token: b.router.cells["north"].claim.Token}
	sent := offer
	require.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: &sent}})), 2)
	start := b.now
	b.advance(offer.TimeLeft + answerGrace)
	b.receiveHeartbeatFrom(origin)
	offer.Elapsed = b.now.Sub(start) - transit
	offer.TimeLeft -= offer.Elapsed
	require.Less(t, -offer.TimeLeft, answerGrace+b.router.Bounds.TickInterval, "its host answers at the next tick")
	verdict := verdictTo(origin, b.step(Receive{From: origin, Message: Message{Offer: &offer}}))
	require.NotNil(t, verdict)
	assert.NotEqual(t, Refused, verdict.Outcome, "%v after the deadline", -offer.TimeLeft)
}

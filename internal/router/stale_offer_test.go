package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// verdictTo returns the verdict that is sent to a host, or nil for none.
func verdictTo(address string, effects []Effect) *Verdict {
	for _, e := range effectsOf[Send](effects) {
		if e.To == address && e.Message.Verdict != nil {
			return e.Message.Verdict
		}
	}
	return nil
}

// TestRestartedHolderDoesNotRefuseJobOfPreviousProcess guards against a refusal as not run of a
// job that the holder's previous process had started.
func TestRestartedHolderDoesNotRefuseJobOfPreviousProcess(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	filler := twoTaskJob("filler")
	filler.ExpectedRunTime = 4 * time.Second
	require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: filler, Budget: 9 * time.Second})), 2)

	// The origin has offered the job to the previous process, under its claim, and repeats the
	// offer on a new link before it learns of the new claim.
	offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 500 * time.Millisecond, SubmissionID: 7, Token: b.router.cells["north"].claim.Token - 1<<(slotBits+slotUseBits)}
	offer.Job.Stretch = 1.1 // it cannot wait for the filler
	verdict := verdictTo(origin, b.step(Receive{From: origin, Message: Message{Offer: offer}}))
	require.NotNil(t, verdict)
	assert.Equal(t, WrongHolder, verdict.Outcome)
	assert.Equal(t, offer.Token, verdict.Token)
}

// TestOfferUnderFormerClaimDoesNotStart guards against a second run of a job whose offer arrives
// late, after the holder has lost and regained the cell.
func TestOfferUnderFormerClaimDoesNotStart(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 7, Token: b.router.cells["north"].claim.Token - 1}
	effects := b.step(Receive{From: origin, Message: Message{Offer: offer}})
	assert.Empty(t, effectsOf[Start](effects))
	require.NotNil(t, verdictTo(origin, effects))
	assert.Equal(t, WrongHolder, verdictTo(origin, effects).Outcome)
}

// TestLateOfferWithoutClaimDoesNotEndQuarantine guards against a second run of a job that
// a host of a build whose offers name no claim has offered twice: the offer that arrives last may be
// the one that was sent first.
func TestLateOfferWithoutClaimDoesNotEndQuarantine(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	b.router.previousTargets["gone"] = &previousTarget{target: Target{ID: "gone", Zone: "north"}, reportedAt: b.now}
	first := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 7}
	second := *first
	second.Reoffered, second.PreviousZones, second.RunBase = true, []string{"north"}, runNumberStride
	assert.Empty(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: &second}})))
	assert.Empty(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: first}})))
}

// TestLateWithdrawalDoesNotEndResubmittedJob guards against a job that is answered as failed because
// the withdrawal of its earlier submission arrives after it.
func TestLateWithdrawalDoesNotEndResubmittedJob(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 8, Token: b.router.cells["north"].claim.Token}
	require.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: offer}})), 2)
	for _, test := range []struct {
		submissionID int64
		ends         bool
	}{{7, false}, {8, true}, {0, true}} {
		b.router.jobs["j"].ended = false
		effects := b.step(Receive{From: origin, Message: Message{Withdraw: &Withdraw{ID: "j", SubmissionID: test.submissionID}}})
		assert.Equal(t, test.ends, verdictTo(origin, effects) != nil, "submission %d", test.submissionID)
	}
}

// TestOfferWithoutClaimBeforeTakeoverIsNotRefused guards against a refusal as not run of a job that
// a previous holder may have started, if its host's offers name no claim.
func TestOfferWithoutClaimBeforeTakeoverIsNotRefused(t *testing.T) {
	const origin = "10.0.0.9:1"
	for _, test := range []struct {
		elapsed time.Duration
		want    Outcome
	}{{time.Second, Unknown}, {0, Refused}} {
		b := newHolderBed(t, 1, ClaimWon)
		b.receiveHeartbeatFrom(origin)
		offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, Elapsed: test.elapsed, SubmissionID: 7}
		offer.Job.Label = "elsewhere"
		b.router.directory.Targets = append(b.router.directory.Targets, Target{ID: "z", Service: "work", Zone: "south", Capacity: offer.Job.Need, Labels: []string{"elsewhere"}})
		b.router.evacuations.Zones = []string{"south"}
		verdict := verdictTo(origin, b.step(Receive{From: origin, Message: Message{Offer: offer}}))
		if test.want == Unknown {
			assert.Nil(t, verdict, "it waits for runs of the previous holder")
			for range 100 {
				b.receiveHeartbeatFrom(origin)
				if v := verdictTo(origin, b.advance(100*time.Millisecond)); v != nil {
					verdict = v
				}
			}
		}
		require.NotNil(t, verdict)
		assert.NotEqual(t, test.want == Unknown, verdict.Outcome == Refused, "%v before the offer: %s", test.elapsed, verdict.Outcome)
	}
}

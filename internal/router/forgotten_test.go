package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newRepeatedOffer returns a bed whose open job was offered again, over a new link and after a
// pause of the host.
func newRepeatedOffer(t *testing.T, pause time.Duration) (*originBed, Offer) {
	t.Helper()
	b := newOriginBed(t)
	require.Len(t, offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 20 * time.Second})), 1)
	b.now = b.now.Add(pause)
	repeated := offers(b.step(LinkOpened{Address: b.peer.Address}))
	require.Len(t, repeated, 1)
	require.Empty(t, answers(b.receiveHeartbeat(0)))
	return b, repeated[0]
}

// retentionTests are pauses of a host and whether its holder, which retains ended jobs for
// Bounds.VerdictRetention only, may have forgotten the job by the end.
var retentionTests = []struct {
	pause     time.Duration
	forgotten bool
}{{300 * time.Millisecond, false}, {Standard().VerdictRetention, false}, {Standard().VerdictRetention + 100*time.Millisecond, true}}

// outcomeIf returns the outcome to expect of a refused job.
func outcomeIf(forgotten bool) Outcome {
	if forgotten {
		return Unknown
	}
	return Refused
}

// TestRefusalByForgetfulHolderIsNotReported guards against a refusal as not run of a job that its
// holder, of a build that forgets jobs before their deadline, had started and forgotten.
func TestRefusalByForgetfulHolderIsNotReported(t *testing.T) {
	for _, test := range retentionTests {
		for _, refusal := range []Verdict{{Reason: Overload}, {Reason: Overload, Elsewhere: "south"}, {Reason: Evacuated}} {
			b, offer := newRepeatedOffer(t, test.pause)
			refusal.ID, refusal.Outcome, refusal.SubmissionID, refusal.Token = "j", Refused, offer.SubmissionID, offer.Token
			got := answers(b.receiveVerdict(refusal))
			if refusal.Elsewhere != "" && !test.forgotten {
				assert.Empty(t, got, "the job is spilled")
				continue
			}
			require.Len(t, got, 1, "pause %s", test.pause)
			assert.Equal(t, outcomeIf(test.forgotten), got[0].Outcome, "pause %s, reason %s, elsewhere %q", test.pause, refusal.Reason, refusal.Elsewhere)
		}
	}
}

// TestReturnByForgetfulHolderLeavesDoubt guards against a refusal as not run by the next holder of
// a job that the last one had started, forgotten, accepted again and returned.
func TestReturnByForgetfulHolderLeavesDoubt(t *testing.T) {
	for _, test := range retentionTests {
		b, offer := newRepeatedOffer(t, test.pause)
		require.Empty(t, answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Returned, SubmissionID: offer.SubmissionID, Token: offer.Token})))
		const nextGeneration = 2
		next := offers(b.receiveHeartbeat(nextGeneration))
		require.Len(t, next, 1)
		assert.Equal(t, test.forgotten, next[0].Reoffered, "pause %s", test.pause)
		got := answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: offer.SubmissionID, Token: next[0].Token}))
		require.Len(t, got, 1)
		assert.Equal(t, outcomeIf(test.forgotten), got[0].Outcome, "pause %s", test.pause)
	}
}

// TestLateRefusalByForgetfulHolderEndsNoDoubt guards against a refusal as not run by the present
// holder of a job that a previous one had started and forgotten before it refused it.
func TestLateRefusalByForgetfulHolderEndsNoDoubt(t *testing.T) {
	for _, test := range retentionTests {
		b, offer := newRepeatedOffer(t, test.pause)
		const nextGeneration = 2
		next := offers(b.receiveHeartbeat(nextGeneration))
		require.Len(t, next, 1)
		require.True(t, next[0].Reoffered)
		refusal := Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: offer.SubmissionID, Token: offer.Token}
		require.Empty(t, answers(b.receiveVerdict(refusal)))
		refusal.Token = next[0].Token
		got := answers(b.receiveVerdict(refusal))
		require.Len(t, got, 1)
		assert.Equal(t, outcomeIf(test.forgotten), got[0].Outcome, "pause %s", test.pause)
	}
}

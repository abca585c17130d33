package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newDoubtfulCopy returns a host of zone north that has offered job j twice to its peer, the holder of north. The
// peer has not accepted one of the two copies, and it is not known whether it has accepted the other. The
// holder of south is reachable.
func newDoubtfulCopy(t *testing.T) (b *originBed, remote Member, first Offer) {
	t.Helper()
	b, remote = newSplitBed(t)
	b.reachRemote(remote)
	sent := offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second}))
	require.Len(t, sent, 1)
	require.Len(t, offers(b.step(LinkOpened{Address: b.peer.Address})), 1)
	b.receiveVerdict(Verdict{ID: "j", Outcome: WrongHolder, SubmissionID: sent[0].SubmissionID, Token: sent[0].Token})
	return b, remote, sent[0]
}

// TestJobThatLeavesZoneIsWithdrawnThere guards against a task that runs in two zones at once: a slow holder
// keeps a copy of an offer, and its host gives the job to another zone.
func TestJobThatLeavesZoneIsWithdrawnThere(t *testing.T) {
	b, remote, first := newDoubtfulCopy(t)
	b.evacuate(5, "north")
	b.reachRemote(remote)
	effects := b.step(Tick{})
	effects = append(effects, b.advance(2*b.router.Bounds.TickInterval, 1)...)
	q := b.router.requestsByJob["j"]
	require.Equal(t, remote.Address, q.holder)
	assert.Contains(t, q.unresolvedOffers, sentOffer{}, "the first run is still in doubt")
	withdrawn := b.router.peers[b.peer.Address].withdrawals
	require.Len(t, withdrawn, 1)
	assert.Equal(t, Withdraw{ID: "j", SubmissionID: first.SubmissionID}, withdrawn[0].Withdraw)
	assert.Greater(t, q.arrivedAt.UnixNano(), first.SubmissionID, "the verdict on the withdrawn copy does not count")
	assert.Len(t, withdrawals(b.step(LinkOpened{Address: b.peer.Address})), 1, "it may have been lost")
	for _, o := range offers(effects) {
		assert.True(t, o.Reoffered)
	}
}

// TestAnsweredJobIsWithdrawnFromPreviousHolder guards against a copy of an offer that a slow holder starts after
// the client was answered, beside the client's next submission.
func TestAnsweredJobIsWithdrawnFromPreviousHolder(t *testing.T) {
	b, _, first := newDoubtfulCopy(t)
	assert.Equal(t, []Withdraw{{ID: "j", SubmissionID: first.SubmissionID}}, withdrawals(b.step(ClientGone{Request: 1})))
}

// TestReplacedHolderIsNotAskedToStop guards against a withdrawal that stops runs which the next holder of the
// zone can take over.
func TestReplacedHolderIsNotAskedToStop(t *testing.T) {
	b, next, _, _ := newDoubtfulRequest(t)
	sent := b.step(ClientGone{Request: 1})
	assert.Len(t, withdrawals(sent), 1)
	for _, e := range effectsOf[Send](sent) {
		assert.Equal(t, next.Address, e.To)
	}
}

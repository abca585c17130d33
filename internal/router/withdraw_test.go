package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withdrawals returns the withdrawals among effects.
func withdrawals(effects []Effect) []Withdraw {
	var list []Withdraw
	for _, e := range effectsOf[Send](effects) {
		if e.Message.Withdraw != nil {
			list = append(list, *e.Message.Withdraw)
		}
	}
	return list
}

// openLink opens a new link to the peer and returns the withdrawals that are sent over it.
func (b *originBed) openLink() []Withdraw {
	return withdrawals(b.step(LinkOpened{Address: b.peer.Address}))
}

// withdrawJob submits a job and disconnects its client. It returns the withdrawal.
func (b *originBed) withdrawJob(t *testing.T, id string, budget time.Duration) Withdraw {
	t.Helper()
	b.now = b.now.Add(time.Millisecond)
	b.receiveHeartbeat(0)
	request := uint64(b.now.UnixNano())
	require.Len(t, offers(b.step(Submit{Request: request, Job: twoTaskJob(id), Budget: budget})), 1)
	sent := withdrawals(b.step(ClientGone{Request: request}))
	require.Len(t, sent, 1)
	return sent[0]
}

// TestLostWithdrawalIsRepeatedOnNewLink guards against a job that runs for a client that has left,
// because its withdrawal was lost with a connection.
func TestLostWithdrawalIsRepeatedOnNewLink(t *testing.T) {
	b := newOriginBed(t)
	sent := b.withdrawJob(t, "j", 2*time.Second)
	assert.Equal(t, []Withdraw{sent}, b.openLink())
	assert.Equal(t, []Withdraw{sent}, b.openLink(), "the second may be lost as well")
	b.advance(2*time.Second+answerGrace, 1)
	assert.Empty(t, b.openLink(), "the holder has ended the job by now")
	assert.Empty(t, b.router.peers[b.peer.Address].withdrawals)
}

// TestWithdrawalIsRepeatedUntilHolderHasEndedJob guards against a memory of withdrawals that grows
// with each client that leaves.
func TestWithdrawalIsRepeatedUntilHolderHasEndedJob(t *testing.T) {
	b := newOriginBed(t)
	sent := b.withdrawJob(t, "j", 5*time.Second)
	b.receiveVerdict(Verdict{ID: "j", Outcome: Failed, Reason: Withdrawn, SubmissionID: sent.SubmissionID - 1})
	require.Len(t, b.openLink(), 1, "the verdict is for an earlier submission")
	b.receiveVerdict(Verdict{ID: "j", Outcome: WrongHolder, SubmissionID: sent.SubmissionID})
	require.Len(t, b.openLink(), 1, "another copy of the offer may have been accepted")
	b.receiveVerdict(Verdict{ID: "j", Outcome: Failed, Reason: Withdrawn, SubmissionID: sent.SubmissionID})
	assert.Empty(t, b.openLink())

	for i := range 2 * maxWithdrawals {
		b.withdrawJob(t, fmt.Sprint("j", i), 5*time.Minute)
	}
	assert.Len(t, b.openLink(), maxWithdrawals)
}

// TestRepeatedWithdrawalSparesResubmittedJob guards against the end of a job that was submitted
// again, at a holder of a build that does not compare submissions.
func TestRepeatedWithdrawalSparesResubmittedJob(t *testing.T) {
	for _, holderChanges := range []bool{false, true} {
		b := newOriginBed(t)
		first := b.withdrawJob(t, "j", 5*time.Second)
		b.now = b.now.Add(time.Millisecond)
		require.Len(t, offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})), 1)
		want := []Withdraw{first, {ID: "j", SubmissionID: b.now.UnixNano()}} // the second offer may be lost
		if previous := b.peer; holderChanges {
			const nextGeneration = 2
			b.peer = Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3}
			require.Len(t, offers(b.receiveHeartbeat(nextGeneration)), 1)
			b.peer, want = previous, want[:1]
		}
		assert.Empty(t, b.openLink(), "holder changes %t", holderChanges)
		require.Len(t, withdrawals(b.step(ClientGone{Request: 1})), 1)
		assert.Equal(t, want, b.openLink(), "holder changes %t", holderChanges)
	}
}

// TestRepeatedWithdrawalEndsItsSubmissionOnly guards against the end of a job that its client has
// submitted again since, through the same host or another one.
func TestRepeatedWithdrawalEndsItsSubmissionOnly(t *testing.T) {
	const first = "10.0.0.9:1"
	for _, second := range []string{first, "10.0.0.8:1"} {
		b := newHolderBed(t, 1, ClaimWon)
		b.receiveHeartbeatFrom(first)
		b.receiveHeartbeatFrom(second)
		offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: 7, Token: b.router.cells["north"].claim.Token}
		withdrawal := Message{Withdraw: &Withdraw{ID: "j", SubmissionID: 7}}
		require.Len(t, effectsOf[Start](b.step(Receive{From: first, Message: Message{Offer: offer}})), 2)
		again := *offer
		again.SubmissionID = 8
		b.step(Receive{From: second, Message: Message{Offer: &again}})
		for range 2 {
			assert.Empty(t, effectsOf[Stop](b.step(Receive{From: first, Message: withdrawal})))
		}
		assert.False(t, b.router.jobs["j"].ended, "submitted again through %s", second)
	}
}

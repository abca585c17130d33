package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLateCopyDoesNotTakeVerdictFromLaterHost guards against a client that gets no answer because the
// verdict goes to the host through which it has submitted the job before.
func TestLateCopyDoesNotTakeVerdictFromLaterHost(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first := Member{Name: "n", Zone: "north", Address: "10.0.0.8:1", Incarnation: 5, Slot: 8}
	second := Member{Name: "m", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}
	b.receiveHeartbeatOf(first, b.now)
	b.receiveHeartbeatOf(second, b.now)
	token := b.router.cells["north"].claim.Token
	offer := Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: b.now.UnixNano(), Token: token, Incarnation: 5}
	require.Len(t, effectsOf[Start](b.step(Receive{From: first.Address, Message: Message{Offer: &offer}})), 2)
	// The withdrawal is lost with the connection, and the client submits the job through the second host.
	b.now = b.now.Add(100 * time.Millisecond)
	again := offer
	again.SubmissionID = b.now.UnixNano()
	b.step(Receive{From: second.Address, Message: Message{Offer: &again}})
	b.receiveHeartbeatOf(first, b.now)
	late := offer
	b.step(Receive{From: first.Address, Message: Message{Offer: &late}})
	assert.Equal(t, second.Address, b.router.jobs["j"].origin)
	effects := b.step(Receive{From: first.Address, Message: Message{Withdraw: &Withdraw{ID: "j", SubmissionID: offer.SubmissionID}}})
	assert.Empty(t, effectsOf[Stop](effects))
}

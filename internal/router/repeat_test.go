package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRepeatedClaimKeepsQueuedJobsStartable guards against jobs that can start nowhere after their
// holder has confirmed a second claim while it held the cell.
func TestRepeatedClaimKeepsQueuedJobsStartable(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	filler := twoTaskJob("filler")
	require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: filler, Budget: 9 * time.Second})), 2)
	c := b.router.cells["north"]
	offer := &Offer{Job: twoTaskJob("j"), TimeLeft: 9 * time.Second, SubmissionID: 7, Token: c.claim.Token}
	offer.Job.Stretch = 90
	require.Nil(t, verdictTo(origin, b.step(Receive{From: origin, Message: Message{Offer: offer}})))
	b.now = b.now.Add(time.Millisecond)
	b.step(Tick{})
	token := c.claim.Token + 1<<(slotBits+slotUseBits)
	b.router.acquireCell(c, token)
	again := *offer
	again.Token, again.Reoffered, again.PreviousZones, again.RunBase = token, true, []string{"north"}, runNumberStride
	b.receiveHeartbeatFrom(origin)
	b.step(Receive{From: origin, Message: Message{Offer: &again}})
	b.step(ClientGone{Request: 1})
	for _, task := range []string{"filler.0.0.0", "filler.0.0.1"} {
		b.step(StopAnswered{Target: "p", Task: task, Run: 1, Acknowledged: true})
	}
	var starts []Start
	for range 20 {
		b.receiveHeartbeatFrom(origin)
		effects := b.advance(20 * time.Millisecond)
		starts = append(starts, effectsOf[Start](effects)...)
		for _, renew := range effectsOf[Renew](effects) {
			starts = append(starts, effectsOf[Start](b.answerRenewal(renew))...)
		}
	}
	assert.NotEmpty(t, starts)
}

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// receiveHeartbeatFrom delivers a heartbeat that makes another host known and
// reachable.
func (b *originBed) receiveHeartbeatFrom(address string) {
	b.step(Receive{From: address, Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: "n", Zone: "north", Address: address, Incarnation: 5, Slot: 9}, Sent: 1, Echo: b.now.UnixNano(),
	}}})
}

// TestRepeatedRefusedOfferDoesNotStart: an offer may arrive again over a link that was
// replaced meanwhile. It must not start a job whose client has already been told that
// the job was refused.
func TestRepeatedRefusedOfferDoesNotStart(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	first := twoTaskJob("first")
	first.ExpectedRunTime = 4 * time.Second
	require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: first, Budget: 9 * time.Second})), 2)

	offer := &Offer{Job: twoTaskJob("second"), TimeLeft: 5 * time.Second, SubmissionID: 7}
	offer.Job.ExpectedRunTime, offer.Job.Stretch, offer.Job.Allowance = 100*time.Millisecond, 1.1, 0 // it cannot wait for the first job
	verdict := func(effects []Effect) *Verdict {
		for _, e := range effectsOf[Send](effects) {
			if e.Message.Verdict != nil {
				return e.Message.Verdict
			}
		}
		return nil
	}
	refused := verdict(b.step(Receive{From: origin, Message: Message{Offer: offer}}))
	require.NotNil(t, refused)
	require.Equal(t, Refused, refused.Outcome)

	b.step(ClientGone{Request: 1}) // its runs are stopped, so there is room again
	for _, task := range []string{"first.0.0.0", "first.0.0.1"} {
		b.step(StopAnswered{Target: "p", Task: task, Run: 1, Acknowledged: true})
	}
	for _, renew := range effectsOf[Renew](b.advance(200 * time.Millisecond)) {
		b.answerRenewal(renew)
	}
	b.receiveHeartbeatFrom(origin)
	effects := b.step(Receive{From: origin, Message: Message{Offer: offer}})
	assert.Empty(t, effectsOf[Start](effects))
	repeated := verdict(effects)
	require.NotNil(t, repeated)
	assert.Equal(t, Refused, repeated.Outcome)

	resubmitted := *offer // the client submits the job again
	resubmitted.SubmissionID = 8
	assert.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: &resubmitted}})), 2)
}

// TestPreviousTargetsAreResentOnNewLink: the previous targets must be sent to a new
// holder on each new link, before the offers, since messages on the previous link may
// be lost. Otherwise the holder would start a task that still runs at a target that it
// does not know.
func TestPreviousTargetsAreResentOnNewLink(t *testing.T) {
	b := newOriginBed(t)
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: newTargets(2)}})
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	b.peer = Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3}
	kinds := func(effects []Effect) []string {
		var list []string
		for _, e := range effectsOf[Send](effects) {
			if kind := e.Message.Kind(); e.To == b.peer.Address && kind != "beat" {
				list = append(list, kind)
			}
		}
		return list
	}
	assert.Equal(t, []string{"former", "offer"}, kinds(b.receiveHeartbeat(2)))
	assert.Equal(t, []string{"former", "offer"}, kinds(b.step(LinkOpened{Address: b.peer.Address})))
}

// TestVerdictOfEarlierSubmissionIsIgnored: a verdict on an earlier submission of a job
// must not end the open submission.
func TestVerdictOfEarlierSubmissionIsIgnored(t *testing.T) {
	b := newOriginBed(t)
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	submissionID := b.now.UnixNano()
	assert.Empty(t, answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: submissionID - 1})))
	assert.Len(t, answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: submissionID})), 1)
}

// TestCopyOfForgottenOfferDoesNotStart guards against a start of a job whose client was told that
// it is refused, when a copy of its offer arrives over a replaced connection after the holder has
// forgotten the job.
func TestCopyOfForgottenOfferDoesNotStart(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 2, ClaimWon)
	offer := Offer{Job: twoTaskJob("j"), TimeLeft: 5 * time.Second, SubmissionID: b.now.UnixNano(), Elapsed: 10 * time.Millisecond, Token: b.router.cells["north"].claim.Token}
	heartbeat := &Heartbeat{Member: Member{Name: "n", Zone: "north", Address: origin, Incarnation: 5, Slot: 9}, Echo: b.now.UnixNano()}
	heartbeat.Sent = offer.sentAt()
	b.step(Receive{From: origin, Message: Message{Heartbeat: heartbeat}})
	sentLater := *heartbeat
	sentLater.Sent++
	late := offer
	late.Job.ID = "k"
	assert.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: &offer}})), 2)
	b.step(Receive{From: origin, Message: Message{Heartbeat: &sentLater}})
	effects := b.step(Receive{From: origin, Message: Message{Offer: &late}})
	assert.Empty(t, effectsOf[Start](effects))
	assert.Empty(t, effectsOf[Send](effects))
}

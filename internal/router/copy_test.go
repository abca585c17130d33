package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// receiveHeartbeatFrom makes another host known to a bed's router and in touch with it.
func (b *originBed) receiveHeartbeatFrom(address string) {
	b.step(Receive{From: address, Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: "n", Zone: "north", Address: address, Incarnation: 5, Slot: 9}, Sent: 1, Echo: b.now.UnixNano(),
	}}})
}

// TestRepeatedRefusedOfferDoesNotStart: an offer that comes once more over a link that was replaced
// meanwhile does not start a job whose client has been told that it will not run.
func TestRepeatedRefusedOfferDoesNotStart(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.receiveHeartbeatFrom(origin)
	first := twoTaskJob("first")
	first.ExpectedRunTime = 4 * time.Second
	require.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: first, Budget: 9 * time.Second})), 2)

	offer := &Offer{Job: twoTaskJob("second"), TimeLeft: 5 * time.Second, SubmissionID: 7}
	offer.Job.ExpectedRunTime, offer.Job.Stretch, offer.Job.Allowance = 100*time.Millisecond, 1.1, 0 // no time to wait
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

	b.step(ClientGone{Request: 1}) // there is room again
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

	later := *offer // the client sends the job once more
	later.SubmissionID = 8
	assert.Len(t, effectsOf[Start](b.step(Receive{From: origin, Message: Message{Offer: &later}})), 2)
}

// TestPreviousTargetsAreResentOnNewLink: a new holder is told of an earlier one's targets over
// each new link before the jobs, since what went into the link before may be lost. It
// would start a job anew that runs at a target which it does not know.
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

// TestVerdictOfEarlierSubmissionIsIgnored: a verdict that was given on an earlier submission of a
// job does not end the one that is open.
func TestVerdictOfEarlierSubmissionIsIgnored(t *testing.T) {
	b := newOriginBed(t)
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	submissionID := b.now.UnixNano()
	assert.Empty(t, answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: submissionID - 1})))
	assert.Len(t, answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: submissionID})), 1)
}

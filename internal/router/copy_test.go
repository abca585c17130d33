package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// neighbour makes another host known to a bed's router and in touch with it.
func (b *bed) neighbour(address string) {
	b.step(Receive{From: address, Message: Message{Heartbeat: &Heartbeat{
		Member: Member{Name: "n", Zone: "north", Address: address, Incarnation: 5, Slot: 9}, Sent: 1, Echo: b.now.UnixNano(),
	}}})
}

// TestLateCopyOfRefusedOffer: an offer that comes once more over a link that was replaced
// meanwhile does not start a job whose client has been told that it will not run.
func TestLateCopyOfRefusedOffer(t *testing.T) {
	const origin = "10.0.0.9:1"
	b := newHolderBed(t, 1, ClaimWon)
	b.neighbour(origin)
	first := pair("first")
	first.ExpectedRunTime = 4 * time.Second
	require.Len(t, only[Start](b.step(Submit{Request: 1, Job: first, Budget: 9 * time.Second})), 2)

	offer := &Offer{Job: pair("second"), TimeLeft: 5 * time.Second, SubmissionID: 7}
	offer.Job.ExpectedRunTime, offer.Job.Stretch, offer.Job.Allowance = 100*time.Millisecond, 1.1, 0 // no time to wait
	verdict := func(effects []Effect) *Verdict {
		for _, e := range only[Send](effects) {
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
	for _, renew := range only[Renew](b.pass(200 * time.Millisecond)) {
		b.answer(renew)
	}
	b.neighbour(origin)
	effects := b.step(Receive{From: origin, Message: Message{Offer: offer}})
	assert.Empty(t, only[Start](effects))
	again := verdict(effects)
	require.NotNil(t, again)
	assert.Equal(t, Refused, again.Outcome)

	later := *offer // the client sends the job once more
	later.SubmissionID = 8
	assert.Len(t, only[Start](b.step(Receive{From: origin, Message: Message{Offer: &later}})), 2)
}

// TestFormerTargetsAreToldAgain: a new holder is told of an earlier one's targets over
// each new link before the jobs, since what went into the link before may be lost. It
// would start a job anew that runs at a target which it does not know.
func TestFormerTargetsAreToldAgain(t *testing.T) {
	b := newBed(t)
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: entries(2)}})
	b.step(Submit{Request: 1, Job: pair("j"), Budget: 5 * time.Second})
	b.peer = Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3}
	kinds := func(effects []Effect) []string {
		var list []string
		for _, e := range only[Send](effects) {
			if kind := e.Message.Kind(); e.To == b.peer.Address && kind != "beat" {
				list = append(list, kind)
			}
		}
		return list
	}
	assert.Equal(t, []string{"former", "offer"}, kinds(b.hold(2)))
	assert.Equal(t, []string{"former", "offer"}, kinds(b.step(LinkOpened{Address: b.peer.Address})))
}

// TestVerdictOfEarlierSubmission: a verdict that was given on an earlier submission of a
// job does not end the one that is open.
func TestVerdictOfEarlierSubmission(t *testing.T) {
	b := newBed(t)
	b.step(Submit{Request: 1, Job: pair("j"), Budget: 5 * time.Second})
	stamp := b.now.UnixNano()
	assert.Empty(t, answers(b.verdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: stamp - 1})))
	assert.Len(t, answers(b.verdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, SubmissionID: stamp})), 1)
}

package router

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// malformedMessages returns messages that no host of this version sends.
func malformedMessages() map[string]Message {
	offer := func(change func(*Offer)) Message {
		o := &Offer{Job: twoTaskJob("bad"), TimeLeft: time.Second, SubmissionID: 1}
		change(o)
		return Message{Offer: o}
	}
	member := Member{Name: "n", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5, Slot: 9}
	return map[string]Message{
		"no ID":          offer(func(o *Offer) { o.Job.ID = "" }),
		"negative count": offer(func(o *Offer) { o.Job.Count = -1 }),
		"huge count":     offer(func(o *Offer) { o.Job.Count = math.MaxInt64 }),
		"negative need":  offer(func(o *Offer) { o.Job.Need.CPU = -1 }),
		"stretch":        offer(func(o *Offer) { o.Job.Stretch = math.NaN() }),
		"negative base":  offer(func(o *Offer) { o.RunBase = -1 }),
		"huge base":      offer(func(o *Offer) { o.RunBase = math.MaxInt }),
		"generation":     {Heartbeat: &Heartbeat{Member: member, Generation: math.MaxUint64}},
		"token":          {Heartbeat: &Heartbeat{Member: member, Claims: []Claim{{Zone: "north", Token: math.MaxUint64}}}},
		"route stats":    {Heartbeat: &Heartbeat{Member: member, Routes: []RouteStats{{Route: "r", Count: 9, MeanX: math.NaN()}}}},
		"speed":          {Heartbeat: &Heartbeat{Member: member, Speeds: []KindSpeed{{Kind: "a", Count: 9, Log: math.Inf(1)}}}},
	}
}

// TestMalformedMessagesAreRejected: a malformed message is logged, changes no state and does
// not crash the process.
func TestMalformedMessagesAreRejected(t *testing.T) {
	const from = "10.0.0.9:1"
	for name, m := range malformedMessages() {
		var want *MalformedError
		require.ErrorAs(t, m.Check(), &want, name)
		b := newHolderBed(t, 2, ClaimWon)
		b.receiveHeartbeatFrom(from)
		generation := b.router.generation
		assert.NotPanics(t, func() {
			effects := b.step(Receive{From: from, Message: m})
			assert.Empty(t, effectsOf[Start](effects), name)
			assert.NotEmpty(t, effectsOf[Decision](effects), name)
		}, name)
		assert.Equal(t, generation, b.router.generation, name)
		_, effects := b.startTask("valid", Running)
		assert.Empty(t, effectsOf[Violation](effects), name)
	}
}

// FuzzReceive sends a holder any message that can be decoded. The holder must keep working
// without a violated invariant.
func FuzzReceive(f *testing.F) {
	for _, m := range malformedMessages() {
		data, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	for _, m := range []Message{{Withdraw: &Withdraw{ID: "x"}}, {Verdict: &Verdict{ID: "x"}}, {Progress: &Progress{Tasks: []DoneTask{{ID: "x", Task: -1}}}}} {
		data, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		b := newHolderBed(t, 2, ClaimWon)
		b.receiveHeartbeatFrom("10.0.0.9:1")
		effects := b.step(Receive{From: "10.0.0.9:1", Message: m})
		effects = append(effects, b.advance(100*time.Millisecond)...)
		effects = append(effects, b.step(Submit{Request: 1, Job: twoTaskJob("valid"), Budget: time.Second})...)
		assert.Empty(t, effectsOf[Violation](effects))
	})
}

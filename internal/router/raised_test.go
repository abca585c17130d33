package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// raisedBed is a host of clients, whose process takes a higher incarnation, beside the holder of its
// zone.
type raisedBed struct {
	holder *holderBed
	origin *Router
	// running are the runs at each target.
	running map[string][]RunningTask
}

// newRaisedBed returns a host that has offered job j to the holder, which has started it.
func newRaisedBed(t *testing.T, self Member) *raisedBed {
	t.Helper()
	b := &raisedBed{holder: newHolderBed(t, 2, ClaimWon), origin: &Router{Self: self, Bounds: Standard()}, running: make(map[string][]RunningTask)}
	b.step(Tick{})
	holder := b.holder.router.Self
	b.step(Receive{From: holder.Address, Message: Message{Heartbeat: &Heartbeat{
		Member: holder, Sent: b.holder.now.UnixNano(), Echo: b.holder.now.UnixNano(), Claims: b.holder.router.knownClaims(),
	}}})
	b.holder.receiveHeartbeatOf(self, b.holder.now)
	starts, answered := b.exchange(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second}))
	require.Len(t, starts, 2)
	require.Empty(t, answered)
	return b
}

func (b *raisedBed) step(e Event) []Effect { return b.origin.Step(b.holder.now, e) }

// exchange delivers the messages among effects of the host and those that follow, and lets the targets
// obey the holder. It returns the starts and the answers to clients.
func (b *raisedBed) exchange(effects []Effect) (starts []Start, answered []Verdict) {
	answered = answers(effects)
	for _, e := range effectsOf[Send](effects) {
		more, verdicts := b.follow(b.holder.step(Receive{From: b.origin.Self.Address, Message: e.Message}))
		starts, answered = append(starts, more...), append(answered, verdicts...)
	}
	return starts, answered
}

// follow is exchange for effects of the holder.
func (b *raisedBed) follow(effects []Effect) (starts []Start, answered []Verdict) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case Send:
			more, verdicts := b.exchange(b.step(Receive{From: b.holder.router.Self.Address, Message: e.Message}))
			starts, answered = append(starts, more...), append(answered, verdicts...)
		case Start:
			starts = append(starts, e)
			b.running[e.Target.ID] = append(b.running[e.Target.ID], RunningTask{Task: e.Task, Run: e.Run})
			effects = append(effects, b.holder.step(StartAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Result: Running})...)
		case Stop:
			delete(b.running, e.Target.ID)
			effects = append(effects, b.holder.step(StopAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Acknowledged: true})...)
		case Renew:
			if e.Wait == 0 {
				effects = append(effects, b.holder.answerRenewal(e, b.running[e.Target.ID]...)...)
			}
		}
	}
	return starts, answered
}

// advance lets the time of both hosts pass.
func (b *raisedBed) advance(d time.Duration) (starts []Start, answered []Verdict) {
	for end := b.holder.now.Add(d); b.holder.now.Before(end); {
		b.holder.now = b.holder.now.Add(b.origin.Bounds.TickInterval)
		started, verdicts := b.follow(b.holder.step(Tick{}))
		more, others := b.exchange(b.step(Tick{}))
		starts, answered = append(append(starts, started...), more...), append(append(answered, verdicts...), others...)
	}
	return starts, answered
}

// TestJobOfHostThatTakesHigherIncarnationIsNotAnsweredUnknown guards against a job that is offered again
// under the raised incarnation, and that its holder takes for a late copy of a submission it has ended.
func TestJobOfHostThatTakesHigherIncarnationIsNotAnsweredUnknown(t *testing.T) {
	self := Member{Name: "n", Zone: "north", Address: "10.0.0.9:1", Incarnation: 5}
	other := Member{Name: "o", Zone: "north", Address: "10.0.0.8:1", Incarnation: 1, Slot: 8}
	for name, event := range map[string]Event{
		"store": Registered{Slot: 9, SlotUses: 2, Incarnation: 7},
		"peer":  Receive{From: other.Address, Message: Message{Heartbeat: &Heartbeat{Member: other, Sent: testEpoch * int64(time.Second), ReceiverIncarnation: 6}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRaisedBed(t, self)
			starts, answered := b.exchange(b.step(event))
			require.Equal(t, int64(7), b.origin.Self.Incarnation)
			more, verdicts := b.advance(200 * time.Millisecond)
			assert.Empty(t, append(answered, verdicts...))
			assert.Len(t, append(starts, more...), 2)
		})
	}
}

// TestHolderThatTakesHigherIncarnationIsReachable guards against a cell whose holder no other host finds,
// since its claim names the former incarnation.
func TestHolderThatTakesHigherIncarnationIsReachable(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	start, _ := b.startTask("j", Running)
	other := Member{Name: "o", Zone: "south", Address: "10.0.0.8:1", Incarnation: 1, Slot: 8}
	effects := b.step(Receive{From: other.Address, Message: Message{Heartbeat: &Heartbeat{Member: other, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), ReceiverIncarnation: 6}}})
	writes := effectsOf[WriteClaims](append(effects, b.step(Tick{})...))
	require.Len(t, writes, 1)
	effects = b.step(ClaimsWritten{Token: writes[0].Token, Result: ClaimWon, Rows: writes[0].Rows})
	assert.Empty(t, effectsOf[Stop](effects))
	assert.Empty(t, effectsOf[Start](effects))
	assert.Contains(t, b.router.targets[start.Target.ID].runs, start.Task)

	router := &Router{Self: other, Bounds: Standard()}
	heartbeat := b.router.newHeartbeat()
	heartbeat.Claims, heartbeat.Echo = b.router.knownClaims(), b.now.UnixNano()
	router.Step(b.now, Tick{})
	router.Step(b.now, ClaimsRead{Claims: writes[0].Rows})
	router.Step(b.now, Receive{From: b.router.Self.Address, Message: Message{Heartbeat: &heartbeat}})
	assert.Equal(t, b.router.Self.Incarnation, int64(7))
	assert.NotNil(t, router.reachableHolder("north"))
}

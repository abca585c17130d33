package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// originBed is a router with one peer, which holds all cells.
type originBed struct {
	router  *Router
	now     time.Time
	peer    Member
	effects []Effect
}

const testEpoch = 1_800_000_000

func newOriginBed(t *testing.T) *originBed {
	t.Helper()
	b := &originBed{now: time.Unix(testEpoch, 0)}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.peer = Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.step(Tick{})
	b.step(Registered{Slot: 2, SlotUses: 1, Members: []Member{b.peer}})
	b.receiveHeartbeat(1)
	require.True(t, b.router.isReachable(b.router.peers[b.peer.Address]))
	return b
}

func (b *originBed) step(e Event) []Effect {
	b.effects = b.router.Step(b.now, e)
	return b.effects
}

// advance advances the time in ticks, in which the router receives heartbeats of the peer with
// a claim of the given generation. It returns all effects.
func (b *originBed) advance(d time.Duration, generation uint64) []Effect {
	var all []Effect
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		all = append(all, b.receiveHeartbeat(generation)...)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

// receiveHeartbeat delivers a heartbeat of the peer, with its claim to the zone of the given
// generation, or without a claim if generation is 0.
func (b *originBed) receiveHeartbeat(generation uint64) []Effect {
	heartbeat := &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano()}
	if generation > 0 {
		heartbeat.Claims = []Claim{{Zone: "north", Token: generation << (slotBits + slotUseBits), Holder: b.peer}}
	}
	return b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: heartbeat}})
}

func twoTaskJob(id string) Job {
	return Job{ID: id, Route: "r", Service: "work", Count: 2, Need: Resources{CPU: 1000, Memory: 1}, ExpectedRunTime: 100 * time.Millisecond, MaxAttempts: 2, Stretch: 1.6}
}

// offers returns the offers among effects.
func offers(effects []Effect) []Offer {
	var list []Offer
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.Message.Offer != nil {
			list = append(list, *s.Message.Offer)
		}
	}
	return list
}

// answers returns the answers among effects.
func answers(effects []Effect) []Verdict {
	var list []Verdict
	for _, e := range effects {
		if a, ok := e.(Answer); ok {
			list = append(list, a.Verdict)
		}
	}
	return list
}

func (b *originBed) receiveVerdict(v Verdict) []Effect {
	return b.step(Receive{From: b.peer.Address, Message: Message{Verdict: &v}})
}

// TestReofferedJobIsNotReportedAsRefused: a holder that was offered a job twice, because the
// connection was opened again, may have started it before it lost the cell. Its answer that it
// does not hold the cell belongs to the second offer only, so a later refusal must not be
// reported as one.
func TestReofferedJobIsNotReportedAsRefused(t *testing.T) {
	b := newOriginBed(t)
	effects := b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	require.Len(t, offers(effects), 1)
	require.Len(t, offers(b.step(LinkOpened{Address: b.peer.Address})), 1)
	b.receiveVerdict(Verdict{ID: "j", Outcome: WrongHolder})
	offered := offers(b.advance(40*time.Millisecond, 1))
	require.NotEmpty(t, offered)
	assert.True(t, offered[0].Reoffered, "the next offer must say that the job may have started")
	got := answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload}))
	require.Len(t, got, 1)
	assert.Equal(t, Unknown, got[0].Outcome)
}

// TestJobRejectedByWrongHolderCanBeRefused: a job whose first and only offer was rejected has
// not started, so a refusal by the next holder is reported as one.
func TestJobRejectedByWrongHolderCanBeRefused(t *testing.T) {
	b := newOriginBed(t)
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	b.receiveVerdict(Verdict{ID: "j", Outcome: WrongHolder})
	offered := offers(b.advance(40*time.Millisecond, 1))
	require.NotEmpty(t, offered)
	assert.False(t, offered[0].Reoffered)
	got := answers(b.receiveVerdict(Verdict{ID: "j", Outcome: Refused, Reason: Overload, RetryAfter: time.Second}))
	require.Len(t, got, 1)
	assert.Equal(t, Refused, got[0].Outcome)
	assert.Equal(t, time.Second, got[0].RetryAfter)
}

// TestRequestWaitsForTakeover: a job that has run for a while is not aborted as soon as its
// holder becomes unresponsive, because the next holder takes it over.
func TestRequestWaitsForTakeover(t *testing.T) {
	b := newOriginBed(t)
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 8 * time.Second})
	assert.Empty(t, answers(b.advance(2*time.Second, 1)))
	b.now = b.now.Add(b.router.Bounds.PeerTimeout + b.router.Bounds.TickInterval)
	assert.Empty(t, answers(b.step(Tick{})), "the holder has just become unresponsive")
	assert.NotEmpty(t, offers(b.receiveHeartbeat(2)), "the job must be offered under the new claim")
}

// TestRequestWithoutHolderIsRefused: a job that was never offered, because there is no holder,
// is refused as not run within the time that a claim takes.
func TestRequestWithoutHolderIsRefused(t *testing.T) {
	b := &originBed{now: time.Unix(testEpoch, 0)}
	b.router = &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	b.step(Tick{})
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	var got []Verdict
	for range 40 {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		got = append(got, answers(b.step(Tick{}))...)
	}
	require.Len(t, got, 1)
	assert.Equal(t, Refused, got[0].Outcome)
	assert.Positive(t, got[0].RetryAfter)
}

// TestConfigIsSentOnceToOutdatedPeer guards against flooding a large deployment with each new
// configuration. A host sends it only to peers that have not read it from the store themselves,
// and only once. A host that holds no cell never sends the directory.
func TestConfigIsSentOnceToOutdatedPeer(t *testing.T) {
	b := newOriginBed(t)
	b.router.adoptConfig(&Config{Version: 7}, "store")
	b.router.adoptDirectory(Directory{Version: 9, Targets: newTargets(2)}, b.now, "peer")
	sent := func(effects []Effect) (configs, directories int) {
		for _, e := range effects {
			if s, ok := e.(Send); ok && s.Message.Config != nil {
				configs++
			}
			if s, ok := e.(Send); ok && s.Message.Directory != nil {
				directories++
			}
		}
		return configs, directories
	}
	configs, directories := sent(b.advance(minConfigSendDelay-2*b.router.Bounds.TickInterval, 1))
	assert.Zero(t, configs, "the peer needs time to read it from the store")
	more, further := sent(b.advance(configSendStagger+4*b.router.Bounds.TickInterval, 1))
	assert.Equal(t, 1, more)
	assert.Zero(t, directories+further)
}

// TestUnresponsiveHolderAfterStartIsReplaced: a host that has just started waits only briefly
// for the holder that the store names if no other host reaches that holder either.
func TestUnresponsiveHolderAfterStartIsReplaced(t *testing.T) {
	for _, peerReachesHolder := range []bool{false, true} {
		r := &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
		b := &originBed{router: r, now: time.Unix(testEpoch, 0), peer: Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 3}}
		unresponsive := Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 1}
		b.step(Tick{})
		claim := Claim{Zone: "north", Token: 5 << (slotBits + slotUseBits), Holder: unresponsive}
		b.step(Registered{Slot: 2, SlotUses: 2, Members: []Member{b.peer, unresponsive}, Claims: []StoredClaim{{Claim: claim, Version: 7}}})
		b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 1, Targets: newTargets(1)}})
		var claimDelay time.Duration
		for start := b.now; claimDelay == 0 && b.now.Sub(start) < time.Second; {
			b.now = b.now.Add(r.Bounds.TickInterval)
			heartbeat := &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), ReachesHolder: peerReachesHolder}
			b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: heartbeat}})
			if len(effectsOf[WriteClaims](b.step(Tick{}))) > 0 {
				claimDelay = b.now.Sub(start)
			}
		}
		if peerReachesHolder {
			assert.GreaterOrEqual(t, claimDelay, r.Bounds.PeerTimeout)
		} else {
			assert.LessOrEqual(t, claimDelay, r.Bounds.PeerTimeout/2+2*r.Bounds.TickInterval)
		}
		assert.NotZero(t, claimDelay)
	}
}

// TestSuspectHolderIsNotOffered: while the holder's heartbeat is overdue, requests are
// retained. They are offered to it after its next heartbeat, as if they had just arrived.
func TestSuspectHolderIsNotOffered(t *testing.T) {
	b := newOriginBed(t)
	b.now = b.now.Add(2 * b.router.Bounds.HeartbeatInterval)
	assert.Empty(t, offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})))
	effects := b.receiveHeartbeat(1)
	b.now = b.now.Add(b.router.Bounds.TickInterval)
	list := offers(append(effects, b.step(Tick{})...))
	require.Len(t, list, 1)
	assert.False(t, list[0].Reoffered)
}

// TestClaimsAreInFewHeartbeats: heartbeats contain the claims only after a change and at the
// interval for unchanged claims.
func TestClaimsAreInFewHeartbeats(t *testing.T) {
	b := newOriginBed(t)
	counts := func(d time.Duration, generation uint64) (withClaims, all int) {
		for _, e := range effectsOf[Send](b.advance(d, generation)) {
			if heartbeat := e.Message.Heartbeat; heartbeat != nil {
				all++
				if len(heartbeat.Claims) > 0 {
					withClaims++
				}
			}
		}
		return withClaims, all
	}
	counts(time.Second, 1)
	withClaims, all := counts(4*time.Second, 1)
	assert.GreaterOrEqual(t, withClaims, 8)
	assert.LessOrEqual(t, withClaims, all/4)
	withClaims, _ = counts(b.router.Bounds.HeartbeatInterval, 2)
	assert.Equal(t, 1, withClaims, "the claim has changed")
}

// TestCompletionByPreviousHolderIsAccepted: if a holder completes a job while another host
// takes over, its verdict is accepted and the job is withdrawn from the new holder.
func TestCompletionByPreviousHolderIsAccepted(t *testing.T) {
	b := newOriginBed(t)
	require.Len(t, offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})), 1)
	previous := b.peer
	b.peer = Member{Name: "c", Zone: "north", Address: "10.0.0.3:1", Incarnation: 1, Slot: 3}
	require.Len(t, offers(b.receiveHeartbeat(2)), 1)
	effects := b.step(Receive{From: previous.Address, Message: Message{Verdict: &Verdict{ID: "j", Outcome: Complete}}})
	require.Len(t, answers(effects), 1)
	assert.Equal(t, Complete, answers(effects)[0].Outcome)
	sends := effectsOf[Send](effects)
	require.Len(t, sends, 1)
	assert.Equal(t, b.peer.Address, sends[0].To)
	assert.NotNil(t, sends[0].Message.Withdraw)
	assert.Empty(t, answers(b.step(Receive{From: b.peer.Address, Message: Message{Verdict: &Verdict{ID: "j", Outcome: Failed}}})))
}

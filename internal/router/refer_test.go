package router

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// patientJob returns a job of two tasks that can wait for several seconds.
func patientJob(id string) Job {
	j := twoTaskJob(id)
	j.ExpectedRunTime, j.Stretch = time.Second, 9
	return j
}

// newBusyBed returns the holder of zone north, whose only target is full, and which knows the holder of
// zone south with the given load.
func newBusyBed(t *testing.T, report Heartbeat) (b *holderBed, remote Member) {
	t.Helper()
	b, remote = newNeighbourBed(t)
	b.step(Submit{Request: 1, Job: patientJob("blocking"), Budget: 20 * time.Second})
	b.step(Submit{Request: 2, Job: patientJob("waiting"), Budget: 20 * time.Second})
	report.Member, report.Sent, report.Echo = remote, b.now.UnixNano(), b.now.UnixNano()
	b.step(Receive{From: remote.Address, Message: Message{Heartbeat: &report}})
	return b, remote
}

// TestWaitingJobIsReferred guards against jobs that wait beside a zone that has room or a shorter queue,
// and against jobs that are referred twice or to a zone whose state is old.
func TestWaitingJobIsReferred(t *testing.T) {
	room := Heartbeat{Headroom: map[string]int{"work": 2}}
	for name, test := range map[string]struct {
		report   Heartbeat
		age      time.Duration
		referred int // of three jobs
	}{
		"room":          {room, 0, 1},
		"old state":     {room, 260 * time.Millisecond, 0},
		"shorter queue": {Heartbeat{Loads: map[string]ServiceLoad{"work": {Size: 9, Wait: 10 * time.Millisecond}}}, 0, 3},
		"longer queue":  {Heartbeat{Loads: map[string]ServiceLoad{"work": {Size: 9, Wait: 9 * time.Second}}}, 0, 0},
	} {
		b, _ := newBusyBed(t, test.report)
		b.now = b.now.Add(test.age)
		var sent []Offer
		for i := range 3 {
			sent = append(sent, offers(b.step(Submit{Request: uint64(10 + i), Job: patientJob(fmt.Sprint("j", i)), Budget: 20 * time.Second}))...)
		}
		require.Len(t, sent, test.referred, name)
		for _, o := range sent {
			assert.Equal(t, "south", o.Zone, name)
			assert.Empty(t, o.ReachableZones, "it may not be referred again")
		}
	}
}

// TestOfferOfPreviousBuildIsNotReferred guards against the refusal of a job that could be served here:
// a host of the previous build does not offer it again if the other zone cannot be reached.
func TestOfferOfPreviousBuildIsNotReferred(t *testing.T) {
	b, _ := newBusyBed(t, Heartbeat{Headroom: map[string]int{"work": 9}})
	b.router.handleOffer(nil, &Offer{Job: patientJob("j"), TimeLeft: 20 * time.Second, Token: b.router.cells["north"].claim.Token})
	assert.False(t, b.router.jobs["j"].ended)
}

// TestReferredJobReturnsToOwnZone guards against the refusal of a referred job that the own zone could
// have served, because the other zone cannot be reached.
func TestReferredJobReturnsToOwnZone(t *testing.T) {
	b, _ := newSplitBed(t)
	first := offers(b.step(Submit{Request: 1, Job: twoTaskJob("a"), Budget: 5 * time.Second}))
	require.Len(t, first, 1)
	referral := Verdict{ID: "a", Outcome: Refused, Reason: Overload, Elsewhere: "south", Referred: true, SubmissionID: first[0].SubmissionID, Token: first[0].Token}
	again := offers(b.receiveVerdict(referral))
	require.Len(t, again, 1)
	assert.Equal(t, "north", again[0].Zone)
	assert.False(t, again[0].Reoffered)
	assert.Empty(t, again[0].ReachableZones)
	assert.Greater(t, again[0].SubmissionID, first[0].SubmissionID, "the holder has ended the first submission")
	referral.SubmissionID = again[0].SubmissionID
	got := answers(b.receiveVerdict(referral))
	require.Len(t, got, 1, "a job is referred once")
	assert.Equal(t, Refused, got[0].Outcome)
}

// TestHostConnectsBeforeReferral guards against a referred job that waits for the connection.
func TestHostConnectsBeforeReferral(t *testing.T) {
	b, _ := newSplitBed(t)
	require.Empty(t, b.router.followedZones)
	heartbeat := &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Neighbours: []string{"south"}}
	b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: heartbeat}})
	b.step(Tick{})
	assert.True(t, b.router.followedZones["south"])
}

// TestNewHolderPublishesNoLoad guards against referrals to a holder whose queue is short only because
// the zone's hosts have not offered their jobs again.
func TestNewHolderPublishesNoLoad(t *testing.T) {
	b, _ := newBusyBed(t, Heartbeat{Headroom: map[string]int{"work": 9}, Loads: map[string]ServiceLoad{"work": {Size: 9}}})
	b.router.cells["north"].acquiredAt = b.now
	assert.Empty(t, b.router.ownLoads())
	b.router.cells["north"].acquiredAt = b.now.Add(-b.router.Bounds.PeerTimeout)
	assert.Equal(t, 2, b.router.ownLoads()["work"].Size)
	assert.NotZero(t, b.router.ownLoads()["work"].Wait)
	assert.Equal(t, []string{"south"}, b.router.newHeartbeat().Neighbours)
}

// TestHostsDoNotConnectToFullZones guards against a connection of each host to the holders of zones that
// are as full as its own, which lack the processor time for it.
func TestHostsDoNotConnectToFullZones(t *testing.T) {
	b, _ := newBusyBed(t, Heartbeat{Loads: map[string]ServiceLoad{"work": {Size: 9, Wait: time.Second}}})
	b.router.cells["north"].acquiredAt = b.now.Add(-b.router.Bounds.PeerTimeout)
	require.NotZero(t, b.router.ownLoads()["work"].Wait)
	assert.Empty(t, b.router.newHeartbeat().Neighbours)
}

// TestOddLoadIsNotAdopted guards against loads and lists of zones that no holder can have.
func TestOddLoadIsNotAdopted(t *testing.T) {
	for _, odd := range []Message{
		{Heartbeat: &Heartbeat{Loads: map[string]ServiceLoad{"work": {Size: -1}}}},
		{Heartbeat: &Heartbeat{Loads: map[string]ServiceLoad{"work": {Size: math.MaxInt}}}},
		{Heartbeat: &Heartbeat{Loads: map[string]ServiceLoad{"work": {Wait: -1}}}},
		{Heartbeat: &Heartbeat{Loads: map[string]ServiceLoad{"work": {Wait: math.MaxInt64}}}},
		{Heartbeat: &Heartbeat{Neighbours: make([]string, 5)}},
		{Heartbeat: &Heartbeat{Neighbours: []string{""}}},
		{Offer: &Offer{Job: twoTaskJob("j"), ReachableZones: make([]string, 5)}},
	} {
		var malformed *MalformedError
		assert.ErrorAs(t, odd.Check(), &malformed)
	}
}

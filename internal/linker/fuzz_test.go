package linker

import (
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

const fuzzedPeer = "10.0.0.9:1"

// holderSteps steps a router until it holds its zone's cell and reaches a peer. It returns a function that
// steps it on and returns the violated invariants.
func holderSteps(t *testing.T) (step func(router.Event) []router.Violation) {
	t.Helper()
	r := &router.Router{Self: router.Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: router.Standard()}
	now := time.Unix(1_800_000_000, 0)
	step = func(e router.Event) (violations []router.Violation) {
		for _, effect := range r.Step(now, e) {
			switch effect := effect.(type) {
			case router.WriteClaims:
				violations = append(violations, step(router.ClaimsWritten{Token: effect.Token, Result: router.ClaimWon, Rows: effect.Rows})...)
			case router.Violation:
				violations = append(violations, effect)
			}
		}
		if _, ok := e.(router.Tick); ok {
			now = now.Add(r.Bounds.TickInterval)
		}
		return violations
	}
	step(router.Tick{})
	step(router.Registered{Slot: 2, SlotUses: 1})
	step(router.EvacuationsRead{RequestedAt: now, Evacuations: router.Evacuations{Version: 1}})
	step(router.DirectoryRead{RequestedAt: now, Directory: router.Directory{Version: 1, Targets: []router.Target{{
		ID: "p", Address: "10.1.0.1:1", Service: "s", Zone: "north", Capacity: router.Resources{CPU: 4_000, Memory: 100},
	}}}})
	for range 40 {
		step(router.Tick{})
	}
	require.Equal(t, 1, r.View().HeldCells)
	member := router.Member{Name: "n", Zone: "north", Address: fuzzedPeer, Incarnation: 5, Slot: 9}
	step(router.Receive{From: fuzzedPeer, Message: router.Message{Heartbeat: &router.Heartbeat{Member: member, Sent: now.UnixNano(), Echo: now.UnixNano()}}})
	return step
}

// FuzzFrame gives a holder the messages of any frame that can be decoded. The holder must keep working
// without a violated invariant, and without taking more memory than a frame may hold.
func FuzzFrame(f *testing.F) {
	job := router.Job{ID: "j", Route: "r", Service: "s", Count: 2, Need: router.Resources{CPU: 1_000, Memory: 1}, ExpectedRunTime: time.Second, MaxAttempts: 2, Stretch: 1.6}
	member := router.Member{Name: "n", Zone: "north", Address: fuzzedPeer, Incarnation: 5, Slot: 9}
	target := router.Target{ID: "q", Address: "10.1.0.2:1", Service: "s", Zone: "south", Capacity: router.Resources{CPU: 2_000, Memory: 9}}
	var all [][]byte
	for _, m := range []router.Message{
		{Heartbeat: &router.Heartbeat{Member: member, Sent: 9, Echo: 8, Generation: 7, Claims: []router.Claim{{Zone: "south", Token: 1 << 40, Holder: member}}, Evacuations: &router.Evacuations{Version: 9, Zones: []string{"north"}}, Directory: 9, TargetCount: 200}},
		{Heartbeat: &router.Heartbeat{Member: router.Member{Incarnation: 5}, Sent: math.MaxInt64, Echo: math.MinInt64, Config: math.MaxUint64, Directory: math.MaxUint64, DirectoryAge: math.MinInt64, Headroom: map[string]int{"s": math.MinInt}, TargetCount: math.MinInt}},
		{Heartbeat: &router.Heartbeat{Member: member, Routes: []router.RouteStats{{Route: "r", Count: 99, MeanY: 20}}, Speeds: []router.KindSpeed{{Kind: "a", Count: 99, Log: -20}}, Crashes: []router.Crash{{Job: "j", Task: 1, Target: "p", StartedAt: math.MaxInt64, Confirmed: true}}}},
		{Offer: &router.Offer{Job: job, TimeLeft: time.Second, SubmissionID: 1, Reoffered: true, PreviousZones: []string{"north"}, Done: []int{0, -1, math.MaxInt}}},
		{Offer: &router.Offer{Job: job, TimeLeft: math.MaxInt64, Elapsed: math.MinInt64, RunBase: 1 << 53, Token: math.MaxUint64}},
		{Withdraw: &router.Withdraw{ID: "j"}},
		{Verdict: &router.Verdict{ID: "j", Outcome: "odd", RetryAfter: math.MinInt64, Token: math.MaxUint64}},
		{Progress: &router.Progress{Tasks: []router.DoneTask{{ID: "j", Task: math.MinInt}}}},
		{Config: &router.Config{Version: math.MaxUint64, Routes: []router.Route{{Timeout: math.MinInt64}}}},
		{Directory: &router.Directory{Version: 9, Total: math.MinInt, Targets: []router.Target{target, target}}},
		{DirectoryChanges: &router.DirectoryChanges{From: 1, Version: 2, Total: math.MaxInt, Changed: []router.Target{target, target}, Removed: []string{"p", "p", ""}}},
		{PreviousTargets: []router.Target{target, {}}},
	} {
		data := encodeAny(f, m)
		all = append(all, data)
		f.Add(encodeFrame(f, data))
	}
	f.Add(encodeFrame(f, all...))
	for _, odd := range oddMessages(f) {
		f.Add(encodeFrame(f, odd))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := (&Linker{Log: logr.Discard()}).decode(fuzzedPeer, data)
		if err != nil {
			return
		}
		step := holderSteps(t)
		var violations []router.Violation
		for _, m := range messages {
			violations = append(violations, step(router.Receive{From: fuzzedPeer, Message: m})...)
		}
		for range 20 {
			violations = append(violations, step(router.Tick{})...)
		}
		violations = append(violations, step(router.Submit{Request: 1, Job: router.Job{ID: "k", Service: "s", Count: 1}, Budget: time.Second})...)
		assert.Empty(t, violations)
	})
}

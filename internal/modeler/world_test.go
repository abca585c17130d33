package modeler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testWorld returns the Restrepo site under a load with faults.
func testWorld(load float64, length time.Duration, faults ...Fault) *World {
	w := Restrepo()
	w.Load, w.Length, w.Faults = load, length, faults
	return &w
}

func logResults(t *testing.T, w *World) {
	t.Helper()
	for _, name := range sortedKeys(w.Tally.Kinds) {
		n := w.Tally.Kinds[name]
		t.Logf("%-9s sent %d in time %d late %d refused %d failed %d unknown %d, p50 %v p99 %v, %v", name, n.Asked, n.InTime, n.Late,
			n.Refused, n.Failed, n.Unknown, n.Quantile(0.5), n.Quantile(0.99), n.Reasons)
	}
	t.Logf("benefit %.3f, worst 2 s %.3f, starts %d", w.Tally.Worth(), w.Tally.WorstSpan(2), w.Tally.Starts)
}

// TestLightLoadIsAnsweredInTime checks that nearly all jobs are answered in time under light
// load without faults.
func TestLightLoadIsAnsweredInTime(t *testing.T) {
	w := testWorld(0.6, 10*time.Second)
	w.Run()
	logResults(t, w)
	require.Empty(t, w.Broken)
	assert.GreaterOrEqual(t, w.Tally.Worth(), 0.98)
}

// TestInvariantsHoldUnderEachFault injects each fault alone, into holders and other hosts.
func TestInvariantsHoldUnderEachFault(t *testing.T) {
	second := time.Second
	for _, f := range []Fault{
		{Trouble: Kill, Where: "holder", For: second},
		{Trouble: Kill, For: second},
		{Trouble: Freeze, Where: "holder", For: 4 * second},
		{Trouble: Freeze, For: 4 * second},
		{Trouble: Freeze, Where: "holder", For: 700 * time.Millisecond},
		{Trouble: Restart, Where: "holder"},
		{Trouble: Restart},
		{Trouble: CutHost, Where: "holder", For: 5 * second},
		{Trouble: CutHost, For: 5 * second},
		{Trouble: CutStore, Where: "holder", For: 5 * second},
		{Trouble: CutZone, Where: "north", For: 6 * second},
		{Trouble: CutZone, Where: "south", For: 6 * second},
		{Trouble: CutZone, Where: "west", For: 6 * second},
		{Trouble: StoreDown, For: 5 * second},
		{Trouble: StoreSlow, For: 5 * second},
		{Trouble: StoreLost, For: 5 * second},
		{Trouble: KillTarget, Share: 0.15, For: 4 * second},
		{Trouble: FailTarget, Share: 0.15, For: 6 * second},
		{Trouble: HangTarget, Share: 0.15, For: 6 * second},
		{Trouble: SlowTarget, Share: 0.15, For: 6 * second},
		{Trouble: Drain, Share: 0.1},
		{Trouble: KillAll, For: second},
		{Trouble: Surge, Times: 2, For: 4 * second},
	} {
		f.At = 4 * second
		t.Run(fmt.Sprintf("%s-%s", f.Trouble, f.Where), func(t *testing.T) {
			t.Parallel()
			w := testWorld(0.8, 14*second, f)
			w.Run()
			logResults(t, w)
			assert.Empty(t, w.Broken)
			assert.GreaterOrEqual(t, w.Tally.Worth(), 0.5)
		})
	}
}

package modeler

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

var (
	worlds    = flag.Int("worlds", 30, "how many random worlds TestWorlds plays")
	firstSeed = flag.Uint64("first", 1, "the seed of the first one")
)

// troubles are what random worlds draw from.
var troubles = []Fault{
	{Trouble: Kill, Where: "holder"},
	{Trouble: Kill},
	{Trouble: Freeze, Where: "holder"},
	{Trouble: Freeze},
	{Trouble: Restart, Where: "holder"},
	{Trouble: Restart},
	{Trouble: CutHost, Where: "holder"},
	{Trouble: CutHost},
	{Trouble: CutStore, Where: "holder"},
	{Trouble: CutStore},
	{Trouble: CutZone},
	{Trouble: StoreDown},
	{Trouble: StoreSlow},
	{Trouble: StoreLost},
	{Trouble: KillTarget, Share: 0.2},
	{Trouble: FailTarget, Share: 0.2},
	{Trouble: HangTarget, Share: 0.2},
	{Trouble: SlowTarget, Share: 0.2},
	{Trouble: Drain, Share: 0.2},
	{Trouble: KillAll},
	{Trouble: Surge, Times: 2},
}

// randomWorld draws a small deployment and two to five troubles.
func randomWorld(seed uint64) *World {
	random := rand.New(rand.NewPCG(seed, 7))
	w := usersWorld(0.25, 9*time.Second)
	w.Seed = seed
	w.Layout.Hosts = 1 + random.IntN(3)
	w.Layout.Targets = 4
	if random.IntN(3) == 0 {
		w.Lost = 0.05
	}
	if random.IntN(4) == 0 {
		w.Bounds.MaxSharedTargets = 6 // a holder a zone
	}
	if seed%7 == 3 {
		w.Mute = 0.05
	}
	if seed%3 == 1 {
		w.Bounds.FullMeshHosts = 1 // only the holder and its successors hear of all others
		w.Layout.Hosts += 2
	}
	for range 2 + random.IntN(4) {
		f := troubles[random.IntN(len(troubles))]
		f.At = time.Duration(random.Int64N(int64(7 * time.Second)))
		f.For = 300*time.Millisecond + time.Duration(random.Int64N(int64(5*time.Second)))
		w.Faults = append(w.Faults, f)
	}
	return w
}

// TestWorlds plays random troubles and checks what must always hold: one run of a
// task at a time, refusals that are true, answers that are whole, and an answer to
// every client whose host lives.
func TestWorlds(t *testing.T) {
	var group sync.WaitGroup
	free := make(chan struct{}, runtime.GOMAXPROCS(0)) // worlds at a time
	for seed := *firstSeed; seed < *firstSeed+uint64(*worlds); seed++ {
		free <- struct{}{}
		group.Go(func() {
			w := randomWorld(seed)
			w.Run()
			if !assert.Empty(t, w.Broken, "seed %d, %+v, lost %v, mute %v, split %d, mesh %d, hosts %d", seed, w.Faults, w.Lost, w.Mute, w.Bounds.MaxSharedTargets, w.Bounds.FullMeshHosts, w.Layout.Hosts) {
				report(t, w)
			}
			<-free
		})
	}
	group.Wait()
}

// TestRegressions plays the random worlds that once failed.
func TestRegressions(t *testing.T) {
	for seed, cause := range map[uint64]string{
		267:    "a host that regained a cell went on with its former jobs",
		330:    "a new holder extended the leases of runs that nobody claimed",
		100820: "a dropped job that came back was refused as not run",
		130580: "a run that a restarted target had taken was given up and started elsewhere",
		102087: "a holder went by targets that had obeyed it before another had them in between",
		131179: "a holder went by targets that had obeyed it before another had them in between",
		500289: "a job was started anew that might run in a zone of another holder, whose targets were not listed",
		201094: "a dropped job that came back was started beside its run that was being stopped",
	} {
		w := randomWorld(seed)
		w.Run()
		assert.Empty(t, w.Broken, "seed %d: %s", seed, cause)
	}
}

// TestReplay makes sure that a seed plays the same world again.
func TestReplay(t *testing.T) {
	var trace [2][]string
	for i := range trace {
		w := randomWorld(5)
		w.Trace = func(at time.Duration, host string, e router.Decision) {
			trace[i] = append(trace[i], at.String()+host+e.Action+e.Job+e.Task+e.Target)
		}
		w.Run()
	}
	assert.Equal(t, trace[0], trace[1])
}

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
	worldCount = flag.Int("worlds", 30, "number of random simulations to run")
	firstSeed  = flag.Uint64("first", 1, "seed of the first random simulation")
)

// randomFaults are the faults that randomWorld draws from.
var randomFaults = []Fault{
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

// randomWorld draws a small deployment with two to five faults.
func randomWorld(seed uint64) *World {
	random := rand.New(rand.NewPCG(seed, 7))
	w := testWorld(0.25, 9*time.Second)
	w.Seed = seed
	w.Layout.Hosts = 1 + random.IntN(3)
	w.Layout.Targets = 4
	if random.IntN(3) == 0 {
		w.Lost = 0.05
	}
	if random.IntN(4) == 0 {
		w.Bounds.MaxSharedTargets = 6 // one holder per zone
	}
	if seed%7 == 3 {
		w.Mute = 0.05
	}
	if seed%3 == 1 {
		w.Bounds.FullMeshHosts = 1 // only the holder and its successors monitor all other hosts
		w.Layout.Hosts += 2
	}
	for range 2 + random.IntN(4) {
		f := randomFaults[random.IntN(len(randomFaults))]
		f.At = time.Duration(random.Int64N(int64(7 * time.Second)))
		f.For = 300*time.Millisecond + time.Duration(random.Int64N(int64(5*time.Second)))
		w.Faults = append(w.Faults, f)
	}
	return w
}

// TestInvariantsHoldUnderRandomFaults checks the invariants under random faults: a task has
// at most one run at a time, a job refused as not run never ran, a job answered as complete
// has all its tasks done, and every client whose host runs gets an answer.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0)) // parallel simulations
	for seed := *firstSeed; seed < *firstSeed+uint64(*worldCount); seed++ {
		slots <- struct{}{}
		group.Go(func() {
			w := randomWorld(seed)
			w.Run()
			if !assert.Empty(t, w.Broken, "seed %d, %+v, share of orders executed late %v, share of answers lost %v, targets under one holder %d, hosts in a full mesh %d, hosts per zone %d", seed, w.Faults, w.Lost, w.Mute, w.Bounds.MaxSharedTargets, w.Bounds.FullMeshHosts, w.Layout.Hosts) {
				logResults(t, w)
			}
			<-slots
		})
	}
	group.Wait()
}

// TestRegressionSeeds repeats the random simulations that once violated an invariant.
func TestRegressionSeeds(t *testing.T) {
	for seed, cause := range map[uint64]string{
		267:    "a host that regained a cell continued its previous jobs",
		330:    "a new holder extended the leases of orphans",
		100820: "a dropped job that was sent again was refused as not run",
		130580: "a run that a restarted target had accepted was abandoned and started elsewhere",
		102087: "a holder relied on targets that had accepted its token before another host held them in between",
		131179: "a holder relied on targets that had accepted its token before another host held them in between",
		500289: "a job was started again although it might run in the zone of another holder, whose targets were not listed",
		201094: "a dropped job that was sent again was started while its previous run was still stopping",
	} {
		w := randomWorld(seed)
		w.Run()
		assert.Empty(t, w.Broken, "seed %d: %s", seed, cause)
	}
}

// TestSameSeedRepeatsSimulation checks that two simulations with the same seed make the same
// decisions.
func TestSameSeedRepeatsSimulation(t *testing.T) {
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

// Command model plays worlds of the project's modeler (real routers in virtual time) in which the holder of a
// zone is slow while zones are evacuated and taken back. It prints the violations of the invariants, and
// exits with 1 if there is one. It is no case of the review: nothing here runs as a process of its own.
//
//	go run ./review/model -first 604 -worlds 1
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/modeler"
)

// world draws a deployment with a holder for each zone. Twice the holder of most cells is slow for 4 s, and
// each zone is evacuated for 0.5 to 2 s meanwhile.
func world(seed uint64) *modeler.Simulation {
	random := rand.New(rand.NewPCG(seed, 55))
	sim := modeler.Restrepo()
	sim.LoadFactor, sim.LoadDuration = 0.2+0.6*random.Float64(), 10*time.Second
	sim.Seed = seed
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 3, 4
	sim.Bounds.MaxSharedTargets = 6
	sim.DrainDuration += 5 * time.Second
	for round := range 2 {
		at := time.Second + time.Duration(round)*4500*time.Millisecond
		sim.Faults = append(sim.Faults, modeler.Fault{Kind: modeler.SlowHost, Selector: "holder", At: at, Duration: 4 * time.Second})
		for _, zone := range sim.Size.Zones {
			sim.Faults = append(sim.Faults, modeler.Fault{
				Kind: modeler.EvacuateZone, Selector: zone, At: at + time.Duration(random.Int64N(int64(3*time.Second))),
				Duration: 500*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))),
			})
		}
	}
	return &sim
}

func main() {
	first, worlds := flag.Uint64("first", 604, "seed of the first world"), flag.Uint64("worlds", 1, "number of worlds")
	flag.Parse()
	violated := 0
	for seed := *first; seed < *first+*worlds; seed++ {
		sim := world(seed)
		sim.Run()
		if len(sim.Violations) > 0 {
			violated++
			fmt.Println("seed", seed, sim.Violations)
		}
	}
	fmt.Printf("%d of %d worlds violate an invariant\n", violated, *worlds)
	if violated > 0 {
		os.Exit(1)
	}
}

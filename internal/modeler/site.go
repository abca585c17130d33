package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Usual returns the traffic of a site at a load of 1. The argument is the CPU need of a
// task in thousandths of a core.
func Usual(cpu int) []Kind {
	need := router.Resources{CPU: cpu, Memory: 64}
	kind := Kind{Spread: 0.4, Off: 0.4, Need: need, Stretch: 1.6, Allowance: 60 * time.Millisecond}
	check, manifest, confirm := kind, kind, kind
	check.Name, check.Rate, check.Tasks, check.Work, check.Attempts, check.Worth = "check", 34.4, 8, 60*time.Millisecond, 3, 0.0291
	manifest.Name, manifest.Rate, manifest.Tasks, manifest.Work, manifest.Attempts, manifest.Worth = "manifest", 6.25, 4, 900*time.Millisecond, 2, 0.16
	confirm.Name, confirm.Rate, confirm.Tasks, confirm.Work, confirm.Attempts, confirm.Worth = "confirm", 100, 2, 200*time.Millisecond, 4, 0.01
	return []Kind{check, manifest, confirm}
}

// Restrepo returns a site of three zones with 48 targets of 32 or 48 cores.
func Restrepo() World {
	return World{
		Layout: Layout{
			Zones: []string{"north", "south", "west"}, Hosts: 2, Targets: 16,
			Room: router.Resources{CPU: 32000, Memory: 65536}, SlowFactor: 1.3,
			Hop: 900 * time.Microsecond, Near: 200 * time.Microsecond,
		},
		Kinds: Usual(14000), Load: 1, Seed: 1, Bounds: router.Standard(),
		Warm: 3 * time.Second, Length: 12 * time.Second, Drain: 8 * time.Second,
	}
}

// Kutchwala returns a site whose targets have half the capacity of Restrepo's, with longer
// network delays between zones.
func Kutchwala() World {
	w := Restrepo()
	w.Layout.Room = router.Resources{CPU: 16000, Memory: 32768}
	w.Layout.Hop = 1400 * time.Microsecond
	w.Kinds = Usual(6800)
	return w
}

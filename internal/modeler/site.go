package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// DefaultKinds returns the kinds of job of a site, with their rates at a load of 1. The argument is the CPU need of a
// task in thousandths of a core.
func DefaultKinds(cpu int) []JobKind {
	need := router.Resources{CPU: cpu, Memory: 64}
	kind := JobKind{RunTimeSpread: 0.4, EstimateError: 0.4, Need: need, Stretch: 1.6, Allowance: 60 * time.Millisecond}
	check, manifest, confirm := kind, kind, kind
	check.Name, check.Rate, check.MeanTasks, check.MeanRunTime, check.MaxAttempts, check.Benefit = "check", 34.4, 8, 60*time.Millisecond, 3, 0.0291
	manifest.Name, manifest.Rate, manifest.MeanTasks, manifest.MeanRunTime, manifest.MaxAttempts, manifest.Benefit = "manifest", 6.25, 4, 900*time.Millisecond, 2, 0.16
	confirm.Name, confirm.Rate, confirm.MeanTasks, confirm.MeanRunTime, confirm.MaxAttempts, confirm.Benefit = "confirm", 100, 2, 200*time.Millisecond, 4, 0.01
	return []JobKind{check, manifest, confirm}
}

// Restrepo returns a site of three zones with 48 targets of 32 or 48 cores.
func Restrepo() Simulation {
	return Simulation{
		Size: DeploymentSize{
			Zones: []string{"north", "south", "west"}, HostsPerZone: 2, TargetsPerZone: 16,
			TargetCapacity: router.Resources{CPU: 32000, Memory: 65536}, SlowFactor: 1.3,
			InterZoneDelay: 900 * time.Microsecond, IntraZoneDelay: 200 * time.Microsecond,
		},
		Kinds: DefaultKinds(14000), LoadFactor: 1, Seed: 1, Bounds: router.Standard(),
		WarmUpDuration: 3 * time.Second, LoadDuration: 12 * time.Second, DrainDuration: 8 * time.Second,
	}
}

// Coarse returns a site whose tasks take half of a target on average, so that half of all pairs
// of tasks do not fit one target, with a holder for each zone. Few attempts are allowed.
func Coarse() Simulation {
	sim := Restrepo()
	sim.Size.HostsPerZone, sim.Size.TargetsPerZone = 3, 40
	sim.Size.ZoneShares = []float64{0.317, 0.386, 0.297}
	sim.Size.TargetCapacity = router.Resources{CPU: 64000, Memory: 131072}
	sim.Bounds.MaxSharedTargets = sim.Size.TargetsPerZone
	sim.Kinds = DefaultKinds(32000)
	for i, k := range []struct {
		rate, benefit float64
		attempts      int
	}{{52.8, 0.00485, 3}, {16.7, 0.0267, 4}, {154.3, 0.00167, 2}} {
		sim.Kinds[i].Rate, sim.Kinds[i].Benefit, sim.Kinds[i].MaxAttempts = k.rate, k.benefit, k.attempts
	}
	return sim
}

// Kutchwala returns a site whose targets have half the capacity of Restrepo's, with longer
// network delays between zones.
func Kutchwala() Simulation {
	sim := Restrepo()
	sim.Size.TargetCapacity = router.Resources{CPU: 16000, Memory: 32768}
	sim.Size.InterZoneDelay = 1400 * time.Microsecond
	sim.Kinds = DefaultKinds(6800)
	return sim
}

// Tables returns a site whose targets differ in speed and whose hosts differ in processor share, with
// a holder for each zone. Its tasks take half of a target on average.
func Tables() Simulation {
	sim := Coarse()
	sim.Size.TargetsPerZone, sim.Size.SlowFactor = 117, 1
	sim.Size.TargetCapacity = router.Resources{CPU: 32000, Memory: 65536}
	sim.Size.RunTimeFactors = []float64{0.8, 1, 1.25}
	sim.Size.ZoneShares = []float64{0.299, 0.329, 0.372}
	sim.Size.InterZoneDelay, sim.Size.IntraZoneDelay = 1400*time.Microsecond, 100*time.Microsecond
	sim.Size.HostClasses = []HostClass{{PerZone: 2, CPUShare: 800, LinkRate: 200_000}, {PerZone: 9, CPUShare: 192, LinkRate: 25_000}}
	sim.Bounds.MaxSharedTargets = router.Standard().MaxSharedTargets
	sim.Kinds = unevenKinds(16000, 844, []time.Duration{60 * time.Millisecond, 900 * time.Millisecond, 200 * time.Millisecond}, []int{2, 3, 3})
	return sim
}

// Pricing returns a site like Tables of which a quarter of the targets takes less than half of the
// time of the others, whatever their kind. 3 % of the jobs take seven times as long as the others and
// declare that.
func Pricing() Simulation {
	sim := Tables()
	sim.Size.TargetCapacity = router.Resources{CPU: 64000, Memory: 262144}
	sim.Size.RunTimeFactors = []float64{0.55, 1.2, 1.2, 1.2}
	sim.Size.ZoneShares = []float64{0.326, 0.340, 0.334}
	sim.Size.HostClasses = []HostClass{
		{PerZone: 2, CPUShare: 800, LinkRate: 200_000}, {PerZone: 3, CPUShare: 480, LinkRate: 62_000}, {PerZone: 8, CPUShare: 144, LinkRate: 19_000},
	}
	sim.Kinds = unevenKinds(32000, 743, []time.Duration{51 * time.Millisecond, 760 * time.Millisecond, 170 * time.Millisecond}, []int{2, 2, 3})
	for i := range sim.Kinds {
		sim.Kinds[i].TailShare, sim.Kinds[i].TailFactor = 0.03, 7
	}
	return sim
}

// unevenKinds returns the kinds of job of Tables and Pricing: wide short ones, long ones and small
// ones. rate is the number of jobs a second of all kinds together.
func unevenKinds(cpu int, rate float64, runTimes []time.Duration, attempts []int) []JobKind {
	kinds := DefaultKinds(cpu)
	shares, benefits := []float64{206, 37.5, 600}, []float64{0.00485, 0.0267, 0.00167}
	for i := range kinds {
		kinds[i].Rate = rate * shares[i] / (206 + 37.5 + 600)
		kinds[i].MeanRunTime, kinds[i].MaxAttempts, kinds[i].Benefit = runTimes[i], attempts[i], benefits[i]
	}
	return kinds
}

package modeler

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// thirdOf returns a site with a third of the targets and jobs, for the time of a test run.
func thirdOf(sim Simulation) Simulation {
	sim.reduceToThird()
	return sim
}

// reduceToThird leaves a third of the targets and jobs. An event takes three times as long, so that hosts
// are as busy.
func (sm *Simulation) reduceToThird() {
	sm.Size.EventCost *= 3
	sm.Size.TargetsPerZone /= 3
	sm.Bounds.MaxSharedTargets = sm.Size.TargetsPerZone
	sm.Kinds = slices.Clone(sm.Kinds)
	for i := range sm.Kinds {
		sm.Kinds[i].Rate /= 3
	}
}

// simulateOverload simulates Tables, whose zones have different load, for four seeds and returns their
// jobs by zone.
func simulateOverload(t *testing.T, load float64, disabled router.Mechanism) *Results {
	t.Helper()
	simulations := make([]Simulation, 4)
	var group sync.WaitGroup
	for i := range simulations {
		sim := &simulations[i]
		*sim = thirdOf(Tables())
		sim.Seed, sim.LoadFactor, sim.Policy.Disabled = uint64(i)+1, load, disabled
		sim.LoadDuration, sim.DrainDuration = 5*time.Second, 4*time.Second
		group.Go(sim.Run)
	}
	group.Wait()
	sum := &Results{Zones: make(map[string]*ZoneCount)}
	for i := range simulations {
		assert.Empty(t, simulations[i].Violations)
		for name, z := range simulations[i].Results.Zones {
			if sum.Zones[name] == nil {
				sum.Zones[name] = &ZoneCount{}
			}
			sum.Zones[name].Sent += z.Sent
			sum.Zones[name].Refused += z.Refused
		}
	}
	return sum
}

// TestZonesAreRefusedEvenly guards against refusals in the zone with the most jobs while the others have
// room, and against uneven refusals while all zones are full.
func TestZonesAreRefusedEvenly(t *testing.T) {
	t.Parallel()
	const busiest = "west"
	before, after := simulateOverload(t, 1.6, router.ZoneBalancing), simulateOverload(t, 1.6, "")
	t.Logf("refused in the busiest zone: %.4f without balancing, %.4f with it; ratio of the zones %.2f and %.2f",
		before.Zones[busiest].RefusedShare(), after.Zones[busiest].RefusedShare(), before.RefusalRatio(), after.RefusalRatio())
	assert.Greater(t, before.Zones[busiest].RefusedShare(), 0.06)
	assert.Less(t, after.Zones[busiest].RefusedShare(), before.Zones[busiest].RefusedShare()*3/4)
	assert.Less(t, after.RefusalRatio(), before.RefusalRatio()/2)
	full := simulateOverload(t, 2, "")
	t.Logf("refusal ratio with all zones full: %.2f", full.RefusalRatio())
	assert.LessOrEqual(t, full.RefusalRatio(), 1.5)
}

// TestCutZoneIsLeftAlone guards against jobs that are referred into a zone that is cut off or out of it,
// and against a zone that stops serving because it is cut off.
func TestCutZoneIsLeftAlone(t *testing.T) {
	t.Parallel()
	const cutAt, cutFor, maxAge = 1500 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond
	sim := thirdOf(Tables())
	sim.LoadFactor, sim.LoadDuration, sim.DrainDuration = 1.5, 6*time.Second, 4*time.Second
	sim.Faults = []Fault{{Kind: PartitionZone, Selector: "north", At: cutAt, Duration: cutFor}}
	referred := make(map[string]int)
	sim.Trace = func(at time.Duration, host string, e router.Decision) {
		if e.Action != "refer" {
			return
		}
		isCut := at > cutAt+maxAge && at < cutAt+cutFor
		for i, key := range e.Pairs {
			if key == "zone" {
				into := e.Pairs[i+1].(string)
				assert.False(t, isCut && (into == "north" || strings.HasPrefix(host, "h0-")), "%v: %s refers a job to %s", at, host, into)
				referred[into]++
			}
		}
	}
	sim.Run()
	assert.Empty(t, sim.Violations)
	assert.Len(t, referred, len(sim.Size.Zones), "jobs were referred to all zones before or after")
	north := sim.Results.Zones["north"]
	assert.Greater(t, north.Achieved/north.Possible, 0.9)
}

// TestReferralsSurviveHolderChange guards against broken invariants when holders end while jobs are
// referred to and from their zones.
func TestReferralsSurviveHolderChange(t *testing.T) {
	t.Parallel()
	sim := thirdOf(Tables())
	sim.LoadFactor, sim.LoadDuration, sim.DrainDuration = 1.6, 5*time.Second, 6*time.Second
	for i, kind := range []FaultKind{KillHost, RestartHost, PauseHost} {
		sim.Faults = append(sim.Faults, Fault{Kind: kind, Selector: "holder", At: time.Duration(i+1) * time.Second, Duration: 2 * time.Second})
	}
	sim.Run()
	assert.Empty(t, sim.Violations)
	assert.Greater(t, sim.Results.BenefitRatio(), 0.7)
}

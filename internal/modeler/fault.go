package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// FaultKind is a kind of fault that a simulation injects.
type FaultKind string

// The kinds of fault. Fault.Selector says what they affect: for faults of hosts the name
// of a host, "holder" for the host that holds the most cells, or anything else for a random
// host; for PartitionZone a zone, or "" for a random zone; for Burst a kind of job, or "" for all
// kinds. Faults of targets affect a random TargetShare of the targets.
const (
	KillHost         FaultKind = "kill"         // the process of a host ends and starts again
	PauseHost        FaultKind = "freeze"       // the process of a host is paused
	RestartHost      FaultKind = "restart"      // a host shuts down gracefully and starts again
	PartitionHost    FaultKind = "cut-host"     // a host and the other hosts cannot reach each other
	PartitionStore   FaultKind = "cut-store"    // a host and the store cannot reach each other
	PartitionZone    FaultKind = "cut-zone"     // a zone is cut off from the other zones and the store
	StoreUnavailable FaultKind = "store-down"   // the store does not answer
	StoreSlow        FaultKind = "store-slow"   // calls take 50 times as long
	StoreAnswersLost FaultKind = "store-lost"   // writes take effect but are not answered
	KillTarget       FaultKind = "kill-target"  // a target ends and starts again empty
	FailTarget       FaultKind = "fail-target"  // every new run fails after 1 ms
	HangTarget       FaultKind = "hang-target"  // new runs never end, and all runs report no progress
	SlowTarget       FaultKind = "slow-target"  // new runs take six times as long
	DrainTarget      FaultKind = "drain-target" // a target is drained and leaves
	KillAllHosts     FaultKind = "kill-all"     // the processes of all hosts end and start again
	Burst            FaultKind = "surge"        // jobs arrive at RateFactor times their rate
)

// FaultKinds returns all kinds of fault.
func FaultKinds() []FaultKind {
	return []FaultKind{
		KillHost, PauseHost, RestartHost, PartitionHost, PartitionStore, PartitionZone, StoreUnavailable, StoreSlow, StoreAnswersLost,
		KillTarget, FailTarget, HangTarget, SlowTarget, DrainTarget, KillAllHosts, Burst,
	}
}

// Fault is a fault to inject, with its time and extent.
type Fault struct {
	Kind        FaultKind
	At          time.Duration // after the start of the load
	Duration    time.Duration
	Selector    string
	TargetShare float64 // share of the targets that are affected
	RateFactor  float64 // factor of the arrival rate for Burst
}

func (sim *Simulation) scheduleFault(f Fault) {
	sim.schedule(f.At+sim.WarmUpDuration, func() { sim.injectFault(f) })
}

func (sim *Simulation) injectFault(f Fault) {
	switch f.Kind {
	case KillHost, PauseHost, RestartHost, PartitionHost, PartitionStore:
		sim.injectHostFault(f, sim.pickHost(f.Selector))
	case PartitionZone:
		sim.partitionZone(f)
	case StoreUnavailable, StoreSlow, StoreAnswersLost:
		sim.injectStoreFault(f)
	case KillTarget, FailTarget, HangTarget, SlowTarget, DrainTarget:
		for _, id := range sim.targetIDs {
			if sim.random.Float64() < f.TargetShare {
				sim.injectTargetFault(f, sim.targets[id])
			}
		}
	case KillAllHosts:
		for _, h := range sim.hosts {
			h.kill()
			sim.schedule(f.Duration+time.Duration(sim.random.Int64N(int64(300*time.Millisecond))), h.startProcess)
		}
	}
}

// pickHost returns the host that a fault with this selector affects.
func (sim *Simulation) pickHost(selector string) *host {
	for _, h := range sim.hosts {
		if h.name == selector {
			return h
		}
	}
	best := sim.hosts[sim.random.IntN(len(sim.hosts))]
	if selector != "holder" {
		return best
	}
	for _, h := range sim.hosts {
		if h.up && !h.paused && (!best.up || h.router.View().HeldCells > best.router.View().HeldCells) {
			best = h
		}
	}
	return best
}

func (sim *Simulation) injectHostFault(f Fault, h *host) {
	switch f.Kind {
	case KillHost:
		h.kill()
		sim.schedule(f.Duration, h.startProcess)
	case PauseHost:
		if h.up {
			h.paused = true
			incarnation := h.incarnation
			sim.schedule(f.Duration, func() {
				if h.incarnation == incarnation {
					h.resume()
				}
			})
		}
	case RestartHost:
		if h.up {
			h.step(router.Drain{})
			incarnation := h.incarnation
			sim.schedule(2*time.Second, func() { h.leaving = h.incarnation == incarnation })
			sim.schedule(sim.Bounds.ShutdownTimeout, func() { // the platform kills a host that has not shut down in time
				if h.incarnation == incarnation && h.up {
					h.kill()
					sim.schedule(300*time.Millisecond, h.startProcess)
				}
			})
		}
	case PartitionHost:
		for _, other := range sim.hosts {
			if other != h {
				sim.partition(h.name, other.name, f.Duration)
			}
		}
	case PartitionStore:
		sim.partition(h.name, "store", f.Duration)
	}
}

// partition blocks messages between two places, in both directions, for a duration.
func (sim *Simulation) partition(a, b string, duration time.Duration) {
	sim.blockedPaths[[2]string{a, b}], sim.blockedPaths[[2]string{b, a}] = true, true
	sim.schedule(duration, func() {
		delete(sim.blockedPaths, [2]string{a, b})
		delete(sim.blockedPaths, [2]string{b, a})
	})
}

func (sim *Simulation) partitionZone(f Fault) {
	zone := f.Selector
	if zone == "" {
		zone = sim.Size.Zones[sim.random.IntN(len(sim.Size.Zones))]
	}
	for _, other := range sim.Size.Zones {
		if other != zone {
			sim.partition(zone, other, f.Duration)
		}
	}
	sim.partition(zone, "store", f.Duration)
	sim.schedule(min(f.Duration, 4500*time.Millisecond), sim.store.unlistUnreachable)
	sim.schedule(f.Duration+time.Second, sim.store.relistRunning)
}

func (sim *Simulation) injectStoreFault(f Fault) {
	s := sim.store
	switch f.Kind {
	case StoreUnavailable:
		s.unavailable = true
	case StoreSlow:
		s.latency = 50 * storeRoundTrip
	case StoreAnswersLost:
		s.dropsAnswers = true
	}
	sim.schedule(f.Duration, func() { s.unavailable, s.latency, s.dropsAnswers = false, storeRoundTrip, false })
}

func (sim *Simulation) injectTargetFault(f Fault, t *target) {
	modes := map[FaultKind]mode{FailTarget: failing, HangTarget: hanging, SlowTarget: slowed}
	incarnation := t.incarnation
	switch f.Kind {
	case KillTarget:
		t.kill()
		sim.schedule(f.Duration, func() {
			if !t.up {
				t.startProcess()
			}
		})
	case DrainTarget:
		t.entry.Draining = true
		sim.store.listTarget(t)
		sim.schedule(sim.Bounds.LeaseDuration+2*time.Second, func() {
			if t.incarnation == incarnation {
				t.kill()
				sim.store.unlistTarget(t)
			}
		})
	default:
		t.mode = modes[f.Kind]
		sim.schedule(f.Duration, func() {
			if t.incarnation == incarnation {
				t.mode = normal
			}
		})
	}
}

// burstFactor returns the factor of the arrival rate of a kind at a moment.
func (sim *Simulation) burstFactor(kind string, at time.Time) float64 {
	factor := 1.0
	for _, f := range sim.Faults {
		since := at.Sub(sim.loadStart)
		if f.Kind == Burst && since >= f.At && since < f.At+f.Duration && (f.Selector == "" || f.Selector == kind) {
			factor *= f.RateFactor
		}
	}
	return factor
}

package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// FaultKind is a kind of fault that a simulation injects.
type FaultKind string

// The kinds of fault. Fault.Selector says what they affect: for faults of hosts the name
// of a host, "holder" for the host that holds the most cells, or anything else for a random
// host; for PartitionZone and EvacuateZone a zone, or "" for a random zone; for Burst a kind of job, or "" for all
// kinds. Faults of targets affect a random TargetShare of the targets.
const (
	KillHost         FaultKind = "kill"          // the process of a host ends and starts again
	PauseHost        FaultKind = "freeze"        // the process of a host is paused
	RestartHost      FaultKind = "restart"       // a host shuts down gracefully and starts again
	PartitionHost    FaultKind = "cut-host"      // a host and the other hosts cannot reach each other
	PartitionStore   FaultKind = "cut-store"     // a host and the store cannot reach each other
	PartitionZone    FaultKind = "cut-zone"      // a zone is cut off from the other zones and the store
	StoreUnavailable FaultKind = "store-down"    // the store does not answer
	StoreSlow        FaultKind = "store-slow"    // calls take 50 times as long
	StoreAnswersLost FaultKind = "store-lost"    // writes take effect but are not answered
	KillTarget       FaultKind = "kill-target"   // a target ends and starts again empty
	FailTarget       FaultKind = "fail-target"   // every new run fails after 1 ms
	HangTarget       FaultKind = "hang-target"   // new runs never end, and all runs report no progress
	SlowTarget       FaultKind = "slow-target"   // new runs take six times as long
	DrainTarget      FaultKind = "drain-target"  // a target is drained and leaves
	ShrinkTarget     FaultKind = "shrink-target" // a target's capacity is RateFactor times its default
	EvacuateZone     FaultKind = "evacuate"      // the operator evacuates a zone and readmits it
	KillAllHosts     FaultKind = "kill-all"      // the processes of all hosts end and start again
	Burst            FaultKind = "surge"         // jobs arrive at RateFactor times their rate
)

// FaultKinds returns all kinds of fault.
func FaultKinds() []FaultKind {
	return []FaultKind{
		KillHost, PauseHost, RestartHost, PartitionHost, PartitionStore, PartitionZone, StoreUnavailable, StoreSlow, StoreAnswersLost,
		KillTarget, FailTarget, HangTarget, SlowTarget, DrainTarget, ShrinkTarget, EvacuateZone, KillAllHosts, Burst,
		SuspendHost, ReplaceLinks, MuteLinks, MuteAll, CutOneWay, CutStores, KillSome, RollHosts, CrashHost, ShiftClock, SlowHost, ThrottleHost, CrashTargets, ResizeTarget, LateOrders, HideTarget, ResetClients,
		CutTargets, RebornTargets, RestartTargets,
	}
}

// Fault is a fault to inject, with its time and extent.
type Fault struct {
	Kind        FaultKind
	At          time.Duration // after the start of the load
	Duration    time.Duration
	Selector    string
	TargetShare float64 // share of the targets that are affected, or of the waiting clients for ResetClients
	// RateFactor is the factor of the arrival rate for Burst. For EvacuateZone, it is the factor
	// of the run times at the zone's targets for coldTime after the evacuation; 1 or less
	// means that they stay warm. For ShrinkTarget, it is the factor of the capacity.
	RateFactor float64
	// OrderShare is the share of a target's orders that LateOrders delays.
	OrderShare float64
	// ClockShift is by how much ShiftClock sets the clock of a host ahead, or back if negative.
	ClockShift time.Duration
}

func (sm *Simulation) scheduleFault(f Fault) {
	sm.schedule(f.At+sm.WarmUpDuration, func() { sm.injectFault(f) })
}

func (sm *Simulation) injectFault(f Fault) {
	switch f.Kind {
	case KillHost, PauseHost, SuspendHost, RestartHost, PartitionHost, PartitionStore:
		sm.injectHostFault(f, sm.pickHost(f.Selector))
	case PartitionZone:
		sm.partitionZone(f)
	case EvacuateZone:
		zone := sm.pickZone(f.Selector)
		sm.store.evacuate(zone, true)
		sm.schedule(f.Duration, func() {
			sm.store.evacuate(zone, false)
			if f.RateFactor > 1 {
				sm.makeCold(zone, f.RateFactor)
			}
		})
	case StoreUnavailable, StoreSlow, StoreAnswersLost:
		sm.injectStoreFault(f)
	case KillTarget, FailTarget, HangTarget, SlowTarget, DrainTarget, ShrinkTarget, LateOrders, HideTarget:
		for _, id := range sm.targetIDs {
			if sm.random.Float64() < f.TargetShare {
				sm.injectTargetFault(f, sm.targets[id])
			}
		}
	case CutTargets, RebornTargets, RestartTargets:
		sm.injectTargetCut(f)
	case KillAllHosts:
		for _, h := range sm.hosts {
			h.kill()
			sm.schedule(f.Duration+time.Duration(sm.random.Int64N(int64(300*time.Millisecond))), h.startProcess)
		}
	default:
		sm.injectDisruption(f)
	}
}

// pickZone returns the zone that the selector names, or a random zone if it is empty.
func (sm *Simulation) pickZone(selector string) string {
	if selector != "" {
		return selector
	}
	return sm.Size.Zones[sm.random.IntN(len(sm.Size.Zones))]
}

// pickHost returns the host that a fault with this selector affects.
func (sm *Simulation) pickHost(selector string) *host {
	for _, h := range sm.hosts {
		if h.name == selector {
			return h
		}
	}
	best := sm.hosts[sm.random.IntN(len(sm.hosts))]
	if selector != "holder" {
		return best
	}
	for _, h := range sm.hosts {
		if h.up && !h.paused && (!best.up || h.router.View().HeldCells > best.router.View().HeldCells) {
			best = h
		}
	}
	return best
}

func (sm *Simulation) injectHostFault(f Fault, h *host) {
	switch f.Kind {
	case KillHost:
		h.kill()
		sm.schedule(f.Duration, h.startProcess)
	case PauseHost, SuspendHost:
		if h.up {
			h.paused, h.suspended = true, f.Kind == SuspendHost
			incarnation := h.incarnation
			sm.schedule(f.Duration, func() {
				if h.incarnation == incarnation {
					h.resume()
				}
			})
		}
	case RestartHost:
		if h.up {
			h.step(router.Drain{})
			incarnation := h.incarnation
			sm.schedule(2*time.Second, func() { h.leaving = h.incarnation == incarnation })
			sm.schedule(sm.Bounds.ShutdownTimeout, func() { // the platform kills a host that has not shut down in time
				if h.incarnation == incarnation && h.up {
					h.kill()
					sm.schedule(300*time.Millisecond, h.startProcess)
				}
			})
		}
	case PartitionHost:
		for _, other := range sm.hosts {
			if other != h {
				sm.partition(h.name, other.name, f.Duration)
			}
		}
	case PartitionStore:
		sm.partition(h.name, "store", f.Duration)
	}
}

// partition blocks messages between two places, in both directions, for a duration. It
// counts as a disturbance of the first place only.
func (sm *Simulation) partition(a, b string, duration time.Duration) {
	sm.disturb(a, duration)
	sm.blockedPaths[[2]string{a, b}], sm.blockedPaths[[2]string{b, a}] = true, true
	sm.schedule(duration, func() {
		delete(sm.blockedPaths, [2]string{a, b})
		delete(sm.blockedPaths, [2]string{b, a})
	})
}

func (sm *Simulation) partitionZone(f Fault) {
	zone := sm.pickZone(f.Selector)
	for _, other := range sm.Size.Zones {
		if other != zone {
			sm.partition(zone, other, f.Duration)
		}
	}
	sm.partition(zone, "store", f.Duration)
	sm.schedule(min(f.Duration, 4500*time.Millisecond), sm.store.unlistUnreachable)
	sm.schedule(f.Duration+time.Second, sm.store.relistRunning)
}

func (sm *Simulation) injectStoreFault(f Fault) {
	s := sm.store
	sm.disturb("store", f.Duration)
	switch f.Kind {
	case StoreUnavailable:
		s.unavailable = true
	case StoreSlow:
		s.latency = 50 * storeRoundTrip
	case StoreAnswersLost:
		s.dropsAnswers = true
	}
	sm.schedule(f.Duration, func() { s.unavailable, s.latency, s.dropsAnswers = false, storeRoundTrip, false })
}

func (sm *Simulation) injectTargetFault(f Fault, t *target) {
	modes := map[FaultKind]mode{FailTarget: failing, HangTarget: hanging, SlowTarget: slowed}
	incarnation := t.incarnation
	switch f.Kind {
	case KillTarget:
		t.kill()
		sm.schedule(f.Duration, func() {
			if !t.up {
				t.startProcess()
			}
		})
	case DrainTarget:
		t.entry.Draining = true
		sm.store.listTarget(t)
		sm.schedule(sm.Bounds.LeaseDuration+2*time.Second, func() {
			if t.incarnation == incarnation {
				t.kill()
				sm.store.unlistTarget(t)
			}
		})
	case ShrinkTarget:
		t.shrink(f)
	case LateOrders:
		t.makeOrdersLate(f)
	case HideTarget:
		t.hide(f)
	default:
		t.mode = modes[f.Kind]
		sm.schedule(f.Duration, func() {
			if t.incarnation == incarnation {
				t.mode = normal
			}
		})
	}
}

// burstFactor returns the factor of the arrival rate of a kind at a moment.
func (sm *Simulation) burstFactor(kind string, at time.Time) float64 {
	factor := 1.0
	for _, f := range sm.Faults {
		since := at.Sub(sm.loadStart)
		if f.Kind == Burst && since >= f.At && since < f.At+f.Duration && (f.Selector == "" || f.Selector == kind) {
			factor *= f.RateFactor
		}
	}
	return factor
}

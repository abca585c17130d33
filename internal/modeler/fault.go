package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Trouble is a kind of fault that a simulation injects.
type Trouble string

// The kinds of fault. Fault.Where selects what they affect: for faults of hosts the name
// of a host, "holder" for the host that holds the most cells, or anything else for a random
// host; for CutZone a zone, or "" for a random zone; for Surge a kind of job, or "" for all
// kinds. Faults of targets affect a random Share of the targets.
const (
	Kill       Trouble = "kill"         // the process of a host ends and starts again
	Freeze     Trouble = "freeze"       // the process of a host is paused
	Restart    Trouble = "restart"      // a host shuts down gracefully and starts again
	CutHost    Trouble = "cut-host"     // a host cannot reach other hosts
	CutStore   Trouble = "cut-store"    // a host cannot reach the store
	CutZone    Trouble = "cut-zone"     // a zone cannot reach the other zones and the store
	StoreDown  Trouble = "store-down"   // the store does not answer
	StoreSlow  Trouble = "store-slow"   // calls take 50 times as long
	StoreLost  Trouble = "store-lost"   // writes take effect but are not answered
	KillTarget Trouble = "kill-target"  // a target ends and starts again empty
	FailTarget Trouble = "fail-target"  // every task fails at once
	HangTarget Trouble = "hang-target"  // tasks make no progress
	SlowTarget Trouble = "slow-target"  // tasks take six times as long
	Drain      Trouble = "drain-target" // a target is drained and leaves
	KillAll    Trouble = "kill-all"     // the processes of all hosts end and start again
	Surge      Trouble = "surge"        // jobs arrive at Times their rate
)

// Troubles returns all kinds of fault.
func Troubles() []Trouble {
	return []Trouble{
		Kill, Freeze, Restart, CutHost, CutStore, CutZone, StoreDown, StoreSlow, StoreLost,
		KillTarget, FailTarget, HangTarget, SlowTarget, Drain, KillAll, Surge,
	}
}

// Fault is a fault to inject, with its time and extent.
type Fault struct {
	Trouble Trouble
	At      time.Duration // after the start of the load
	For     time.Duration
	Where   string
	Share   float64 // of the targets
	Times   float64 // factor of the arrival rate for Surge
}

func (w *World) scheduleFault(f Fault) {
	w.schedule(f.At+w.Warm, func() { w.injectFault(f) })
}

func (w *World) injectFault(f Fault) {
	switch f.Trouble {
	case Kill, Freeze, Restart, CutHost, CutStore:
		w.injectHostFault(f, w.pickHost(f.Where))
	case CutZone:
		w.partitionZone(f)
	case StoreDown, StoreSlow, StoreLost:
		w.injectStoreFault(f)
	case KillTarget, FailTarget, HangTarget, SlowTarget, Drain:
		for _, id := range w.targetIDs {
			if w.random.Float64() < f.Share {
				w.injectTargetFault(f, w.targets[id])
			}
		}
	case KillAll:
		for _, h := range w.hosts {
			h.kill()
			w.schedule(f.For+time.Duration(w.random.Int64N(int64(300*time.Millisecond))), h.startProcess)
		}
	}
}

// pickHost returns the host that a fault affects.
func (w *World) pickHost(where string) *host {
	for _, h := range w.hosts {
		if h.name == where {
			return h
		}
	}
	best := w.hosts[w.random.IntN(len(w.hosts))]
	if where != "holder" {
		return best
	}
	for _, h := range w.hosts {
		if h.up && !h.paused && (!best.up || h.router.View().HeldCells > best.router.View().HeldCells) {
			best = h
		}
	}
	return best
}

func (w *World) injectHostFault(f Fault, h *host) {
	switch f.Trouble {
	case Kill:
		h.kill()
		w.schedule(f.For, h.startProcess)
	case Freeze:
		if h.up {
			h.paused = true
			incarnation := h.incarnation
			w.schedule(f.For, func() {
				if h.incarnation == incarnation {
					h.resume()
				}
			})
		}
	case Restart:
		if h.up {
			h.step(router.Drain{})
			incarnation := h.incarnation
			w.schedule(2*time.Second, func() { h.leaving = h.incarnation == incarnation })
			w.schedule(w.Bounds.ShutdownTimeout, func() { // the platform kills a host that has not shut down in time
				if h.incarnation == incarnation && h.up {
					h.kill()
					w.schedule(300*time.Millisecond, h.startProcess)
				}
			})
		}
	case CutHost:
		for _, other := range w.hosts {
			if other != h {
				w.partition(h.name, other.name, f.For)
			}
		}
	case CutStore:
		w.partition(h.name, "store", f.For)
	}
}

// partition blocks messages between two places in both directions for a period.
func (w *World) partition(a, b string, duration time.Duration) {
	w.partitions[[2]string{a, b}], w.partitions[[2]string{b, a}] = true, true
	w.schedule(duration, func() {
		delete(w.partitions, [2]string{a, b})
		delete(w.partitions, [2]string{b, a})
	})
}

func (w *World) partitionZone(f Fault) {
	zone := f.Where
	if zone == "" {
		zone = w.Layout.Zones[w.random.IntN(len(w.Layout.Zones))]
	}
	for _, other := range w.Layout.Zones {
		if other != zone {
			w.partition(zone, other, f.For)
		}
	}
	w.partition(zone, "store", f.For)
	w.schedule(min(f.For, 4500*time.Millisecond), w.store.unlistUnreachable)
	w.schedule(f.For+time.Second, w.store.relistRunning)
}

func (w *World) injectStoreFault(f Fault) {
	s := w.store
	switch f.Trouble {
	case StoreDown:
		s.down = true
	case StoreSlow:
		s.latency = 50 * storeRoundTrip
	case StoreLost:
		s.dropsAnswers = true
	}
	w.schedule(f.For, func() { s.down, s.latency, s.dropsAnswers = false, storeRoundTrip, false })
}

func (w *World) injectTargetFault(f Fault, t *target) {
	modes := map[Trouble]mode{FailTarget: failing, HangTarget: hanging, SlowTarget: slowed}
	incarnation := t.incarnation
	switch f.Trouble {
	case KillTarget:
		t.kill()
		w.schedule(f.For, func() {
			if !t.up {
				t.startProcess()
			}
		})
	case Drain:
		t.entry.Draining = true
		w.store.listTarget(t)
		w.schedule(w.Bounds.LeaseDuration+2*time.Second, func() {
			if t.incarnation == incarnation {
				t.kill()
				w.store.unlistTarget(t)
			}
		})
	default:
		t.mode = modes[f.Trouble]
		w.schedule(f.For, func() {
			if t.incarnation == incarnation {
				t.mode = normal
			}
		})
	}
}

// burstFactor returns the factor of the arrival rate of a kind at a moment.
func (w *World) burstFactor(kind string, at time.Time) float64 {
	factor := 1.0
	for _, f := range w.Faults {
		since := at.Sub(w.start)
		if f.Trouble == Surge && since >= f.At && since < f.At+f.For && (f.Where == "" || f.Where == kind) {
			factor *= f.Times
		}
	}
	return factor
}

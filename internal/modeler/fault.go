package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Trouble is a kind of fault.
type Trouble string

// The kinds of fault. Where says which host, target, zone or kind of job it
// strikes; a number picks one, and "holder" the host that holds most cells.
const (
	Kill       Trouble = "kill"       // a host's process ends
	Freeze     Trouble = "freeze"     // a host stands still
	Restart    Trouble = "restart"    // a host shuts down gracefully and starts again
	CutHost    Trouble = "cut-host"   // a host reaches no other host
	CutStore   Trouble = "cut-store"  // a host does not reach the store
	CutZone    Trouble = "cut-zone"   // a zone reaches nothing outside
	StoreDown  Trouble = "store-down" // the store does not answer
	StoreSlow  Trouble = "store-slow" // answers take fifty times as long
	StoreLost  Trouble = "store-lost" // writes are done and not answered
	KillTarget Trouble = "kill-target"
	FailTarget Trouble = "fail-target"
	HangTarget Trouble = "hang-target"
	SlowTarget Trouble = "slow-target"
	Drain      Trouble = "drain-target" // a target is drained and leaves
	KillAll    Trouble = "kill-all"
	Surge      Trouble = "surge" // a kind, or all, come Times as often
)

// Troubles returns all kinds of fault.
func Troubles() []Trouble {
	return []Trouble{
		Kill, Freeze, Restart, CutHost, CutStore, CutZone, StoreDown, StoreSlow, StoreLost,
		KillTarget, FailTarget, HangTarget, SlowTarget, Drain, KillAll, Surge,
	}
}

// Fault is one trouble.
type Fault struct {
	Trouble Trouble
	At      time.Duration // after the start of the load
	For     time.Duration
	Where   string
	Share   float64 // of the targets
	Times   float64 // of a surge
}

// plan plans a fault.
func (w *World) plan(f Fault) {
	w.after(f.At+w.Warm, func() { w.strike(f) })
}

func (w *World) strike(f Fault) {
	switch f.Trouble {
	case Kill, Freeze, Restart, CutHost, CutStore:
		w.strikeHost(f, w.pick(f.Where))
	case CutZone:
		w.cutZone(f)
	case StoreDown, StoreSlow, StoreLost:
		w.strikeStore(f)
	case KillTarget, FailTarget, HangTarget, SlowTarget, Drain:
		for _, id := range w.names {
			if w.random.Float64() < f.Share {
				w.strikeTarget(f, w.targets[id])
			}
		}
	case KillAll:
		for _, h := range w.hosts {
			h.kill()
			w.after(f.For+time.Duration(w.random.Int64N(int64(300*time.Millisecond))), h.boot)
		}
	}
}

// pick returns the host that a fault strikes.
func (w *World) pick(where string) *host {
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
		if h.up && !h.frozen && (!best.up || h.router.View().HeldCells > best.router.View().HeldCells) {
			best = h
		}
	}
	return best
}

func (w *World) strikeHost(f Fault, h *host) {
	switch f.Trouble {
	case Kill:
		h.kill()
		w.after(f.For, h.boot)
	case Freeze:
		if h.up {
			h.frozen = true
			life := h.life
			w.after(f.For, func() {
				if h.life == life {
					h.thaw()
				}
			})
		}
	case Restart:
		if h.up {
			h.step(router.Drain{})
			life := h.life
			w.after(2*time.Second, func() { h.leaving = h.life == life })
			w.after(w.Bounds.ShutdownTimeout, func() { // the platform's last resort
				if h.life == life && h.up {
					h.kill()
					w.after(300*time.Millisecond, h.boot)
				}
			})
		}
	case CutHost:
		for _, other := range w.hosts {
			if other != h {
				w.cut(h.name, other.name, f.For)
			}
		}
	case CutStore:
		w.cut(h.name, "store", f.For)
	}
}

// cut parts two places both ways for a while.
func (w *World) cut(a, b string, span time.Duration) {
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = true, true
	w.after(span, func() {
		delete(w.cuts, [2]string{a, b})
		delete(w.cuts, [2]string{b, a})
	})
}

func (w *World) cutZone(f Fault) {
	zone := f.Where
	if zone == "" {
		zone = w.Layout.Zones[w.random.IntN(len(w.Layout.Zones))]
	}
	for _, other := range w.Layout.Zones {
		if other != zone {
			w.cut(zone, other, f.For)
		}
	}
	w.cut(zone, "store", f.For)
	w.after(min(f.For, 4500*time.Millisecond), w.store.lapse)
	w.after(f.For+time.Second, w.store.relist)
}

func (w *World) strikeStore(f Fault) {
	s := w.store
	switch f.Trouble {
	case StoreDown:
		s.down = true
	case StoreSlow:
		s.delay = 50 * storeTrip
	case StoreLost:
		s.lost = true
	}
	w.after(f.For, func() { s.down, s.delay, s.lost = false, storeTrip, false })
}

func (w *World) strikeTarget(f Fault, t *target) {
	modes := map[Trouble]mode{FailTarget: failing, HangTarget: hanging, SlowTarget: slowed}
	life := t.life
	switch f.Trouble {
	case KillTarget:
		t.kill()
		w.after(f.For, func() {
			if !t.up {
				t.boot()
			}
		})
	case Drain:
		t.entry.Draining = true
		w.store.list(t)
		w.after(w.Bounds.LeaseDuration+2*time.Second, func() {
			if t.life == life {
				t.kill()
				w.store.unlist(t)
			}
		})
	default:
		t.mode = modes[f.Trouble]
		w.after(f.For, func() {
			if t.life == life {
				t.mode = fine
			}
		})
	}
}

// surge returns how many times as often a kind comes at a time.
func (w *World) surge(kind string, at time.Time) float64 {
	times := 1.0
	for _, f := range w.Faults {
		since := at.Sub(w.start)
		if f.Trouble == Surge && since >= f.At && since < f.At+f.For && (f.Where == "" || f.Where == kind) {
			times *= f.Times
		}
	}
	return times
}

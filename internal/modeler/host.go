package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// host is one entry host and its process.
type host struct {
	world   *World
	name    string
	zone    string
	address string
	router  *router.Router
	// life counts the processes; events meant for an earlier one are dropped.
	life    int
	up      bool
	frozen  bool
	leaving bool
	held    []func() // what happened while frozen
	thawed  time.Time
	linked  map[string]bool
	sent    int // messages to other hosts
}

// boot starts the process.
func (h *host) boot() {
	if h.up {
		return
	}
	h.life++
	h.up, h.frozen, h.leaving, h.held = true, false, false, nil
	h.linked = make(map[string]bool)
	h.router = &router.Router{
		Policy: h.world.Policy,
		Self:   router.Member{Name: h.name, Zone: h.zone, Address: h.address, Incarnation: h.world.now.UnixNano()},
		Bounds: h.world.Bounds,
	}
	h.tick(h.life)
	h.later(0, func() { h.world.store.enrol(h) })
	h.watch(h.life)
}

// kill ends the process at once.
func (h *host) kill() {
	h.up, h.frozen, h.held = false, false, nil
	h.life++
	h.world.hangUp(h)
}

// later plans something for this process.
func (h *host) later(d time.Duration, do func()) {
	life := h.life
	h.world.after(d, func() {
		if h.life != life || !h.up {
			return
		}
		if h.frozen {
			h.held = append(h.held, do)
			return
		}
		do()
	})
}

// thaw lets a frozen process go on with all that came meanwhile.
func (h *host) thaw() {
	if !h.frozen {
		return
	}
	h.frozen, h.thawed = false, h.world.now
	held := h.held
	h.held = nil
	for _, do := range held {
		if h.up && !h.frozen {
			do()
		}
	}
}

func (h *host) tick(life int) {
	if h.life != life || !h.up {
		return
	}
	h.step(router.Tick{})
	h.later(h.world.Bounds.TickInterval, func() { h.tick(life) })
}

// watch reads the configuration now and then.
func (h *host) watch(life int) {
	if h.life != life {
		return
	}
	h.world.store.config(h)
	h.later(configEvery, func() { h.watch(life) })
}

// configEvery is how soon a host sees a new configuration: a watch and an answer.
const configEvery = 200 * time.Millisecond

// step applies an event and carries out the effects.
func (h *host) step(e router.Event) {
	if !h.up {
		return
	}
	for _, effect := range h.router.Step(h.world.now, e) {
		h.carry(effect)
	}
}

func (h *host) carry(effect router.Effect) {
	w := h.world
	switch e := effect.(type) {
	case router.Answer:
		w.answered(h, e)
	case router.Send:
		h.send(e)
	case router.Dial:
		for _, address := range e.Addresses {
			h.dial(address)
		}
	case router.Redial:
		h.linked[e.Address] = false
		h.dial(e.Address)
	case router.CloseLink:
		delete(h.linked, e.Address)
	case router.Start:
		w.deliver(h, e.Target, e.Timeout, func(t *target) answerer { return t.start(h, e) }, func(result router.StartResult, clock router.Reading) router.Event {
			return router.StartAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Result: result, Clock: clock}
		})
	case router.Stop:
		w.deliver(h, e.Target, e.Timeout, func(t *target) answerer { return t.stop(e) }, func(result router.StartResult, _ router.Reading) router.Event {
			return router.StopAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Acknowledged: result == router.Running}
		})
	case router.Renew:
		w.renew(h, e)
	case router.WriteClaims:
		w.store.stake(h, e)
	case router.SaveLearnedState:
		w.store.keep(h, e)
	case router.ReadDirectory:
		w.store.read(h)
	case router.Decision:
		h.trace(e)
	case router.Violation:
		w.broken("%s: %s: %s", h.name, e.Invariant, e.Detail)
	case router.Halt:
		h.kill()
		w.after(300*time.Millisecond, h.boot)
	}
}

// send carries a message over the link, if it stands.
func (h *host) send(e router.Send) {
	w := h.world
	to := w.byLink[e.To]
	if to == nil || !h.linked[e.To] {
		return
	}
	if !to.up {
		h.linked[e.To] = false
		h.dial(e.To)
		return
	}
	h.sent++
	if !w.passes(h.name, h.zone, to.name, to.zone) {
		return
	}
	to.later(w.delay(h.zone, to.zone), func() { to.step(router.Receive{From: h.address, Message: e.Message}) })
}

// dial makes a link; it tries again until it stands.
func (h *host) dial(address string) {
	w := h.world
	to := w.byLink[address]
	if to == nil || h.linked[address] {
		return
	}
	if _, known := h.linked[address]; !known {
		h.linked[address] = false
	}
	h.later(2*w.delay(h.zone, to.zone), func() {
		if linked, wanted := h.linked[address]; linked || !wanted {
			return
		}
		open := w.passes(h.name, h.zone, to.name, to.zone) && w.passes(to.name, to.zone, h.name, h.zone)
		if open && to.up {
			h.linked[address] = true
			h.step(router.LinkOpened{Address: address})
			return
		}
		if open {
			h.step(router.PeerExited{Address: address})
		}
		h.later(redialPause, func() { h.dial(address) })
	})
}

// redialPause is the pause between two tries to make a link.
const redialPause = 100 * time.Millisecond

// hangUp breaks all links to a process that has ended, and the connections of
// its clients.
func (w *World) hangUp(gone *host) {
	for _, h := range w.hosts {
		if h.up && h.linked[gone.address] {
			h.linked[gone.address] = false
			h.dial(gone.address)
		}
	}
	for _, c := range w.clientsOf(gone) {
		c.brokenOff()
	}
}

// trace hands over a decision.
func (h *host) trace(e router.Decision) {
	if h.world.Trace != nil {
		h.world.Trace(h.world.now.Sub(h.world.start), h.name, e)
	}
}

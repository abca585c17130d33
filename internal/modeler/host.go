package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// host is a simulated entry host and its process.
type host struct {
	sim     *Simulation
	name    string
	zone    string
	address string
	class   HostClass
	router  *router.Router
	// incarnation counts the starts and ends of the process. Events scheduled for an
	// earlier incarnation are dropped.
	incarnation int
	up          bool
	paused      bool
	suspended   bool // paused, and accepts no links; see SuspendHost
	leaving     bool
	deferred    []func() // events that arrived while the process was paused
	startedAt   time.Time
	resumedAt   time.Time
	// clockError is how far the process's clock is ahead of the simulated time. The clock runs
	// evenly, so that nextClockError takes effect when the process starts again.
	clockError, nextClockError time.Duration
	links                      map[string]bool // by address, whether the link is open; no entry when not wanted
	// deliveredAt is when the last message to each address arrives. A link delivers messages
	// in order.
	deliveredAt map[string]time.Time
	// heldUntil is, by address, before when nothing that is sent on the current link arrives, and
	// muted whether that link loses all messages.
	heldUntil    map[string]time.Time
	muted        map[string]bool
	silent       silence       // towards targets and the store
	lag          time.Duration // how late the process handles events; see slowDown
	handledUntil time.Time     // when the last event that is handled late is handled
	busyUntil    time.Time     // when the processor has handled all events; see DeploymentSize.EventCost
	sentMessages int           // number of messages to other hosts
	slots        *orderSlots   // for orders to targets
}

// startProcess starts the process unless it is running.
func (h *host) startProcess() {
	if h.up {
		return
	}
	h.incarnation++
	h.up, h.paused, h.suspended, h.leaving, h.deferred, h.startedAt = true, false, false, false, nil, h.sim.now
	h.links, h.deliveredAt = make(map[string]bool), make(map[string]time.Time)
	h.heldUntil, h.muted = make(map[string]time.Time), make(map[string]bool)
	h.lag, h.handledUntil, h.busyUntil, h.silent = 0, time.Time{}, time.Time{}, silence{}
	h.clockError, h.slots = h.nextClockError, &orderSlots{}
	policy, ok := h.sim.HostPolicies[h.name]
	if !ok {
		policy = h.sim.Policy
	}
	h.router = &router.Router{
		Policy: policy,
		Self: router.Member{
			Name: h.name, Zone: h.zone, Address: h.address, Incarnation: h.clock().UnixNano(),
			CPUShare: h.class.CPUShare, LinkRate: h.class.LinkRate,
		},
		Bounds: h.sim.Bounds,
	}
	h.tick(h.incarnation)
	h.schedule(0, func() { h.sim.store.register(h) })
	h.watchDeclarations(h.incarnation)
}

// clock returns the time on the clock of the process.
func (h *host) clock() time.Time { return h.sim.now.Add(h.clockError) }

// runsSince reports whether the process runs normally and was not paused since a moment.
func (h *host) runsSince(at time.Time) bool {
	return h.up && !h.paused && h.lag == 0 && h.resumedAt.Before(at)
}

// kill ends the process immediately, as a crash does.
func (h *host) kill() {
	h.up, h.paused, h.deferred = false, false, nil
	h.incarnation++
	h.sim.dropConnections(h)
}

// schedule plans an action of this process. A paused process executes it when it resumes.
func (h *host) schedule(d time.Duration, action func()) {
	incarnation := h.incarnation
	h.sim.schedule(d, func() {
		if h.incarnation != incarnation || !h.up {
			return
		}
		if h.lag > 0 || h.sim.now.Before(h.handledUntil) {
			h.scheduleLate(action)
			return
		}
		h.awaitProcessor(action)
	})
}

// awaitProcessor performs an action once the processor has handled the events before it.
func (h *host) awaitProcessor(action func()) {
	if h.sim.Size.EventCost == 0 || h.class.CPUShare == 0 {
		h.perform(action)
		return
	}
	wait := h.busyUntil.Sub(h.sim.now)
	h.useProcessor()
	if wait <= 0 {
		h.perform(action)
		return
	}
	incarnation := h.incarnation
	h.sim.schedule(wait, func() {
		if h.incarnation == incarnation && h.up {
			h.perform(action)
		}
	})
}

// useProcessor occupies the processor for the time of one event or order.
func (h *host) useProcessor() {
	if h.class.CPUShare == 0 {
		return
	}
	if h.busyUntil.Before(h.sim.now) {
		h.busyUntil = h.sim.now
	}
	h.busyUntil = h.busyUntil.Add(h.sim.Size.EventCost * 1000 / time.Duration(h.class.CPUShare))
}

// scheduleLate plans an action of a slow process, after those that were planned before.
func (h *host) scheduleLate(action func()) {
	if at := h.sim.now.Add(h.lag); at.After(h.handledUntil) {
		h.handledUntil = at
	}
	incarnation := h.incarnation
	h.sim.schedule(h.handledUntil.Sub(h.sim.now), func() {
		if h.incarnation == incarnation && h.up {
			h.perform(action)
		}
	})
}

// perform executes an action, or defers it while the process is paused.
func (h *host) perform(action func()) {
	if h.paused {
		h.deferred = append(h.deferred, action)
		return
	}
	action()
}

// resume continues a paused process with the events that arrived in the meantime.
func (h *host) resume() {
	if !h.paused {
		return
	}
	h.paused, h.suspended, h.resumedAt = false, false, h.sim.now
	deferred := h.deferred
	h.deferred = nil
	for _, action := range deferred {
		if h.up && !h.paused {
			action()
		}
	}
}

func (h *host) tick(incarnation int) {
	if h.incarnation != incarnation || !h.up {
		return
	}
	h.step(router.Tick{})
	h.schedule(h.sim.Bounds.TickInterval, func() { h.tick(incarnation) })
}

// watchDeclarations reads the operators' declarations at regular intervals.
func (h *host) watchDeclarations(incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	h.sim.store.readDeclarations(h)
	h.schedule(declarationsInterval, func() { h.watchDeclarations(incarnation) })
}

// declarationsInterval is the interval at which a host reads the declarations. It stands for
// the time that a watch of the store and its answer take.
const declarationsInterval = 200 * time.Millisecond

// step passes an event to the router and executes the effects.
func (h *host) step(e router.Event) {
	if !h.up {
		return
	}
	for _, effect := range h.router.Step(h.clock(), e) {
		h.execute(effect)
	}
}

func (h *host) execute(effect router.Effect) {
	sim := h.sim
	switch effect.(type) {
	case router.Start, router.Stop, router.Renew:
		h.useProcessor()
	}
	switch e := effect.(type) {
	case router.Answer:
		sim.handleAnswer(h, e)
	case router.Send:
		h.send(e)
	case router.Dial:
		for _, address := range e.Addresses {
			h.dial(address)
		}
	case router.Redial:
		h.links[e.Address] = false
		h.dial(e.Address)
	case router.CloseLink:
		delete(h.links, e.Address)
	case router.Start, router.Stop, router.Renew:
		h.sendToTarget(e)
	case router.WriteClaims, router.SaveLearnedState, router.ReadClaims, router.ReadDirectory:
		h.callStore(e)
	case router.Decision:
		h.traceDecision(e)
	case router.Violation:
		sim.recordViolation("%s: %s: %s", h.name, e.Invariant, e.Detail)
	case router.Halt:
		h.kill()
		sim.schedule(300*time.Millisecond, h.startProcess)
	}
}

// sendToTarget sends an order or a renewal to a target.
func (h *host) sendToTarget(effect router.Effect) {
	sim := h.sim
	switch e := effect.(type) {
	case router.Start:
		h.sendLimited(func(end func()) {
			sentAt := h.clock()
			sim.sendOrder(h, e.Target, e.Timeout, func(t *target) orderHandler { return t.handleStart(h, e) }, func(result router.StartResult, clock router.Reading) router.Event {
				end()
				return router.StartAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Result: result, Clock: clock, Took: h.clock().Sub(sentAt)}
			})
		})
	case router.Stop:
		h.sendLimited(func(end func()) {
			sim.sendOrder(h, e.Target, e.Timeout, func(t *target) orderHandler { return t.handleStop(e) }, func(result router.StartResult, _ router.Reading) router.Event {
				end()
				return router.StopAnswered{Target: e.Target.ID, Process: e.Process, Task: e.Task, Run: e.Run, Acknowledged: result == router.Running}
			})
		})
	case router.Renew:
		sentAt := h.clock()
		if e.Wait > 0 {
			sim.sendRenewal(h, e, sentAt, func() {})
			return
		}
		h.sendLimited(func(end func()) { sim.sendRenewal(h, e, sentAt, end) })
	}
}

// callStore executes a request to the store.
func (h *host) callStore(effect router.Effect) {
	store := h.sim.store
	switch e := effect.(type) {
	case router.WriteClaims:
		store.writeClaims(h, e)
	case router.SaveLearnedState:
		store.saveLearnedState(h, e)
	case router.ReadClaims:
		store.readClaims(h)
	case router.ReadDirectory:
		store.readDirectory(h)
	}
}

// send sends a message to another host if the link to it is open. If that host's process has
// ended, the link breaks and is dialled again.
func (h *host) send(e router.Send) {
	sim := h.sim
	to := sim.hostsByAddress[e.To]
	if to == nil || !h.links[e.To] {
		return
	}
	if !to.up {
		h.links[e.To] = false
		h.dial(e.To)
		return
	}
	h.sentMessages++
	if h.muted[e.To] || !sim.canReach(h.name, h.zone, to.name, to.zone) {
		return
	}
	arrival := sim.now.Add(sim.delay(h.zone, to.zone))
	if held := h.heldUntil[e.To]; arrival.Before(held) {
		arrival = held
	}
	if last := h.deliveredAt[e.To]; arrival.Before(last) {
		arrival = last
	}
	h.deliveredAt[e.To] = arrival
	to.schedule(arrival.Sub(sim.now), func() { to.step(router.Receive{From: h.address, Message: e.Message}) })
}

// dial opens a link and retries until it is open or no longer wanted.
func (h *host) dial(address string) {
	sim := h.sim
	to := sim.hostsByAddress[address]
	if to == nil || h.links[address] {
		return
	}
	if _, known := h.links[address]; !known {
		h.links[address] = false
	}
	h.schedule(2*sim.delay(h.zone, to.zone), func() {
		if isOpen, isWanted := h.links[address]; isOpen || !isWanted {
			return
		}
		canConnect := sim.canReach(h.name, h.zone, to.name, to.zone) && sim.canReach(to.name, to.zone, h.name, h.zone)
		if canConnect && to.up && !to.suspended {
			h.links[address] = true
			delete(h.deliveredAt, address)
			delete(h.heldUntil, address)
			delete(h.muted, address)
			h.step(router.LinkOpened{Address: address})
			return
		}
		if canConnect && !to.up {
			h.step(router.PeerExited{Address: address})
		}
		h.schedule(redialDelay, func() { h.dial(address) })
	})
}

// redialDelay is the delay between two attempts to open a link.
const redialDelay = 100 * time.Millisecond

// dropConnections closes all links to a process that has ended, and the connections of its
// clients.
func (sm *Simulation) dropConnections(ended *host) {
	for _, h := range sm.hosts {
		if h.up && h.links[ended.address] {
			h.links[ended.address] = false
			h.dial(ended.address)
		}
	}
	for _, c := range sm.clientsWaitingAt(ended) {
		c.handleBrokenConnection()
	}
}

// traceDecision passes a decision to Simulation.Trace.
func (h *host) traceDecision(e router.Decision) {
	if h.sim.Trace != nil {
		h.sim.Trace(h.sim.now.Sub(h.sim.loadStart), h.name, e)
	}
}

package modeler

import (
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/limiter"
	"github.com/shallotrouter/shallotrouter/internal/router"
)

// LateOrders makes targets execute the share Fault.OrderShare of their orders late without an answer:
// 2 to 11 s late as with Simulation.LateOrderShare, or up to 1.5 s late if the selector contains
// "soon", so that some are executed before and some after their leases have expired. If it contains
// "renewals", that share of the renewals is late, too.
const LateOrders FaultKind = "late-orders"

// maxSoonDelay is the longest delay of orders that are executed soon.
const maxSoonDelay = 1500 * time.Millisecond

// lateness describes which orders a target executes late.
type lateness struct {
	share    float64
	renewals bool
	soon     bool
}

// makeOrdersLate injects LateOrders into a target.
func (t *target) makeOrdersLate(f Fault) {
	t.late = lateness{share: f.OrderShare, renewals: strings.Contains(f.Selector, "renewals"), soon: strings.Contains(f.Selector, "soon")}
	t.sim.schedule(f.Duration, func() { t.late = lateness{} })
}

// drawLateness draws by how much an order to the target is executed late.
func (t *target) drawLateness() time.Duration {
	if t.late.soon {
		return t.sim.drawDuration(0, maxSoonDelay)
	}
	return time.Duration(2+t.sim.random.IntN(10)) * time.Second
}

// executeRenewalLate draws whether the target executes a renewal late and does not answer it.
func (t *target) executeRenewalLate(e router.Renew, delay time.Duration) bool {
	return (t.sim.LateRenewals || t.late.renewals) && t.sim.executeLate(t, delay, func() { t.renewUnanswered(e) })
}

// orderSlots are the slots of a host's process for orders under way; see Simulation.LimitOrders.
type orderSlots struct {
	held    limiter.Slots
	waiting []func()
}

// sendLimited sends an order once a slot is free. The order calls the function that send receives
// when it has been answered or has timed out.
func (h *host) sendLimited(send func(end func())) {
	if !h.sim.LimitOrders {
		send(func() {})
		return
	}
	s, limit := h.slots, h.sim.Bounds.MaxOrders
	if !s.held.HasFree(limit) {
		s.held.FreeOvertaken(h.clock(), limit)
	}
	if !s.held.HasFree(limit) {
		s.waiting = append(s.waiting, func() { h.sendLimited(send) })
		return
	}
	call := s.held.Begin(h.clock())
	h.schedule(h.sim.Bounds.OrderWindow, func() {
		s.held.Expire(call)
		s.admit(limit)
	})
	send(func() {
		s.held.End(call, h.clock(), limit)
		s.admit(limit)
	})
}

// admit sends orders that wait while slots are free.
func (s *orderSlots) admit(limit int) {
	for len(s.waiting) > 0 && s.held.HasFree(limit) {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
}

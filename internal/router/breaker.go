package router

import (
	"cmp"
	"time"
)

// recordStart records the answer to a Start order, or its absence. took is the time until the answer; 0
// if it is not known.
func (r *Router) recordStart(n *run, result StartResult, took time.Duration) {
	if result == NotSent {
		return
	}
	r.recordOrder(n.target, result != NoAnswer)
	if result != NoAnswer {
		r.orders.all.recordTime(cmp.Or(took, r.now.Sub(n.attemptAt)))
	}
}

// recordOrder records whether a target has answered an order, and opens or closes the target's circuit
// breaker. While it is open, the target gets no tasks. An order without an answer tells nothing if the
// target does not answer renewals either.
func (r *Router) recordOrder(t *target, answered bool) {
	if !r.isEnabled(EarlyRepeats) || !answered && r.isUnresponsive(t) {
		return
	}
	r.orders.record(r.now, t.ID, answered)
	a := r.answersOf(t)
	switch {
	case answered && !a.openSince.IsZero():
		r.logTarget(t, "heard", "span", r.formatAge(a.openSince))
		a.openSince = time.Time{}
		r.placementNeeded = true
	case !answered && a.openSince.IsZero() && a.inRow >= inRowToOpen && r.canOpen(t):
		a.openSince = r.now
		r.logTarget(t, "unheard", "orders", a.inRow)
	}
}

// answersOf returns what a target answers to orders.
func (r *Router) answersOf(t *target) *targetAnswers {
	if t.answers == nil {
		t.answers = r.orders.targetOf(t.ID)
	}
	return t.answers
}

// forgetAnswers forgets what a target has answered.
func (r *Router) forgetAnswers(t *target) {
	delete(r.orders.byTarget, t.ID)
	t.answers = nil
}

// canOpen reports whether one more target of the service may be avoided for unanswered orders.
func (r *Router) canOpen(t *target) bool {
	all, open := 0, 0
	for _, other := range r.sortedTargets {
		if other.Service == t.Service && other.listed && !other.evacuated {
			all++
			open += boolToInt(other.answers.isOpen())
		}
	}
	return float64(open+1) <= maxOpenFraction*float64(all)
}

// probeTarget sends a target whose breaker is open a Stop to see whether it answers. It is the Stop of
// a run that was ordered to stop before, so that it changes nothing at the target.
func (r *Router) probeTarget(t *target) {
	if !t.answers.isOpen() || r.isUnresponsive(t) {
		return
	}
	a := r.answersOf(t)
	if a.lastStop.Task == "" || r.now.Sub(a.probedAt) < probeInterval {
		return
	}
	a.probedAt = r.now
	probe := a.lastStop
	probe.Target, probe.Token, probe.Timeout = t.Target, t.token, r.Bounds.OrderTimeout
	r.emit(probe)
}

// stopTimeout returns how long a Stop waits for its answer.
func (r *Router) stopTimeout() time.Duration {
	if !r.orders.areUnanswered(r.now) {
		return r.Bounds.OrderTimeout
	}
	return r.orders.overdueAfter(r.Bounds.OrderTimeout)
}

// startTimeout returns how long the next attempt of a Start waits for its answer: for
// Bounds.OrderTimeout if it is the last one, so that slow answers are seen.
func (r *Router) startTimeout(n *run) time.Duration {
	isLast := n.attempts+1 >= r.orders.startAttempts(r.now, r.Bounds.OrderTimeout) || !r.mayRepeatStart(n)
	if isLast || !r.orders.areUnanswered(r.now) {
		return r.Bounds.OrderTimeout
	}
	return r.orders.overdueAfter(r.Bounds.OrderTimeout)
}

// recordAttempt records that the Start order of a run is sent with a lease end.
func (n *run) recordAttempt(now time.Time, leaseEnd int64) {
	if n.attempts > 0 && n.startLeaseEnd == 0 || leaseEnd == 0 {
		n.startLeaseEnd = 0
	} else {
		n.startLeaseEnd = max(n.startLeaseEnd, leaseEnd)
	}
	n.attempts, n.attemptAt = n.attempts+1, now
}

// hasLapsedUnstarted reports whether a run that a list lacks is over because no Start of it can be
// executed any more: a target rejects a Start whose lease end has passed on its clock. The list
// may have been made shortly before the clock was read.
func (n *run) hasLapsedUnstarted(clock Reading) bool {
	return n.state == runUnconfirmed && n.startLeaseEnd > 0 && clock.Millis > n.startLeaseEnd+leaseExpiryMargin.Milliseconds()
}

// repeatStop sends a Stop that was not answered once more, at once while orders are unanswered.
// Otherwise, and after maxEarlyStops, retryStops does so later.
func (r *Router) repeatStop(n *run) {
	isStopping := n.state == runStopping || n.state == runUnconfirmed
	if isStopping && !n.stopAcknowledged && n.stops < maxEarlyStops && r.orders.areUnanswered(r.now) {
		r.stopRun(n)
	}
}

// closeIdleAfterOrder closes the idle connections to a target that has not answered an order, since
// these may deliver nothing.
func (r *Router) closeIdleAfterOrder(t *target) {
	a := r.answersOf(t)
	if r.orders.areUnanswered(r.now) && r.now.Sub(a.idleClosedAt) < closeIdleInterval {
		return
	}
	a.idleClosedAt = r.now
	r.emit(CloseIdle{ID: t.ID})
}

// recordRenewal records whether a renewal was answered.
func (r *Router) recordRenewal(t *target, e RenewAnswered) {
	answered := e.Result != NoAnswer && e.Result != NotSent
	r.orders.renewals.record(r.now, answered)
	if answered {
		t.unansweredRenewals = 0
		return
	}
	t.unansweredRenewals++
}

func (r *Router) areRenewalsUnanswered() bool {
	return r.isEnabled(EarlyRepeats) && r.orders.areRenewalsUnanswered(r.now)
}

// renewTimeout returns how long the answer to a renewal may take in addition to its wait.
func (r *Router) renewTimeout() time.Duration {
	if !r.areRenewalsUnanswered() {
		return r.Bounds.RenewTimeout
	}
	return r.orders.overdueAfter(r.Bounds.RenewTimeout)
}

// toleratesMiss reports whether a target counts as responsive although a renewal was not answered, and
// asks it again. It does up to maxToleratedMisses while many renewals go without an answer.
func (r *Router) toleratesMiss(t *target) bool {
	if !t.fenced || t.missedRenewals > 0 || t.unansweredRenewals > maxToleratedMisses || !r.areRenewalsUnanswered() {
		return false
	}
	if len(t.runs) > 0 {
		r.pollTarget(t)
	}
	return true
}

// logOrderAnswers logs when orders or renewals begin or cease to go without an answer.
func (r *Router) logOrderAnswers() {
	orders, renewals := r.orders.areUnanswered(r.now), r.areRenewalsUnanswered()
	if orders == r.orders.loggedOrders && renewals == r.orders.loggedRenewals {
		return
	}
	r.orders.loggedOrders, r.orders.loggedRenewals = orders, renewals
	r.emit(Decision{Action: "orders", Pairs: []any{
		"unanswered", orders, "share", r.orders.all.share(), "overdue", r.orders.overdueAfter(r.Bounds.OrderTimeout).String(),
		"renewals", renewals, "missed", r.orders.renewals.share(),
	}})
}

// OrdersView tells which orders targets leave unanswered.
type OrdersView struct {
	// UnansweredShare is the share of recent Start and Stop orders without an answer.
	UnansweredShare float64
	// AvoidedTargets counts the targets that get no tasks because they answer no orders.
	AvoidedTargets int
	// UnconfirmedRuns counts the runs that may have started, or may still start, and UnconfirmedCPU is
	// the CPU that is kept for them, in thousandths of a core.
	UnconfirmedRuns, UnconfirmedCPU int
}

func (r *Router) ordersView() OrdersView {
	view := OrdersView{UnansweredShare: r.orders.all.shareAt(r.now)}
	for _, t := range r.targets {
		view.AvoidedTargets += boolToInt(t.answers.isOpen())
		for _, n := range t.runs {
			if n.state == runUnconfirmed {
				view.UnconfirmedRuns++
				view.UnconfirmedCPU += n.need.CPU
			}
		}
	}
	return view
}

package router

import "time"

// leaseEnd returns the end of a lease that starts now, in milliseconds of the target's clock,
// or 0 if that clock is not known.
func (t *target) leaseEnd(now time.Time, lease time.Duration) int64 {
	if t.lastReading.At.IsZero() {
		return 0
	}
	return t.lastReading.Millis + (now.Sub(t.lastReading.At) + lease).Milliseconds()
}

// longestLease returns how long a lease may last by this host's clock: with the greatest clock drift and
// leaseExpiryMargin.
func (r *Router) longestLease(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*r.Bounds.MaxClockDrift) + leaseExpiryMargin
}

// extendLeases records that an order extends the leases of a target's runs, and returns the lease end for the
// order; see target.leaseEnd.
func (r *Router) extendLeases(t *target, lease time.Duration) int64 {
	t.runsExpireAt = later(t.runsExpireAt, r.now.Add(r.longestLease(lease)))
	return t.leaseEnd(r.now, lease)
}

// updateClock stores a reading of the target's clock if it is newer than the last one.
func (t *target) updateClock(clock Reading) {
	if !clock.At.IsZero() && clock.At.After(t.lastReading.At) {
		t.lastReading = clock
	}
}

// recordLease updates until when the runs of a target keep their leases for certain, from an answer
// of the target to an order that was sent at sentAt with a lease end. The bound is that of this
// host's clock, with the greatest drift and the shortest delays that the answers allow.
func (r *Router) recordLease(t *target, clock Reading, sentAt time.Time, leaseEnd int64) {
	if clock.At.IsZero() {
		return
	}
	least := func(millis int64) time.Duration {
		d := time.Duration(millis-1) * time.Millisecond // readings are rounded down
		return d - time.Duration(float64(d)*r.Bounds.MaxClockDrift)
	}
	readAt := sentAt
	if f := t.earliestReading; !f.At.IsZero() && clock.Millis >= f.Millis {
		readAt = later(readAt, f.At.Add(least(clock.Millis-f.Millis)))
	}
	t.earliestReading = Reading{Millis: clock.Millis, At: readAt}
	if left := min(leaseEnd-clock.Millis, r.Bounds.LeaseDuration.Milliseconds()); left > 0 {
		t.heldUntil = later(t.heldUntil, readAt.Add(least(left)))
	}
}

// recordProcessEnd takes note that the listed process of a target has ended by now, since another one
// has answered an order that was sent at askedAt. What runs there has ended with it if its leases
// cannot have expired before. A process that is replaced later may have been cut off and have outlived
// its runs; that its host refuses connections may be a fault of the network.
func (r *Router) recordProcessEnd(t *target, askedAt time.Time) {
	if t.listedProcess > 0 && t.listed && !r.now.After(t.heldUntil) && !askedAt.Before(t.runListAt) {
		t.endedProcess = t.listedProcess
	}
}

// hasEndedUnder reports whether a target's process has ended under a run, as far as can be told: it is
// known to have had the run, and to have ended before the lease. If the run has ended by itself
// within the lease, only the answer that was lost could tell.
func (t *target) hasEndedUnder(n *run) bool {
	return n.process != 0 && n.process == t.endedProcess && n.state == runRunning
}

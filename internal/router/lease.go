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

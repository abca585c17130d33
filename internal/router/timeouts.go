package router

import (
	"math"
	"time"
)

// timeoutStats are the mean and variance of the timeouts of a route's clients, in seconds.
type timeoutStats struct {
	count          int
	mean, variance float64
}

const (
	// timeoutWindow is the number of jobs over which timeouts are averaged.
	timeoutWindow = 400
	// minTimeoutSamples is the number of jobs from which a timeout can be classified as short.
	minTimeoutSamples = 50
	// shortTimeoutDeviations is the number of standard deviations below the mean from which a
	// timeout counts as short, so that the client must have used part of it in an earlier try.
	// One in forty timeouts is that short by chance.
	shortTimeoutDeviations = 2
	// retryPeriod is how long after the loss of a host clients may retry: the time until the
	// loss is noticed, the time until clients retry, and a second retry.
	retryPeriod = 4 * time.Second
	// minUsedTime is the smallest shortfall of a timeout that can come from an earlier try.
	minUsedTime = 500 * time.Millisecond
)

// addSample adds a timeout. A short timeout counts as one standard deviation below the mean, so
// that a burst of retries changes little, while a lasting change is still learned.
func (t *timeoutStats) addSample(timeout time.Duration) {
	t.count++
	w := 1 / float64(min(t.count, timeoutWindow))
	x := timeout.Seconds()
	if t.isShort(timeout) {
		x = t.mean - math.Sqrt(t.variance)
	}
	d := x - t.mean
	t.mean += w * d
	t.variance += w * (d*(x-t.mean) - t.variance)
}

// isShort reports whether a timeout is further below the mean than the differences between
// clients explain.
func (t *timeoutStats) isShort(timeout time.Duration) bool {
	if t.count < minTimeoutSamples {
		return false
	}
	shortfall := t.mean - timeout.Seconds()
	return shortfall > shortTimeoutDeviations*math.Sqrt(t.variance) && shortfall > minUsedTime.Seconds()
}

// isLikelyRetry adds the timeout of a new job to the statistics of its route, and reports
// whether the job is probably a retry: a client that retries sends only what is left of its
// timeout. After the loss of hosts, retries arrive together with new jobs, and only the timeout
// distinguishes them. At other times, a short timeout only means that the client allows little
// time.
func (r *Router) isLikelyRetry(j *job) bool {
	if r.Policy.RetryOrder == RetriesAsNew {
		return false
	}
	stats := &r.routeModelOf(j.spec.Route).timeouts
	timeout := j.deadline.Sub(j.arrivedAt)
	short := stats.isShort(timeout)
	stats.addSample(timeout)
	return short && r.now.Sub(later(r.startedAt, r.lastHostLossAt)) < retryPeriod
}

package router

import (
	"math"
	"time"
)

// timeoutStats is what was learned of the timeouts of a route's clients: their mean and
// variance, in seconds.
type timeoutStats struct {
	count          int
	mean, variance float64
}

const (
	// timeoutWindow is the number of jobs over which timeouts are forgotten.
	timeoutWindow = 400
	// minTimeoutSamples is the number of jobs after which a timeout can be told to be unusual.
	minTimeoutSamples = 50
	// shortTimeoutDeviations is how many standard deviations below the mean a timeout is that the client
	// must have used in part: one in forty is by chance.
	shortTimeoutDeviations = 2
	// retryPeriod is how long after the loss of a host clients may try again: the time after
	// which it is noticed, that after which they do so, and a second try.
	retryPeriod = 4 * time.Second
	// minUsedTime bounds what counts as time used: less does not come from an earlier try.
	minUsedTime = 500 * time.Millisecond
)

// addSample adds a timeout. Those far below the mean count as one standard deviation below it,
// so that a surge of retries changes little, and a lasting change is learned all the same.
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

// isShort reports whether a timeout lacks more than differences between clients explain.
func (t *timeoutStats) isShort(timeout time.Duration) bool {
	if t.count < minTimeoutSamples {
		return false
	}
	shortfall := t.mean - timeout.Seconds()
	return shortfall > shortTimeoutDeviations*math.Sqrt(t.variance) && shortfall > minUsedTime.Seconds()
}

// isLikelyRetry takes the timeout of a new job and reports whether its client has waited
// before: a client that tries again gives what is left of its time. When hosts were lost at
// once, such jobs come together with new ones, and nothing else tells them apart. At other
// times a short timeout only tells that a client is in a hurry.
func (r *Router) isLikelyRetry(j *job) bool {
	if r.Policy.RetryOrder == RetriesAsNew {
		return false
	}
	t := &r.routeModelOf(j.spec.Route).timeouts
	timeout := j.deadline.Sub(j.arrivedAt)
	short := t.isShort(timeout)
	t.addSample(timeout)
	return short && r.now.Sub(later(r.startedAt, r.lastHostLossAt)) < retryPeriod
}

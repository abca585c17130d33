package router

import (
	"math"
	"time"
)

// budgets is what was learned of the time budgets of a route's clients: their mean and
// variance, in seconds.
type budgets struct {
	count          int
	mean, variance float64
}

const (
	// budgetWindow is the number of jobs over which budgets are forgotten.
	budgetWindow = 400
	// budgetTrust is the number of jobs after which a budget can be told to be unusual.
	budgetTrust = 50
	// unusual is how many standard deviations below the mean a budget is that the client
	// must have used in part: one in forty is by chance.
	unusual = 2
	// retrySpan is how long after the loss of a host clients may try again: the time after
	// which it is noticed, that after which they do so, and a second try.
	retrySpan = 4 * time.Second
	// leastWait bounds what counts as time used: less does not come from an earlier try.
	leastWait = 500 * time.Millisecond
)

// take adds a budget. Those far below the mean count as one standard deviation below it,
// so that a surge of retries changes little, and a lasting change is learned all the same.
func (b *budgets) take(budget time.Duration) {
	b.count++
	w := 1 / float64(min(b.count, budgetWindow))
	x := budget.Seconds()
	if b.isShort(budget) {
		x = b.mean - math.Sqrt(b.variance)
	}
	d := x - b.mean
	b.mean += w * d
	b.variance += w * (d*(x-b.mean) - b.variance)
}

// isShort reports whether a budget lacks more than differences between clients explain.
func (b *budgets) isShort(budget time.Duration) bool {
	if b.count < budgetTrust {
		return false
	}
	lack := b.mean - budget.Seconds()
	return lack > unusual*math.Sqrt(b.variance) && lack > leastWait.Seconds()
}

// hasWaited takes the time budget of a new job and reports whether its client has waited
// before: a client that tries again gives what is left of its time. When hosts were lost at
// once, such jobs come together with new ones, and nothing else tells them apart. At other
// times a short budget only tells that a client is in a hurry.
func (r *Router) hasWaited(j *job) bool {
	if r.Policy.Retries == AsNew {
		return false
	}
	b := &r.historyOf(j.spec.Route).budgets
	budget := j.deadline.Sub(j.arrived)
	short := b.isShort(budget)
	b.take(budget)
	return short && r.now.Sub(later(r.started, r.lossSeen)) < retrySpan
}

package router

import (
	"math"
	"time"
)

const (
	// widestFactor bounds the extra time of the longest of many tasks: at a spread of
	// 15 % within a job, the longest of 8 takes 1.2 times the mean.
	widestFactor = 0.1
	// travel is the time of the messages around a job's work: two hops between
	// zones, an order and an answer.
	travel = 12 * time.Millisecond
	// lateFactor is how many times the objective an answer may take and still
	// be of some use to the client.
	lateFactor = 3
	// packing is the part of the targets' processors that a job can count on
	// for the work before it: jobs that come later and must start sooner take
	// their part as well.
	packing = 0.4
	// ownPacking is the part that tasks of like size can fill.
	ownPacking = 0.8
	// minRetry and maxRetry bound when a refused client may come back.
	minRetry = 100 * time.Millisecond
	maxRetry = 3 * time.Second
)

// plan sets when a job's tasks must start.
func (r *Router) plan(j *job) {
	j.task = r.predict(&j.spec)
	wide := 1 + widestFactor*math.Log(float64(max(j.spec.Count, 1)))
	j.expect = seconds(j.task.Seconds()*wide) + travel
	stretch := max(j.spec.Stretch, 1)
	goal := j.arrived.Add(seconds(j.expect.Seconds()*stretch) + j.spec.Allowance)
	if goal.After(j.deadline) {
		goal = j.deadline
	}
	j.goal, j.latest = goal, goal.Add(-j.expect)
}

// last returns the last moment at which starting the job is of any use.
func (j *job) last() time.Time {
	end := j.arrived.Add(lateFactor * j.goal.Sub(j.arrived))
	if end.After(j.deadline) {
		end = j.deadline
	}
	return end.Add(-j.expect)
}

// admit decides whether a job is taken. It is refused at once when it fits no
// target, or cannot be in time behind the work that goes first.
func (r *Router) admit(j *job) (Verdict, bool) {
	v := Verdict{ID: j.spec.ID, Outcome: Refused}
	if !r.fitsAny(&j.spec) {
		v.Outcome, v.Reason = Failed, DoesNotFit
		return v, true
	}
	if j.begun || j.resent || r.Policy.Admission == AdmitAll {
		return v, false
	}
	free, total := r.capacity(&j.spec)
	j.excess = r.exceeds(j, total)
	wait := seconds(r.backlog(j, free, total).Seconds() * r.weight(j))
	until := j.latest
	if r.isLate(j) {
		until = j.last()
	}
	if r.now.Add(wait).After(until) {
		spell := r.shareOf(j).refuse(r.now)
		if !r.uses(OverloadBackoff) {
			spell = 0
		}
		v.Reason, v.RetryAfter = Overload, min(max(r.now.Add(wait).Sub(j.latest), spell, minRetry), maxRetry)
		return v, true
	}
	r.shareOf(j).credit -= j.work()
	return v, false
}

// weight returns how a job's wait is weighed: one with much work for its route is
// refused earlier, since the same work completes several smaller ones.
func (r *Router) weight(j *job) float64 {
	work := float64(j.spec.Count) * j.task.Seconds() * float64(j.spec.Need.CPU)
	mean := r.works[j.spec.Route]
	if mean == 0 {
		mean = work
	}
	r.works[j.spec.Route] = mean + (work-mean)/workWindow
	if !r.uses(WorkWeighting) {
		return 1
	}
	return min(baseShare+(1-baseShare)*work/mean, mostShare)
}

const (
	// workWindow is the number of jobs over which a route's mean work forgets.
	workWindow = 100
	// baseShare is the part of the weight that does not depend on the work.
	baseShare = 0.4
	// mostShare bounds the weight, so that large jobs are served at least half
	// as often as others.
	mostShare = 1.7
)

// fitsAny reports whether a task of the job fits a known target of its service,
// were it idle. While no target is known, it might.
func (r *Router) fitsAny(spec *Job) bool {
	known := false
	for _, t := range r.directory.Targets {
		if t.Service != spec.Service {
			continue
		}
		known = true
		if t.Capacity.Fits(spec.Need) && t.has(spec.Label) {
			return true
		}
	}
	return !known
}

// backlog returns how long a job's last task would wait behind the queue, with room
// for so many tasks of it now and so much processor in total.
func (r *Router) backlog(j *job, free, total int) time.Duration {
	work := j.work() * packing / ownPacking
	ahead := 0
	for _, other := range r.queue.Items() {
		if other.spec.Service == j.spec.Service && r.precedes(other, j) && !r.quarantined(other) {
			ahead += other.waiting
			work += other.work()
		}
	}
	if free >= ahead+j.waiting {
		return 0
	}
	if total == 0 {
		return maxRetry
	}
	return seconds(work / (float64(total) * packing))
}

// capacity returns how many tasks of the job could start now, and the processors
// of all targets that could run it, in thousandths of a core.
func (r *Router) capacity(spec *Job) (free, total int) {
	for _, t := range r.pool {
		if t.Service != spec.Service || !r.soon(t) {
			continue
		}
		total += int(float64(t.Capacity.CPU) / r.speed(t.kind()))
		if t.fenced && !r.usable(t) {
			continue
		}
		left := t.Capacity.Minus(t.used)
		if spec.Need.CPU > 0 && left.Fits(spec.Need) {
			free += left.CPU / spec.Need.CPU
		}
	}
	return free, total
}

// soon reports whether a target may be given tasks now or within a moment: after
// a change of the holder, targets are asked first what they run.
func (r *Router) soon(t *target) bool {
	young := r.now.Sub(r.cells[t.Zone].acquired) < r.Bounds.PeerTimeout
	return t.listed && !t.Draining && (t.fenced || young) && (t.misses == 0 || young) && (!r.now.Before(t.barred) || !t.trial)
}

// reconsider gives up a queued job that has become hopeless.
func (r *Router) reconsider(j *job) {
	last := j.last()
	switch {
	case j.resent && !r.isCleared(j):
		// Its other tasks may still be found running for a moment; after that
		// they cannot start before the quarantine is over.
		if r.now.Sub(j.offered) > r.Bounds.OrphanGrace && j.cleared.After(last) {
			r.giveUp(j, Expired)
		}
	case r.now.After(last):
		r.giveUp(j, Expired)
	case r.Policy.Admission == ByBacklog && !j.begun && !j.resent && r.isLate(j) && r.isContended(j):
		r.giveUp(j, Overload)
	}
}

// isContended reports whether jobs that can still be in time wait for the targets
// of this one.
func (r *Router) isContended(j *job) bool {
	for _, other := range r.queue.Items() {
		if other != j && other.spec.Service == j.spec.Service && !r.isLate(other) {
			return true
		}
	}
	return false
}

// giveUp ends a job: as refused while no task has started, as failed otherwise.
func (r *Router) giveUp(j *job, reason Reason) {
	v := Verdict{Outcome: Refused, Reason: reason, RetryAfter: minRetry}
	if j.begun {
		v = Verdict{Outcome: Failed, Reason: reason}
	}
	r.end(j, v)
}

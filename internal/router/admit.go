package router

import (
	"math"
	"time"
)

const (
	// taskCountFactor bounds the extra time of the longest of many tasks: at a spread of
	// 15 % within a job, the longest of 8 takes 1.2 times the mean.
	taskCountFactor = 0.1
	// networkOverhead is the time of the messages around a job's work: two hops between
	// zones, an order and an answer.
	networkOverhead = 12 * time.Millisecond
	// lateFactor is how many times the objective an answer may take and still
	// be of some use to the client.
	lateFactor = 3
	// queuePackingRatio is the part of the targets' processors that a job can count on
	// for the work before it: jobs that come later and must start sooner take
	// their part as well.
	queuePackingRatio = 0.4
	// ownPackingRatio is the part that tasks of like size can fill.
	ownPackingRatio = 0.8
	// minRetryAfter and maxRetry bound when a refused client may come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// planStart sets when a job's tasks must start.
func (r *Router) planStart(j *job) {
	j.taskRunTime = r.predictRunTime(&j.spec)
	wide := 1 + taskCountFactor*math.Log(float64(max(j.spec.Count, 1)))
	j.expectedRunTime = seconds(j.taskRunTime.Seconds()*wide) + networkOverhead
	stretch := max(j.spec.Stretch, 1)
	goal := j.arrivedAt.Add(seconds(j.expectedRunTime.Seconds()*stretch) + j.spec.Allowance)
	if goal.After(j.deadline) {
		goal = j.deadline
	}
	j.dueAt, j.latestStart = goal, goal.Add(-j.expectedRunTime)
}

// lastUsefulStart returns the last moment at which starting the job is of any use.
func (j *job) lastUsefulStart() time.Time {
	end := j.arrivedAt.Add(lateFactor * j.dueAt.Sub(j.arrivedAt))
	if end.After(j.deadline) {
		end = j.deadline
	}
	return end.Add(-j.expectedRunTime)
}

// admit decides whether a job is taken. It is refused at once when it fits no
// target, or cannot be in time behind the work that goes first.
func (r *Router) admit(j *job) (Verdict, bool) {
	v := Verdict{ID: j.spec.ID, Outcome: Refused}
	if !r.fitsAnyTarget(&j.spec) {
		v.Outcome, v.Reason = Failed, DoesNotFit
		return v, true
	}
	if j.mayHaveStarted || j.reoffered || r.Policy.Admission == AdmitAll {
		return v, false
	}
	free, total := r.capacity(&j.spec)
	j.exceedsShare = r.exceedsFairShare(j, total)
	wait := seconds(r.estimateWait(j, free, total).Seconds() * r.waitWeight(j))
	latestStart := j.latestStart
	if r.isLate(j) {
		latestStart = j.lastUsefulStart()
	}
	if r.now.Add(wait).After(latestStart) {
		backoff := r.shareOf(j).recordRefusal(r.now)
		if !r.isEnabled(OverloadBackoff) {
			backoff = 0
		}
		v.Reason, v.RetryAfter = Overload, min(max(r.now.Add(wait).Sub(j.latestStart), backoff, minRetryAfter), maxRetryAfter)
		return v, true
	}
	r.shareOf(j).workBudget -= j.pendingWork()
	return v, false
}

// waitWeight returns how a job's wait is weighed: one with much work for its route is
// refused earlier, since the same work completes several smaller ones.
func (r *Router) waitWeight(j *job) float64 {
	work := float64(j.spec.Count) * j.taskRunTime.Seconds() * float64(j.spec.Need.CPU)
	mean := r.meanWorkByRoute[j.spec.Route]
	if mean == 0 {
		mean = work
	}
	r.meanWorkByRoute[j.spec.Route] = mean + (work-mean)/workWindow
	if !r.isEnabled(WorkWeighting) {
		return 1
	}
	return min(baseWaitWeight+(1-baseWaitWeight)*work/mean, maxWaitWeight)
}

const (
	// workWindow is the number of jobs over which a route's mean work forgets.
	workWindow = 100
	// baseWaitWeight is the part of the weight that does not depend on the work.
	baseWaitWeight = 0.4
	// maxWaitWeight bounds the weight, so that large jobs are served at least half
	// as often as others.
	maxWaitWeight = 1.7
)

// fitsAnyTarget reports whether a task of the job fits a known target of its service,
// were it idle. While no target is known, it might.
func (r *Router) fitsAnyTarget(spec *Job) bool {
	known := false
	for _, t := range r.directory.Targets {
		if t.Service != spec.Service {
			continue
		}
		known = true
		if t.Capacity.Fits(spec.Need) && t.hasLabel(spec.Label) {
			return true
		}
	}
	return !known
}

// estimateWait returns how long a job's last task would wait behind the queue, with room
// for so many tasks of it now and so much processor in total.
func (r *Router) estimateWait(j *job, free, total int) time.Duration {
	work := j.pendingWork() * queuePackingRatio / ownPackingRatio
	ahead := 0
	for _, other := range r.queue.Items() {
		if other.spec.Service == j.spec.Service && r.isPlacedBefore(other, j) && !r.isQuarantined(other) {
			ahead += other.waitingCount
			work += other.pendingWork()
		}
	}
	if free >= ahead+j.waitingCount {
		return 0
	}
	if total == 0 {
		return maxRetryAfter
	}
	return seconds(work / (float64(total) * queuePackingRatio))
}

// capacity returns how many tasks of the job could start now, and the processors
// of all targets that could run it, in thousandths of a core.
func (r *Router) capacity(spec *Job) (free, total int) {
	for _, t := range r.sortedTargets {
		if t.Service != spec.Service || !r.isSoonUsable(t) {
			continue
		}
		total += int(float64(t.Capacity.CPU) / r.speedFactor(t.kind()))
		if t.fenced && !r.isUsable(t) {
			continue
		}
		left := t.Capacity.Minus(t.used)
		if spec.Need.CPU > 0 && left.Fits(spec.Need) {
			free += left.CPU / spec.Need.CPU
		}
	}
	return free, total
}

// isSoonUsable reports whether a target may be given tasks now or within a moment: after
// a change of the holder, targets are asked first what they run.
func (r *Router) isSoonUsable(t *target) bool {
	young := r.now.Sub(r.cells[t.Zone].acquiredAt) < r.Bounds.PeerTimeout
	return t.listed && !t.Draining && (t.fenced || young) && (t.missedRenewals == 0 || young) && (!r.now.Before(t.ejectedUntil) || !t.onTrial)
}

// recheckQueuedJob gives up a queued job that has become hopeless.
func (r *Router) recheckQueuedJob(j *job) {
	last := j.lastUsefulStart()
	switch {
	case j.reoffered && !r.isQuarantineOver(j):
		// Its other tasks may still be found running for a moment; after that
		// they cannot start before the quarantine is over.
		if r.now.Sub(j.offeredAt) > r.Bounds.OrphanGrace && j.quarantinedUntil.After(last) {
			r.abortJob(j, Expired)
		}
	case r.now.After(last):
		r.abortJob(j, Expired)
	case r.Policy.Admission == ByBacklog && !j.mayHaveStarted && !j.reoffered && r.isLate(j) && r.isContended(j):
		r.abortJob(j, Overload)
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

// abortJob ends a job: as refused while no task has started, as failed otherwise.
func (r *Router) abortJob(j *job, reason Reason) {
	v := Verdict{Outcome: Refused, Reason: reason, RetryAfter: minRetryAfter}
	if j.mayHaveStarted {
		v = Verdict{Outcome: Failed, Reason: reason}
	}
	r.endJob(j, v)
}

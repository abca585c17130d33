package router

import (
	"math"
	"time"
)

const (
	// taskCountFactor scales the extra run time of the slowest of many tasks: when run times
	// within a job vary by 15 %, the slowest of 8 tasks takes 1.2 times the mean.
	taskCountFactor = 0.1
	// networkOverhead is the time of the messages around a job's work: two hops between zones,
	// an order to a target and its answer.
	networkOverhead = 12 * time.Millisecond
	// lateFactor is the multiple of the latency objective up to which an answer is still of use
	// to the client.
	lateFactor = 3
	// queuePackingRatio is the part of the targets' CPU that a job can count on for the work
	// queued ahead of it. Jobs that arrive later but must start sooner take a part as well.
	queuePackingRatio = 0.4
	// ownPackingRatio is the part of the targets' CPU that tasks of similar size can fill.
	ownPackingRatio = 0.8
	// minRetryAfter and maxRetryAfter bound the delay after which a refused client may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// planStart sets a job's expected run time, its due time and the latest start of its tasks.
func (r *Router) planStart(j *job) {
	j.taskRunTime = r.predictRunTime(&j.spec)
	taskCountScale := 1 + taskCountFactor*math.Log(float64(max(j.spec.Count, 1)))
	j.expectedRunTime = seconds(j.taskRunTime.Seconds()*taskCountScale) + networkOverhead
	stretch := max(j.spec.Stretch, 1)
	dueAt := j.arrivedAt.Add(seconds(j.expectedRunTime.Seconds()*stretch) + j.spec.Allowance)
	if dueAt.After(j.deadline) {
		dueAt = j.deadline
	}
	j.dueAt, j.latestStart = dueAt, dueAt.Add(-j.expectedRunTime)
}

// lastUsefulStart returns the latest start after which the answer is of no more use to the
// client.
func (j *job) lastUsefulStart() time.Time {
	end := j.arrivedAt.Add(lateFactor * j.dueAt.Sub(j.arrivedAt))
	if end.After(j.deadline) {
		end = j.deadline
	}
	return end.Add(-j.expectedRunTime)
}

// admit decides whether a job is accepted. It returns true with the verdict if the job is
// refused: because targets have crashed under one of its tasks, because its tasks fit no target,
// now or at its largest capacity, because it needs more memory than Bounds.JobMemory leaves, or
// because it cannot finish in time behind the jobs that are placed before it. Only crashes count
// against a job that may have started or was offered to another holder before; this host may also
// know fewer targets than that one. For the other jobs, admit also records the demand of the route
// and charges an accepted job to the route's budget.
func (r *Router) admit(j *job) (Verdict, bool) {
	v := Verdict{ID: j.spec.ID, Outcome: Refused}
	if v, isOver := r.crashVerdict(j); isOver {
		v.ID = j.spec.ID
		return v, true
	}
	if j.mayHaveStarted || j.reoffered {
		return v, false
	}
	if v, refused := r.refuseMisfit(j); refused {
		return v, true
	}
	if r.Policy.Admission == AdmitAll {
		return v, false
	}
	if v, refused := r.refuseUnplaceable(j); refused {
		return v, true
	}
	r.recordNeed(j)
	if r.exceedsJobMemory(j) {
		v.Reason, v.RetryAfter = Overload, min(max(r.shareOf(j).recordRefusal(r.now), minRetryAfter), maxRetryAfter)
		return v, true
	}
	if zone := r.zoneForColdJob(j); zone != "" {
		v.Reason, v.RetryAfter, v.Elsewhere = Overload, minRetryAfter, zone
		return v, true
	}
	free, total := r.capacity(j)
	weight := r.waitWeight(j)
	wait := seconds(r.estimateWait(j, free, total).Seconds() * weight)
	if v, referred := r.referJob(j, wait); referred {
		return v, true
	}
	j.exceedsShare = r.exceedsFairShare(j, total)
	if j.exceedsShare {
		wait = seconds(r.estimateWait(j, free, total).Seconds() * weight)
		if v, referred := r.referJob(j, wait); referred {
			r.shareOf(j).addDemand(r.now, -j.pendingWork())
			return v, true
		}
	}
	if r.now.Add(wait).After(r.admissionBound(j)) {
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

// refuseMisfit refuses a job whose tasks fit no target.
func (r *Router) refuseMisfit(j *job) (Verdict, bool) {
	if r.bestFit(&j.spec) != fitsNowhere {
		return Verdict{}, false
	}
	if r.zoneOf(j.origin) != j.zone { // it may fit targets of its own zone
		return Verdict{ID: j.spec.ID, Outcome: Refused, Reason: DoesNotFit, RetryAfter: maxRetryAfter}, true
	}
	return Verdict{ID: j.spec.ID, Outcome: Failed, Reason: DoesNotFit}, true
}

// admissionBound returns the latest start at which a job is admitted: the latest for an
// answer within its latency objective or, for a job that is late already, the latest for an
// answer that is still of use.
func (r *Router) admissionBound(j *job) time.Time {
	if r.isLate(j) {
		return j.lastUsefulStart()
	}
	return j.latestStart
}

// recordNeed adds the CPU need of a job's tasks to the mean of the service.
func (r *Router) recordNeed(j *job) {
	need, mean := float64(j.spec.Need.CPU), r.meanNeeds[j.spec.Service]
	if mean == 0 {
		mean = need
	}
	r.meanNeeds[j.spec.Service] = mean + (need-mean)/workWindow
}

// waitWeight returns the factor on a job's estimated wait, and adds the job to its route's mean
// work. A job with more work than the mean of its route is refused earlier, because the same
// work completes several smaller jobs.
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
	// workWindow is the number of jobs over which a route's mean work is averaged.
	workWindow = 100
	// baseWaitWeight is the part of the weight that does not depend on the job's work.
	baseWaitWeight = 0.4
	// maxWaitWeight bounds the weight, so that large jobs are served at least half as often as
	// others.
	maxWaitWeight = 1.7
)

// fit tells where the tasks of a job fit.
type fit string

const (
	// fitsOpenZone means that a task fits an idle target outside evacuated zones.
	fitsOpenZone fit = "open"
	// fitsEvacuatedZone means that a task fits idle targets of evacuated zones only.
	fitsEvacuatedZone fit = "evacuated"
	// fitsLargestCapacity means that a task fits no target now, but would fit one if its
	// capacity were the largest that its kind has shown.
	fitsLargestCapacity fit = "shrunk"
	// fitsNowhere means that a task fits no target.
	fitsNowhere fit = "none"
)

// bestFit returns where a task of the job fits, assuming that the targets of its service are
// idle. It returns fitsOpenZone while no target of the service is known, unless a task needs more
// than any target can have.
func (r *Router) bestFit(spec *Job) fit {
	if !maxCapacity.Fits(spec.Need) {
		return fitsNowhere
	}
	known, best := false, fitsNowhere
	for i := range r.directory.Targets {
		t := &r.directory.Targets[i]
		if t.Service != spec.Service {
			continue
		}
		known = true
		if !t.hasLabel(spec.Label) {
			continue
		}
		if !t.Capacity.Fits(spec.Need) {
			if best == fitsNowhere && r.largestCapacities[t.serviceKind()].Fits(spec.Need) {
				best = fitsLargestCapacity
			}
			continue
		}
		if !r.isEvacuated(t.Zone) {
			return fitsOpenZone
		}
		best = fitsEvacuatedZone
	}
	if !known {
		return fitsOpenZone
	}
	return best
}

// estimateWait returns how long the last task of a job is expected to wait for the jobs that
// are placed before it. free is the number of the job's tasks that could start now, total the
// CPU of the targets in thousandths of a core.
func (r *Router) estimateWait(j *job, free, total int) time.Duration {
	if free >= j.waitingCount {
		return 0
	}
	ahead := 0.0
	for _, other := range r.queue.Items() {
		if other.spec.Service == j.spec.Service && r.isPlacedBefore(other, j) && !r.cannotStartYet(other) {
			ahead += other.pendingWork()
		}
	}
	return r.waitBehind(j, ahead, free, total)
}

// waitBehind returns how long the last task of a job is expected to wait behind the given work,
// in thousandths of a core times seconds. The tasks that could start now do not wait: the tasks
// of the queue have been tried at the targets and do not fit what is free.
func (r *Router) waitBehind(j *job, ahead float64, free, total int) time.Duration {
	if free >= j.waitingCount {
		return 0
	}
	waitingShare := float64(j.waitingCount-free) / float64(j.waitingCount)
	work := ahead + j.pendingWork()*waitingShare*queuePackingRatio/ownPackingRatio
	return r.backlogWait(work, total)
}

// backlogWait returns how long the targets take for queued work, in thousandths of a core
// times seconds. total is their CPU in thousandths of a core.
func (r *Router) backlogWait(work float64, total int) time.Duration {
	if total == 0 {
		return maxRetryAfter
	}
	return seconds(work / (float64(total) * queuePackingRatio))
}

// capacity returns how many tasks of the job could start now (free), and the CPU of all targets
// that could run them (total), in thousandths of a core of a target of average speed.
func (r *Router) capacity(j *job) (free, total int) {
	spec := &j.spec
	for _, t := range r.sortedTargets {
		if t.Service != spec.Service || !r.isSoonUsable(t) {
			continue
		}
		total += r.effectiveCPU(t)
		if t.fenced && !r.isUsable(t) || (r.isCold(t) || r.isSlowProfile(t)) && r.isLateAt(j, t) {
			continue
		}
		if spec.Need.CPU > 0 && r.hasRoomFor(t, spec.Need) {
			free += (t.Capacity.CPU - t.used.CPU) / spec.Need.CPU
		}
	}
	return free, total
}

// effectiveCPU returns the CPU of a target in thousandths of a core of a target of average speed.
func (r *Router) effectiveCPU(t *target) int {
	return int(float64(t.Capacity.CPU) / (r.speedFactor(t.kind()) * r.placementFactor(t) * r.coldFactorOf(t)))
}

// isSoonUsable reports whether a target can be given tasks now or in a moment. A new holder
// first asks its targets what they run, so targets that are not fenced yet count while the cell
// has been held for less than the peer timeout.
func (r *Router) isSoonUsable(t *target) bool {
	recentlyAcquired := r.now.Sub(r.cells[t.Zone].acquiredAt) < r.Bounds.PeerTimeout
	return t.listed && !t.Draining && !t.evacuated && !r.isExcludedAsCold(t) && (t.fenced || recentlyAcquired) && (t.missedRenewals == 0 || recentlyAcquired) && (!r.now.Before(t.ejectedUntil) || !t.onTrial)
}

// recheckQueuedJob aborts a queued job whose answer would be of no more use. It also aborts a
// late job that has not started while jobs that can still be in time wait for the same service.
func (r *Router) recheckQueuedJob(j *job) {
	last := j.lastUsefulStart()
	switch {
	case j.reoffered && !r.isQuarantineOver(j):
		// Its other tasks may still be found running during the grace period for orphans. After
		// that, they cannot start before the quarantine is over.
		if r.now.Sub(j.offeredAt) > r.Bounds.OrphanGrace && j.quarantinedUntil.After(last) {
			r.abortJob(j, Expired)
		}
	case r.runsElsewhere(j):
		if r.now.Sub(j.offeredAt) > r.Bounds.OrphanGrace && r.remoteRuns.until(j.spec.ID).After(last) {
			r.abortJob(j, Expired)
		}
	case r.now.After(last):
		r.abortJob(j, Expired)
	case r.referQueuedJob(j):
	case r.Policy.Admission == ByBacklog && !j.mayHaveStarted && !j.reoffered && r.isLate(j) && r.isContended(j):
		r.abortJob(j, Overload)
	}
}

// isContended reports whether jobs that can still be in time wait for the same service.
func (r *Router) isContended(j *job) bool {
	for _, other := range r.queue.Items() {
		if other != j && other.spec.Service == j.spec.Service && !r.isLate(other) {
			return true
		}
	}
	return false
}

// abortJob ends a job: as refused if no task can have started, otherwise as failed.
func (r *Router) abortJob(j *job, reason Reason) {
	v := Verdict{Outcome: Refused, Reason: reason, RetryAfter: minRetryAfter}
	if j.mayHaveStarted {
		v = Verdict{Outcome: Failed, Reason: reason}
	}
	r.endJob(j, v)
}

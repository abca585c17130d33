package router

import (
	"slices"
	"time"
)

// isMoreUrgent reports whether a is more urgent than b: jobs that may have started come first,
// then those with the earliest latest start.
func isMoreUrgent(a, b *job) bool {
	if a.mayHaveStarted != b.mayHaveStarted {
		return a.mayHaveStarted
	}
	return mustStartEarlier(a, b)
}

// isPlacedBefore reports whether a is placed before b. Late jobs come last. Among the others,
// jobs beyond the fair share of their route come after those within it, as long as both or
// neither may have started.
func (r *Router) isPlacedBefore(a, b *job) bool {
	if r.Policy.QueueOrder == ByArrival && !a.arrivedAt.Equal(b.arrivedAt) {
		return a.arrivedAt.Before(b.arrivedAt)
	}
	if late := r.isLate(a); late != r.isLate(b) {
		return !late
	}
	if a.mayHaveStarted == b.mayHaveStarted && a.exceedsShare != b.exceedsShare {
		return b.exceedsShare
	}
	return isMoreUrgent(a, b)
}

// isLate reports whether a job is unlikely to be answered within its latency objective.
func (r *Router) isLate(j *job) bool { return j.likelyRetry || r.now.After(j.latestStart) }

// mustStartEarlier orders the queue by the latest start of its jobs. The order of two jobs
// never changes.
func mustStartEarlier(a, b *job) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.spec.ID < b.spec.ID
}

// placeTasks starts the waiting tasks that fit the free capacity, in the order of
// isPlacedBefore.
func (r *Router) placeTasks() {
	if !r.placementNeeded {
		return
	}
	r.placementNeeded = false
	if r.queue.Len() == 0 {
		return
	}
	r.targetLoad = r.currentUtilization()
	ordered := slices.Clone(r.queue.Items())
	slices.SortFunc(ordered, func(a, b *job) int {
		if r.isPlacedBefore(a, b) {
			return -1
		}
		return 1
	})
	minUnplacedCPU := make(map[string]int) // smallest CPU need that found no target, by service
	for _, j := range ordered {
		if minCPU, ok := minUnplacedCPU[j.spec.Service]; ok && j.spec.Need.CPU >= minCPU && j.spec.Label == "" {
			continue
		}
		if !r.placeJob(j) && j.spec.Label == "" {
			minUnplacedCPU[j.spec.Service] = j.spec.Need.CPU
		}
	}
}

// placeJob starts the waiting tasks of a job. It returns false if a task found no target for
// lack of capacity. If a task that avoids targets or a job that may not use all cells finds
// none, that says nothing about the capacity for other jobs, and the result is true.
func (r *Router) placeJob(j *job) bool {
	if r.isQuarantined(j) {
		return true
	}
	for i := range j.tasks {
		k := &j.tasks[i]
		if k.state != taskWaiting || r.now.Before(k.notBefore) || k.previousRun.isLive() {
			continue
		}
		t := r.chooseTarget(j, k)
		if t == nil {
			return len(k.avoidedTargets) > 0 || r.hasExcludedCells(j)
		}
		r.startTask(j, i, t)
	}
	return true
}

// isQuarantined reports whether a queued job may not start now: because its zone has another
// holder, or because runs of a previous holder may still be under way. It holds no capacity
// back from the jobs behind it.
func (r *Router) isQuarantined(j *job) bool {
	c := r.cells[r.zoneOf(j.origin)]
	return c == nil || !c.heldHere || j.reoffered && !r.isQuarantineOver(j)
}

// isQuarantineOver reports whether no run of a previous holder can start or continue unnoticed:
// all targets of the job's previous zones have accepted this host's token since the job was
// offered, or the quarantine has expired. An earlier confirmation is not enough, because a
// previous holder may have held the targets in between, under a claim that is not known here
// yet.
func (r *Router) isQuarantineOver(j *job) bool {
	if r.now.After(j.quarantinedUntil) {
		return true
	}
	for _, zone := range j.previousZones {
		if c := r.cells[zone]; c == nil || !c.heldHere {
			return false // its targets belong to another holder and may not be listed here
		}
	}
	hasConfirmed := func(entry Target) bool {
		t := r.targets[entry.ID]
		return t != nil && t.fenced && !t.lastConfirmedAt.Before(j.offeredAt) || !slices.Contains(j.previousZones, entry.Zone)
	}
	for _, entry := range r.directory.Targets {
		if !hasConfirmed(entry) {
			return false
		}
	}
	for _, s := range r.previousTargets {
		if !hasConfirmed(s.target) {
			return false
		}
	}
	return true
}

// isAcquiredAfter reports whether this host acquired a cell after a job was offered. The host
// of the job's client does not count such a cell among those that a previous holder may have
// used.
func (c *cell) isAcquiredAfter(j *job) bool { return c.acquiredAt.After(j.offeredAt) }

// hasExcludedCells reports whether this host holds cells that a job may not use.
func (r *Router) hasExcludedCells(j *job) bool {
	for _, c := range r.cells {
		if c.heldHere && c.isAcquiredAfter(j) {
			return true
		}
	}
	return false
}

// pollPreviousTargets asks the targets that a previous holder of a job may have used whether
// they accept this host's token.
func (r *Router) pollPreviousTargets(j *job) {
	for _, t := range r.sortedTargets {
		if t.lastConfirmedAt.Before(j.offeredAt) && slices.Contains(j.previousZones, t.Zone) {
			r.pollTarget(t)
		}
	}
}

// chooseTarget returns the best target for a task, or nil if there is none. Apart from the
// penalties, this is the target with the least CPU left (best fit), so that other targets keep
// room for large tasks.
func (r *Router) chooseTarget(j *job, k *task) *target {
	var best *target
	bestLeft := 0
	for _, t := range r.sortedTargets {
		if t.Service != j.spec.Service || !t.Capacity.Minus(t.used).Fits(j.spec.Need) || !t.hasLabel(j.spec.Label) {
			continue
		}
		if k.avoids(t.ID) || !r.isUsable(t) || r.isAtTaskLimit(j, t) || r.cells[t.Zone].isAcquiredAfter(j) {
			continue
		}
		left := t.Capacity.Minus(t.used)
		score := left.CPU - j.spec.Need.CPU + r.penalty(j, t)
		if best == nil || score < bestLeft || score == bestLeft && t.ID < best.ID {
			best, bestLeft = t, score
		}
	}
	return best
}

const (
	// otherRackPenalty outweighs any difference in free CPU, in thousandths of a core: in
	// another rack than its data, a task takes several times as long.
	otherRackPenalty = 4_000_000
	// latePenalty applies to a target where the task is expected to end too late. It also
	// outweighs any difference in free CPU.
	latePenalty = 1_000_000
	// speedPenalty weighs the speed of a target. It keeps fast targets free for tasks that need
	// them.
	speedPenalty = 100_000
	// otherZonePenalty keeps a job's tasks in the zone of its client, so that losing the
	// connection to another zone does not affect them. It outweighs the free CPU of a target
	// and a difference in speed of 40 %.
	otherZonePenalty = 40_000
	// zoneAffinityMaxLoad is the utilization up to which otherZonePenalty applies. Above it,
	// all zones are packed as one pool.
	zoneAffinityMaxLoad = 0.8
	// preferFastMaxLoad is the utilization from which fast targets are left to tasks that need
	// them. If a third of the targets are slow, the fast ones are full at a utilization of two
	// thirds.
	preferFastMaxLoad = 0.6
	// runTimeMarginFactor is the factor on an expected run time that one in six runs exceeds:
	// the logarithms of run times deviate from the prediction by 0.3 (one standard deviation).
	runTimeMarginFactor = 1.35
)

// penalty returns the penalty of a target, in thousandths of a core, which is added to the CPU
// that it has left. Once fast targets are scarce, tasks that finish in time on a slower target
// leave the fast ones to tasks that do not.
func (r *Router) penalty(j *job, t *target) int {
	penalty := 0
	if j.spec.Rack != "" && !t.hasLabel(j.spec.Rack) {
		penalty += otherRackPenalty
	}
	if r.isEnabled(ZoneAffinity) && r.targetLoad < zoneAffinityMaxLoad && r.zoneOf(j.origin) != t.Zone {
		penalty += otherZonePenalty
	}
	expectedRunTime := r.expectedRunTimeAt(j, t)
	if r.now.Add(seconds(expectedRunTime.Seconds()*runTimeMarginFactor) + networkOverhead).After(j.dueAt) {
		return penalty + latePenalty + int(expectedRunTime.Milliseconds())
	}
	if !r.isEnabled(SpeedAwarePlacement) {
		return penalty
	}
	speed := j.taskRunTime.Seconds() / max(expectedRunTime.Seconds(), 1e-3)
	if r.targetLoad < preferFastMaxLoad {
		speed = -speed
	}
	return penalty + int(speedPenalty*speed)
}

// currentUtilization returns the part of the usable targets' CPU that is in use, between 0 and
// 1.
func (r *Router) currentUtilization() float64 {
	used, total := 0, 0
	for _, t := range r.sortedTargets {
		if r.isUsable(t) {
			used += t.used.CPU
			total += t.Capacity.CPU
		}
	}
	return float64(used) / float64(max(total, 1))
}

// hasLabel reports whether a target has the label. Every target has the empty label.
func (t *Target) hasLabel(label string) bool { return label == "" || slices.Contains(t.Labels, label) }

// isAtTaskLimit reports whether a target already runs as many tasks of a job as it may.
func (r *Router) isAtTaskLimit(j *job, t *target) bool {
	if j.spec.MaxPerTarget <= 0 {
		return false
	}
	count := 0
	for _, n := range t.runs {
		if n.job == j {
			count++
		}
	}
	return count >= j.spec.MaxPerTarget
}

// startTask starts a task at a target.
func (r *Router) startTask(j *job, index int, t *target) {
	k := &j.tasks[index]
	if k.run != nil {
		r.reportViolation("one run a task", "%s already has a run at %s", taskName(j.spec.ID, index), k.run.target.ID)
		return
	}
	if !r.transitionTask(j, index, taskStart) {
		return
	}
	name := taskName(j.spec.ID, index)
	if old := t.runs[name]; old != nil {
		r.reportViolation("one run a task", "%s still has another run at %s", name, t.ID)
	}
	k.lastRun++
	n := &run{job: j, task: index, number: k.lastRun, target: t, need: j.spec.Need, state: runStarting, sentAt: r.now, expectedRunTime: r.expectedRunTimeAt(j, t)}
	n.nextPollAt = n.nextPollTime(r.now, firstPollFraction)
	k.run = n
	t.runs[name] = n
	t.used = t.used.plus(n.need)
	j.mayHaveStarted = true
	if j.firstStartAt.IsZero() {
		j.firstStartAt = r.now
		r.emitStageDuration(j, Queued, j.offeredAt)
	}
	r.emit(Decision{Action: "place", Job: j.spec.ID, Task: name, Target: t.ID, Routine: true, Pairs: []any{
		"run", n.number, "token", t.token, "free", t.Capacity.CPU - t.used.CPU, "need", n.need.CPU, "age", r.now.Sub(t.lastConfirmedAt).Round(time.Millisecond).String(),
		"waited", r.now.Sub(j.offeredAt).Round(time.Millisecond).String(),
	}})
	r.sendStart(n)
	if !t.renewing {
		t.nextRenewalAt = time.Time{}
		r.renewTarget(t)
	}
}

// sendStart sends the Start order of a run.
func (r *Router) sendStart(n *run) {
	t := n.target
	r.extendRunExpiry(t)
	r.emit(Start{
		Target: t.Target, Token: t.token, Task: taskName(n.job.spec.ID, n.task), Run: n.number, Spec: n.job.spec.Spec,
		LeaseEnd: t.leaseEnd(r.now, r.Bounds.LeaseDuration), Timeout: r.Bounds.OrderTimeout,
	})
}

package router

import (
	"slices"
	"time"
)

// isMoreUrgent reports whether a is more urgent than b. Jobs that may have started come before
// all others; within each of the two groups, the job that must start sooner comes first.
func isMoreUrgent(a, b *job) bool {
	if a.mayHaveStarted != b.mayHaveStarted {
		return a.mayHaveStarted
	}
	return mustStartEarlier(a, b)
}

// isPlacedBefore reports whether a is placed before b. With ByArrival, the job that arrived
// earlier comes first. Otherwise late jobs come after all others. Within each of these two
// groups, jobs beyond the fair share of their route come after those within it, if both or
// neither may have started; isMoreUrgent decides the rest.
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
	if r.queue.Len() == 0 || !r.knowsEvacuations() {
		return
	}
	if r.now.Sub(r.utilizationAt) >= utilizationInterval {
		r.targetUtilization, r.utilizationAt = r.currentUtilization(), r.now
	}
	minUnplacedCPU := make(map[string]int) // smallest CPU need that found no target, by service
	for _, j := range r.orderedQueue() {
		if minCPU, ok := minUnplacedCPU[j.spec.Service]; ok && j.spec.Need.CPU >= minCPU && j.spec.Label == "" {
			continue
		}
		if !r.placeJob(j) && j.spec.Label == "" {
			minUnplacedCPU[j.spec.Service] = j.spec.Need.CPU
		}
	}
}

// orderedQueue returns the queued jobs in the order of isPlacedBefore.
func (r *Router) orderedQueue() []*job {
	ordered := slices.Clone(r.queue.Items())
	slices.SortFunc(ordered, func(a, b *job) int {
		if r.isPlacedBefore(a, b) {
			return -1
		}
		return 1
	})
	return ordered
}

// placeJob starts the waiting tasks of a job. It returns false only if a task found no target
// although it avoids none and its job may use all cells held here: the capacity is then taken
// not to suffice for the CPU need of the task. Otherwise it returns true, even if nothing was
// started, for instance because the job cannot start yet.
func (r *Router) placeJob(j *job) bool {
	if r.cannotStartYet(j) {
		return true
	}
	for i := range j.tasks {
		k := &j.tasks[i]
		if k.state != taskWaiting || r.now.Before(k.notBefore) || k.previousRun.isLive() || r.isHeldForCrashes(j, i) || r.awaitsLateStart(taskName(j.spec.ID, i)) {
			continue
		}
		t := r.chooseTarget(j, i)
		if t == nil {
			return len(k.avoidedTargets) > 0 || r.hasExcludedCells(j)
		}
		if r.shouldAwaitFasterTarget(j, t) {
			return true
		}
		r.startTask(j, i, t)
	}
	return true
}

// cannotStartYet reports whether a queued job may not start now: because this host does not
// hold the cell of its zone, or because runs of a previous holder or of the holder of another zone may
// still be under way. Such a job keeps no capacity from the jobs behind it.
func (r *Router) cannotStartYet(j *job) bool {
	c := r.cells[j.zone]
	return c == nil || !c.heldHere || j.reoffered && !r.isQuarantineOver(j) || r.runsElsewhere(j)
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
		if c := r.cells[zone]; c == nil || !c.heldHere || !c.listed {
			return false // the zone's targets belong to another holder or are not listed here yet
		}
	}
	needsNoWait := func(entry Target) bool {
		t := r.targets[entry.ID]
		return t != nil && t.fenced && !t.hasUnreadableRuns && !t.lastConfirmedAt.Before(j.offeredAt) || !slices.Contains(j.previousZones, entry.Zone)
	}
	for _, entry := range r.directory.Targets {
		if !needsNoWait(entry) {
			return false
		}
	}
	for _, s := range r.previousTargets {
		if !needsNoWait(s.target) {
			return false
		}
	}
	return true
}

// wasAcquiredAfterOffer reports whether this host acquired a cell after a job was offered. The
// job may not use such a cell: its origin might not list the cell's zone among the previous
// zones when it offers the job to another holder, which would then not wait for runs there.
func (c *cell) wasAcquiredAfterOffer(j *job) bool { return c.acquiredAt.After(j.offeredAt) }

// hasExcludedCells reports whether this host holds cells that a job may not use.
func (r *Router) hasExcludedCells(j *job) bool {
	for _, c := range r.cells {
		if c.heldHere && c.wasAcquiredAfterOffer(j) {
			return true
		}
	}
	return false
}

// pollTargetsOfPreviousZones asks the targets in a job's previous zones, which a previous
// holder may have used, whether they accept this host's token.
func (r *Router) pollTargetsOfPreviousZones(j *job) {
	for _, t := range r.sortedTargets {
		if t.lastConfirmedAt.Before(j.offeredAt) && slices.Contains(j.previousZones, t.Zone) {
			r.pollTarget(t)
		}
	}
}

// chooseTarget returns the best target for a task, or nil if there is none. The lowest score
// wins: the CPU that the target has left beside the task, plus the penalty. Apart from the
// penalties, this is the target with the least CPU left (best fit), so that other targets keep
// room for large tasks.
func (r *Router) chooseTarget(j *job, index int) *target {
	k, crashes := &j.tasks[index], r.crashes.crashesOf(j.spec.ID, index)
	var best *target
	bestScore := 0
	for _, t := range r.sortedTargets {
		if t.Service != j.spec.Service || !r.hasRoomFor(t, j.spec.Need) || !t.hasLabel(j.spec.Label) {
			continue
		}
		if k.avoids(t.ID) || !r.isUsable(t) || r.isAtTaskLimit(j, t) || r.cells[t.Zone].wasAcquiredAfterOffer(j) {
			continue
		}
		left := t.Capacity.Minus(t.used)
		score := left.CPU - j.spec.Need.CPU + r.penalty(j, t) + r.interferencePenaltyOf(j, t) + r.crashPenalty(crashes, t) + r.penaltyOfLastAttempt(j, k, t) + r.orders.penalty(r.now, t.ID, j.spec.Count)
		if best == nil || score < bestScore || score == bestScore && t.ID < best.ID {
			best, bestScore = t, score
		}
	}
	return best
}

// Penalties are in thousandths of a core, like the free CPU to which they are added.
const (
	// otherRackPenalty outweighs any difference in free CPU: in another rack than its data, a
	// task takes several times as long.
	otherRackPenalty = 4_000_000
	// latePenalty applies to a target where the task is expected to end too late. It also
	// outweighs any difference in free CPU. The expected run time in milliseconds is added to
	// it, so that the fastest of several such targets is preferred.
	latePenalty = 1_000_000
	// speedPenalty is the weight of a target's speed relative to a target of average speed.
	// Below preferFastMaxUtilization, fast targets are preferred; from there on, they are left
	// to tasks that need them.
	speedPenalty = 100_000
	// otherZonePenalty keeps a job's tasks in the zone of its client, so that losing the
	// connection to another zone does not affect them. It outweighs the free CPU of a target
	// and equals a difference in speed of 40 % of the average.
	otherZonePenalty = 40_000
	// zoneAffinityMaxUtilization is the utilization below which otherZonePenalty applies. From
	// there on, all zones are packed as one pool.
	zoneAffinityMaxUtilization = 0.8
	// preferFastMaxUtilization is the utilization below which fast targets are preferred. From
	// there on, they are left to tasks that need them. If a third of the targets are slow, the
	// fast ones are full at a utilization of two thirds.
	preferFastMaxUtilization = 0.6
	// utilizationInterval is how often the utilization is computed. Under load, tasks are placed a
	// thousand times a second, and the utilization of a hundred targets hardly changes in 5 ms.
	utilizationInterval = 5 * time.Millisecond
	// runTimeMarginFactor is the factor on an expected run time that one in six runs exceeds:
	// the logarithms of run times deviate from the prediction by 0.3 (one standard deviation).
	runTimeMarginFactor = 1.35
)

// penalty returns the penalty of a target, in thousandths of a core, which is added to the CPU
// that the target has left. From preferFastMaxUtilization on, a task that finishes in time on a
// slower target leaves the fast ones to tasks that would be late there.
func (r *Router) penalty(j *job, t *target) int {
	penalty := 0
	if j.spec.Rack != "" && !t.hasLabel(j.spec.Rack) {
		penalty += otherRackPenalty
	}
	if r.isEnabled(ZoneAffinity) && r.targetUtilization < zoneAffinityMaxUtilization && r.zoneOf(j.origin) != t.Zone {
		penalty += otherZonePenalty
	}
	expectedRunTime := r.placementRunTime(j, t)
	if r.isLateAt(j, t) {
		return penalty + latePenalty + int(expectedRunTime.Milliseconds())
	}
	if !r.isEnabled(SpeedAwarePlacement) {
		return penalty
	}
	speed := j.taskRunTime.Seconds() / max(expectedRunTime.Seconds(), 1e-3)
	if r.targetUtilization < preferFastMaxUtilization {
		speed = -speed
	}
	return penalty + int(speedPenalty*speed)
}

// isLateAt reports whether a task that starts at a target now is expected to end too late for
// the latency objective of its job.
func (r *Router) isLateAt(j *job, t *target) bool {
	expectedRunTime := r.placementRunTime(j, t)
	return r.now.Add(seconds(expectedRunTime.Seconds()*runTimeMarginFactor) + networkOverhead).After(j.dueAt)
}

// currentUtilization returns the utilization of the usable targets: the CPU that runs use there
// divided by their CPU capacity, between 0 and 1. The runs of a target whose capacity has shrunk
// may use more than its capacity; it counts as full.
func (r *Router) currentUtilization() float64 {
	used, total := 0, 0
	for _, t := range r.sortedTargets {
		if r.isUsable(t) {
			used += min(t.used.CPU, t.Capacity.CPU)
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
		r.reportViolation("one run a task", "task %s already has a run at target %s", taskName(j.spec.ID, index), k.run.target.ID)
		return
	}
	if !r.transitionTask(j, index, taskStart) {
		return
	}
	name := taskName(j.spec.ID, index)
	if old := t.runs[name]; old != nil {
		r.reportViolation("one run a task", "task %s still has another run at target %s", name, t.ID)
	}
	k.lastRun++
	n := &run{job: j, task: index, number: k.lastRun, target: t, need: j.spec.Need, state: runStarting, sentAt: r.now, expectedRunTime: r.expectedRunTimeAt(j, t), cold: r.isCold(t), process: max(t.incarnation, t.StartedAt), suspect: len(r.crashes.crashesOf(j.spec.ID, index)) > 0}
	n.nextPollAt = n.nextPollTime(r.now, firstPollFraction)
	k.run = n
	t.addRun(name, n)
	t.used = t.used.plus(n.need)
	if n.suspect {
		t.suspectCount++
	}
	r.recordCompanions(n)
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
	r.startRate.add(r.now)
	leaseEnd, timeout := r.extendLeases(t, max(r.leaseDuration(t), 0)), r.startTimeout(n)
	n.recordAttempt(r.now, leaseEnd)
	n.startedFor = t.listedProcess
	r.emit(Start{
		Target: t.Target, Process: t.process(), Token: t.token, Task: taskName(n.job.spec.ID, n.task), Run: n.number, Spec: n.job.spec.Spec,
		LeaseEnd: leaseEnd, Timeout: timeout,
	})
}

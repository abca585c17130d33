package router

import (
	"slices"
	"time"
)

// isMoreUrgent reports whether a comes before b: jobs that have begun come first, then
// those that must start first.
func isMoreUrgent(a, b *job) bool {
	if a.mayHaveStarted != b.mayHaveStarted {
		return a.mayHaveStarted
	}
	return mustStartEarlier(a, b)
}

// isPlacedBefore reports whether a is placed before b: jobs that are late already come
// last, and before them those beyond the fair share of their route.
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

// isLate reports whether a job can hardly be answered within its objective.
func (r *Router) isLate(j *job) bool { return j.likelyRetry || r.now.After(j.latestStart) }

// mustStartEarlier orders the queue by when jobs must start. The order of two jobs never
// changes.
func mustStartEarlier(a, b *job) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.spec.ID < b.spec.ID
}

// placeTasks starts as many waiting tasks as there is room for.
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
	minUnplacedCPU := make(map[string]int) // least processor need that found no room, by service
	for _, j := range ordered {
		if minCPU, ok := minUnplacedCPU[j.spec.Service]; ok && j.spec.Need.CPU >= minCPU && j.spec.Label == "" {
			continue
		}
		if !r.placeJob(j) && j.spec.Label == "" {
			minUnplacedCPU[j.spec.Service] = j.spec.Need.CPU
		}
	}
}

// placeJob starts the waiting tasks of a job and reports whether all found room.
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

// isQuarantined reports whether a queued job may not be started now: its zone has
// another holder by now, or runs of an earlier one may still be under way. It
// takes no room from the jobs behind it.
func (r *Router) isQuarantined(j *job) bool {
	c := r.cells[r.zoneOf(j.origin)]
	return c == nil || !c.heldHere || j.reoffered && !r.isQuarantineOver(j)
}

// isQuarantineOver reports whether no run of an earlier holder can start or go on unseen:
// all targets of its zones have obeyed this host since the job came, or the time for
// it has passed. That they did before says nothing: an earlier holder may have had
// them in between, under a claim that is not known here yet.
func (r *Router) isQuarantineOver(j *job) bool {
	if r.now.After(j.quarantinedUntil) {
		return true
	}
	for _, zone := range j.previousZones {
		if c := r.cells[zone]; c == nil || !c.heldHere {
			return false // its targets obey another host and may not be listed here
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

// isAcquiredAfter reports whether a cell was taken after a job came. The host of the job does not
// count it among those that an earlier holder may have used.
func (c *cell) isAcquiredAfter(j *job) bool { return c.acquiredAt.After(j.offeredAt) }

// hasExcludedCells reports whether a job may not use all cells that this host holds.
func (r *Router) hasExcludedCells(j *job) bool {
	for _, c := range r.cells {
		if c.heldHere && c.isAcquiredAfter(j) {
			return true
		}
	}
	return false
}

// pollPreviousTargets asks the targets that an earlier holder of a job may have used whether they
// obey this host.
func (r *Router) pollPreviousTargets(j *job) {
	for _, t := range r.sortedTargets {
		if t.lastConfirmedAt.Before(j.offeredAt) && slices.Contains(j.previousZones, t.Zone) {
			r.pollTarget(t)
		}
	}
}

// chooseTarget returns the target for a task: the one whose room the task fills best,
// so that wide tasks still find room; nil if there is none.
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
	// otherRackPenalty outweighs any difference of room, in thousandths of a core:
	// away from its data a task takes several times as long.
	otherRackPenalty = 4_000_000
	// latePenalty does so for a target where the task is expected too late.
	latePenalty = 1_000_000
	// speedPenalty keeps fast targets free for tasks that need them.
	speedPenalty = 100_000
	// otherZonePenalty keeps a job's tasks in the zone of its client, so that the cut of
	// another zone does not take them. It outweighs the room that is left at a
	// target, and a difference in speed of 40 %.
	otherZonePenalty = 40_000
	// zoneAffinityMaxLoad is the load up to which awayPenalty counts: beyond, all zones are packed
	// as one pool.
	zoneAffinityMaxLoad = 0.8
	// preferFastMaxLoad is the load from which fast targets are kept for those tasks: with
	// a third of the targets being slow, they are full at two thirds.
	preferFastMaxLoad = 0.6
	// runTimeMarginFactor is the factor on an expected run time that one in six runs
	// exceeds: run times are off by 0.3 (standard deviation of the logarithm).
	runTimeMarginFactor = 1.35
)

// penalty returns what speaks against a target beside the room that is left. A
// task that would be in time at a slower target too leaves the faster ones, once
// these are scarce, to tasks that would not.
func (r *Router) penalty(j *job, t *target) int {
	penalty := 0
	if j.spec.Rack != "" && !t.hasLabel(j.spec.Rack) {
		penalty += otherRackPenalty
	}
	if r.isEnabled(ZoneAffinity) && r.targetLoad < zoneAffinityMaxLoad && r.zoneOf(j.origin) != t.Zone {
		penalty += otherZonePenalty
	}
	expect := r.expectedRunTimeAt(j, t)
	if r.now.Add(seconds(expect.Seconds()*runTimeMarginFactor) + networkOverhead).After(j.dueAt) {
		return penalty + latePenalty + int(expect.Milliseconds())
	}
	if !r.isEnabled(SpeedAwarePlacement) {
		return penalty
	}
	speed := j.taskRunTime.Seconds() / max(expect.Seconds(), 1e-3)
	if r.targetLoad < preferFastMaxLoad {
		speed = -speed
	}
	return penalty + int(speedPenalty*speed)
}

// currentUtilization returns the part of the processors of usable targets that is in use.
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

// hasLabel reports whether a target has a label; the empty one is had by all.
func (t *Target) hasLabel(label string) bool { return label == "" || slices.Contains(t.Labels, label) }

// isAtTaskLimit reports whether a target has its share of a job's tasks.
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

// startTask orders a target to run a task.
func (r *Router) startTask(j *job, index int, t *target) {
	k := &j.tasks[index]
	if k.run != nil {
		r.reportViolation("one run a task", "%s runs at %s", taskName(j.spec.ID, index), k.run.target.ID)
		return
	}
	if !r.transitionTask(j, index, taskStart) {
		return
	}
	name := taskName(j.spec.ID, index)
	if old := t.runs[name]; old != nil {
		r.reportViolation("one run a task", "%s is still known at %s", name, t.ID)
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

// sendStart sends a run's Start.
func (r *Router) sendStart(n *run) {
	t := n.target
	r.extendRunExpiry(t)
	r.emit(Start{
		Target: t.Target, Token: t.token, Task: taskName(n.job.spec.ID, n.task), Run: n.number, Spec: n.job.spec.Spec,
		LeaseEnd: t.leaseEnd(r.now, r.Bounds.LeaseDuration), Timeout: r.Bounds.OrderTimeout,
	})
}

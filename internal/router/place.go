package router

import (
	"slices"
	"time"
)

// first reports whether a comes before b: jobs that have begun come first, then
// those that must start first.
func first(a, b *job) bool {
	if a.begun != b.begun {
		return a.begun
	}
	return startsEarlier(a, b)
}

// precedes reports whether a is placed before b: jobs that are late already come
// last, and before them those beyond the fair share of their route.
func (r *Router) precedes(a, b *job) bool {
	if r.Policy.QueueOrder == ByArrival && !a.arrived.Equal(b.arrived) {
		return a.arrived.Before(b.arrived)
	}
	if late := r.isLate(a); late != r.isLate(b) {
		return !late
	}
	if a.begun == b.begun && a.excess != b.excess {
		return b.excess
	}
	return first(a, b)
}

// isLate reports whether a job can hardly be answered within its objective.
func (r *Router) isLate(j *job) bool { return j.waited || r.now.After(j.latest) }

// startsEarlier orders the queue by when jobs must start. The order of two jobs never
// changes.
func startsEarlier(a, b *job) bool {
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.spec.ID < b.spec.ID
}

// place starts as many waiting tasks as there is room for.
func (r *Router) place() {
	if !r.dirty {
		return
	}
	r.dirty = false
	if r.queue.Len() == 0 {
		return
	}
	r.busy = r.load()
	list := slices.Clone(r.queue.Items())
	slices.SortFunc(list, func(a, b *job) int {
		if r.precedes(a, b) {
			return -1
		}
		return 1
	})
	full := make(map[string]int) // least processor need that found no room, by service
	for _, j := range list {
		if least, ok := full[j.spec.Service]; ok && j.spec.Need.CPU >= least && j.spec.Label == "" {
			continue
		}
		if !r.placeJob(j) && j.spec.Label == "" {
			full[j.spec.Service] = j.spec.Need.CPU
		}
	}
}

// placeJob starts the waiting tasks of a job and reports whether all found room.
func (r *Router) placeJob(j *job) bool {
	if r.quarantined(j) {
		return true
	}
	for i := range j.tasks {
		k := &j.tasks[i]
		if k.state != taskWaiting || r.now.Before(k.notBefore) || k.former.live() {
			continue
		}
		t := r.choose(j, k)
		if t == nil {
			return len(k.avoided) > 0 || r.isConfined(j)
		}
		r.start(j, i, t)
	}
	return true
}

// quarantined reports whether a queued job may not be started now: its zone has
// another holder by now, or runs of an earlier one may still be under way. It
// takes no room from the jobs behind it.
func (r *Router) quarantined(j *job) bool {
	c := r.cells[r.zoneOf(j.origin)]
	return c == nil || !c.mine || j.resent && !r.isCleared(j)
}

// isCleared reports whether no run of an earlier holder can start or go on unseen:
// all targets of its zones have obeyed this host since the job came, or the time for
// it has passed. That they did before says nothing: an earlier holder may have had
// them in between, under a claim that is not known here yet.
func (r *Router) isCleared(j *job) bool {
	if r.now.After(j.cleared) {
		return true
	}
	for _, zone := range j.zones {
		if c := r.cells[zone]; c == nil || !c.mine {
			return false // its targets obey another host and may not be listed here
		}
	}
	obeys := func(entry Target) bool {
		t := r.targets[entry.ID]
		return t != nil && t.fenced && !t.fresh.Before(j.offered) || !slices.Contains(j.zones, entry.Zone)
	}
	for _, entry := range r.directory.Targets {
		if !obeys(entry) {
			return false
		}
	}
	for _, s := range r.former {
		if !obeys(s.target) {
			return false
		}
	}
	return true
}

// isTakenAfter reports whether a cell was taken after a job came. The host of the job does not
// count it among those that an earlier holder may have used.
func (c *cell) isTakenAfter(j *job) bool { return c.acquired.After(j.offered) }

// isConfined reports whether a job may not use all cells that this host holds.
func (r *Router) isConfined(j *job) bool {
	for _, c := range r.cells {
		if c.mine && c.isTakenAfter(j) {
			return true
		}
	}
	return false
}

// lookAtFormer asks the targets that an earlier holder of a job may have used whether they
// obey this host.
func (r *Router) lookAtFormer(j *job) {
	for _, t := range r.pool {
		if t.fresh.Before(j.offered) && slices.Contains(j.zones, t.Zone) {
			r.look(t)
		}
	}
}

// choose returns the target for a task: the one whose room the task fills best,
// so that wide tasks still find room; nil if there is none.
func (r *Router) choose(j *job, k *task) *target {
	var best *target
	bestLeft := 0
	for _, t := range r.pool {
		if t.Service != j.spec.Service || !t.Capacity.Minus(t.used).Fits(j.spec.Need) || !t.has(j.spec.Label) {
			continue
		}
		if k.avoids(t.ID) || !r.usable(t) || r.crowds(j, t) || r.cells[t.Zone].isTakenAfter(j) {
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
	// farPenalty outweighs any difference of room, in thousandths of a core:
	// away from its data a task takes several times as long.
	farPenalty = 4_000_000
	// latePenalty does so for a target where the task is expected too late.
	latePenalty = 1_000_000
	// fastPenalty keeps fast targets free for tasks that need them.
	fastPenalty = 100_000
	// awayPenalty keeps a job's tasks in the zone of its client, so that the cut of
	// another zone does not take them. It outweighs the room that is left at a
	// target, and a difference in speed of 40 %.
	awayPenalty = 40_000
	// roomy is the load up to which awayPenalty counts: beyond, all zones are packed
	// as one pool.
	roomy = 0.8
	// scarce is the load from which fast targets are kept for those tasks: with
	// a third of the targets being slow, they are full at two thirds.
	scarce = 0.6
	// caution is the factor on an expected run time that one in six runs
	// exceeds: run times are off by 0.3 (standard deviation of the logarithm).
	caution = 1.35
)

// penalty returns what speaks against a target beside the room that is left. A
// task that would be in time at a slower target too leaves the faster ones, once
// these are scarce, to tasks that would not.
func (r *Router) penalty(j *job, t *target) int {
	penalty := 0
	if j.spec.Rack != "" && !t.has(j.spec.Rack) {
		penalty += farPenalty
	}
	if r.uses(ZoneAffinity) && r.busy < roomy && r.zoneOf(j.origin) != t.Zone {
		penalty += awayPenalty
	}
	expect := r.expectAt(j, t)
	if r.now.Add(seconds(expect.Seconds()*caution) + travel).After(j.goal) {
		return penalty + latePenalty + int(expect.Milliseconds())
	}
	if !r.uses(SpeedAwarePlacement) {
		return penalty
	}
	speed := j.task.Seconds() / max(expect.Seconds(), 1e-3)
	if r.busy < scarce {
		speed = -speed
	}
	return penalty + int(fastPenalty*speed)
}

// load returns the part of the processors of usable targets that is in use.
func (r *Router) load() float64 {
	used, total := 0, 0
	for _, t := range r.pool {
		if r.usable(t) {
			used += t.used.CPU
			total += t.Capacity.CPU
		}
	}
	return float64(used) / float64(max(total, 1))
}

// has reports whether a target has a label; the empty one is had by all.
func (t *Target) has(label string) bool { return label == "" || slices.Contains(t.Labels, label) }

// crowds reports whether a target has its share of a job's tasks.
func (r *Router) crowds(j *job, t *target) bool {
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

// start orders a target to run a task.
func (r *Router) start(j *job, index int, t *target) {
	k := &j.tasks[index]
	if k.run != nil {
		r.violate("one run a task", "%s runs at %s", taskName(j.spec.ID, index), k.run.target.ID)
		return
	}
	if !r.move(j, index, taskStart) {
		return
	}
	name := taskName(j.spec.ID, index)
	if old := t.runs[name]; old != nil {
		r.violate("one run a task", "%s is still known at %s", name, t.ID)
	}
	k.last++
	n := &run{job: j, task: index, number: k.last, target: t, need: j.spec.Need, state: runStarting, sent: r.now, expect: r.expectAt(j, t)}
	n.lookAt = n.due(r.now, firstLook)
	k.run = n
	t.runs[name] = n
	t.used = t.used.plus(n.need)
	j.begun = true
	if j.ordered.IsZero() {
		j.ordered = r.now
		r.measure(j, Queued, j.offered)
	}
	r.emit(Decision{Action: "place", Job: j.spec.ID, Task: name, Target: t.ID, Routine: true, Pairs: []any{
		"run", n.number, "token", t.token, "free", t.Capacity.CPU - t.used.CPU, "need", n.need.CPU, "age", r.now.Sub(t.fresh).Round(time.Millisecond).String(),
		"waited", r.now.Sub(j.offered).Round(time.Millisecond).String(),
	}})
	r.order(n)
	if !t.waiting {
		t.next = time.Time{}
		r.renew(t)
	}
}

// order sends a run's Start.
func (r *Router) order(n *run) {
	t := n.target
	r.hold(t)
	r.emit(Start{
		Target: t.Target, Token: t.token, Task: taskName(n.job.spec.ID, n.task), Run: n.number, Spec: n.job.spec.Spec,
		LeaseEnd: t.until(r.now, r.Bounds.LeaseDuration), Timeout: r.Bounds.OrderTimeout,
	})
}

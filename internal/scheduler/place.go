package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
)

const (
	// retryBudget is the maximum of a pool's retry tokens. Each requeued task
	// takes one token.
	retryBudget = 200
	// retryFraction is the number of retry tokens that each start adds: one retry
	// for ten starts.
	retryFraction = 0.1
	// retryPause is how long a pool starts no tasks after its retry budget is used
	// up, and retryBatch is the number of tokens that it then gets.
	retryPause = 100 * time.Millisecond
	retryBatch = 10
	// maxAttempts limits how often one task is sent. It is sent again only if the
	// previous attempt provably did not start it.
	maxAttempts = 100
	// defaultRetryAfter is the delay that a client is told to wait when a task's
	// attempts are used up or the host or service is not ready.
	defaultRetryAfter = time.Second
)

// dispatch starts waiting tasks of the pool until this host's quota is used up.
func (s *Scheduler) dispatch(p *pool) {
	if s.Phase() != Serving && s.Phase() != Draining || s.now.Before(p.pausedUntil) {
		return
	}
	p.quotaExhausted = false
	s.placeTrials(p)
	var deferred []*flow
	limit := p.quota
	for p.active.Len() > 0 {
		if p.running >= limit {
			p.quotaExhausted = true
			break
		}
		f := p.active.Peek()
		if s.exceedsLongShare(f, limit) {
			deferred = append(deferred, p.active.Pop())
			continue
		}
		t := s.Placer.place(s, p)
		if t == nil {
			break
		}
		if !s.startTask(f, t) {
			break
		}
	}
	for _, f := range deferred {
		f.activate()
	}
}

// placeTrials starts one task at each target that is in trial. The slots of a
// target in trial do not count for the quota, and it may be the only target of
// the pool, so a trial ignores the quota (#4).
func (s *Scheduler) placeTrials(p *pool) {
	for _, t := range p.targets {
		if t.state() == Trial && t.ownTasks == 0 && p.active.Len() > 0 {
			s.startTask(p.active.Peek(), t)
		}
	}
}

// usableSlots returns the number of slots of the pool's usable targets.
func (s *Scheduler) usableSlots(p *pool) int {
	n := 0
	for _, t := range p.targets {
		if t.isShared() {
			n += t.slots
		}
	}
	return n
}

// exceedsLongShare reports whether the flow's next task is long and the flow's
// running long tasks already use the part of the slots that the preset allows.
func (s *Scheduler) exceedsLongShare(f *flow, limit int) bool {
	preset := s.config.ActivePreset()
	j := f.jobs.Peek()
	next := j.tasks[j.queue[len(j.queue)-1]]
	if next.expected < preset.LongTaskThreshold {
		return false
	}
	return f.longRunning >= max(1, int(preset.MaxLongTaskFraction*float64(limit)))
}

// Placer chooses a target for the next task of a pool.
type Placer interface {
	// place returns the target, or nil when no target appears to have a free slot.
	place(s *Scheduler, p *pool) *target
}

// LeastLoadedPlacer is the Placer that spreads each host's own tasks evenly over the
// targets, so that hosts with outdated reports do not all choose the same target.
type LeastLoadedPlacer struct{}

// place returns the usable target with a free slot and the lowest placementLoad.
func (LeastLoadedPlacer) place(s *Scheduler, p *pool) *target {
	var best *target
	for i := range p.targets {
		t := p.targets[(i+s.targetOffset)%len(p.targets)]
		if !t.isUsable() || t.freeSlots(s.now) <= 0 {
			continue
		}
		if best == nil || t.placementLoad() < best.placementLoad() {
			best = t
		}
	}
	return best
}

// placementLoad returns the load by which LeastLoadedPlacer compares targets. This
// host's tasks weigh more than the peers' tasks, because reports arrive late. Tasks at
// a slow target weigh more than tasks at a fast one. A peer's tasks beyond its slots
// at the target weigh most: the target holds further tasks back until they end.
func (t *target) placementLoad() float64 {
	return (float64(t.ownTasks+1)+peerTaskWeight*float64(t.peerTasks))*max(1, t.runTimeRatio/2) + outOfRangeWeight*float64(t.outOfRangeTasks)
}

// outOfRangeWeight is the weight of a peer's task that exceeds the peer's slots at
// the target.
const outOfRangeWeight = 4

// peerTaskWeight is the weight of a peer's task; a task of this host weighs 1.
const peerTaskWeight = 0.1

// startTask sends the flow's next task to the target. It reports false when this
// would break an invariant.
func (s *Scheduler) startTask(f *flow, t *target) bool {
	p := f.pool
	j := f.jobs.Peek()
	last := len(j.queue) - 1
	index := j.queue[last]
	k := &j.tasks[index]
	next, ok := taskMachine.Next(k.state, taskSend)
	if !ok {
		s.reportViolation("starts at most once", "job %d task %d is to be sent in state %s", j.number, index, k.state)
		return false
	}
	if t.ownTasks >= t.slots {
		s.reportViolation("declared slots", "target %s would have %d tasks in flight", t.name, t.ownTasks+1)
		return false
	}
	k.state = next
	k.attempts++
	k.target, k.sentAt = t, s.now
	k.isLong = k.expected >= s.config.ActivePreset().LongTaskThreshold
	s.addInFlight(j, k, 1)
	s.dequeue(f, j, k, last)
	j.state, _ = jobMachine.Next(j.state, jobBegin)
	j.startedTasks++
	p.virtualTime = max(p.virtualTime, f.startTag)
	p.retryTokens = min(p.retryTokens+retryFraction, retryBudget)
	f.charge(k.expected)
	s.addRun(t, j, index)
	s.emit(Start{
		Number: j.number, Task: index, Client: j.client, Service: j.service,
		Target: t.name, Address: t.address, Kind: j.specs[index].Kind, Payload: j.specs[index].Payload,
		StartBy:  minTime(j.deadline, s.now.Add(s.Bounds.StartTimeout)),
		AnswerBy: s.now.Add(p.service.MaxRunTime),
	})
	s.emit(Decision{Action: Place, Number: j.number, Task: index, Client: j.client, Target: t.name})
	return true
}

// dequeue removes the task at index last, the next one to start, from the job's
// queue.
func (s *Scheduler) dequeue(f *flow, j *job, k *task, last int) {
	j.queue = j.queue[:last]
	j.queuedWork -= k.expected
	f.queuedWork -= k.expected
	f.waiting--
	s.waitingTasks--
	f.pool.waiting--
	if last == 0 {
		f.jobs.Remove(j)
	}
	if f.waiting == 0 {
		f.pool.active.Remove(f)
	}
}

// addRun adds a run of the task to the target.
func (s *Scheduler) addRun(t *target, j *job, index int) {
	t.runs = append(t.runs, &run{job: j, index: index, sentAt: s.now, kind: j.tasks[index].kind})
}

// addInFlight adds n to all counters of tasks in flight.
func (s *Scheduler) addInFlight(j *job, k *task, n int) {
	k.target.ownTasks += n
	j.inFlight += n
	j.flow.running += n
	j.flow.pool.running += n
	if k.isLong {
		j.flow.longRunning += n
	}
}

// requeue returns a task that provably did not start to the head of its job's
// queue. It aborts the job when the task's attempts are used up, or when the
// process was paused since the job was admitted. When the pool's retry budget is
// used up, the pool starts no tasks for retryPause.
func (s *Scheduler) requeue(j *job, index int, result Result) {
	k := &j.tasks[index]
	p := j.flow.pool
	k.state, _ = taskMachine.Next(k.state, taskRequeue)
	j.startedTasks--
	if j.state == jobFinal {
		return
	}
	if j.startedTasks == 0 {
		j.state, _ = jobMachine.Next(j.state, jobRequeue)
	}
	if j.wasPaused {
		s.abortPausedJob(j)
		return
	}
	if p.retryTokens--; p.retryTokens < 0 {
		p.retryTokens += retryBatch
		p.pausedUntil = s.now.Add(retryPause)
	}
	if k.attempts >= maxAttempts {
		s.abortJob(j, shallotrouter.Overload, "no target took the task; come back after the time given", defaultRetryAfter)
		return
	}
	f := j.flow
	j.queue = append(j.queue, index)
	j.queuedWork += k.expected
	f.queuedWork += k.expected
	f.waiting++
	s.waitingTasks++
	p.waiting++
	if len(j.queue) == 1 {
		f.jobs.Push(j)
	}
	f.activate()
	s.emit(Decision{Action: Requeue, Number: j.number, Task: index, Client: j.client, Target: k.target.name, Reason: string(result)})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
)

const (
	// retryBurst is the size of a pool's retry budget.
	retryBurst = 200
	// retryPart is the part of all starts that may be retries.
	retryPart = 0.1
	// retryPause is how long a pool places nothing once its budget is used up,
	// and retryBatch is the budget that it then gets.
	retryPause = 100 * time.Millisecond
	retryBatch = 10
	// maxAttempts bounds the sends of one task, all but one proven not started.
	maxAttempts = 100
	// retryAfter is the time to come back when the retries are used up.
	retryAfter = time.Second
)

// dispatch starts waiting tasks while this host has slots for them.
func (s *Scheduler) dispatch(p *pool) {
	if s.Phase() != Serving && s.Phase() != Draining || s.now.Before(p.paused) {
		return
	}
	p.blocked = false
	s.try(p)
	var aside []*flow
	limit := p.quota
	for p.active.Len() > 0 {
		if p.running >= limit {
			p.blocked = true
			break
		}
		f := p.active.Top()
		if s.held(f, limit) {
			aside = append(aside, p.active.Pop())
			continue
		}
		t := s.Placer.place(s, p)
		if t == nil {
			break
		}
		if !s.start(f, t) {
			break
		}
	}
	for _, f := range aside {
		f.activate()
	}
}

// try gives one task to each target that is due for a trial. A target in trial
// has no slot in the quota, and may be the only one (#4).
func (s *Scheduler) try(p *pool) {
	for _, t := range p.targets {
		if t.state() == Trial && t.own == 0 && p.active.Len() > 0 {
			s.start(p.active.Top(), t)
		}
	}
}

// slots returns the slots of the pool's usable targets.
func (s *Scheduler) slots(p *pool) int {
	n := 0
	for _, t := range p.targets {
		if t.counted() {
			n += t.slots
		}
	}
	return n
}

// held reports whether the flow's next task is long and the flow already holds
// its part of the slots with long tasks.
func (s *Scheduler) held(f *flow, limit int) bool {
	preset := s.config.Current()
	j := f.jobs.Top()
	next := j.tasks[j.queue[len(j.queue)-1]]
	if next.charge < preset.Long {
		return false
	}
	return f.long >= max(1, int(preset.Hold*float64(limit)))
}

// Placer chooses a target for the next task of a pool.
type Placer interface {
	// place returns nil when no target appears to have a free slot.
	place(s *Scheduler, p *pool) *target
}

// Spreader is the Placer that keeps each host's own tasks even over the
// targets, so that hosts with old reports do not all choose the same one.
type Spreader struct{}

// place returns the usable target with a free slot that has the least load.
func (Spreader) place(s *Scheduler, p *pool) *target {
	var best *target
	for i := range p.targets {
		t := p.targets[(i+s.offset)%len(p.targets)]
		if !t.usable() || t.free(s.now) <= 0 {
			continue
		}
		if best == nil || t.load() < best.load() {
			best = t
		}
	}
	return best
}

// load orders targets: this host's tasks weigh more than the peers', which are
// known late, and a slow target's tasks weigh more than a fast one's. A slot that
// a peer has yet to leave comes last.
func (t *target) load() float64 {
	return (float64(t.own+1)+othersWeight*float64(t.others))*max(1, t.ratio/2) + owedWeight*float64(t.owed)
}

// owedWeight is the weight of a peer's task outside of its range.
const owedWeight = 4

// othersWeight is the weight of a peer's task against an own one.
const othersWeight = 0.1

// start sends the flow's next task to the target. It reports false when that would
// break an invariant.
func (s *Scheduler) start(f *flow, t *target) bool {
	p := f.pool
	j := f.jobs.Top()
	last := len(j.queue) - 1
	index := j.queue[last]
	k := &j.tasks[index]
	next, ok := taskMachine.Next(k.state, taskSend)
	if !ok {
		s.violate("starts at most once", "job %d task %d is sent in state %s", j.number, index, k.state)
		return false
	}
	if t.own >= t.slots {
		s.violate("declared slots", "target %s would have %d tasks in flight", t.name, t.own+1)
		return false
	}
	k.state = next
	k.attempts++
	k.target, k.sent = t, s.now
	k.long = k.charge >= s.config.Current().Long
	s.count(j, k, 1)
	s.take(f, j, k, last)
	j.state, _ = jobMachine.Next(j.state, jobBegin)
	j.begun++
	p.virtual = max(p.virtual, f.tag)
	p.tokens = min(p.tokens+retryPart, retryBurst)
	f.charge(k.charge)
	s.fly(t, j, index)
	s.emit(Start{
		Number: j.number, Task: index, Client: j.client, Service: j.service,
		Target: t.name, Address: t.address, Kind: j.specs[index].Kind, Payload: j.specs[index].Payload,
		By:    earlier(j.deadline, s.now.Add(s.Bounds.Within)),
		Until: s.now.Add(p.service.Longest),
	})
	s.emit(Decide{Action: Place, Number: j.number, Task: index, Client: j.client, Target: t.name})
	return true
}

// take removes the last waiting task from the job's queue.
func (s *Scheduler) take(f *flow, j *job, k *task, last int) {
	j.queue = j.queue[:last]
	j.work -= k.charge
	f.work -= k.charge
	f.waiting--
	s.waiting--
	f.pool.waiting--
	if last == 0 {
		f.jobs.Remove(j)
	}
	if f.waiting == 0 {
		f.pool.active.Remove(f)
	}
}

// fly notes the task among the target's flights.
func (s *Scheduler) fly(t *target, j *job, index int) {
	t.flights = append(t.flights, &flight{job: j, index: index, sent: s.now, kind: j.tasks[index].kind})
}

// count adds to all counters of tasks in flight.
func (s *Scheduler) count(j *job, k *task, n int) {
	k.target.own += n
	j.inflight += n
	j.flow.running += n
	j.flow.pool.running += n
	if k.long {
		j.flow.long += n
	}
}

// requeue puts a task that was proven not to have started back, to be placed
// next, unless its retries or the pool's are used up.
func (s *Scheduler) requeue(j *job, index int, result Result) {
	k := &j.tasks[index]
	p := j.flow.pool
	k.state, _ = taskMachine.Next(k.state, taskReturn)
	j.begun--
	if j.state == jobFinal {
		return
	}
	if j.begun == 0 {
		j.state, _ = jobMachine.Next(j.state, jobRevert)
	}
	if j.paused {
		s.abandonPaused(j)
		return
	}
	if p.tokens--; p.tokens < 0 {
		p.tokens += retryBatch
		p.paused = s.now.Add(retryPause)
	}
	if k.attempts >= maxAttempts {
		s.abandon(j, shallotrouter.Overload, "no target took the task; come back after the time given", retryAfter)
		return
	}
	f := j.flow
	j.queue = append(j.queue, index)
	j.work += k.charge
	f.work += k.charge
	f.waiting++
	s.waiting++
	p.waiting++
	if len(j.queue) == 1 {
		f.jobs.Push(j)
	}
	f.activate()
	s.emit(Decide{Action: Requeue, Number: j.number, Task: index, Client: j.client, Target: k.target.name, Reason: string(result)})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

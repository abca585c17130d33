package bencher

import (
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// target returns the target with the given name.
func (sim *Simulation) target(name string) *Target {
	for _, b := range sim.AllTargets {
		if b.Name == name {
			return b
		}
	}
	panic("unknown target " + name)
}

// sendTask sends a task to its target.
func (sim *Simulation) sendTask(n *EntryHost, e scheduler.Start) {
	sim.Results.TasksSent++
	sent := sim.now
	sub := sim.submissionsByKey[sim.ticketKey(n, e.Number)].sub
	sim.Schedule(sim.IntraZoneDelay, func() { sim.handleStart(n, e, sub, sent) })
}

// ticketKey returns the key of a ticket. It is unique among all incarnations of all
// hosts, since a restarted host is a new entry of EntryHosts.
func (sim *Simulation) ticketKey(n *EntryHost, number uint64) uint64 {
	for i, other := range sim.EntryHosts {
		if other == n {
			return uint64(i)<<ticketKeyShift | number
		}
	}
	panic("unknown host " + n.Name)
}

// ticketKeyShift is the number of bits of a key that hold the ticket number.
const ticketKeyShift = 40

// waitingTask is a task that waits at a target for a slot.
type waitingTask struct {
	startBy time.Time
	start   func()
}

// maxWaitingPerTarget is the maximum number of tasks that wait at a target.
const maxWaitingPerTarget = 52

// handleStart starts a task at its target, queues it there or refuses it.
func (sim *Simulation) handleStart(n *EntryHost, e scheduler.Start, sub *Submission, sent time.Time) {
	b := sim.target(e.Target)
	answer := func(result scheduler.Result, delay time.Duration) {
		sim.Schedule(delay, func() {
			sim.Deliver(n, scheduler.RunEnded{Number: e.Number, Task: e.Task, Target: e.Target, Result: result, Message: "stand-in", Elapsed: sim.now.Sub(sent)})
		})
	}
	switch {
	case b.Exited:
		answer(scheduler.NotSent, sim.IntraZoneDelay)
	case b.Leaving:
		sim.Results.checkLeaving(n, b)
		answer(scheduler.Leaving, sim.IntraZoneDelay)
	case sim.now.After(e.StartBy):
		answer(scheduler.OrderExpired, sim.IntraZoneDelay)
	case b.running < sim.Slots:
		sim.startTask(b, e, sub, answer)
	case len(b.waiting) >= maxWaitingPerTarget || sim.RefuseWhenBusy:
		sim.Results.BusyRefusals++
		answer(scheduler.Busy, sim.IntraZoneDelay)
	default:
		sim.queueTask(b, e, sub, answer)
	}
}

// queueTask makes a task wait at its target until a slot is free or its start-by
// time has passed.
func (sim *Simulation) queueTask(b *Target, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	arrived := sim.now
	task := &waitingTask{startBy: e.StartBy}
	task.start = func() {
		sim.Results.WaitTimeAtTargets += sim.now.Sub(arrived)
		sim.startTask(b, e, sub, answer)
	}
	b.waiting = append(b.waiting, task)
	sim.Schedule(e.StartBy.Sub(sim.now), func() {
		if i := slices.Index(b.waiting, task); i >= 0 {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			sim.Results.BusyRefusals++
			answer(scheduler.OrderExpired, sim.IntraZoneDelay)
		}
	})
}

// startNext starts the task that has waited longest at the target, if any.
func (b *Target) startNext() {
	if len(b.waiting) > 0 {
		task := b.waiting[0]
		b.waiting = b.waiting[1:]
		task.start()
	}
}

// startTask occupies a slot of the target for the run time of the task and sends
// the result afterwards.
func (sim *Simulation) startTask(b *Target, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	sim.Results.recordStart(sub, e.Task)
	if b.FailTasks || sub.AlwaysFails {
		answer(scheduler.Failed, sim.IntraZoneDelay)
		return
	}
	b.running++
	runTime := time.Duration(float64(sub.RunTimes[e.Task]) * b.SlowFactor)
	sim.Results.recordUsage(sub.Client, runTime)
	sim.Schedule(runTime, func() {
		b.running--
		b.startNext()
		if b.Exited {
			answer(sim.lostAnswerResult(), sim.IntraZoneDelay)
			return
		}
		sub.endedTasks[e.Task] = true
		answer(scheduler.Done, sim.IntraZoneDelay)
	})
}

// lostAnswerResult returns the result that is reported for a task whose answer was
// lost.
func (sim *Simulation) lostAnswerResult() scheduler.Result {
	if sim.ReportLostAsUnsent {
		return scheduler.NotSent
	}
	return scheduler.NoAnswer
}

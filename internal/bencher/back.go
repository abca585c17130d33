package bencher

import (
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// target returns the target with the given name.
func (sm *Simulation) target(name string) *Target {
	for _, b := range sm.AllTargets {
		if b.Name == name {
			return b
		}
	}
	panic("unknown target " + name)
}

// sendTask sends a task to its target.
func (sm *Simulation) sendTask(n *EntryHost, e scheduler.Start) {
	sm.Results.TasksSent++
	sent := sm.now
	sub := sm.submissionsByKey[sm.ticketKey(n, e.Number)].sub
	sm.Schedule(sm.IntraZoneDelay, func() { sm.handleStart(n, e, sub, sent) })
}

// ticketKey returns the key of a ticket. It is unique among all incarnations of all
// hosts, since a restarted host is a new entry of EntryHosts.
func (sm *Simulation) ticketKey(n *EntryHost, number uint64) uint64 {
	for i, other := range sm.EntryHosts {
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
func (sm *Simulation) handleStart(n *EntryHost, e scheduler.Start, sub *Submission, sent time.Time) {
	b := sm.target(e.Target)
	answer := func(result scheduler.Result, delay time.Duration) {
		sm.Schedule(delay, func() {
			sm.Deliver(n, scheduler.RunEnded{Number: e.Number, Task: e.Task, Target: e.Target, Result: result, Message: "stand-in", Elapsed: sm.now.Sub(sent)})
		})
	}
	switch {
	case b.Exited:
		answer(scheduler.NotSent, sm.IntraZoneDelay)
	case b.Leaving:
		sm.Results.checkLeaving(n, b)
		answer(scheduler.Leaving, sm.IntraZoneDelay)
	case sm.now.After(e.StartBy):
		answer(scheduler.OrderExpired, sm.IntraZoneDelay)
	case b.running < sm.Slots:
		sm.startTask(b, e, sub, answer)
	case len(b.waiting) >= maxWaitingPerTarget || sm.RefuseWhenBusy:
		sm.Results.BusyRefusals++
		answer(scheduler.Busy, sm.IntraZoneDelay)
	default:
		sm.queueTask(b, e, sub, answer)
	}
}

// queueTask makes a task wait at its target until a slot is free or its start-by
// time has passed.
func (sm *Simulation) queueTask(b *Target, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	arrived := sm.now
	task := &waitingTask{startBy: e.StartBy}
	task.start = func() {
		sm.Results.WaitTimeAtTargets += sm.now.Sub(arrived)
		sm.startTask(b, e, sub, answer)
	}
	b.waiting = append(b.waiting, task)
	sm.Schedule(e.StartBy.Sub(sm.now), func() {
		if i := slices.Index(b.waiting, task); i >= 0 {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			sm.Results.BusyRefusals++
			answer(scheduler.OrderExpired, sm.IntraZoneDelay)
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
func (sm *Simulation) startTask(b *Target, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	sm.Results.recordStart(sub, e.Task)
	if b.FailTasks || sub.AlwaysFails {
		answer(scheduler.Failed, sm.IntraZoneDelay)
		return
	}
	b.running++
	runTime := time.Duration(float64(sub.RunTimes[e.Task]) * b.SlowFactor)
	sm.Results.recordUsage(sub.Client, runTime)
	sm.Schedule(runTime, func() {
		b.running--
		b.startNext()
		if b.Exited {
			answer(sm.lostAnswerResult(), sm.IntraZoneDelay)
			return
		}
		sub.endedTasks[e.Task] = true
		answer(scheduler.Done, sm.IntraZoneDelay)
	})
}

// lostAnswerResult returns the result that is reported for a task whose answer was
// lost.
func (sm *Simulation) lostAnswerResult() scheduler.Result {
	if sm.ReportLostAsUnsent {
		return scheduler.NotSent
	}
	return scheduler.NoAnswer
}

package bencher

import (
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// target returns the target with the given name.
func (w *World) target(name string) *Back {
	for _, b := range w.Backs {
		if b.Name == name {
			return b
		}
	}
	panic("unknown target " + name)
}

// sendTask sends a task to its target.
func (w *World) sendTask(n *Node, e scheduler.Start) {
	w.Tally.Sends++
	sent := w.now
	sub := w.submissionsByKey[w.ticketKey(n, e.Number)].sub
	w.After(w.Near, func() { w.handleStart(n, e, sub, sent) })
}

// ticketKey returns the key of a ticket. It is unique among all incarnations of all
// hosts, since a restarted host is a new entry of Nodes.
func (w *World) ticketKey(n *Node, number uint64) uint64 {
	for i, other := range w.Nodes {
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
func (w *World) handleStart(n *Node, e scheduler.Start, sub *Submission, sent time.Time) {
	b := w.target(e.Target)
	answer := func(result scheduler.Result, delay time.Duration) {
		w.After(delay, func() {
			w.Deliver(n, scheduler.RunEnded{Number: e.Number, Task: e.Task, Target: e.Target, Result: result, Message: "stand-in", Elapsed: w.now.Sub(sent)})
		})
	}
	switch {
	case b.Dead:
		answer(scheduler.NotSent, w.Near)
	case b.Leaving:
		w.Tally.checkLeaving(n, b)
		answer(scheduler.Leaving, w.Near)
	case w.now.After(e.StartBy):
		answer(scheduler.OrderExpired, w.Near)
	case b.running < w.Slots:
		w.startTask(b, e, sub, answer)
	case len(b.waiting) >= maxWaitingPerTarget || w.Refuse:
		w.Tally.Busy++
		answer(scheduler.Busy, w.Near)
	default:
		w.queueTask(b, e, sub, answer)
	}
}

// queueTask makes a task wait at its target until a slot is free or its start-by
// time has passed.
func (w *World) queueTask(b *Back, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	arrived := w.now
	task := &waitingTask{startBy: e.StartBy}
	task.start = func() {
		w.Tally.Held += w.now.Sub(arrived)
		w.startTask(b, e, sub, answer)
	}
	b.waiting = append(b.waiting, task)
	w.After(e.StartBy.Sub(w.now), func() {
		if i := slices.Index(b.waiting, task); i >= 0 {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			w.Tally.Busy++
			answer(scheduler.OrderExpired, w.Near)
		}
	})
}

// startNext starts the task that has waited longest at the target, if any.
func (b *Back) startNext() {
	if len(b.waiting) > 0 {
		task := b.waiting[0]
		b.waiting = b.waiting[1:]
		task.start()
	}
}

// startTask occupies a slot of the target for the run time of the task and sends
// the result afterwards.
func (w *World) startTask(b *Back, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	w.Tally.recordStart(sub, e.Task)
	if b.Fail || sub.Poison {
		answer(scheduler.Failed, w.Near)
		return
	}
	b.running++
	runTime := time.Duration(float64(sub.Runs[e.Task]) * b.Slow)
	w.Tally.recordUsage(sub.Client, runTime)
	w.After(runTime, func() {
		b.running--
		b.startNext()
		if b.Dead {
			answer(w.lostAnswerResult(), w.Near)
			return
		}
		sub.endedTasks[e.Task] = true
		answer(scheduler.Done, w.Near)
	})
}

// lostAnswerResult returns the result that is reported for a task whose answer was
// lost.
func (w *World) lostAnswerResult() scheduler.Result {
	if w.Unproven {
		return scheduler.NotSent
	}
	return scheduler.NoAnswer
}

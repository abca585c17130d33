package bencher

import (
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// back returns the target of that name.
func (w *World) back(name string) *Back {
	for _, b := range w.Backs {
		if b.Name == name {
			return b
		}
	}
	panic("no target " + name)
}

// send brings a task to its target.
func (w *World) send(n *Node, e scheduler.Start) {
	w.Tally.Sends++
	sent := w.now
	sub := w.asked[w.key(n, e.Number)].sub
	w.After(w.Near, func() { w.arrive(n, e, sub, sent) })
}

// key names a ticket of a node's incarnation.
func (w *World) key(n *Node, number uint64) uint64 {
	for i, x := range w.Nodes {
		if x == n {
			return uint64(i)<<keyShift | number
		}
	}
	panic("no node " + n.Name)
}

// keyShift is the number of bits for the ticket number in a key.
const keyShift = 40

// held is a task that waits at a target for a slot.
type held struct {
	by    time.Time
	begin func()
}

// holdBound bounds the tasks that wait at a target.
const holdBound = 52

// arrive starts a task at its target, or refuses it.
func (w *World) arrive(n *Node, e scheduler.Start, sub *Submission, sent time.Time) {
	b := w.back(e.Target)
	answer := func(result scheduler.Result, delay time.Duration) {
		w.After(delay, func() {
			w.Deliver(n, scheduler.Finish{Number: e.Number, Task: e.Task, Target: e.Target, Result: result, Message: "stand-in", Elapsed: w.now.Sub(sent)})
		})
	}
	switch {
	case b.Dead:
		answer(scheduler.Unsent, w.Near)
	case b.Leaving:
		w.Tally.leaving(n, b)
		answer(scheduler.Leaving, w.Near)
	case w.now.After(e.By):
		answer(scheduler.Late, w.Near)
	case b.running < w.Slots:
		w.begin(b, e, sub, answer)
	case len(b.held) >= holdBound || w.Refuse:
		w.Tally.Busy++
		answer(scheduler.Busy, w.Near)
	default:
		w.hold(b, e, sub, answer)
	}
}

// hold lets a task wait at its target until a slot is free or it is late.
func (w *World) hold(b *Back, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	arrived := w.now
	h := &held{by: e.By}
	h.begin = func() {
		w.Tally.Held += w.now.Sub(arrived)
		w.begin(b, e, sub, answer)
	}
	b.held = append(b.held, h)
	w.After(e.By.Sub(w.now), func() {
		if i := slices.Index(b.held, h); i >= 0 {
			b.held = slices.Delete(b.held, i, i+1)
			w.Tally.Busy++
			answer(scheduler.Late, w.Near)
		}
	})
}

// next starts the task that has waited longest at a target.
func (b *Back) next() {
	if len(b.held) > 0 {
		h := b.held[0]
		b.held = b.held[1:]
		h.begin()
	}
}

// begin runs a task.
func (w *World) begin(b *Back, e scheduler.Start, sub *Submission, answer func(scheduler.Result, time.Duration)) {
	w.Tally.start(sub, e.Task)
	if b.Fail || sub.Poison {
		answer(scheduler.Wrong, w.Near)
		return
	}
	b.running++
	run := time.Duration(float64(sub.Runs[e.Task]) * b.Slow)
	w.Tally.busy(sub.Client, run)
	w.After(run, func() {
		b.running--
		b.next()
		if b.Dead {
			answer(w.lost(), w.Near)
			return
		}
		sub.ends[e.Task] = true
		answer(scheduler.Done, w.Near)
	})
}

// lost is how the end of a task is reported whose answer was lost.
func (w *World) lost() scheduler.Result {
	if w.Unproven {
		return scheduler.Unsent
	}
	return scheduler.Lost
}

package router

import "time"

const (
	// firstLook and nextLook are the parts of the expected run time after which
	// a run's progress is looked at, and shortestLook the shortest time.
	firstLook    = 0.2
	nextLook     = 0.3
	shortestLook = 60 * time.Millisecond
	// telling is the least progress, in percent, that tells the run time: it is
	// rounded to whole percents.
	telling = 8
)

// due returns when a run's progress is to be looked at after now.
func (n *run) due(now time.Time, part float64) time.Time {
	return now.Add(max(seconds(n.expect.Seconds()*part), shortestLook))
}

// watchRuns looks at runs whose progress is due.
func (r *Router) watchRuns(t *target) {
	due := false
	for _, n := range t.runs {
		if n.state == runRunning && r.now.After(n.lookAt) && !n.job.over {
			n.lookAt = n.due(r.now, nextLook)
			due = true
		}
	}
	if due {
		r.look(t)
	}
}

// progress takes how far a run has come.
func (r *Router) progress(n *run, percent float64) {
	ran := r.ranFor(n)
	if n.state != runRunning || n.job.over || ran <= 0 {
		return
	}
	n.percent, n.lookAt = percent, n.due(r.now, nextLook)
	if percent >= telling {
		n.total = seconds(ran.Seconds() * hundred / percent)
	}
	r.progressive = r.progressive || percent > 0
	if ran >= tellingRun && n.clock > 0 {
		r.noteRunning(n, ran)
	}
	switch {
	case r.isStuck(n, ran) && r.isSoonerElsewhere(n, ran):
		r.relocate(n, ran)
	case percent >= telling && r.uses(EarlyAbort):
		r.abandonHopeless(n)
	}
}

const hundred = 100

// ranFor returns how long a run has run as its target's clock tells: answers may have
// waited here.
func (r *Router) ranFor(n *run) time.Duration {
	if n.clock == 0 || n.target.listing == 0 {
		return r.now.Sub(n.settled)
	}
	return time.Duration(n.target.listing-n.clock) * time.Millisecond
}

// relocate stops a run so that its task starts at another target.
func (r *Router) relocate(n *run, ran time.Duration) {
	t := n.target
	r.emit(Decision{Action: "move", Job: n.job.spec.ID, Task: taskName(n.job.spec.ID, n.task), Target: t.ID, Pairs: []any{
		"percent", n.percent, "ran", ran.Round(time.Millisecond).String(), "expect", n.expect.Round(time.Millisecond).String(),
	}})
	n.job.tasks[n.task].avoided = append(n.job.tasks[n.task].avoided, t.ID)
	r.halt(n)
}

// abandonHopeless gives a job up as soon as one of its runs shows that it cannot end in
// time.
func (r *Router) abandonHopeless(n *run) {
	j := n.job
	least := seconds(n.total.Seconds() * (n.percent - 1) / n.percent) // the percents are rounded
	end := n.sent.Add(least)
	if !end.After(j.deadline) {
		return
	}
	r.emit(Decision{Action: "foresee", Job: j.spec.ID, Task: taskName(j.spec.ID, n.task), Target: n.target.ID, Pairs: []any{
		"percent", n.percent, "total", n.total.Round(time.Millisecond).String(), "left", j.deadline.Sub(r.now).Round(time.Millisecond).String(),
	}})
	r.giveUp(j, Expired)
}

package router

import "time"

const (
	// graceSlack is the part of the grace that is left for the last answers.
	graceSlack = 500 * time.Millisecond
)

// drain begins a graceful shutdown: the next candidates claim this host's cells,
// and requests are taken until the balancer has noticed.
func (r *Router) drain() {
	if !r.leaving.IsZero() {
		return
	}
	r.leaving = r.now
	r.emit(Decision{Action: "drain", Pairs: []any{"open", len(r.open), "grace", r.Bounds.ShutdownTimeout.String()}})
	r.beatNow()
}

// finish ends the shutdown once nothing is open here, or its time is over.
func (r *Router) finish() {
	if r.leaving.IsZero() || r.halted {
		return
	}
	spent := r.now.Sub(r.leaving)
	if spent < r.Bounds.ShutdownLinger {
		return
	}
	over := spent >= r.Bounds.ShutdownTimeout-graceSlack
	if !over && (len(r.open) > 0 || r.holdsWork()) {
		return
	}
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		v := Verdict{ID: id, Outcome: Unknown, Reason: Stopping}
		r.withdrawQuietly(q)
		r.answer(q, v)
	}
	r.halted = true
	r.emit(Decision{Action: "halt", Pairs: []any{"after", spent.String(), "overdue", over}})
	r.emit(Halt{})
}

func (r *Router) withdrawQuietly(q *request) {
	if p := r.peers[q.holder]; p != nil {
		r.send(p, Message{Withdraw: &Withdraw{ID: q.job.ID}})
	}
}

// holdsWork reports whether jobs depend on this host as their holder.
func (r *Router) holdsWork() bool {
	for _, j := range r.jobs {
		if !j.over {
			return true
		}
	}
	return false
}

package router

import "time"

const (
	// shutdownAnswerReserve is the part of the grace that is left for the last answers.
	shutdownAnswerReserve = 500 * time.Millisecond
)

// handleDrain begins a graceful shutdown: the next candidates claim this host's cells,
// and requests are taken until the balancer has noticed.
func (r *Router) handleDrain() {
	if !r.leavingSince.IsZero() {
		return
	}
	r.leavingSince = r.now
	r.emit(Decision{Action: "drain", Pairs: []any{"open", len(r.openRequests), "grace", r.Bounds.ShutdownTimeout.String()}})
	r.sendHeartbeats()
}

// finishShutdown ends the shutdown once nothing is open here, or its time is over.
func (r *Router) finishShutdown() {
	if r.leavingSince.IsZero() || r.halted {
		return
	}
	elapsed := r.now.Sub(r.leavingSince)
	if elapsed < r.Bounds.ShutdownLinger {
		return
	}
	timedOut := elapsed >= r.Bounds.ShutdownTimeout-shutdownAnswerReserve
	if !timedOut && (len(r.openRequests) > 0 || r.hasOpenHeldJobs()) {
		return
	}
	for _, id := range sortedKeys(r.requestsByJob) {
		q := r.requestsByJob[id]
		v := Verdict{ID: id, Outcome: Unknown, Reason: Stopping}
		r.sendWithdraw(q)
		r.answerRequest(q, v)
	}
	r.halted = true
	r.emit(Decision{Action: "halt", Pairs: []any{"after", elapsed.String(), "overdue", timedOut}})
	r.emit(Halt{})
}

func (r *Router) sendWithdraw(q *request) {
	if p := r.peers[q.holder]; p != nil {
		r.send(p, Message{Withdraw: &Withdraw{ID: q.job.ID}})
	}
}

// hasOpenHeldJobs reports whether jobs depend on this host as their holder.
func (r *Router) hasOpenHeldJobs() bool {
	for _, j := range r.jobs {
		if !j.ended {
			return true
		}
	}
	return false
}

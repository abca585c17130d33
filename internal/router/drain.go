package router

import "time"

const (
	// shutdownAnswerReserve is the part of Bounds.ShutdownTimeout that is reserved for
	// sending the last answers.
	shutdownAnswerReserve = 500 * time.Millisecond
)

// handleDrain begins a graceful shutdown: successors claim this host's cells, and this
// host accepts requests until the load balancer has noticed.
func (r *Router) handleDrain() {
	if !r.leavingSince.IsZero() {
		return
	}
	r.leavingSince = r.now
	r.emit(Decision{Action: "drain", Pairs: []any{"open", len(r.openRequests), "grace", r.Bounds.ShutdownTimeout.String()}})
	r.updateHandover()
	r.sendHeartbeats()
}

// finishShutdown halts once no request and no held job is open, or shortly before the
// shutdown times out.
func (r *Router) finishShutdown() {
	if r.leavingSince.IsZero() || r.halted {
		return
	}
	elapsed := r.now.Sub(r.leavingSince)
	if elapsed < r.Bounds.ShutdownLinger {
		return
	}
	timedOut := elapsed >= r.Bounds.ShutdownTimeout-shutdownAnswerReserve
	if !timedOut && (r.handover.keeps || len(r.openRequests) > 0 || r.hasOpenHeldJobs()) {
		return
	}
	for _, id := range sortedKeys(r.requestsByJob) {
		q := r.requestsByJob[id]
		v := Verdict{ID: id, Outcome: Unknown, Reason: Stopping}
		r.sendWithdraw(q.holder, q)
		r.answerRequest(q, v)
	}
	r.halted = true
	r.emit(Decision{Action: "halt", Pairs: []any{"after", elapsed.String(), "overdue", timedOut}})
	r.emit(Halt{})
}

// hasOpenHeldJobs reports whether jobs that this host holds are still open.
func (r *Router) hasOpenHeldJobs() bool {
	for _, j := range r.jobs {
		if !j.ended {
			return true
		}
	}
	return false
}

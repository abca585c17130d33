package router

import (
	"slices"
	"time"
)

// request is an open job of clients of this host.
type request struct {
	job            Job
	clientRequests []uint64
	arrivedAt      time.Time
	deadline       time.Time
	// holder is the address of the host that has the job, and token the claim
	// under which it was offered; both are zero while none has it.
	holder string
	token  uint64
	// offerCount is how often that holder was offered the job.
	offerCount int
	// previousZones are the zones of the earlier holders; empty until there was one.
	previousZones []string
	doneTasks     []int
	runBase       int
	started       bool
}

const (
	// runNumberStride is the number of runs that one holder may give a task. A target
	// refuses runs below those that have ended there, so the next holder's
	// numbers begin above.
	runNumberStride = 16
	// minTimeLeft is the shortest time in which a job can be handed over and run.
	minTimeLeft = 20 * time.Millisecond
	// noHolderRetryAfter is when to come back while no host holds the cell: the time
	// of a claim by the next successor.
	noHolderRetryAfter = 500 * time.Millisecond
	// answerGrace is how long an answer may come after the client's time is over.
	answerGrace = 50 * time.Millisecond
)

// handleSubmit takes a job of a client.
func (r *Router) handleSubmit(e Submit) {
	if q := r.requestsByJob[e.Job.ID]; q != nil {
		q.clientRequests = append(q.clientRequests, e.Request)
		r.openRequests[e.Request] = q
		return
	}
	q := &request{job: e.Job, clientRequests: []uint64{e.Request}, arrivedAt: r.now, deadline: r.now.Add(e.Budget)}
	r.openRequests[e.Request] = q
	r.requestsByJob[e.Job.ID] = q
	r.offerRequest(q)
}

// offerRequest hands a request to the holder of this host's cell, if there is one.
func (r *Router) offerRequest(q *request) {
	h := r.reachableHolder(r.Self.Zone)
	if h == nil {
		return
	}
	c := r.cells[r.Self.Zone]
	if q.holder == h.Address && q.token == c.claim.Token {
		return
	}
	if r.isSuspect(h.Address) {
		return
	}
	if q.holder != "" {
		r.recordHolderChange(q)
	}
	q.holder, q.token, q.offerCount = h.Address, c.claim.Token, 0
	r.emit(Decision{Action: "offer", Job: q.job.ID, Routine: true, Pairs: []any{
		"holder", h.Name, "token", q.token, "left", q.deadline.Sub(r.now).String(), "resent", len(q.previousZones) > 0, "tasks", q.job.Count,
	}})
	if h.Address == r.Self.Address {
		r.handleOffer(nil, r.newOffer(q))
		return
	}
	r.sendOffer(r.peers[h.Address], q)
}

// isSuspect reports whether a peer has been quiet for longer than a heartbeat and a half.
// What is not offered to it meanwhile can go to the next holder at once, without
// waiting for runs that may have begun.
func (r *Router) isSuspect(address string) bool {
	p := r.peers[address]
	return p != nil && r.now.Sub(p.lastReceivedAt) > r.Bounds.HeartbeatInterval*3/2 && r.isEnabled(SuspectHolderAvoidance)
}

// sendOffer offers a request to another host. One that takes over from an earlier
// holder is first told which targets that holder may have used: the list that it
// has read itself may lack those of a zone that was cut off.
func (r *Router) sendOffer(p *peer, q *request) {
	if len(q.previousZones) > 0 && p.previousTargetsSentToken < q.token {
		p.previousTargetsSentToken = q.token
		r.send(p, Message{PreviousTargets: r.knownTargets(q.previousZones)})
	}
	r.send(p, Message{Offer: r.newOffer(q)})
}

// newOffer returns what a holder is told of a request.
func (r *Router) newOffer(q *request) *Offer {
	q.offerCount++
	return &Offer{
		Job: q.job, TimeLeft: q.deadline.Sub(r.now), Elapsed: r.now.Sub(q.arrivedAt),
		Reoffered: len(q.previousZones) > 0, PreviousZones: q.previousZones, Done: q.doneTasks, RunBase: q.runBase, SubmissionID: q.arrivedAt.UnixNano(),
	}
}

// recordHolderChange notes that a request leaves a holder that may have begun it. The former
// holder learns of the new claim and drops the job by itself; a withdrawal would
// stop tasks that the new holder can take over.
func (r *Router) recordHolderChange(q *request) {
	for _, zone := range sortedKeys(r.cells) {
		used := r.sharesCells(zone) || r.cells[zone].claim.Holder.Address == q.holder
		if used && !slices.Contains(q.previousZones, zone) {
			q.previousZones = append(q.previousZones, zone)
		}
	}
	q.runBase += runNumberStride
	q.holder, q.token = "", 0
}

// offerAllRequests hands every request to the holder in force.
func (r *Router) offerAllRequests() {
	for _, id := range sortedKeys(r.requestsByJob) {
		if q := r.requestsByJob[id]; q != nil {
			r.offerRequest(q)
		}
	}
}

// checkRequests offers requests anew where the holder has changed and answers
// those that cannot be served any more.
func (r *Router) checkRequests() {
	h := r.reachableHolder(r.Self.Zone)
	for _, id := range sortedKeys(r.requestsByJob) {
		q := r.requestsByJob[id]
		if q == nil {
			continue
		}
		if h != nil {
			r.offerRequest(q)
		}
		if r.requestsByJob[id] == q {
			r.answerIfExpired(q, h != nil)
		}
	}
}

// answerIfExpired answers a request whose time is over or that no host will serve.
func (r *Router) answerIfExpired(q *request, hasHolder bool) {
	late := r.now.After(q.deadline.Add(answerGrace))
	minTime := max(q.job.ExpectedRunTime, minTimeLeft)
	unheldSince := later(q.arrivedAt, r.cell(r.Self.Zone).holderlessSince)
	cannotFinish := !hasHolder && (r.now.Add(minTime).After(q.deadline) || r.now.Sub(unheldSince) > noHolderRetryAfter)
	if !late && !cannotFinish {
		return
	}
	v := Verdict{ID: q.job.ID, Outcome: Unknown, Reason: Expired}
	if !hasHolder {
		v.Reason = NoHolder
	}
	if q.holder == "" && len(q.previousZones) == 0 {
		v.Outcome, v.RetryAfter = Refused, noHolderRetryAfter
	}
	if p := r.peers[q.holder]; p != nil && q.holder != "" {
		r.send(p, Message{Withdraw: &Withdraw{ID: q.job.ID}})
	}
	r.answerRequest(q, v)
}

// handleVerdict takes the verdict of a holder.
func (r *Router) handleVerdict(holder string, v Verdict) {
	q := r.requestsByJob[v.ID]
	if q == nil || v.Outcome != Complete && v.SubmissionID != 0 && v.SubmissionID != q.arrivedAt.UnixNano() {
		return // it was for an earlier submission
	}
	if q.holder != holder {
		if v.Outcome == Complete {
			r.answerAndWithdraw(q, v)
		}
		return
	}
	switch {
	case v.Outcome == WrongHolder:
		// It was not taken; watchRequests offers it to the holder in force. An
		// earlier offer to the same holder may have been.
		if q.offerCount > 1 {
			r.recordHolderChange(q)
		}
		q.holder, q.token = "", 0
		return
	case v.Outcome == Refused && len(q.previousZones) > 0:
		v.Outcome = Unknown // an earlier holder may have begun it
	}
	r.answerRequest(q, v)
}

// answerAndWithdraw ends a request that an earlier holder has completed after all.
func (r *Router) answerAndWithdraw(q *request, v Verdict) {
	r.answerRequest(q, v)
	r.withdrawFrom(q.holder, q.job.ID)
}

// withdrawFrom withdraws a job from a holder, or from none for "".
func (r *Router) withdrawFrom(holder, id string) {
	if holder == r.Self.Address {
		r.handleWithdraw(nil, id)
	} else if p := r.peers[holder]; p != nil {
		r.send(p, Message{Withdraw: &Withdraw{ID: id}})
	}
}

// answerRequest ends a request.
func (r *Router) answerRequest(q *request, v Verdict) {
	delete(r.requestsByJob, q.job.ID)
	r.emit(Decision{Action: "answer", Job: q.job.ID, Routine: v.Outcome == Complete, Pairs: []any{
		"outcome", v.Outcome, "reason", v.Reason, "route", q.job.Route, "spent", r.now.Sub(q.arrivedAt).Round(time.Millisecond).String(),
		"left", q.deadline.Sub(r.now).Round(time.Millisecond).String(), "after", v.RetryAfter.String(), "holders", len(q.previousZones),
	}})
	for _, id := range q.clientRequests {
		delete(r.openRequests, id)
		r.emit(Answer{Request: id, Verdict: v})
	}
}

// handleProgress notes tasks that are done.
func (r *Router) handleProgress(p *Progress) {
	for _, m := range p.Tasks {
		if q := r.requestsByJob[m.ID]; q != nil {
			q.started = true
			if !slices.Contains(q.doneTasks, m.Task) {
				q.doneTasks = append(q.doneTasks, m.Task)
			}
		}
	}
}

// handleClientGone drops a client that has gone, and its job with the last of them.
func (r *Router) handleClientGone(e ClientGone) {
	q := r.openRequests[e.Request]
	if q == nil {
		return
	}
	delete(r.openRequests, e.Request)
	q.clientRequests = slices.DeleteFunc(q.clientRequests, func(id uint64) bool { return id == e.Request })
	if len(q.clientRequests) == 0 {
		r.withdrawRequest(q)
	}
}

// withdrawRequest takes a request back from its holder and ends it.
func (r *Router) withdrawRequest(q *request) {
	r.withdrawFrom(q.holder, q.job.ID)
	if r.requestsByJob[q.job.ID] == q {
		r.answerRequest(q, Verdict{ID: q.job.ID, Outcome: Failed, Reason: Withdrawn})
	}
}

// handleCancel withdraws a job on its client's order.
func (r *Router) handleCancel(e Cancel) {
	q := r.requestsByJob[e.ID]
	r.emit(Cancelled{Request: e.Request, Known: q != nil})
	if q != nil {
		r.withdrawRequest(q)
	}
}

// handleCountOpen tells which jobs of this host's clients are open.
func (r *Router) handleCountOpen(e CountOpen) {
	p := OpenJobs{Request: e.Request, Unstarted: make(map[string]int), Open: make(map[string]bool)}
	for id, q := range r.requestsByJob {
		p.Open[id] = q.started
		if !q.started {
			p.Unstarted[q.job.Route]++
		}
	}
	r.emit(p)
}

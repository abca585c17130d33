package router

import (
	"slices"
	"time"
)

// request is an open job of clients of this host.
type request struct {
	job      Job
	ids      []uint64
	arrived  time.Time
	deadline time.Time
	// holder is the address of the host that has the job, and token the claim
	// under which it was offered; both are zero while none has it.
	holder string
	token  uint64
	// sends is how often that holder was offered the job.
	sends int
	// prior are the zones of the earlier holders; empty until there was one.
	prior []string
	done  []int
	base  int
	begun bool
}

const (
	// runStride is the number of runs that one holder may give a task. A target
	// refuses runs below those that have ended there, so the next holder's
	// numbers begin above.
	runStride = 16
	// minLeft is the shortest time in which a job can be handed over and run.
	minLeft = 20 * time.Millisecond
	// unheldRetry is when to come back while no host holds the cell: the time
	// of a claim by the next successor.
	unheldRetry = 500 * time.Millisecond
	// slack is how long an answer may come after the client's time is over.
	slack = 50 * time.Millisecond
)

// submit takes a job of a client.
func (r *Router) submit(e Submit) {
	if q := r.requests[e.Job.ID]; q != nil {
		q.ids = append(q.ids, e.Request)
		r.open[e.Request] = q
		return
	}
	q := &request{job: e.Job, ids: []uint64{e.Request}, arrived: r.now, deadline: r.now.Add(e.Budget)}
	r.open[e.Request] = q
	r.requests[e.Job.ID] = q
	r.offer(q)
}

// offer hands a request to the holder of this host's cell, if there is one.
func (r *Router) offer(q *request) {
	h := r.holderOf(r.Self.Zone)
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
		r.moved(q)
	}
	q.holder, q.token, q.sends = h.Address, c.claim.Token, 0
	r.emit(Decision{Action: "offer", Job: q.job.ID, Routine: true, Pairs: []any{
		"holder", h.Name, "token", q.token, "left", q.deadline.Sub(r.now).String(), "resent", len(q.prior) > 0, "tasks", q.job.Count,
	}})
	if h.Address == r.Self.Address {
		r.offered(nil, r.offerOf(q))
		return
	}
	r.sendOffer(r.peers[h.Address], q)
}

// isSuspect reports whether a peer has been quiet for longer than a heartbeat and a half.
// What is not offered to it meanwhile can go to the next holder at once, without
// waiting for runs that may have begun.
func (r *Router) isSuspect(address string) bool {
	p := r.peers[address]
	return p != nil && r.now.Sub(p.heard) > r.Bounds.HeartbeatInterval*3/2 && r.uses(SuspectHolderAvoidance)
}

// sendOffer offers a request to another host. One that takes over from an earlier
// holder is first told which targets that holder may have used: the list that it
// has read itself may lack those of a zone that was cut off.
func (r *Router) sendOffer(p *peer, q *request) {
	if len(q.prior) > 0 && p.toldFormer < q.token {
		p.toldFormer = q.token
		r.send(p, Message{PreviousTargets: r.sightings(q.prior)})
	}
	r.send(p, Message{Offer: r.offerOf(q)})
}

// offerOf returns what a holder is told of a request.
func (r *Router) offerOf(q *request) *Offer {
	q.sends++
	return &Offer{
		Job: q.job, TimeLeft: q.deadline.Sub(r.now), Elapsed: r.now.Sub(q.arrived),
		Reoffered: len(q.prior) > 0, PreviousZones: q.prior, Done: q.done, RunBase: q.base, SubmissionID: q.arrived.UnixNano(),
	}
}

// moved notes that a request leaves a holder that may have begun it. The former
// holder learns of the new claim and drops the job by itself; a withdrawal would
// stop tasks that the new holder can take over.
func (r *Router) moved(q *request) {
	for _, zone := range sortedKeys(r.cells) {
		used := r.related(zone) || r.cells[zone].claim.Holder.Address == q.holder
		if used && !slices.Contains(q.prior, zone) {
			q.prior = append(q.prior, zone)
		}
	}
	q.base += runStride
	q.holder, q.token = "", 0
}

// reoffer hands every request to the holder in force.
func (r *Router) reoffer() {
	for _, id := range sortedKeys(r.requests) {
		if q := r.requests[id]; q != nil {
			r.offer(q)
		}
	}
}

// watchRequests offers requests anew where the holder has changed and answers
// those that cannot be served any more.
func (r *Router) watchRequests() {
	h := r.holderOf(r.Self.Zone)
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		if q == nil {
			continue
		}
		if h != nil {
			r.offer(q)
		}
		if r.requests[id] == q {
			r.expire(q, h != nil)
		}
	}
}

// expire answers a request whose time is over or that no host will serve.
func (r *Router) expire(q *request, held bool) {
	late := r.now.After(q.deadline.Add(slack))
	least := max(q.job.ExpectedRunTime, minLeft)
	since := later(q.arrived, r.cell(r.Self.Zone).absent)
	hopeless := !held && (r.now.Add(least).After(q.deadline) || r.now.Sub(since) > unheldRetry)
	if !late && !hopeless {
		return
	}
	v := Verdict{ID: q.job.ID, Outcome: Unknown, Reason: Expired}
	if !held {
		v.Reason = NoHolder
	}
	if q.holder == "" && len(q.prior) == 0 {
		v.Outcome, v.RetryAfter = Refused, unheldRetry
	}
	if p := r.peers[q.holder]; p != nil && q.holder != "" {
		r.send(p, Message{Withdraw: &Withdraw{ID: q.job.ID}})
	}
	r.answer(q, v)
}

// judged takes the verdict of a holder.
func (r *Router) judged(holder string, v Verdict) {
	q := r.requests[v.ID]
	if q == nil || v.Outcome != Complete && v.SubmissionID != 0 && v.SubmissionID != q.arrived.UnixNano() {
		return // it was for an earlier submission
	}
	if q.holder != holder {
		if v.Outcome == Complete {
			r.overtake(q, v)
		}
		return
	}
	switch {
	case v.Outcome == WrongHolder:
		// It was not taken; watchRequests offers it to the holder in force. An
		// earlier offer to the same holder may have been.
		if q.sends > 1 {
			r.moved(q)
		}
		q.holder, q.token = "", 0
		return
	case v.Outcome == Refused && len(q.prior) > 0:
		v.Outcome = Unknown // an earlier holder may have begun it
	}
	r.answer(q, v)
}

// overtake ends a request that an earlier holder has completed after all.
func (r *Router) overtake(q *request, v Verdict) {
	r.answer(q, v)
	r.withdrawFrom(q.holder, q.job.ID)
}

// withdrawFrom withdraws a job from a holder, or from none for "".
func (r *Router) withdrawFrom(holder, id string) {
	if holder == r.Self.Address {
		r.withdrawn(nil, id)
	} else if p := r.peers[holder]; p != nil {
		r.send(p, Message{Withdraw: &Withdraw{ID: id}})
	}
}

// answer ends a request.
func (r *Router) answer(q *request, v Verdict) {
	delete(r.requests, q.job.ID)
	r.emit(Decision{Action: "answer", Job: q.job.ID, Routine: v.Outcome == Complete, Pairs: []any{
		"outcome", v.Outcome, "reason", v.Reason, "route", q.job.Route, "spent", r.now.Sub(q.arrived).Round(time.Millisecond).String(),
		"left", q.deadline.Sub(r.now).Round(time.Millisecond).String(), "after", v.RetryAfter.String(), "holders", len(q.prior),
	}})
	for _, id := range q.ids {
		delete(r.open, id)
		r.emit(Answer{Request: id, Verdict: v})
	}
}

// progressed notes tasks that are done.
func (r *Router) progressed(p *Progress) {
	for _, m := range p.Tasks {
		if q := r.requests[m.ID]; q != nil {
			q.begun = true
			if !slices.Contains(q.done, m.Task) {
				q.done = append(q.done, m.Task)
			}
		}
	}
}

// abandon drops a client that has gone, and its job with the last of them.
func (r *Router) abandon(e ClientGone) {
	q := r.open[e.Request]
	if q == nil {
		return
	}
	delete(r.open, e.Request)
	q.ids = slices.DeleteFunc(q.ids, func(id uint64) bool { return id == e.Request })
	if len(q.ids) == 0 {
		r.withdraw(q)
	}
}

// withdraw takes a request back from its holder and ends it.
func (r *Router) withdraw(q *request) {
	r.withdrawFrom(q.holder, q.job.ID)
	if r.requests[q.job.ID] == q {
		r.answer(q, Verdict{ID: q.job.ID, Outcome: Failed, Reason: Withdrawn})
	}
}

// cancel withdraws a job on its client's order.
func (r *Router) cancel(e Cancel) {
	q := r.requests[e.ID]
	r.emit(Cancelled{Request: e.Request, Known: q != nil})
	if q != nil {
		r.withdraw(q)
	}
}

// count tells which jobs of this host's clients are open.
func (r *Router) count(e CountOpen) {
	p := OpenJobs{Request: e.Request, Unstarted: make(map[string]int), Open: make(map[string]bool)}
	for id, q := range r.requests {
		p.Open[id] = q.begun
		if !q.begun {
			p.Unstarted[q.job.Route]++
		}
	}
	r.emit(p)
}

package router

import (
	"cmp"
	"slices"
	"time"
)

// request is an open job that clients of this host have submitted. Several client requests may
// wait for the same job.
type request struct {
	job            Job
	clientRequests []uint64 // numbers of the client requests that wait for the job's answer
	arrivedAt      time.Time
	deadline       time.Time
	// sentOffer is the offer to the current holder. Its holder and token are zero while no host has
	// the job.
	sentOffer
	// zone is the zone for which that holder was offered the job.
	zone string
	// previousZones are the zones whose targets a previous holder may have used. The list is
	// empty until the holder has changed.
	previousZones []string
	// lostZones are the zones that the current holder has lost since the job was offered to it. It
	// may have used their targets.
	lostZones []string
	// unresolvedOffers are the offers to previous holders that may have started the job. The zero
	// value stands for one whose process has ended, so that it stays unresolved.
	unresolvedOffers []sentOffer
	// spill is set while the job is offered to another zone after the own zone's refusal.
	spill spill
	// evacuatedZones are the zones whose holders refused the job because they are evacuated.
	evacuatedZones []string
	doneTasks      []int
	runBase        int  // the run numbers of the current holder start above it
	hasDoneTask    bool // a task of the job was reported done
}

// sentOffer is an offer of a job to a holder, which is repeated over each new link.
type sentOffer struct {
	holder      string // address
	token       uint64 // token of the claim under which the job was offered
	firstSentAt time.Time
	offerCount  int // how often it was sent
}

// mayBeForgotten reports whether the holder of a repeated offer may have ended and forgotten the job
// before it received the last copy, so that its verdict does not tell whether the job has started. All
// builds retain ended jobs for Bounds.VerdictRetention, but not all until their deadline.
func (r *Router) mayBeForgotten(o *sentOffer) bool {
	return o.offerCount > 1 && r.now.Sub(o.firstSentAt) > r.Bounds.VerdictRetention
}

const (
	// runNumberStride is the number of runs of a task that one holder may start. A target
	// refuses run numbers up to the highest that has ended there, so the numbers of the next
	// holder start above.
	runNumberStride = 16
	// minTimeLeft is the shortest time in which a job can be offered and run.
	minTimeLeft = 20 * time.Millisecond
	// noHolderRetryAfter is how long a job waits while no host holds the cell, and the retry
	// delay for clients after that: the time in which the next successor claims the cell.
	noHolderRetryAfter = 500 * time.Millisecond
	// answerGrace is how long after the client's deadline an answer may still arrive.
	answerGrace = 50 * time.Millisecond
)

// handleSubmit handles a job that a client submits. If the job is already open here, the client
// request waits for the same answer.
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

// offerRequest offers a request to the holder of the zone that serves it, unless there is
// none, it already has the job under the same claim, or its heartbeat is overdue.
func (r *Router) offerRequest(q *request) {
	zone := r.zoneFor(q)
	h := r.reachableHolder(zone)
	if h == nil {
		return
	}
	c := r.cells[zone]
	if q.holder == h.Address && q.token == c.claim.Token {
		return
	}
	if r.isSuspect(h.Address) {
		return
	}
	if q.holder != "" {
		r.recordHolderChange(q)
	}
	if q.zone != zone && r.withdrawFromPrevious(q, h.Address) {
		q.arrivedAt = q.arrivedAt.Add(time.Nanosecond) // another submission ID: the previous holders end the first
	}
	q.sentOffer = sentOffer{holder: h.Address, token: c.claim.Token, firstSentAt: r.now}
	q.zone, q.lostZones = zone, nil
	r.emit(Decision{Action: "offer", Job: q.job.ID, Routine: true, Pairs: []any{
		"holder", h.Name, "zone", zone, "token", q.token, "left", q.deadline.Sub(r.now).String(), "resent", len(q.previousZones) > 0, "tasks", q.job.Count,
	}})
	if h.Address == r.Self.Address {
		r.handleOffer(nil, r.newOffer(q))
		return
	}
	r.sendOffer(r.peers[h.Address], q)
}

// isSuspect reports whether no heartbeat was received from a peer for more than one and a half
// heartbeat intervals. A job that is not offered to such a holder can go to the next holder at
// once, without waiting for runs that may have started.
func (r *Router) isSuspect(address string) bool {
	p := r.peers[address]
	return p != nil && r.now.Sub(p.lastHeartbeatReceivedAt) > r.Bounds.HeartbeatInterval*3/2 && r.isEnabled(SuspectHolderAvoidance)
}

// sendOffer offers a request to another host. If the job had a previous holder, the message
// before the offer lists the targets that this holder may have used: the directory that the new
// holder has read may lack targets of a zone that was cut off.
func (r *Router) sendOffer(p *peer, q *request) {
	if len(q.previousZones) > 0 && p.previousTargetsSentToken < q.token {
		p.previousTargetsSentToken = q.token
		r.sendPreviousTargets(p, r.targetsUnknownTo(p, q.previousZones))
	}
	r.send(p, Message{Offer: r.newOffer(q)})
}

// newOffer creates the offer of a request for a holder.
func (r *Router) newOffer(q *request) *Offer {
	q.offerCount++
	crashes, acquittals := r.crashes.reportOfJob(q.job.ID, q.job.Count)
	return &Offer{
		Job: q.job, TimeLeft: q.deadline.Sub(r.now), Elapsed: r.now.Sub(q.arrivedAt),
		Reoffered: len(q.previousZones) > 0, PreviousZones: q.previousZones, Done: q.doneTasks, RunBase: q.runBase, SubmissionID: q.arrivedAt.UnixNano(),
		Zone: q.zone, Token: q.token, Crashes: crashes, Acquittals: acquittals, Incarnation: r.Self.Incarnation,
		ReachableZones: r.reachableZones(q),
	}
}

// recordHolderChange notes that the current holder of a request may have started the job: it
// adds the zones whose targets this holder may have used, reserves new run numbers for the next
// holder and clears the holder. The request is not withdrawn: the previous holder drops the job
// when it receives the new claim, whereas a withdrawal would stop tasks that the new holder can
// take over.
func (r *Router) recordHolderChange(q *request) {
	for _, zone := range sortedKeys(r.cells) {
		used := zone == q.zone || r.sharesCells(q.zone) && r.sharesCells(zone) || r.cells[zone].claim.Holder.Address == q.holder || slices.Contains(q.lostZones, zone)
		if used && !slices.Contains(q.previousZones, zone) {
			q.previousZones = append(q.previousZones, zone)
		}
	}
	q.unresolvedOffers = append(q.unresolvedOffers, q.sentOffer)
	q.runBase += runNumberStride
	q.holder, q.token = "", 0
}

// recordLostZone notes that the holder of a cell loses it to another host.
func (r *Router) recordLostZone(c *cell) {
	for _, q := range r.requestsByJob {
		if q.holder != "" && q.holder == c.claim.Holder.Address {
			q.lostZones = append(q.lostZones, c.zone)
		}
	}
}

// recordHolderRestart notes that the process of a host has ended, which was offered requests and can
// no longer tell whether it has started them. What its next process says about these offers does
// not count.
func (r *Router) recordHolderRestart(address string) {
	for _, q := range r.requestsByJob {
		if q.holder == address {
			r.recordHolderChange(q)
		}
		for i := range q.unresolvedOffers {
			if q.unresolvedOffers[i].holder == address {
				q.unresolvedOffers[i] = sentOffer{}
			}
		}
	}
}

// offerAllRequests offers every request to the current holder.
func (r *Router) offerAllRequests() {
	for _, id := range sortedKeys(r.requestsByJob) {
		if q := r.requestsByJob[id]; q != nil {
			r.offerRequest(q)
		}
	}
}

// checkRequests offers requests again if the holder has changed, and answers those that can no
// longer be served.
func (r *Router) checkRequests() {
	for _, id := range sortedKeys(r.requestsByJob) {
		q := r.requestsByJob[id]
		if q == nil {
			continue
		}
		r.offerRequest(q)
		if r.requestsByJob[id] == q {
			r.answerIfExpired(q)
		}
	}
}

// answerIfExpired answers a request if its deadline and answerGrace are over, or if no holder is
// reachable and the job can no longer finish in time or has waited for more than
// noHolderRetryAfter without a holder.
func (r *Router) answerIfExpired(q *request) {
	zone := r.zoneFor(q)
	hasHolder := r.reachableHolder(zone) != nil
	if q.spill.hasFailed(r.now) && q.holder == "" && len(q.previousZones) == 0 {
		r.endFailedSpill(q)
		return
	}
	expired := r.now.After(q.deadline.Add(answerGrace))
	minTime := max(q.job.ExpectedRunTime, minTimeLeft)
	waitingSince := later(q.arrivedAt, r.cell(cmp.Or(zone, r.Self.Zone)).holderlessSince)
	cannotBeServed := !hasHolder && (r.now.Add(minTime).After(q.deadline) || r.now.Sub(waitingSince) > noHolderRetryAfter)
	if !expired && !cannotBeServed {
		return
	}
	v := Verdict{ID: q.job.ID, Outcome: Unknown, Reason: Expired}
	if !hasHolder {
		v.Reason = NoHolder
	}
	if q.holder == "" && len(q.previousZones) == 0 {
		v.Outcome, v.RetryAfter = Refused, noHolderRetryAfter
	}
	r.sendWithdraw(q.holder, q)
	r.answerRequest(q, v)
}

// handleVerdict handles the verdict of a holder on a request.
func (r *Router) handleVerdict(holder string, v Verdict) {
	r.confirmWithdrawal(holder, v)
	if v.Reason == suspectedCrashes {
		v.Reason, v.RetryAfter = Expired, crashRetention
	}
	q := r.requestsByJob[v.ID]
	if q == nil || v.Outcome != Complete && v.SubmissionID != 0 && v.SubmissionID != q.arrivedAt.UnixNano() {
		return // it belongs to an earlier submission
	}
	if q.holder != holder || v.Token != 0 && v.Token != q.token {
		r.handleLateVerdict(q, holder, v)
		return
	}
	switch v.Outcome {
	case Returned:
		if r.mayBeForgotten(&q.sentOffer) {
			r.recordHolderChange(q)
		}
		q.holder, q.token = "", 0 // checkRequests offers it to the current holder
	case WrongHolder:
		// The holder did not accept the job, so checkRequests offers it to the current holder.
		// If it was offered to the same holder more than once, an earlier offer may have been
		// accepted.
		if q.offerCount > 1 {
			r.recordHolderChange(q)
		}
		q.holder, q.token = "", 0
	case Refused:
		r.handleRefusal(q, v)
	default:
		r.answerRequest(q, v)
	}
}

// handleRefusal handles the refusal of a request by its current holder. Unless a previous holder
// or this one may have started the job, another zone may serve it.
func (r *Router) handleRefusal(q *request, v Verdict) {
	switch {
	case len(q.previousZones) > 0, r.mayBeForgotten(&q.sentOffer):
		v.Outcome = Unknown
	case v.Reason == Evacuated && r.offerElsewhere(q), v.Elsewhere != "" && r.spillRequest(q, v):
		return
	}
	r.answerRequest(q, v)
}

// handleLateVerdict handles the verdict of a previous holder. If none of the previous holders
// has started the job, the current one need not wait for their runs, and its refusal is true.
func (r *Router) handleLateVerdict(q *request, holder string, v Verdict) {
	switch v.Outcome {
	case Complete:
		r.answerAndWithdraw(q, v)
		return
	case Refused, Returned:
	default:
		return
	}
	before := len(q.unresolvedOffers)
	q.unresolvedOffers = slices.DeleteFunc(q.unresolvedOffers, func(o sentOffer) bool {
		return o.holder == holder && o.token == v.Token && !r.mayBeForgotten(&o)
	})
	if before == 0 || len(q.unresolvedOffers) > 0 {
		return
	}
	q.previousZones = nil
	r.emit(Decision{Action: "cleared", Job: q.job.ID, Pairs: []any{"holder", holder, "token", v.Token, "reason", v.Reason}})
	if q.holder == r.Self.Address {
		r.handleOffer(nil, r.newOffer(q))
	} else if p := r.peers[q.holder]; p != nil {
		r.sendOffer(p, q)
	}
}

// answerAndWithdraw answers a request that a previous holder has completed after all, and
// withdraws the job from its current holder.
func (r *Router) answerAndWithdraw(q *request, v Verdict) {
	r.answerRequest(q, v)
	r.withdrawJob(q)
}

// answerRequest ends a request and answers all its clients.
func (r *Router) answerRequest(q *request, v Verdict) {
	delete(r.requestsByJob, q.job.ID)
	r.withdrawFromPrevious(q, q.holder)
	r.emit(Decision{Action: "answer", Job: q.job.ID, Routine: v.Outcome == Complete, Pairs: []any{
		"outcome", v.Outcome, "reason", v.Reason, "route", q.job.Route, "spent", r.now.Sub(q.arrivedAt).Round(time.Millisecond).String(),
		"left", q.deadline.Sub(r.now).Round(time.Millisecond).String(), "after", v.RetryAfter.String(), "holders", len(q.previousZones), "holder", q.holder, "token", q.token,
	}})
	for _, id := range q.clientRequests {
		delete(r.openRequests, id)
		r.emit(Answer{Request: id, Verdict: v})
	}
}

// handleClientGone removes the client request of a client that has disconnected, and withdraws
// the job if no other client request waits for it.
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

// withdrawRequest withdraws a job from its holder and ends the request.
func (r *Router) withdrawRequest(q *request) {
	r.withdrawJob(q)
	if r.requestsByJob[q.job.ID] == q {
		r.answerRequest(q, Verdict{ID: q.job.ID, Outcome: Failed, Reason: Withdrawn})
	}
}

// handleCancel withdraws a job that a client cancels.
func (r *Router) handleCancel(e Cancel) {
	q := r.requestsByJob[e.ID]
	r.emit(Cancelled{Request: e.Request, Known: q != nil})
	if q != nil {
		r.withdrawRequest(q)
	}
}

// handleCountOpen reports the open jobs of this host's clients. OpenJobs.Open has an entry for
// each of them; its value tells whether a task of the job is known to be done.
func (r *Router) handleCountOpen(e CountOpen) {
	openJobs := OpenJobs{Request: e.Request, Unstarted: make(map[string]int), Open: make(map[string]bool)}
	for id, q := range r.requestsByJob {
		openJobs.Open[id] = q.hasDoneTask
		if !q.hasDoneTask {
			openJobs.Unstarted[q.job.Route]++
		}
	}
	r.emit(openJobs)
}

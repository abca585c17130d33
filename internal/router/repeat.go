package router

import "slices"

// submission identifies a submission of a job.
type submission struct {
	origin string // address of the host that received it
	id     int64  // see Offer.SubmissionID
}

// isOfferCurrent reports whether an offer was made under the cell's current claim. One that was
// made under a former claim may have been accepted by a process that this host does not know
// of. Offers of builds that name no claim count as current.
func (c *cell) isOfferCurrent(o *Offer) bool { return o.Token == 0 || o.Token == c.claim.Token }

// assumeEarlierHolder treats a job as one that an earlier holder of its zone may have started. Offers
// that name no claim do not tell whether they were made to the present one.
func (r *Router) assumeEarlierHolder(j *job) {
	j.mayHaveStartedEarlier = true
	if !j.reoffered {
		j.reoffered, j.previousZones, j.quarantinedUntil = true, []string{j.zone}, r.now.Add(r.Bounds.QuarantineDuration)
	}
}

// isLateCopy reports whether an offer is a late copy of an offer whose final verdict was
// already sent to the job's host.
func (j *job) isLateCopy(origin string, o *Offer) bool {
	isFinal := j.verdict.Outcome != WrongHolder && (j.verdict.Outcome != Returned || j.token == o.Token)
	return j.ended && isFinal && j.origin == origin && j.submissionID == o.SubmissionID && o.SubmissionID != 0
}

// isOutdated reports whether an offer is a late copy that belongs to an earlier submission of the
// job than the current one.
func (j *job) isOutdated(origin string, o *Offer) bool {
	if o.SubmissionID == 0 {
		return false
	}
	return origin == j.origin && o.SubmissionID < j.submissionID || slices.Contains(j.earlierSubmissions, submission{origin, o.SubmissionID})
}

// handleOutdatedOffer answers an offer of an earlier submission. It must not start the job, whose
// client may have been told since that the job is not run.
func (r *Router) handleOutdatedOffer(j *job, origin string, o *Offer) {
	r.emit(Decision{Action: "repeat", Job: j.spec.ID, Pairs: []any{"origin", origin, "offered", o.Token, "resent", o.Reoffered, "over", j.ended, "outdated", true}})
	v := Verdict{ID: j.spec.ID, Outcome: Unknown, Reason: j.verdict.Reason, SubmissionID: o.SubmissionID, Token: o.Token}
	if j.ended && (j.verdict.Outcome == Complete || j.verdict.Outcome == Refused) {
		v.Outcome, v.RetryAfter = j.verdict.Outcome, j.verdict.RetryAfter
	}
	r.sendVerdict(origin, v)
}

// canRunAgain reports whether a job has ended in such a way that its client may submit it
// again.
func (j *job) canRunAgain() bool {
	switch j.verdict.Outcome {
	case Unknown, Refused, WrongHolder, Returned:
		return j.ended
	}
	return j.ended && j.verdict.Reason == Withdrawn
}

// inheritSubmissions remembers the earlier submissions of a job that were answered, and the numbers of
// their runs.
func (j *job) inheritSubmissions(earlier *job) {
	if earlier == nil {
		return
	}
	j.runBase = max(j.runBase, earlier.runBase)
	j.mayHaveStartedEarlier = earlier.mayHaveStarted || earlier.mayHaveStartedEarlier
	j.retainedUntil = earlier.retainedUntil
	j.earlierSubmissions = slices.Clone(earlier.earlierSubmissions)
	isOpen := earlier.verdict.Outcome == WrongHolder || earlier.verdict.Outcome == Returned // its host offers it again
	if s := (submission{earlier.origin, earlier.submissionID}); !isOpen && s != (submission{j.origin, j.submissionID}) {
		j.earlierSubmissions = append(j.earlierSubmissions, s)
	}
}

// inheritRuns makes the tasks of a job wait for runs of its earlier submission that may
// continue, and use higher run numbers than these runs.
func (j *job) inheritRuns(earlier *job) {
	if earlier == nil {
		return
	}
	for i := range min(len(j.tasks), len(earlier.tasks)) {
		k, old := &j.tasks[i], &earlier.tasks[i]
		k.lastRun, k.previousRun = max(k.lastRun, old.lastRun), old.run
		if k.previousRun == nil {
			k.previousRun = old.previousRun
		}
	}
}

// handleRepeatedOffer handles an offer of a job that is already known here: its client has
// submitted it again through another host, its host offers it again under another claim, or
// the offer is a late copy of one that was already answered.
func (r *Router) handleRepeatedOffer(j *job, origin string, o *Offer) {
	if !j.ended && j.reoffered && !o.Reoffered && j.submissionID == o.SubmissionID && o.Token != 0 && j.token == o.Token {
		// Under the same claim the job was offered as possibly started first, so this offer is
		// the later one: its previous holders have not started it.
		j.reoffered, j.previousZones = false, nil
		r.placementNeeded = true
	}
	if o.Token > j.token {
		j.offeredAt = r.now // the cells that this host has acquired since may be used
	}
	if s := (submission{j.origin, j.submissionID}); origin != j.origin && !slices.Contains(j.earlierSubmissions, s) {
		j.earlierSubmissions = append(j.earlierSubmissions, s)
	}
	j.origin, j.submissionID, j.token = origin, o.SubmissionID, max(j.token, o.Token)
	j.deadline = later(j.deadline, r.now.Add(o.TimeLeft))
	r.emit(Decision{Action: "repeat", Job: j.spec.ID, Pairs: []any{"origin", origin, "offered", o.Token, "resent", o.Reoffered, "over", j.ended, "outcome", j.verdict.Outcome}})
	if j.ended {
		if v, isOver := r.crashVerdict(j); isOver && j.verdict.Reason == Expired {
			j.verdict.Reason, j.verdict.RetryAfter = v.Reason, v.RetryAfter // found since the verdict
		}
		j.verdict.SubmissionID, j.verdict.Token = o.SubmissionID, j.token
		r.sendVerdict(origin, j.verdict)
	}
}

package router

// isOfferCurrent reports whether an offer was made under the cell's current claim. One that was
// made under a former claim may have been accepted by a process that this host does not know
// of. Offers of builds that name no claim count as current.
func (c *cell) isOfferCurrent(o *Offer) bool { return o.Token == 0 || o.Token == c.claim.Token }

// isLateCopy reports whether an offer is a late copy of an offer whose final verdict was
// already sent to the job's host.
func (j *job) isLateCopy(origin string, o *Offer) bool {
	isFinal := j.verdict.Outcome != WrongHolder && (j.verdict.Outcome != Returned || j.token == o.Token)
	return j.ended && isFinal && j.origin == origin && j.submissionID == o.SubmissionID && o.SubmissionID != 0
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

// inheritRuns makes the tasks of a job wait for runs of its earlier submission that may
// continue, and use higher run numbers than these runs.
func (j *job) inheritRuns(earlier *job) {
	if earlier == nil {
		return
	}
	j.mayHaveStartedEarlier = earlier.mayHaveStarted || earlier.mayHaveStartedEarlier
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
	j.origin, j.submissionID, j.token = origin, o.SubmissionID, max(j.token, o.Token)
	j.deadline = later(j.deadline, r.now.Add(o.TimeLeft))
	r.emit(Decision{Action: "repeat", Job: j.spec.ID, Pairs: []any{"origin", origin, "offered", o.Token, "resent", o.Reoffered, "over", j.ended, "outcome", j.verdict.Outcome}})
	if j.ended {
		j.verdict.SubmissionID, j.verdict.Token = o.SubmissionID, j.token
		r.sendVerdict(origin, j.verdict)
	}
}

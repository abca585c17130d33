package router

import (
	"slices"
	"time"
)

// retainJob retains an ended job for Bounds.VerdictRetention, and until its host has answered the
// client: until then, the host may offer it again.
func (r *Router) retainJob(j *job) {
	j.retainedUntil = later(r.now.Add(r.Bounds.VerdictRetention), j.deadline.Add(answerGrace))
	i, _ := slices.BinarySearchFunc(r.endedJobs, j.retainedUntil, func(other *job, until time.Time) int {
		if other.retainedUntil.After(until) {
			return 1
		}
		return -1
	})
	r.endedJobs = slices.Insert(r.endedJobs, i, j)
}

// forgetJobs removes the ended jobs that need not be retained any more.
func (r *Router) forgetJobs() {
	for len(r.endedJobs) > 0 && r.now.After(r.endedJobs[0].retainedUntil) {
		j := r.endedJobs[0]
		r.endedJobs = r.endedJobs[1:]
		if r.jobs[j.spec.ID] == j {
			delete(r.jobs, j.spec.ID)
		}
	}
}

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

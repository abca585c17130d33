package router

import (
	"slices"
	"time"
)

// retainJob retains an ended job for Bounds.VerdictRetention, and until its host has answered the
// client: until then, the host may offer it again. A job that has replaced one of an earlier
// submission is retained for as long as that one.
func (r *Router) retainJob(j *job) {
	j.retainedUntil = later(j.retainedUntil, later(r.now.Add(r.Bounds.VerdictRetention), j.deadline.Add(answerGrace)))
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

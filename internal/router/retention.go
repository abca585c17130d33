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
	r.unreducedJobs = append(r.unreducedJobs, j)
}

// reduceJobs reduces the ended jobs whose runs are over to what answers repeated offers.
func (r *Router) reduceJobs() {
	r.unreducedJobs = slices.DeleteFunc(r.unreducedJobs, func(j *job) bool {
		if j.hasLiveRuns() {
			return false
		}
		r.openFootprint -= j.footprint(len(j.tasks))
		for i := range j.tasks {
			j.runBase = max(j.runBase, j.tasks[i].lastRun)
		}
		j.tasks, j.previousZones, j.reachableZones = nil, nil, nil
		j.spec = Job{ID: j.spec.ID, Route: j.spec.Route, Service: j.spec.Service, Count: j.spec.Count}
		return true
	})
}

// hasLiveRuns reports whether a run of the job, or of an earlier submission, may still be under way.
func (j *job) hasLiveRuns() bool {
	return j.liveRuns > 0 || slices.ContainsFunc(j.tasks, func(k task) bool { return k.previousRun.isLive() })
}

const (
	// jobFootprint and taskFootprint are the memory in bytes that an open job takes at its holder,
	// without its texts, and each of its tasks while it runs, with its orders.
	jobFootprint  = 2 << 10
	taskFootprint = 1 << 10
)

// footprint returns about how much memory a job with a number of tasks takes while it is open, in bytes.
func (j *job) footprint(tasks int) int {
	return jobFootprint + len(j.spec.Spec) + len(j.spec.Rack) + len(j.spec.Label) + tasks*taskFootprint
}

// exceedsJobMemory reports whether a new job would take more memory than is left for open jobs. A job
// that is alone does not.
func (r *Router) exceedsJobMemory(j *job) bool {
	return r.openFootprint > 0 && r.openFootprint+j.footprint(j.spec.Count) > r.Bounds.JobMemory
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

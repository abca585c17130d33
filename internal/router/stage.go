package router

import "time"

// Stage is a part of a job's way.
type Stage string

const (
	// Accepted lasts from the job's arrival at its host to its holder's acceptance.
	Accepted Stage = "accepted"
	// Queued lasts from there to the order of its first start.
	Queued Stage = "queued"
	// Started lasts from the order of a start to the target's word that it runs.
	Started Stage = "started"
	// Ended lasts from the order of the first start to the verdict.
	Ended Stage = "ended"
)

// StageDuration tells how long a stage of a job of some route took.
type StageDuration struct {
	Route    string
	Stage    Stage
	Duration time.Duration
}

func (StageDuration) effect() {}

// emitStageDuration emits how long a stage took that began at a moment.
func (r *Router) emitStageDuration(j *job, stage Stage, startedAt time.Time) {
	r.emit(StageDuration{Route: j.spec.Route, Stage: stage, Duration: r.now.Sub(startedAt)})
}

// leaseMargin returns the least time until the lease of a held target with runs lapses, or
// the length of a lease when none runs anything.
func (r *Router) leaseMargin() time.Duration {
	margin := r.Bounds.LeaseDuration
	for _, t := range r.targets {
		if len(t.runs) > 0 {
			margin = min(margin, t.runsExpireAt.Sub(r.now))
		}
	}
	return margin
}

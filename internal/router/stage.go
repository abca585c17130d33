package router

import "time"

// Stage is a stage of a job's processing.
type Stage string

const (
	// Accepted lasts from the job's arrival at its host to its acceptance by the
	// holder.
	Accepted Stage = "accepted"
	// Queued lasts from the acceptance to the order of the first start.
	Queued Stage = "queued"
	// Started lasts from the order of a start to the target's answer that the task
	// runs.
	Started Stage = "started"
	// Ended lasts from the order of the first start to the verdict.
	Ended Stage = "ended"
)

// StageDuration is an effect that reports how long a stage of a job took, for metrics.
type StageDuration struct {
	Route    string
	Stage    Stage
	Duration time.Duration
}

func (StageDuration) effect() {}

// emitStageDuration emits the duration of a stage that began at startedAt.
func (r *Router) emitStageDuration(j *job, stage Stage, startedAt time.Time) {
	r.emit(StageDuration{Route: j.spec.Route, Stage: stage, Duration: r.now.Sub(startedAt)})
}

// leaseMargin returns the shortest time until the lease of a target with runs expires,
// or the duration of a lease if no target has runs.
func (r *Router) leaseMargin() time.Duration {
	margin := r.Bounds.LeaseDuration
	for _, t := range r.targets {
		if len(t.runs) > 0 {
			margin = min(margin, t.runsExpireAt.Sub(r.now))
		}
	}
	return margin
}

package router

import (
	"fmt"

	"github.com/shallotrouter/shallotrouter/internal/profiler"
)

const (
	// maxSentTargetSpeeds bounds the target speeds in one heartbeat, of about 30 bytes each. It covers
	// most targets of a zone at the design size (86).
	maxSentTargetSpeeds = 64
	// lastAttemptPenalty applies, for the last attempt of a task that has failed before, to a target
	// that has not lately done well. It outweighs free CPU, zone and speed, but not a late answer.
	lastAttemptPenalty = 300_000
)

// profileOf returns the profile of a target's present process.
func (r *Router) profileOf(t *target) *profiler.Profile {
	t.profile = r.profiler.Profile(t.ID, t.kind(), max(t.incarnation, t.StartedAt))
	return t.profile
}

// profileFactor returns the factor by which tasks take longer at a target than at others of its
// kind, or 1 if it is not known.
func (r *Router) profileFactor(t *target) float64 {
	if !r.isEnabled(TargetProfiling) {
		return 1
	}
	if t.profile == nil {
		return r.profileOf(t).Factor()
	}
	return t.profile.Factor()
}

// placementFactor returns the factor by which a task is expected to take longer at a target than at
// others of its kind when a target is chosen for it. From preferFastMaxUtilization on, all targets are
// needed, and only those that are slow for their kind are told apart: tasks must be packed by what fits,
// and a preference for some targets leaves gaps at the others.
func (r *Router) placementFactor(t *target) float64 {
	if r.targetUtilization < preferFastMaxUtilization || r.isSlowProfile(t) {
		return r.profileFactor(t)
	}
	return 1
}

// speedFactorOf returns a target's factor on the run time, or 1 if it is not known.
func (r *Router) speedFactorOf(t *target) float64 {
	return r.speedFactor(t.kind()) * r.profileFactor(t)
}

// refreshProfiles computes the targets' factors when it is due.
func (r *Router) refreshProfiles() {
	if len(r.targets) == 0 {
		return
	}
	r.placementNeeded = r.placementNeeded || r.profiler.Spread() > 0 // a task may have waited in vain for a faster target
	if r.profiler.Refresh(r.now) {
		r.emit(Decision{Action: "profile", Pairs: []any{"spread", r.profiler.Spread(), "targets", len(r.targets)}})
	}
}

// importProfiles adopts the target speeds that the holder of this host's zone has learned.
func (r *Router) importProfiles(p *peer, heartbeat *Heartbeat) {
	if r.holdsAnyCell() || heartbeat.SpeedSpread == 0 || r.cell(r.Self.Zone).claim.Holder.Address != p.member.Address {
		return
	}
	r.profiler.Import(heartbeat.TargetSpeeds, heartbeat.SpeedSpread, r.now)
	for _, t := range r.sortedTargets {
		t.profile = nil
	}
}

// checkTargetSpeeds checks target speeds that were received from another host.
func checkTargetSpeeds(speeds []profiler.Speed, spread int) error {
	if !profiler.IsSoundSpread(spread) || len(speeds) > maxReceivedTargetSpeeds {
		return &MalformedError{"the spread of target speeds", fmt.Sprintf("%d of %d targets", spread, len(speeds))}
	}
	for _, s := range speeds {
		if !s.IsSound() {
			return &MalformedError{"the speed of a target", fmt.Sprint(s)}
		}
	}
	return nil
}

// maxReceivedTargetSpeeds bounds the target speeds that are taken from one heartbeat. Later builds
// may send more than this one.
const maxReceivedTargetSpeeds = 1000

// blameFor returns by how much a run counts against its target, at most amount. It takes back what
// earlier runs of the job have counted if its tasks turn out to be long.
func (r *Router) blameFor(n *run, amount float64) float64 {
	if !r.isEnabled(TailExemption) {
		return amount
	}
	amount, refunds := n.job.blame.Add(n.target.ID, amount)
	for _, refund := range refunds {
		if t := r.targets[refund.Target]; t != nil && !r.now.Before(t.ejectedUntil) {
			t.slowdownSum = max(t.slowdownSum-refund.Amount, 0)
		}
	}
	return amount
}

// recordTrial records how a run at a target on trial went. A target that fails several trials in
// the same way is steadily slow, which its speed accounts for from then on.
func (r *Router) recordTrial(t *target, logSlowdown float64, failed bool) {
	if t.onTrial && r.isEnabled(TargetProfiling) && r.profileOf(t).RecordTrial(logSlowdown, failed) {
		r.logTarget(t, "profiled", "slowdown", logSlowdown)
	}
}

// penaltyOfLastAttempt returns the penalty of a target for the last attempt of a task that has failed
// before.
func (r *Router) penaltyOfLastAttempt(j *job, k *task, t *target) int {
	if k.failures == 0 || k.failures+1 < j.spec.MaxAttempts || r.profileOf(t).HasDoneWell(r.now) && t.failures == 0 && !t.onTrial {
		return 0
	}
	return lastAttemptPenalty
}

// minSlowProfile is the factor from which a target counts as slow for its kind: more than the usual
// stretch of an objective, so that a long task that starts there at once is late. Tasks do not wait
// for smaller differences.
const minSlowProfile = 1.6

// isSlowProfile reports whether a target is slow compared with others of its kind.
func (r *Router) isSlowProfile(t *target) bool { return r.profileFactor(t) >= minSlowProfile }

// shouldAwaitFasterTarget reports whether a task should not start at a target: it would be late there,
// because the target is slow for its kind, and can still be in time at others once these have room.
func (r *Router) shouldAwaitFasterTarget(j *job, t *target) bool {
	if !r.isEnabled(FasterTargetWait) || !r.isSlowProfile(t) || !r.isLateAt(j, t) {
		return false
	}
	for _, other := range r.sortedTargets {
		if other.Service == j.spec.Service && !r.isSlowProfile(other) && r.isUsable(other) && other.Capacity.Fits(j.spec.Need) && other.hasLabel(j.spec.Label) && !r.isLateAt(j, other) {
			if !j.awaitsFaster {
				j.awaitsFaster = true
				r.emit(Decision{Action: "spare", Job: j.spec.ID, Target: t.ID, Routine: true, Pairs: []any{"expect", r.expectedRunTimeAt(j, t).String(), "due", j.dueAt.Sub(r.now).String()}})
			}
			return true
		}
	}
	return false
}

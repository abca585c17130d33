package router

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// maxUnstopped bounds the jobs in Heartbeat.Unstopped.
const maxUnstopped = 128

// UnstoppedJob is a job that has ended at a holder while a run of it goes on at a target that does not
// answer Stop orders. A client that submits the job again may reach the holder of another zone, which
// must not start it before that run is over.
type UnstoppedJob struct {
	ID string `cbor:"1,keyasint"`
	// Left is after which time the run is over at the latest, because its lease is not extended.
	Left time.Duration `cbor:"2,keyasint"`
}

// checkUnstopped checks the unstopped jobs in a heartbeat.
func checkUnstopped(jobs []UnstoppedJob) error {
	if len(jobs) > maxUnstopped {
		return &MalformedError{"the number of unstopped jobs", strconv.Itoa(len(jobs))}
	}
	for _, u := range jobs {
		if u.ID == "" || u.Left < 0 || u.Left > maxDuration {
			return &MalformedError{"an unstopped job", strconv.Quote(u.ID) + ", " + u.Left.String()}
		}
	}
	return nil
}

// setStopOverdue records whether a Stop order for a run has gone without an answer.
func (r *Router) setStopOverdue(n *run, overdue bool) {
	if n.stopOverdue == overdue {
		return
	}
	n.stopOverdue = overdue
	if !overdue {
		n.target.overdueStops--
		return
	}
	n.target.overdueStops++
	r.emit(Decision{Action: "unstopped", Job: n.job.spec.ID, Task: taskName(n.job.spec.ID, n.task), Target: n.target.ID, Pairs: []any{
		"run", n.number, "state", n.state, "ended", n.job.ended, "extended", n.target.mayExtendLeases(), "lapses", n.target.runsExpireAt.Sub(r.now).String(),
	}})
}

// retryStops sends a Stop order again for each run that is stopping or whose Start was not
// answered, at most once in stopRetryInterval.
func (r *Router) retryStops(t *target) {
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		if (n.state == runStopping || n.state == runUnconfirmed) && r.now.Sub(n.stopSentAt) >= stopRetryInterval {
			n.stops = 0
			r.stopRun(n)
		}
	}
}

// awaitsStop reports whether a run at a target does not obey Stop orders. The leases there are not extended
// then, so that the run ends before its client submits the job again. This does not depend on who holds the other
// zones now: a host that the network separates from this one may become their holder, and knows nothing of the run.
func (t *target) awaitsStop() bool { return t.overdueStops > 0 }

// mayExtendLeases reports whether orders extend the leases of a target's runs. They do not while the target
// has orphans, which would run on, while it is unresponsive, since its tasks can start elsewhere only after
// the leases have expired, or while it does not answer a Stop.
func (t *target) mayExtendLeases() bool {
	return !t.hasOrphans() && t.missedRenewals == 0 && !t.awaitsStop()
}

// lastContact returns when the host of a job was last known to have its client: for an ended job, when it ended at
// the latest. A host that was paused for a time may learn only after its next tick that the client has left meanwhile.
// So the time of an open job is the tick before the last one if it is of this host's client, and otherwise when this
// host sent the last heartbeat that the job's host has echoed, less the lag of that host.
func (r *Router) lastContact(j *job) time.Time {
	if j.ended {
		return j.lastContactAt
	}
	if j.origin == r.Self.Address {
		return later(r.lag.previousTickAt, j.offeredAt)
	}
	if p := r.peers[j.origin]; p != nil {
		return p.lastEchoedAt.Add(-p.lag)
	}
	return j.offeredAt
}

// leaseDuration returns the duration of a lease at a target that begins now: Bounds.LeaseDuration, or less if a
// run there might otherwise outlast Bounds.RetryDelay after its last contact. It may be negative.
func (r *Router) leaseDuration(t *target) time.Duration {
	lease := r.Bounds.LeaseDuration
	margin := r.longestLease(lease) - lease
	for _, n := range t.runs {
		lease = min(lease, r.lastContact(n.job).Add(r.Bounds.RetryDelay-margin).Sub(r.now))
	}
	return lease
}

// unstoppedJobs returns the ended jobs with runs that do not obey Stop orders, those that last longest
// first.
func (r *Router) unstoppedJobs() []UnstoppedJob {
	left := make(map[string]time.Duration)
	for _, j := range r.unreducedJobs {
		for i := range j.tasks {
			if n := j.tasks[i].run; n.isLive() && n.stopOverdue {
				left[j.spec.ID] = max(left[j.spec.ID], n.target.runsExpireAt.Sub(r.now), 0)
			}
		}
	}
	if len(left) == 0 {
		return nil
	}
	jobs := make([]UnstoppedJob, 0, len(left))
	for id, l := range left {
		jobs = append(jobs, UnstoppedJob{ID: id, Left: l})
	}
	slices.SortFunc(jobs, func(a, b UnstoppedJob) int { return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.ID, b.ID)) })
	return jobs[:min(len(jobs), maxUnstopped)]
}

// remoteRuns are runs of unstopped jobs at other holders: until when each may go on, by job ID and by the
// address of the holder.
type remoteRuns map[string]map[string]time.Time

// update replaces the jobs of a holder, whose runs end after the longest lease at the latest. It reports
// whether a job has no runs left because of that.
func (m remoteRuns) update(now time.Time, holder string, jobs []UnstoppedJob, longestLease time.Duration) (released bool) {
	before := len(m)
	m.deleteFunc(func(address string, _ time.Time) bool { return address == holder })
	released = len(m) < before
	for _, u := range jobs {
		if m[u.ID] == nil {
			m[u.ID] = make(map[string]time.Time)
		}
		m[u.ID][holder] = now.Add(min(u.Left, longestLease))
	}
	return released
}

// expire removes the runs that are over. It reports whether a job has none left because of that.
func (m remoteRuns) expire(now time.Time) (released bool) {
	before := len(m)
	m.deleteFunc(func(_ string, until time.Time) bool { return !until.After(now) })
	return len(m) < before
}

func (m remoteRuns) deleteFunc(del func(address string, until time.Time) bool) {
	for id, holders := range m {
		maps.DeleteFunc(holders, del)
		if len(holders) == 0 {
			delete(m, id)
		}
	}
}

// until returns until when runs of a job may go on at other holders; zero if none does.
func (m remoteRuns) until(id string) time.Time {
	var until time.Time
	for _, end := range m[id] {
		until = later(until, end)
	}
	return until
}

// runsElsewhere reports whether a run of an earlier submission of a job may go on in the zone of another
// holder.
func (r *Router) runsElsewhere(j *job) bool {
	return len(r.remoteRuns) > 0 && r.remoteRuns.until(j.spec.ID).After(r.now)
}

// hasEarlierRuns reports whether runs of earlier submissions of a job may go on, here or elsewhere. Such a job
// is not sent to another zone, whose holder might not know of these runs.
func (r *Router) hasEarlierRuns(j *job) bool { return j.hasLiveRuns() || r.runsElsewhere(j) }

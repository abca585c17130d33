package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/holder"
	"github.com/shallotrouter/shallotrouter/internal/profiler"
)

// job is a job that this host holds, as the holder of its zone.
type job struct {
	holder.Index // position in Router.queue (package holder provides the heap)

	spec         Job
	origin       string // address of the host that received the job from its client
	zone         string // zone of the cell for which the job was offered
	token        uint64 // token of the claim under which the job was offered
	submissionID int64  // identifies the submission; see Offer.SubmissionID
	// earlierSubmissions are those that were answered before this one was offered, or that the client has
	// replaced by one through another host.
	earlierSubmissions []submission
	// tasks is empty for a job that was refused when it was offered, and for an ended job whose runs are
	// over; see reduceJobs.
	tasks        []task
	waitingCount int // tasks in state taskWaiting
	doneCount    int
	runBase      int // the runs of its tasks have higher numbers
	liveRuns     int // its runs that may be under way, also those that another run has made redundant
	// mayHaveStarted is set once a task may have started.
	mayHaveStarted bool
	// mayHaveStartedEarlier is set if a task may have started for an earlier submission.
	mayHaveStartedEarlier bool
	// ended is set once the verdict is given.
	ended   bool
	verdict Verdict
	// lastContactAt is set when the job ends; see Router.lastContact.
	lastContactAt time.Time
	// retainedUntil is until when the ended job is known here; see retainJob.
	retainedUntil time.Time

	arrivedAt    time.Time // at the host of its client
	offeredAt    time.Time // at this host
	firstStartAt time.Time // first start that this host ordered
	deadline     time.Time
	// taskRunTime is the expected run time of one task at a target of average speed.
	taskRunTime time.Duration
	// expectedRunTime is the expected run time of the whole job, and latestStart the latest
	// time to start its tasks for an answer within the latency objective.
	expectedRunTime time.Duration
	latestStart     time.Time
	dueAt           time.Time // end of the latency objective
	// reoffered is set if the job was offered to another holder before. Its tasks may start
	// again after quarantinedUntil even if not all targets have accepted this host's token by
	// then.
	reoffered        bool
	quarantinedUntil time.Time
	previousZones    []string
	// reachableZones are the zones to which the job can be referred.
	reachableZones []string
	// likelyRetry is set if the client has probably waited for an answer in an earlier try.
	likelyRetry bool
	// exceedsShare is set if the job's route exceeded its fair share when the job arrived.
	exceedsShare bool
	blame        profiler.Blame // how its runs have counted against targets
	// awaitsFaster is set once a task of the job has waited for a faster target.
	awaitsFaster bool
}

// handleOffer handles a job that the host of its client offers. A nil peer stands for this
// host.
func (r *Router) handleOffer(p *peer, o *Offer) {
	origin := r.Self
	if p != nil {
		origin = p.member
	}
	r.mergeCrashes(o.Crashes, o.Acquittals, origin.Address)
	c := r.cells[cmp.Or(o.Zone, origin.Zone)]
	// The offer may have been in transit since the connection was cut.
	stale := p != nil && !(r.isReachable(p) && r.mayRunJobsOf(p))
	if c == nil || !c.heldHere || stale || !c.isOfferCurrent(o) {
		token, held := uint64(0), false
		if c != nil {
			token, held = c.claim.Token, c.heldHere
		}
		r.emit(Decision{Action: "misdirect", Job: o.Job.ID, Routine: true, Pairs: []any{
			"origin", origin.Address, "offered", o.Token, "token", token, "held", held, "stale", stale,
		}})
		r.sendVerdict(origin.Address, Verdict{ID: o.Job.ID, Outcome: WrongHolder, SubmissionID: o.SubmissionID, Token: o.Token})
		return
	}
	previous := r.jobs[o.Job.ID]
	if previous != nil && previous.isOutdated(origin.Address, o) {
		r.handleOutdatedOffer(previous, origin.Address, o)
		return
	}
	if previous != nil && (!previous.canRunAgain() || previous.isLateCopy(origin.Address, o)) {
		r.handleRepeatedOffer(previous, origin.Address, o)
		return
	}
	if p != nil && p.hasOvertaken(o) {
		r.emit(Decision{Action: "overtaken", Job: o.Job.ID, Routine: true, Pairs: []any{"origin", origin.Address, "offered", o.Token}})
		return
	}
	r.admitOffer(origin, o, previous)
}

// admitOffer accepts or refuses a job that is not open here. previous is an ended job with its ID,
// or nil.
func (r *Router) admitOffer(origin Member, o *Offer, previous *job) {
	j := r.newJob(origin, o)
	r.restoreTasks(j, o.Done, previous)
	if c := r.cells[j.zone]; o.Token == 0 && j.arrivedAt.Before(c.acquiredAt) {
		r.assumeEarlierHolder(j)
	}
	if until := r.remoteRuns.until(j.spec.ID); until.After(r.now) {
		j.mayHaveStartedEarlier = true
		r.emit(Decision{Action: "await", Job: j.spec.ID, Pairs: []any{"until", until.Sub(r.now).String()}})
	}
	if o.TimeLeft <= 0 { // a repeated offer of a job that may be forgotten here
		j.mayHaveStartedEarlier = true
	}
	j.likelyRetry = r.isLikelyRetry(j)
	if v, refused := r.admit(j); refused {
		v.Outcome = j.reportableOutcome(v.Outcome)
		if v.Outcome == Refused && v.Reason == Overload && v.Elsewhere == "" && j.zone == origin.Zone {
			v.Elsewhere = r.zoneWithHeadroom(j)
		}
		if !v.Referred {
			r.emit(Decision{Action: "refuse", Job: j.spec.ID, Pairs: r.decisionPairs(j, "reason", v.Reason, "after", v.RetryAfter.String(), "elsewhere", v.Elsewhere)})
		}
		r.refuseJob(j, v)
		return
	}
	r.emit(Decision{Action: "admit", Job: j.spec.ID, Pairs: r.decisionPairs(j), Routine: true})
	r.emitStageDuration(j, Accepted, j.arrivedAt)
	if len(j.tasks) == 0 {
		r.createTasks(j)
	}
	r.openFootprint += j.footprint(len(j.tasks))
	r.jobs[j.spec.ID] = j
	r.recordDeadline(j)
	if j.reoffered {
		r.pollTargetsOfPreviousZones(j)
	}
	r.matchListedRuns(j)
	r.endOrEnqueueJob(j)
	r.placementNeeded = true
}

// recordDeadline takes account of an open job's deadline. Most jobs in the list have ended, so that it
// is searched only once a job may have expired.
func (r *Router) recordDeadline(j *job) {
	if r.nextDeadline.IsZero() || j.deadline.Before(r.nextDeadline) {
		r.nextDeadline = j.deadline
	}
}

// refuseJob ends a job that was not admitted and sends the verdict. The job is retained, because
// a copy of its offer may still arrive over a connection that was replaced.
func (r *Router) refuseJob(j *job, v Verdict) {
	v.SubmissionID, v.Token = j.submissionID, j.token
	r.closeJob(j, v)
	r.openFootprint += j.footprint(len(j.tasks))
	r.jobs[j.spec.ID] = j
	r.retainJob(j)
	r.sendVerdict(j.origin, v)
}

// isLive reports whether a run may still be under way. It is false for nil.
func (n *run) isLive() bool {
	return n != nil && n.target.runs[taskName(n.job.spec.ID, n.task)] == n
}

// newJob creates a job from an offer, without its tasks. An offer that is refused costs little then,
// however many tasks it has.
func (r *Router) newJob(origin Member, o *Offer) *job {
	j := &job{
		spec: o.Job, origin: origin.Address, zone: cmp.Or(o.Zone, origin.Zone), token: o.Token, submissionID: o.SubmissionID, waitingCount: o.Job.Count, runBase: o.RunBase,
		offeredAt: r.now, arrivedAt: r.now.Add(-boundDuration(o.Elapsed)), deadline: r.now.Add(min(o.TimeLeft, maxDuration)),
		reoffered: o.Reoffered, previousZones: o.PreviousZones, reachableZones: o.ReachableZones,
	}
	j.spec.ExpectedRunTime, j.spec.Allowance = boundDuration(j.spec.ExpectedRunTime), boundDuration(j.spec.Allowance)
	j.SetHeapIndex(-1)
	if j.reoffered {
		j.quarantinedUntil = r.now.Add(r.Bounds.QuarantineDuration)
	}
	r.planStart(j)
	return j
}

// boundDuration returns a duration that cannot be negative within its bounds.
func boundDuration(d time.Duration) time.Duration { return min(max(d, 0), maxDuration) }

// matchListedRuns matches the tasks of a new job with the orphans and unmatched ends of all
// targets: it completes tasks that are done there and adopts runs that are under way.
func (r *Router) matchListedRuns(j *job) {
	for _, t := range r.sortedTargets {
		if len(t.unmatchedEnds) == 0 && len(t.orphanRunNumbers) == 0 {
			continue
		}
		for i := range j.tasks {
			name := taskName(j.spec.ID, i)
			if _, ok := t.unmatchedEnds[name]; ok {
				delete(t.unmatchedEnds, name)
				r.completeTask(j, i)
			}
			if number, ok := t.orphanRunNumbers[name]; ok {
				r.adoptRun(t, j, i, RunningTask{Task: name, Run: number})
			}
		}
	}
}

// decisionPairs returns the log pairs that describe the basis of a decision on a job.
func (r *Router) decisionPairs(j *job, more ...any) []any {
	return append([]any{
		"route", j.spec.Route, "tasks", j.spec.Count, "cpu", j.spec.Need.CPU, "expect", j.expectedRunTime.Round(time.Millisecond).String(), "declared", j.spec.ExpectedRunTime.String(),
		"slack", j.latestStart.Sub(r.now).Round(time.Millisecond).String(), "left", j.deadline.Sub(r.now).Round(time.Millisecond).String(),
		"queued", r.queue.Len(), "directory", r.directory.Version, "resent", j.reoffered, "token", j.token, "origin", j.origin, "excess", j.exceedsShare, "waited", j.likelyRetry,
	}, more...)
}

// sendVerdict sends a verdict to the host of the job's client, which may be this host.
func (r *Router) sendVerdict(origin string, v Verdict) {
	if origin == r.Self.Address {
		r.handleVerdict(origin, v)
		return
	}
	if p := r.peers[origin]; p != nil {
		r.send(p, Message{Verdict: &v})
	}
}

// completeTask marks a task as done.
func (r *Router) completeTask(j *job, index int) {
	if j.ended || j.tasks[index].state == taskDone {
		return
	}
	k := &j.tasks[index]
	if k.run != nil {
		r.stopRedundantRun(k)
	}
	if !r.transitionTask(j, index, taskFinish) {
		return
	}
	j.doneCount++
	j.mayHaveStarted = true
	r.crashes.remove(taskKey{j.spec.ID, index})
	r.endOrEnqueueJob(j)
	if !j.ended { // otherwise the verdict reports it
		progress := r.progressFor(j.origin)
		progress.Tasks = append(progress.Tasks, DoneTask{ID: j.spec.ID, Task: index})
	}
}

// stopRedundantRun stops the run of a task that another run has completed.
func (r *Router) stopRedundantRun(k *task) {
	n := k.run
	k.run = nil
	if n.target.runs[taskName(n.job.spec.ID, n.task)] == n {
		r.stopRun(n)
	}
}

// endOrEnqueueJob ends a job if its outcome is certain, and otherwise queues it while tasks
// wait.
func (r *Router) endOrEnqueueJob(j *job) {
	if j.ended {
		return
	}
	if j.doneCount == len(j.tasks) {
		r.endJob(j, Verdict{Outcome: Complete})
		return
	}
	for i := range j.tasks {
		if j.tasks[i].failures >= max(j.spec.MaxAttempts, 1) {
			r.endJob(j, Verdict{Outcome: Failed, Reason: AttemptsExhausted})
			return
		}
	}
	r.endJobOfCrashes(j)
	if !j.ended && j.waitingCount > 0 && !r.queue.Has(j) && r.jobs[j.spec.ID] == j {
		r.queue.Push(j)
	}
}

// reportableOutcome returns the outcome to report. A refusal, which means that nothing has run,
// becomes Unknown if a task may have started for an earlier submission.
func (j *job) reportableOutcome(outcome Outcome) Outcome {
	if outcome == Refused && j.mayHaveStartedEarlier {
		return Unknown
	}
	return outcome
}

// endJob ends a job that has no verdict yet: it stops the job's runs that are running or
// unconfirmed and sends the verdict. A run in state runStarting is stopped when its Start is
// answered or counts as unconfirmed. Jobs also end in refuseJob and dropJobsOfZone.
func (r *Router) endJob(j *job, v Verdict) {
	v.ID, v.SubmissionID, v.Token = j.spec.ID, j.submissionID, j.token
	v.Outcome = j.reportableOutcome(v.Outcome)
	if v.Outcome == Refused && j.mayHaveStarted {
		r.reportViolation("a refusal is true", "job %s may have started but would be refused", j.spec.ID)
		v.Outcome = Failed
	}
	if v.Outcome == Complete && j.doneCount != len(j.tasks) {
		r.reportViolation("complete or failed", "job %s would be complete with %d of %d tasks done", j.spec.ID, j.doneCount, len(j.tasks))
	}
	r.closeJob(j, v)
	r.queue.Remove(j)
	if !j.firstStartAt.IsZero() {
		r.emitStageDuration(j, Ended, j.firstStartAt)
	}
	pairs := r.decisionPairs(j, "outcome", v.Outcome, "reason", v.Reason, "done", j.doneCount, "begun", j.mayHaveStarted)
	r.emit(Decision{Action: "verdict", Job: j.spec.ID, Pairs: pairs, Routine: v.Outcome == Complete})
	r.stopRuns(j)
	r.retainJob(j)
	r.sendVerdict(j.origin, v)
}

// closeJob records the verdict of a job.
func (r *Router) closeJob(j *job, v Verdict) {
	j.lastContactAt = r.lastContact(j)
	j.ended, j.verdict = true, v
}

// stopRuns stops all runs of a job that are running or unconfirmed.
func (r *Router) stopRuns(j *job) {
	for i := range j.tasks {
		n := j.tasks[i].run
		if n != nil && (n.state == runRunning || n.state == runUnconfirmed) {
			r.stopRun(n)
		}
	}
}

// handleWithdraw ends a job that no client waits for any more. A nil peer stands for this host.
func (r *Router) handleWithdraw(p *peer, w *Withdraw) {
	j := r.jobs[w.ID]
	if j == nil || j.ended {
		return
	}
	if p != nil && j.origin != p.member.Address {
		return // the client has submitted the job through another host since
	}
	if w.SubmissionID != 0 && j.submissionID != w.SubmissionID {
		return // the client has submitted the job again since
	}
	r.endJob(j, Verdict{Outcome: Failed, Reason: Withdrawn})
}

// endJobsOfOrigin ends the jobs of a host that is unresponsive: its clients can no longer
// receive an answer, and may submit the jobs to another host.
func (r *Router) endJobsOfOrigin(address string) {
	for _, id := range sortedKeys(r.jobs) {
		if j := r.jobs[id]; j.origin == address && !j.ended {
			r.endJob(j, Verdict{Outcome: Unknown, Reason: NoHolder})
		}
	}
}

// dropJobsOfZone ends, without sending a verdict, the jobs of a zone whose cell has another
// holder now or had one meanwhile. The hosts of the zone offer the jobs to that holder. The
// runs at targets of released cells were detached by releaseTarget, so the new holder can adopt
// them. Runs at targets that this host still holds are stopped if they are running or
// unconfirmed.
func (r *Router) dropJobsOfZone(zone string) {
	for _, id := range sortedKeys(r.jobs) {
		j := r.jobs[id]
		if j.ended || j.zone != zone {
			continue
		}
		r.closeJob(j, Verdict{ID: id, Outcome: WrongHolder})
		r.queue.Remove(j)
		r.stopRuns(j)
		r.retainJob(j)
	}
}

// returnUnstartedJobs gives the jobs of a zone of which no task has started back to their
// hosts, because another host has the cell now. The hosts need not wait for runs of these
// jobs.
func (r *Router) returnUnstartedJobs(zone string) {
	for _, id := range sortedKeys(r.jobs) {
		if j := r.jobs[id]; !j.ended && j.zone == zone && !j.mayHaveStarted && !j.mayHaveStartedEarlier {
			r.endJob(j, Verdict{Outcome: Returned, Reason: NoHolder})
		}
	}
}

func (r *Router) zoneOf(address string) string {
	if address == r.Self.Address {
		return r.Self.Zone
	}
	if p := r.peers[address]; p != nil {
		return p.member.Zone
	}
	return ""
}

// postponeTask detaches a task from its run because the run's target has another holder, and
// keeps the task from starting while that run may continue.
func (r *Router) postponeTask(j *job, index int, until time.Time) {
	k := &j.tasks[index]
	k.notBefore = until
	if k.state != taskActive {
		return
	}
	k.run = nil
	r.transitionTask(j, index, taskRequeue)
	if !j.ended && !r.queue.Has(j) {
		r.queue.Push(j)
	}
}

// checkJobs aborts jobs that can no longer finish in time, removes ended jobs that need not be
// retained and ends jobs at their deadline.
func (r *Router) checkJobs() {
	if r.remoteRuns.expire(r.now) {
		r.placementNeeded = true
	}
	for _, j := range slices.Clone(r.queue.Items()) {
		r.recheckQueuedJob(j)
	}
	r.reduceJobs()
	r.forgetJobs()
	if r.nextDeadline.IsZero() || !r.now.After(r.nextDeadline) {
		return
	}
	r.nextDeadline = time.Time{}
	var expired []*job
	for _, j := range r.jobs {
		switch {
		case j.ended:
		case r.now.After(j.deadline):
			expired = append(expired, j)
		default:
			r.recordDeadline(j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	for _, j := range expired {
		r.endJob(j, Verdict{Outcome: Failed, Reason: Expired})
	}
}

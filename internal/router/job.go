package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/holder"
	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// job is a job that this host holds.
type job struct {
	holder.Index // place in the queue

	spec         Job
	origin       string // address of the host whose client waits
	submissionID int64  // of the submission
	tasks        []task
	waitingCount int // tasks to be started
	doneCount    int
	// mayHaveStarted tells that a task may have started.
	mayHaveStarted bool
	// mayHaveStartedEarlier tells that a task may have started for an earlier submission.
	mayHaveStartedEarlier bool
	// ended tells that the verdict is out; verdict is what it was.
	ended   bool
	verdict Verdict
	endedAt time.Time // when the verdict was given

	arrivedAt    time.Time // at its own host
	offeredAt    time.Time // here
	firstStartAt time.Time // the first start from here
	deadline     time.Time
	// taskRunTime is the expected run time of one task at a target of usual speed.
	taskRunTime time.Duration
	// expectedRunTime is the expected run time of the whole job, and latest the last
	// moment to start its tasks for an answer within the objective.
	expectedRunTime time.Duration
	latestStart     time.Time
	dueAt           time.Time // when the answer is due
	// reoffered tells that another holder had the job; cleared is when its tasks
	// may start anew even if not all targets obey this host.
	reoffered        bool
	quarantinedUntil time.Time
	previousZones    []string
	// likelyRetry tells that the job's client had waited before.
	likelyRetry bool
	// exceedsShare tells that the job's route was beyond its fair share.
	exceedsShare bool
}

// task is one task of a job.
type task struct {
	state    taskState
	run      *run
	lastRun  int // highest run number that was used
	failures int
	// avoidedTargets are targets where the task has failed.
	avoidedTargets []string
	// notBefore and former keep the task waiting while an earlier run may go
	// on: one at a target of another holder, one of the same job sent before.
	notBefore   time.Time
	previousRun *run
}

type taskState string

const (
	taskWaiting taskState = "waiting"
	taskActive  taskState = "active"
	taskDone    taskState = "done"
)

type taskEvent string

const (
	taskStart   taskEvent = "start"
	taskRequeue taskEvent = "return"
	taskFinish  taskEvent = "finish"
)

// taskMachine is the life cycle of a task. A task that is done stays so.
var taskMachine = transitioner.Compile(taskWaiting,
	transitioner.Rule[taskState, taskEvent]{Event: taskStart, Source: []taskState{taskWaiting}, Target: taskActive},
	transitioner.Rule[taskState, taskEvent]{Event: taskRequeue, Source: []taskState{taskActive}, Target: taskWaiting},
	transitioner.Rule[taskState, taskEvent]{Event: taskFinish, Source: []taskState{taskActive, taskWaiting, taskDone}, Target: taskDone},
)

// transitionTask changes a task's state and asserts that the change is allowed.
func (r *Router) transitionTask(j *job, index int, event taskEvent) bool {
	k := &j.tasks[index]
	next, ok := taskMachine.Next(k.state, event)
	if !ok {
		r.reportViolation("life of a task", "%s of %s in state %s", event, taskName(j.spec.ID, index), k.state)
		return false
	}
	if k.state == taskWaiting && next != taskWaiting {
		j.waitingCount--
		if j.waitingCount == 0 {
			r.queue.Remove(j)
		}
	}
	if k.state != taskWaiting && next == taskWaiting {
		j.waitingCount++
	}
	k.state = next
	return true
}

// handleOffer takes a job from the host of its client; nil is this host.
func (r *Router) handleOffer(p *peer, o *Offer) {
	origin := r.Self
	if p != nil {
		origin = p.member
	}
	c := r.cells[origin.Zone]
	stale := p != nil && !r.isReachable(p) // it may have been on its way through a cut
	if c == nil || !c.heldHere || stale {
		r.sendVerdict(origin.Address, Verdict{ID: o.Job.ID, Outcome: WrongHolder, SubmissionID: o.SubmissionID})
		return
	}
	earlier := r.jobs[o.Job.ID]
	if earlier != nil && (!earlier.canRunAgain() || earlier.isLateCopy(origin.Address, o)) {
		r.handleRepeatedOffer(earlier, origin.Address, o)
		return
	}
	j := r.newJob(origin.Address, o)
	j.inheritRuns(earlier)
	j.likelyRetry = r.isLikelyRetry(j)
	if v, refused := r.admit(j); refused {
		v.Outcome = j.reportableOutcome(v.Outcome)
		r.emit(Decision{Action: "refuse", Job: j.spec.ID, Pairs: r.decisionPairs(j, "reason", v.Reason, "after", v.RetryAfter.String())})
		r.rejectJob(j, v)
		return
	}
	r.emit(Decision{Action: "admit", Job: j.spec.ID, Pairs: r.decisionPairs(j), Routine: true})
	r.emitStageDuration(j, Accepted, j.arrivedAt)
	r.jobs[j.spec.ID] = j
	if j.reoffered {
		r.pollPreviousTargets(j)
	}
	r.matchListedRuns(j)
	r.endOrEnqueueJob(j)
	r.placementNeeded = true
}

// rejectJob refuses a job. It is remembered, since a copy of its offer may still be on
// its way over a link that was replaced.
func (r *Router) rejectJob(j *job, v Verdict) {
	v.SubmissionID = j.submissionID
	j.ended, j.verdict, j.endedAt = true, v, r.now
	r.jobs[j.spec.ID] = j
	r.endedJobs = append(r.endedJobs, j)
	r.sendVerdict(j.origin, v)
}

// isLateCopy reports whether an offer is a late copy of one that the job's host has had
// the final verdict on.
func (j *job) isLateCopy(origin string, o *Offer) bool {
	return j.ended && j.verdict.Outcome != WrongHolder && j.origin == origin && j.submissionID == o.SubmissionID && o.SubmissionID != 0
}

// canRunAgain reports whether a job has ended so that its client may have it run
// once more.
func (j *job) canRunAgain() bool {
	switch j.verdict.Outcome {
	case Unknown, Refused, WrongHolder:
		return j.ended
	}
	return j.ended && j.verdict.Reason == Withdrawn
}

// inheritRuns makes a job wait for what still runs of its earlier submission.
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

// isLive reports whether a run may still go on. It is false for nil.
func (n *run) isLive() bool {
	return n != nil && n.target.runs[taskName(n.job.spec.ID, n.task)] == n
}

// handleRepeatedOffer takes a job that is known here: its client has sent it again through
// another host, or the host has offered it under another claim.
func (r *Router) handleRepeatedOffer(j *job, origin string, o *Offer) {
	j.origin, j.submissionID = origin, o.SubmissionID
	j.deadline = later(j.deadline, r.now.Add(o.TimeLeft))
	r.emit(Decision{Action: "repeat", Job: j.spec.ID, Pairs: []any{"origin", origin, "over", j.ended, "outcome", j.verdict.Outcome}})
	if j.ended {
		j.verdict.SubmissionID = o.SubmissionID
		r.sendVerdict(origin, j.verdict)
	}
}

// newJob makes a job of an offer.
func (r *Router) newJob(origin string, o *Offer) *job {
	j := &job{
		spec: o.Job, origin: origin, submissionID: o.SubmissionID, tasks: make([]task, o.Job.Count), waitingCount: o.Job.Count,
		offeredAt: r.now, arrivedAt: r.now.Add(-o.Elapsed), deadline: r.now.Add(o.TimeLeft),
		reoffered: o.Reoffered, previousZones: o.PreviousZones,
	}
	j.SetPlace(-1)
	for i := range j.tasks {
		j.tasks[i].state, j.tasks[i].lastRun = taskWaiting, o.RunBase
	}
	for _, i := range o.Done {
		if i >= 0 && i < len(j.tasks) && j.tasks[i].state != taskDone {
			r.transitionTask(j, i, taskFinish)
			j.doneCount++
			j.mayHaveStarted = true
		}
	}
	if j.reoffered {
		j.quarantinedUntil = r.now.Add(r.Bounds.QuarantineDuration)
	}
	r.planStart(j)
	return j
}

// matchListedRuns matches a job with what targets have listed of it under another holder.
func (r *Router) matchListedRuns(j *job) {
	for _, t := range r.sortedTargets {
		if len(t.unmatchedEnds) == 0 && len(t.orphans) == 0 {
			continue
		}
		for i := range j.tasks {
			name := taskName(j.spec.ID, i)
			if _, ok := t.unmatchedEnds[name]; ok {
				delete(t.unmatchedEnds, name)
				r.completeTask(j, i)
			}
			if number, ok := t.orphans[name]; ok {
				r.adoptRun(t, j, i, RunningTask{Task: name, Run: number})
			}
		}
	}
}

// decisionPairs returns what a decision on a job was taken from.
func (r *Router) decisionPairs(j *job, more ...any) []any {
	return append([]any{
		"route", j.spec.Route, "tasks", j.spec.Count, "cpu", j.spec.Need.CPU, "expect", j.expectedRunTime.Round(time.Millisecond).String(), "declared", j.spec.ExpectedRunTime.String(),
		"slack", j.latestStart.Sub(r.now).Round(time.Millisecond).String(), "left", j.deadline.Sub(r.now).Round(time.Millisecond).String(),
		"queued", r.queue.Len(), "directory", r.directory.Version, "resent", j.reoffered, "excess", j.exceedsShare, "waited", j.likelyRetry,
	}, more...)
}

// sendVerdict sends a verdict to the host of the job's client.
func (r *Router) sendVerdict(origin string, v Verdict) {
	if origin == r.Self.Address {
		r.handleVerdict(origin, v)
		return
	}
	if p := r.peers[origin]; p != nil {
		r.send(p, Message{Verdict: &v})
	}
}

// completeTask notes that a task has done its work.
func (r *Router) completeTask(j *job, index int) {
	k := &j.tasks[index]
	if k.state == taskDone || j.ended {
		return
	}
	if k.run != nil {
		r.stopRedundantRun(k)
	}
	if !r.transitionTask(j, index, taskFinish) {
		return
	}
	j.doneCount++
	j.mayHaveStarted = true
	r.endOrEnqueueJob(j)
	if !j.ended { // otherwise the verdict tells
		r.unreportedTasks[j.origin] = append(r.unreportedTasks[j.origin], DoneTask{ID: j.spec.ID, Task: index})
	}
}

// stopRedundantRun stops a run whose task is done by another.
func (r *Router) stopRedundantRun(k *task) {
	n := k.run
	k.run = nil
	if n.target.runs[taskName(n.job.spec.ID, n.task)] == n {
		r.stopRun(n)
	}
}

// endOrEnqueueJob gives the verdict on a job whose end is certain.
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
	if j.waitingCount > 0 && !r.queue.Has(j) && r.jobs[j.spec.ID] == j {
		r.queue.Push(j)
	}
}

// reportableOutcome returns the outcome to tell of a job: it is not refused as not run once
// a task may have started for an earlier submission.
func (j *job) reportableOutcome(outcome Outcome) Outcome {
	if outcome == Refused && j.mayHaveStartedEarlier {
		return Unknown
	}
	return outcome
}

// endJob gives a job its verdict, once, and stops what still runs.
func (r *Router) endJob(j *job, v Verdict) {
	v.ID, v.SubmissionID = j.spec.ID, j.submissionID
	v.Outcome = j.reportableOutcome(v.Outcome)
	if v.Outcome == Refused && j.mayHaveStarted {
		r.reportViolation("a refusal is true", "%s was begun", j.spec.ID)
		v.Outcome = Failed
	}
	if v.Outcome == Complete && j.doneCount != len(j.tasks) {
		r.reportViolation("complete or failed", "%s has %d of %d tasks", j.spec.ID, j.doneCount, len(j.tasks))
	}
	j.ended, j.verdict, j.endedAt = true, v, r.now
	r.queue.Remove(j)
	if !j.firstStartAt.IsZero() {
		r.emitStageDuration(j, Ended, j.firstStartAt)
	}
	pairs := r.decisionPairs(j, "outcome", v.Outcome, "reason", v.Reason, "done", j.doneCount, "begun", j.mayHaveStarted)
	r.emit(Decision{Action: "verdict", Job: j.spec.ID, Pairs: pairs, Routine: v.Outcome == Complete})
	r.stopRuns(j)
	r.endedJobs = append(r.endedJobs, j)
	r.sendVerdict(j.origin, v)
}

// stopRuns stops everything of a job.
func (r *Router) stopRuns(j *job) {
	for i := range j.tasks {
		n := j.tasks[i].run
		if n != nil && (n.state == runRunning || n.state == runUnconfirmed) {
			r.stopRun(n)
		}
	}
}

// handleWithdraw drops a job that nobody waits for.
func (r *Router) handleWithdraw(p *peer, id string) {
	j := r.jobs[id]
	if j == nil || j.ended {
		return
	}
	if p != nil && j.origin != p.member.Address {
		return // it has moved to another host
	}
	r.endJob(j, Verdict{Outcome: Failed, Reason: Withdrawn})
}

// endJobsOfOrigin ends the jobs of a host that is not heard any more: its clients
// have no way to an answer, and may send the jobs to another host.
func (r *Router) endJobsOfOrigin(address string) {
	for _, id := range sortedKeys(r.jobs) {
		if j := r.jobs[id]; j.origin == address && !j.ended {
			r.endJob(j, Verdict{Outcome: Unknown, Reason: NoHolder})
		}
	}
}

// dropJobsOfZone gives up the jobs of a zone that has another holder now. Its hosts
// offer them there, and the new holder takes over what runs.
func (r *Router) dropJobsOfZone(zone string) {
	for _, id := range sortedKeys(r.jobs) {
		j := r.jobs[id]
		if j.ended || r.zoneOf(j.origin) != zone {
			continue
		}
		j.ended, j.endedAt, j.verdict = true, r.now, Verdict{ID: id, Outcome: WrongHolder}
		r.queue.Remove(j)
		r.stopRuns(j)
		r.endedJobs = append(r.endedJobs, j) // it is known for a while, should it come back
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

// postponeTask takes a task's run away whose target has another holder, and keeps the
// task from starting while the run may go on.
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

// checkJobs gives up jobs that cannot be served any more and forgets old ones.
func (r *Router) checkJobs() {
	for _, j := range slices.Clone(r.queue.Items()) {
		r.recheckQueuedJob(j)
	}
	for len(r.endedJobs) > 0 && r.now.Sub(r.endedJobs[0].endedAt) > r.Bounds.VerdictRetention {
		j := r.endedJobs[0]
		r.endedJobs = r.endedJobs[1:]
		if r.jobs[j.spec.ID] == j {
			delete(r.jobs, j.spec.ID)
		}
	}
	var expired []*job
	for _, j := range r.jobs {
		if !j.ended && r.now.After(j.deadline) {
			expired = append(expired, j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	for _, j := range expired {
		r.endJob(j, Verdict{Outcome: Failed, Reason: Expired})
	}
}

// sendProgress sends progress to the jobs' hosts.
func (r *Router) sendProgress() {
	for _, address := range sortedKeys(r.unreportedTasks) {
		marks := r.unreportedTasks[address]
		if address == r.Self.Address {
			r.handleProgress(&Progress{Tasks: marks})
		} else if p := r.peers[address]; p != nil {
			r.send(p, Message{Progress: &Progress{Tasks: marks}})
		}
	}
	clear(r.unreportedTasks)
}

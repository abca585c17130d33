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

	spec    Job
	origin  string // address of the host whose client waits
	stamp   int64  // of the submission
	tasks   []task
	waiting int // tasks to be started
	done    int
	// begun tells that a task may have started.
	begun bool
	// tried tells that a task may have started for an earlier submission.
	tried bool
	// over tells that the verdict is out; verdict is what it was.
	over    bool
	verdict Verdict
	since   time.Time // when the verdict was given

	arrived  time.Time // at its own host
	offered  time.Time // here
	ordered  time.Time // the first start from here
	deadline time.Time
	// task is the expected run time of one task at a target of usual speed.
	task time.Duration
	// expect is the expected run time of the whole job, and latest the last
	// moment to start its tasks for an answer within the objective.
	expect time.Duration
	latest time.Time
	goal   time.Time // when the answer is due
	// resent tells that another holder had the job; cleared is when its tasks
	// may start anew even if not all targets obey this host.
	resent  bool
	cleared time.Time
	zones   []string
	// waited tells that the job's client had waited before.
	waited bool
	// excess tells that the job's route was beyond its fair share.
	excess bool
}

// task is one task of a job.
type task struct {
	state  taskState
	run    *run
	last   int // highest run number that was used
	failed int
	// avoided are targets where the task has failed.
	avoided []string
	// notBefore and former keep the task waiting while an earlier run may go
	// on: one at a target of another holder, one of the same job sent before.
	notBefore time.Time
	former    *run
}

type taskState string

const (
	taskWaiting taskState = "waiting"
	taskActive  taskState = "active"
	taskDone    taskState = "done"
)

type taskEvent string

const (
	taskStart  taskEvent = "start"
	taskReturn taskEvent = "return"
	taskFinish taskEvent = "finish"
)

// taskMachine is the life cycle of a task. A task that is done stays so.
var taskMachine = transitioner.Compile(taskWaiting,
	transitioner.Rule[taskState, taskEvent]{Event: taskStart, Source: []taskState{taskWaiting}, Target: taskActive},
	transitioner.Rule[taskState, taskEvent]{Event: taskReturn, Source: []taskState{taskActive}, Target: taskWaiting},
	transitioner.Rule[taskState, taskEvent]{Event: taskFinish, Source: []taskState{taskActive, taskWaiting, taskDone}, Target: taskDone},
)

// move changes a task's state and asserts that the change is allowed.
func (r *Router) move(j *job, index int, event taskEvent) bool {
	k := &j.tasks[index]
	next, ok := taskMachine.Next(k.state, event)
	if !ok {
		r.violate("life of a task", "%s of %s in state %s", event, taskName(j.spec.ID, index), k.state)
		return false
	}
	if k.state == taskWaiting && next != taskWaiting {
		j.waiting--
		if j.waiting == 0 {
			r.queue.Remove(j)
		}
	}
	if k.state != taskWaiting && next == taskWaiting {
		j.waiting++
	}
	k.state = next
	return true
}

// offered takes a job from the host of its client; nil is this host.
func (r *Router) offered(p *peer, o *Offer) {
	origin := r.Self
	if p != nil {
		origin = p.member
	}
	c := r.cells[origin.Zone]
	stale := p != nil && !r.reaches(p) // it may have been on its way through a cut
	if c == nil || !c.mine || stale {
		r.tell(origin.Address, Verdict{ID: o.Job.ID, Outcome: WrongHolder, SubmissionID: o.SubmissionID})
		return
	}
	earlier := r.jobs[o.Job.ID]
	if earlier != nil && (!earlier.runsAnew() || earlier.answered(origin.Address, o)) {
		r.repeated(earlier, origin.Address, o)
		return
	}
	j := r.accept(origin.Address, o)
	j.succeed(earlier)
	j.waited = r.hasWaited(j)
	if v, refused := r.admit(j); refused {
		v.Outcome = j.truthful(v.Outcome)
		r.emit(Decision{Action: "refuse", Job: j.spec.ID, Pairs: r.inputs(j, "reason", v.Reason, "after", v.RetryAfter.String())})
		r.reject(j, v)
		return
	}
	r.emit(Decision{Action: "admit", Job: j.spec.ID, Pairs: r.inputs(j), Routine: true})
	r.measure(j, Accepted, j.arrived)
	r.jobs[j.spec.ID] = j
	if j.resent {
		r.lookAtFormer(j)
	}
	r.matchListed(j)
	r.settle(j)
	r.dirty = true
}

// reject refuses a job. It is remembered, since a copy of its offer may still be on
// its way over a link that was replaced.
func (r *Router) reject(j *job, v Verdict) {
	v.SubmissionID = j.stamp
	j.over, j.verdict, j.since = true, v, r.now
	r.jobs[j.spec.ID] = j
	r.ended = append(r.ended, j)
	r.tell(j.origin, v)
}

// answered reports whether an offer is a late copy of one that the job's host has had
// the final verdict on.
func (j *job) answered(origin string, o *Offer) bool {
	return j.over && j.verdict.Outcome != WrongHolder && j.origin == origin && j.stamp == o.SubmissionID && o.SubmissionID != 0
}

// runsAnew reports whether a job has ended so that its client may have it run
// once more.
func (j *job) runsAnew() bool {
	switch j.verdict.Outcome {
	case Unknown, Refused, WrongHolder:
		return j.over
	}
	return j.over && j.verdict.Reason == Withdrawn
}

// succeed makes a job wait for what still runs of its earlier submission.
func (j *job) succeed(earlier *job) {
	if earlier == nil {
		return
	}
	j.tried = earlier.begun || earlier.tried
	for i := range min(len(j.tasks), len(earlier.tasks)) {
		k, old := &j.tasks[i], &earlier.tasks[i]
		k.last, k.former = max(k.last, old.last), old.run
		if k.former == nil {
			k.former = old.former
		}
	}
}

// live reports whether a run may still go on. It is false for nil.
func (n *run) live() bool {
	return n != nil && n.target.runs[taskName(n.job.spec.ID, n.task)] == n
}

// repeated takes a job that is known here: its client has sent it again through
// another host, or the host has offered it under another claim.
func (r *Router) repeated(j *job, origin string, o *Offer) {
	j.origin, j.stamp = origin, o.SubmissionID
	j.deadline = later(j.deadline, r.now.Add(o.TimeLeft))
	r.emit(Decision{Action: "repeat", Job: j.spec.ID, Pairs: []any{"origin", origin, "over", j.over, "outcome", j.verdict.Outcome}})
	if j.over {
		j.verdict.SubmissionID = o.SubmissionID
		r.tell(origin, j.verdict)
	}
}

// accept makes a job of an offer.
func (r *Router) accept(origin string, o *Offer) *job {
	j := &job{
		spec: o.Job, origin: origin, stamp: o.SubmissionID, tasks: make([]task, o.Job.Count), waiting: o.Job.Count,
		offered: r.now, arrived: r.now.Add(-o.Elapsed), deadline: r.now.Add(o.TimeLeft),
		resent: o.Reoffered, zones: o.PreviousZones,
	}
	j.SetPlace(-1)
	for i := range j.tasks {
		j.tasks[i].state, j.tasks[i].last = taskWaiting, o.RunBase
	}
	for _, i := range o.Done {
		if i >= 0 && i < len(j.tasks) && j.tasks[i].state != taskDone {
			r.move(j, i, taskFinish)
			j.done++
			j.begun = true
		}
	}
	if j.resent {
		j.cleared = r.now.Add(r.Bounds.QuarantineDuration)
	}
	r.plan(j)
	return j
}

// matchListed matches a job with what targets have listed of it under another holder.
func (r *Router) matchListed(j *job) {
	for _, t := range r.pool {
		if len(t.finished) == 0 && len(t.orphan) == 0 {
			continue
		}
		for i := range j.tasks {
			name := taskName(j.spec.ID, i)
			if _, ok := t.finished[name]; ok {
				delete(t.finished, name)
				r.taskDone(j, i)
			}
			if number, ok := t.orphan[name]; ok {
				r.adoptRun(t, j, i, RunningTask{Task: name, Run: number})
			}
		}
	}
}

// inputs returns what a decision on a job was taken from.
func (r *Router) inputs(j *job, more ...any) []any {
	return append([]any{
		"route", j.spec.Route, "tasks", j.spec.Count, "cpu", j.spec.Need.CPU, "expect", j.expect.Round(time.Millisecond).String(), "declared", j.spec.ExpectedRunTime.String(),
		"slack", j.latest.Sub(r.now).Round(time.Millisecond).String(), "left", j.deadline.Sub(r.now).Round(time.Millisecond).String(),
		"queued", r.queue.Len(), "directory", r.directory.Version, "resent", j.resent, "excess", j.excess, "waited", j.waited,
	}, more...)
}

// tell sends a verdict to the host of the job's client.
func (r *Router) tell(origin string, v Verdict) {
	if origin == r.Self.Address {
		r.judged(origin, v)
		return
	}
	if p := r.peers[origin]; p != nil {
		r.send(p, Message{Verdict: &v})
	}
}

// taskDone notes that a task has done its work.
func (r *Router) taskDone(j *job, index int) {
	k := &j.tasks[index]
	if k.state == taskDone || j.over {
		return
	}
	if k.run != nil {
		r.stopSurplus(k)
	}
	if !r.move(j, index, taskFinish) {
		return
	}
	j.done++
	j.begun = true
	r.settle(j)
	if !j.over { // otherwise the verdict tells
		r.marks[j.origin] = append(r.marks[j.origin], DoneTask{ID: j.spec.ID, Task: index})
	}
}

// stopSurplus stops a run whose task is done by another.
func (r *Router) stopSurplus(k *task) {
	n := k.run
	k.run = nil
	if n.target.runs[taskName(n.job.spec.ID, n.task)] == n {
		r.halt(n)
	}
}

// settle gives the verdict on a job whose end is certain.
func (r *Router) settle(j *job) {
	if j.over {
		return
	}
	if j.done == len(j.tasks) {
		r.end(j, Verdict{Outcome: Complete})
		return
	}
	for i := range j.tasks {
		if j.tasks[i].failed >= max(j.spec.MaxAttempts, 1) {
			r.end(j, Verdict{Outcome: Failed, Reason: AttemptsExhausted})
			return
		}
	}
	if j.waiting > 0 && !r.queue.Has(j) && r.jobs[j.spec.ID] == j {
		r.queue.Push(j)
	}
}

// truthful returns the outcome to tell of a job: it is not refused as not run once
// a task may have started for an earlier submission.
func (j *job) truthful(outcome Outcome) Outcome {
	if outcome == Refused && j.tried {
		return Unknown
	}
	return outcome
}

// end gives a job its verdict, once, and stops what still runs.
func (r *Router) end(j *job, v Verdict) {
	v.ID, v.SubmissionID = j.spec.ID, j.stamp
	v.Outcome = j.truthful(v.Outcome)
	if v.Outcome == Refused && j.begun {
		r.violate("a refusal is true", "%s was begun", j.spec.ID)
		v.Outcome = Failed
	}
	if v.Outcome == Complete && j.done != len(j.tasks) {
		r.violate("complete or failed", "%s has %d of %d tasks", j.spec.ID, j.done, len(j.tasks))
	}
	j.over, j.verdict, j.since = true, v, r.now
	r.queue.Remove(j)
	if !j.ordered.IsZero() {
		r.measure(j, Ended, j.ordered)
	}
	inputs := r.inputs(j, "outcome", v.Outcome, "reason", v.Reason, "done", j.done, "begun", j.begun)
	r.emit(Decision{Action: "verdict", Job: j.spec.ID, Pairs: inputs, Routine: v.Outcome == Complete})
	r.stopRuns(j)
	r.ended = append(r.ended, j)
	r.tell(j.origin, v)
}

// stopRuns stops everything of a job.
func (r *Router) stopRuns(j *job) {
	for i := range j.tasks {
		n := j.tasks[i].run
		if n != nil && (n.state == runRunning || n.state == runDoubtful) {
			r.halt(n)
		}
	}
}

// withdrawn drops a job that nobody waits for.
func (r *Router) withdrawn(p *peer, id string) {
	j := r.jobs[id]
	if j == nil || j.over {
		return
	}
	if p != nil && j.origin != p.member.Address {
		return // it has moved to another host
	}
	r.end(j, Verdict{Outcome: Failed, Reason: Withdrawn})
}

// dropOrigin ends the jobs of a host that is not heard any more: its clients
// have no way to an answer, and may send the jobs to another host.
func (r *Router) dropOrigin(address string) {
	for _, id := range sortedKeys(r.jobs) {
		if j := r.jobs[id]; j.origin == address && !j.over {
			r.end(j, Verdict{Outcome: Unknown, Reason: NoHolder})
		}
	}
}

// dropZone gives up the jobs of a zone that has another holder now. Its hosts
// offer them there, and the new holder takes over what runs.
func (r *Router) dropZone(zone string) {
	for _, id := range sortedKeys(r.jobs) {
		j := r.jobs[id]
		if j.over || r.zoneOf(j.origin) != zone {
			continue
		}
		j.over, j.since, j.verdict = true, r.now, Verdict{ID: id, Outcome: WrongHolder}
		r.queue.Remove(j)
		r.stopRuns(j)
		r.ended = append(r.ended, j) // it is known for a while, should it come back
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

// detach takes a task's run away whose target has another holder, and keeps the
// task from starting while the run may go on.
func (r *Router) detach(j *job, index int, until time.Time) {
	k := &j.tasks[index]
	k.notBefore = until
	if k.state != taskActive {
		return
	}
	k.run = nil
	r.move(j, index, taskReturn)
	if !j.over && !r.queue.Has(j) {
		r.queue.Push(j)
	}
}

// watchJobs gives up jobs that cannot be served any more and forgets old ones.
func (r *Router) watchJobs() {
	for _, j := range slices.Clone(r.queue.Items()) {
		r.reconsider(j)
	}
	for len(r.ended) > 0 && r.now.Sub(r.ended[0].since) > r.Bounds.VerdictRetention {
		j := r.ended[0]
		r.ended = r.ended[1:]
		if r.jobs[j.spec.ID] == j {
			delete(r.jobs, j.spec.ID)
		}
	}
	var expired []*job
	for _, j := range r.jobs {
		if !j.over && r.now.After(j.deadline) {
			expired = append(expired, j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	for _, j := range expired {
		r.end(j, Verdict{Outcome: Failed, Reason: Expired})
	}
}

// report sends progress to the jobs' hosts.
func (r *Router) report() {
	for _, address := range sortedKeys(r.marks) {
		marks := r.marks[address]
		if address == r.Self.Address {
			r.progressed(&Progress{Tasks: marks})
		} else if p := r.peers[address]; p != nil {
			r.send(p, Message{Progress: &Progress{Tasks: marks}})
		}
	}
	clear(r.marks)
}

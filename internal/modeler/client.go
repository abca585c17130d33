package modeler

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// JobKind is one kind of job.
type JobKind struct {
	Name string
	// Rate is the number of jobs per second in the whole deployment.
	Rate float64
	// MeanTasks is the mean number of tasks per job; a job has at most four times as many.
	MeanTasks float64
	// MeanRunTime is the mean run time of a task. RunTimeSpread and EstimateError are
	// standard deviations of the logarithm: the run times of jobs differ by RunTimeSpread,
	// those of the tasks of one job by a third of it, and the declared run times deviate
	// by EstimateError.
	MeanRunTime                  time.Duration
	RunTimeSpread, EstimateError float64
	Need                         router.Resources
	// TailShare is the share of jobs whose tasks take TailFactor times as long.
	TailShare, TailFactor float64
	// Stretch and Allowance define the latency objective of a job: the longest run time of
	// its tasks at a default target, times Stretch, plus Allowance.
	Stretch   float64
	Allowance time.Duration
	// MaxAttempts is the number of failed runs of a task after which its job fails; 0 means 1.
	MaxAttempts int
	// Benefit is the benefit value of an answer within the latency objective to a job with
	// the mean amount of work. A late answer has a fifth of the value, and none after three
	// times the latency objective.
	Benefit float64
}

// client is a job and the client that sends it.
type client struct {
	sim                 *Simulation
	id                  string
	kind                *JobKind
	zone                string
	job                 router.Job
	taskSeconds         float64   // run time of a task with factor 1 at a default target, in seconds
	taskFactors         []float64 // run time factor of each task
	sentAt              time.Time
	objective           time.Duration // latency objective
	timeout             time.Duration
	host                *host
	requestID           uint64
	attempts            int
	index               int // index among the jobs of its kind
	ended               bool
	wasRefused          bool
	retriedAfterRefusal bool
	mayHaveRun          bool          // set by scheduleResend
	deadly              bool          // its first task crashes targets
	failedFor           router.Reason // why the last answer was a failure
}

const (
	// resendDelay is the time that a client waits before it resends a job whose outcome is
	// unknown or for which no host was available.
	resendDelay = 1300 * time.Millisecond
	// A client waits for its answer for timeoutBase plus timeoutFactor times its latency
	// objective.
	timeoutBase   = 1500 * time.Millisecond
	timeoutFactor = 3
)

// scheduleArrivals schedules the first job of each kind.
func (sm *Simulation) scheduleArrivals() {
	for i := range sm.Kinds {
		k := &sm.Kinds[i]
		sm.scheduleNextJob(k, sm.loadStart)
	}
}

// scheduleNextJob schedules the next job of a kind at an exponentially distributed interval
// after from, which is the time of the previous job of the kind or the start of the load.
func (sm *Simulation) scheduleNextJob(k *JobKind, from time.Time) {
	rate := k.Rate * sm.LoadFactor * sm.burstFactor(k.Name, from)
	interval := time.Duration(sm.jobRandom.ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
	at := from.Add(interval)
	if at.After(sm.loadStart.Add(sm.LoadDuration)) {
		return
	}
	sm.schedule(at.Sub(sm.now), func() {
		sm.submitNewJob(k)
		sm.scheduleNextJob(k, at)
	})
}

// submitNewJob draws a job of a kind and sends it.
func (sm *Simulation) submitNewJob(k *JobKind) {
	sm.lastIDNumber++
	normalRandom := sm.jobRandom.NormFloat64
	taskSeconds := k.MeanRunTime.Seconds() * math.Exp(k.RunTimeSpread*normalRandom()-k.RunTimeSpread*k.RunTimeSpread/2)
	if k.TailShare > 0 && sm.jobRandom.Float64() < k.TailShare {
		taskSeconds *= k.TailFactor
	}
	count := int(math.Round(k.MeanTasks * math.Exp(0.4*normalRandom()-0.08)))
	count = min(max(count, 1), int(4*k.MeanTasks))
	need := k.Need
	need.CPU = min(int(float64(need.CPU)*math.Exp(0.2*normalRandom())), need.CPU*3/2)
	c := &client{
		sim: sm, id: fmt.Sprintf("%016x", sm.lastIDNumber), kind: k, taskSeconds: taskSeconds, sentAt: sm.now,
		zone: sm.drawZone(),
	}
	maxFactor := 0.0
	for range count {
		factor := math.Exp(k.RunTimeSpread / 3 * normalRandom())
		c.taskFactors = append(c.taskFactors, factor)
		maxFactor = max(maxFactor, factor)
	}
	c.objective = time.Duration(taskSeconds*maxFactor*k.Stretch*float64(time.Second)) + k.Allowance
	c.timeout = timeoutBase + timeoutFactor*c.objective
	c.job = router.Job{
		ID: c.id, Route: k.Name, Service: "work", Count: count, Need: need,
		ExpectedRunTime: time.Duration(taskSeconds * math.Exp(k.EstimateError*normalRandom()) * float64(time.Second)),
		MaxAttempts:     max(k.MaxAttempts, 1), Stretch: k.Stretch, Allowance: k.Allowance,
	}
	c.deadly = sm.crashRandom.Float64() < sm.DeadlyShare
	sm.clients[c.id] = c
	sm.Results.recordSubmitted(c)
	c.send()
}

// drawZone draws the zone of a client.
func (sm *Simulation) drawZone() string {
	if len(sm.Size.ZoneShares) == 0 {
		return sm.Size.Zones[sm.jobRandom.IntN(len(sm.Size.Zones))]
	}
	x := sm.jobRandom.Float64()
	for i, share := range sm.Size.ZoneShares {
		if x -= share; x < 0 {
			return sm.Size.Zones[i]
		}
	}
	return sm.Size.Zones[len(sm.Size.Zones)-1]
}

// send submits the job to a random host of the client's zone that is up and not leaving, or
// of the first other zone that has such a host. With ResendAnywhere, a job that may have run
// goes to a random host of any zone instead. If no zone has a host, it schedules a resend. It
// records a violation if there is no answer within a second after the client's timeout,
// although the host is up and was not paused in the meantime.
func (c *client) send() {
	sim := c.sim
	var hosts []*host
	anywhere := c.mayHaveRun && sim.ResendAnywhere
	for _, zone := range append([]string{c.zone}, sim.Size.Zones...) {
		for _, h := range sim.hosts {
			if h.up && (h.zone == zone || anywhere) && !h.leaving {
				hosts = append(hosts, h)
			}
		}
		if len(hosts) > 0 {
			break
		}
	}
	if len(hosts) == 0 {
		c.scheduleResend()
		return
	}
	c.attempts++
	h := hosts[sim.random.IntN(len(hosts))]
	c.host = h
	c.requestID = uint64(sim.lastIDNumber)<<8 | uint64(c.attempts)
	sim.lastIDNumber++
	remaining := min(c.timeout, c.timeLeft())
	requestID, sentAt := c.requestID, sim.now
	h.schedule(clientDelay, func() { h.step(router.Submit{Request: requestID, Job: c.job, Budget: remaining}) })
	if sim.Patience > 0 {
		sim.schedule(remaining+answerGrace, func() { c.giveUp(h, requestID, sentAt) })
	}
	sim.schedule(remaining+time.Second, func() {
		if !c.ended && c.host == h && c.requestID == requestID && h.runsSince(sentAt) {
			sim.recordViolation("no answer to job %s from host %s %v after the client's timeout", c.id, h.name, time.Second)
			c.ended = true
		}
	})
}

// giveUp makes a patient client disconnect from a host that has not answered because it was paused, and
// resend the job.
func (c *client) giveUp(h *host, requestID uint64, sentAt time.Time) {
	if c.ended || c.host != h || c.requestID != requestID || h.runsSince(sentAt) {
		return
	}
	h.schedule(clientDelay, func() { h.step(router.ClientGone{Request: requestID}) })
	c.scheduleResend()
}

// answerGrace is how long after its timeout a client still accepts an answer.
const answerGrace = 200 * time.Millisecond

// clientDelay is the one-way network delay between a client and a host.
const clientDelay = time.Millisecond

// scheduleResend schedules a resend of a job whose outcome is unknown or for which no host
// was available. The client resends after resendDelay, or gives up if its timeout and its patience
// are over by then. From now on the job counts as one that may have run, also if no host was available.
func (c *client) scheduleResend() {
	c.mayHaveRun = true
	c.host = nil
	if resendDelay > c.timeLeft() {
		c.ended = true
		return
	}
	c.sim.schedule(resendDelay, func() {
		if !c.ended {
			c.send()
		}
	})
}

// timeLeft returns how much longer the client goes on to submit the job.
func (c *client) timeLeft() time.Duration {
	return c.timeout + c.sim.Patience - c.sim.now.Sub(c.sentAt)
}

// retryAfterRefusal schedules the retry of a refused job after the delay in the answer.
func (c *client) retryAfterRefusal(delay time.Duration) {
	c.retriedAfterRefusal, c.host = true, nil
	c.sim.Results.Retried++
	c.sim.schedule(delay+clientDelay, func() {
		if !c.ended {
			c.send()
		}
	})
}

// handleBrokenConnection handles the end of the host that the client waits for. The outcome
// of the job is unknown.
func (c *client) handleBrokenConnection() { c.scheduleResend() }

func (sm *Simulation) clientsWaitingAt(h *host) []*client {
	var clients []*client
	for _, id := range sortedKeys(sm.clients) {
		if c := sm.clients[id]; c.host == h && !c.ended {
			clients = append(clients, c)
		}
	}
	return clients
}

// handleAnswer applies a host's answer to its client. It checks that all tasks of a completed
// job are done, and that no run of a refused job was started, unless an earlier attempt may have
// run.
func (sm *Simulation) handleAnswer(h *host, e router.Answer) {
	c := sm.clients[e.Verdict.ID]
	if c == nil || c.ended || c.host != h || c.requestID != e.Request {
		return
	}
	responseTime := sm.now.Sub(c.sentAt) + clientDelay
	switch e.Verdict.Outcome {
	case router.Complete:
		for i := range c.job.Count {
			if !sm.finishedTasks[c.id][strconv.Itoa(i)] {
				sm.recordViolation("job %s was answered as complete, but task %d is not done", c.id, i)
			}
		}
		c.ended = true
		sm.Results.recordComplete(c, responseTime)
	case router.Refused:
		if sm.startCounts[c.id] > 0 && !c.mayHaveRun {
			sm.recordViolation("job %s was refused as not run (reason %s), but %d of its runs had been started", c.id, e.Verdict.Reason, sm.startCounts[c.id])
		}
		if sm.RetryRefusedJobs && !c.retriedAfterRefusal && e.Verdict.RetryAfter+clientDelay < c.timeLeft() {
			c.retryAfterRefusal(e.Verdict.RetryAfter)
			return
		}
		c.ended, c.wasRefused = true, true
		sm.Results.recordRefused(c, e.Verdict.Reason)
	case router.Failed:
		c.handleFailure(e.Verdict.Reason)
	default:
		sm.Results.recordUnknown(c, e.Verdict.Reason)
		c.scheduleResend()
	}
}

// handleFailure handles the answer that the job has failed. A patient client resends a job that
// has expired.
func (c *client) handleFailure(reason router.Reason) {
	c.failedFor = reason
	c.checkFailureCause(reason)
	c.sim.Results.recordFailed(c, reason)
	if reason == router.Expired && c.sim.Patience > 0 {
		c.scheduleResend()
		return
	}
	c.ended = true
}

func (sm *Simulation) recordFinishedTask(taskID string) {
	id, index := jobID(taskID), taskID[strings.LastIndexByte(taskID, '.')+1:]
	if sm.finishedTasks[id] == nil {
		sm.finishedTasks[id] = make(map[string]bool)
	}
	sm.finishedTasks[id][index] = true
}

// jobID returns the ID of a task's job. A task ID consists of the job ID, a dot and the index of
// the task.
func jobID(taskID string) string {
	id, _, _ := strings.Cut(taskID, ".")
	return id
}

func (sm *Simulation) jobOf(taskID string) *router.Job { return &sm.clients[jobID(taskID)].job }

// runTimeOf returns the run time of a task at a target.
func (sm *Simulation) runTimeOf(taskID string, t *target) time.Duration {
	c := sm.clients[jobID(taskID)]
	index, err := strconv.Atoi(taskID[strings.LastIndexByte(taskID, '.')+1:])
	if err != nil || index >= len(c.taskFactors) {
		sm.recordViolation("task %s was started, but its job has no such task", taskID)
		return time.Millisecond
	}
	return time.Duration(c.taskSeconds * c.taskFactors[index] * t.slowFactor * float64(time.Second))
}

// checkRefusedJobsNotStarted checks at the end of the simulation that no run of a job that was
// refused as not run has been started. It leaves out jobs that may have run in an attempt
// whose outcome is unknown.
func (sm *Simulation) checkRefusedJobsNotStarted() {
	for _, id := range sortedKeys(sm.clients) {
		c := sm.clients[id]
		if c.wasRefused && !c.mayHaveRun && sm.startCounts[id] > 0 {
			sm.recordViolation("job %s was refused as not run, but at least one of its runs has been started", id)
		}
	}
}

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
	Stretch                      float64
	Allowance                    time.Duration
	MaxAttempts                  int
	// Benefit is the benefit value of an answer in time. A late answer has a
	// fifth of it, and none after three times the latency objective.
	Benefit float64
}

// client is a job and the client that sends it.
type client struct {
	sim         *Simulation
	id          string
	kind        *JobKind
	zone        string
	job         router.Job
	taskSeconds float64   // run time of one task at a default target, in seconds
	taskFactors []float64 // run time factor of each task
	sentAt      time.Time
	objective   time.Duration // latency objective
	timeout     time.Duration
	host        *host
	requestID   uint64
	attempts    int
	index       int // index among the jobs of its kind
	ended       bool
	wasRefused  bool
	wasResent   bool // was sent again after a refusal
	mayHaveRun  bool // an earlier attempt ended without a definite answer
}

const (
	// resendDelay is the time that a client waits before it sends a job again whose
	// outcome is unknown.
	resendDelay = 1300 * time.Millisecond
	// A client waits for its answer for timeoutBase plus timeoutFactor times its latency
	// objective.
	timeoutBase   = 1500 * time.Millisecond
	timeoutFactor = 3
)

// scheduleArrivals schedules the first job of each kind.
func (sim *Simulation) scheduleArrivals() {
	for i := range sim.Kinds {
		k := &sim.Kinds[i]
		sim.scheduleNextJob(k, sim.start)
	}
}

// scheduleNextJob schedules the next job of a kind after a moment, with exponentially
// distributed intervals.
func (sim *Simulation) scheduleNextJob(k *JobKind, from time.Time) {
	rate := k.Rate * sim.LoadFactor * sim.burstFactor(k.Name, from)
	interval := time.Duration(sim.jobRandom.ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
	at := from.Add(interval)
	if at.After(sim.start.Add(sim.LoadDuration)) {
		return
	}
	sim.schedule(at.Sub(sim.now), func() {
		sim.submitNewJob(k)
		sim.scheduleNextJob(k, at)
	})
}

// submitNewJob draws a job of a kind and sends it.
func (sim *Simulation) submitNewJob(k *JobKind) {
	sim.lastNumber++
	normalRandom := sim.jobRandom.NormFloat64
	taskSeconds := k.MeanRunTime.Seconds() * math.Exp(k.RunTimeSpread*normalRandom()-k.RunTimeSpread*k.RunTimeSpread/2)
	count := int(math.Round(k.MeanTasks * math.Exp(0.4*normalRandom()-0.08)))
	count = min(max(count, 1), int(4*k.MeanTasks))
	need := k.Need
	need.CPU = min(int(float64(need.CPU)*math.Exp(0.2*normalRandom())), need.CPU*3/2)
	c := &client{
		sim: sim, id: fmt.Sprintf("%016x", sim.lastNumber), kind: k, taskSeconds: taskSeconds, sentAt: sim.now,
		zone: sim.Size.Zones[sim.jobRandom.IntN(len(sim.Size.Zones))],
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
	sim.clients[c.id] = c
	sim.Results.recordSubmitted(c)
	c.send()
}

// send submits the job to a host of the client's zone, or to any host if there is none in
// the zone. It records a violation if a host that runs without pause does not answer
// within a second after the client's timeout.
func (c *client) send() {
	sim := c.sim
	var hosts []*host
	for _, zone := range append([]string{c.zone}, sim.Size.Zones...) {
		for _, h := range sim.hosts {
			if h.up && h.zone == zone && !h.leaving {
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
	c.requestID = uint64(sim.lastNumber)<<8 | uint64(c.attempts)
	sim.lastNumber++
	remaining := c.timeout - sim.now.Sub(c.sentAt)
	requestID, sentAt := c.requestID, sim.now
	h.schedule(clientDelay, func() { h.step(router.Submit{Request: requestID, Job: c.job, Budget: remaining}) })
	sim.schedule(remaining+time.Second, func() {
		if !c.ended && c.host == h && c.requestID == requestID && h.up && !h.paused && h.resumedAt.Before(sentAt) {
			sim.recordViolation("no answer to job %s from host %s %v after the client's timeout", c.id, h.name, time.Second)
			c.ended = true
		}
	})
}

// clientDelay is the one-way network delay between a client and a host.
const clientDelay = time.Millisecond

// scheduleResend schedules another attempt after resendDelay unless the client's timeout
// is over by then. The job may have run.
func (c *client) scheduleResend() {
	c.mayHaveRun = true
	c.host = nil
	if c.sim.now.Sub(c.sentAt)+resendDelay > c.timeout {
		c.ended = true
		return
	}
	c.sim.schedule(resendDelay, func() {
		if !c.ended {
			c.send()
		}
	})
}

// retryAfterRefusal sends a refused job again after the delay in the answer.
func (c *client) retryAfterRefusal(delay time.Duration) {
	c.wasResent, c.host = true, nil
	c.sim.Results.Retried++
	c.sim.schedule(delay+clientDelay, func() {
		if !c.ended {
			c.send()
		}
	})
}

// handleBrokenConnection makes the client resend its job.
func (c *client) handleBrokenConnection() { c.scheduleResend() }

func (sim *Simulation) clientsWaitingAt(h *host) []*client {
	var clients []*client
	for _, id := range sortedKeys(sim.clients) {
		if c := sim.clients[id]; c.host == h && !c.ended {
			clients = append(clients, c)
		}
	}
	return clients
}

// handleAnswer applies a host's answer to its client and checks that it is true.
func (sim *Simulation) handleAnswer(h *host, e router.Answer) {
	c := sim.clients[e.Verdict.ID]
	if c == nil || c.ended || c.host != h || c.requestID != e.Request {
		return
	}
	responseTime := sim.now.Sub(c.sentAt) + clientDelay
	switch e.Verdict.Outcome {
	case router.Complete:
		for i := range c.job.Count {
			if !sim.finishedTasks[c.id][strconv.Itoa(i)] {
				sim.recordViolation("job %s was answered as complete, but task %d is not done", c.id, i)
			}
		}
		c.ended = true
		sim.Results.recordComplete(c, responseTime)
	case router.Refused:
		if sim.startCounts[c.id] > 0 && !c.mayHaveRun {
			sim.recordViolation("job %s was refused as not run (%s) after %d starts", c.id, e.Verdict.Reason, sim.startCounts[c.id])
		}
		if sim.RetryRefusedJobs && !c.wasResent {
			c.retryAfterRefusal(e.Verdict.RetryAfter)
			return
		}
		c.ended, c.wasRefused = true, true
		sim.Results.recordRefused(c, e.Verdict.Reason)
	case router.Failed:
		c.ended = true
		sim.Results.recordFailed(c, e.Verdict.Reason)
	default:
		sim.Results.recordUnknown(c, e.Verdict.Reason)
		c.scheduleResend()
	}
}

func (sim *Simulation) recordFinishedTask(task string) {
	id, index := jobID(task), task[strings.LastIndexByte(task, '.')+1:]
	if sim.finishedTasks[id] == nil {
		sim.finishedTasks[id] = make(map[string]bool)
	}
	sim.finishedTasks[id][index] = true
}

func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (sim *Simulation) jobOf(task string) *router.Job { return &sim.clients[jobID(task)].job }

// runTimeOf returns the run time of a task at a target.
func (sim *Simulation) runTimeOf(task string, t *target) time.Duration {
	c := sim.clients[jobID(task)]
	index, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	if err != nil || index >= len(c.taskFactors) {
		sim.recordViolation("task %s was started, but its job has no such task", task)
		return time.Millisecond
	}
	return time.Duration(c.taskSeconds * c.taskFactors[index] * t.slow * float64(time.Second))
}

// checkFinalState checks that no job was started after it was refused as not run.
func (sim *Simulation) checkFinalState() {
	for _, id := range sortedKeys(sim.clients) {
		c := sim.clients[id]
		if c.wasRefused && !c.mayHaveRun && sim.startCounts[id] > 0 {
			sim.recordViolation("job %s was refused as not run and started later", id)
		}
	}
}

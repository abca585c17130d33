package modeler

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Kind is one kind of job.
type Kind struct {
	Name string
	// Rate is the number of jobs per second in the whole deployment.
	Rate float64
	// Tasks is the mean number of tasks per job; a job has at most four times as many.
	Tasks float64
	// Work is the mean run time of a task. Spread and Off are standard deviations of the
	// logarithm: the run times of jobs differ by Spread, those of the tasks of one job by
	// a third of Spread, and the declared run times deviate by Off.
	Work        time.Duration
	Spread, Off float64
	Need        router.Resources
	Stretch     float64
	Allowance   time.Duration
	Attempts    int
	// Worth is the benefit value of an answer in time. A late answer has a
	// fifth of it, and none after three times the latency objective.
	Worth float64
}

// client is a job and the client that sends it.
type client struct {
	world       *World
	id          string
	kind        *Kind
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
func (w *World) scheduleArrivals() {
	for i := range w.Kinds {
		k := &w.Kinds[i]
		w.scheduleNextJob(k, w.start)
	}
}

// scheduleNextJob schedules the next job of a kind after a moment, with exponentially
// distributed intervals.
func (w *World) scheduleNextJob(k *Kind, from time.Time) {
	rate := k.Rate * w.Load * w.burstFactor(k.Name, from)
	interval := time.Duration(w.jobRandom.ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
	at := from.Add(interval)
	if at.After(w.start.Add(w.Length)) {
		return
	}
	w.schedule(at.Sub(w.now), func() {
		w.submitNewJob(k)
		w.scheduleNextJob(k, at)
	})
}

// submitNewJob draws a job of a kind and sends it.
func (w *World) submitNewJob(k *Kind) {
	w.lastNumber++
	normalRandom := w.jobRandom.NormFloat64
	taskSeconds := k.Work.Seconds() * math.Exp(k.Spread*normalRandom()-k.Spread*k.Spread/2)
	count := int(math.Round(k.Tasks * math.Exp(0.4*normalRandom()-0.08)))
	count = min(max(count, 1), int(4*k.Tasks))
	need := k.Need
	need.CPU = min(int(float64(need.CPU)*math.Exp(0.2*normalRandom())), need.CPU*3/2)
	c := &client{
		world: w, id: fmt.Sprintf("%016x", w.lastNumber), kind: k, taskSeconds: taskSeconds, sentAt: w.now,
		zone: w.Layout.Zones[w.jobRandom.IntN(len(w.Layout.Zones))],
	}
	maxFactor := 0.0
	for range count {
		factor := math.Exp(k.Spread / 3 * normalRandom())
		c.taskFactors = append(c.taskFactors, factor)
		maxFactor = max(maxFactor, factor)
	}
	c.objective = time.Duration(taskSeconds*maxFactor*k.Stretch*float64(time.Second)) + k.Allowance
	c.timeout = timeoutBase + timeoutFactor*c.objective
	c.job = router.Job{
		ID: c.id, Route: k.Name, Service: "work", Count: count, Need: need,
		ExpectedRunTime: time.Duration(taskSeconds * math.Exp(k.Off*normalRandom()) * float64(time.Second)),
		MaxAttempts:     max(k.Attempts, 1), Stretch: k.Stretch, Allowance: k.Allowance,
	}
	w.clients[c.id] = c
	w.Tally.recordSubmitted(c)
	c.send()
}

// send submits the job to a host of the client's zone, or to any host if there is none in
// the zone. It records a violation if a host that runs without pause does not answer
// within a second after the client's timeout.
func (c *client) send() {
	w := c.world
	var hosts []*host
	for _, zone := range append([]string{c.zone}, w.Layout.Zones...) {
		for _, h := range w.hosts {
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
	h := hosts[w.random.IntN(len(hosts))]
	c.host = h
	c.requestID = uint64(w.lastNumber)<<8 | uint64(c.attempts)
	w.lastNumber++
	remaining := c.timeout - w.now.Sub(c.sentAt)
	requestID, sentAt := c.requestID, w.now
	h.schedule(clientDelay, func() { h.step(router.Submit{Request: requestID, Job: c.job, Budget: remaining}) })
	w.schedule(remaining+time.Second, func() {
		if !c.ended && c.host == h && c.requestID == requestID && h.up && !h.paused && h.resumedAt.Before(sentAt) {
			w.recordViolation("no answer to job %s from host %s %v after the client's timeout", c.id, h.name, time.Second)
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
	if c.world.now.Sub(c.sentAt)+resendDelay > c.timeout {
		c.ended = true
		return
	}
	c.world.schedule(resendDelay, func() {
		if !c.ended {
			c.send()
		}
	})
}

// retryAfterRefusal sends a refused job again after the delay in the answer.
func (c *client) retryAfterRefusal(delay time.Duration) {
	c.wasResent, c.host = true, nil
	c.world.Tally.Returned++
	c.world.schedule(delay+clientDelay, func() {
		if !c.ended {
			c.send()
		}
	})
}

// handleBrokenConnection makes the client resend its job.
func (c *client) handleBrokenConnection() { c.scheduleResend() }

func (w *World) clientsWaitingAt(h *host) []*client {
	var clients []*client
	for _, id := range sortedKeys(w.clients) {
		if c := w.clients[id]; c.host == h && !c.ended {
			clients = append(clients, c)
		}
	}
	return clients
}

// handleAnswer applies a host's answer to its client and checks that it is true.
func (w *World) handleAnswer(h *host, e router.Answer) {
	c := w.clients[e.Verdict.ID]
	if c == nil || c.ended || c.host != h || c.requestID != e.Request {
		return
	}
	responseTime := w.now.Sub(c.sentAt) + clientDelay
	switch e.Verdict.Outcome {
	case router.Complete:
		for i := range c.job.Count {
			if !w.finishedTasks[c.id][strconv.Itoa(i)] {
				w.recordViolation("job %s was answered as complete, but task %d is not done", c.id, i)
			}
		}
		c.ended = true
		w.Tally.recordComplete(c, responseTime)
	case router.Refused:
		if w.startCounts[c.id] > 0 && !c.mayHaveRun {
			w.recordViolation("job %s was refused as not run (%s) after %d starts", c.id, e.Verdict.Reason, w.startCounts[c.id])
		}
		if w.Returns && !c.wasResent {
			c.retryAfterRefusal(e.Verdict.RetryAfter)
			return
		}
		c.ended, c.wasRefused = true, true
		w.Tally.recordRefused(c, e.Verdict.Reason)
	case router.Failed:
		c.ended = true
		w.Tally.recordFailed(c, e.Verdict.Reason)
	default:
		w.Tally.recordUnknown(c, e.Verdict.Reason)
		c.scheduleResend()
	}
}

func (w *World) recordFinishedTask(task string) {
	id, index := jobID(task), task[strings.LastIndexByte(task, '.')+1:]
	if w.finishedTasks[id] == nil {
		w.finishedTasks[id] = make(map[string]bool)
	}
	w.finishedTasks[id][index] = true
}

func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (w *World) jobOf(task string) *router.Job { return &w.clients[jobID(task)].job }

// runTimeOf returns the run time of a task at a target.
func (w *World) runTimeOf(task string, t *target) time.Duration {
	c := w.clients[jobID(task)]
	index, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	if err != nil || index >= len(c.taskFactors) {
		w.recordViolation("task %s was started, but its job has no such task", task)
		return time.Millisecond
	}
	return time.Duration(c.taskSeconds * c.taskFactors[index] * t.slow * float64(time.Second))
}

// checkFinalState checks that no job was started after it was refused as not run.
func (w *World) checkFinalState() {
	for _, id := range sortedKeys(w.clients) {
		c := w.clients[id]
		if c.wasRefused && !c.mayHaveRun && w.startCounts[id] > 0 {
			w.recordViolation("job %s was refused as not run and started later", id)
		}
	}
}

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
	// Rate is the jobs a second of the whole deployment.
	Rate float64
	// Tasks is the mean number of tasks, at most four times as many.
	Tasks float64
	// Work is the mean run time of a task; jobs differ by Spread, the tasks of
	// one job by a third of it, and declared times by Off (standard deviations
	// of the logarithm).
	Work        time.Duration
	Spread, Off float64
	Need        router.Resources
	Stretch     float64
	Allowance   time.Duration
	Attempts    int
	// Worth is what an answer in time is worth, a late one a fifth.
	Worth float64
}

// client is one job and its client.
type client struct {
	world    *World
	id       string
	kind     *Kind
	zone     string
	job      router.Job
	length   float64   // seconds of one task at a usual target
	parts    []float64 // factor of each task
	sent     time.Time
	goal     time.Duration // the objective
	patience time.Duration
	at       *host
	request  uint64
	tries    int
	place    int // among the jobs of its kind
	ended    bool
	refused  bool
	returned bool // has come back after a refusal
	doubtful bool // an earlier try ended without a clear answer
}

const (
	// resend is how long a client waits before it sends a job again whose fate
	// it was not told.
	resend = 1300 * time.Millisecond
	// patienceBase and patienceFactor make the time that a client waits.
	patienceBase   = 1500 * time.Millisecond
	patienceFactor = 3
)

// arrive plans the jobs of all kinds.
func (w *World) arrive() {
	for i := range w.Kinds {
		k := &w.Kinds[i]
		w.next(k, w.start)
	}
}

// next plans a kind's next job after a time.
func (w *World) next(k *Kind, from time.Time) {
	rate := k.Rate * w.Load * w.surge(k.Name, from)
	gap := time.Duration(w.jobs.ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
	at := from.Add(gap)
	if at.After(w.start.Add(w.Length)) {
		return
	}
	w.after(at.Sub(w.now), func() {
		w.come(k)
		w.next(k, at)
	})
}

// come makes one job and sends it.
func (w *World) come(k *Kind) {
	w.number++
	normal := w.jobs.NormFloat64
	length := k.Work.Seconds() * math.Exp(k.Spread*normal()-k.Spread*k.Spread/2)
	count := int(math.Round(k.Tasks * math.Exp(0.4*normal()-0.08)))
	count = min(max(count, 1), int(4*k.Tasks))
	need := k.Need
	need.CPU = min(int(float64(need.CPU)*math.Exp(0.2*normal())), need.CPU*3/2)
	c := &client{
		world: w, id: fmt.Sprintf("%016x", w.number), kind: k, length: length, sent: w.now,
		zone: w.Layout.Zones[w.jobs.IntN(len(w.Layout.Zones))],
	}
	longest := 0.0
	for range count {
		part := math.Exp(k.Spread / 3 * normal())
		c.parts = append(c.parts, part)
		longest = max(longest, part)
	}
	c.goal = time.Duration(length*longest*k.Stretch*float64(time.Second)) + k.Allowance
	c.patience = patienceBase + patienceFactor*c.goal
	c.job = router.Job{
		ID: c.id, Route: k.Name, Service: "work", Count: count, Need: need,
		ExpectedRunTime: time.Duration(length * math.Exp(k.Off*normal()) * float64(time.Second)),
		MaxAttempts:     max(k.Attempts, 1), Stretch: k.Stretch, Allowance: k.Allowance,
	}
	w.clients[c.id] = c
	w.Tally.asked(c)
	c.send()
}

// send hands the job to a host of the client's zone, or of another where there
// is none.
func (c *client) send() {
	w := c.world
	var list []*host
	for _, zone := range append([]string{c.zone}, w.Layout.Zones...) {
		for _, h := range w.hosts {
			if h.up && h.zone == zone && !h.leaving {
				list = append(list, h)
			}
		}
		if len(list) > 0 {
			break
		}
	}
	if len(list) == 0 {
		c.again()
		return
	}
	c.tries++
	h := list[w.random.IntN(len(list))]
	c.at = h
	c.request = uint64(w.number)<<8 | uint64(c.tries)
	w.number++
	left := c.patience - w.now.Sub(c.sent)
	request, began := c.request, w.now
	h.later(clientTrip, func() { h.step(router.Submit{Request: request, Job: c.job, Budget: left}) })
	w.after(left+time.Second, func() {
		if !c.ended && c.at == h && c.request == request && h.up && !h.frozen && h.thawed.Before(began) {
			w.broken("no answer to %s by %s, %v after its time", c.id, h.name, time.Second)
			c.ended = true
		}
	})
}

const clientTrip = time.Millisecond

// again sends the job once more after a while, if there is time.
func (c *client) again() {
	c.doubtful = true
	c.at = nil
	if c.world.now.Sub(c.sent)+resend > c.patience {
		c.ended = true
		return
	}
	c.world.after(resend, func() {
		if !c.ended {
			c.send()
		}
	})
}

// comeBack sends a refused job again when the client was told to.
func (c *client) comeBack(after time.Duration) {
	c.returned, c.at = true, nil
	c.world.Tally.Returned++
	c.world.after(after+clientTrip, func() {
		if !c.ended {
			c.send()
		}
	})
}

// brokenOff tells the client that its connection has broken.
func (c *client) brokenOff() { c.again() }

func (w *World) clientsOf(h *host) []*client {
	var list []*client
	for _, id := range sortedNames(w.clients) {
		if c := w.clients[id]; c.at == h && !c.ended {
			list = append(list, c)
		}
	}
	return list
}

// answered takes a host's answer.
func (w *World) answered(h *host, e router.Answer) {
	c := w.clients[e.Verdict.ID]
	if c == nil || c.ended || c.at != h || c.request != e.Request {
		return
	}
	took := w.now.Sub(c.sent) + clientTrip
	switch e.Verdict.Outcome {
	case router.Complete:
		for i := range c.job.Count {
			if !w.done[c.id][strconv.Itoa(i)] {
				w.broken("%s is complete without task %d", c.id, i)
			}
		}
		c.ended = true
		w.Tally.complete(c, took)
	case router.Refused:
		if w.starts[c.id] > 0 && !c.doubtful {
			w.broken("%s was refused as not run (%s) after %d starts", c.id, e.Verdict.Reason, w.starts[c.id])
		}
		if w.Returns && !c.returned {
			c.comeBack(e.Verdict.RetryAfter)
			return
		}
		c.ended, c.refused = true, true
		w.Tally.refuse(c, e.Verdict.Reason)
	case router.Failed:
		c.ended = true
		w.Tally.fail(c, e.Verdict.Reason)
	default:
		w.Tally.unknown(c, e.Verdict.Reason)
		c.again()
	}
}

// finished notes that a task has done its work.
func (w *World) finished(task string) {
	id, index := jobName(task), task[strings.LastIndexByte(task, '.')+1:]
	if w.done[id] == nil {
		w.done[id] = make(map[string]bool)
	}
	w.done[id][index] = true
}

func jobName(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (w *World) jobOf(task string) *router.Job { return &w.clients[jobName(task)].job }

// lengthOf returns how long a task runs at a target.
func (w *World) lengthOf(task string, t *target) time.Duration {
	c := w.clients[jobName(task)]
	index, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	if err != nil || index >= len(c.parts) {
		w.broken("unknown task %s was started", task)
		return time.Millisecond
	}
	return time.Duration(c.length * c.parts[index] * t.slow * float64(time.Second))
}

// close checks what must hold at the end.
func (w *World) close() {
	for _, id := range sortedNames(w.clients) {
		c := w.clients[id]
		if c.refused && !c.doubtful && w.starts[id] > 0 {
			w.broken("%s was refused as not run and started later", id)
		}
	}
}

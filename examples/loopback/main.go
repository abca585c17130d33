// Command loopback measures on real connections what examples/policies measures
// in virtual time: a small client alone, beside a client that floods, and in one
// queue with it. It takes three daemons and stand-in targets in one process.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/stager"
)

const (
	targets  = 6
	slots    = 8
	deadline = 5 * time.Minute
)

func main() {
	length := flag.Duration("length", 15*time.Second, "how long to measure each case")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tjobs\tmean slowdown\tp50\tp99\ttwice started\t")
	for _, c := range []trial{
		{name: "small alone", small: "small"},
		{name: "beside a flood, a queue each", small: "small", flood: "flood"},
		{name: "beside a flood, one FIFO", small: "flood", flood: "flood", order: "order = first"},
	} {
		if err := c.measure(w, *length); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if err := w.Flush(); err != nil {
		os.Exit(1)
	}
}

// trial is one case to measure.
type trial struct {
	name  string
	small string // the client that the small jobs are submitted as
	flood string // the client that floods, if any
	order string
}

// measure runs the case and writes its row.
func (c trial) measure(w *tabwriter.Writer, length time.Duration) error {
	s := &stager.Stage{
		Zones: []string{"z"}, Hosts: []int{3}, Targets: targets, Slots: slots, Clients: []string{"small", "flood"},
		Log: logr.Discard(), Order: c.order,
	}
	if err := s.Start(context.Background()); err != nil {
		return err
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	p := &player{stage: s, group: &group, random: rand.New(rand.NewPCG(1, 2))}
	if c.flood != "" {
		p.spawn(ctx, source{client: c.flood, label: "flood", least: 50, most: 100, gap: 400 * time.Millisecond})
	}
	p.spawn(ctx, source{client: c.small, label: "small", least: 1, most: 4, gap: 60 * time.Millisecond})
	group.Wait()
	slices.Sort(p.slowdowns)
	twice := 0
	for _, n := range s.Starts() {
		if n > 1 {
			twice++
		}
	}
	n := len(p.slowdowns)
	if n == 0 {
		return fmt.Errorf("%s: no small job ended", c.name)
	}
	sum := 0.0
	for _, x := range p.slowdowns {
		sum += x
	}
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t\n", c.name, n, sum/float64(n), p.slowdowns[n/2], p.slowdowns[n*99/100], twice)
	return nil
}

// player submits jobs and collects the slowdowns of the small ones.
type player struct {
	stage     *stager.Stage
	group     *sync.WaitGroup
	mutex     sync.Mutex
	random    *rand.Rand
	slowdowns []float64
}

// spawn submits the source's jobs until the context ends.
func (p *player) spawn(ctx context.Context, s source) {
	s.player = p
	p.group.Add(1)
	go s.run(ctx)
}

// source is one stream of jobs of least to most tasks at a mean gap.
type source struct {
	player      *player
	client      string
	label       string
	least, most int
	gap         time.Duration
}

// shortest and longest bound the run times.
const (
	shortest = 50 * time.Millisecond
	longest  = time.Second
)

func (s *source) run(ctx context.Context) {
	defer s.player.group.Done()
	for ctx.Err() == nil {
		pause, runs, host := s.draw()
		timer := time.NewTimer(pause)
		<-timer.C
		s.player.group.Add(1)
		go (&call{source: s, runs: runs, node: s.player.stage.Nodes[host]}).run(ctx)
	}
}

// draw returns the time to the next job, its run times and its entry host.
func (s *source) draw() (pause time.Duration, runs []time.Duration, host int) {
	p := s.player
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pause = time.Duration(p.random.ExpFloat64() * float64(s.gap))
	for range s.least + p.random.IntN(s.most-s.least+1) {
		runs = append(runs, shortest+time.Duration(p.random.Int64N(int64(longest-shortest))))
	}
	return pause, runs, p.random.IntN(len(p.stage.Nodes))
}

// call is one job.
type call struct {
	source *source
	runs   []time.Duration
	node   *stager.Node
}

// run submits the job. A flooding job is given up when the measurement ends.
func (c *call) run(ctx context.Context) {
	s := c.source
	defer s.player.group.Done()
	job := shallotrouter.Job{Service: stager.Service, Idempotent: true, Deadline: shallotrouter.Duration(deadline)}
	for _, run := range c.runs {
		payload, err := json.Marshal(faker.Work{Run: run, Echo: strings.Repeat("x", 10)})
		if err != nil {
			return
		}
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: s.label, Payload: payload})
	}
	start := time.Now()
	answer, err := s.player.stage.Client(c.node, s.client).Submit(ctx, job)
	if s.label != "small" || err != nil || answer.Outcome != shallotrouter.Complete {
		return
	}
	s.player.mutex.Lock()
	defer s.player.mutex.Unlock()
	s.player.slowdowns = append(s.player.slowdowns, time.Since(start).Seconds()/slices.Max(c.runs).Seconds())
}

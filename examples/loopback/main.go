// Command loopback measures over real connections what examples/policies measures in
// virtual time: a small client alone, beside a client that floods the deployment, and
// in one queue with that client. It runs three daemons and the stand-in targets in one
// process.
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
	duration := flag.Duration("length", 15*time.Second, "how long to measure each scenario")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tjobs\tmean slowdown\tp50\tp99\ttwice started\t")
	for _, c := range []scenario{
		{name: "small alone", smallClient: "small"},
		{name: "beside a flood, a queue each", smallClient: "small", floodClient: "flood"},
		{name: "beside a flood, one FIFO", smallClient: "flood", floodClient: "flood", orderLine: "order = first"},
	} {
		if err := c.measure(w, *duration); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if err := w.Flush(); err != nil {
		os.Exit(1)
	}
}

// scenario is a scenario to measure.
type scenario struct {
	name        string
	smallClient string // client under which the small jobs are submitted
	floodClient string // client that floods the deployment; empty means none
	orderLine   string
}

// measure runs the scenario and prints its row.
func (c scenario) measure(w *tabwriter.Writer, duration time.Duration) error {
	s := &stager.Deployment{
		Zones: []string{"z"}, Hosts: []int{3}, Targets: targets, Slots: slots, Clients: []string{"small", "flood"},
		Log: logr.Discard(), ServiceLines: c.orderLine,
	}
	if err := s.Start(context.Background()); err != nil {
		return err
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var group sync.WaitGroup
	g := &loadGenerator{stage: s, group: &group, random: rand.New(rand.NewPCG(1, 2))}
	if c.floodClient != "" {
		g.start(ctx, jobSource{client: c.floodClient, kind: "flood", minTasks: 50, maxTasks: 100, meanInterval: 400 * time.Millisecond})
	}
	g.start(ctx, jobSource{client: c.smallClient, kind: "small", minTasks: 1, maxTasks: 4, meanInterval: 60 * time.Millisecond})
	group.Wait()
	slices.Sort(g.slowdowns)
	startedTwice := 0
	for _, n := range s.StartCounts() {
		if n > 1 {
			startedTwice++
		}
	}
	n := len(g.slowdowns)
	if n == 0 {
		return fmt.Errorf("%s: no job of the small client was completed", c.name)
	}
	sum := 0.0
	for _, slowdown := range g.slowdowns {
		sum += slowdown
	}
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t\n", c.name, n, sum/float64(n), g.slowdowns[n/2], g.slowdowns[n*99/100], startedTwice)
	return nil
}

// loadGenerator submits jobs and collects the slowdowns of the small client's jobs.
type loadGenerator struct {
	stage     *stager.Deployment
	group     *sync.WaitGroup
	mutex     sync.Mutex
	random    *rand.Rand
	slowdowns []float64
}

// start starts to submit the jobs of a source, until the context ends.
func (g *loadGenerator) start(ctx context.Context, s jobSource) {
	s.generator = g
	g.group.Add(1)
	go s.run(ctx)
}

// jobSource is a stream of jobs of minTasks to maxTasks tasks, submitted as a Poisson
// process with the given mean interval.
type jobSource struct {
	generator          *loadGenerator
	client             string
	kind               string
	minTasks, maxTasks int
	meanInterval       time.Duration
}

// minRunTime and maxRunTime are the bounds of the run times.
const (
	minRunTime = 50 * time.Millisecond
	maxRunTime = time.Second
)

func (s *jobSource) run(ctx context.Context) {
	defer s.generator.group.Done()
	for ctx.Err() == nil {
		delay, runTimes, host := s.nextJob()
		timer := time.NewTimer(delay)
		<-timer.C
		s.generator.group.Add(1)
		go (&submission{source: s, runTimes: runTimes, node: s.generator.stage.Nodes[host]}).run(ctx)
	}
}

// nextJob returns the delay until the next job, the run times of its tasks and the
// index of its entry host.
func (s *jobSource) nextJob() (delay time.Duration, runTimes []time.Duration, host int) {
	g := s.generator
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delay = time.Duration(g.random.ExpFloat64() * float64(s.meanInterval))
	for range s.minTasks + g.random.IntN(s.maxTasks-s.minTasks+1) {
		runTimes = append(runTimes, minRunTime+time.Duration(g.random.Int64N(int64(maxRunTime-minRunTime))))
	}
	return delay, runTimes, g.random.IntN(len(g.stage.Nodes))
}

// submission is a job to submit.
type submission struct {
	source   *jobSource
	runTimes []time.Duration
	node     *stager.Node
}

// run submits the job and records the slowdown if it is a completed job of the small
// client. Jobs without an answer are aborted when the measurement ends.
func (s *submission) run(ctx context.Context) {
	source := s.source
	defer source.generator.group.Done()
	job := shallotrouter.Job{Service: stager.Service, Idempotent: true, Deadline: shallotrouter.Duration(deadline)}
	for _, runTime := range s.runTimes {
		payload, err := json.Marshal(faker.Work{RunTime: runTime, Result: strings.Repeat("x", 10)})
		if err != nil {
			return
		}
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: source.kind, Payload: payload})
	}
	start := time.Now()
	answer, err := source.generator.stage.Client(s.node, source.client).Submit(ctx, job)
	if source.kind != "small" || err != nil || answer.Outcome != shallotrouter.Complete {
		return
	}
	source.generator.mutex.Lock()
	defer source.generator.mutex.Unlock()
	source.generator.slowdowns = append(source.generator.slowdowns, time.Since(start).Seconds()/slices.Max(s.runTimes).Seconds())
}

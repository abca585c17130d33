package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/faker"
)

// loadGenerator submits the same job repeatedly and counts the outcomes.
type loadGenerator struct {
	job     shallotrouter.Job
	clients []*shallotrouter.Client

	mutex             sync.Mutex
	outcomes          map[shallotrouter.Outcome]int
	maxResponseTime   time.Duration
	totalResponseTime time.Duration
}

// runLoad submits jobs of equal tasks from several submitters. Each submitter waits for
// an answer before it submits the next job.
func runLoad(args []string) error {
	flags := flag.NewFlagSet("load", flag.ExitOnError)
	hosts := flags.String("hosts", "http://127.0.0.1:7100", "the base `URLs` of the entry hosts, separated by commas")
	service := flags.String("service", "despacho", "the service that runs the tasks")
	submitters := flags.Int("submitters", 8, "the number of jobs that are submitted concurrently")
	tasks := flags.Int("tasks", 20, "the number of tasks of a job")
	runTime := flags.Duration("run", 100*time.Millisecond, "the run time of a task")
	duration := flags.Duration("length", 10*time.Second, "how long to submit jobs")
	if err := flags.Parse(args); err != nil {
		return err
	}
	payload, err := json.Marshal(faker.Work{RunTime: *runTime, Result: "done"})
	if err != nil {
		return err
	}
	l := &loadGenerator{outcomes: make(map[shallotrouter.Outcome]int)}
	l.job = shallotrouter.Job{Service: *service, Idempotent: true, Deadline: shallotrouter.Duration(time.Minute)}
	for range *tasks {
		l.job.Tasks = append(l.job.Tasks, shallotrouter.Task{Kind: "load", Payload: payload, Expect: shallotrouter.Duration(*runTime)})
	}
	for host := range strings.SplitSeq(*hosts, ",") {
		l.clients = append(l.clients, &shallotrouter.Client{Address: host, Token: os.Getenv("SHALLOTROUTER_TOKEN")})
	}
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range *submitters {
		group.Add(1)
		go (&submitter{generator: l, client: l.clients[i%len(l.clients)], group: &group}).run(ctx)
	}
	group.Wait()
	l.printResults(*duration)
	return nil
}

func (l *loadGenerator) printResults(duration time.Duration) {
	jobs := 0
	for outcome, n := range l.outcomes {
		fmt.Printf("%s\t%d\n", outcome, n)
		jobs += n
	}
	if jobs == 0 {
		return
	}
	fmt.Printf("%.0f tasks/s, mean response %v, slowest %v\n",
		float64(jobs*len(l.job.Tasks))/duration.Seconds(), l.totalResponseTime/time.Duration(jobs), l.maxResponseTime)
}

// submitter submits jobs one after the other.
type submitter struct {
	generator *loadGenerator
	client    *shallotrouter.Client
	group     *sync.WaitGroup
}

func (s *submitter) run(ctx context.Context) {
	defer s.group.Done()
	l := s.generator
	for ctx.Err() == nil {
		start := time.Now()
		answer, err := s.client.Submit(context.WithoutCancel(ctx), l.job)
		elapsed := time.Since(start)
		if err != nil {
			answer.Outcome, answer.After = "no answer", shallotrouter.Duration(noAnswerDelay)
		}
		l.mutex.Lock()
		l.outcomes[answer.Outcome]++
		l.totalResponseTime += elapsed
		l.maxResponseTime = max(l.maxResponseTime, elapsed)
		l.mutex.Unlock()
		timer := time.NewTimer(answer.After.Std())
		<-timer.C
	}
}

// noAnswerDelay is the delay after a request without an answer.
const noAnswerDelay = 200 * time.Millisecond

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

// loader submits jobs over and over and counts how they end.
type loader struct {
	job     shallotrouter.Job
	clients []*shallotrouter.Client

	mutex    sync.Mutex
	outcomes map[shallotrouter.Outcome]int
	slowest  time.Duration
	total    time.Duration
}

// load submits jobs of equal tasks from a number of submitters, each of which
// waits for one answer before it submits the next job.
func load(args []string) error {
	flags := flag.NewFlagSet("load", flag.ExitOnError)
	hosts := flags.String("hosts", "http://127.0.0.1:7100", "the base `URLs` of the entry hosts, with commas")
	service := flags.String("service", "despacho", "the service that is asked for")
	submitters := flags.Int("submitters", 8, "the jobs that are open together")
	tasks := flags.Int("tasks", 20, "the tasks of a job")
	run := flags.Duration("run", 100*time.Millisecond, "the run time of a task")
	length := flags.Duration("length", 10*time.Second, "how long to submit")
	if err := flags.Parse(args); err != nil {
		return err
	}
	payload, err := json.Marshal(faker.Work{Run: *run, Echo: "done"})
	if err != nil {
		return err
	}
	l := &loader{outcomes: make(map[shallotrouter.Outcome]int)}
	l.job = shallotrouter.Job{Service: *service, Idempotent: true, Deadline: shallotrouter.Duration(time.Minute)}
	for range *tasks {
		l.job.Tasks = append(l.job.Tasks, shallotrouter.Task{Kind: "load", Payload: payload, Expect: shallotrouter.Duration(*run)})
	}
	for host := range strings.SplitSeq(*hosts, ",") {
		l.clients = append(l.clients, &shallotrouter.Client{Address: host, Token: os.Getenv("SHALLOTROUTER_TOKEN")})
	}
	ctx, cancel := context.WithTimeout(context.Background(), *length)
	defer cancel()
	var group sync.WaitGroup
	for i := range *submitters {
		group.Add(1)
		go (&submitter{loader: l, client: l.clients[i%len(l.clients)], group: &group}).run(ctx)
	}
	group.Wait()
	l.show(*length)
	return nil
}

func (l *loader) show(length time.Duration) {
	jobs := 0
	for outcome, n := range l.outcomes {
		fmt.Printf("%s\t%d\n", outcome, n)
		jobs += n
	}
	if jobs == 0 {
		return
	}
	fmt.Printf("%.0f tasks/s, mean response %v, slowest %v\n",
		float64(jobs*len(l.job.Tasks))/length.Seconds(), l.total/time.Duration(jobs), l.slowest)
}

// submitter submits one job after the other.
type submitter struct {
	loader *loader
	client *shallotrouter.Client
	group  *sync.WaitGroup
}

func (s *submitter) run(ctx context.Context) {
	defer s.group.Done()
	l := s.loader
	for ctx.Err() == nil {
		start := time.Now()
		answer, err := s.client.Submit(context.WithoutCancel(ctx), l.job)
		elapsed := time.Since(start)
		if err != nil {
			answer.Outcome, answer.After = "no answer", shallotrouter.Duration(noAnswerPause)
		}
		l.mutex.Lock()
		l.outcomes[answer.Outcome]++
		l.total += elapsed
		l.slowest = max(l.slowest, elapsed)
		l.mutex.Unlock()
		timer := time.NewTimer(answer.After.Std())
		<-timer.C
	}
}

// noAnswerPause is the wait after a request without an answer.
const noAnswerPause = 200 * time.Millisecond

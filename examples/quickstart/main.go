// Command quickstart runs a complete deployment in one process on loopback: a
// stand-in platform, six stand-in targets and three daemons in two zones. It submits
// jobs for three clients and prints the outcome of each job.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/stager"
)

const (
	jobsPerClient = 4
	tasksPerJob   = 6
	deadline      = 10 * time.Second
)

func main() {
	if err := runDemo(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runDemo starts the deployment, submits the jobs and prints the table.
func runDemo(out *os.File) error {
	s := &stager.Deployment{
		Zones: []string{"bogota-norte", "medellin-sur"}, Hosts: []int{2, 1}, Targets: 3, Slots: 8,
		Clients: []string{"comites", "cruzroja", "puertos"}, Log: logr.Discard(),
	}
	if err := s.Start(context.Background()); err != nil {
		return err
	}
	defer s.Close()
	var group sync.WaitGroup
	submissions := make([]*submission, 0, jobsPerClient*len(s.Clients))
	for i := range jobsPerClient * len(s.Clients) {
		client := s.Clients[i%len(s.Clients)]
		node := s.Nodes[i%len(s.Nodes)]
		submissions = append(submissions, &submission{client: client, host: node.Name, api: s.Client(node, client), group: &group, longestRunTime: time.Duration(50+10*i) * time.Millisecond})
	}
	for _, sub := range submissions {
		group.Add(1)
		go sub.run()
	}
	group.Wait()
	return printTable(out, submissions)
}

// submission is a submitted job with its result.
type submission struct {
	client         string
	host           string
	api            *shallotrouter.Client
	group          *sync.WaitGroup
	longestRunTime time.Duration
	answer         shallotrouter.Answer
	elapsed        time.Duration
	err            error
}

func (s *submission) run() {
	defer s.group.Done()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	grant, err := s.api.Tickets(ctx, 1)
	if err != nil {
		s.err = err
		return
	}
	job := shallotrouter.Job{Ticket: grant.Tickets[0], Service: stager.Service, Deadline: shallotrouter.Duration(deadline)}
	for i := range tasksPerJob {
		payload, err := json.Marshal(faker.Work{RunTime: s.longestRunTime * time.Duration(i+1) / tasksPerJob, Result: fmt.Sprint(i)})
		if err != nil {
			s.err = err
			return
		}
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "allocation", Payload: payload, Expect: shallotrouter.Duration(s.longestRunTime)})
	}
	start := time.Now()
	s.answer, s.err = s.api.Submit(ctx, job)
	s.elapsed = time.Since(start)
}

// printTable prints one line per job. It returns the error of the first job that has
// no answer.
func printTable(out *os.File, submissions []*submission) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLIENT\tHOST\tOUTCOME\tRESULTS\tTIME\tSLOWDOWN\tREASON")
	for _, s := range submissions {
		if s.err != nil {
			return s.err
		}
		slowdown := s.elapsed.Seconds() / s.longestRunTime.Seconds()
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%.2f\t%s\n", s.client, s.host, s.answer.Outcome, len(s.answer.Results), s.elapsed.Round(time.Millisecond), slowdown, s.answer.Message)
	}
	return w.Flush()
}

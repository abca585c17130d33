// Command quickstart runs a whole deployment in one process on loopback: a
// stand-in platform, six targets and three daemons in two zones. It submits jobs
// for three clients and prints how each ended.
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
	jobsEach = 4
	tasks    = 6
	deadline = 10 * time.Second
)

func main() {
	if err := demonstrate(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// demonstrate runs the deployment and writes the table.
func demonstrate(out *os.File) error {
	s := &stager.Stage{
		Zones: []string{"bogota-norte", "medellin-sur"}, Hosts: []int{2, 1}, Targets: 3, Slots: 8,
		Clients: []string{"comites", "cruzroja", "puertos"}, Log: logr.Discard(),
	}
	if err := s.Start(context.Background()); err != nil {
		return err
	}
	defer s.Close()
	var group sync.WaitGroup
	runs := make([]*run, 0, jobsEach*len(s.Clients))
	for i := range jobsEach * len(s.Clients) {
		name := s.Clients[i%len(s.Clients)]
		node := s.Nodes[i%len(s.Nodes)]
		runs = append(runs, &run{client: name, host: node.Name, caller: s.Client(node, name), group: &group, longest: time.Duration(50+10*i) * time.Millisecond})
	}
	for _, r := range runs {
		group.Add(1)
		go r.run()
	}
	group.Wait()
	return table(out, runs)
}

// run is one submitted job.
type run struct {
	client  string
	host    string
	caller  *shallotrouter.Client
	group   *sync.WaitGroup
	longest time.Duration
	answer  shallotrouter.Answer
	elapsed time.Duration
	err     error
}

func (r *run) run() {
	defer r.group.Done()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	grant, err := r.caller.Tickets(ctx, 1)
	if err != nil {
		r.err = err
		return
	}
	job := shallotrouter.Job{Ticket: grant.Tickets[0], Service: stager.Service, Deadline: shallotrouter.Duration(deadline)}
	for i := range tasks {
		payload, err := json.Marshal(faker.Work{Run: r.longest * time.Duration(i+1) / tasks, Echo: fmt.Sprint(i)})
		if err != nil {
			r.err = err
			return
		}
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "allocation", Payload: payload, Expect: shallotrouter.Duration(r.longest)})
	}
	start := time.Now()
	r.answer, r.err = r.caller.Submit(ctx, job)
	r.elapsed = time.Since(start)
}

// table writes one line a job, and returns the first error.
func table(out *os.File, runs []*run) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLIENT\tHOST\tOUTCOME\tRESULTS\tTIME\tSLOWDOWN\tREASON")
	for _, r := range runs {
		if r.err != nil {
			return r.err
		}
		slowdown := r.elapsed.Seconds() / r.longest.Seconds()
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%.2f\t%s\n", r.client, r.host, r.answer.Outcome, len(r.answer.Results), r.elapsed.Round(time.Millisecond), slowdown, r.answer.Message)
	}
	return w.Flush()
}

package shallotrouter_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/stager"
)

// startDeployment starts a deployment for the examples: one host and two stand-in
// targets that echo their payload.
func startDeployment() (*stager.Deployment, *shallotrouter.Client) {
	s := &stager.Deployment{Zones: []string{"z"}, Hosts: []int{1}, Targets: 2, Slots: 8, Clients: []string{"comites"}, Log: logr.Discard()}
	if err := s.Start(context.Background()); err != nil {
		panic(err)
	}
	return s, s.Client(s.Nodes[0], "comites")
}

// A job is submitted under a ticket. Submitting it again under the same ticket, to
// any host, returns the same answer and starts no task again.
func ExampleClient_Submit() {
	s, client := startDeployment()
	defer s.Close()
	ctx := context.Background()
	grant, err := client.Tickets(ctx, 1)
	if err != nil {
		panic(err)
	}
	job := shallotrouter.Job{
		Ticket: grant.Tickets[0], Service: "despacho", Deadline: shallotrouter.Duration(5 * time.Second),
		Tasks: []shallotrouter.Task{
			{Kind: "allocation", Payload: []byte("12 pallets of water"), Expect: shallotrouter.Duration(100 * time.Millisecond)},
			{Kind: "allocation", Payload: []byte("4 pallets of blankets")},
		},
	}
	for range 2 {
		answer, err := client.Submit(ctx, job)
		if err != nil {
			panic(err)
		}
		fmt.Println(answer.Outcome, len(answer.Results), string(answer.Results[0]))
	}
	// Output:
	// complete 2 12 pallets of water
	// complete 2 12 pallets of water
}

// A refused job did not run. After says how long to wait before a retry, if a
// retry helps.
func ExampleAnswer() {
	s, client := startDeployment()
	defer s.Close()
	answer, err := client.Submit(context.Background(), shallotrouter.Job{
		Service: "unheard-of", Idempotent: true, Deadline: shallotrouter.Duration(time.Second),
		Tasks: []shallotrouter.Task{{Kind: "allocation"}},
	})
	if err != nil {
		panic(err)
	}
	fmt.Println(answer.Outcome, answer.Reason, answer.After.Std())
	fmt.Println(answer.Message)
	// Output:
	// refused unknown 0s
	// service "unheard-of" is not open to client comites; name a declared service
}

// The state of a waiting or running job can be queried, and the job can be
// cancelled.
func ExampleClient_Cancel() {
	s, client := startDeployment()
	defer s.Close()
	ctx := context.Background()
	grant, err := client.Tickets(ctx, 1)
	if err != nil {
		panic(err)
	}
	answer, err := client.Cancel(ctx, grant.Tickets[0])
	if err != nil {
		panic(err)
	}
	fmt.Println(answer.Outcome, answer.Reason)
	state, err := client.State(ctx, grant.Tickets[0])
	if err != nil {
		panic(err)
	}
	fmt.Println(state.Answer.Outcome)
	// Output:
	// refused cancelled
	// refused
}

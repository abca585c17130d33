package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter/internal/operator"
	"github.com/shallotrouter/shallotrouter/platform"
)

// runEvacuate asks all hosts to start no more tasks in a zone.
func runEvacuate(ctx context.Context, t *tool, args []string) error {
	return t.setEvacuated(ctx, "evacuate", true, args)
}

// runReadmit ends the evacuation of a zone.
func runReadmit(ctx context.Context, t *tool, args []string) error {
	return t.setEvacuated(ctx, "readmit", false, args)
}

// setEvacuated writes or removes the evacuation of the zone that the argument names. A call
// without an answer may have taken effect, which the exit code tells.
func (t *tool) setEvacuated(ctx context.Context, command string, evacuated bool, args []string) error {
	set := t.newFlagSet(command, "ZONE")
	address := set.String("store", "127.0.0.1:8169", "the `address` of the platform's store")
	timeout := set.Duration("timeout", 5*time.Second, "how long to wait for the store")
	if err := parseFlags(set, args, 1); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	store := &platform.Store{Address: *address, Client: platform.NewStoreClient(*timeout, *timeout), Log: logr.Discard()}
	changed, err := store.SetEvacuated(ctx, set.Arg(0), evacuated)
	switch {
	case ctx.Err() != nil:
		return &operator.Error{Kind: operator.OutcomeUnknown, Message: fmt.Sprintf("the store at %s did not answer; repeat the command", *address)}
	case err != nil:
		return fmt.Errorf("%s %s: %w", command, set.Arg(0), err)
	case !changed:
		fmt.Fprintf(t.out, "no change: the evacuation of %s was already as asked\n", set.Arg(0))
		return nil
	}
	fmt.Fprintf(t.out, "%s: %s is written; see shallotctl pools for the hosts that know it\n", command, set.Arg(0))
	return nil
}

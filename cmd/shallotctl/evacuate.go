package main

import (
	"context"
	"errors"
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

// setEvacuated writes or removes the evacuation of the zone that the argument names.
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
	var unconfirmed *platform.UnconfirmedError
	switch {
	case errors.As(err, &unconfirmed):
		return &operator.Error{Kind: operator.OutcomeUnknown, Message: err.Error()}
	case err != nil:
		return fmt.Errorf("%s %s: %w", command, set.Arg(0), err)
	case !changed:
		fmt.Fprintf(t.out, "%s %s: nothing to change\n", command, set.Arg(0))
	default:
		fmt.Fprintf(t.out, "%s %s: written; shallotctl pools shows which hosts know it\n", command, set.Arg(0))
	}
	return nil
}

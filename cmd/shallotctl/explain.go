package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/shallotrouter/shallotrouter/internal/explainer"
)

// runExplain explains from logs why a job ended as it did.
func runExplain(_ context.Context, t *tool, args []string) error {
	set := t.newFlagSet("explain", "ID [LOG ...]")
	asJSON := set.Bool("json", false, "print the outcome, the cause and its evidence as JSON")
	if err := set.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if set.NArg() == 0 {
		set.Usage()
		return errUsage
	}
	reader := &explainer.Reader{}
	if err := readLogs(reader, set.Args()[1:]); err != nil {
		return err
	}
	explanation, found := reader.Explain(set.Arg(0))
	if !found {
		fmt.Fprintf(t.errorOutput, "no log line names job %s; give the logs of all entry hosts for the time of the job\n", set.Arg(0))
		return errFailed
	}
	if *asJSON {
		return json.NewEncoder(t.out).Encode(explanation)
	}
	return explanation.Write(t.out)
}

// readLogs reads the logs at the given paths, or from standard input if there are none.
func readLogs(reader *explainer.Reader, paths []string) error {
	if len(paths) == 0 {
		return reader.Read(os.Stdin)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = reader.Read(file)
		file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// answerMargin is how long after a job's deadline its answer is still waited for.
const answerMargin = 10 * time.Second

func runSubmit(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("submit", "FILE")
	address := set.String("host", "http://127.0.0.1:7100", "the base `URL` of an entry host")
	tokenFile := set.String("token-file", "", "the `file` with the client's token; the default token is $SHALLOTROUTER_TOKEN")
	authorityFile := set.String("authority", "", "the PEM `file` of the authority that signed the host's certificate, for https")
	asJSON := set.Bool("json", false, "write JSON")
	if err := parseFlags(set, args, 1); err != nil {
		return err
	}
	job, err := readJob(set.Arg(0))
	if err != nil {
		return err
	}
	httpClient, err := newHTTPClient(*authorityFile)
	if err != nil {
		return err
	}
	client := &shallotrouter.Client{Address: *address, HTTP: httpClient}
	if client.Token, err = readToken(*tokenFile, "SHALLOTROUTER_TOKEN"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, job.Deadline.Std()+answerMargin)
	defer cancel()
	if job.Ticket == "" {
		grant, err := client.Tickets(ctx, 1)
		if err != nil {
			return err
		}
		job.Ticket = grant.Tickets[0]
	}
	answer, err := client.Submit(ctx, job)
	if err != nil {
		return fmt.Errorf("no answer arrived and the job may have run; submit the same file with \"ticket\": %q: %w", job.Ticket, err)
	}
	return t.writeAnswer(answer, *asJSON)
}

// readJob reads a job from a JSON file.
func readJob(path string) (shallotrouter.Job, error) {
	var job shallotrouter.Job
	data, err := os.ReadFile(path)
	if err != nil {
		return job, err
	}
	if err := json.Unmarshal(data, &job); err != nil {
		return job, fmt.Errorf("%s is not a job: %w; see docs/API.md", path, err)
	}
	return job, nil
}

// writeAnswer writes an answer. It returns an error unless the job is complete.
func (t *tool) writeAnswer(a shallotrouter.Answer, asJSON bool) error {
	if asJSON {
		if err := t.writeJSON(a); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(t.out, "%s on %s after %v\n", a.Outcome, a.Host, a.Elapsed.Std().Round(time.Millisecond))
		if a.Reason != "" {
			fmt.Fprintf(t.out, "%s: %s\n", a.Reason, a.Message)
		}
		for i, result := range a.Results {
			fmt.Fprintf(t.out, "%d\t%s\n", i, result)
		}
	}
	if a.Outcome != shallotrouter.Complete {
		return errFailed
	}
	return nil
}

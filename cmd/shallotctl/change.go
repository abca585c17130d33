package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/operator"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// requestTimeout limits one request to the platform or to a host.
const requestTimeout = 2 * time.Second

// platformFlags are the flags of commands that send requests to the platform.
type platformFlags struct {
	address     string
	author      string
	baseVersion uint64
	timeout     time.Duration
}

func (p *platformFlags) register(set *flag.FlagSet) {
	set.StringVar(&p.address, "platform", "127.0.0.1:7000", "the `address` of the platform's service")
	set.StringVar(&p.author, "author", os.Getenv("USER"), "the `name` of the author of the change, for the history")
	set.Uint64Var(&p.baseVersion, "base", 0, "make the change only if this `version` is the current one; 0 accepts any")
	set.DurationVar(&p.timeout, "timeout", 10*time.Second, "how long to try before giving up")
}

func (p *platformFlags) newChanger() *operator.Changer {
	return &operator.Changer{
		Table: storer.NewClient(p.address, requestTimeout), Clock: clockwork.NewRealClock(), Author: p.author, BaseVersion: p.baseVersion,
	}
}

func runCheck(_ context.Context, t *tool, args []string) error {
	set := t.newFlagSet("check", "FILE")
	if err := parseFlags(set, args, 1); err != nil {
		return err
	}
	text, err := os.ReadFile(set.Arg(0))
	if err != nil {
		return err
	}
	d, err := declarer.Parse(set.Arg(0), string(text))
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s is valid: %d services, %d clients\n", set.Arg(0), len(d.Services), len(d.Clients))
	return nil
}

func runDiff(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("diff", "FILE")
	var p platformFlags
	p.register(set)
	if err := parseFlags(set, args, 1); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	text, err := os.ReadFile(set.Arg(0))
	if err != nil {
		return err
	}
	row, version, err := p.newChanger().Current(ctx)
	if err != nil {
		return err
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(row.Text), FromFile: fmt.Sprintf("current, version %d", version),
		B: difflib.SplitLines(string(text)), ToFile: set.Arg(0), Context: 2,
	})
	if err != nil {
		return err
	}
	if diff == "" {
		diff = fmt.Sprintf("no difference from version %d\n", version)
	}
	fmt.Fprint(t.out, diff)
	return nil
}

func runApply(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("apply", "FILE")
	note := set.String("note", "", "what is changed and why")
	var p platformFlags
	p.register(set)
	if err := parseFlags(set, args, 1); err != nil {
		return err
	}
	text, err := os.ReadFile(set.Arg(0))
	if err != nil {
		return err
	}
	if *note == "" {
		*note = "apply " + set.Arg(0)
	}
	return p.change(ctx, t, *note, operator.ApplyDeclarations(set.Arg(0), string(text)))
}

func runPreset(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("preset", "ordinary|peak|maintenance")
	var p platformFlags
	p.register(set)
	if err := parseFlags(set, args, 1); err != nil {
		return err
	}
	return p.change(ctx, t, "preset "+set.Arg(0), operator.SwitchPreset(declarer.PresetName(set.Arg(0))))
}

// change makes a change and prints its version.
func (p *platformFlags) change(ctx context.Context, t *tool, note string, edit func(declarer.Row) (declarer.Row, error)) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	version, err := p.newChanger().Change(ctx, note, edit)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "version %d is accepted; run \"shallotctl wait -version %d\" to wait until all hosts use it\n", version, version)
	return nil
}

func runHistory(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("history", "")
	asJSON := set.Bool("json", false, "write JSON")
	var p platformFlags
	p.register(set)
	if err := parseFlags(set, args, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	row, _, err := p.newChanger().Current(ctx)
	if err != nil {
		return err
	}
	if *asJSON {
		return t.writeJSON(row.History)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tCHANGE\tNOTE")
	for _, c := range row.History {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", c.Version, c.Time.Format(time.RFC3339), c.Author, c.ID, c.Note)
	}
	return w.Flush()
}

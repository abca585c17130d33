// Command shallotmodel plays scenarios in virtual time: a site under loads and troubles,
// with policies side by side. It prints a table and can write JSON and plots.
//
//	shallotmodel [flags] SCENARIO
//
// It exits with 0 when all is well, 1 when an invariant did not hold or a file cannot be
// written, and 2 when the command line or the scenario is wrong.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/modeler"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run plays the scenario that the arguments name and returns the exit code.
func run(args []string, out, notes io.Writer) int {
	set := flag.NewFlagSet("shallotmodel", flag.ContinueOnError)
	set.SetOutput(notes)
	set.Usage = func() {
		fmt.Fprintln(notes, "usage: shallotmodel [flags] SCENARIO")
		set.PrintDefaults()
	}
	jobs := set.Int("jobs", 2, "how many worlds to play at a time")
	ablate := set.Bool("ablate", false, "play the policy in force without each of its mechanisms, whatever policies the scenario names")
	report := set.String("json", "", "write the rows to this `file` as JSON")
	plots := set.String("plots", "", "write plots to this `folder`")
	format := set.String("format", "svg", "the `format` of the plots, svg or png")
	switch err := set.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return exitUsage // it has been explained
	case set.NArg() != 1:
		fmt.Fprintf(notes, "%d scenarios were given; name one\n", set.NArg())
		return exitUsage
	case *format != "svg" && *format != "png":
		fmt.Fprintf(notes, "%q is no format of plots; use svg or png\n", *format)
		return exitUsage
	}
	text, err := os.ReadFile(set.Arg(0))
	if err != nil {
		fmt.Fprintln(notes, err)
		return exitUsage
	}
	scenario, err := modeler.ParseScenario(set.Arg(0), string(text))
	if err != nil {
		fmt.Fprintln(notes, err)
		return exitUsage
	}
	if *ablate {
		scenario.Ablate()
	}
	rows := scenario.Play(*jobs, func(done, all int) { fmt.Fprintf(notes, "\r%d of %d worlds", done, all) })
	fmt.Fprintln(notes)
	show := table
	if *ablate {
		show = ablation
	}
	if err := write(rows, out, show, *report, plotter{folder: *plots, format: *format}); err != nil {
		fmt.Fprintln(notes, err)
		return exitFailed
	}
	return judge(rows, notes)
}

// write writes the rows as a table, and as JSON and plots where asked for.
func write(rows []modeler.Row, out io.Writer, show func([]modeler.Row, io.Writer) error, report string, plots plotter) error {
	if err := show(rows, out); err != nil {
		return err
	}
	if report != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(report, append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	if plots.folder == "" {
		return nil
	}
	return plots.all(rows)
}

// ablation prints what each policy is worth, and the difference to the first.
func ablation(rows []modeler.Row, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tLOAD\tWORTH\tWORST 2 S\tDIFFERENCE\t95 %")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.2f\t%.4f\t%.4f\t%+.4f\t%.4f\n", r.Policy, r.Load, r.Worth, r.Worst, r.Gain, r.Margin)
	}
	return w.Flush()
}

func table(rows []modeler.Row, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tLOAD\tWORTH\tWORST 2 S\tBOUND\tKIND\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\tWORTH\tP50\tP99")
	for _, r := range rows {
		head := fmt.Sprintf("%s\t%.2f\t%.3f\t%.3f\t%.3f", r.Policy, r.Load, r.Worth, r.Worst, r.Bound)
		for _, name := range sorted(r.Kinds) {
			k := r.Kinds[name]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\n", head, name, k.Asked, k.InTime, k.Late, k.Refused, k.Failed, k.Worth,
				k.P50.Round(time.Millisecond), k.P99.Round(time.Millisecond))
			head = strings.Repeat("\t", 4)
		}
	}
	return w.Flush()
}

// judge tells what did not hold.
func judge(rows []modeler.Row, notes io.Writer) int {
	code := 0
	for _, r := range rows {
		for _, b := range r.Broken {
			fmt.Fprintf(notes, "%s at load %.2f: %s\n", r.Policy, r.Load, b)
			code = exitFailed
		}
	}
	return code
}

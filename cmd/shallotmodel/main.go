// Command shallotmodel simulates scenarios in virtual time. A scenario puts a deployment
// under several loads and injects faults, and compares policies. The command prints a
// table and can write JSON and plots.
//
//	shallotmodel [flags] SCENARIO
//
// It exits with 0 on success, 1 if an invariant was violated or a file cannot be written,
// and 2 if the command line or the scenario is wrong.
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

// run simulates the scenario that the arguments name and returns the exit code.
func run(args []string, out, errorOutput io.Writer) int {
	set := flag.NewFlagSet("shallotmodel", flag.ContinueOnError)
	set.SetOutput(errorOutput)
	set.Usage = func() {
		fmt.Fprintln(errorOutput, "usage: shallotmodel [flags] SCENARIO")
		set.PrintDefaults()
	}
	jobs := set.Int("jobs", 2, "how many simulations to run at the same time")
	ablate := set.Bool("ablate", false, "compare the current policy with variants that each lack one of its mechanisms, instead of the policies that the scenario names")
	jsonPath := set.String("json", "", "write the rows to this `file` as JSON")
	plots := set.String("plots", "", "write plots to this `folder`")
	format := set.String("format", "svg", "the `format` of the plots, svg or png")
	switch err := set.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return exitUsage // the flag set has printed the error
	case set.NArg() != 1:
		fmt.Fprintf(errorOutput, "%d scenarios were given; name exactly one\n", set.NArg())
		return exitUsage
	case *format != "svg" && *format != "png":
		fmt.Fprintf(errorOutput, "%q is not a supported format of plots; use svg or png\n", *format)
		return exitUsage
	}
	text, err := os.ReadFile(set.Arg(0))
	if err != nil {
		fmt.Fprintln(errorOutput, err)
		return exitUsage
	}
	scenario, err := modeler.ParseScenario(set.Arg(0), string(text))
	if err != nil {
		fmt.Fprintln(errorOutput, err)
		return exitUsage
	}
	if *ablate {
		scenario.Ablate()
	}
	rows := scenario.Run(*jobs, func(done, all int) { fmt.Fprintf(errorOutput, "\r%d of %d simulations", done, all) })
	fmt.Fprintln(errorOutput)
	writeRows := writeTable
	if *ablate {
		writeRows = writeAblation
	}
	if err := writeResults(rows, out, writeRows, *jsonPath, plotWriter{folder: *plots, format: *format}); err != nil {
		fmt.Fprintln(errorOutput, err)
		return exitFailed
	}
	return reportViolations(rows, errorOutput)
}

// writeResults writes the rows with writeRows, and as JSON and plots if paths for them are
// set.
func writeResults(rows []modeler.PolicyResult, out io.Writer, writeRows func([]modeler.PolicyResult, io.Writer) error, jsonPath string, plots plotWriter) error {
	if err := writeRows(rows, out); err != nil {
		return err
	}
	if jsonPath != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(jsonPath, append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	if plots.folder == "" {
		return nil
	}
	return plots.writeAll(rows)
}

// writeAblation prints the benefit value of each policy and its difference from that of
// the first policy.
func writeAblation(rows []modeler.PolicyResult, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tLOAD\tWORTH\tWORST 2 S\tDIFFERENCE\t95 %")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.2f\t%.4f\t%.4f\t%+.4f\t%.4f\n", r.Policy, r.Load, r.Benefit, r.WorstBenefit, r.Gain, r.Margin)
	}
	return w.Flush()
}

// writeTable prints the benefit value of each policy at each load, and a line for each kind
// of job.
func writeTable(rows []modeler.PolicyResult, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tLOAD\tWORTH\tWORST 2 S\tBOUND\tKIND\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\tWORTH\tP50\tP99")
	for _, r := range rows {
		rowPrefix := fmt.Sprintf("%s\t%.2f\t%.3f\t%.3f\t%.3f", r.Policy, r.Load, r.Benefit, r.WorstBenefit, r.MaxBenefit)
		for _, name := range sortedKeys(r.Kinds) {
			k := r.Kinds[name]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\n", rowPrefix, name, k.Sent, k.InTime, k.Late, k.Refused, k.Failed, k.Benefit,
				k.P50.Round(time.Millisecond), k.P99.Round(time.Millisecond))
			rowPrefix = strings.Repeat("\t", 4)
		}
	}
	return w.Flush()
}

// reportViolations prints the violated invariants and returns the exit code.
func reportViolations(rows []modeler.PolicyResult, errorOutput io.Writer) int {
	code := 0
	for _, r := range rows {
		for _, b := range r.Violations {
			fmt.Fprintf(errorOutput, "%s at load %.2f: %s\n", r.Policy, r.Load, b)
			code = exitFailed
		}
	}
	return code
}

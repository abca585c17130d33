// Command shallotctl is the operators' tool.
//
//	shallotctl check FILE
//	shallotctl diff|apply [flags] FILE
//	shallotctl preset [flags] ordinary|peak|maintenance
//	shallotctl history|status|wait|drain|submit [flags]
//	shallotctl explain [-json] ID [LOG ...]
//	shallotctl pools [flags]
//	shallotctl evacuate|readmit [flags] ZONE
//
// It exits with 0 if the command succeeded, 1 if it was refused or failed and nothing was
// changed, 2 if the command line is wrong, and 3 if it is unknown whether a change took
// effect.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/shallotrouter/shallotrouter/internal/operator"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// errUsage is returned for a wrong command line whose error has already been printed.
var errUsage = errors.New("wrong usage")

// errFailed is returned for a failure that has already been printed.
var errFailed = errors.New("failed")

// command is a subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, t *tool, args []string) error
}

// commands returns all subcommands.
func commands() []command {
	return []command{
		{"check", "check declarations offline", runCheck},
		{"diff", "show how declarations differ from the current ones", runDiff},
		{"apply", "replace the current declarations", runApply},
		{"preset", "switch the preset", runPreset},
		{"history", "show who changed what when", runHistory},
		{"status", "show the state of the hosts", runStatus},
		{"wait", "wait until a version is active on all hosts", runWait},
		{"drain", "drain a host or a target", runDrain},
		{"submit", "submit a job and show its answer", runSubmit},
		{"pools", "show which hosts hold which leased targets, and what hosts disagree on", runPools},
		{"evacuate", "start no more tasks at the leased targets of a zone", runEvacuate},
		{"readmit", "end the evacuation of a zone", runReadmit},
		{"explain", "explain from logs why a job ended as it did", runExplain},
	}
}

func main() {
	t := &tool{out: os.Stdout, errorOutput: os.Stderr}
	os.Exit(t.execute(context.Background(), os.Args[1:]))
}

// tool runs the subcommands and holds their outputs.
type tool struct {
	out         io.Writer
	errorOutput io.Writer
}

// execute runs the subcommand that the first argument names and returns the exit
// code.
func (t *tool) execute(ctx context.Context, args []string) int {
	list := commands()
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "help" {
		t.usage(list)
		if len(args) == 0 {
			return exitUsage
		}
		return 0
	}
	i := slices.IndexFunc(list, func(c command) bool { return c.name == args[0] })
	if i < 0 {
		fmt.Fprintf(t.errorOutput, "there is no command %q\n", args[0])
		t.usage(list)
		return exitUsage
	}
	return t.exitCode(list[i].run(ctx, t, args[1:]))
}

func (t *tool) usage(list []command) {
	fmt.Fprintln(t.errorOutput, "usage: shallotctl COMMAND [flags] [arguments]; COMMAND -h lists its flags")
	for _, c := range list {
		fmt.Fprintf(t.errorOutput, "  %-8s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(t.errorOutput, "exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 unknown whether a change took effect")
}

// exitCode prints an error unless that has been done, and returns its exit code.
func (t *tool) exitCode(err error) int {
	var e *operator.Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.As(err, &e) && e.Kind == operator.OutcomeUnknown:
		fmt.Fprintln(t.errorOutput, err)
		return exitUnknown
	}
	fmt.Fprintln(t.errorOutput, err)
	return exitFailed
}

// newFlagSet returns the flag set of a command, whose usage text names the command's
// arguments.
func (t *tool) newFlagSet(name, arguments string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(t.errorOutput)
	set.Usage = func() {
		fmt.Fprintf(t.errorOutput, "usage: shallotctl %s [flags] %s\n", name, arguments)
		set.PrintDefaults()
	}
	return set
}

// parseFlags parses the flags and requires exactly count arguments after them.
func parseFlags(set *flag.FlagSet, args []string, count int) error {
	if err := set.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if set.NArg() != count {
		fmt.Fprintf(set.Output(), "%d arguments were given, but %d are needed\n", set.NArg(), count)
		set.Usage()
		return errUsage
	}
	return nil
}

// readToken reads a token from a file, or from an environment variable if the path is
// empty. There is no flag for the token itself, because the list of processes would show
// it.
func readToken(path, variable string) (string, error) {
	if path == "" {
		return os.Getenv(variable), nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}

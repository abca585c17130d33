package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/operator"
)

// hostFlags are the flags of commands that send requests to hosts.
type hostFlags struct {
	hosts         string
	tokenFile     string
	authorityFile string
	timeout       time.Duration
}

func (h *hostFlags) register(set *flag.FlagSet) {
	set.StringVar(&h.hosts, "hosts", "http://127.0.0.1:7100", "the base `URLs` of the entry hosts, separated by commas")
	set.StringVar(&h.tokenFile, "token-file", "", "the `file` with the operators' token; the default token is $SHALLOTROUTER_OPERATOR")
	set.StringVar(&h.authorityFile, "authority", "", "the PEM `file` of the authority that signed the hosts' certificates, for https")
	set.DurationVar(&h.timeout, "timeout", 10*time.Second, "how long to try before giving up")
}

func (h *hostFlags) newSurveyor() (*operator.HostClient, error) {
	token, err := readToken(h.tokenFile, "SHALLOTROUTER_OPERATOR")
	if err != nil {
		return nil, err
	}
	client, err := newHTTPClient(h.authorityFile)
	if err != nil {
		return nil, err
	}
	client.Timeout = requestTimeout
	return &operator.HostClient{Hosts: strings.Split(h.hosts, ","), Token: token, Clock: clockwork.NewRealClock(), HTTP: client}, nil
}

// newHTTPClient returns an HTTP client that trusts the authority in the PEM file, or the
// system's authorities if the path is empty.
func newHTTPClient(authorityFile string) (*http.Client, error) {
	if authorityFile == "" {
		return &http.Client{}, nil
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no certificate; name a PEM file with -authority", authorityFile)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// parseArgs parses the flags of a command without arguments and returns a HostClient for
// the hosts that the flags name.
func (h *hostFlags) parseArgs(set *flag.FlagSet, args []string) (*operator.HostClient, error) {
	h.register(set)
	if err := parseFlags(set, args, 0); err != nil {
		return nil, err
	}
	return h.newSurveyor()
}

// writeJSON writes a value as indented JSON.
func (t *tool) writeJSON(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func runStatus(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("status", "")
	asJSON := set.Bool("json", false, "write JSON")
	var h hostFlags
	s, err := h.parseArgs(set, args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	findings := s.ReadAll(ctx)
	if *asJSON {
		err = t.writeJSON(findings)
	} else {
		err = writeStatus(t.out, findings)
	}
	for _, f := range findings {
		if f.Status == nil && err == nil {
			err = errFailed
		}
	}
	return err
}

// writeStatus writes tables of the hosts, their targets and their clients.
func writeStatus(out io.Writer, findings []operator.HostStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tPHASE\tVERSION\tPRESET\tPLATFORM READ\tPEERS\tOPEN JOBS\tWAITING TASKS")
	for _, f := range findings {
		if f.Status == nil {
			fmt.Fprintf(w, "%s\t\tunknown: %s\n", f.Address, f.Problem)
			continue
		}
		v := f.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\n", v.Host, v.Zone, v.Phase, v.ConfigVersion, v.Preset, formatAge(v.PlatformAge), len(v.Peers), v.OpenJobs, v.WaitingTasks)
	}
	fmt.Fprintln(w, "\nHOST\tTARGET\tSERVICE\tSTATE\tSLOTS\tOWN\tPEERS'\tSLOWNESS\tEJECTED BY\tWHY")
	for _, f := range findings {
		for _, x := range f.Targets() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\n", f.Status.Host, x.Target, x.Service, x.State, x.Slots, x.OwnTasks, x.PeerTasks, x.RunTimeRatio, x.Ejector, x.Reason)
		}
	}
	fmt.Fprintln(w, "\nHOST\tCLIENT\tSERVICE\tWAITING\tRUNNING\tWEIGHT\tSHARE")
	for _, f := range findings {
		for _, x := range f.Clients() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.1f\n", f.Status.Host, x.Client, x.Service, x.Waiting, x.Running, x.Weight, x.Share)
		}
	}
	return w.Flush()
}

// formatAge returns the time since an event as text; a negative time means that there was
// no such event yet.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(100*time.Millisecond).String() + " ago"
}

func runWait(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("wait", "")
	version := set.Uint64("version", 0, "the `version` to wait for")
	var h hostFlags
	s, err := h.parseArgs(set, args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	p := &progress{out: t.out, terminal: isTerminal(t.out)}
	outdated := s.WaitForVersion(ctx, *version, p.show)
	p.end()
	for _, f := range outdated {
		if f.Status == nil {
			fmt.Fprintf(t.errorOutput, "%s: version unknown: %s\n", f.Address, f.Problem)
			continue
		}
		fmt.Fprintf(t.errorOutput, "%s has version %d\n", f.Status.Host, f.Status.ConfigVersion)
	}
	if len(outdated) > 0 {
		return errFailed
	}
	fmt.Fprintf(t.out, "version %d is active on all %d hosts\n", *version, len(s.Hosts))
	return nil
}

// progress shows on how many hosts a version is active. On a terminal it updates the same
// line; elsewhere it writes a line for each change.
type progress struct {
	out      io.Writer
	terminal bool
	lastText string
}

func (p *progress) show(active, total int) {
	text := fmt.Sprintf("active on %d of %d hosts", active, total)
	switch {
	case p.terminal:
		fmt.Fprintf(p.out, "\r%s", text)
	case text != p.lastText:
		fmt.Fprintln(p.out, text)
	}
	p.lastText = text
}

func (p *progress) end() {
	if p.terminal {
		fmt.Fprintln(p.out)
	}
}

// isTerminal reports whether the output is a terminal.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func runDrain(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("drain", "host|target NAME")
	undo := set.Bool("undo", false, "undo the drain of a target")
	var h hostFlags
	h.register(set)
	var p platformFlags
	set.StringVar(&p.address, "platform", "127.0.0.1:7000", "the `address` of the platform's service")
	set.StringVar(&p.author, "author", os.Getenv("USER"), "the `name` of the author of the change, for the history")
	if err := parseFlags(set, args, 2); err != nil {
		return err
	}
	p.timeout = h.timeout
	switch set.Arg(0) {
	case "target":
		note := fmt.Sprintf("drain target %s, undo %t", set.Arg(1), *undo)
		return p.change(ctx, t, note, operator.SetTargetDrained(set.Arg(1), !*undo))
	case "host":
		return drainHost(ctx, t, &h, set.Arg(1))
	}
	fmt.Fprintf(t.errorOutput, "%q cannot be drained; name a host or a target\n", set.Arg(0))
	return errUsage
}

// drainHost asks the named host to shut down gracefully.
func drainHost(ctx context.Context, t *tool, h *hostFlags, name string) error {
	s, err := h.newSurveyor()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	for _, f := range s.ReadAll(ctx) {
		if f.Status != nil && f.Status.Host == name {
			if err := s.DrainHost(ctx, f.Address); err != nil {
				return err
			}
			fmt.Fprintf(t.out, "%s finishes its jobs and then exits\n", name)
			return nil
		}
	}
	fmt.Fprintf(t.errorOutput, "no host named %s answers; name its URL with -hosts\n", name)
	return errFailed
}

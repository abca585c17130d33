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

// hostFlags are the flags of commands that ask hosts.
type hostFlags struct {
	hosts     string
	token     string
	authority string
	bound     time.Duration
}

func (h *hostFlags) add(set *flag.FlagSet) {
	set.StringVar(&h.hosts, "hosts", "http://127.0.0.1:7100", "the base `URLs` of the entry hosts, with commas")
	set.StringVar(&h.token, "token-file", "", "the `file` with the operators' token; default is $SHALLOTROUTER_OPERATOR")
	set.StringVar(&h.authority, "authority", "", "the PEM `file` of who signed the hosts' certificates, for https")
	set.DurationVar(&h.bound, "timeout", 10*time.Second, "how long to try")
}

func (h *hostFlags) surveyor() (*operator.Surveyor, error) {
	token, err := secret(h.token, "SHALLOTROUTER_OPERATOR")
	if err != nil {
		return nil, err
	}
	client, err := web(h.authority)
	if err != nil {
		return nil, err
	}
	client.Timeout = requestTimeout
	return &operator.Surveyor{Hosts: strings.Split(h.hosts, ","), Token: token, Clock: clockwork.NewRealClock(), HTTP: client}, nil
}

// web returns a client that trusts the authority, or the system's authorities when
// none is named.
func web(authority string) (*http.Client, error) {
	if authority == "" {
		return &http.Client{}, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate; name a PEM file with -authority", authority)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// ask parses the arguments of a command that asks hosts and needs no others.
func (h *hostFlags) ask(set *flag.FlagSet, args []string) (*operator.Surveyor, error) {
	h.add(set)
	if err := parse(set, args, 0); err != nil {
		return nil, err
	}
	return h.surveyor()
}

// json writes a value as indented JSON.
func (t *tool) json(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func runStatus(ctx context.Context, t *tool, args []string) error {
	set := t.flags("status", "")
	asJSON := set.Bool("json", false, "write JSON")
	var h hostFlags
	s, err := h.ask(set, args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.bound)
	defer cancel()
	findings := s.Survey(ctx)
	if *asJSON {
		err = t.json(findings)
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

// writeStatus writes the findings as tables.
func writeStatus(out io.Writer, findings []operator.Finding) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tPHASE\tVERSION\tPRESET\tPLATFORM READ\tPEERS\tOPEN JOBS\tWAITING TASKS")
	for _, f := range findings {
		if f.Status == nil {
			fmt.Fprintf(w, "%s\t\tunknown: %s\n", f.Address, f.Problem)
			continue
		}
		v := f.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\n", v.Host, v.Zone, v.Phase, v.Version, v.Preset, age(v.Age), len(v.Peers), v.Open, v.Waiting)
	}
	fmt.Fprintln(w, "\nHOST\tTARGET\tSERVICE\tSTATE\tSLOTS\tOWN\tPEERS'\tSLOWNESS\tEJECTED BY\tWHY")
	for _, f := range findings {
		for _, x := range f.Targets() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\n", f.Status.Host, x.Target, x.Service, x.State, x.Slots, x.Own, x.Others, x.Ratio, x.Ejector, x.Why)
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

// age writes the time since the platform was read.
func age(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(100*time.Millisecond).String() + " ago"
}

func runWait(ctx context.Context, t *tool, args []string) error {
	set := t.flags("wait", "")
	version := set.Uint64("version", 0, "the `version` to wait for")
	var h hostFlags
	s, err := h.ask(set, args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.bound)
	defer cancel()
	p := &progress{out: t.out, terminal: terminal(t.out)}
	lacking := s.Wait(ctx, *version, p.show)
	p.end()
	for _, f := range lacking {
		if f.Status == nil {
			fmt.Fprintf(t.errors, "%s: not known: %s\n", f.Address, f.Problem)
			continue
		}
		fmt.Fprintf(t.errors, "%s has version %d in force\n", f.Status.Host, f.Status.Version)
	}
	if len(lacking) > 0 {
		return errFailed
	}
	fmt.Fprintf(t.out, "version %d is in force on all %d hosts\n", *version, len(s.Hosts))
	return nil
}

// progress shows how far a wait is: in place on a terminal, a line a change
// elsewhere.
type progress struct {
	out      io.Writer
	terminal bool
	last     string
}

func (p *progress) show(have, all int) {
	text := fmt.Sprintf("in force on %d of %d hosts", have, all)
	switch {
	case p.terminal:
		fmt.Fprintf(p.out, "\r%s", text)
	case text != p.last:
		fmt.Fprintln(p.out, text)
	}
	p.last = text
}

func (p *progress) end() {
	if p.terminal {
		fmt.Fprintln(p.out)
	}
}

// terminal reports whether the output is a terminal.
func terminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func runDrain(ctx context.Context, t *tool, args []string) error {
	set := t.flags("drain", "host|target NAME")
	undo := set.Bool("undo", false, "take a target back into use")
	var h hostFlags
	h.add(set)
	var p platformFlags
	set.StringVar(&p.address, "platform", "127.0.0.1:7000", "the `address` of the platform's service")
	set.StringVar(&p.author, "author", os.Getenv("USER"), "the `name` that the history shows")
	if err := parse(set, args, 2); err != nil {
		return err
	}
	p.bound = h.bound
	switch set.Arg(0) {
	case "target":
		note := fmt.Sprintf("drain target %s, undo %t", set.Arg(1), *undo)
		return p.change(ctx, t, note, operator.Drain(set.Arg(1), !*undo))
	case "host":
		return drainHost(ctx, t, &h, set.Arg(1))
	}
	fmt.Fprintf(t.errors, "%q cannot be drained; name a host or a target\n", set.Arg(0))
	return errUsage
}

// drainHost asks the host of that name to shut down gracefully.
func drainHost(ctx context.Context, t *tool, h *hostFlags, name string) error {
	s, err := h.surveyor()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.bound)
	defer cancel()
	for _, f := range s.Survey(ctx) {
		if f.Status != nil && f.Status.Host == name {
			if err := s.Drain(ctx, f.Address); err != nil {
				return err
			}
			fmt.Fprintf(t.out, "%s finishes its jobs and ends\n", name)
			return nil
		}
	}
	fmt.Fprintf(t.errors, "no host named %s answers; name its URL with -hosts\n", name)
	return errFailed
}

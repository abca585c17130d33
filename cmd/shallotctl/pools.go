package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/inspector"
	"github.com/shallotrouter/shallotrouter/internal/router"
)

// poolsReport is the JSON output of the pools command.
type poolsReport struct {
	Hosts    []inspector.HostState `json:"hosts"`
	Findings []string              `json:"findings"`
}

// runPools shows which hosts hold which leased targets. It fails if there are findings,
// such as hosts that do not answer or that disagree.
func runPools(ctx context.Context, t *tool, args []string) error {
	set := t.newFlagSet("pools", "")
	links := set.String("links", "127.0.0.1:7102", "the `addresses` of the entry hosts' links or metrics, separated by commas")
	timeout := set.Duration("timeout", 5*time.Second, "how long to wait for answers")
	asJSON := set.Bool("json", false, "write JSON")
	if err := parseFlags(set, args, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	i := &inspector.Inspector{Hosts: strings.Split(*links, ","), HTTP: &http.Client{}}
	report := poolsReport{Hosts: i.FetchAll(ctx)}
	report.Findings = inspector.Findings(report.Hosts)
	var err error
	if *asJSON {
		err = t.writeJSON(report)
	} else {
		err = writePools(t.out, report)
	}
	if err == nil && len(report.Findings) > 0 {
		return errFailed
	}
	return err
}

// writePools writes tables of the hosts, of each zone's holder as seen by each host, and
// of the targets as seen by their holders, and then the findings.
func writePools(out io.Writer, report poolsReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tSLOT\tCONFIG\tTARGETS READ\tEVACUATED\tREACHED\tOPEN JOBS\tWAITING\tRUNNING\tLEAVING")
	for _, h := range report.Hosts {
		if s := h.State; s != nil {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%d of %d\t%d\t%d\t%d\t%t\n", s.Host, s.Zone, s.Slot, s.Config, formatAge(s.DirectoryAge), formatEvacuated(s), countReachablePeers(s), len(s.Peers), s.Open, s.Waiting, s.Running, s.Leaving)
		}
	}
	fmt.Fprintln(w, "\nHOST\tZONE\tHOLDER\tTOKEN\tHELD\tABSENT")
	for _, h := range report.Hosts {
		if h.State == nil {
			continue
		}
		for _, c := range h.State.Cells {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%v\n", h.State.Host, c.Zone, c.Holder, c.Token, c.Reachable, c.Absent.Round(time.Millisecond))
		}
	}
	fmt.Fprintln(w, "\nHOLDER\tTARGET\tZONE\tSERVICE\tSTATE\tCPU IN USE\tOF\tMEMORY\tOF\tRUNS\tANSWERED\tLEFT OUT FOR")
	for _, h := range report.Hosts {
		if h.State == nil {
			continue
		}
		for _, x := range h.State.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%v\n", h.State.Host, x.ID, x.Zone, x.Service, x.State,
				x.Used.CPU, x.Capacity.CPU, x.Used.Memory, x.Capacity.Memory, x.Runs, formatAge(x.Age), x.EjectedFor.Round(time.Millisecond))
		}
	}
	fmt.Fprintln(w)
	for _, f := range report.Findings {
		fmt.Fprintln(w, f)
	}
	return w.Flush()
}

// formatEvacuated returns the evacuated zones that a host knows.
func formatEvacuated(s *router.State) string {
	if s.Evacuations.Version == 0 {
		return "unknown"
	}
	return cmp.Or(strings.Join(s.Evacuations.Zones, ","), "none")
}

// countReachablePeers returns the number of peers that a host can reach.
func countReachablePeers(s *router.State) int {
	n := 0
	for _, p := range s.Peers {
		if p.Reachable {
			n++
		}
	}
	return n
}

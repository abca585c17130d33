// Command policies measures the scheduling policy against its baselines in
// virtual time, and prints a table.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/bencher"
)

func main() {
	length := flag.Duration("length", time.Minute, "the virtual time to measure")
	only := flag.String("place", "", "measure only this place: restrepo, kutchwala or planned")
	policy := flag.String("policy", "", "measure only this policy")
	seed := flag.Uint64("seed", 1, "the seed of all chance")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "place\tscenario\tpolicy\tjobs\tmean\tp50\tp99\tmsgs/task\tbusy%\tidle%\tidle/wait%\tfailed%\tB/s\tnote\t")
	for _, place := range []struct {
		name    string
		place   bencher.Place
		clients int
	}{{"restrepo", bencher.Restrepo(), 4}, {"kutchwala", bencher.Kutchwala(), 10}, {"planned", bencher.Planned(), bencher.PlannedClients}} {
		if place.name == "planned" && *only != place.name {
			continue // it takes long, so it is measured only when it is named
		}
		for _, v := range bencher.Variants() {
			if *only != "" && *only != place.name || *policy != "" && *policy != v.Name {
				continue
			}
			p := place.place
			v.Change(&p)
			m := &measure{table: w, place: place.name, policy: v.Name}
			m.all(p, place.clients, *seed, *length)
		}
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measure prints the rows of one policy at one place.
type measure struct {
	table  *tabwriter.Writer
	place  string
	policy string
}

// settle is the time that a fault is given before its effect is measured.
const settle = 2 * time.Second

func (m *measure) all(p bencher.Place, clients int, seed uint64, length time.Duration) {
	m.row("honest 60%", bencher.Honest(p, clients, 0.6, seed, length), "")
	m.row("honest 90%", bencher.Honest(p, clients, 0.9, seed, length), "")
	m.row("small alone", bencher.Alone(p, seed, length), "")
	m.row("small beside flood", bencher.Flood(p, seed, length), "")
	f, jain := bencher.Backlog(p, clients, seed, length)
	m.row("backlog", f, fmt.Sprintf("Jain %.4f", jain))
	m.row("a tenth fails", bencher.Sick(p, clients, seed, length, settle, bencher.FailAll), "")
	m.row("a tenth is slow", bencher.Sick(p, clients, seed, length, settle, bencher.SlowDown), "")
}

func (m *measure) row(scenario string, f bencher.Figures, note string) {
	if len(f.Violations) > 0 {
		note += fmt.Sprintf(" %d broken invariants: %s", len(f.Violations), f.Violations[0])
	}
	const percent = 100
	fmt.Fprintf(m.table, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%s\t\n",
		m.place, scenario, m.policy, f.Jobs, f.Mean, f.Median, f.P99, f.Messages,
		f.Busy*percent, f.Idle*percent, f.IdleWhile*percent, f.Failed*percent, f.Bytes, note)
}

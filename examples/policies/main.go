// Command policies compares the scheduling policy with its baselines in virtual time
// and prints a table.
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
	duration := flag.Duration("length", time.Minute, "the virtual duration of each measurement")
	onlyPlace := flag.String("place", "", "measure only this deployment: restrepo, kutchwala or planned")
	onlyPolicy := flag.String("policy", "", "measure only this policy")
	seed := flag.Uint64("seed", 1, "the seed of the random numbers")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "place\tscenario\tpolicy\tjobs\tmean\tp50\tp99\tmsgs/task\tbusy%\tidle%\tidle/wait%\tfailed%\tB/s\tnote\t")
	for _, place := range []struct {
		name    string
		place   bencher.Deployment
		clients int
	}{{"restrepo", bencher.Restrepo(), 4}, {"kutchwala", bencher.Kutchwala(), 10}, {"planned", bencher.PlannedDeployment(), bencher.PlannedClients}} {
		if place.name == "planned" && *onlyPlace != place.name {
			continue // takes long, so it is measured only if it is selected
		}
		for _, v := range bencher.PolicyVariants() {
			if *onlyPlace != "" && *onlyPlace != place.name || *onlyPolicy != "" && *onlyPolicy != v.Name {
				continue
			}
			p := place.place
			v.Apply(&p)
			m := &measurement{table: w, placeName: place.name, policy: v.Name}
			m.runScenarios(p, place.clients, *seed, *duration)
		}
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measurement prints the rows of one policy in one deployment.
type measurement struct {
	table     *tabwriter.Writer
	placeName string
	policy    string
}

// settlingTime is the time between a fault and the start of the measurement.
const settlingTime = 2 * time.Second

func (m *measurement) runScenarios(p bencher.Deployment, clients int, seed uint64, duration time.Duration) {
	m.printRow("honest 60%", bencher.MeasureWellBehaved(p, clients, 0.6, seed, duration), "")
	m.printRow("honest 90%", bencher.MeasureWellBehaved(p, clients, 0.9, seed, duration), "")
	m.printRow("small alone", bencher.MeasureSmallAlone(p, seed, duration), "")
	m.printRow("small beside flood", bencher.MeasureSmallBesideFlood(p, seed, duration), "")
	f, jain := bencher.MeasureBacklog(p, clients, seed, duration)
	m.printRow("backlog", f, fmt.Sprintf("Jain %.4f", jain))
	m.printRow("a tenth fails", bencher.MeasureUnhealthyTargets(p, clients, seed, duration, settlingTime, bencher.MakeTasksFail), "")
	m.printRow("a tenth is slow", bencher.MeasureUnhealthyTargets(p, clients, seed, duration, settlingTime, bencher.MakeSlow), "")
}

func (m *measurement) printRow(scenario string, f bencher.Measurements, note string) {
	if len(f.Violations) > 0 {
		note += fmt.Sprintf(" %d broken invariants: %s", len(f.Violations), f.Violations[0])
	}
	const percent = 100
	fmt.Fprintf(m.table, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%s\t\n",
		m.placeName, scenario, m.policy, f.Jobs, f.MeanSlowdown, f.MedianSlowdown, f.P99Slowdown, f.MessagesPerTask,
		f.BusyRefusalsPerTask*percent, f.IdleShare*percent, f.IdleShareWhileWaiting*percent, f.FailedShare*percent, f.ReportBytesPerSecond, note)
}

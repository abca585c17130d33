// Command fleet simulates deployments in virtual time under several loads and faults,
// and prints the benefit and the outcomes that clients get.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/modeler"
)

// scenario is a row of the table, simulated with several seeds.
type scenario struct {
	name       string
	simulation modeler.Simulation
	seeds      int
	runs       []modeler.Simulation
}

func main() {
	site := flag.String("site", "restrepo", "the `site`: restrepo or kutchwala")
	loads := flag.String("loads", "0.6,1.1,1.43,2.2", "the loads, as factors of the ordinary traffic, separated by commas")
	duration := flag.Duration("length", 12*time.Second, "the virtual duration of the load")
	seeds := flag.Int("seeds", 4, "the number of seeds of each scenario")
	flag.Parse()
	base := modeler.Restrepo()
	if *site == "kutchwala" {
		base = modeler.Kutchwala()
	}
	base.LoadDuration = *duration
	var scenarios []*scenario
	for loadText := range strings.SplitSeq(*loads, ",") {
		load, err := strconv.ParseFloat(loadText, 64)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%q is not a load; use numbers such as 1.1\n", loadText)
			os.Exit(2)
		}
		simulation := base
		simulation.LoadFactor = load
		scenarios = append(scenarios, &scenario{name: "load " + loadText, simulation: simulation, seeds: *seeds})
	}
	for _, fault := range []modeler.FaultKind{modeler.FailTarget, modeler.HangTarget, modeler.SlowTarget} {
		simulation := base
		simulation.Faults = []modeler.Fault{{Kind: fault, At: 3 * time.Second, Duration: 8 * time.Second, TargetShare: 1.0 / 7}}
		scenarios = append(scenarios, &scenario{name: string(fault), simulation: simulation, seeds: *seeds})
	}
	var group sync.WaitGroup
	for _, s := range scenarios {
		group.Add(1)
		go s.run(&group)
	}
	group.Wait()
	printTable(scenarios)
}

// run simulates the scenario with all its seeds.
func (s *scenario) run(group *sync.WaitGroup) {
	defer group.Done()
	s.runs = make([]modeler.Simulation, s.seeds)
	for i := range s.runs {
		s.runs[i] = s.simulation
		s.runs[i].Seed = uint64(i) + 1
		s.runs[i].Run()
	}
}

// printTable prints the table.
func printTable(scenarios []*scenario) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tworth\tworst 2 s\tin time\tlate\trefused\tfailed\tunknown\tstarts a task\tlarge jobs\tbroken")
	for _, s := range scenarios {
		var benefit, worstBenefit float64
		var sent, inTime, late, refused, failed, unknown, violations int
		for i := range s.runs {
			p := &s.runs[i]
			benefit += p.Results.BenefitRatio() / float64(len(s.runs))
			worstBenefit += p.Results.WorstBenefitRatio(2) / float64(len(s.runs))
			violations += len(p.Violations)
			for _, n := range p.Results.Kinds {
				sent, inTime, late = sent+n.Sent, inTime+n.InTime, late+n.Late
				refused, failed, unknown = refused+n.Refused, failed+n.Failed, unknown+n.Unknown
			}
		}
		share := func(n int) float64 { return float64(n) / float64(max(sent, 1)) }
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.4f\t%.2f\t%.2f\t%d\n",
			s.name, benefit, worstBenefit, share(inTime), share(late), share(refused), share(failed), share(unknown), s.startsPerTask(), s.minLargeJobRatio(), violations)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// minLargeJobRatio returns the completion rate of the largest tenth of the jobs of a
// kind, relative to the rate of all jobs of the kind. It returns the lowest ratio of
// all kinds.
func (s *scenario) minLargeJobRatio() float64 {
	sums := make(map[string]float64)
	for i := range s.runs {
		for name, n := range s.runs[i].Results.Kinds {
			sums[name] += n.LargeJobRatio() / float64(len(s.runs))
		}
	}
	minRatio := 1.0
	for _, sum := range sums {
		minRatio = min(minRatio, sum)
	}
	return minRatio
}

// startsPerTask returns the mean number of starts of a task.
func (s *scenario) startsPerTask() float64 {
	starts, tasks := 0, 0
	for i := range s.runs {
		starts += s.runs[i].Results.Starts
		tasks += s.runs[i].Results.Tasks
	}
	return float64(starts) / float64(max(tasks, 1))
}

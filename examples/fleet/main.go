// Command fleet plays deployments in virtual time under several loads and
// troubles, and prints what callers get.
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

// scenario is one row of the table, played with several seeds.
type scenario struct {
	name  string
	world modeler.World
	seeds int
	plays []modeler.World
}

func main() {
	site := flag.String("site", "restrepo", "the `site`: restrepo or kutchwala")
	loads := flag.String("loads", "0.6,1.1,1.43,2.2", "the loads, as factors on the usual traffic")
	length := flag.Duration("length", 12*time.Second, "the virtual time of the load")
	seeds := flag.Int("seeds", 4, "the seeds of each scenario")
	flag.Parse()
	base := modeler.Restrepo()
	if *site == "kutchwala" {
		base = modeler.Kutchwala()
	}
	base.Length = *length
	var list []*scenario
	for text := range strings.SplitSeq(*loads, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%q is no load; write numbers such as 1.1\n", text)
			os.Exit(2)
		}
		w := base
		w.Load = load
		list = append(list, &scenario{name: "load " + text, world: w, seeds: *seeds})
	}
	for _, trouble := range []modeler.Trouble{modeler.FailTarget, modeler.HangTarget, modeler.SlowTarget} {
		w := base
		w.Faults = []modeler.Fault{{Trouble: trouble, At: 3 * time.Second, For: 8 * time.Second, Share: 1.0 / 7}}
		list = append(list, &scenario{name: string(trouble), world: w, seeds: *seeds})
	}
	var group sync.WaitGroup
	for _, s := range list {
		group.Add(1)
		go s.run(&group)
	}
	group.Wait()
	show(list)
}

// run plays the scenario with all its seeds.
func (s *scenario) run(group *sync.WaitGroup) {
	defer group.Done()
	s.plays = make([]modeler.World, s.seeds)
	for i := range s.plays {
		s.plays[i] = s.world
		s.plays[i].Seed = uint64(i) + 1
		s.plays[i].Run()
	}
}

// show prints the table.
func show(list []*scenario) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tworth\tworst 2 s\tin time\tlate\trefused\tfailed\tunknown\tstarts a task\tlarge jobs\tbroken")
	for _, s := range list {
		var worth, worst float64
		var asked, inTime, late, refused, failed, unknown, broken int
		for i := range s.plays {
			p := &s.plays[i]
			worth += p.Tally.Worth() / float64(len(s.plays))
			worst += p.Tally.WorstSpan(2) / float64(len(s.plays))
			broken += len(p.Broken)
			for _, n := range p.Tally.Kinds {
				asked, inTime, late = asked+n.Asked, inTime+n.InTime, late+n.Late
				refused, failed, unknown = refused+n.Refused, failed+n.Failed, unknown+n.Unknown
			}
		}
		part := func(n int) float64 { return float64(n) / float64(max(asked, 1)) }
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.4f\t%.2f\t%.2f\t%d\n",
			s.name, worth, worst, part(inTime), part(late), part(refused), part(failed), part(unknown), s.startsATask(), s.large(), broken)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// large returns how often the largest tenth of a kind of job was completed, over
// how often all of it were, for the kind where that is least.
func (s *scenario) large() float64 {
	sums := make(map[string]float64)
	for i := range s.plays {
		for name, n := range s.plays[i].Tally.Kinds {
			sums[name] += n.Large() / float64(len(s.plays))
		}
	}
	least := 1.0
	for _, sum := range sums {
		least = min(least, sum)
	}
	return least
}

// startsATask returns how often a task was started on average.
func (s *scenario) startsATask() float64 {
	starts, tasks := 0, 0
	for i := range s.plays {
		starts += s.plays[i].Tally.Starts
		tasks += s.plays[i].Tally.Tasks
	}
	return float64(starts) / float64(max(tasks, 1))
}

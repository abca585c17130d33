// Command rig shows the cases of a review: it runs the project's daemons as processes beside stand-ins
// for the platform's store, its executors and its clients, and checks a rule from what these see.
//
//	rig -case N -record FILE
//
// It is run in the repository's root. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns what breaks the rule, or an error if the case could not run.
type scenario func(s *site, trouble bool) (broken []string, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{"split": playSplit, "spread": playSpread, "memory": playMemory, "stall": playStall}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the `name` of the case")
	path := flag.String("record", "record.txt", "the `file` for the record")
	keep := flag.Bool("logs", false, "print the daemons' logs")
	flag.Parse()
	run, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	c := &record{start: time.Now()}
	s, err := newSite(c)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := run(s, os.Getenv("TROUBLE") != "0")
	if *keep {
		s.printLogs()
	}
	s.close()
	return conclude(c, *path, broken, err)
}

// conclude writes the record and returns the exit code.
func conclude(c *record, path string, broken []string, err error) int {
	code := exitHeld
	switch {
	case err != nil:
		c.add("not run: %v", err)
		code = exitNotRun
	case len(broken) > 0:
		code = exitBroken
	}
	for _, b := range broken {
		c.add("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if code == exitHeld {
		c.add("the rule held")
		fmt.Println("held")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := c.write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// printLogs prints the daemons' logs.
func (s *site) printLogs() {
	for _, d := range s.daemons {
		data, err := os.ReadFile(d.settings + ".log")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		fmt.Fprintf(os.Stderr, "== %s\n%s\n", d.name, data)
	}
}

// Command standin3 plays the cases of a review: it starts the project's daemons as processes beside
// stand-ins of the platform's store, its executors, its balancer and its clients, and checks one rule
// from what clients and executors see.
//
// standin3 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(*site, bool) []string{
	"late-copy":   lateCopy,
	"second-term": secondTerm,
	"unstopped":   unstopped,
}

// runLimit bounds a case.
const runLimit = 110 * time.Second

var current *site

func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s := newSite(os.Args[2])
	current = s
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(runLimit):
		}
		cannotRun("the case was interrupted or took too long")
	}()
	s.record("case %s, disruption %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](s, trouble)
	for _, line := range broken {
		s.record("BROKEN: %s", line)
	}
	s.record("rule broken: %v (%d times)", len(broken) > 0, len(broken))
	s.close()
	if len(broken) > 0 {
		fmt.Println("rule broken:\n" + strings.Join(broken[:min(len(broken), 10)], "\n"))
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

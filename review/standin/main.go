// Command standin plays the cases of the review: it starts the project's daemons as processes, beside
// stand-ins for the platform's store, the executors, the platform's supervision and the clients.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it
// plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. Each returns after at most 110 s.
var cases = map[string]func(record string, trouble bool) *site{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { fail("play the case", fmt.Errorf("it takes longer than 115 s")) })
	s := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	s.stop()
	if len(s.broken) > 0 {
		fmt.Printf("broken: %d times, first: %s\n", len(s.broken), s.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}

// temporary is the folder for settings and logs.
var temporary string

// fail ends a case that cannot run. The daemons end with this process.
func fail(what string, err error) {
	_ = os.RemoveAll(temporary)
	fmt.Fprintf(os.Stderr, "cannot %s: %v\n", what, err)
	os.Exit(2)
}

package modeler

import (
	"fmt"
	"github.com/shallotrouter/shallotrouter/internal/router"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	w := randomWorld(uint64(seed))
	job := os.Getenv("JOB")
	w.Trace = func(at time.Duration, h string, e router.Decide) {
		if job != "" && strings.HasPrefix(e.Job+e.Task, job) {
			fmt.Println(at, h, e.Action, e.Task, e.Target, e.Pairs)
		}
		switch e.Action {
		case "holder", "claim", "claimed", "enrol", "drain", "halt":
			fmt.Println(at, h, e.Action, e.Target, e.Pairs)
		}
	}
	w.Run()
	report(t, w)
	fmt.Println(w.Broken, w.Faults)
}

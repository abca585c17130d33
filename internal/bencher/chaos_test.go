package bencher

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// seed makes the randomized tests repeatable. For longer runs with other seeds:
//
//	go test ./internal/bencher -run TestChaos -rapid.checks 10000 -rapid.seed 7
const seed = "20261204"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// chaosTest is a small simulation with random faults.
type chaosTest struct {
	*Simulation
	restarts int
}

func newChaosTest(seed uint64, reportLostAsUnsent bool) *chaosTest {
	p := Deployment{
		Zones: 1, Hosts: 3, Targets: 4, Slots: 2, IntraZoneDelay: time.Millisecond, ClientDelay: time.Millisecond,
		Preset: declarer.Ordinary, Bounds: scheduler.Standard(), Declarations: declarations(3, ""), ReportLostAsUnsent: reportLostAsUnsent,
	}
	p.Declarations = strings.Replace(p.Declarations, "slots = 8", "slots = 2", 1)
	return &chaosTest{Simulation: New(p, seed)}
}

// drawHost draws one of the entry hosts.
func (c *chaosTest) drawHost(t *rapid.T) *EntryHost {
	return c.EntryHosts[rapid.IntRange(0, len(c.EntryHosts)-1).Draw(t, "node")]
}

// drawTarget draws one of the targets.
func (c *chaosTest) drawTarget(t *rapid.T) *Target {
	return c.AllTargets[rapid.IntRange(0, len(c.AllTargets)-1).Draw(t, "target")]
}

// drawJob draws one of the jobs, and submits a job if there is none.
func (c *chaosTest) drawJob(t *rapid.T) *Submission {
	if len(c.Results.Submissions) == 0 {
		c.submit(t)
	}
	return c.Results.Submissions[rapid.IntRange(0, len(c.Results.Submissions)-1).Draw(t, "job")]
}

func (c *chaosTest) submit(t *rapid.T) {
	milliseconds := rapid.SliceOfN(rapid.IntRange(1, 2000), 1, 12).Draw(t, "runs")
	deadline := time.Duration(rapid.IntRange(10, 5000).Draw(t, "deadline")) * time.Millisecond
	job, _ := RandomJob(c.Random, []JobClass{{Kind: "k", Share: 1, MinTasks: len(milliseconds), MaxTasks: len(milliseconds), MinRunTime: time.Millisecond, MaxRunTime: time.Second}}, deadline)
	runTimes := make([]time.Duration, len(job.Tasks))
	for i := range runTimes {
		runTimes[i] = time.Duration(milliseconds[i%len(milliseconds)]) * time.Millisecond
	}
	client := clientName(rapid.IntRange(0, 2).Draw(t, "client"))
	c.Submit(c.drawHost(t), client, job, runTimes).AlwaysFails = rapid.IntRange(0, 9).Draw(t, "poison") == 0
}

func (c *chaosTest) resubmit(t *rapid.T) {
	if sub := c.drawJob(t); sub.TicketNumber > 0 && !sub.Host.Exited {
		c.Resubmit(sub)
	}
}

func (c *chaosTest) cancel(t *rapid.T) { c.Cancel(c.drawJob(t)) }

func (c *chaosTest) advanceTime(t *rapid.T) {
	c.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (c *chaosTest) pauseOrResume(t *rapid.T) {
	n := c.drawHost(t)
	if n.Paused {
		n.reachableSince = c.Now()
		c.Resume(n)
		return
	}
	n.Paused = !n.Exited
}

func (c *chaosTest) togglePartition(t *rapid.T) {
	n := c.drawHost(t)
	n.Partitioned = !n.Partitioned
	n.reachableSince = c.Now()
}

// restart kills a host and starts a new host with the same name, at most 5 times in a
// test.
func (c *chaosTest) restart(t *rapid.T) {
	n := c.drawHost(t)
	if n.Exited || c.restarts >= 5 {
		return
	}
	c.restarts++
	n.Exited = true
	c.AddHost(n.Name, n.Zone)
}

func (c *chaosTest) injectTargetFault(t *rapid.T) {
	b := c.drawTarget(t)
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		b.Exited = !b.Exited
	case 1:
		b.FailTasks = !b.FailTasks
	case 2:
		b.SlowFactor = 11 - b.SlowFactor
	case 3:
		b.Leaving = true
	}
}

func (c *chaosTest) changePreset(t *rapid.T) {
	c.SetPreset(rapid.SampledFrom(declarer.PresetNames()).Draw(t, "preset"))
	for _, n := range c.EntryHosts {
		if rapid.Bool().Draw(t, "reached") {
			c.Deliver(n, scheduler.Adopt{Config: c.Config})
		}
	}
}

func (c *chaosTest) drain(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
		c.Deliver(c.drawHost(t), scheduler.Drain{})
	}
}

// sendDirectory sends the current host list to a host.
func (c *chaosTest) sendDirectory(t *rapid.T) {
	n := c.drawHost(t)
	c.Deliver(n, scheduler.Locate{Directory: c.Directory(n.Zone)})
	for _, b := range c.AllTargets {
		if b.Leaving && !n.Partitioned && !n.Paused && !n.Exited {
			c.Results.recordLeavingKnown(n, b)
		}
	}
}

// checkInvariants checks what must hold after every action.
func (c *chaosTest) checkInvariants(t *rapid.T) {
	if len(c.Results.Violations) > 0 {
		t.Fatalf("%s", c.Results.Violations[0])
	}
	for _, n := range c.EntryHosts {
		if v := n.Scheduler.View().Config; v != nil {
			if v.Version < n.configVersion {
				t.Fatalf("configuration version of %s went back from %d to %d", n.Name, n.configVersion, v.Version)
			}
			n.configVersion = v.Version
		}
	}
}

// endFaults ends all faults and requires an answer to every job of a host that was not
// killed.
func (c *chaosTest) endFaults(t *rapid.T) {
	for _, b := range c.AllTargets {
		b.Exited, b.FailTasks, b.SlowFactor = false, false, 1
	}
	for _, n := range c.EntryHosts {
		n.Partitioned = false
		n.reachableSince = c.Now()
		if n.Paused {
			c.Resume(n)
		}
	}
	c.Run(time.Minute)
	c.checkInvariants(t)
	for _, sub := range c.Results.Submissions {
		if sub.TicketNumber > 0 && !sub.Host.Exited && sub.Answer == nil {
			t.Fatalf("job %d of %s at %s has no answer", sub.TicketNumber, sub.Client, sub.Host.Name)
		}
	}
	for _, n := range c.EntryHosts {
		if !n.Exited && n.Scheduler.WaitingTasks() != 0 {
			t.Fatalf("%s counts %d waiting tasks after all its jobs were answered", n.Name, n.Scheduler.WaitingTasks())
		}
	}
}

// runRandomActions returns a property that runs random actions in a simulation.
func runRandomActions(reportLostAsUnsent bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		c := newChaosTest(rapid.Uint64().Draw(t, "seed"), reportLostAsUnsent)
		t.Repeat(map[string]func(*rapid.T){
			"submit": c.submit, "submit2": c.submit, "submit3": c.submit, "resubmit": c.resubmit, "cancel": c.cancel,
			"pass": c.advanceTime, "pass2": c.advanceTime, "freeze": c.pauseOrResume, "cut": c.togglePartition, "restart": c.restart, "spoil": c.injectTargetFault,
			"configure": c.changePreset, "drain": c.drain, "relist": c.sendDirectory, "": c.checkInvariants,
		})
		c.endFaults(t)
	}
}

// TestChaos requires that the invariants hold under random faults.
func TestChaos(t *testing.T) { rapid.Check(t, runRandomActions(false)) }

// TestLostTaskReportedUnsentStartsTwice shows that the checks of TestChaos detect a
// defect: a transport that reports a lost task as not sent causes a second start.
func TestLostTaskReportedUnsentStartsTwice(t *testing.T) {
	const simulations = 50
	found := 0
	for i := range simulations {
		c := newChaosTest(uint64(i), true)
		for range 20 {
			job, runTimes := RandomJob(c.Random, SmallClasses(), time.Minute)
			c.Submit(c.EntryHosts[c.Random.IntN(3)], clientName(0), job, runTimes)
			c.Run(20 * time.Millisecond)
		}
		c.AllTargets[0].Exited = true
		c.Run(2 * time.Second)
		for _, v := range c.Results.Violations {
			assert.Contains(t, v, "starts at most once")
			found++
		}
	}
	require.Positive(t, found, fmt.Sprintf("no second start in %d simulations", simulations))
}

package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
)

// busyHost is a scheduler with many clients, all of which have waiting tasks.
type busyHost struct {
	*Scheduler
	now      time.Time
	inFlight []Start
	request  uint64
}

// newBusyHost returns a scheduler with full targets and at least the given number of
// queued tasks.
func newBusyHost(tb testing.TB, clients, targets, queued int) *busyHost {
	var text strings.Builder
	text.WriteString("[service s]\nslots = 8\norder = least\n[preset ordinary]\nqueue = 1000000\n")
	for i := range clients {
		fmt.Fprintf(&text, "[client c%d]\ntoken = sha256:%064x\n", i, i)
	}
	raw, err := declarer.Row{Text: text.String(), Preset: declarer.Ordinary}.Encode()
	require.NoError(tb, err)
	config, err := declarer.Decode(1, raw)
	require.NoError(tb, err)
	bounds := Standard()
	bounds.MaxWaitingTasks = 2 * queued
	c := &busyHost{now: time.Unix(1000, 0), Scheduler: &Scheduler{Host: "h", Zone: "z", Bounds: bounds, Incarnation: 1}}
	c.step(Adopt{Config: config})
	d := directory(1, targets)
	c.step(Locate{Directory: d})
	for i := 0; c.WaitingTasks() < queued; i++ {
		c.submit(i%clients, min(20, queued))
	}
	return c
}

// step applies an event and collects the starts.
func (c *busyHost) step(e Event) {
	c.now = c.now.Add(10 * time.Microsecond)
	for _, x := range c.Step(c.now, e) {
		if s, ok := x.(Start); ok {
			c.inFlight = append(c.inFlight, s)
		}
	}
}

func (c *busyHost) submit(client, tasks int) {
	c.request++
	job := shallotrouter.Job{Service: "s", Deadline: shallotrouter.Duration(time.Hour), Tasks: make([]shallotrouter.Task, tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = shallotrouter.Task{Kind: "k", Expect: shallotrouter.Duration(300 * time.Millisecond)}
	}
	c.step(Submit{Request: c.request, Client: fmt.Sprint("c", client), Job: job})
}

// endAndSubmit ends one task and submits a job of 20 tasks after every 20 ends.
func (c *busyHost) endAndSubmit(i int) {
	s := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	c.step(RunEnded{Number: s.Number, Task: s.Task, Target: s.Target, Result: Done, Elapsed: 300 * time.Millisecond})
	if i%20 == 0 {
		c.submit(i/20%150, 20)
	}
}

// BenchmarkStep measures the events of a busy host for several queue lengths.
func BenchmarkStep(b *testing.B) {
	for _, queued := range []int{1_000, 10_000, 100_000} {
		for _, targets := range []int{17, 86} {
			b.Run(fmt.Sprintf("queued=%d/targets=%d", queued, targets), func(b *testing.B) {
				c := newBusyHost(b, 150, targets, queued)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					c.endAndSubmit(i + 1)
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
			})
		}
	}
}

// peerReports returns one report for each peer, with all clients and targets.
func peerReports(hosts, clients, targets int) []Report {
	var list []Report
	for h := range hosts {
		r := Report{Host: fmt.Sprint("p", h), Zone: "z", Incarnation: 1}
		for i := range clients {
			r.Demands = append(r.Demands, Demand{Service: "s", Client: fmt.Sprint("c", i), Running: 3, Waiting: i})
		}
		for i := range targets {
			r.Uses = append(r.Uses, TargetUse{Target: fmt.Sprint("t", i), Tasks: 2})
		}
		list = append(list, r)
	}
	return list
}

// BenchmarkTick measures a tick for several numbers of hosts, clients and targets.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ hosts, clients, targets int }{{3, 10, 17}, {3, 150, 17}, {3, 150, 86}, {6, 150, 86}} {
		b.Run(fmt.Sprintf("hosts=%d/clients=%d/targets=%d", size.hosts, size.clients, size.targets), func(b *testing.B) {
			c := newBusyHost(b, size.clients, size.targets, 10_000)
			for _, r := range peerReports(size.hosts-1, size.clients, size.targets) {
				c.step(ReportReceived{Report: r})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.step(Tick{})
			}
		})
	}
}

// BenchmarkPeerReport measures the handling of a peer's report for several numbers of
// hosts, clients and targets.
func BenchmarkPeerReport(b *testing.B) {
	for _, size := range []struct{ hosts, clients, targets int }{{3, 10, 17}, {3, 150, 86}, {6, 150, 86}} {
		b.Run(fmt.Sprintf("hosts=%d/clients=%d/targets=%d", size.hosts, size.clients, size.targets), func(b *testing.B) {
			c := newBusyHost(b, size.clients, size.targets, 10_000)
			reports := peerReports(size.hosts-1, size.clients, size.targets)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.step(ReportReceived{Report: reports[i%len(reports)]})
			}
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory measures the memory of a waiting task without its payload.
func BenchmarkMemory(b *testing.B) {
	const few, many = 10_000, 110_000
	for range b.N {
		before := heapBytes()
		small := newBusyHost(b, 150, 17, few)
		middle := heapBytes()
		large := newBusyHost(b, 150, 17, many)
		after := heapBytes()
		b.ReportMetric(((after-middle)-(middle-before))/(many-few), "B/task")
		runtime.KeepAlive(small)
		runtime.KeepAlive(large)
	}
}

// TestStepCostIsFlat requires that the number of allocations of an event does not
// grow with the queue.
func TestStepCostIsFlat(t *testing.T) {
	cost := func(queued int) float64 {
		c := newBusyHost(t, 150, 17, queued)
		i := 0
		return testing.AllocsPerRun(2000, func() { i++; c.endAndSubmit(i) })
	}
	assert.InDelta(t, cost(10_000), cost(100_000), 1)
}

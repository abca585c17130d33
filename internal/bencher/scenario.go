package bencher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

const (
	// warmUpDuration is the time for which a simulation runs before measurements
	// start.
	warmUpDuration = 10 * time.Second
	// unreachedDeadline is so long that no job of a measurement exceeds it.
	unreachedDeadline = 10 * time.Minute
	// sampleInterval is the interval at which the slots are sampled.
	sampleInterval = 5 * time.Millisecond
)

// Restrepo returns the deployment of the relief dispatcher.
func Restrepo() Place {
	return Place{
		Zones: 3, Hosts: 3, Targets: 17, Slots: 8, Near: 500 * time.Microsecond, Far: time.Millisecond,
		Preset: declarer.Ordinary, Bounds: scheduler.Standard(), Text: declarations(4, ""),
	}
}

// Kutchwala returns the deployment of the auction desk.
func Kutchwala() Place {
	p := Restrepo()
	p.Far = 3 * time.Millisecond
	p.Text = declarations(10, "")
	return p
}

// PlannedClients is the number of clients of Planned.
const PlannedClients = 150

// Planned returns one zone of the planned size: 86 targets and 150 clients. While
// tasks wait, its hosts send reports every 350 ms, the shortest interval that the
// limit on report bytes allows at that size.
func Planned() Place {
	p := Restrepo()
	p.Zones, p.Targets = 1, 86
	p.Text = declarations(PlannedClients, "")
	p.Bounds.FastReportInterval = 350 * time.Millisecond
	return p
}

// clientName returns the name of the i-th client.
func clientName(i int) string { return fmt.Sprintf("c%02d", i) }

// declarations returns declarations of the given number of clients of equal weight,
// and of the clients flood, small and everyone.
func declarations(clients int, extra string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service %s]\nslots = 8\n", Service)
	names := []string{Everyone, "flood", "small"}
	for i := range clients {
		names = append(names, clientName(i))
	}
	for _, name := range names {
		fmt.Fprintf(&b, "[client %s]\ntoken = sha256:%s\n", name, declarer.HashToken(name))
	}
	return b.String() + extra
}

// Variant is a scheduling policy to measure.
type Variant struct {
	Name   string
	Change func(*Place)
}

// Variants returns the policy in use, followed by the baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "fair", Change: func(*Place) {}},
		{Name: "fifo", Change: func(p *Place) {
			p.Merge = true
			p.Text = strings.Replace(p.Text, "slots = 8", "slots = 8\norder = first", 1)
		}},
		{Name: "random", Change: func(p *Place) { p.Scatter = true }},
	}
}

// Figures are the results of a simulation.
type Figures struct {
	Jobs       int
	Mean       float64 // slowdown
	Median     float64
	P99        float64
	Messages   float64 // per started task, including its request and answer
	Busy       float64 // refusals per started task
	Idle       float64 // share of the slot time that was free while tasks waited
	IdleWhile  float64 // the same, as a share of the slot time during which tasks waited
	Failed     float64 // share of the jobs
	Refused    float64
	Bytes      float64 // of reports, per second and host
	Violations []string
}

// messagesPerPoll is the number of messages of one poll of the platform: a request
// and an answer each for the row and for the host list.
const messagesPerPoll = 4

// measure returns the results for the jobs that were submitted between two times.
func (w *World) measure(client string, clients int, from, to time.Duration) Figures {
	t := w.Tally
	slowdowns := t.Slowdowns(client, clients, from, to)
	complete, failed, refused, _ := t.Outcomes(from, to)
	jobs := float64(complete + failed + refused)
	seconds := w.now.Sub(epoch).Seconds()
	polls := seconds / 2 * float64(len(w.Nodes)) * messagesPerPoll
	starts := float64(t.Sends - t.Busy)
	f := Figures{
		Jobs: len(slowdowns), Mean: Mean(slowdowns), Median: Quantile(slowdowns, 0.5), P99: Quantile(slowdowns, 0.99),
		Messages: (2*float64(t.Sends) + float64(t.Reports) + polls) / starts,
		Busy:     float64(t.Busy) / starts,
		Idle:     t.Idle.Seconds() / t.Taken.Seconds(),
		Failed:   float64(failed) / jobs, Refused: float64(refused) / jobs,
		Bytes:      float64(t.ReportBytes) / seconds / float64(len(w.Nodes)),
		Violations: t.Violations,
	}
	if t.Contended > 0 {
		f.IdleWhile = t.Idle.Seconds() / t.Contended.Seconds()
	}
	return f
}

// capacity returns the number of slots of the whole deployment.
func (p Place) capacity() float64 { return float64(p.Zones * p.Targets * p.Slots) }

// Honest measures well-behaved clients whose demand adds up to the load, a share of
// the capacity.
func Honest(p Place, clients int, load float64, seed uint64, duration time.Duration) Figures {
	w := New(p, seed)
	for i := range clients {
		w.Play(Source{Client: clientName(i), Classes: Usual(), Load: load * p.capacity() / float64(clients), Deadline: unreachedDeadline})
	}
	w.Tally.Watch(sampleInterval)
	w.Run(warmUpDuration + duration)
	return w.measure("", clients, warmUpDuration, duration+warmUpDuration/2)
}

// Alone measures a small client that is the only client of the deployment.
func Alone(p Place, seed uint64, duration time.Duration) Figures {
	return measureFlood(p, 0, seed, duration)
}

// Flood measures a small client beside a client whose demand is five times the
// capacity.
func Flood(p Place, seed uint64, duration time.Duration) Figures {
	return measureFlood(p, floodLoad, seed, duration)
}

// floodLoad and smallLoad are the demands of the two clients, as multiples of the
// capacity.
const (
	floodLoad = 5
	smallLoad = 0.02
)

func measureFlood(p Place, load float64, seed uint64, duration time.Duration) Figures {
	w := New(p, seed)
	w.Play(Source{Client: "small", Classes: Small(), Load: smallLoad * p.capacity(), Deadline: unreachedDeadline})
	if load > 0 {
		w.Play(Source{Client: "flood", Classes: Heavy(), Load: load * p.capacity(), Deadline: unreachedDeadline})
	}
	w.Tally.Watch(sampleInterval)
	w.Run(warmUpDuration + duration)
	return w.measure("small", 2, warmUpDuration, duration+warmUpDuration/2)
}

// Backlog measures clients that always have tasks waiting and submit their jobs
// unevenly to the hosts. It also returns the lowest Jain index of any five seconds.
func Backlog(p Place, clients int, seed uint64, duration time.Duration) (Figures, float64) {
	w := New(p, seed)
	names := make([]string, clients)
	weights := make([]float64, clients)
	for i := range clients {
		names[i], weights[i] = clientName(i), 1
		w.Play(Source{
			Client: names[i], Classes: Heavy(), Deadline: unreachedDeadline, Land: unevenHostPicker(i),
			Load: 2 * p.capacity() / float64(clients) * float64(1+i%3),
		})
	}
	w.Tally.Watch(sampleInterval)
	w.Run(warmUpDuration + duration)
	return w.measure("", clients, warmUpDuration, warmUpDuration+duration), w.Tally.Jain(names, weights, 5*time.Second, warmUpDuration, warmUpDuration+duration)
}

// unevenHostPicker returns a function that picks the hosts for the i-th client: in
// each zone one host twice as often as the next one, and the third one never.
func unevenHostPicker(i int) func(*rand.Rand, []*Node) *Node {
	return func(r *rand.Rand, nodes []*Node) *Node {
		const zoneHosts = 3
		zone := r.IntN(len(nodes) / zoneHosts)
		host := i
		if r.IntN(3) == 0 {
			host++
		}
		return nodes[zone*zoneHosts+host%zoneHosts]
	}
}

// Sick measures well-behaved clients while one target in ten is unhealthy. The fault
// is injected after the warm-up, and jobs that are submitted within the settling time
// after it are not counted.
func Sick(p Place, clients int, seed uint64, duration, settlingTime time.Duration, injectFault func(*Back)) Figures {
	w := New(p, seed)
	for i := range clients {
		w.Play(Source{Client: clientName(i), Classes: Usual(), Load: 0.6 * p.capacity() / float64(clients), Deadline: unreachedDeadline})
	}
	w.After(warmUpDuration, func() {
		for i, b := range w.Backs {
			if i%10 == 3 {
				injectFault(b)
			}
		}
	})
	w.Tally.Watch(sampleInterval)
	w.Run(warmUpDuration + settlingTime + duration)
	return w.measure("", clients, warmUpDuration+settlingTime, settlingTime+duration+warmUpDuration/2)
}

// FailAll makes a target fail every task.
func FailAll(b *Back) { b.Fail = true }

// SlowDown makes a target ten times slower.
func SlowDown(b *Back) { b.Slow = 10 }

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
	// warm is how long a world runs before anything is measured.
	warm = 10 * time.Second
	// patient is a deadline that no job of a measurement reaches.
	patient = 10 * time.Minute
	// watchPeriod is the period of samples of the slots.
	watchPeriod = 5 * time.Millisecond
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

// Planned returns one zone of the size that is planned for: 86 targets and 150
// clients. Its early reports are as far apart as the budget of bytes allows at
// that size.
func Planned() Place {
	p := Restrepo()
	p.Zones, p.Targets = 1, 86
	p.Text = declarations(PlannedClients, "")
	p.Bounds.Hurry = 350 * time.Millisecond
	return p
}

// clientName returns the name of the i-th client.
func clientName(i int) string { return fmt.Sprintf("c%02d", i) }

// declarations returns declarations of so many clients of equal weight, and of
// the one that stands for all.
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

// Variant is a policy to measure.
type Variant struct {
	Name   string
	Change func(*Place)
}

// Variants returns the policy in force first, then the baselines.
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

// Figures are the measures of one run.
type Figures struct {
	Jobs       int
	Mean       float64 // slowdown
	Median     float64
	P99        float64
	Messages   float64 // a task, with a request and an answer
	Busy       float64 // part of the sends
	Idle       float64 // part of the slot time that was free while work waited
	IdleWhile  float64 // the same, of the time in which work waited
	Failed     float64 // part of the jobs
	Refused    float64
	Bytes      float64 // of reports, a second and host
	Violations []string
}

// pollMessages is how many messages one poll of the platform takes: a request
// and an answer, for the row and for the host list.
const pollMessages = 4

// figures computes the measures of the jobs submitted between two times.
func (w *World) figures(client string, clients int, from, to time.Duration) Figures {
	t := w.Tally
	slow := t.Slowdowns(client, clients, from, to)
	complete, failed, refused, _ := t.Outcomes(from, to)
	jobs := float64(complete + failed + refused)
	seconds := w.now.Sub(epoch).Seconds()
	polls := seconds / 2 * float64(len(w.Nodes)) * pollMessages
	starts := float64(t.Sends - t.Busy)
	f := Figures{
		Jobs: len(slow), Mean: Mean(slow), Median: Quantile(slow, 0.5), P99: Quantile(slow, 0.99),
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

// capacity returns the slots of the whole deployment.
func (p Place) capacity() float64 { return float64(p.Zones * p.Targets * p.Slots) }

// Honest measures clients that together ask for a part of the capacity.
func Honest(p Place, clients int, load float64, seed uint64, length time.Duration) Figures {
	w := New(p, seed)
	for i := range clients {
		w.Play(Source{Client: clientName(i), Classes: Usual(), Load: load * p.capacity() / float64(clients), Deadline: patient})
	}
	w.Tally.Watch(watchPeriod)
	w.Run(warm + length)
	return w.figures("", clients, warm, length+warm/2)
}

// Alone measures a small client that has the deployment to itself.
func Alone(p Place, seed uint64, length time.Duration) Figures {
	return flood(p, 0, seed, length)
}

// Flood measures a small client beside one that asks for five times the
// capacity.
func Flood(p Place, seed uint64, length time.Duration) Figures {
	return flood(p, floodLoad, seed, length)
}

const (
	floodLoad = 5
	smallLoad = 0.02
)

func flood(p Place, load float64, seed uint64, length time.Duration) Figures {
	w := New(p, seed)
	w.Play(Source{Client: "small", Classes: Small(), Load: smallLoad * p.capacity(), Deadline: patient})
	if load > 0 {
		w.Play(Source{Client: "flood", Classes: Heavy(), Load: load * p.capacity(), Deadline: patient})
	}
	w.Tally.Watch(watchPeriod)
	w.Run(warm + length)
	return w.figures("small", 2, warm, length+warm/2)
}

// Backlog measures clients that always have work waiting and land unevenly on
// the hosts. It returns the least Jain index of any five seconds too.
func Backlog(p Place, clients int, seed uint64, length time.Duration) (Figures, float64) {
	w := New(p, seed)
	names := make([]string, clients)
	weights := make([]float64, clients)
	for i := range clients {
		names[i], weights[i] = clientName(i), 1
		w.Play(Source{
			Client: names[i], Classes: Heavy(), Deadline: patient, Land: uneven(i),
			Load: 2 * p.capacity() / float64(clients) * float64(1+i%3),
		})
	}
	w.Tally.Watch(watchPeriod)
	w.Run(warm + length)
	return w.figures("", clients, warm, warm+length), w.Tally.Jain(names, weights, 5*time.Second, warm, warm+length)
}

// uneven lands the i-th client on one host of each zone twice as often as on
// the next one, and on the third not at all.
func uneven(i int) func(*rand.Rand, []*Node) *Node {
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

// Sick measures honest clients while one target in ten misbehaves from the time
// warm on. The jobs of the first settle seconds after that are left out.
func Sick(p Place, clients int, seed uint64, length, settle time.Duration, spoil func(*Back)) Figures {
	w := New(p, seed)
	for i := range clients {
		w.Play(Source{Client: clientName(i), Classes: Usual(), Load: 0.6 * p.capacity() / float64(clients), Deadline: patient})
	}
	w.After(warm, func() {
		for i, b := range w.Backs {
			if i%10 == 3 {
				spoil(b)
			}
		}
	})
	w.Tally.Watch(watchPeriod)
	w.Run(warm + settle + length)
	return w.figures("", clients, warm+settle, settle+length+warm/2)
}

// FailAll makes a target fail every task.
func FailAll(b *Back) { b.Fail = true }

// SlowDown makes a target ten times slower.
func SlowDown(b *Back) { b.Slow = 10 }

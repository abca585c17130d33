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
func Restrepo() Deployment {
	return Deployment{
		Zones: 3, Hosts: 3, Targets: 17, Slots: 8, IntraZoneDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond,
		Preset: declarer.Ordinary, Bounds: scheduler.Standard(), Declarations: declarations(4, ""),
	}
}

// Kutchwala returns the deployment of the auction desk.
func Kutchwala() Deployment {
	p := Restrepo()
	p.ClientDelay = 3 * time.Millisecond
	p.Declarations = declarations(10, "")
	return p
}

// PlannedClients is the number of clients of PlannedDeployment.
const PlannedClients = 150

// PlannedDeployment returns one zone of the planned size: 86 targets and 150 clients. While
// tasks wait, its hosts send reports every 350 ms, the shortest interval that the
// limit on report bytes allows at that size.
func PlannedDeployment() Deployment {
	p := Restrepo()
	p.Zones, p.Targets = 1, 86
	p.Declarations = declarations(PlannedClients, "")
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
	names := []string{MergedClient, "flood", "small"}
	for i := range clients {
		names = append(names, clientName(i))
	}
	for _, name := range names {
		fmt.Fprintf(&b, "[client %s]\ntoken = sha256:%s\n", name, declarer.HashToken(name))
	}
	return b.String() + extra
}

// PolicyVariant is a scheduling policy to measure.
type PolicyVariant struct {
	Name  string
	Apply func(*Deployment)
}

// PolicyVariants returns the policy in use, followed by the baselines.
func PolicyVariants() []PolicyVariant {
	return []PolicyVariant{
		{Name: "fair", Apply: func(*Deployment) {}},
		{Name: "fifo", Apply: func(p *Deployment) {
			p.SingleQueue = true
			p.Declarations = strings.Replace(p.Declarations, "slots = 8", "slots = 8\norder = first", 1)
		}},
		{Name: "random", Apply: func(p *Deployment) { p.RandomPlacement = true }},
	}
}

// Measurements are the results of a simulation.
type Measurements struct {
	Jobs                  int
	MeanSlowdown          float64 // slowdown
	MedianSlowdown        float64
	P99Slowdown           float64
	MessagesPerTask       float64 // per started task, including its request and answer
	BusyRefusalsPerTask   float64 // refusals per started task
	IdleShare             float64 // share of the slot time that was free while tasks waited
	IdleShareWhileWaiting float64 // the same, as a share of the slot time during which tasks waited
	FailedShare           float64 // share of the jobs
	RefusedShare          float64
	ReportBytesPerSecond  float64 // of reports, per second and host
	Violations            []string
}

// messagesPerPoll is the number of messages of one poll of the platform: a request
// and an answer each for the row and for the host list.
const messagesPerPoll = 4

// measure returns the results for the jobs that were submitted between two times.
func (sm *Simulation) measure(client string, clients int, from, to time.Duration) Measurements {
	t := sm.Results
	slowdowns := t.Slowdowns(client, clients, from, to)
	complete, failed, refused, _ := t.Outcomes(from, to)
	jobs := float64(complete + failed + refused)
	seconds := sm.now.Sub(epoch).Seconds()
	polls := seconds / 2 * float64(len(sm.EntryHosts)) * messagesPerPoll
	starts := float64(t.TasksSent - t.BusyRefusals)
	f := Measurements{
		Jobs: len(slowdowns), MeanSlowdown: Mean(slowdowns), MedianSlowdown: Quantile(slowdowns, 0.5), P99Slowdown: Quantile(slowdowns, 0.99),
		MessagesPerTask:     (2*float64(t.TasksSent) + float64(t.Reports) + polls) / starts,
		BusyRefusalsPerTask: float64(t.BusyRefusals) / starts,
		IdleShare:           t.IdleSlotTime.Seconds() / t.ObservedSlotTime.Seconds(),
		FailedShare:         float64(failed) / jobs, RefusedShare: float64(refused) / jobs,
		ReportBytesPerSecond: float64(t.ReportBytes) / seconds / float64(len(sm.EntryHosts)),
		Violations:           t.Violations,
	}
	if t.ContendedSlotTime > 0 {
		f.IdleShareWhileWaiting = t.IdleSlotTime.Seconds() / t.ContendedSlotTime.Seconds()
	}
	return f
}

// capacity returns the number of slots of the whole deployment.
func (p Deployment) capacity() float64 { return float64(p.Zones * p.Targets * p.Slots) }

// MeasureWellBehaved measures well-behaved clients whose demand adds up to the load, a share of
// the capacity.
func MeasureWellBehaved(p Deployment, clients int, load float64, seed uint64, duration time.Duration) Measurements {
	sim := New(p, seed)
	for i := range clients {
		sim.AddSource(JobSource{Client: clientName(i), Classes: OrdinaryClasses(), Load: load * p.capacity() / float64(clients), Deadline: unreachedDeadline})
	}
	sim.Results.StartSampling(sampleInterval)
	sim.Run(warmUpDuration + duration)
	return sim.measure("", clients, warmUpDuration, duration+warmUpDuration/2)
}

// MeasureSmallAlone measures a small client that is the only client of the deployment.
func MeasureSmallAlone(p Deployment, seed uint64, duration time.Duration) Measurements {
	return measureFlood(p, 0, seed, duration)
}

// MeasureSmallBesideFlood measures a small client beside a client whose demand is five times the
// capacity.
func MeasureSmallBesideFlood(p Deployment, seed uint64, duration time.Duration) Measurements {
	return measureFlood(p, floodLoad, seed, duration)
}

// floodLoad and smallLoad are the demands of the two clients, as multiples of the
// capacity.
const (
	floodLoad = 5
	smallLoad = 0.02
)

func measureFlood(p Deployment, load float64, seed uint64, duration time.Duration) Measurements {
	sim := New(p, seed)
	sim.AddSource(JobSource{Client: "small", Classes: SmallClasses(), Load: smallLoad * p.capacity(), Deadline: unreachedDeadline})
	if load > 0 {
		sim.AddSource(JobSource{Client: "flood", Classes: HeavyClasses(), Load: load * p.capacity(), Deadline: unreachedDeadline})
	}
	sim.Results.StartSampling(sampleInterval)
	sim.Run(warmUpDuration + duration)
	return sim.measure("small", 2, warmUpDuration, duration+warmUpDuration/2)
}

// MeasureBacklog measures clients that always have tasks waiting and submit their jobs
// unevenly to the hosts. It also returns the lowest Jain index of any five seconds.
func MeasureBacklog(p Deployment, clients int, seed uint64, duration time.Duration) (Measurements, float64) {
	sim := New(p, seed)
	names := make([]string, clients)
	weights := make([]float64, clients)
	for i := range clients {
		names[i], weights[i] = clientName(i), 1
		sim.AddSource(JobSource{
			Client: names[i], Classes: HeavyClasses(), Deadline: unreachedDeadline, PickHost: unevenHostPicker(i),
			Load: 2 * p.capacity() / float64(clients) * float64(1+i%3),
		})
	}
	sim.Results.StartSampling(sampleInterval)
	sim.Run(warmUpDuration + duration)
	return sim.measure("", clients, warmUpDuration, warmUpDuration+duration), sim.Results.MinJainIndex(names, weights, 5*time.Second, warmUpDuration, warmUpDuration+duration)
}

// unevenHostPicker returns a function that picks the hosts for the i-th client: in
// each zone one host twice as often as the next one, and the third one never.
func unevenHostPicker(i int) func(*rand.Rand, []*EntryHost) *EntryHost {
	return func(r *rand.Rand, nodes []*EntryHost) *EntryHost {
		const zoneHosts = 3
		zone := r.IntN(len(nodes) / zoneHosts)
		host := i
		if r.IntN(3) == 0 {
			host++
		}
		return nodes[zone*zoneHosts+host%zoneHosts]
	}
}

// MeasureUnhealthyTargets measures well-behaved clients while one target in ten is
// unhealthy. The fault is injected after the warm-up, and jobs that are submitted within
// the settling time after it are not counted.
func MeasureUnhealthyTargets(p Deployment, clients int, seed uint64, duration, settlingTime time.Duration, injectFault func(*Target)) Measurements {
	sim := New(p, seed)
	for i := range clients {
		sim.AddSource(JobSource{Client: clientName(i), Classes: OrdinaryClasses(), Load: 0.6 * p.capacity() / float64(clients), Deadline: unreachedDeadline})
	}
	sim.Schedule(warmUpDuration, func() {
		for i, b := range sim.AllTargets {
			if i%10 == 3 {
				injectFault(b)
			}
		}
	})
	sim.Results.StartSampling(sampleInterval)
	sim.Run(warmUpDuration + settlingTime + duration)
	return sim.measure("", clients, warmUpDuration+settlingTime, settlingTime+duration+warmUpDuration/2)
}

// MakeTasksFail makes a target fail every task.
func MakeTasksFail(b *Target) { b.FailTasks = true }

// MakeSlow makes a target ten times slower.
func MakeSlow(b *Target) { b.SlowFactor = 10 }

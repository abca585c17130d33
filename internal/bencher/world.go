// Package bencher runs several schedulers in virtual time, joined by links with
// delay, against targets that only take time. It measures the policy and, with
// faults, checks what must always hold.
package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/holder"
	"github.com/shallotrouter/shallotrouter/internal/reporter"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// epoch is when virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Place is a deployment to run in virtual time.
type Place struct {
	// Zones, Hosts and Targets count the zones, and the entry hosts and targets
	// of each zone.
	Zones   int
	Hosts   int
	Targets int
	// Slots bounds the tasks that run together on a target.
	Slots int
	// Near is the one-way delay within a zone, and Far that to the clients.
	Near time.Duration
	Far  time.Duration
	// Text is the declarations.
	Text string
	// Preset is the preset in force.
	Preset declarer.Name
	// Bounds are the schedulers' bounds.
	Bounds scheduler.Bounds
	// Scatter places tasks at random instead of evenly.
	Scatter bool
	// Refuse makes targets refuse what they cannot start at once.
	Refuse bool
	// Unproven is a defect for tests of the checks: a task whose fate is unknown
	// is reported as never sent.
	Unproven bool
	// Merge queues all clients' jobs as one client's.
	Merge bool
}

// World is a deployment in virtual time. It is made by New and is not safe for
// concurrent use.
type World struct {
	Place
	// Random is the source of all chance.
	Random *rand.Rand
	// Nodes and Backs are the entry hosts and targets.
	Nodes []*Node
	Backs []*Back
	// Tally collects the measures.
	Tally *Tally
	// Log is told of marked decisions; it may be nil.
	Log func(n *Node, text string)
	// Config is the newest configuration.
	Config *declarer.Config

	now       time.Time
	queue     holder.Heap[*entry]
	sequence  uint64
	request   uint64
	directory uint64
	asked     map[uint64]asked
}

// entry is something that will happen.
type entry struct {
	holder.Index
	at       time.Time
	sequence uint64
	act      func()
}

// Node is one entry host.
type Node struct {
	Name      string
	Zone      string
	Scheduler *scheduler.Scheduler
	// Dead hosts do nothing, and Frozen ones do nothing until they are thawed.
	Dead   bool
	Frozen bool
	// Cut hosts reach no peer and no platform.
	Cut bool

	joined time.Time // when it last came to reach the others

	held    []scheduler.Event // what came while the host was frozen
	packer  reporter.Packer
	version uint64 // of the configuration, when last checked
}

// Back is one target.
type Back struct {
	Name string
	Zone string
	// Fail makes every task fail at once, Slow multiplies run times, Leaving
	// refuses every task, and Dead answers nothing.
	Fail    bool
	Slow    float64
	Leaving bool
	Dead    bool

	running int
	held    []*held
	told    time.Time // when a host that reaches the others knew that it is leaving
}

// Submission is one job on its way.
type Submission struct {
	Client string
	Node   *Node
	Number uint64
	Job    shallotrouter.Job
	Runs   []time.Duration
	// Poison makes every task fail wherever it runs.
	Poison bool
	At     time.Time
	Answer *shallotrouter.Answer
	Ended  time.Time
	round  int // submissions under the ticket so far
	starts []int
	ends   []bool
}

// asked is a request that waits for an answer.
type asked struct {
	sub *Submission
	// round counts the submissions under the ticket before this one. An earlier
	// one's refusal says nothing of a later one.
	round int
}

// New sets up a world in which every daemon serves.
func New(place Place, seed uint64) *World {
	w := &World{Place: place, Random: rand.New(rand.NewPCG(seed, seed+1)), now: epoch, asked: make(map[uint64]asked)}
	w.queue.Less = func(a, b *entry) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.sequence < b.sequence
	}
	w.Tally = newTally(w)
	w.SetPreset(place.Preset)
	for z := range place.Zones {
		zone := fmt.Sprintf("z%d", z)
		for i := range place.Targets {
			w.Backs = append(w.Backs, &Back{Name: fmt.Sprintf("%s-t%02d", zone, i), Zone: zone, Slow: 1})
		}
		for i := range place.Hosts {
			w.AddNode(fmt.Sprintf("%s-h%d", zone, i), zone)
		}
	}
	return w
}

// SetPreset makes a new configuration with the preset in force. Daemons get it
// with Spread.
func (w *World) SetPreset(preset declarer.Name) {
	raw, err := declarer.Row{Text: w.Text, Preset: preset}.Encode()
	if err != nil {
		panic(err)
	}
	version := uint64(1)
	if w.Config != nil {
		version = w.Config.Version + 1
	}
	if w.Config, err = declarer.Decode(version, raw); err != nil {
		panic(err)
	}
}

// AddNode starts an entry host that knows the configuration and its zone's
// targets.
func (w *World) AddNode(name, zone string) *Node {
	n := &Node{Name: name, Zone: zone, joined: w.now}
	n.Scheduler = &scheduler.Scheduler{
		Host: name, Zone: zone, Address: name, Bounds: w.Bounds, Incarnation: uint64(w.now.UnixNano()),
	}
	if w.Scatter {
		n.Scheduler.Placer = scheduler.Scatter{Random: rand.New(rand.NewPCG(uint64(len(w.Nodes)), 1))}
	}
	w.Nodes = append(w.Nodes, n)
	w.Deliver(n, scheduler.Adopt{Config: w.Config})
	w.Deliver(n, scheduler.Locate{Directory: w.Directory(zone)})
	w.tick(n, time.Duration(w.Random.Int64N(int64(w.Bounds.Tick))))
	return n
}

// Directory returns the host list of a zone, under a new version.
func (w *World) Directory(zone string) scheduler.Directory {
	w.directory++
	d := scheduler.Directory{Version: w.directory, Zone: zone}
	for _, b := range w.Backs {
		if b.Zone == zone {
			d.Hosts = append(d.Hosts, scheduler.Host{Name: b.Name, Role: scheduler.Target, Address: b.Name, Service: Service, Leaving: b.Leaving})
		}
	}
	return d
}

// Service is the declared service of every world.
const Service = "despacho"

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// After lets something happen once the delay is over.
func (w *World) After(delay time.Duration, act func()) {
	w.sequence++
	w.queue.Push(&entry{at: w.now.Add(delay), sequence: w.sequence, act: act})
}

// Run lets virtual time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue.Top().at.After(end) {
		e := w.queue.Pop()
		w.now = e.at
		e.act()
	}
	w.now = end
}

// tick steps a node at its period.
func (w *World) tick(n *Node, delay time.Duration) {
	w.After(delay, func() {
		if n.Dead {
			return
		}
		if !n.Frozen {
			w.Deliver(n, scheduler.Tick{})
		}
		w.tick(n, w.Bounds.Tick)
	})
}

// Deliver steps a node with an event and carries out the effects. A frozen node
// gets the event when it thaws.
func (w *World) Deliver(n *Node, e scheduler.Event) {
	if n.Dead {
		return
	}
	if n.Frozen {
		n.held = append(n.held, e)
		return
	}
	w.Tally.Steps++
	for _, effect := range n.Scheduler.Step(w.now, e) {
		w.carry(n, effect)
	}
}

// Thaw lets a frozen node go on with what came in the meantime.
func (w *World) Thaw(n *Node) {
	n.Frozen = false
	held := n.held
	n.held = nil
	for _, e := range held {
		w.Deliver(n, e)
	}
}

// carry carries out one effect.
func (w *World) carry(n *Node, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Start:
		w.send(n, e)
	case scheduler.Reply:
		w.reply(e)
	case scheduler.Publish:
		w.publish(n, e.Report)
	case scheduler.Refresh:
		w.After(w.Near, func() { w.Deliver(n, scheduler.Locate{Directory: w.Directory(n.Zone)}) })
	case scheduler.Violate:
		w.Tally.violate("%s: %s", e.Invariant, e.Detail)
	case scheduler.Decide:
		if e.Action == scheduler.Mark && w.Log != nil {
			w.Log(n, e.Target+" "+e.Reason)
		}
		if e.Action == scheduler.Requeue {
			w.Tally.Requeues++
		}
	}
}

// publish brings a report to the peers of the zone, and counts it.
func (w *World) publish(n *Node, report scheduler.Report) {
	delta := n.packer.Pack(report)
	data, err := reporter.Message{Delta: &delta}.Encode()
	if err != nil {
		panic(err)
	}
	for _, peer := range w.Nodes {
		if peer == n || peer.Zone != n.Zone || peer.Dead || n.Cut || peer.Cut {
			continue
		}
		w.Tally.Reports++
		w.Tally.ReportBytes += len(data)
		w.After(w.Near, func() { w.Deliver(peer, scheduler.Hear{Report: report}) })
	}
}

// Submit takes a ticket at a node and submits a job there.
func (w *World) Submit(n *Node, client string, job shallotrouter.Job, runs []time.Duration) *Submission {
	sub := &Submission{Client: client, Node: n, Job: job, Runs: runs, At: w.now, starts: make([]int, len(runs)), ends: make([]bool, len(runs))}
	w.Tally.Submissions = append(w.Tally.Submissions, sub)
	w.After(w.Far, func() {
		if n.Dead || n.Frozen {
			return // the connection breaks
		}
		w.request++
		for _, effect := range n.Scheduler.Step(w.now, scheduler.Issue{Request: w.request, Client: w.name(client), Count: 1}) {
			if issued, ok := effect.(scheduler.Issued); ok && issued.Err == nil {
				sub.Number = issued.First
				continue
			}
			w.carry(n, effect)
		}
		if sub.Number == 0 {
			return
		}
		w.asked[w.key(n, sub.Number)] = asked{sub: sub}
		w.Resubmit(sub)
	})
	return sub
}

// name returns the client as the schedulers see it.
func (w *World) name(client string) string {
	if w.Merge {
		return Everyone
	}
	return client
}

// Everyone is the client that all are merged into.
const Everyone = "everyone"

// Resubmit submits a job under the ticket that it already has. After a refusal it
// is a new request, which may run if the ticket is still unused.
func (w *World) Resubmit(sub *Submission) {
	if sub.Answer != nil && sub.Answer.Outcome == shallotrouter.Refused {
		sub.Answer = nil
	}
	w.request++
	sub.round++
	w.asked[w.request|requestBit] = asked{sub, sub.round}
	w.Deliver(sub.Node, scheduler.Submit{Request: w.request, Client: w.name(sub.Client), Number: sub.Number, Job: sub.Job})
}

// Cancel withdraws a job.
func (w *World) Cancel(sub *Submission) {
	if sub.Number == 0 {
		return
	}
	w.request++
	w.asked[w.request|requestBit] = asked{sub, sub.round}
	w.Deliver(sub.Node, scheduler.Cancel{Request: w.request, Client: w.name(sub.Client), Number: sub.Number})
}

// requestBit tells keys of requests from keys of tickets.
const requestBit = 1 << 63

// reply brings an answer to its client.
func (w *World) reply(e scheduler.Reply) {
	x := w.asked[e.Request|requestBit]
	sub := x.sub
	delete(w.asked, e.Request|requestBit)
	if sub == nil {
		w.Tally.violate("one answer a request: request %d was answered again", e.Request)
		return
	}
	answer := e.Answer
	w.Tally.answer(sub, &answer)
	w.After(w.Far, func() {
		outdated := answer.Outcome == shallotrouter.Refused && x.round < sub.round
		if sub.Answer == nil && !outdated {
			sub.Answer, sub.Ended = &answer, w.now
		}
	})
}

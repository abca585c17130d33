// Package bencher simulates a deployment in virtual time: several schedulers, the
// delays between them, and targets that only spend run time. It measures the
// scheduling policy and, under injected faults, checks invariants.
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

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Place describes a deployment to simulate.
type Place struct {
	// Zones is the number of zones, Hosts and Targets are the numbers of entry
	// hosts and targets in each zone.
	Zones   int
	Hosts   int
	Targets int
	// Slots is the maximum number of tasks that run at a target at once.
	Slots int
	// Near is the one-way delay within a zone, Far the one-way delay between a
	// client and an entry host.
	Near time.Duration
	Far  time.Duration
	// Text is the text of the declarations.
	Text string
	// Preset is the preset that is active at the start.
	Preset declarer.PresetName
	// Bounds are the limits and intervals of the schedulers.
	Bounds scheduler.Bounds
	// Scatter makes the schedulers place tasks at random instead of evenly.
	Scatter bool
	// Refuse makes targets refuse tasks that they cannot start at once, instead of
	// queueing them.
	Refuse bool
	// Unproven is a defect for tests of the invariant checks: a task of which it is
	// unknown whether it ran is reported as not sent.
	Unproven bool
	// Merge puts the jobs of all clients into the queue of one client.
	Merge bool
}

// World is a simulated deployment. New creates it. It is not safe for concurrent
// use.
type World struct {
	Place
	// Random is the source of all random numbers.
	Random *rand.Rand
	// Nodes and Backs are the entry hosts and targets.
	Nodes []*Node
	Backs []*Back
	// Tally collects the measurements.
	Tally *Tally
	// Log is called with the target and the reason when a host changes the state
	// of a target; it may be nil.
	Log func(n *Node, text string)
	// Config is the newest configuration.
	Config *declarer.Config

	now              time.Time
	queue            holder.Heap[*scheduledEvent]
	sequence         uint64
	lastRequest      uint64
	directoryVersion uint64                   // newest version of any host list
	submissionsByKey map[uint64]submissionRef // by the key of a ticket or of a request
}

// scheduledEvent is an action at a moment in virtual time. Events of the same moment
// run in the order of their sequence numbers.
type scheduledEvent struct {
	holder.Index
	at       time.Time
	sequence uint64
	action   func()
}

// Node is an entry host.
type Node struct {
	Name      string
	Zone      string
	Scheduler *scheduler.Scheduler
	// Dead says that the process of the host has exited, Frozen that it is paused
	// until Thaw.
	Dead   bool
	Frozen bool
	// Cut says that the host is partitioned: no reports pass between the host and
	// its peers.
	Cut bool

	reachableSince time.Time // start of the connection to its peers

	pendingEvents []scheduler.Event // events that arrived while the host was paused
	packer        reporter.DeltaEncoder
	configVersion uint64 // at the last check of the invariants
}

// Back is a target.
type Back struct {
	Name string
	Zone string
	// Fail makes every task fail at once, Slow multiplies the run times, and
	// Leaving refuses every task. Dead accepts no connection and loses the answers
	// of the tasks that run.
	Fail    bool
	Slow    float64
	Leaving bool
	Dead    bool

	running        int
	waiting        []*waitingTask
	leavingKnownAt time.Time // since when a host with connections to its peers knows that the target is leaving
}

// Submission is a job that was submitted under a ticket, with its answer.
type Submission struct {
	Client string
	Node   *Node
	Number uint64
	Job    shallotrouter.Job
	Runs   []time.Duration
	// Poison makes every task fail at every target.
	Poison      bool
	At          time.Time
	Answer      *shallotrouter.Answer
	Ended       time.Time
	attempts    int // number of submissions under the ticket so far
	startCounts []int
	endedTasks  []bool
}

// submissionRef refers to the submission of a ticket or of a request that waits for
// an answer.
type submissionRef struct {
	sub *Submission
	// attempt is the number of submissions under the ticket when the request was
	// sent. The refusal of an earlier attempt does not apply to a later one.
	attempt int
}

// New creates a simulation of the deployment in which every entry host serves.
func New(place Place, seed uint64) *World {
	w := &World{Place: place, Random: rand.New(rand.NewPCG(seed, seed+1)), now: epoch, submissionsByKey: make(map[uint64]submissionRef)}
	w.queue.Less = func(a, b *scheduledEvent) bool {
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

// SetPreset creates a new version of the configuration with the preset. A host uses
// it once it receives it in a scheduler.Adopt event.
func (w *World) SetPreset(preset declarer.PresetName) {
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

// AddNode starts an entry host with the current configuration and the targets of its
// zone.
func (w *World) AddNode(name, zone string) *Node {
	node := &Node{Name: name, Zone: zone, reachableSince: w.now}
	node.Scheduler = &scheduler.Scheduler{
		Host: name, Zone: zone, Address: name, Bounds: w.Bounds, Incarnation: uint64(w.now.UnixNano()),
	}
	if w.Scatter {
		node.Scheduler.Placer = scheduler.RandomPlacer{Random: rand.New(rand.NewPCG(uint64(len(w.Nodes)), 1))}
	}
	w.Nodes = append(w.Nodes, node)
	w.Deliver(node, scheduler.Adopt{Config: w.Config})
	w.Deliver(node, scheduler.Locate{Directory: w.Directory(zone)})
	w.scheduleTick(node, time.Duration(w.Random.Int64N(int64(w.Bounds.TickInterval))))
	return node
}

// Directory returns the host list of a zone with a new version number.
func (w *World) Directory(zone string) scheduler.Directory {
	w.directoryVersion++
	d := scheduler.Directory{Version: w.directoryVersion, Zone: zone}
	for _, b := range w.Backs {
		if b.Zone == zone {
			d.Hosts = append(d.Hosts, scheduler.Host{Name: b.Name, Role: scheduler.Target, Address: b.Name, Service: Service, Leaving: b.Leaving})
		}
	}
	return d
}

// Service is the declared service of every simulation.
const Service = "despacho"

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// After schedules an action after a delay in virtual time.
func (w *World) After(delay time.Duration, action func()) {
	w.sequence++
	w.queue.Push(&scheduledEvent{at: w.now.Add(delay), sequence: w.sequence, action: action})
}

// Run advances virtual time by the given duration and runs the actions that are due.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue.Peek().at.After(end) {
		e := w.queue.Pop()
		w.now = e.at
		e.action()
	}
	w.now = end
}

// scheduleTick delivers Tick events to a host, the first after the delay and then at
// the interval of the bounds.
func (w *World) scheduleTick(n *Node, delay time.Duration) {
	w.After(delay, func() {
		if n.Dead {
			return
		}
		if !n.Frozen {
			w.Deliver(n, scheduler.Tick{})
		}
		w.scheduleTick(n, w.Bounds.TickInterval)
	})
}

// Deliver passes an event to the scheduler of a host and executes the effects. A
// paused host handles the event after it resumes.
func (w *World) Deliver(n *Node, e scheduler.Event) {
	if n.Dead {
		return
	}
	if n.Frozen {
		n.pendingEvents = append(n.pendingEvents, e)
		return
	}
	w.Tally.Steps++
	for _, effect := range n.Scheduler.Step(w.now, e) {
		w.executeEffect(n, effect)
	}
}

// Thaw resumes a paused host, which then handles the events that arrived during the
// pause.
func (w *World) Thaw(n *Node) {
	n.Frozen = false
	events := n.pendingEvents
	n.pendingEvents = nil
	for _, e := range events {
		w.Deliver(n, e)
	}
}

// executeEffect executes an effect of the scheduler of a host.
func (w *World) executeEffect(n *Node, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Start:
		w.sendTask(n, e)
	case scheduler.Reply:
		w.sendAnswer(e)
	case scheduler.Publish:
		w.sendReport(n, e.Report)
	case scheduler.Refresh:
		w.After(w.Near, func() { w.Deliver(n, scheduler.Locate{Directory: w.Directory(n.Zone)}) })
	case scheduler.Violation:
		w.Tally.recordViolation("%s: %s", e.Invariant, e.Detail)
	case scheduler.Decision:
		if e.Action == scheduler.StateChanged && w.Log != nil {
			w.Log(n, e.Target+" "+e.Reason)
		}
		if e.Action == scheduler.Requeue {
			w.Tally.Requeues++
		}
	}
}

// sendReport sends a report to the peers of the zone that can be reached, and counts
// it.
func (w *World) sendReport(n *Node, report scheduler.Report) {
	delta := n.packer.Encode(report)
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
		w.After(w.Near, func() { w.Deliver(peer, scheduler.ReportReceived{Report: report}) })
	}
}

// Submit requests a ticket from a host and submits a job there.
func (w *World) Submit(n *Node, client string, job shallotrouter.Job, runs []time.Duration) *Submission {
	sub := &Submission{Client: client, Node: n, Job: job, Runs: runs, At: w.now, startCounts: make([]int, len(runs)), endedTasks: make([]bool, len(runs))}
	w.Tally.Submissions = append(w.Tally.Submissions, sub)
	w.After(w.Far, func() {
		if n.Dead || n.Frozen {
			return // the connection fails
		}
		w.lastRequest++
		for _, effect := range n.Scheduler.Step(w.now, scheduler.Issue{Request: w.lastRequest, Client: w.schedulerClient(client), Count: 1}) {
			if issued, ok := effect.(scheduler.Issued); ok && issued.Err == nil {
				sub.Number = issued.First
				continue
			}
			w.executeEffect(n, effect)
		}
		if sub.Number == 0 {
			return
		}
		w.submissionsByKey[w.ticketKey(n, sub.Number)] = submissionRef{sub: sub}
		w.Resubmit(sub)
	})
	return sub
}

// schedulerClient returns the name under which the schedulers queue a client's jobs.
func (w *World) schedulerClient(client string) string {
	if w.Merge {
		return Everyone
	}
	return client
}

// Everyone is the client whose queue takes the jobs of all clients.
const Everyone = "everyone"

// Resubmit submits a job again under its ticket. After a refusal this is a new
// request, which may run if the ticket is still unused.
func (w *World) Resubmit(sub *Submission) {
	if sub.Answer != nil && sub.Answer.Outcome == shallotrouter.Refused {
		sub.Answer = nil
	}
	w.lastRequest++
	sub.attempts++
	w.submissionsByKey[w.lastRequest|requestKeyBit] = submissionRef{sub, sub.attempts}
	w.Deliver(sub.Node, scheduler.Submit{Request: w.lastRequest, Client: w.schedulerClient(sub.Client), Number: sub.Number, Job: sub.Job})
}

// Cancel cancels a job.
func (w *World) Cancel(sub *Submission) {
	if sub.Number == 0 {
		return
	}
	w.lastRequest++
	w.submissionsByKey[w.lastRequest|requestKeyBit] = submissionRef{sub, sub.attempts}
	w.Deliver(sub.Node, scheduler.Cancel{Request: w.lastRequest, Client: w.schedulerClient(sub.Client), Number: sub.Number})
}

// requestKeyBit distinguishes the keys of requests from the keys of tickets.
const requestKeyBit = 1 << 63

// sendAnswer checks an answer and sends it to its client.
func (w *World) sendAnswer(e scheduler.Reply) {
	ref := w.submissionsByKey[e.Request|requestKeyBit]
	sub := ref.sub
	delete(w.submissionsByKey, e.Request|requestKeyBit)
	if sub == nil {
		w.Tally.recordViolation("one answer a request: request %d has more than one answer", e.Request)
		return
	}
	answer := e.Answer
	w.Tally.checkAnswer(sub, &answer)
	w.After(w.Far, func() {
		outdated := answer.Outcome == shallotrouter.Refused && ref.attempt < sub.attempts
		if sub.Answer == nil && !outdated {
			sub.Answer, sub.Ended = &answer, w.now
		}
	})
}

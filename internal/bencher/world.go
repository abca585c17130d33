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

// Deployment describes a deployment to simulate.
type Deployment struct {
	// Zones is the number of zones, Hosts and Targets are the numbers of entry
	// hosts and targets in each zone.
	Zones   int
	Hosts   int
	Targets int
	// Slots is the maximum number of tasks that run at a target at once.
	Slots int
	// IntraZoneDelay is the one-way delay within a zone, ClientDelay the one-way
	// delay between a client and an entry host.
	IntraZoneDelay time.Duration
	ClientDelay    time.Duration
	// Declarations is the text of the declarations.
	Declarations string
	// Preset is the preset that is active at the start.
	Preset declarer.PresetName
	// Bounds are the limits and intervals of the schedulers.
	Bounds scheduler.Bounds
	// RandomPlacement makes the schedulers place tasks at random instead of evenly.
	RandomPlacement bool
	// RefuseWhenBusy makes targets refuse tasks that they cannot start at once, instead of
	// queueing them.
	RefuseWhenBusy bool
	// ReportLostAsUnsent is a defect for tests of the invariant checks: a task of which it is
	// unknown whether it ran is reported as not sent.
	ReportLostAsUnsent bool
	// SingleQueue puts the jobs of all clients into the queue of one client.
	SingleQueue bool
}

// Simulation is a simulated deployment. New creates it. It is not safe for concurrent
// use.
type Simulation struct {
	Deployment
	// Random is the source of all random numbers.
	Random *rand.Rand
	// EntryHosts and AllTargets are the entry hosts and targets of all zones.
	EntryHosts []*EntryHost
	AllTargets []*Target
	// Results collects the measurements.
	Results *Results
	// OnStateChange is called with the target and the reason when a host changes the state
	// of a target; it may be nil.
	OnStateChange func(n *EntryHost, text string)
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

// EntryHost is an entry host.
type EntryHost struct {
	Name      string
	Zone      string
	Scheduler *scheduler.Scheduler
	// Exited says that the process of the host has exited, Paused that it is paused
	// until Resume.
	Exited bool
	Paused bool
	// Partitioned says that the host is partitioned: no reports pass between the host and
	// its peers.
	Partitioned bool

	reachableSince time.Time // start of the connection to its peers

	pendingEvents []scheduler.Event // events that arrived while the host was paused
	packer        reporter.DeltaEncoder
	configVersion uint64 // at the last check of the invariants
}

// Target is a target.
type Target struct {
	Name string
	Zone string
	// FailTasks makes every task fail at once, SlowFactor multiplies the run times,
	// and Leaving refuses every task. Exited accepts no connection and loses the
	// answers of the tasks that run.
	FailTasks  bool
	SlowFactor float64
	Leaving    bool
	Exited     bool

	running        int
	waiting        []*waitingTask
	leavingKnownAt time.Time // since when a host with connections to its peers knows that the target is leaving
}

// Submission is a job that was submitted under a ticket, with its answer.
type Submission struct {
	Client       string
	Host         *EntryHost
	TicketNumber uint64
	Job          shallotrouter.Job
	RunTimes     []time.Duration
	// AlwaysFails makes every task fail at every target.
	AlwaysFails bool
	SubmittedAt time.Time
	Answer      *shallotrouter.Answer
	AnsweredAt  time.Time
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
func New(place Deployment, seed uint64) *Simulation {
	sim := &Simulation{Deployment: place, Random: rand.New(rand.NewPCG(seed, seed+1)), now: epoch, submissionsByKey: make(map[uint64]submissionRef)}
	sim.queue.Less = func(a, b *scheduledEvent) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.sequence < b.sequence
	}
	sim.Results = newResults(sim)
	sim.SetPreset(place.Preset)
	for z := range place.Zones {
		zone := fmt.Sprintf("z%d", z)
		for i := range place.Targets {
			sim.AllTargets = append(sim.AllTargets, &Target{Name: fmt.Sprintf("%s-t%02d", zone, i), Zone: zone, SlowFactor: 1})
		}
		for i := range place.Hosts {
			sim.AddHost(fmt.Sprintf("%s-h%d", zone, i), zone)
		}
	}
	return sim
}

// SetPreset creates a new version of the configuration with the preset. A host uses
// it once it receives it in a scheduler.Adopt event.
func (sm *Simulation) SetPreset(preset declarer.PresetName) {
	raw, err := declarer.Row{Text: sm.Declarations, Preset: preset}.Encode()
	if err != nil {
		panic(err)
	}
	version := uint64(1)
	if sm.Config != nil {
		version = sm.Config.Version + 1
	}
	if sm.Config, err = declarer.Decode(version, raw); err != nil {
		panic(err)
	}
}

// AddHost starts an entry host with the current configuration and the targets of its
// zone.
func (sm *Simulation) AddHost(name, zone string) *EntryHost {
	node := &EntryHost{Name: name, Zone: zone, reachableSince: sm.now}
	node.Scheduler = &scheduler.Scheduler{
		Host: name, Zone: zone, Address: name, Bounds: sm.Bounds, Incarnation: uint64(sm.now.UnixNano()),
	}
	if sm.RandomPlacement {
		node.Scheduler.Placer = scheduler.RandomPlacer{Random: rand.New(rand.NewPCG(uint64(len(sm.EntryHosts)), 1))}
	}
	sm.EntryHosts = append(sm.EntryHosts, node)
	sm.Deliver(node, scheduler.Adopt{Config: sm.Config})
	sm.Deliver(node, scheduler.Locate{Directory: sm.Directory(zone)})
	sm.scheduleTick(node, time.Duration(sm.Random.Int64N(int64(sm.Bounds.TickInterval))))
	return node
}

// Directory returns the host list of a zone with a new version number.
func (sm *Simulation) Directory(zone string) scheduler.Directory {
	sm.directoryVersion++
	d := scheduler.Directory{Version: sm.directoryVersion, Zone: zone}
	for _, b := range sm.AllTargets {
		if b.Zone == zone {
			d.Hosts = append(d.Hosts, scheduler.Host{Name: b.Name, Role: scheduler.Target, Address: b.Name, Service: Service, Leaving: b.Leaving})
		}
	}
	return d
}

// Service is the declared service of every simulation.
const Service = "despacho"

// Now returns the virtual time.
func (sm *Simulation) Now() time.Time { return sm.now }

// Schedule schedules an action after a delay in virtual time.
func (sm *Simulation) Schedule(delay time.Duration, action func()) {
	sm.sequence++
	sm.queue.Push(&scheduledEvent{at: sm.now.Add(delay), sequence: sm.sequence, action: action})
}

// Run advances virtual time by the given duration and runs the actions that are due.
func (sm *Simulation) Run(d time.Duration) {
	end := sm.now.Add(d)
	for sm.queue.Len() > 0 && !sm.queue.Peek().at.After(end) {
		e := sm.queue.Pop()
		sm.now = e.at
		e.action()
	}
	sm.now = end
}

// scheduleTick delivers Tick events to a host, the first after the delay and then at
// the interval of the bounds.
func (sm *Simulation) scheduleTick(n *EntryHost, delay time.Duration) {
	sm.Schedule(delay, func() {
		if n.Exited {
			return
		}
		if !n.Paused {
			sm.Deliver(n, scheduler.Tick{})
		}
		sm.scheduleTick(n, sm.Bounds.TickInterval)
	})
}

// Deliver passes an event to the scheduler of a host and executes the effects. A
// paused host handles the event after it resumes.
func (sm *Simulation) Deliver(n *EntryHost, e scheduler.Event) {
	if n.Exited {
		return
	}
	if n.Paused {
		n.pendingEvents = append(n.pendingEvents, e)
		return
	}
	sm.Results.Steps++
	for _, effect := range n.Scheduler.Step(sm.now, e) {
		sm.executeEffect(n, effect)
	}
}

// Resume resumes a paused host, which then handles the events that arrived during the
// pause.
func (sm *Simulation) Resume(n *EntryHost) {
	n.Paused = false
	events := n.pendingEvents
	n.pendingEvents = nil
	for _, e := range events {
		sm.Deliver(n, e)
	}
}

// executeEffect executes an effect of the scheduler of a host.
func (sm *Simulation) executeEffect(n *EntryHost, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Start:
		sm.sendTask(n, e)
	case scheduler.Reply:
		sm.sendAnswer(e)
	case scheduler.Publish:
		sm.sendReport(n, e.Report)
	case scheduler.Refresh:
		sm.Schedule(sm.IntraZoneDelay, func() { sm.Deliver(n, scheduler.Locate{Directory: sm.Directory(n.Zone)}) })
	case scheduler.Violation:
		sm.Results.recordViolation("%s: %s", e.Invariant, e.Detail)
	case scheduler.Decision:
		if e.Action == scheduler.StateChanged && sm.OnStateChange != nil {
			sm.OnStateChange(n, e.Target+" "+e.Reason)
		}
		if e.Action == scheduler.Requeue {
			sm.Results.Requeues++
		}
	}
}

// sendReport sends a report to the peers of the zone that can be reached, and counts
// it.
func (sm *Simulation) sendReport(n *EntryHost, report scheduler.Report) {
	delta := n.packer.Encode(report)
	data, err := reporter.Message{Delta: &delta}.Encode()
	if err != nil {
		panic(err)
	}
	for _, peer := range sm.EntryHosts {
		if peer == n || peer.Zone != n.Zone || peer.Exited || n.Partitioned || peer.Partitioned {
			continue
		}
		sm.Results.Reports++
		sm.Results.ReportBytes += len(data)
		sm.Schedule(sm.IntraZoneDelay, func() { sm.Deliver(peer, scheduler.ReportReceived{Report: report}) })
	}
}

// Submit requests a ticket from a host and submits a job there.
func (sm *Simulation) Submit(n *EntryHost, client string, job shallotrouter.Job, runs []time.Duration) *Submission {
	sub := &Submission{Client: client, Host: n, Job: job, RunTimes: runs, SubmittedAt: sm.now, startCounts: make([]int, len(runs)), endedTasks: make([]bool, len(runs))}
	sm.Results.Submissions = append(sm.Results.Submissions, sub)
	sm.Schedule(sm.ClientDelay, func() {
		if n.Exited || n.Paused {
			return // the connection fails
		}
		sm.lastRequest++
		for _, effect := range n.Scheduler.Step(sm.now, scheduler.Issue{Request: sm.lastRequest, Client: sm.schedulerClient(client), Count: 1}) {
			if issued, ok := effect.(scheduler.Issued); ok && issued.Err == nil {
				sub.TicketNumber = issued.First
				continue
			}
			sm.executeEffect(n, effect)
		}
		if sub.TicketNumber == 0 {
			return
		}
		sm.submissionsByKey[sm.ticketKey(n, sub.TicketNumber)] = submissionRef{sub: sub}
		sm.Resubmit(sub)
	})
	return sub
}

// schedulerClient returns the name under which the schedulers queue a client's jobs.
func (sm *Simulation) schedulerClient(client string) string {
	if sm.SingleQueue {
		return MergedClient
	}
	return client
}

// MergedClient is the client whose queue takes the jobs of all clients.
const MergedClient = "everyone"

// Resubmit submits a job again under its ticket. After a refusal this is a new
// request, which may run if the ticket is still unused.
func (sm *Simulation) Resubmit(sub *Submission) {
	if sub.Answer != nil && sub.Answer.Outcome == shallotrouter.Refused {
		sub.Answer = nil
	}
	sm.lastRequest++
	sub.attempts++
	sm.submissionsByKey[sm.lastRequest|requestKeyBit] = submissionRef{sub, sub.attempts}
	sm.Deliver(sub.Host, scheduler.Submit{Request: sm.lastRequest, Client: sm.schedulerClient(sub.Client), Number: sub.TicketNumber, Job: sub.Job})
}

// Cancel cancels a job.
func (sm *Simulation) Cancel(sub *Submission) {
	if sub.TicketNumber == 0 {
		return
	}
	sm.lastRequest++
	sm.submissionsByKey[sm.lastRequest|requestKeyBit] = submissionRef{sub, sub.attempts}
	sm.Deliver(sub.Host, scheduler.Cancel{Request: sm.lastRequest, Client: sm.schedulerClient(sub.Client), Number: sub.TicketNumber})
}

// requestKeyBit distinguishes the keys of requests from the keys of tickets.
const requestKeyBit = 1 << 63

// sendAnswer checks an answer and sends it to its client.
func (sm *Simulation) sendAnswer(e scheduler.Reply) {
	ref := sm.submissionsByKey[e.Request|requestKeyBit]
	sub := ref.sub
	delete(sm.submissionsByKey, e.Request|requestKeyBit)
	if sub == nil {
		sm.Results.recordViolation("one answer a request: request %d has more than one answer", e.Request)
		return
	}
	answer := e.Answer
	sm.Results.checkAnswer(sub, &answer)
	sm.Schedule(sm.ClientDelay, func() {
		outdated := answer.Outcome == shallotrouter.Refused && ref.attempt < sub.attempts
		if sub.Answer == nil && !outdated {
			sub.Answer, sub.AnsweredAt = &answer, sm.now
		}
	})
}

// Package modeler simulates deployments of entry hosts in virtual time. The real
// routers run against simulated targets, a simulated store and a simulated network,
// under load and faults. The simulation checks invariants and counts the answers that
// clients receive.
package modeler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Layout is the size of a deployment.
type Layout struct {
	Zones   []string
	Hosts   int // per zone
	Targets int // per zone
	// Room is the capacity of a default target. Every third target has 1.5 times this
	// capacity, and its run times are multiplied by SlowFactor.
	Room       router.Resources
	SlowFactor float64
	// Hop is the one-way network delay between zones, Near the delay within a zone.
	Hop, Near time.Duration
}

// World is the simulation of one deployment. The exported fields down to Trace are set
// before Run.
type World struct {
	Layout Layout
	Kinds  []Kind
	// Load multiplies the arrival rates of all kinds of job.
	Load   float64
	Faults []Fault
	// Warm is the time before the load begins, Length the duration of the load, and
	// Drain the time that is simulated after it.
	Warm, Length, Drain time.Duration
	Seed                uint64
	Bounds              router.Bounds
	// Policy is the policy of all hosts.
	Policy router.Policy
	// Lost is the share of orders that targets execute 2 to 11 s late and do not answer.
	Lost float64
	// Returns makes clients retry a refused job once, after the delay in the answer.
	Returns bool
	// Mute is the share of orders and renewals that targets execute without their answer
	// reaching the host.
	Mute float64

	// Trace is called for each decision with the time since the start of the load and
	// the host's name. It may be nil.
	Trace func(at time.Duration, host string, e router.Decision)

	now            time.Time
	start          time.Time
	events         eventQueue
	lastSequence   uint64
	random         *rand.Rand
	jobRandom      *rand.Rand // for the jobs of clients, so that they are the same under any policy
	networkRandom  *rand.Rand // for delays, so that the number of messages affects no other random value
	hosts          []*host
	hostsByAddress map[string]*host
	targets        map[string]*target
	targetIDs      []string
	store          *store
	partitions     map[[2]string]bool
	runningTasks   map[string]string // by task, a description of its run
	startCounts    map[string]int    // by job ID
	finishedTasks  map[string]map[string]bool
	clients        map[string]*client
	lastNumber     int
	// Broken lists the violations of invariants, at most 20.
	Broken []string
	Tally  Tally
}

// scheduledEvent is an action at a moment of virtual time. The sequence number
// decides between events at the same moment.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	action   func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*q = old[:len(old)-1]
	return last
}

// schedule plans an action after a delay.
func (w *World) schedule(d time.Duration, action func()) {
	w.startClock()
	w.lastSequence++
	heap.Push(&w.events, scheduledEvent{at: w.now.Add(d), sequence: w.lastSequence, action: action})
}

// epoch is the start of virtual time in Unix seconds.
const epoch = 1_800_000_000

// startClock sets the virtual clock to the epoch unless it is running.
func (w *World) startClock() {
	if w.now.IsZero() {
		w.now = time.Unix(epoch, 0)
	}
}

// Run simulates the deployment to the end of its drain period.
func (w *World) Run() {
	w.startClock()
	w.start = w.now.Add(w.Warm)
	w.random = rand.New(rand.NewPCG(w.Seed, 1))
	w.jobRandom = rand.New(rand.NewPCG(w.Seed, 2))
	w.networkRandom = rand.New(rand.NewPCG(w.Seed, 3))
	w.hostsByAddress = make(map[string]*host)
	w.targets = make(map[string]*target)
	w.partitions = make(map[[2]string]bool)
	w.runningTasks = make(map[string]string)
	w.startCounts = make(map[string]int)
	w.finishedTasks = make(map[string]map[string]bool)
	w.clients = make(map[string]*client)
	w.store = newStore(w)
	w.createDeployment()
	w.scheduleArrivals()
	for _, f := range w.Faults {
		w.scheduleFault(f)
	}
	end := w.start.Add(w.Length + w.Drain)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(scheduledEvent)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		e.action()
	}
	w.checkFinalState()
}

// createDeployment creates the targets and the hosts, and starts each host at a random
// moment within 300 ms.
func (w *World) createDeployment() {
	for z, zone := range w.Layout.Zones {
		for i := range w.Layout.Targets {
			w.addTarget(fmt.Sprintf("t%d-%02d", z, i), zone, i)
		}
		for i := range w.Layout.Hosts {
			h := &host{world: w, name: fmt.Sprintf("h%d-%d", z, i), zone: zone}
			h.address = fmt.Sprintf("10.%d.0.%d:1", z+1, i+1)
			w.hosts = append(w.hosts, h)
			w.hostsByAddress[h.address] = h
			w.schedule(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), h.startProcess)
		}
	}
}

// recordViolation adds the violation of an invariant with its time.
func (w *World) recordViolation(format string, args ...any) {
	if len(w.Broken) < 20 {
		w.Broken = append(w.Broken, fmt.Sprintf("%.3f s: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// delay returns the one-way network delay between two zones, with a jitter of up to
// 200 µs.
func (w *World) delay(a, b string) time.Duration {
	d := w.Layout.Hop
	if a == b {
		d = w.Layout.Near
	}
	return d + time.Duration(w.networkRandom.Int64N(int64(200*time.Microsecond)))
}

// canReach reports whether no partition blocks messages from one place to another.
// Places are zones, names of hosts and targets, and "store".
func (w *World) canReach(from, fromZone, to, toZone string) bool {
	for _, a := range []string{from, fromZone} {
		for _, b := range []string{to, toZone} {
			if a != b && w.partitions[[2]string{a, b}] {
				return false
			}
		}
	}
	return true
}

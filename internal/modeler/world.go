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

// DeploymentSize describes the zones, hosts, targets and network delays of a deployment.
type DeploymentSize struct {
	Zones          []string
	HostsPerZone   int
	TargetsPerZone int
	// TargetCapacity is the capacity of a default target. Every third target of a zone is large
	// and slow: it has 1.5 times this CPU and memory, and its run times are multiplied by
	// SlowFactor.
	TargetCapacity router.Resources
	SlowFactor     float64
	// InterZoneDelay is the one-way network delay between zones, IntraZoneDelay the
	// delay within a zone.
	InterZoneDelay, IntraZoneDelay time.Duration
}

// Simulation is the simulation of one deployment. The exported fields down to Trace are set
// before Run.
type Simulation struct {
	Size  DeploymentSize
	Kinds []JobKind
	// LoadFactor multiplies the arrival rates of all kinds of job.
	LoadFactor float64
	Faults     []Fault
	// WarmUpDuration is the time before the load begins, LoadDuration the duration of the
	// load, and DrainDuration the time that is simulated after it.
	WarmUpDuration, LoadDuration, DrainDuration time.Duration
	Seed                                        uint64
	Bounds                                      router.Bounds
	// Policy is the policy of all hosts.
	Policy router.Policy
	// LateOrderShare is the share of orders that targets execute 2 to 11 s late and do not answer.
	LateOrderShare float64
	// RetryRefusedJobs makes each client retry its job once if it is refused, after the delay in
	// the answer.
	RetryRefusedJobs bool
	// LostAnswerShare is the share of orders and renewals that targets execute without their answer
	// reaching the host.
	LostAnswerShare float64

	// Trace is called for each decision with the time since the start of the load and
	// the host's name. It may be nil.
	Trace func(at time.Duration, host string, e router.Decision)

	now            time.Time
	loadStart      time.Time
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
	blockedPaths   map[[2]string]bool         // by the sending and the receiving place, see canReach
	runningTasks   map[string]string          // by task ID, a description of its run
	startCounts    map[string]int             // started runs by job ID
	finishedTasks  map[string]map[string]bool // by job ID and index of the task
	clients        map[string]*client         // by job ID
	lastIDNumber   int                        // for job IDs and request IDs
	// Violations lists the violations of invariants, at most 20.
	Violations []string
	Results    Results
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
func (sim *Simulation) schedule(d time.Duration, action func()) {
	sim.startClock()
	sim.lastSequence++
	heap.Push(&sim.events, scheduledEvent{at: sim.now.Add(d), sequence: sim.lastSequence, action: action})
}

// epoch is the start of virtual time in Unix seconds.
const epoch = 1_800_000_000

// startClock sets the virtual clock to the epoch unless it is running.
func (sim *Simulation) startClock() {
	if sim.now.IsZero() {
		sim.now = time.Unix(epoch, 0)
	}
}

// Run simulates the deployment to the end of its drain period.
func (sim *Simulation) Run() {
	sim.startClock()
	sim.loadStart = sim.now.Add(sim.WarmUpDuration)
	sim.random = rand.New(rand.NewPCG(sim.Seed, 1))
	sim.jobRandom = rand.New(rand.NewPCG(sim.Seed, 2))
	sim.networkRandom = rand.New(rand.NewPCG(sim.Seed, 3))
	sim.hostsByAddress = make(map[string]*host)
	sim.targets = make(map[string]*target)
	sim.blockedPaths = make(map[[2]string]bool)
	sim.runningTasks = make(map[string]string)
	sim.startCounts = make(map[string]int)
	sim.finishedTasks = make(map[string]map[string]bool)
	sim.clients = make(map[string]*client)
	sim.store = newStore(sim)
	sim.createDeployment()
	sim.scheduleArrivals()
	for _, f := range sim.Faults {
		sim.scheduleFault(f)
	}
	end := sim.loadStart.Add(sim.LoadDuration + sim.DrainDuration)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(scheduledEvent)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.action()
	}
	sim.checkRefusedJobsNotStarted()
}

// createDeployment creates the targets and the hosts, and starts each host at a random
// moment within 300 ms.
func (sim *Simulation) createDeployment() {
	for z, zone := range sim.Size.Zones {
		for i := range sim.Size.TargetsPerZone {
			sim.addTarget(fmt.Sprintf("t%d-%02d", z, i), zone, i)
		}
		for i := range sim.Size.HostsPerZone {
			h := &host{sim: sim, name: fmt.Sprintf("h%d-%d", z, i), zone: zone}
			h.address = fmt.Sprintf("10.%d.0.%d:1", z+1, i+1)
			sim.hosts = append(sim.hosts, h)
			sim.hostsByAddress[h.address] = h
			sim.schedule(time.Duration(sim.random.Int64N(int64(300*time.Millisecond))), h.startProcess)
		}
	}
}

// recordViolation adds the violation of an invariant, with its time after the start of the
// load, unless there are 20 already.
func (sim *Simulation) recordViolation(format string, args ...any) {
	if len(sim.Violations) < 20 {
		sim.Violations = append(sim.Violations, fmt.Sprintf("%.3f s: ", sim.now.Sub(sim.loadStart).Seconds())+fmt.Sprintf(format, args...))
	}
}

// delay returns the one-way network delay between two zones plus a jitter of less than
// 200 µs.
func (sim *Simulation) delay(a, b string) time.Duration {
	d := sim.Size.InterZoneDelay
	if a == b {
		d = sim.Size.IntraZoneDelay
	}
	return d + time.Duration(sim.networkRandom.Int64N(int64(200*time.Microsecond)))
}

// canReach reports whether no partition blocks messages from one place to another. A place
// is a zone, the name of a host, the ID of a target, or "store".
func (sim *Simulation) canReach(from, fromZone, to, toZone string) bool {
	for _, a := range []string{from, fromZone} {
		for _, b := range []string{to, toZone} {
			if a != b && sim.blockedPaths[[2]string{a, b}] {
				return false
			}
		}
	}
	return true
}

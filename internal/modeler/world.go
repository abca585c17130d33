// Package modeler simulates deployments of entry hosts in virtual time. The real
// routers run against simulated targets, a simulated store and a simulated network,
// under load and faults. The simulation checks invariants and counts the answers that
// clients receive.
package modeler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// DeploymentSize describes the zones, hosts, targets and network delays of a deployment.
type DeploymentSize struct {
	Zones []string
	// ZoneShares are the shares of the jobs by zone of their client; empty means equal shares.
	ZoneShares     []float64
	HostsPerZone   int
	TargetsPerZone int
	// TargetCapacity is the capacity of a default target. Every third target of a zone is large
	// and slow: it has 1.5 times this CPU and memory, and its run times are multiplied by
	// SlowFactor.
	TargetCapacity router.Resources
	SlowFactor     float64
	// RunTimeFactors multiply the run times of the targets of all zones in turn, besides
	// SlowFactor; empty means 1.
	RunTimeFactors []float64
	// HostClasses are the hosts of each zone, which replace HostsPerZone if there are any.
	HostClasses []HostClass
	// EventCost is the processor time of one event or order of a host on one core; 0 means that
	// processors are not simulated. A host with a smaller CPUShare takes longer.
	EventCost time.Duration
	// InterZoneDelay is the one-way network delay between zones, IntraZoneDelay the
	// delay within a zone.
	InterZoneDelay, IntraZoneDelay time.Duration
}

// HostClass describes equal hosts of a deployment.
type HostClass struct {
	PerZone  int
	CPUShare int // thousandths of a core
	LinkRate int // kbit/s
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
	// HostPolicies replaces Policy for the named hosts.
	HostPolicies map[string]router.Policy
	// LateOrderShare is the share of orders that targets execute 2 to 11 s late and do not answer.
	LateOrderShare float64
	// LateRenewals makes targets execute that share of the renewals late, too.
	LateRenewals bool
	// OutlivingOrders makes targets execute late orders and renewals that were sent to an earlier process of
	// theirs, as nothing in a call tells the processes apart. The clock of a target starts anew with its process.
	OutlivingOrders bool
	// LimitOrders makes hosts limit the orders under way as the driver of a host does, to
	// Bounds.MaxOrders for at most Bounds.OrderWindow each.
	LimitOrders bool
	// RetryRefusedJobs makes each client retry its job once if it is refused, after the delay in
	// the answer.
	RetryRefusedJobs bool
	// Interferences are the kinds of job whose tasks slow others down at one target.
	Interferences []Interference
	// LostAnswerShare is the share of orders and renewals that targets execute without their answer
	// reaching the host.
	LostAnswerShare float64
	// UnguardedTargets makes targets start tasks for which they have no room.
	UnguardedTargets bool
	// DeadlyShare is the share of jobs whose first task crashes each target that starts it.
	DeadlyShare float64
	// Patience is how long after its timeout a client goes on to resend a job whose outcome is
	// unknown or that has expired.
	Patience time.Duration
	// ResendAnywhere makes clients resend a job that may have run to a random host of any zone.
	ResendAnywhere bool

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
	crashRandom    *rand.Rand // for deadly tasks, so that all other jobs are the same without them
	hosts          []*host
	hostsByAddress map[string]*host
	targets        map[string]*target
	targetIDs      []string
	store          *store
	uninformedAt   map[*host]time.Time        // when a host was last seen to have no way to the directory
	disturbedUntil map[string]time.Time       // by host, zone or "store", until when it does not work normally
	executesLate   bool                       // a target executes a late order
	blockedPaths   map[[2]string]bool         // by the sending and the receiving place, see canReach
	runningTasks   map[string]string          // by task ID, a description of its run
	startCounts    map[string]int             // started runs by job ID
	finishedTasks  map[string]map[string]bool // by job ID and index of the task
	clients        map[string]*client         // by job ID
	crashes        map[string]*taskCrashes    // by ID of a deadly task
	losses         map[string]jobLosses       // by job ID
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
func (sm *Simulation) schedule(d time.Duration, action func()) {
	sm.startClock()
	sm.lastSequence++
	heap.Push(&sm.events, scheduledEvent{at: sm.now.Add(d), sequence: sm.lastSequence, action: action})
}

// epoch is the start of virtual time in Unix seconds.
const epoch = 1_800_000_000

// startClock sets the virtual clock to the epoch unless it is running.
func (sm *Simulation) startClock() {
	if sm.now.IsZero() {
		sm.now = time.Unix(epoch, 0)
	}
}

// Run simulates the deployment to the end of its drain period.
func (sm *Simulation) Run() {
	sm.startClock()
	sm.loadStart = sm.now.Add(sm.WarmUpDuration)
	sm.random = rand.New(rand.NewPCG(sm.Seed, 1))
	sm.jobRandom = rand.New(rand.NewPCG(sm.Seed, 2))
	sm.networkRandom = rand.New(rand.NewPCG(sm.Seed, 3))
	sm.crashRandom = rand.New(rand.NewPCG(sm.Seed, 4))
	sm.hostsByAddress = make(map[string]*host)
	sm.targets = make(map[string]*target)
	sm.disturbedUntil = make(map[string]time.Time)
	sm.uninformedAt = make(map[*host]time.Time)
	sm.blockedPaths = make(map[[2]string]bool)
	sm.runningTasks = make(map[string]string)
	sm.startCounts = make(map[string]int)
	sm.finishedTasks = make(map[string]map[string]bool)
	sm.clients = make(map[string]*client)
	sm.crashes = make(map[string]*taskCrashes)
	sm.losses = make(map[string]jobLosses)
	sm.store = newStore(sm)
	sm.createDeployment()
	sm.scheduleArrivals()
	for _, f := range sm.Faults {
		sm.scheduleFault(f)
	}
	if slices.ContainsFunc(sm.Faults, func(f Fault) bool { return f.Kind == ShrinkTarget }) {
		sm.watchUninformedHosts()
	}
	end := sm.loadStart.Add(sm.LoadDuration + sm.DrainDuration)
	for len(sm.events) > 0 {
		e := heap.Pop(&sm.events).(scheduledEvent)
		if e.at.After(end) {
			break
		}
		sm.now = e.at
		e.action()
	}
	sm.checkRefusedJobsNotStarted()
}

// createDeployment creates the targets and the hosts, and starts each host at a random
// moment within 300 ms.
func (sm *Simulation) createDeployment() {
	for z, zone := range sm.Size.Zones {
		for i := range sm.Size.TargetsPerZone {
			sm.addTarget(fmt.Sprintf("t%d-%02d", z, i), zone, i)
		}
		for i, class := range sm.Size.zoneHosts() {
			h := &host{sim: sm, name: fmt.Sprintf("h%d-%d", z, i), zone: zone, class: class}
			h.address = fmt.Sprintf("10.%d.0.%d:1", z+1, i+1)
			sm.hosts = append(sm.hosts, h)
			sm.hostsByAddress[h.address] = h
			sm.schedule(time.Duration(sm.random.Int64N(int64(300*time.Millisecond))), h.startProcess)
		}
	}
}

// zoneHosts returns the class of each host of a zone.
func (d *DeploymentSize) zoneHosts() []HostClass {
	if len(d.HostClasses) == 0 {
		return make([]HostClass, d.HostsPerZone)
	}
	var hosts []HostClass
	for _, class := range d.HostClasses {
		for range class.PerZone {
			hosts = append(hosts, class)
		}
	}
	return hosts
}

// recordViolation adds the violation of an invariant, with its time after the start of the
// load, unless there are 20 already.
func (sm *Simulation) recordViolation(format string, args ...any) {
	if len(sm.Violations) < 20 {
		sm.Violations = append(sm.Violations, fmt.Sprintf("%.3f s: ", sm.now.Sub(sm.loadStart).Seconds())+fmt.Sprintf(format, args...))
	}
}

// delay returns the one-way network delay between two zones plus a jitter of less than
// 200 µs.
func (sm *Simulation) delay(a, b string) time.Duration {
	d := sm.Size.InterZoneDelay
	if a == b {
		d = sm.Size.IntraZoneDelay
	}
	return d + time.Duration(sm.networkRandom.Int64N(int64(200*time.Microsecond)))
}

// canReach reports whether no partition blocks messages from one place to another. A place
// is a zone, the name of a host, the ID of a target, or "store".
func (sm *Simulation) canReach(from, fromZone, to, toZone string) bool {
	for _, a := range []string{from, fromZone} {
		for _, b := range []string{to, toZone} {
			if a != b && sm.blockedPaths[[2]string{a, b}] {
				return false
			}
		}
	}
	return true
}

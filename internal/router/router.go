package router

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/holder"
)

// Router is the state of one entry host. The exported fields are set before the
// first Step. It is not safe for concurrent use.
type Router struct {
	// Self is this process; its slot comes with Registered.
	Self Member
	// Bounds are the limits.
	Bounds Bounds
	// Policy is how to queue and to refuse; the zero value serves best.
	Policy Policy
	// Seeds are addresses of other entry hosts known from the start.
	Seeds []string

	now       time.Time
	startedAt time.Time
	effects   []Effect

	config               *Config
	configAdoptedAt      time.Time // when it was taken
	directory            Directory
	standbyUsedAt        map[string]time.Time       // when connections to a target were last used as a successor, by ID
	lastStandbyUseAt     time.Time                  // when the last of them was
	previousTargets      map[string]*previousTarget // targets of other hosts' lists, by ID
	directoryReadAt      time.Time                  // when the directory was last read by this host
	directoryRequestedAt time.Time                  // when it was last asked for
	storeOutageSince     time.Time                  // when reads of the directory began to fail
	storeReturnedAt      time.Time                  // when the store was back after its last long outage

	slotUses                  int // tells this process's tokens from those of its earlier lives
	generation                uint64
	peers                     map[string]*peer // by address
	maxLinkRate               int              // best known link of a host
	totalTargets              int              // targets in the newest list that was heard of
	totalTargetsVersion       uint64           // version of that list
	lastHostLossAt            time.Time        // when a host was last found to be lost
	zonesSplit                bool             // each zone has a holder of its own
	hubs                      map[string]bool  // hosts that all others of the cells are near to, by address
	fullMesh                  bool             // all hosts of the cells are near to each other
	lastHeartbeatAt           time.Time        // last heartbeat sent
	lastBackgroundHeartbeatAt time.Time        // last heartbeat sent to a peer that is not near
	lastClaimChangeAt         time.Time        // when a claim last changed
	cells                     map[string]*cell // by zone
	pendingClaim              *pendingClaim    // the claim under way

	openRequests  map[uint64]*request
	requestsByJob map[string]*request // by job

	jobs                map[string]*job
	queue               holder.Heap[*job]
	targets             map[string]*target
	sortedTargets       []*target // the targets, by ID
	endedJobs           []*job    // oldest first
	unreportedTasks     map[string][]DoneTask
	routeModels         map[string]*history   // by route
	kindSpeeds          map[string]*KindSpeed // by kind of target
	meanWorkByRoute     map[string]float64    // mean work of a job, by route
	routeShares         map[string]*share     // by route
	learnedStateSentAt  time.Time             // when the others were last told
	learnedStateSavedAt time.Time             // when it was last written to the store
	placementNeeded     bool                  // something may be placed
	targetLoad          float64               // load of the usable targets
	// targetsReportProgress tells that targets tell the progress of runs.
	targetsReportProgress bool

	lostJobsDropAt map[string]time.Time // when the jobs of a lost cell are dropped, by zone
	leavingSince   time.Time            // when the shutdown began
	halted         bool
}

// Step applies one event at a time that never goes back and returns the effects.
func (r *Router) Step(now time.Time, e Event) []Effect {
	r.effects = nil
	r.init(now)
	if now.After(r.now) {
		r.now = now
	}
	r.handleEvent(e)
	r.dropLostJobs()
	r.placeTasks()
	return r.effects
}

func (r *Router) init(now time.Time) {
	if r.peers != nil {
		return
	}
	r.startedAt, r.now = now, now
	r.peers = make(map[string]*peer)
	r.cells = make(map[string]*cell)
	r.openRequests = make(map[uint64]*request)
	r.requestsByJob = make(map[string]*request)
	r.jobs = make(map[string]*job)
	r.targets = make(map[string]*target)
	r.unreportedTasks = make(map[string][]DoneTask)
	r.routeModels = make(map[string]*history)
	r.lostJobsDropAt = make(map[string]time.Time)
	r.previousTargets = make(map[string]*previousTarget)
	r.standbyUsedAt = make(map[string]time.Time)
	r.kindSpeeds = make(map[string]*KindSpeed)
	r.meanWorkByRoute = make(map[string]float64)
	r.routeShares = make(map[string]*share)
	r.queue.Less = mustStartEarlier
	r.cell(r.Self.Zone)
	if len(r.Seeds) > 0 {
		r.emit(Dial{Addresses: r.Seeds})
	}
}

func (r *Router) handleEvent(e Event) {
	switch e := e.(type) {
	case Tick:
		r.handleTick()
	case Submit, ClientGone, Cancel, CountOpen, Inspect:
		r.handleClientEvent(e)
	case Receive:
		r.handleMessage(e)
	case Adopt:
		r.adoptConfig(e.Config, "store")
	case DirectoryRead:
		r.handleDirectoryRead(e)
	case DirectoryReadFailed:
		r.handleDirectoryReadFailed()
	case Registered:
		r.handleRegistered(e)
	case LearnedStateRead:
		r.handleLearnedStateRead(e)
	case ClaimsWritten:
		r.handleClaimsWritten(e)
	case StartAnswered:
		r.handleStartAnswered(e)
	case StopAnswered:
		r.handleStopAnswered(e)
	case RenewAnswered:
		r.handleRenewAnswered(e)
	case LinkOpened:
		r.handleLinkOpened(e.Address)
	case PeerExited:
		r.handlePeerExited(e.Address)
	case Drain:
		r.handleDrain()
	}
}

// handleClientEvent applies an event of a client of this host.
func (r *Router) handleClientEvent(e Event) {
	switch e := e.(type) {
	case Submit:
		r.handleSubmit(e)
	case ClientGone:
		r.handleClientGone(e)
	case Cancel:
		r.handleCancel(e)
	case CountOpen:
		r.handleCountOpen(e)
	case Inspect:
		r.handleInspect(e)
	}
}

// handleTick does what time brings about.
func (r *Router) handleTick() {
	r.watchPeers()
	r.sendDueHeartbeats()
	r.trackMissingHolders()
	r.claimCells()
	r.writePendingClaims()
	r.refreshDirectory()
	r.maintainStandbyConnections()
	r.checkTargets()
	r.checkJobs()
	r.checkRequests()
	r.sendProgress()
	r.saveLearnedState()
	r.finishShutdown()
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Router) reportViolation(invariant, format string, args ...any) {
	r.emit(Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// View is the part of the state that other goroutines read.
type View struct {
	Config *Config
	// Ready tells whether the host serves: it has a configuration and reaches
	// the holder of its zone's cell.
	Ready bool
	// Lingering tells that the host is shutting down.
	Lingering bool
	// Members are the hosts in touch, this one included, and HeldCells the cells of
	// this host.
	Members, HeldCells int
	// Waiting and Running count tasks of this host's cells.
	Waiting, Running int
	// Open counts requests of this host's clients.
	Open int
	// DirectoryAge is the time since this host read the list of targets.
	DirectoryAge time.Duration
	// LeaseMargin is the least time until a lease that something runs under lapses.
	LeaseMargin time.Duration
}

// View returns the current view.
func (r *Router) View() View {
	view := View{Config: r.config, Lingering: !r.leavingSince.IsZero(), Members: 1, Open: len(r.openRequests), LeaseMargin: r.leaseMargin()}
	view.Ready = r.config != nil && r.leavingSince.IsZero() && r.reachableHolder(r.Self.Zone) != nil
	for _, p := range r.peers {
		if r.isReachable(p) {
			view.Members++
		}
	}
	for _, c := range r.cells {
		if c.heldHere {
			view.HeldCells++
		}
	}
	for _, j := range r.queue.Items() {
		view.Waiting += j.waitingCount
	}
	for _, t := range r.targets {
		view.Running += len(t.runs)
	}
	if !r.directoryReadAt.IsZero() {
		view.DirectoryAge = r.now.Sub(r.directoryReadAt)
	}
	return view
}

// adoptConfig takes a configuration with a higher version.
func (r *Router) adoptConfig(c *Config, source string) {
	if c == nil || r.config != nil && c.Version <= r.config.Version {
		return
	}
	r.config, r.configAdoptedAt = c, r.now
	r.dropRemovedRoutes()
	r.emit(Decision{Action: "configure", Pairs: []any{"version", c.Version, "routes", len(c.Routes), "source", source}})
}

// dropRemovedRoutes drops what was learned of routes that the configuration lacks.
func (r *Router) dropRemovedRoutes() {
	configured := make(map[string]bool, len(r.config.Routes))
	for _, route := range r.config.Routes {
		configured[route.Name] = true
	}
	isRemoved := func(route string) bool { return !configured[route] }
	maps.DeleteFunc(r.routeShares, func(route string, _ *share) bool { return isRemoved(route) })
	maps.DeleteFunc(r.meanWorkByRoute, func(route string, _ float64) bool { return isRemoved(route) })
	maps.DeleteFunc(r.routeModels, func(route string, _ *history) bool { return isRemoved(route) })
}

// taskName returns the name of a job's task; there is one step, without repeats.
func taskName(job string, task int) string { return job + ".0.0." + strconv.Itoa(task) }

// parseTaskName is the inverse of taskName.
func parseTaskName(name string) (job string, task int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	task, err := strconv.Atoi(parts[3])
	return parts[0], task, err == nil
}

// sortedKeys returns a map's keys in order, so that steps repeat exactly.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

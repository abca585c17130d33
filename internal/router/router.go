package router

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/balancer"
	"github.com/shallotrouter/shallotrouter/internal/holder"
	"github.com/shallotrouter/shallotrouter/internal/profiler"
	"github.com/shallotrouter/shallotrouter/internal/separator"
)

// Router is the state of one entry host. The exported fields are set before the first
// Step. A Router is not safe for concurrent use.
type Router struct {
	// Self is this process. Registered brings its slot.
	Self Member
	// Bounds are the timeouts, intervals and limits.
	Bounds Bounds
	// Policy selects how jobs are queued and refused; the zero value is for normal
	// operation.
	Policy Policy
	// Seeds are the addresses of other entry hosts that are known from the start.
	Seeds []string

	now       time.Time
	startedAt time.Time
	effects   []Effect

	config               *Config
	configAdoptedAt      time.Time // when this host adopted config
	evacuations          Evacuations
	evacuationsReadAt    time.Time // when this host requested the evacuations that it last read from the store
	directory            Directory
	standbyUsedAt        map[string]time.Time       // when the standby connections to a target were last used, by target ID
	lastStandbyUseAt     time.Time                  // newest of these times
	previousTargets      map[string]*previousTarget // targets from other hosts' lists or from replaced directories, by ID
	unlistedReportedAt   time.Time                  // when unlisted targets with runs were last reported
	directoryReadAt      time.Time                  // when this host requested the directory that it last read from the store
	directoryRequestedAt time.Time                  // when this host last requested the directory
	directoryLog         directoryLog               // changes between the last versions of the directory, oldest first
	directoryMessages    map[uint64]Message         // to peers with a version of the directory
	directoryReadPending bool                       // a read of the directory is under way
	storeOutageSince     time.Time                  // when reads of the directory began to fail; zero while they succeed
	storeReturnedAt      time.Time                  // when the store became available after its last long outage

	slotUses                  int                  // count of the slot's uses; distinguishes the tokens of this incarnation from earlier ones
	generation                uint64               // highest known generation
	peers                     map[string]*peer     // by address
	peerList                  []*peer              // sorted by address; nil if it must be rebuilt
	maxLinkRate               int                  // link rate of the fastest known host, in kilobits a second
	totalTargets              int                  // number of targets in the newest known version of the directory
	totalTargetsVersion       uint64               // that version
	lastHostLossAt            time.Time            // when the loss of a host was last detected
	holderPerZone             bool                 // each zone has a holder of its own; otherwise one host holds all cells
	hubs                      map[string]bool      // addresses of the hosts that all hosts of the cells monitor
	fullMesh                  bool                 // every host of the cells monitors every other
	lastHeartbeatAt           time.Time            // when heartbeats were last sent to the monitored peers
	lastBackgroundHeartbeatAt time.Time            // when a heartbeat was last sent to a background peer
	lastSharedChangeAt        time.Time            // when a known claim or the evacuations last changed
	cells                     map[string]*cell     // by zone
	followedZones             map[string]bool      // other zones whose holders this host needs, see followZones
	spilledAt                 map[string]time.Time // when a job was last sent to another zone, by zone
	balancer                  balancer.Balancer    // decides which jobs are referred to other zones
	referralLikelyAt          time.Time            // when jobs were last likely to be referred
	claimsRequestedAt         time.Time            // when this host last requested the claims from the store
	pendingClaim              *pendingClaim        // claim that waits for the store; nil for none

	openRequests  map[uint64]*request // by request number
	requestsByJob map[string]*request // by job ID

	jobs                map[string]*job
	queue               holder.Heap[*job]
	targets             map[string]*target
	sortedTargets       []*target                // sorted by ID
	fencings            map[string]fencing       // by target ID, until the target accepts a token
	endedJobs           []*job                   // by retainedUntil, earliest first
	unreported          map[string]*Progress     // progress that is not reported yet, by address of the job's host
	crashes             crashLedger              // targets that crashed under tasks
	orders              orderAnswers             // which orders targets answer
	lateStarts          lateStarts               // Start orders without an answer
	remoteRuns          remoteRuns               // runs of unstopped jobs at other holders
	routeModels         map[string]*history      // by route
	kindSpeeds          map[string]*KindSpeed    // by kind of target
	meanWorkByRoute     map[string]float64       // mean work of a job, by route
	shownCapacities     map[string]shownCapacity // by target ID
	largestCapacities   map[serviceKind]Resources
	capacityExpiresAt   time.Time // when the next of shownCapacities is dropped; zero if none is unlisted
	cold                coldTargets
	profiler            profiler.Profiler
	separator           separator.Separator
	meanNeeds           map[string]float64 // mean CPU need of a task, in thousandths of a core, by service
	routeShares         map[string]*share  // by route
	learnedStateSentAt  time.Time          // when learned state was last sent to peers
	crashesSentAt       time.Time          // since when changes of crashes are to be sent to peers
	learnedStateSavedAt time.Time          // when learned state was last saved to the store
	placementNeeded     bool               // an event may have made it possible to place a task
	targetUtilization   float64            // utilization of the usable targets
	utilizationAt       time.Time          // when it was computed
	unreducedJobs       []*job             // ended jobs that reduceJobs has not reduced
	openFootprint       int                // memory of the open and unreduced jobs; see footprint
	nextDeadline        time.Time          // no open job ends earlier; zero if there is none
	// targetsReportProgress is true once a target has reported the progress of a run.
	targetsReportProgress bool

	lostJobsDropAt map[string]time.Time // when to drop the jobs of a lost cell, by zone
	leavingSince   time.Time            // when the shutdown began; zero before
	handover       handover             // how this host leaves its cells while it shuts down
	startRate      eventRate            // starts at the targets of held cells
	lag            lagMeter             // how late this host is
	replacedAt     time.Time            // when another host last replaced this one as a holder
	halted         bool
}

// Step applies one event and returns the resulting effects. If now is earlier than in a
// previous call, the previous time is used.
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
	r.remoteRuns = make(remoteRuns)
	r.targets = make(map[string]*target)
	r.fencings = make(map[string]fencing)
	r.unreported = make(map[string]*Progress)
	r.routeModels = make(map[string]*history)
	r.lostJobsDropAt = make(map[string]time.Time)
	r.previousTargets = make(map[string]*previousTarget)
	r.meanNeeds = make(map[string]float64)
	r.spilledAt = make(map[string]time.Time)
	r.standbyUsedAt = make(map[string]time.Time)
	r.kindSpeeds = make(map[string]*KindSpeed)
	r.shownCapacities = make(map[string]shownCapacity)
	r.largestCapacities = make(map[serviceKind]Resources)
	r.meanWorkByRoute = make(map[string]float64)
	r.routeShares = make(map[string]*share)
	r.balancer = balancer.New(queuePackingRatio)
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
	case Adopt, EvacuationsRead, DirectoryRead, DirectoryReadFailed, Registered, LearnedStateRead, ClaimsRead, ClaimsWritten:
		r.handleStoreEvent(e)
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

// handleStoreEvent applies an answer of the store.
func (r *Router) handleStoreEvent(e Event) {
	switch e := e.(type) {
	case Adopt:
		r.adoptConfig(e.Config, "store")
	case EvacuationsRead:
		r.handleEvacuationsRead(e)
	case DirectoryRead:
		r.handleDirectoryRead(e)
	case DirectoryReadFailed:
		r.handleDirectoryReadFailed()
	case Registered:
		r.handleRegistered(e)
	case LearnedStateRead:
		r.handleLearnedStateRead(e)
	case ClaimsRead:
		r.handleClaimsRead(e)
	case ClaimsWritten:
		r.handleClaimsWritten(e)
	}
}

// handleClientEvent applies an event that a client or operator of this host caused.
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

// handleTick does the periodic work and checks all timeouts.
func (r *Router) handleTick() {
	r.lag.tick(r.now, r.Bounds.TickInterval, r.Bounds.HeartbeatInterval)
	r.watchPeers()
	r.updateHandover()
	r.sendDueHeartbeats()
	r.followZones()
	r.trackMissingHolders()
	r.claimCells()
	r.writeUnwrittenClaims()
	r.refreshDirectory()
	r.maintainStandbyConnections()
	r.checkTargets()
	r.expireCapacities()
	r.updateColdTargets()
	r.refreshProfiles()
	r.refreshInterferences()
	r.checkJobs()
	r.checkRequests()
	r.sendProgress()
	r.crashes.prune(r.now)
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
	// Ready is true if the host can serve clients: it has a configuration, is not
	// shutting down and reaches the holder of its zone's cell.
	Ready bool
	// Lingering is true while the host shuts down.
	Lingering bool
	// Members counts the reachable hosts including this one, HeldCells the cells that
	// this host holds.
	Members, HeldCells int
	// Lag is by how much this host was recently late.
	Lag time.Duration
	// KeepsCells is true while the host shuts down and still decides over its cells, for lack of a capable
	// successor.
	KeepsCells bool
	// Waiting and Running count tasks of the cells that this host holds.
	Waiting, Running int
	// Utilization is the share of the usable targets' CPU that runs use, and Fragmentation the share that
	// is free at targets where no waiting task fits, while tasks wait.
	Utilization, Fragmentation float64
	// JobMemory is about how many bytes the open jobs of the cells that this host holds take.
	JobMemory int
	// Open counts the open requests of this host's clients.
	Open int
	// DirectoryAge is the time since this host last read the directory from the store.
	DirectoryAge time.Duration
	// EvacuatedZones counts the evacuated zones, and EvacuationsAge is the time since this
	// host last read them from the store.
	EvacuatedZones int
	EvacuationsAge time.Duration
	// SpeedSpread is the standard deviation of the logarithms of the speeds of targets of one kind, or 0
	// while they count as equal.
	SpeedSpread float64
	// LeaseMargin is the shortest time until the lease of a target with runs expires.
	LeaseMargin time.Duration
	// Orders is what the targets of the held cells leave unanswered.
	Orders OrdersView
}

// View returns the current view.
func (r *Router) View() View {
	view := View{Config: r.config, Lingering: !r.leavingSince.IsZero(), Members: 1, KeepsCells: r.handover.keeps, Lag: r.currentLag(), JobMemory: r.openFootprint, Open: len(r.openRequests), LeaseMargin: r.leaseMargin(), SpeedSpread: r.profiler.Spread(), Orders: r.ordersView()}
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
	if p := r.packing(); p.total > 0 {
		view.Utilization, view.Fragmentation = float64(p.used)/float64(p.total), float64(p.fragmented)/float64(p.total)
	}
	view.EvacuatedZones = len(r.evacuations.Zones)
	if !r.evacuationsReadAt.IsZero() {
		view.EvacuationsAge = r.now.Sub(r.evacuationsReadAt)
	}
	if !r.directoryReadAt.IsZero() {
		view.DirectoryAge = r.now.Sub(r.directoryReadAt)
	}
	return view
}

// adoptConfig replaces the configuration if c has a higher version.
func (r *Router) adoptConfig(c *Config, source string) {
	if c == nil || r.config != nil && c.Version <= r.config.Version || r.isInvalidVersion(c.Version, "config") {
		return
	}
	r.config, r.configAdoptedAt = c, r.now
	r.dropRemovedRoutes()
	r.emit(Decision{Action: "configure", Pairs: []any{"version", c.Version, "routes", len(c.Routes), "source", source}})
}

// dropRemovedRoutes drops the learned state of routes that the configuration no longer
// has.
func (r *Router) dropRemovedRoutes() {
	configured := make(map[string]bool, len(r.config.Routes))
	for _, route := range r.config.Routes {
		configured[route.Name] = true
	}
	isRemoved := func(route string) bool { return !configured[route] }
	maps.DeleteFunc(r.routeShares, func(route string, _ *share) bool { return isRemoved(route) })
	maps.DeleteFunc(r.meanWorkByRoute, func(route string, _ float64) bool { return isRemoved(route) })
	r.separator.Forget(isRemoved)
	maps.DeleteFunc(r.routeModels, func(route string, _ *history) bool { return isRemoved(route) })
}

// taskName returns the name of a job's task at the targets. The two zeros are the
// numbers of the step and of the repetition; a job has one of each.
func taskName(job string, task int) string { return job + ".0.0." + strconv.Itoa(task) }

// parseTaskName is the inverse of taskName. It returns false for any other name that a target
// may list.
func parseTaskName(name string) (job string, task int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	task, err := strconv.Atoi(parts[3])
	return parts[0], task, err == nil && task >= 0 && name == taskName(parts[0], task)
}

// sortedKeys returns the keys of a map in ascending order. Iterating in this order
// keeps Step deterministic.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

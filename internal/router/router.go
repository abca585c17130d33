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

	now     time.Time
	started time.Time
	effects []Effect

	config     *Config
	configured time.Time // when it was taken
	directory  Directory
	warm       map[string]time.Time // when connections to a target were last used as a successor, by ID
	warmed     time.Time            // when the last of them was
	former     map[string]*sighting // targets of other hosts' lists, by ID
	located    time.Time            // when the directory was last read by this host
	asked      time.Time            // when it was last asked for
	outage     time.Time            // when reads of the directory began to fail
	returned   time.Time            // when the store was back after its last long outage

	life       int // tells this process's tokens from those of its earlier lives
	generation uint64
	peers      map[string]*peer // by address
	link       int              // best known link of a host
	total      int              // targets in the newest list that was heard of
	counted    uint64           // version of that list
	lossSeen   time.Time        // when a host was last found to be lost
	split      bool             // each zone has a holder of its own
	hub        map[string]bool  // hosts that all others of the cells are near to, by address
	meshed     bool             // all hosts of the cells are near to each other
	beaten     time.Time        // last heartbeat sent
	beatenFar  time.Time        // last heartbeat sent to a peer that is not near
	reclaimed  time.Time        // when a claim last changed
	cells      map[string]*cell // by zone
	claiming   *pendingClaim    // the claim under way

	open     map[uint64]*request
	requests map[string]*request // by job

	jobs    map[string]*job
	queue   holder.Heap[*job]
	targets map[string]*target
	pool    []*target // the targets, by ID
	ended   []*job    // oldest first
	marks   map[string][]DoneTask
	learned map[string]*history   // by route
	speeds  map[string]*KindSpeed // by kind of target
	works   map[string]float64    // mean work of a job, by route
	shares  map[string]*share     // by route
	taught  time.Time             // when the others were last told
	kept    time.Time             // when it was last written to the store
	dirty   bool                  // something may be placed
	busy    float64               // load of the usable targets
	// progressive tells that targets tell the progress of runs.
	progressive bool

	lost    map[string]time.Time // when the jobs of a lost cell are dropped, by zone
	leaving time.Time            // when the shutdown began
	halted  bool
}

// Step applies one event at a time that never goes back and returns the effects.
func (r *Router) Step(now time.Time, e Event) []Effect {
	r.effects = nil
	r.init(now)
	if now.After(r.now) {
		r.now = now
	}
	r.apply(e)
	r.dropLost()
	r.place()
	return r.effects
}

func (r *Router) init(now time.Time) {
	if r.peers != nil {
		return
	}
	r.started, r.now = now, now
	r.peers = make(map[string]*peer)
	r.cells = make(map[string]*cell)
	r.open = make(map[uint64]*request)
	r.requests = make(map[string]*request)
	r.jobs = make(map[string]*job)
	r.targets = make(map[string]*target)
	r.marks = make(map[string][]DoneTask)
	r.learned = make(map[string]*history)
	r.lost = make(map[string]time.Time)
	r.former = make(map[string]*sighting)
	r.warm = make(map[string]time.Time)
	r.speeds = make(map[string]*KindSpeed)
	r.works = make(map[string]float64)
	r.shares = make(map[string]*share)
	r.queue.Less = startsEarlier
	r.cell(r.Self.Zone)
	if len(r.Seeds) > 0 {
		r.emit(Dial{Addresses: r.Seeds})
	}
}

func (r *Router) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		r.tick()
	case Submit, ClientGone, Cancel, CountOpen, Inspect:
		r.serve(e)
	case Receive:
		r.receive(e)
	case Adopt:
		r.adopt(e.Config, "store")
	case DirectoryRead:
		r.locate(e)
	case DirectoryReadFailed:
		r.unread()
	case Registered:
		r.enrol(e)
	case LearnedStateRead:
		r.handleLessons(e)
	case ClaimsWritten:
		r.claimed(e)
	case StartAnswered:
		r.began(e)
	case StopAnswered:
		r.stopped(e)
	case RenewAnswered:
		r.renewed(e)
	case LinkOpened:
		r.linked(e.Address)
	case PeerExited:
		r.severed(e.Address)
	case Drain:
		r.drain()
	}
}

// serve applies an event of a client of this host.
func (r *Router) serve(e Event) {
	switch e := e.(type) {
	case Submit:
		r.submit(e)
	case ClientGone:
		r.abandon(e)
	case Cancel:
		r.cancel(e)
	case CountOpen:
		r.count(e)
	case Inspect:
		r.inspect(e)
	}
}

// tick does what time brings about.
func (r *Router) tick() {
	r.watchPeers()
	r.beat()
	r.trackHolders()
	r.claimCells()
	r.publishClaims()
	r.refresh()
	r.standBy()
	r.watchTargets()
	r.watchJobs()
	r.watchRequests()
	r.report()
	r.keep()
	r.finish()
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Router) violate(invariant, format string, args ...any) {
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
	v := View{Config: r.config, Lingering: !r.leaving.IsZero(), Members: 1, Open: len(r.open), LeaseMargin: r.margin()}
	v.Ready = r.config != nil && r.leaving.IsZero() && r.holderOf(r.Self.Zone) != nil
	for _, p := range r.peers {
		if r.reaches(p) {
			v.Members++
		}
	}
	for _, c := range r.cells {
		if c.mine {
			v.HeldCells++
		}
	}
	for _, j := range r.queue.Items() {
		v.Waiting += j.waiting
	}
	for _, t := range r.targets {
		v.Running += len(t.runs)
	}
	if !r.located.IsZero() {
		v.DirectoryAge = r.now.Sub(r.located)
	}
	return v
}

// adopt takes a configuration with a higher version.
func (r *Router) adopt(c *Config, source string) {
	if c == nil || r.config != nil && c.Version <= r.config.Version {
		return
	}
	r.config, r.configured = c, r.now
	r.forgetRoutes()
	r.emit(Decision{Action: "configure", Pairs: []any{"version", c.Version, "routes", len(c.Routes), "source", source}})
}

// forgetRoutes drops what was learned of routes that the configuration lacks.
func (r *Router) forgetRoutes() {
	kept := make(map[string]bool, len(r.config.Routes))
	for _, route := range r.config.Routes {
		kept[route.Name] = true
	}
	gone := func(route string) bool { return !kept[route] }
	maps.DeleteFunc(r.shares, func(route string, _ *share) bool { return gone(route) })
	maps.DeleteFunc(r.works, func(route string, _ float64) bool { return gone(route) })
	maps.DeleteFunc(r.learned, func(route string, _ *history) bool { return gone(route) })
}

// taskName returns the name of a job's task; there is one step, without repeats.
func taskName(job string, task int) string { return job + ".0.0." + strconv.Itoa(task) }

// splitTask is the inverse of taskName.
func splitTask(name string) (job string, task int, ok bool) {
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

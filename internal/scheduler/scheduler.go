// Package scheduler decides when each task runs and at which target. It is a
// reducer: Scheduler.Step takes an event and returns effects as data. It does no
// input or output, reads no clock and starts no goroutine.
package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/divider"
	"github.com/shallotrouter/shallotrouter/internal/holder"
	"github.com/shallotrouter/shallotrouter/internal/ticketer"
	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// Bounds are the limits and periods of a Scheduler.
type Bounds struct {
	// TickInterval is the longest time between two steps of a running process.
	TickInterval time.Duration
	// PauseThreshold is the threshold for a paused process: a longer time between two
	// steps means that the process did not run.
	PauseThreshold time.Duration
	// StartTimeout is the time in which a target must start a task that was sent to it.
	StartTimeout time.Duration
	// TicketLifetime is how long an unused ticket is valid.
	TicketLifetime time.Duration
	// AnswerRetention, MaxRetainedBytes and MaxRetainedJobs limit the age, total size
	// and number of the answers that are retained for resubmissions.
	AnswerRetention  time.Duration
	MaxRetainedBytes int
	MaxRetainedJobs  int
	// MaxWaitingTasks limits the waiting tasks of all clients together.
	MaxWaitingTasks int
	// MaxPeers limits the number of other entry hosts in the zone.
	MaxPeers int
	// PeerTimeout is the time without a report after which the other hosts take over a
	// peer's share of the slots.
	PeerTimeout time.Duration
	// ReportInterval is the regular interval between reports. FastReportInterval is the
	// interval while work waits and the last report misleads the peers.
	ReportInterval     time.Duration
	FastReportInterval time.Duration
}

// Standard returns the default bounds.
func Standard() Bounds {
	return Bounds{
		TickInterval: 50 * time.Millisecond, PauseThreshold: 2 * time.Second, StartTimeout: time.Second,
		TicketLifetime: 10 * time.Minute, AnswerRetention: time.Minute, MaxRetainedBytes: 16 << 20, MaxRetainedJobs: 20_000,
		MaxWaitingTasks: 100_000, MaxPeers: 64, PeerTimeout: 2200 * time.Millisecond,
		ReportInterval: time.Second, FastReportInterval: 100 * time.Millisecond,
	}
}

// Scheduler is the state of one entry host. Its exported fields must be set
// before the first Step. It is not safe for concurrent use.
type Scheduler struct {
	// Host, Zone and Address name this entry host.
	Host    string
	Zone    string
	Address string
	// Incarnation is the start time of this process in Unix nanoseconds.
	Incarnation uint64
	// Bounds holds the limits and periods; Standard returns the defaults.
	Bounds Bounds
	// Placer chooses targets; nil means LeastLoadedPlacer.
	Placer Placer

	now            time.Time
	phaseMachine   *fsm.FSM
	suspendedAt    time.Time
	config         *declarer.Config
	clients        map[string]declarer.Client
	directory      Directory
	ledger         ticketer.Ledger
	jobs           map[uint64]*job
	deadlines      holder.Heap[*deadlineEntry]
	retained       []*job
	retainedBytes  int
	openJobs       int // number of jobs without a final answer
	waitingTasks   int // number of waiting tasks of all jobs
	pools          map[string]*pool
	serviceNames   []string // names of the pools, sorted
	targets        map[string]*target
	peers          map[string]*peer
	failureRecords map[string]*failureRecord
	publishedAt    time.Time
	lastReport     Report // the report that was published last
	reportUrgent   bool   // the next report waits only for minReportInterval
	targetOffset   int    // index of the target that this host considers first
	effects        []Effect
	poolDemands    []divider.Demand
}

// init creates the parts that the zero value lacks.
func (s *Scheduler) init(now time.Time) {
	s.now = now
	s.phaseMachine = transitioner.NewFSM(Starting, phaseRules...)
	s.ledger.TicketLifetime = s.Bounds.TicketLifetime
	s.jobs = make(map[uint64]*job)
	s.pools = make(map[string]*pool)
	s.targets = make(map[string]*target)
	s.peers = make(map[string]*peer)
	s.failureRecords = make(map[string]*failureRecord)
	s.deadlines.Less = func(a, b *deadlineEntry) bool { return a.job.deadline.Before(b.job.deadline) }
	s.targetOffset = targetOffset(s.Host)
	if s.Placer == nil {
		s.Placer = LeastLoadedPlacer{}
	}
}

// Step applies one event and returns its effects. The returned slice is valid
// until the next call of Step. The time now must not go back.
func (s *Scheduler) Step(now time.Time, e Event) []Effect {
	if s.phaseMachine == nil {
		s.init(now)
	}
	s.effects = s.effects[:0]
	gap := now.Sub(s.now)
	s.now = now
	if gap > s.Bounds.PauseThreshold {
		s.suspendServing(gap)
	}
	s.apply(e)
	return s.effects
}

// apply calls the handler of the event.
func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.handleTick()
	case Issue:
		s.handleIssue(e)
	case Submit:
		s.handleSubmit(e)
	case InspectJob:
		s.handleInspect(e)
	case Cancel:
		s.handleCancel(e)
	case RunEnded:
		s.handleFinish(e)
	case ReportReceived:
		s.handleReport(e.Report)
	case Adopt:
		s.handleConfig(e.Config)
	case Locate:
		s.handleDirectory(e.Directory)
	case DirectoryUnchanged:
		s.handleDirectoryUnchanged(e)
	case InspectHost:
		s.handleSurvey(e)
	case Drain:
		s.handleDrain()
	case Stop:
		s.handleStop()
	}
}

// Phase returns the daemon's phase.
func (s *Scheduler) Phase() Phase {
	if s.phaseMachine == nil {
		return Starting
	}
	return Phase(s.phaseMachine.Current())
}

// emit adds an effect to the result of the current step.
func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// reportViolation reports a broken invariant.
func (s *Scheduler) reportViolation(invariant, format string, args ...any) {
	s.emit(Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// changePhase applies the event to the daemon's phase. It reports false when the
// current phase does not allow the event.
func (s *Scheduler) changePhase(event phaseEvent, reason string) bool {
	if !s.phaseMachine.Can(string(event)) {
		return false
	}
	if err := s.phaseMachine.Event(context.Background(), string(event)); err != nil {
		s.reportViolation("daemon life cycle", "%s: %v", event, err)
		return false
	}
	s.reportUrgent = true
	s.emit(Decision{Action: StateChanged, Target: s.Host, Reason: s.phaseMachine.Current() + ": " + reason})
	return true
}

// handleConfig adopts a configuration if its version is higher than that of the
// current one.
func (s *Scheduler) handleConfig(c *declarer.Config) {
	if c == nil || (s.config != nil && c.Version <= s.config.Version) {
		return
	}
	s.config = c
	s.reportUrgent = true
	s.clients = make(map[string]declarer.Client, len(c.Clients))
	for _, client := range c.Clients {
		s.clients[client.Name] = client
	}
	s.serviceNames = s.serviceNames[:0]
	for _, service := range c.Services {
		s.serviceNames = append(s.serviceNames, service.Name)
		if p := s.pools[service.Name]; p != nil {
			p.service = service
			continue
		}
		s.pools[service.Name] = newPool(service)
	}
	slices.Sort(s.serviceNames)
	s.closeUndeclaredPools()
	for _, p := range s.pools {
		for _, f := range p.flows {
			f.declaredWeight = s.declaredWeight(f.client)
		}
	}
	s.emit(Decision{Action: StateChanged, Target: s.Host, Reason: fmt.Sprintf("configuration %d, preset %s", c.Version, c.Row.Preset)})
	s.rebuildPools()
}

// closeUndeclaredPools aborts the waiting jobs of services that are no longer
// declared and removes the pools of these services.
func (s *Scheduler) closeUndeclaredPools() {
	for name, p := range s.pools {
		if slices.Contains(s.serviceNames, name) {
			continue
		}
		for _, f := range p.flows {
			for f.jobs.Len() > 0 {
				s.abortJob(f.jobs.Peek(), shallotrouter.Unknown, "the service is no longer declared; name a declared service", 0)
			}
		}
		delete(s.pools, name)
	}
}

// handleDirectory adopts a directory that is not older than the current one.
func (s *Scheduler) handleDirectory(d Directory) {
	if d.Zone != s.Zone || d.Version < s.directory.Version {
		return
	}
	newer := d.Version > s.directory.Version || s.directory.Zone == ""
	s.directory = d
	s.resumeServing("the directory was read")
	if newer {
		s.rebuildPools()
	}
}

// handleDirectoryUnchanged handles the platform's answer that the directory has
// not changed.
func (s *Scheduler) handleDirectoryUnchanged(e DirectoryUnchanged) {
	if e.Version == s.directory.Version {
		s.resumeServing("the directory was confirmed")
	}
}

// rebuildPools updates the targets and pools to the current configuration and
// directory.
func (s *Scheduler) rebuildPools() {
	if s.config == nil || s.directory.Zone == "" {
		return
	}
	listedHosts := make(map[string]Host, len(s.directory.Hosts))
	for _, p := range s.pools {
		p.targets = p.targets[:0]
	}
	for _, h := range s.directory.Hosts {
		p := s.pools[h.Service]
		if h.Role != Target || p == nil {
			continue
		}
		listedHosts[h.Name] = h
		s.updateTarget(h, p)
	}
	for name := range s.targets {
		if _, ok := listedHosts[name]; !ok {
			delete(s.targets, name)
		}
	}
	s.changePhase(phaseServe, "configuration and directory are here")
	for _, p := range s.pools {
		slices.SortFunc(p.targets, compareTargets)
		p.orderSlots()
	}
	for _, t := range s.targets {
		s.updateLeaving(t)
	}
	for _, p := range s.pools {
		s.divideSlots(p)
		s.dispatch(p)
	}
}

// updateTarget updates one target to its directory entry and adds it to the pool.
// A target whose address or service has changed starts with a new state.
func (s *Scheduler) updateTarget(h Host, p *pool) {
	t := s.targets[h.Name]
	if t == nil || t.pool.service.Name != h.Service || t.address != h.Address {
		t = newTarget(h.Name, p)
		s.targets[h.Name] = t
	}
	t.pool, t.address, t.slots, t.listedLeaving = p, h.Address, p.service.Slots, h.Leaving
	p.targets = append(p.targets, t)
}

// suspendServing handles a pause of the process. What the host knows may be out
// of date, so it aborts the jobs with waiting tasks and starts nothing until it has
// received current state.
func (s *Scheduler) suspendServing(gap time.Duration) {
	for _, j := range s.unfinishedJobs() {
		j.wasPaused = true
		if len(j.queue) > 0 {
			s.abortPausedJob(j)
		}
	}
	s.suspendedAt = s.now
	if s.changePhase(phaseSuspend, "frozen for "+gap.Round(time.Millisecond).String()) {
		s.emit(Refresh{})
	}
}

// abortPausedJob aborts a job that still has a task to start after a pause of the
// process.
func (s *Scheduler) abortPausedJob(j *job) {
	s.abortJob(j, shallotrouter.Paused, "this host was frozen; submit the job anew", minBackoff)
}

// resumeTimeout limits the wait for current state after a pause. A host that is
// cut off from the platform and its peers then resumes with the state it has.
const resumeTimeout = time.Second

// resumeServing lets a suspended host start tasks again.
func (s *Scheduler) resumeServing(reason string) {
	if s.Phase() == Suspended && s.now.After(s.suspendedAt) {
		s.changePhase(phaseResume, reason)
	}
}

// unfinishedJobs returns the jobs without an answer in order of their ticket
// numbers.
func (s *Scheduler) unfinishedJobs() []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if j.answer == nil {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.number) - int(b.number) })
	return jobs
}

// handleDrain starts a graceful shutdown.
func (s *Scheduler) handleDrain() {
	s.changePhase(phaseDrain, "asked to shut down")
	s.publish()
	s.haltIfDrained()
}

// handleStop ends a drain at once and answers each open job truthfully: as
// refused if none of its tasks may have started, as failed otherwise.
func (s *Scheduler) handleStop() {
	s.changePhase(phaseDrain, "asked to stop")
	for _, j := range s.unfinishedJobs() {
		s.abortJob(j, shallotrouter.Draining, "this host had to stop; go to another entry host", minBackoff)
	}
	s.haltIfDrained()
}

// haltIfDrained halts a draining host once every job is answered.
func (s *Scheduler) haltIfDrained() {
	if s.Phase() == Draining && s.openJobs == 0 && s.changePhase(phaseHalt, "every job is answered") {
		s.emit(Halt{})
	}
}

// Package scheduler decides which task runs where and when. It is one reducer
// over all events, with effects as data: it does no input or output, reads no
// clock and starts no goroutine.
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
	// Tick is the greatest time between two steps of a running process.
	Tick time.Duration
	// Pause is the time between two steps from which the process was frozen.
	Pause time.Duration
	// Within is how soon a target must begin a task that was sent to it.
	Within time.Duration
	// Life is how long an unused ticket stays good.
	Life time.Duration
	// Keep, KeepBytes and KeepJobs bound the answers kept for resubmissions.
	Keep      time.Duration
	KeepBytes int
	KeepJobs  int
	// Waiting bounds the waiting tasks of all clients.
	Waiting int
	// Peers bounds the entry hosts of the zone.
	Peers int
	// Quiet is how long after its last report a peer's share passes on.
	Quiet time.Duration
	// Calm and Hurry are the periods of reports without and with waiting work.
	Calm  time.Duration
	Hurry time.Duration
}

// Standard returns the default bounds.
func Standard() Bounds {
	return Bounds{
		Tick: 50 * time.Millisecond, Pause: 2 * time.Second, Within: time.Second,
		Life: 10 * time.Minute, Keep: time.Minute, KeepBytes: 16 << 20, KeepJobs: 20_000,
		Waiting: 100_000, Peers: 64, Quiet: 2200 * time.Millisecond,
		Calm: time.Second, Hurry: 100 * time.Millisecond,
	}
}

// Scheduler is the state of one entry host. Its exported fields are set before
// the first Step. It is not safe for concurrent use.
type Scheduler struct {
	// Host, Zone and Address name this entry host.
	Host    string
	Zone    string
	Address string
	// Incarnation is the start of this process in Unix nanoseconds.
	Incarnation uint64
	// Bounds are the limits; Standard gives the defaults.
	Bounds Bounds
	// Placer chooses targets; nil means Spreader.
	Placer Placer

	now       time.Time
	phase     *fsm.FSM
	suspended time.Time
	config    *declarer.Config
	clients   map[string]declarer.Client
	directory Directory
	ledger    ticketer.Ledger
	jobs      map[uint64]*job
	due       holder.Heap[*due]
	kept      []*job
	keptBytes int
	open      int // jobs without a final answer
	waiting   int // waiting tasks of all jobs
	pools     map[string]*pool
	services  []string // names of the pools, sorted
	targets   map[string]*target
	peers     map[string]*peer
	records   map[string]*record
	published time.Time
	sent      Report // what was published last
	urgent    bool   // the next report should not wait for its period
	offset    int    // where this host begins to look at targets
	effects   []Effect
	demands   []divider.Demand
}

// init makes the parts that the zero value lacks.
func (s *Scheduler) init(now time.Time) {
	s.now = now
	s.phase = transitioner.Build(Starting, phaseRules...)
	s.ledger.Life = s.Bounds.Life
	s.jobs = make(map[uint64]*job)
	s.pools = make(map[string]*pool)
	s.targets = make(map[string]*target)
	s.peers = make(map[string]*peer)
	s.records = make(map[string]*record)
	s.due.Less = func(a, b *due) bool { return a.job.deadline.Before(b.job.deadline) }
	s.offset = offset(s.Host)
	if s.Placer == nil {
		s.Placer = Spreader{}
	}
}

// Step applies one event and returns its effects, which are good until the next
// Step. Time must not go back.
func (s *Scheduler) Step(now time.Time, e Event) []Effect {
	if s.phase == nil {
		s.init(now)
	}
	s.effects = s.effects[:0]
	gap := now.Sub(s.now)
	s.now = now
	if gap > s.Bounds.Pause {
		s.suspend(gap)
	}
	s.apply(e)
	return s.effects
}

// apply hands the event to its part of the scheduler.
func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.tick()
	case Issue:
		s.issue(e)
	case Submit:
		s.submit(e)
	case Inspect:
		s.inspect(e)
	case Cancel:
		s.cancel(e)
	case Finish:
		s.finish(e)
	case Hear:
		s.hear(e.Report)
	case Adopt:
		s.configure(e.Config)
	case Locate:
		s.locate(e.Directory)
	case Confirm:
		s.confirm(e)
	case Survey:
		s.survey(e)
	case Drain:
		s.drain()
	case Stop:
		s.stop()
	}
}

// Phase returns the daemon's phase.
func (s *Scheduler) Phase() Phase {
	if s.phase == nil {
		return Starting
	}
	return Phase(s.phase.Current())
}

// emit adds an effect.
func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// violate reports a broken invariant.
func (s *Scheduler) violate(invariant, format string, args ...any) {
	s.emit(Violate{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// move changes the daemon's phase if the event may happen.
func (s *Scheduler) move(event phaseEvent, reason string) bool {
	if !s.phase.Can(string(event)) {
		return false
	}
	if err := s.phase.Event(context.Background(), string(event)); err != nil {
		s.violate("daemon life cycle", "%s: %v", event, err)
		return false
	}
	s.urgent = true
	s.emit(Decide{Action: Mark, Target: s.Host, Reason: s.phase.Current() + ": " + reason})
	return true
}

// configure takes a configuration whose version is higher than the one in force.
func (s *Scheduler) configure(c *declarer.Config) {
	if c == nil || (s.config != nil && c.Version <= s.config.Version) {
		return
	}
	s.config = c
	s.urgent = true
	s.clients = make(map[string]declarer.Client, len(c.Clients))
	for _, client := range c.Clients {
		s.clients[client.Name] = client
	}
	s.services = s.services[:0]
	for _, service := range c.Services {
		s.services = append(s.services, service.Name)
		if p := s.pools[service.Name]; p != nil {
			p.service = service
			continue
		}
		s.pools[service.Name] = newPool(service)
	}
	slices.Sort(s.services)
	s.close()
	for _, p := range s.pools {
		for _, f := range p.flows {
			f.declared = s.weight(f.client)
		}
	}
	s.emit(Decide{Action: Mark, Target: s.Host, Reason: fmt.Sprintf("configuration %d, preset %s", c.Version, c.Row.Preset)})
	s.rebuild()
}

// close ends the pools whose service is no longer declared.
func (s *Scheduler) close() {
	for name, p := range s.pools {
		if slices.Contains(s.services, name) {
			continue
		}
		for _, f := range p.flows {
			for f.jobs.Len() > 0 {
				s.abandon(f.jobs.Top(), shallotrouter.Unknown, "the service is no longer declared; name a declared service", 0)
			}
		}
		delete(s.pools, name)
	}
}

// locate takes a directory that is not older than the one in force.
func (s *Scheduler) locate(d Directory) {
	if d.Zone != s.Zone || d.Version < s.directory.Version {
		return
	}
	newer := d.Version > s.directory.Version || s.directory.Zone == ""
	s.directory = d
	s.resume("the directory was read")
	if newer {
		s.rebuild()
	}
}

// confirm takes the platform's word that the directory has not changed.
func (s *Scheduler) confirm(e Confirm) {
	if e.Directory == s.directory.Version {
		s.resume("the directory was confirmed")
	}
}

// rebuild fits the targets and pools to the configuration and the directory.
func (s *Scheduler) rebuild() {
	if s.config == nil || s.directory.Zone == "" {
		return
	}
	listed := make(map[string]Host, len(s.directory.Hosts))
	for _, p := range s.pools {
		p.targets = p.targets[:0]
	}
	for _, h := range s.directory.Hosts {
		p := s.pools[h.Service]
		if h.Role != Target || p == nil {
			continue
		}
		listed[h.Name] = h
		s.list(h, p)
	}
	for name := range s.targets {
		if _, ok := listed[name]; !ok {
			delete(s.targets, name)
		}
	}
	s.move(equip, "configuration and directory are here")
	for _, p := range s.pools {
		slices.SortFunc(p.targets, compareTargets)
		p.arrangeSlots()
	}
	for _, t := range s.targets {
		s.settle(t)
	}
	for _, p := range s.pools {
		s.share(p)
		s.dispatch(p)
	}
}

// list fits one target to its entry of the directory.
func (s *Scheduler) list(h Host, p *pool) {
	t := s.targets[h.Name]
	if t == nil || t.pool.service.Name != h.Service || t.address != h.Address {
		t = newTarget(h.Name, p)
		s.targets[h.Name] = t
	}
	t.pool, t.address, t.slots, t.listed = p, h.Address, p.service.Slots, h.Leaving
	p.targets = append(p.targets, t)
}

// suspend handles a freeze of the process: the world has moved on, so waiting
// work is given up and nothing starts before the state is read anew.
func (s *Scheduler) suspend(gap time.Duration) {
	for _, j := range s.unfinished() {
		j.paused = true
		if len(j.queue) > 0 {
			s.abandonPaused(j)
		}
	}
	s.suspended = s.now
	if s.move(suspend, "frozen for "+gap.Round(time.Millisecond).String()) {
		s.emit(Refresh{})
	}
}

// abandonPaused gives up a job of which a task still has to start after a freeze.
func (s *Scheduler) abandonPaused(j *job) {
	s.abandon(j, shallotrouter.Paused, "this host was frozen; submit the job anew", minBackoff)
}

// resumeAfter bounds the wait for fresh state after a freeze; a host that is
// cut off goes on with what it has.
const resumeAfter = time.Second

// resume lets a suspended host start work again.
func (s *Scheduler) resume(reason string) {
	if s.Phase() == Suspended && s.now.After(s.suspended) {
		s.move(resume, reason)
	}
}

// unfinished returns the jobs without an answer, oldest ticket first.
func (s *Scheduler) unfinished() []*job {
	var list []*job
	for _, j := range s.jobs {
		if j.answer == nil {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return int(a.number) - int(b.number) })
	return list
}

// drain begins a graceful shutdown.
func (s *Scheduler) drain() {
	s.move(drain, "asked to shut down")
	s.publish()
	s.rest()
}

// stop ends a drain at once, with a truthful answer to each open job.
func (s *Scheduler) stop() {
	s.move(drain, "asked to stop")
	for _, j := range s.unfinished() {
		s.abandon(j, shallotrouter.Draining, "this host had to stop; go to another entry host", minBackoff)
	}
	s.rest()
}

// rest halts a draining host once every job has its answer.
func (s *Scheduler) rest() {
	if s.Phase() == Draining && s.open == 0 && s.move(halt, "every job is answered") {
		s.emit(Halt{})
	}
}

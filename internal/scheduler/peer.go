package scheduler

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// peer is another entry host of the zone.
type peer struct {
	report  Report
	heard   time.Time
	machine *fsm.FSM
	uses    map[string]int // its tasks in flight by target
}

func (r *peer) present() bool { return r.machine.Is(string(Present)) }

// hear takes a peer's report.
func (s *Scheduler) hear(report Report) {
	if report.Host == s.Host || report.Zone != s.Zone {
		return
	}
	r := s.peers[report.Host]
	if r == nil {
		if len(s.peers) >= s.Bounds.Peers {
			s.emit(Decide{Action: Mark, Target: report.Host, Reason: "too many peers; report left out"})
			return
		}
		r = &peer{machine: transitioner.Build(Quiet, peerRules...)}
		s.peers[report.Host] = r
	}
	if report.Incarnation < r.report.Incarnation {
		return
	}
	r.report, r.heard = report, s.now
	r.uses = make(map[string]int, len(report.Uses))
	for _, u := range report.Uses {
		r.uses[u.Target] = u.Tasks
	}
	s.turn(r, peerHear)
	s.resume("a peer reported")
	s.combine()
}

// turn moves a peer to another state and logs it.
func (s *Scheduler) turn(r *peer, event peerEvent) {
	if !r.machine.Can(string(event)) {
		return
	}
	if err := r.machine.Event(context.Background(), string(event)); err != nil {
		s.violate("peer life cycle", "%s of %s: %v", event, r.report.Host, err)
	}
	s.emit(Decide{Action: Mark, Target: r.report.Host, Reason: "peer " + r.machine.Current()})
}

// listen marks the peers from which no report has come for too long.
func (s *Scheduler) listen() {
	changed := false
	for _, r := range s.peers {
		if r.present() && s.now.Sub(r.heard) > s.Bounds.Quiet {
			s.turn(r, peerMiss)
			changed = true
		}
		if !r.present() && s.now.Sub(r.heard) > forgetPeer {
			delete(s.peers, r.report.Host)
		}
	}
	if changed {
		s.combine()
	}
}

// forgetPeer is how long a quiet peer is remembered.
const forgetPeer = 10 * time.Minute

// combine sums up what all present peers say of the targets and divides the
// slots anew.
func (s *Scheduler) combine() {
	for _, t := range s.targets {
		t.others, t.doubted, t.ejector = 0, 0, ""
	}
	for _, r := range s.peers {
		if !r.present() {
			continue
		}
		for _, u := range r.report.Uses {
			if t := s.targets[u.Target]; t != nil {
				t.merge(r.report.Host, u, s.now)
			}
		}
	}
	for _, t := range s.targets {
		s.settle(t)
		if t.state() == Ejected && t.pool != nil && t.ejector == "" && t.followed {
			s.restore(t, "a peer's trial passed")
		}
		t.followed = t.ejector != "" && t.ejector < s.Host
	}
	for _, p := range s.pools {
		s.share(p)
		s.dispatch(p)
	}
}

// merge adds one peer's word of the target.
func (t *target) merge(host string, u Use, now time.Time) {
	t.others += u.Tasks
	t.doubted += float64(u.Doubt * doubtStep)
	switch u.State {
	case Departing:
		t.warned = now.Add(leaveMemory)
	case Ejected, Trial:
		if t.ejector == "" || host < t.ejector {
			t.ejector = host
		}
	case Live:
	}
}

// report builds what this host tells its peers. It tells of a leaving target
// only what it knows first-hand, so that two hosts do not keep up a rumour.
func (s *Scheduler) report() Report {
	r := Report{
		Host: s.Host, Zone: s.Zone, Address: s.Address, Incarnation: s.Incarnation,
		Directory: s.directory.Version, Leaving: s.Phase() == Draining,
	}
	if s.config != nil {
		r.Config = s.config.Version
	}
	for _, name := range s.services {
		p := s.pools[name]
		for _, client := range p.names() {
			f := p.flows[client]
			if f.running+f.waiting > 0 {
				r.Demands = append(r.Demands, Demand{Service: name, Client: client, Running: f.running, Waiting: f.waiting})
			}
		}
		for _, t := range p.targets {
			if u := t.use(s.now); u != (Use{Target: t.name}) {
				r.Uses = append(r.Uses, u)
			}
		}
	}
	return r
}

// use returns this host's first-hand view of the target.
func (t *target) use(now time.Time) Use {
	u := Use{Target: t.name, Tasks: t.own, Doubt: int((t.doubt + t.flying) / doubtStep)}
	switch t.state() {
	case Departing:
		if t.listed || now.Before(t.told) {
			u.State = Departing
		}
	case Ejected, Trial:
		u.State = Ejected
	case Live:
	}
	return u
}

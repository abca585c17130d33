package scheduler

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// peer is the state of another entry host of the zone.
type peer struct {
	report        Report
	lastReceived  time.Time
	machine       *fsm.FSM
	tasksByTarget map[string]int // its tasks in flight at each target
}

func (r *peer) isPresent() bool { return r.machine.Is(string(Present)) }

// handleReport handles a peer's report. It ignores reports of other zones and of
// previous incarnations of the peer.
func (s *Scheduler) handleReport(report Report) {
	if report.Host == s.Host || report.Zone != s.Zone {
		return
	}
	r := s.peers[report.Host]
	if r == nil {
		if len(s.peers) >= s.Bounds.MaxPeers {
			s.emit(Decision{Action: StateChanged, Target: report.Host, Reason: "too many peers; report left out"})
			return
		}
		r = &peer{machine: transitioner.NewFSM(Unresponsive, peerRules...)}
		s.peers[report.Host] = r
	}
	if report.Incarnation < r.report.Incarnation {
		return
	}
	r.report, r.lastReceived = report, s.now
	r.tasksByTarget = make(map[string]int, len(report.Uses))
	for _, u := range report.Uses {
		r.tasksByTarget[u.Target] = u.Tasks
	}
	s.changePeerState(r, peerReport)
	s.resumeServing("a peer reported")
	s.mergeReports()
}

// changePeerState applies the event to the peer's state if the state allows it, and
// logs the change.
func (s *Scheduler) changePeerState(r *peer, event peerEvent) {
	if !r.machine.Can(string(event)) {
		return
	}
	if err := r.machine.Event(context.Background(), string(event)); err != nil {
		s.reportViolation("peer life cycle", "event %s of peer %s: %v", event, r.report.Host, err)
	}
	s.emit(Decision{Action: StateChanged, Target: r.report.Host, Reason: "peer " + r.machine.Current()})
}

// checkPeers marks peers without a report for Bounds.PeerTimeout as unresponsive and
// removes them after peerRetention.
func (s *Scheduler) checkPeers() {
	changed := false
	for _, r := range s.peers {
		if r.isPresent() && s.now.Sub(r.lastReceived) > s.Bounds.PeerTimeout {
			s.changePeerState(r, peerExpire)
			changed = true
		}
		if !r.isPresent() && s.now.Sub(r.lastReceived) > peerRetention {
			delete(s.peers, r.report.Host)
		}
	}
	if changed {
		s.mergeReports()
	}
}

// peerRetention is the time after its last report for which an unresponsive peer is kept.
const peerRetention = 10 * time.Minute

// mergeReports combines what all present peers report about the targets and divides
// the slots of all pools again.
func (s *Scheduler) mergeReports() {
	for _, t := range s.targets {
		t.peerTasks, t.peerSuspicion, t.ejector = 0, 0, ""
	}
	for _, r := range s.peers {
		if !r.isPresent() {
			continue
		}
		for _, u := range r.report.Uses {
			if t := s.targets[u.Target]; t != nil {
				t.addPeerUse(r.report.Host, u, s.now)
			}
		}
	}
	for _, t := range s.targets {
		s.updateLeaving(t)
		if t.state() == Ejected && t.pool != nil && t.ejector == "" && t.followsPeer {
			s.restoreTarget(t, "a peer's trial passed")
		}
		t.followsPeer = t.ejector != "" && t.ejector < s.Host
	}
	for _, p := range s.pools {
		s.divideSlots(p)
		s.dispatch(p)
	}
}

// addPeerUse adds what one peer reports about the target.
func (t *target) addPeerUse(host string, u TargetUse, now time.Time) {
	t.peerTasks += u.Tasks
	t.peerSuspicion += float64(u.Suspicion * suspicionStep)
	switch u.State {
	case Departing:
		t.peerLeavingUntil = now.Add(leavingPeriod)
	case Ejected, Trial:
		if t.ejector == "" || host < t.ejector {
			t.ejector = host
		}
	case Live:
	}
}

// buildReport returns this host's report to its peers. It reports a target as leaving
// only when this host knows it first-hand. Otherwise two hosts would confirm each
// other's reports about a target that is no longer leaving.
func (s *Scheduler) buildReport() Report {
	r := Report{
		Host: s.Host, Zone: s.Zone, Address: s.Address, Incarnation: s.Incarnation,
		Directory: s.directory.Version, Leaving: s.Phase() == Draining,
	}
	if s.config != nil {
		r.Config = s.config.Version
	}
	for _, name := range s.serviceNames {
		p := s.pools[name]
		for _, client := range p.clientNames() {
			f := p.flows[client]
			if f.running+f.waiting > 0 {
				r.Demands = append(r.Demands, Demand{Service: name, Client: client, Running: f.running, Waiting: f.waiting})
			}
		}
		for _, t := range p.targets {
			if u := t.firstHandUse(s.now); u != (TargetUse{Target: t.name}) {
				r.Uses = append(r.Uses, u)
			}
		}
	}
	return r
}

// firstHandUse returns this host's first-hand view of the target.
func (t *target) firstHandUse(now time.Time) TargetUse {
	u := TargetUse{Target: t.name, Tasks: t.ownTasks, Suspicion: int((t.suspicion + t.inFlightSuspicion) / suspicionStep)}
	switch t.state() {
	case Departing:
		if t.listedLeaving || now.Before(t.leavingUntil) {
			u.State = Departing
		}
	case Ejected, Trial:
		u.State = Ejected
	case Live:
	}
	return u
}

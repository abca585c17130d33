package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// minReportInterval is the shortest time between two scheduled reports.
const minReportInterval = 20 * time.Millisecond

// handleTick does everything that depends on time: deadlines, expiry of answers,
// tickets and peers, trials of targets and reports.
func (s *Scheduler) handleTick() {
	s.expireJobs()
	s.dropOldAnswers()
	s.ledger.Expire(s.now)
	s.checkPeers()
	if s.Phase() == Suspended && s.now.Sub(s.suspendedAt) >= resumeTimeout {
		s.resumeServing("no fresh state came in time")
	}
	if s.config == nil {
		return
	}
	for _, name := range s.serviceNames {
		p := s.pools[name]
		for _, t := range p.targets {
			s.reviewTarget(t)
		}
		if p.divisionOutdated {
			s.divideSlots(p)
		}
		s.dispatch(p)
		s.dropUndeclaredFlows(p)
	}
	s.publishIfDue()
	s.haltIfDrained()
}

// dropUndeclaredFlows removes the idle flows of clients that are no longer declared.
func (s *Scheduler) dropUndeclaredFlows(p *pool) {
	for name, f := range p.flows {
		if _, declared := s.clients[name]; !declared && f.running+f.waiting == 0 {
			delete(p.flows, name)
		}
	}
}

// publishIfDue publishes a report when the report interval is over. The interval is
// shorter while the last report misleads the peers or a report is urgent.
func (s *Scheduler) publishIfDue() {
	period := s.Bounds.ReportInterval
	for _, p := range s.pools {
		if s.isReportMisleading(p) {
			period = s.Bounds.FastReportInterval
		}
	}
	if s.reportUrgent {
		period = minReportInterval
	}
	if s.now.Sub(s.publishedAt) >= period {
		s.publish()
	}
}

// isReportMisleading reports whether the last report is outdated in a way that
// delays tasks: this host needs more slots than it reported, or it holds slots
// that it does not use while a peer has waiting tasks.
func (s *Scheduler) isReportMisleading(p *pool) bool {
	if p.peersWaiting && p.quota-p.running >= minReleasedSlots && s.reportedDemand(p)-s.currentDemand(p) >= minReleasedSlots {
		return true
	}
	return p.quotaExhausted && s.currentDemand(p) > s.reportedDemand(p)*minDemandGrowth
}

const (
	// minReleasedSlots is the number of unused slots at which a host reports its
	// lower demand to peers with a backlog before its regular report.
	minReleasedSlots = 5
	// minDemandGrowth is the factor of growth in demand above which a host reports
	// it before its regular report.
	minDemandGrowth = 1.25
)

// currentDemand returns the number of running and waiting tasks at this host.
func (s *Scheduler) currentDemand(p *pool) float64 { return float64(p.running + p.waiting) }

// reportedDemand returns the number of tasks in the last published report.
func (s *Scheduler) reportedDemand(p *pool) float64 {
	n := 0
	for _, d := range s.lastReport.Demands {
		if d.Service == p.service.Name {
			n += d.Running + d.Waiting
		}
	}
	return float64(n)
}

// publish emits the current report for the peers.
func (s *Scheduler) publish() {
	s.publishedAt = s.now
	s.reportUrgent = false
	s.lastReport = s.buildReport()
	for _, p := range s.pools {
		p.divisionOutdated = true
	}
	s.emit(Publish{Report: s.lastReport})
}

// targetOffset returns the index of the target that a host considers first. It
// differs between hosts, so that hosts with the same state do not all choose the
// same target.
func targetOffset(host string) int { return int(xxhash.Sum64String(host) % 1024) }

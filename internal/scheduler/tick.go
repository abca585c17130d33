package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// urgentGap is the least time between two reports.
const urgentGap = 20 * time.Millisecond

// tick does all that is due by time.
func (s *Scheduler) tick() {
	s.expire()
	s.forget()
	s.ledger.Expire(s.now)
	s.listen()
	if s.Phase() == Suspended && s.now.Sub(s.suspended) >= resumeAfter {
		s.resume("no fresh state came in time")
	}
	if s.config == nil {
		return
	}
	for _, name := range s.services {
		p := s.pools[name]
		for _, t := range p.targets {
			s.review(t)
		}
		if p.outdated {
			s.share(p)
		}
		s.dispatch(p)
		s.tidy(p)
	}
	s.publishDue()
	s.rest()
}

// tidy drops the flows of clients that are no longer declared.
func (s *Scheduler) tidy(p *pool) {
	for name, f := range p.flows {
		if _, declared := s.clients[name]; !declared && f.running+f.waiting == 0 {
			delete(p.flows, name)
		}
	}
}

// publishDue publishes a report when its period is over, or sooner when the
// last one misleads the peers.
func (s *Scheduler) publishDue() {
	period := s.Bounds.Calm
	for _, p := range s.pools {
		if s.misleads(p) {
			period = s.Bounds.Hurry
		}
	}
	if s.urgent {
		period = urgentGap
	}
	if s.now.Sub(s.published) >= period {
		s.publish()
	}
}

// misleads reports whether the last report gives the peers a wrong picture that
// costs time: this host wants more slots than it asked for, or it holds slots
// that it does not use while a peer has work waiting.
func (s *Scheduler) misleads(p *pool) bool {
	if p.wanted && p.quota-p.running >= releaseSlots && s.asked(p)-s.wants(p) >= releaseSlots {
		return true
	}
	return p.blocked && s.wants(p) > s.asked(p)*askGrowth
}

const (
	// releaseSlots is the number of unused slots that a host gives back to
	// backlogged peers without waiting for its period.
	releaseSlots = 5
	// askGrowth is the growth of demand that a host tells without waiting for
	// its period.
	askGrowth = 1.25
)

// wants returns the tasks that the host's clients have now.
func (s *Scheduler) wants(p *pool) float64 { return float64(p.running + p.waiting) }

// asked returns the tasks that the last report told.
func (s *Scheduler) asked(p *pool) float64 {
	n := 0
	for _, d := range s.sent.Demands {
		if d.Service == p.service.Name {
			n += d.Running + d.Waiting
		}
	}
	return float64(n)
}

// publish hands the current report to the peers.
func (s *Scheduler) publish() {
	s.published = s.now
	s.urgent = false
	s.sent = s.report()
	for _, p := range s.pools {
		p.outdated = true
	}
	s.emit(Publish{Report: s.sent})
}

// offset returns where a host begins to look at targets, so that hosts that see
// the same do not all choose the same.
func offset(host string) int { return int(xxhash.Sum64String(host) % 1024) }

package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/divider"
	"github.com/shallotrouter/shallotrouter/internal/holder"
)

// shareEvery is the least time between two divisions of a pool that are not
// caused by a tick.
const shareEvery = 5 * time.Millisecond

// share computes this host's quota and its flows' weights from its own demand
// and the peers' reports.
func (s *Scheduler) share(p *pool) {
	p.shared = s.now
	s.demands = s.demands[:0]
	hosts := holder.NewSet(s.Host)
	for _, f := range p.flows {
		if n := f.running + f.waiting; n > 0 {
			s.demands = append(s.demands, divider.Demand{Host: s.Host, Client: f.client, Weight: f.declared, Tasks: float64(n)})
		}
	}
	p.others = 0
	for _, r := range s.peers {
		if !r.present() {
			continue
		}
		if !r.report.Leaving {
			hosts.Add(r.report.Host)
		}
		s.demandOf(p, r)
	}
	slots := float64(s.slots(p))
	division := divider.Divide(slots, s.demands)
	p.level = division.Level
	s.adopt(p, division)
	for _, q := range divider.Round(division, hosts.Sorted()) {
		if q.Host == s.Host {
			p.quota = q.Slots
		}
	}
}

// demandOf adds what one peer reported of the pool's clients.
func (s *Scheduler) demandOf(p *pool, r *peer) {
	for _, d := range r.report.Demands {
		if d.Service != p.service.Name {
			continue
		}
		p.others += d.Running
		s.demands = append(s.demands, divider.Demand{
			Host: r.report.Host, Client: d.Client, Weight: s.weight(d.Client), Tasks: float64(d.Running + d.Waiting),
		})
	}
}

// adopt sets the weights of this host's flows: the share of a client that wants
// more than it gets, and the whole level for a client that is satisfied, so
// that its next burst is not spread over time.
func (s *Scheduler) adopt(p *pool, division divider.Division) {
	for _, f := range p.flows {
		f.weight = f.declared * p.level
	}
	for _, x := range division.Shares {
		if x.Host != s.Host || x.Satisfied {
			continue
		}
		if f := p.flows[x.Client]; f != nil {
			f.weight = x.Slots
		}
	}
}

// weight returns the declared weight of a client.
func (s *Scheduler) weight(client string) float64 {
	if c, ok := s.clients[client]; ok {
		return c.Weight
	}
	return 1
}

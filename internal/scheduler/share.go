package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotrouter/shallotrouter/internal/divider"
)

// share computes this host's part of the slots and its flows' weights. It uses
// what this host has published, not what it knows of itself, so that every host
// of the zone divides the same figures (#5).
func (s *Scheduler) share(p *pool) {
	p.outdated = false
	s.demands = s.demands[:0]
	p.counted = p.counted[:0]
	p.wanted = false
	for _, t := range p.targets {
		t.held, t.owed = 0, 0
	}
	for _, t := range p.ring {
		if t.counted() {
			p.counted = append(p.counted, t)
		}
	}
	slots := len(p.counted)
	holders := s.holders(p, slots)
	slots -= keepReserves(holders, slots)
	division := divider.Divide(float64(slots), s.demands)
	p.level = division.Level
	s.adopt(p, division)
	for _, r := range divider.Lay(division, holders) {
		s.hold(p, r)
	}
}

// holders returns the hosts that share the pool, and gathers their demands. A
// host without waiting work gets a reserve, so that a small job finds a free
// slot there while the others are backlogged.
func (s *Scheduler) holders(p *pool, slots int) []divider.Holder {
	reserve := int(math.Ceil(s.config.Current().Reserve * float64(slots)))
	holders := []divider.Holder{{Host: s.Host, Reserve: s.demandOf(p, s.sent, reserve)}}
	for _, r := range s.peers {
		if r.present() {
			holders = append(holders, divider.Holder{Host: r.report.Host, Reserve: s.demandOf(p, r.report, reserve)})
		}
	}
	slices.SortFunc(holders, func(a, b divider.Holder) int { return strings.Compare(a.Host, b.Host) })
	return holders
}

// keepReserves returns the sum of the reserves, and drops them all when they
// would take too great a part of the slots.
func keepReserves(holders []divider.Holder, slots int) int {
	sum := 0
	for _, h := range holders {
		sum += h.Reserve
	}
	if sum <= slots/leastReserved {
		return sum
	}
	for i := range holders {
		holders[i].Reserve = 0
	}
	return 0
}

// leastReserved is the divisor that bounds the part of the slots in reserves.
const leastReserved = 4

// demandOf adds what one host reported of the pool's clients, and returns the
// reserve that it gets.
func (s *Scheduler) demandOf(p *pool, report Report, reserve int) int {
	for _, d := range report.Demands {
		if d.Service != p.service.Name {
			continue
		}
		if d.Waiting > 0 {
			reserve = 0
			p.wanted = p.wanted || report.Host != s.Host
		}
		s.demands = append(s.demands, divider.Demand{
			Host: report.Host, Client: d.Client, Weight: s.weight(d.Client), Tasks: float64(d.Running + d.Waiting),
		})
	}
	if report.Leaving {
		reserve = 0
	}
	return reserve
}

// hold notes one host's range: for this host the slots that it may use of each
// target, for a peer those of its tasks that run outside its range.
func (s *Scheduler) hold(p *pool, r divider.Range) {
	if r.Host == s.Host {
		p.quota = r.Slots()
		for _, t := range p.counted[r.From:r.To] {
			t.held++
		}
		return
	}
	uses := s.peers[r.Host].uses
	for _, t := range p.targets {
		t.yielded = 0
	}
	for _, t := range p.counted[r.From:r.To] {
		t.yielded++
	}
	for _, t := range p.targets {
		t.owed += max(0, uses[t.name]-t.yielded)
	}
}

// arrangeSlots puts the pool's slots into the order in which hosts hold them.
// Each target's slots are evenly spaced in it, so that every range has a like
// part of each target, and a target that goes away moves the others by little.
func (p *pool) arrangeSlots() {
	type place struct {
		target   *target
		position float64
	}
	var places []place
	for _, t := range p.targets {
		offset := float64(xxhash.Sum64String(t.name)) / math.MaxUint64
		for i := range t.slots {
			places = append(places, place{t, (float64(i) + offset) / float64(t.slots)})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		if c := cmp.Compare(a.position, b.position); c != 0 {
			return c
		}
		return strings.Compare(a.target.name, b.target.name)
	})
	p.ring = p.ring[:0]
	for _, x := range places {
		p.ring = append(p.ring, x.target)
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

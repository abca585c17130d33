package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotrouter/shallotrouter/internal/divider"
)

// divideSlots computes this host's range of the pool's slots and the weights of
// its flows. For this host it uses the last published report and not the current
// demand, so that every host of the zone computes from the same numbers (#5).
func (s *Scheduler) divideSlots(p *pool) {
	p.divisionOutdated = false
	s.poolDemands = s.poolDemands[:0]
	p.sharedSlots = p.sharedSlots[:0]
	p.peersWaiting = false
	for _, t := range p.targets {
		t.rangeSlots, t.outOfRangeTasks = 0, 0
	}
	for _, t := range p.slotOrder {
		if t.isShared() {
			p.sharedSlots = append(p.sharedSlots, t)
		}
	}
	slots := len(p.sharedSlots)
	holders := s.slotHolders(p, slots)
	slots -= boundReserves(holders, slots)
	division := divider.Divide(float64(slots), s.poolDemands)
	p.level = division.Level
	s.setFlowWeights(p, division)
	for _, r := range divider.AssignRanges(division, holders) {
		s.applyRange(p, r)
	}
}

// slotHolders returns the hosts that share the pool and collects their demands. A
// host without waiting tasks gets a reserve, so that a small job finds a free
// slot there while the other hosts have a backlog.
func (s *Scheduler) slotHolders(p *pool, slots int) []divider.Holder {
	reserve := int(math.Ceil(s.config.ActivePreset().ReservedFraction * float64(slots)))
	holders := []divider.Holder{{Host: s.Host, Reserve: s.collectDemand(p, s.lastReport, reserve)}}
	for _, r := range s.peers {
		if r.isPresent() {
			holders = append(holders, divider.Holder{Host: r.report.Host, Reserve: s.collectDemand(p, r.report, reserve)})
		}
	}
	slices.SortFunc(holders, func(a, b divider.Holder) int { return strings.Compare(a.Host, b.Host) })
	return holders
}

// boundReserves returns the sum of the reserves. If the sum exceeds
// 1/reserveDivisor of the slots, it sets all reserves to 0 and returns 0.
func boundReserves(holders []divider.Holder, slots int) int {
	sum := 0
	for _, h := range holders {
		sum += h.Reserve
	}
	if sum <= slots/reserveDivisor {
		return sum
	}
	for i := range holders {
		holders[i].Reserve = 0
	}
	return 0
}

// reserveDivisor limits the reserves of all hosts together to a quarter of the slots.
const reserveDivisor = 4

// collectDemand adds the demands that one host reported for the pool and returns
// the host's reserve: 0 if it has waiting tasks or is leaving.
func (s *Scheduler) collectDemand(p *pool, report Report, reserve int) int {
	for _, d := range report.Demands {
		if d.Service != p.service.Name {
			continue
		}
		if d.Waiting > 0 {
			reserve = 0
			p.peersWaiting = p.peersWaiting || report.Host != s.Host
		}
		s.poolDemands = append(s.poolDemands, divider.Demand{
			Host: report.Host, Client: d.Client, Weight: s.declaredWeight(d.Client), Tasks: float64(d.Running + d.Waiting),
		})
	}
	if report.Leaving {
		reserve = 0
	}
	return reserve
}

// applyRange applies one host's range of slots. For this host it sets the quota
// and the slots that it may use at each target. For a peer it counts the peer's
// tasks at each target that exceed the peer's slots there.
func (s *Scheduler) applyRange(p *pool, r divider.Range) {
	if r.Host == s.Host {
		p.quota = r.Slots()
		for _, t := range p.sharedSlots[r.From:r.To] {
			t.rangeSlots++
		}
		return
	}
	uses := s.peers[r.Host].tasksByTarget
	for _, t := range p.targets {
		t.peerRangeSlots = 0
	}
	for _, t := range p.sharedSlots[r.From:r.To] {
		t.peerRangeSlots++
	}
	for _, t := range p.targets {
		t.outOfRangeTasks += max(0, uses[t.name]-t.peerRangeSlots)
	}
}

// orderSlots computes the order of the pool's slots, of which each host holds one
// range. The slots of each target are evenly spaced in the order. Every range
// therefore has about the same part of each target, and the removal of a target
// moves the other slots only a little.
func (p *pool) orderSlots() {
	type slotPosition struct {
		target   *target
		position float64
	}
	var positions []slotPosition
	for _, t := range p.targets {
		offset := float64(xxhash.Sum64String(t.name)) / math.MaxUint64
		for i := range t.slots {
			positions = append(positions, slotPosition{t, (float64(i) + offset) / float64(t.slots)})
		}
	}
	slices.SortFunc(positions, func(a, b slotPosition) int {
		if c := cmp.Compare(a.position, b.position); c != 0 {
			return c
		}
		return strings.Compare(a.target.name, b.target.name)
	})
	p.slotOrder = p.slotOrder[:0]
	for _, x := range positions {
		p.slotOrder = append(p.slotOrder, x.target)
	}
}

// setFlowWeights sets the weights of this host's flows. A client that wants more
// than its share gets the share as its weight. A satisfied client gets the full
// level, so that the tasks of its next burst are not delayed.
func (s *Scheduler) setFlowWeights(p *pool, division divider.Division) {
	for _, f := range p.flows {
		f.weight = f.declaredWeight * p.level
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

// declaredWeight returns the declared weight of a client, 1 by default.
func (s *Scheduler) declaredWeight(client string) float64 {
	if c, ok := s.clients[client]; ok {
		return c.Weight
	}
	return 1
}

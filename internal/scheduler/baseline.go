package scheduler

import "math/rand/v2"

// RandomPlacer is a Placer that chooses a usable target with a free slot at random. It
// is the baseline that benchmarks compare LeastLoadedPlacer with.
type RandomPlacer struct {
	// Random is the source of random numbers.
	Random *rand.Rand
}

// place returns a random usable target with a free slot.
func (x RandomPlacer) place(s *Scheduler, p *pool) *target {
	if len(p.targets) == 0 {
		return nil
	}
	first := x.Random.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.isUsable() && t.freeSlots(s.now) > 0 {
			return t
		}
	}
	return nil
}

package scheduler

import "math/rand/v2"

// Scatter is the Placer that measurements compare with: it takes any usable
// target that appears to have a free slot, at random.
type Scatter struct {
	// Random chooses the target.
	Random *rand.Rand
}

// place returns a usable target with a free slot.
func (x Scatter) place(s *Scheduler, p *pool) *target {
	if len(p.targets) == 0 {
		return nil
	}
	first := x.Random.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.usable() && t.free(s.now) > 0 {
			return t
		}
	}
	return nil
}

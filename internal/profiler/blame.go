package profiler

import "slices"

// Blame decides whether the slow runs of one job count against their targets. If most of a job's runs
// are slow, at several targets, its tasks are long and the targets are not at fault. The zero value
// has no runs.
type Blame struct {
	counted []counted
	slow    int // targets where a run of the job was slow
}

// counted is how the runs of a job have counted at one target.
type counted struct {
	target string
	slow   bool
	amount float64 // what was added to the target's sum of slowdowns
}

// Refund is an amount to take back from a target.
type Refund struct {
	Target string
	Amount float64
}

// minJobTargets is the number of targets from which the runs of a job are compared. One slow run
// says nothing about the job.
const minJobTargets = 2

// Add adds a run. amount is by how much it would count against its target, above 0 for a slow run. Add
// returns by how much it counts, and what earlier runs of the job have counted wrongly.
func (b *Blame) Add(target string, amount float64) (float64, []Refund) {
	slow := amount > 0
	i := slices.IndexFunc(b.counted, func(c counted) bool { return c.target == target })
	if i < 0 {
		i = len(b.counted)
		b.counted = append(b.counted, counted{target: target})
	}
	c := &b.counted[i]
	if !slow {
		return amount, nil
	}
	if !c.slow {
		c.slow = true
		b.slow++
	} else if len(b.counted) < minJobTargets {
		return 0, nil // the tasks of one job are alike, and no other target shows whether they are long
	}
	if b.isLong() {
		return 0, b.refunds()
	}
	c.amount += amount
	return amount, nil
}

// isLong reports whether most targets with runs of the job seem slow.
func (b *Blame) isLong() bool { return len(b.counted) >= minJobTargets && 2*b.slow > len(b.counted) }

// refunds returns what the job has counted against targets, which counts no more.
func (b *Blame) refunds() []Refund {
	var list []Refund
	for i := range b.counted {
		if c := &b.counted[i]; c.amount > 0 {
			list = append(list, Refund{c.target, c.amount})
			c.amount = 0
		}
	}
	return list
}

package modeler

import (
	"math"
	"time"
)

// spanLength is the length, in seconds, of the spans of which the worst is told.
const spanLength = 2

// summarize joins the trials of one policy under one load.
func summarize(trials []*trial) Row {
	row := Row{Policy: trials[0].policy, Load: trials[0].load, Zones: make(map[string]float64), Kinds: make(map[string]KindRow)}
	n := float64(len(trials))
	zones := make(map[string]*Balance)
	kinds := make(map[string]*Count)
	seconds := make(map[int]*Balance)
	for _, t := range trials {
		tally := &t.tally
		row.Worth += tally.Worth() / n
		row.Worst += tally.WorstSpan(spanLength) / n
		row.Bound += tally.Bound(t.capacity) / n
		row.Broken = append(row.Broken, t.broken...)
		for zone, b := range tally.Zones {
			join(zones, zone, b.Earned, b.Owed)
		}
		for second, owed := range tally.Owed {
			join(seconds, second, tally.Earned[second], owed)
		}
		for name, count := range tally.Kinds {
			if kinds[name] == nil {
				kinds[name] = &Count{}
			}
			kinds[name].add(count)
		}
	}
	for zone, b := range zones {
		row.Zones[zone] = b.Earned / max(b.Owed, 1e-9)
	}
	for second := range int(trials[0].scenario.Length / time.Second) {
		if b := seconds[second]; b != nil {
			row.Seconds = append(row.Seconds, b.Earned/max(b.Owed, 1e-9))
		} else {
			row.Seconds = append(row.Seconds, 1) // nothing was asked
		}
	}
	for name, c := range kinds {
		row.Kinds[name] = KindRow{
			Asked: c.Asked, InTime: c.InTime, Late: c.Late, Refused: c.Refused, Failed: c.Failed + c.Unknown,
			Worth: c.Earned / max(c.Owed, 1e-9), P50: c.Quantile(0.5), P99: c.Quantile(0.99),
		}
	}
	return row
}

// compare returns the mean difference in worth between trials of two policies with the same
// seeds, and half of its 95 % interval.
func compare(trials, base []*trial) (gain, margin float64) {
	const deviations = 1.96
	n := float64(len(trials))
	squares := 0.0
	for i, t := range trials {
		d := t.tally.Worth() - base[i].tally.Worth()
		gain += d / n
		squares += d * d / n
	}
	if n < 2 {
		return gain, 0
	}
	return gain, deviations * math.Sqrt(max(squares-gain*gain, 0)/(n-1))
}

func join[K comparable](list map[K]*Balance, key K, earned, owed float64) {
	if list[key] == nil {
		list[key] = &Balance{}
	}
	list[key].Earned += earned
	list[key].Owed += owed
}

// add joins the counts of another world.
func (n *Count) add(other *Count) {
	n.Asked += other.Asked
	n.InTime += other.InTime
	n.Late += other.Late
	n.Refused += other.Refused
	n.Failed += other.Failed
	n.Unknown += other.Unknown
	n.Earned += other.Earned
	n.Owed += other.Owed
	n.Took = append(n.Took, other.Took...)
}

// capacity returns the work in core-seconds that the targets can do until the last
// answer can be in time.
func (w *World) capacity() float64 {
	cores := 0.0
	for _, name := range w.names {
		t := w.targets[name]
		cores += float64(t.entry.Capacity.CPU) / milli / t.slow
	}
	longest := time.Duration(0)
	for _, c := range w.clients {
		longest = max(longest, c.goal)
	}
	return cores * (w.Length + longest).Seconds()
}

package modeler

import (
	"math"
	"time"
)

// worstSpanSeconds is the length of the windows for Row.Worst.
const worstSpanSeconds = 2

// summarize merges the simulations of one policy under one load.
func summarize(simulations []*scenarioRun) Row {
	row := Row{Policy: simulations[0].policy, Load: simulations[0].load, Zones: make(map[string]float64), Kinds: make(map[string]KindRow)}
	n := float64(len(simulations))
	zones := make(map[string]*Balance)
	kinds := make(map[string]*Count)
	seconds := make(map[int]*Balance)
	for _, t := range simulations {
		tally := &t.tally
		row.Worth += tally.Worth() / n
		row.Worst += tally.WorstSpan(worstSpanSeconds) / n
		row.Bound += tally.Bound(t.capacity) / n
		row.Broken = append(row.Broken, t.violations...)
		for zone, b := range tally.Zones {
			addBenefit(zones, zone, b.Earned, b.Owed)
		}
		for second, possible := range tally.Owed {
			addBenefit(seconds, second, tally.Earned[second], possible)
		}
		for name, count := range tally.Kinds {
			if kinds[name] == nil {
				kinds[name] = &Count{}
			}
			kinds[name].merge(count)
		}
	}
	for zone, b := range zones {
		row.Zones[zone] = b.Earned / max(b.Owed, 1e-9)
	}
	for second := range int(simulations[0].scenario.Length / time.Second) {
		if b := seconds[second]; b != nil {
			row.Seconds = append(row.Seconds, b.Earned/max(b.Owed, 1e-9))
		} else {
			row.Seconds = append(row.Seconds, 1) // no jobs were sent
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

// compare returns the mean difference in benefit between simulations of two policies with
// the same seeds, and half of its 95 % confidence interval.
func compare(simulations, base []*scenarioRun) (gain, margin float64) {
	const deviations = 1.96
	n := float64(len(simulations))
	squareSum := 0.0
	for i, t := range simulations {
		difference := t.tally.Worth() - base[i].tally.Worth()
		gain += difference / n
		squareSum += difference * difference / n
	}
	if n < 2 {
		return gain, 0
	}
	return gain, deviations * math.Sqrt(max(squareSum-gain*gain, 0)/(n-1))
}

func addBenefit[K comparable](balances map[K]*Balance, key K, achieved, possible float64) {
	if balances[key] == nil {
		balances[key] = &Balance{}
	}
	balances[key].Earned += achieved
	balances[key].Owed += possible
}

// merge adds the counts of another simulation.
func (n *Count) merge(other *Count) {
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

// capacity returns the work in core-seconds that the targets can do until the last moment
// at which an answer can be in time.
func (w *World) capacity() float64 {
	cores := 0.0
	for _, name := range w.targetIDs {
		t := w.targets[name]
		cores += float64(t.entry.Capacity.CPU) / milliPerCore / t.slow
	}
	maxObjective := time.Duration(0)
	for _, c := range w.clients {
		maxObjective = max(maxObjective, c.objective)
	}
	return cores * (w.Length + maxObjective).Seconds()
}

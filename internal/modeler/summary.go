package modeler

import (
	"math"
	"time"
)

// worstWindowSeconds is the length of the windows for PolicyResult.WorstBenefit.
const worstWindowSeconds = 2

// summarize merges the simulations of one policy under one load.
func summarize(simulations []*scenarioRun) PolicyResult {
	row := PolicyResult{Policy: simulations[0].policy, Load: simulations[0].load, BenefitByZone: make(map[string]float64), Kinds: make(map[string]KindResult)}
	n := float64(len(simulations))
	zones := make(map[string]*Benefit)
	kinds := make(map[string]*KindCount)
	seconds := make(map[int]*Benefit)
	for _, t := range simulations {
		results := &t.results
		row.Benefit += results.BenefitRatio() / n
		row.WorstBenefit += results.WorstBenefitRatio(worstWindowSeconds) / n
		row.MaxBenefit += results.MaxBenefitRatio(t.capacity) / n
		row.Violations = append(row.Violations, t.violations...)
		for zone, b := range results.Zones {
			addBenefit(zones, zone, b.Achieved, b.Possible)
		}
		for second, possible := range results.Possible {
			addBenefit(seconds, second, results.Achieved[second], possible)
		}
		for name, count := range results.Kinds {
			if kinds[name] == nil {
				kinds[name] = &KindCount{}
			}
			kinds[name].merge(count)
		}
	}
	for zone, b := range zones {
		row.BenefitByZone[zone] = b.Achieved / max(b.Possible, 1e-9)
	}
	for second := range int(simulations[0].scenario.Length / time.Second) {
		if b := seconds[second]; b != nil {
			row.BenefitBySecond = append(row.BenefitBySecond, b.Achieved/max(b.Possible, 1e-9))
		} else {
			row.BenefitBySecond = append(row.BenefitBySecond, 1) // no jobs were sent
		}
	}
	for name, c := range kinds {
		row.Kinds[name] = KindResult{
			Sent: c.Sent, InTime: c.InTime, Late: c.Late, Refused: c.Refused, Failed: c.Failed + c.Unknown,
			Benefit: c.Achieved / max(c.Possible, 1e-9), P50: c.ResponseTimeQuantile(0.5), P99: c.ResponseTimeQuantile(0.99),
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
		difference := t.results.BenefitRatio() - base[i].results.BenefitRatio()
		gain += difference / n
		squareSum += difference * difference / n
	}
	if n < 2 {
		return gain, 0
	}
	return gain, deviations * math.Sqrt(max(squareSum-gain*gain, 0)/(n-1))
}

func addBenefit[K comparable](benefits map[K]*Benefit, key K, achieved, possible float64) {
	if benefits[key] == nil {
		benefits[key] = &Benefit{}
	}
	benefits[key].Achieved += achieved
	benefits[key].Possible += possible
}

// merge adds the counts of another simulation.
func (n *KindCount) merge(other *KindCount) {
	n.Sent += other.Sent
	n.InTime += other.InTime
	n.Late += other.Late
	n.Refused += other.Refused
	n.Failed += other.Failed
	n.Unknown += other.Unknown
	n.Achieved += other.Achieved
	n.Possible += other.Possible
	n.ResponseTimes = append(n.ResponseTimes, other.ResponseTimes...)
}

// capacity returns the work in core-seconds that the targets can do until the last moment
// at which an answer can be in time.
func (sm *Simulation) capacity() float64 {
	cores := 0.0
	for _, name := range sm.targetIDs {
		t := sm.targets[name]
		cores += float64(t.entry.Capacity.CPU) / milliPerCore / t.slowFactor
	}
	maxObjective := time.Duration(0)
	for _, c := range sm.clients {
		maxObjective = max(maxObjective, c.objective)
	}
	return cores * (sm.LoadDuration + maxObjective).Seconds()
}

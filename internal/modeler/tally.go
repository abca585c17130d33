package modeler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Results counts the answers that clients received and their benefit.
type Results struct {
	Starts int
	// Crashes counts the crashes of targets under deadly tasks.
	Crashes int
	// EvacuatedStarts are the times from the evacuation of a zone to the starts there during it.
	EvacuatedStarts []time.Duration
	// ExcessStarts are the times from the change of a target's entry to the orders that exceed the
	// capacity since then, or 0 for orders before the change.
	ExcessStarts []time.Duration
	// UnknownUnstarted counts the answers that a job may have run although no task of it had started.
	UnknownUnstarted int
	// Tasks is the number of tasks of completed jobs.
	Tasks int
	Kinds map[string]*KindCount
	// Retried counts the jobs that were retried after a refusal, and CompletedRetries those of
	// them that were then completed.
	Retried, CompletedRetries int
	// Achieved and Possible are the benefit achieved and the benefit possible, by the second of
	// the load in which the job was sent.
	Achieved, Possible map[int]float64
	// Zones counts the jobs and their benefit by the client's zone.
	Zones map[string]*ZoneCount
	// Jobs lists the benefit and the work of each job, for MaxBenefitRatio.
	Jobs []JobBenefit
}

// Benefit is the benefit achieved and the benefit possible if all answers were in time.
type Benefit struct{ Achieved, Possible float64 }

// ZoneCount counts the jobs of the clients of one zone.
type ZoneCount struct {
	Benefit
	Sent, Refused int
}

// RefusedShare returns the share of the zone's jobs that were refused.
func (z *ZoneCount) RefusedShare() float64 { return float64(z.Refused) / float64(max(z.Sent, 1)) }

// RefusalRatio returns the refused share of the zone with the highest one, divided by that of the zone
// with the lowest one. It is infinite if no job of the latter was refused, and 1 if none was at all.
func (t *Results) RefusalRatio() float64 {
	lowest, highest := math.Inf(1), 0.0
	for _, z := range t.Zones {
		lowest, highest = min(lowest, z.RefusedShare()), max(highest, z.RefusedShare())
	}
	if highest == 0 {
		return 1
	}
	return highest / lowest
}

// JobBenefit is the benefit of an answer in time to a job, and the job's work in core-seconds at
// a default target.
type JobBenefit struct{ Benefit, Work float64 }

// KindCount counts the outcomes of the jobs of one kind.
type KindCount struct {
	Sent, InTime, Late, Refused, Failed, Unknown int
	Achieved, Possible                           float64
	ResponseTimes                                []time.Duration
	Reasons                                      map[router.Reason]int
	// Work is the work of each job in seconds, and Completed says whether the job
	// with an index in Work was completed.
	Work      []float64
	Completed map[int]bool
}

func (t *Results) countOf(c *client) *KindCount {
	if t.Kinds == nil {
		t.Kinds = make(map[string]*KindCount)
		t.Achieved, t.Possible = make(map[int]float64), make(map[int]float64)
		t.Zones = make(map[string]*ZoneCount)
	}
	n := t.Kinds[c.kind.Name]
	if n == nil {
		n = &KindCount{Reasons: make(map[router.Reason]int), Completed: make(map[int]bool)}
		t.Kinds[c.kind.Name] = n
	}
	return n
}

func (c *client) sentSecond() int { return int(c.sentAt.Sub(c.sim.loadStart) / time.Second) }

// benefit returns the benefit of an answer in time: a fixed part and a part in proportion
// to the job's work, together at most four times the benefit for a job with the mean work.
func (c *client) benefit() float64 {
	const fixedShare, maxFactor = 0.3, 4
	meanWork := c.kind.MeanRunTime.Seconds() * c.kind.MeanTasks
	work := c.taskSeconds * float64(c.job.Count)
	return c.kind.Benefit * min(fixedShare+(1-fixedShare)*work/meanWork, maxFactor)
}

func (t *Results) recordSubmitted(c *client) {
	n := t.countOf(c)
	c.index = n.Sent
	n.Sent++
	n.Work = append(n.Work, c.taskSeconds*float64(c.job.Count))
	n.Possible += c.benefit()
	t.Possible[c.sentSecond()] += c.benefit()
	if t.Zones[c.zone] == nil {
		t.Zones[c.zone] = &ZoneCount{}
	}
	t.Zones[c.zone].Sent++
	t.Zones[c.zone].Possible += c.benefit()
	t.Jobs = append(t.Jobs, JobBenefit{Benefit: c.benefit(), Work: c.taskSeconds * float64(c.job.Count*c.job.Need.CPU) / milliPerCore})
}

// lateBenefit is the share of the benefit that a late answer still has.
const lateBenefit = 0.2

func (t *Results) recordComplete(c *client, responseTime time.Duration) {
	n := t.countOf(c)
	n.ResponseTimes = append(n.ResponseTimes, responseTime)
	n.Completed[c.index] = true
	t.Tasks += c.job.Count
	if c.retriedAfterRefusal {
		t.CompletedRetries++
	}
	benefit := 0.0
	switch {
	case responseTime <= c.objective:
		n.InTime++
		benefit = c.benefit()
	case responseTime <= timeoutFactor*c.objective:
		n.Late++
		benefit = c.benefit() * lateBenefit
	default:
		n.Late++
	}
	n.Achieved += benefit
	t.Achieved[c.sentSecond()] += benefit
	t.Zones[c.zone].Achieved += benefit
}

func (t *Results) recordRefused(c *client, reason router.Reason) {
	n := t.countOf(c)
	n.Refused++
	n.Reasons[reason]++
	t.Zones[c.zone].Refused++
}

func (t *Results) recordFailed(c *client, reason router.Reason) {
	n := t.countOf(c)
	n.Failed++
	n.Reasons[reason]++
}

func (t *Results) recordUnknown(c *client, reason router.Reason) {
	n := t.countOf(c)
	if c.sim.startCounts[c.id] == 0 {
		t.UnknownUnstarted++
	}
	n.Unknown++
	n.Reasons[reason]++
}

// BenefitRatio returns the achieved share of the possible benefit.
func (t *Results) BenefitRatio() float64 {
	achieved, possible := 0.0, 0.0
	for _, name := range sortedKeys(t.Kinds) {
		achieved += t.Kinds[name].Achieved
		possible += t.Kinds[name].Possible
	}
	return achieved / max(possible, 1e-9)
}

// milliPerCore converts thousandths of a core into cores.
const milliPerCore = 1000

// MaxBenefitRatio returns an upper bound on the share of the possible benefit that any policy can
// achieve. The capacity is the work in core-seconds that the targets can do while answers
// are in time. The bound assumes that the jobs with the highest benefit per work are
// answered in time, and all others late.
func (t *Results) MaxBenefitRatio(capacity float64) float64 {
	jobs := slices.Clone(t.Jobs)
	slices.SortFunc(jobs, func(a, b JobBenefit) int { return cmp.Compare(b.Benefit*a.Work, a.Benefit*b.Work) })
	possible, achieved := 0.0, 0.0
	for _, job := range jobs {
		share := 1.0
		if job.Work > 0 {
			share = min(1, capacity/job.Work)
		}
		capacity -= share * job.Work
		possible += job.Benefit
		achieved += job.Benefit * (share + (1-share)*lateBenefit)
	}
	return achieved / max(possible, 1e-9)
}

// WorstBenefitRatio returns the lowest achieved share of the benefit over any window of a length
// in seconds.
func (t *Results) WorstBenefitRatio(seconds int) float64 {
	worst := 1.0
	lastSecond := 0
	for second := range t.Possible {
		lastSecond = max(lastSecond, second)
	}
	for from := 0; from+seconds <= lastSecond+1; from++ {
		achieved, possible := 0.0, 0.0
		for second := from; second < from+seconds; second++ {
			achieved += t.Achieved[second]
			possible += t.Possible[second]
		}
		worst = min(worst, achieved/max(possible, 1e-9))
	}
	return worst
}

// LargeJobRatio returns the completed share of the largest tenth of the jobs, divided by the
// completed share of all jobs.
func (n *KindCount) LargeJobRatio() float64 {
	sorted := slices.Clone(n.Work)
	slices.Sort(sorted)
	if len(sorted) == 0 || len(n.Completed) == 0 {
		return 1
	}
	const largeQuantile = 0.9
	minWork := sorted[min(int(largeQuantile*float64(len(sorted))), len(sorted)-1)]
	large, completed := 0, 0
	for i, work := range n.Work {
		if work >= minWork {
			large++
			if n.Completed[i] {
				completed++
			}
		}
	}
	completedShare := float64(len(n.Completed)) / float64(len(n.Work))
	return float64(completed) / float64(large) / completedShare
}

// ResponseTimeQuantile returns a quantile of the response times of the completed jobs.
func (n *KindCount) ResponseTimeQuantile(q float64) time.Duration {
	if len(n.ResponseTimes) == 0 {
		return 0
	}
	sorted := slices.Clone(n.ResponseTimes)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

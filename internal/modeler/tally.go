package modeler

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Tally counts the answers that clients received and their benefit.
type Tally struct {
	Starts int
	// Tasks is the number of tasks of completed jobs.
	Tasks int
	Kinds map[string]*Count
	// Returned counts the jobs that were sent again after a refusal, and Welcome those of
	// them that were completed then.
	Returned, Welcome int
	// Earned and Owed are the benefit achieved and the benefit possible, by the second of
	// the load in which the job was sent.
	Earned, Owed map[int]float64
	// Zones is the benefit by the client's zone.
	Zones map[string]*Balance
	// Orders lists the benefit and the work of each job, for Bound.
	Orders []Order
}

// Balance is the benefit achieved (Earned) and the benefit possible if all answers were in
// time (Owed).
type Balance struct{ Earned, Owed float64 }

// Order is the benefit of an answer in time to a job, and the job's work in core-seconds at
// a default target.
type Order struct{ Worth, Work float64 }

// Count counts the outcomes of the jobs of one kind.
type Count struct {
	Asked, InTime, Late, Refused, Failed, Unknown int
	Earned, Owed                                  float64
	Took                                          []time.Duration
	Reasons                                       map[router.Reason]int
	// Works is the work of each job in seconds, and Served tells by the index of the job
	// whether it was completed.
	Works  []float64
	Served map[int]bool
}

func (t *Tally) countOf(c *client) *Count {
	if t.Kinds == nil {
		t.Kinds = make(map[string]*Count)
		t.Earned, t.Owed = make(map[int]float64), make(map[int]float64)
		t.Zones = make(map[string]*Balance)
	}
	n := t.Kinds[c.kind.Name]
	if n == nil {
		n = &Count{Reasons: make(map[router.Reason]int), Served: make(map[int]bool)}
		t.Kinds[c.kind.Name] = n
	}
	return n
}

func (c *client) sentSecond() int { return int(c.sentAt.Sub(c.world.start) / time.Second) }

// benefit returns the benefit of an answer in time: a fixed part and a part in proportion
// to the job's work, at most four times the mean.
func (c *client) benefit() float64 {
	const fixedShare, maxFactor = 0.3, 4
	meanWork := c.kind.Work.Seconds() * c.kind.Tasks
	work := c.taskSeconds * float64(c.job.Count)
	return c.kind.Worth * min(fixedShare+(1-fixedShare)*work/meanWork, maxFactor)
}

func (t *Tally) recordSubmitted(c *client) {
	n := t.countOf(c)
	c.index = n.Asked
	n.Asked++
	n.Works = append(n.Works, c.taskSeconds*float64(c.job.Count))
	n.Owed += c.benefit()
	t.Owed[c.sentSecond()] += c.benefit()
	if t.Zones[c.zone] == nil {
		t.Zones[c.zone] = &Balance{}
	}
	t.Zones[c.zone].Owed += c.benefit()
	t.Orders = append(t.Orders, Order{Worth: c.benefit(), Work: c.taskSeconds * float64(c.job.Count*c.job.Need.CPU) / milliPerCore})
}

// lateBenefit is the share of the benefit that a late answer still has.
const lateBenefit = 0.2

func (t *Tally) recordComplete(c *client, responseTime time.Duration) {
	n := t.countOf(c)
	n.Took = append(n.Took, responseTime)
	n.Served[c.index] = true
	t.Tasks += c.job.Count
	if c.wasResent {
		t.Welcome++
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
	n.Earned += benefit
	t.Earned[c.sentSecond()] += benefit
	t.Zones[c.zone].Earned += benefit
}

func (t *Tally) recordRefused(c *client, reason router.Reason) {
	n := t.countOf(c)
	n.Refused++
	n.Reasons[reason]++
}

func (t *Tally) recordFailed(c *client, reason router.Reason) {
	n := t.countOf(c)
	n.Failed++
	n.Reasons[reason]++
}

func (t *Tally) recordUnknown(c *client, reason router.Reason) {
	n := t.countOf(c)
	n.Unknown++
	n.Reasons[reason]++
}

// Worth returns the achieved share of the possible benefit.
func (t *Tally) Worth() float64 {
	achieved, possible := 0.0, 0.0
	for _, name := range sortedKeys(t.Kinds) {
		achieved += t.Kinds[name].Earned
		possible += t.Kinds[name].Owed
	}
	return achieved / max(possible, 1e-9)
}

// milliPerCore converts thousandths of a core into cores.
const milliPerCore = 1000

// Bound returns an upper bound on the share of the possible benefit that any policy can
// achieve. The capacity is the work in core-seconds that the targets can do while answers
// are in time. The bound assumes that the jobs with the highest benefit per work are
// answered in time, and all others late.
func (t *Tally) Bound(capacity float64) float64 {
	jobs := slices.Clone(t.Orders)
	slices.SortFunc(jobs, func(a, b Order) int { return cmp.Compare(b.Worth*a.Work, a.Worth*b.Work) })
	possible, achieved := 0.0, 0.0
	for _, job := range jobs {
		share := 1.0
		if job.Work > 0 {
			share = min(1, capacity/job.Work)
		}
		capacity -= share * job.Work
		possible += job.Worth
		achieved += job.Worth * (share + (1-share)*lateBenefit)
	}
	return achieved / max(possible, 1e-9)
}

// WorstSpan returns the lowest achieved share of the benefit over any window of a length
// in seconds.
func (t *Tally) WorstSpan(seconds int) float64 {
	worst := 1.0
	lastSecond := 0
	for second := range t.Owed {
		lastSecond = max(lastSecond, second)
	}
	for from := 0; from+seconds <= lastSecond+1; from++ {
		achieved, possible := 0.0, 0.0
		for second := from; second < from+seconds; second++ {
			achieved += t.Earned[second]
			possible += t.Owed[second]
		}
		worst = min(worst, achieved/max(possible, 1e-9))
	}
	return worst
}

// Large returns the completed share of the largest tenth of the jobs, divided by the
// completed share of all jobs.
func (n *Count) Large() float64 {
	sorted := slices.Clone(n.Works)
	slices.Sort(sorted)
	if len(sorted) == 0 || len(n.Served) == 0 {
		return 1
	}
	const largeQuantile = 0.9
	minWork := sorted[min(int(largeQuantile*float64(len(sorted))), len(sorted)-1)]
	large, completed := 0, 0
	for i, work := range n.Works {
		if work >= minWork {
			large++
			if n.Served[i] {
				completed++
			}
		}
	}
	completedShare := float64(len(n.Served)) / float64(len(n.Works))
	return float64(completed) / float64(large) / completedShare
}

// Quantile returns a quantile of the response times of the completed jobs.
func (n *Count) Quantile(q float64) time.Duration {
	if len(n.Took) == 0 {
		return 0
	}
	sorted := slices.Clone(n.Took)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

package bencher

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// Results collects the measurements of a simulation and its violations of invariants.
type Results struct {
	// Steps counts the events that the schedulers handled.
	Steps int
	// TasksSent counts the tasks sent, BusyRefusals the tasks that a target refused
	// for lack of a free slot, and Requeues the tasks placed again. Reports counts the
	// reports sent to peers, ReportBytes their bytes.
	TasksSent    int
	BusyRefusals int
	Requeues     int
	Reports      int
	ReportBytes  int
	// WaitTimeAtTargets is the total time for which tasks waited at targets for a slot.
	WaitTimeAtTargets time.Duration
	// Submissions are all jobs.
	Submissions []*Submission
	// Violations are the violations of invariants.
	Violations []string
	// IdleSlotTime is the slot time that was free while tasks waited in the zone.
	// ObservedSlotTime is the observed slot time, and ContendedSlotTime the share of
	// it in which tasks waited.
	IdleSlotTime      time.Duration
	ObservedSlotTime  time.Duration
	ContendedSlotTime time.Duration

	simulation *Simulation
	usages     []slotUsage
}

// slotUsage is the time for which a task of a client occupies a slot.
type slotUsage struct {
	client  string
	from    time.Time
	runTime time.Duration
}

func newResults(sim *Simulation) *Results { return &Results{simulation: sim} }

func (t *Results) recordViolation(format string, args ...any) {
	t.Violations = append(t.Violations, fmt.Sprintf(format, args...))
}

// recordStart counts a start of a task and checks that it is the only one and that
// the job was not refused.
func (t *Results) recordStart(sub *Submission, task int) {
	sub.startCounts[task]++
	if sub.startCounts[task] > 1 {
		t.recordViolation("starts at most once: task %[3]d of job %[1]d of %[2]s was started again", sub.TicketNumber, sub.Client, task)
	}
	if answer := sub.Answer; answer != nil && answer.Outcome == shallotrouter.Refused {
		t.recordViolation("not run is true: job %d of %s was started after its refusal", sub.TicketNumber, sub.Client)
	}
}

// checkLeaving checks that a leaving target gets no more tasks after
// maxLeavingDelay, counted from the time when a host with connections to its peers
// learns from the host list or from the target's answer that the target is leaving.
func (t *Results) checkLeaving(n *EntryHost, b *Target) {
	since := b.leavingKnownAt
	if n.reachableSince.After(since) {
		since = n.reachableSince
	}
	if !b.leavingKnownAt.IsZero() && !n.Partitioned && t.simulation.now.Sub(since) > maxLeavingDelay {
		t.recordViolation("leaving targets get nothing: %s got a task from %s %v after it was known to be leaving", b.Name, n.Name, t.simulation.now.Sub(since))
	}
	t.recordLeavingKnown(n, b)
}

// recordLeavingKnown records that a host knows that a target is leaving. The check
// applies to the other hosts after reportDelay, when the host has reported it to them.
func (t *Results) recordLeavingKnown(n *EntryHost, b *Target) {
	t.simulation.Schedule(reportDelay, func() {
		if b.leavingKnownAt.IsZero() && !n.Partitioned && !n.Paused && !n.Exited {
			b.leavingKnownAt = t.simulation.now
		}
	})
}

// reportDelay is the time within which an urgent report reaches the peers.
const reportDelay = 150 * time.Millisecond

// maxLeavingDelay is the time after which a leaving target must get no new task.
const maxLeavingDelay = 3 * time.Second

// recordUsage records that a task of the client occupies a slot from now on.
func (t *Results) recordUsage(client string, runTime time.Duration) {
	t.usages = append(t.usages, slotUsage{client: client, from: t.simulation.now, runTime: runTime})
}

// checkAnswer compares an answer with the tasks that the targets started and ended.
func (t *Results) checkAnswer(sub *Submission, answer *shallotrouter.Answer) {
	started := 0
	for _, n := range sub.startCounts {
		started += n
	}
	switch answer.Outcome {
	case shallotrouter.Complete:
		for i, ended := range sub.endedTasks {
			if !ended {
				t.recordViolation("complete or failed: job %d of %s is complete without task %d", sub.TicketNumber, sub.Client, i)
			}
		}
		if len(answer.Results) != len(sub.RunTimes) {
			t.recordViolation("whole answers: job %d of %s has %d results", sub.TicketNumber, sub.Client, len(answer.Results))
		}
	case shallotrouter.Refused:
		if started > 0 {
			t.recordViolation("not run is true: job %d of %s was refused after %d of its tasks were started", sub.TicketNumber, sub.Client, started)
		}
	case shallotrouter.Failed, shallotrouter.Lost:
	}
}

// StartSampling samples the slots of each zone at the given interval.
func (t *Results) StartSampling(interval time.Duration) {
	t.simulation.Schedule(interval, func() {
		t.sampleSlots(interval)
		t.StartSampling(interval)
	})
}

func (t *Results) sampleSlots(interval time.Duration) {
	sim := t.simulation
	for z := range sim.Zones {
		zone := fmt.Sprintf("z%d", z)
		free, waiting, slots := 0, 0, 0
		for _, b := range sim.AllTargets {
			if b.Zone == zone && !b.Exited && !b.Leaving && !b.FailTasks && b.SlowFactor == 1 {
				free += sim.Slots - b.running
				slots += sim.Slots
			}
		}
		for _, n := range sim.EntryHosts {
			if n.Zone == zone && !n.Exited {
				waiting += n.Scheduler.WaitingTasks()
			}
		}
		t.ObservedSlotTime += time.Duration(slots) * interval
		if waiting > 0 {
			t.ContendedSlotTime += time.Duration(slots) * interval
			t.IdleSlotTime += time.Duration(min(free, waiting)) * interval
		}
	}
}

// IdealResponseTime returns the response time of a job on an idle deployment, or on its client's
// fair share of a busy deployment, whichever is longer.
func (t *Results) IdealResponseTime(sub *Submission, clients int) time.Duration {
	longest, work := time.Duration(0), time.Duration(0)
	for _, runTime := range sub.RunTimes {
		longest = max(longest, runTime)
		work += runTime
	}
	slots := float64(t.simulation.Targets*t.simulation.Slots) / float64(clients)
	networkDelay := 2*t.simulation.ClientDelay + 2*t.simulation.IntraZoneDelay
	return max(longest, time.Duration(float64(work)/slots)) + networkDelay
}

// Slowdowns returns the sorted slowdowns of a client's complete jobs that were
// submitted from one time until another; an empty client means all clients.
func (t *Results) Slowdowns(client string, clients int, from, to time.Duration) []float64 {
	var list []float64
	for _, sub := range t.Submissions {
		if client != "" && sub.Client != client || sub.SubmittedAt.Before(epoch.Add(from)) || !sub.SubmittedAt.Before(epoch.Add(to)) {
			continue
		}
		if sub.Answer == nil || sub.Answer.Outcome != shallotrouter.Complete {
			continue
		}
		list = append(list, sub.AnsweredAt.Sub(sub.SubmittedAt).Seconds()/t.IdealResponseTime(sub, clients).Seconds())
	}
	slices.Sort(list)
	return list
}

// Outcomes counts by outcome the jobs that were submitted from one time until
// another. A job without an answer counts as open, a lost job as failed.
func (t *Results) Outcomes(from, to time.Duration) (complete, failed, refused, open int) {
	for _, sub := range t.Submissions {
		if sub.SubmittedAt.Before(epoch.Add(from)) || !sub.SubmittedAt.Before(epoch.Add(to)) {
			continue
		}
		switch {
		case sub.Answer == nil:
			open++
		case sub.Answer.Outcome == shallotrouter.Complete:
			complete++
		case sub.Answer.Outcome == shallotrouter.Refused:
			refused++
		default:
			failed++
		}
	}
	return complete, failed, refused, open
}

// MinJainIndex returns the lowest Jain fairness index of the clients' slot time over their
// weights in any window of the given length between two times.
func (t *Results) MinJainIndex(clients []string, weights []float64, window, from, to time.Duration) float64 {
	minIndex := 1.0
	for start := from; start+window <= to; start += window / 5 {
		sum, squares := 0.0, 0.0
		for i, client := range clients {
			used := t.usedBetween(client, epoch.Add(start), epoch.Add(start+window)).Seconds() / weights[i]
			sum += used
			squares += used * used
		}
		minIndex = min(minIndex, sum*sum/(float64(len(clients))*squares))
	}
	return minIndex
}

// usedBetween returns the slot time that a client used between two times.
func (t *Results) usedBetween(client string, from, to time.Time) time.Duration {
	var total time.Duration
	for _, u := range t.usages {
		if u.client != client {
			continue
		}
		begin, end := u.from, u.from.Add(u.runTime)
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(begin))
	}
	return total
}

// Mean returns the arithmetic mean of the values.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Quantile returns the q-quantile of sorted values, NaN if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

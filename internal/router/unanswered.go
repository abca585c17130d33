package router

import (
	"math"
	"time"
)

// orderAnswers decides from the answers to earlier Start and Stop orders how long an order waits for
// its answer, how often it is repeated, and which targets are avoided. Targets under load or behind a
// faulty network execute orders seconds late, or do not answer them, while they still answer renewals.
// Until some orders have gone without an answer, all decisions are those of Bounds. The zero value
// is ready to use.
type orderAnswers struct {
	all      answerStats // of Start and Stop orders
	renewals answerStats
	byTarget map[string]*targetAnswers
	// loggedOrders and loggedRenewals are what was last logged; see Router.logOrderAnswers.
	loggedOrders, loggedRenewals bool
}

// answerStats counts orders with and without an answer. The counts decay exponentially.
type answerStats struct {
	answered, unanswered float64
	updatedAt            time.Time
	// mean and deviation describe the time from an order to its answer, in seconds. The deviation is
	// the mean absolute one.
	mean, deviation float64
	samples         int
}

// targetAnswers are the answers of one target.
type targetAnswers struct {
	answerStats
	inRow int // consecutive orders without an answer
	// openSince is when the circuit breaker of the target was opened; zero while it is closed.
	openSince time.Time
	probedAt  time.Time // when the last probe was sent
	// idleClosedAt is when idle connections to the target were last closed for an order without an answer.
	idleClosedAt time.Time
	lastStop     Stop // the last Stop order that was sent, which serves as a probe
}

const (
	// answerWindow is the time constant of the counts. It covers some tens of orders to a target, and
	// is short compared with the faults of 5 s and more that it detects.
	answerWindow = time.Second
	// minUnanswered is the number of recent orders without an answer from which orders are repeated
	// early. A target that has ended leaves fewer, before its renewals fail.
	minUnanswered = 2.5
	// minUnansweredShare is the share of recent orders without an answer from which orders are
	// repeated early. Below it, one job in five with 8 tasks waits for Bounds.OrderTimeout. One target of
	// a hundred that ends, or a holder whose processor is full for a moment, leaves a smaller share; early
	// repeats would add to the work of such a holder.
	minUnansweredShare = 0.03
	// minUnansweredRenewals is the share of recent renewals without an answer from which renewals wait
	// less. A single target that has ended leaves a smaller one.
	minUnansweredRenewals = 0.05
	// unansweredRenewWait is how long the answer to a renewal may wait for the end of a run while
	// renewals go without an answer. The ends of runs are seen that much later if it does.
	unansweredRenewWait = 100 * time.Millisecond
	// maxToleratedMisses is the number of consecutive renewals without an answer, while these are
	// frequent, up to which a target does not count as unresponsive: with half of them unanswered, one
	// sequence in 64 is longer.
	maxToleratedMisses = 5
	// answerTimeWindow is the number of answers over which their time is averaged.
	answerTimeWindow = 64
	// answerTimeDeviations is the number of mean deviations beyond the mean after which an answer counts
	// as overdue, as for the retransmissions of TCP.
	answerTimeDeviations = 4
	// minOrderTimeout is the shortest time after which an order is repeated. A host or a target with a
	// share of a core is paused for a part of 100 ms at times, and an order that is repeated too early
	// costs a connection: after 10 ms, three orders in ten were, when one in twenty was unanswered.
	minOrderTimeout = 40 * time.Millisecond
	// minFrequentTimeout replaces it from frequentlyUnanswered on: several round trips between zones. Then
	// most orders that are repeated were not answered, and most jobs wait for one.
	minFrequentTimeout   = 10 * time.Millisecond
	frequentlyUnanswered = 0.15
	// maxStartAttempts is the number of times that a Start is sent, each for Bounds.OrderTimeout. While
	// orders are repeated early, there are as many attempts as take the same time together.
	maxStartAttempts = 2
	// maxEarlyStops bounds the Stop orders for a run that follow each other without a pause.
	maxEarlyStops = 6
	// inRowToOpen is the number of consecutive orders without an answer at which the circuit breaker of
	// a target opens. With half of the orders unanswered, one sequence in 1,024 is as long.
	inRowToOpen = 10
	// closeIdleInterval is the shortest time between two closings of the idle connections to a target
	// while orders go without an answer: connections that were opened since are not the cause, and each
	// one that is closed costs the next order a round trip.
	closeIdleInterval = 500 * time.Millisecond
	// maxOpenFraction is the part of a service's targets that may be avoided for unanswered orders. If
	// more do not answer, their tasks have nowhere else to start.
	maxOpenFraction = 1.0 / 3
	// probeInterval is the time between two probes of an avoided target.
	probeInterval = 250 * time.Millisecond
	// excessToPenalize is by how much the unanswered share of a target exceeds that of all targets
	// before others are preferred.
	excessToPenalize = 0.1
	// unansweredPenalty is the penalty per task of the job for a target all of whose orders are
	// unanswered, in thousandths of a core. A job ends with its last task, so that jobs with many tasks
	// avoid such targets most. At 8 tasks it outweighs any difference in free CPU, and it is below
	// latePenalty.
	unansweredPenalty = 100_000
	// maxPenalizedTasks bounds the number of tasks that count for unansweredPenalty.
	maxPenalizedTasks = 8
)

// decay returns by how much counts have decayed since updatedAt.
func (s *answerStats) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(s.updatedAt).Seconds() / answerWindow.Seconds())
}

// record counts an order.
func (s *answerStats) record(now time.Time, answered bool) {
	d := s.decay(now)
	s.answered, s.unanswered, s.updatedAt = s.answered*d, s.unanswered*d, now
	if answered {
		s.answered++
		return
	}
	s.unanswered++
}

// recordTime adds the time from an order to its answer to the mean.
func (s *answerStats) recordTime(took time.Duration) {
	s.samples++
	w := 1 / float64(min(s.samples, answerTimeWindow))
	difference := took.Seconds() - s.mean
	s.mean += w * difference
	s.deviation += w * (math.Abs(difference) - s.deviation)
}

// share returns the share of recent orders without an answer.
func (s *answerStats) share() float64 { return s.unanswered / max(s.answered+s.unanswered, 1) }

// shareAt returns the share of orders without an answer, which falls while no orders are sent.
func (s *answerStats) shareAt(now time.Time) float64 { return s.share() * s.decay(now) }

// targetOf returns the answers of a target, which it creates if there are none.
func (a *orderAnswers) targetOf(id string) *targetAnswers {
	t := a.byTarget[id]
	if t == nil {
		if a.byTarget == nil {
			a.byTarget = make(map[string]*targetAnswers)
		}
		t = &targetAnswers{}
		a.byTarget[id] = t
	}
	return t
}

// record counts an order to a target.
func (a *orderAnswers) record(now time.Time, id string, answered bool) {
	a.all.record(now, answered)
	t := a.targetOf(id)
	t.record(now, answered)
	if answered {
		t.inRow = 0
		return
	}
	t.inRow++
}

// areUnanswered reports whether orders have recently gone without an answer, so that they are
// repeated early.
func (a *orderAnswers) areUnanswered(now time.Time) bool {
	return a.all.unanswered*a.all.decay(now) >= minUnanswered && a.all.share() >= minUnansweredShare
}

// areRenewalsUnanswered reports whether renewals have recently gone without an answer.
func (a *orderAnswers) areRenewalsUnanswered(now time.Time) bool {
	return a.renewals.unanswered*a.renewals.decay(now) >= minUnanswered && a.renewals.share() >= minUnansweredRenewals
}

// overdueAfter returns the time after which an order without an answer is repeated, at most
// orderTimeout. It follows the times of the answers that have arrived, which include delays
// of this host, so that a host which lacks processor time does not repeat orders that are answered.
func (a *orderAnswers) overdueAfter(orderTimeout time.Duration) time.Duration {
	if a.all.samples == 0 {
		return orderTimeout
	}
	least := minOrderTimeout
	if a.all.share() >= frequentlyUnanswered {
		least = minFrequentTimeout
	}
	return min(max(seconds(a.all.mean+answerTimeDeviations*a.all.deviation), least), orderTimeout)
}

// startAttempts returns how many times a Start is sent before its run counts as unconfirmed. All
// but the last wait for overdueAfter; the last waits for orderTimeout, so that slow answers are seen.
func (a *orderAnswers) startAttempts(now time.Time, orderTimeout time.Duration) int {
	if !a.areUnanswered(now) {
		return maxStartAttempts
	}
	return 1 + int((maxStartAttempts-1)*orderTimeout/a.overdueAfter(orderTimeout))
}

// isOpen reports whether a target is avoided because it does not answer orders. It is false for nil.
func (t *targetAnswers) isOpen() bool { return t != nil && !t.openSince.IsZero() }

// penalty returns the penalty of a target for a task of a job with a number of tasks, in
// thousandths of a core.
func (a *orderAnswers) penalty(now time.Time, id string, tasks int) int {
	if a.all.unanswered < minUnanswered { // seldom more: this is asked for each candidate
		return 0
	}
	t := a.byTarget[id]
	if t == nil || !a.areUnanswered(now) {
		return 0
	}
	excess := t.shareAt(now) - a.all.share()
	if excess < excessToPenalize {
		return 0
	}
	return int(unansweredPenalty * excess * float64(min(tasks, maxPenalizedTasks)))
}

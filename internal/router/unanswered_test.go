package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recordOrders records orders to a target in turn, with the answers at their usual time.
func recordOrders(a *orderAnswers, now time.Time, id string, answers ...bool) {
	for _, answered := range answers {
		a.record(now, id, answered)
		if answered {
			a.all.recordTime(time.Millisecond)
		}
	}
}

// TestOrdersAreRepeatedEarlyOnlyWhileUnanswered guards against early repeats because of one target that has
// ended, after the fault, or at a host whose answers are late for lack of processor time.
func TestOrdersAreRepeatedEarlyOnlyWhileUnanswered(t *testing.T) {
	now, timeout := time.Unix(testEpoch, 0), Standard().OrderTimeout
	a := &orderAnswers{}
	assert.Equal(t, maxStartAttempts, a.startAttempts(now, timeout))
	recordOrders(a, now, "p", true, true, false, false)
	assert.False(t, a.areUnanswered(now))
	recordOrders(a, now, "q", false, true)
	assert.True(t, a.areUnanswered(now))
	assert.Equal(t, minFrequentTimeout, a.overdueAfter(timeout))
	assert.Equal(t, 11, a.startAttempts(now, timeout))
	for range 20 {
		recordOrders(a, now, "r", true)
	}
	assert.True(t, a.areUnanswered(now))
	assert.Equal(t, minOrderTimeout, a.overdueAfter(timeout), "few orders are unanswered, and others may only be slow")
	for i := range answerTimeWindow {
		a.all.recordTime(time.Duration(2*i) * time.Millisecond) // the host lags
	}
	assert.Equal(t, timeout, a.overdueAfter(timeout))
	assert.Equal(t, maxStartAttempts, a.startAttempts(now, timeout))
	assert.False(t, a.areUnanswered(now.Add(2*answerWindow)))
}

// TestWideJobsAvoidTargetsThatAnswerLess guards against jobs with many tasks at targets that leave more orders
// unanswered than others, and against a preference where all targets are alike.
func TestWideJobsAvoidTargetsThatAnswerLess(t *testing.T) {
	now := time.Unix(testEpoch, 0)
	a := &orderAnswers{}
	for range 4 {
		recordOrders(a, now, "bad", false, true)
		recordOrders(a, now, "good", true, true, true, true)
	}
	assert.Zero(t, a.penalty(now, "good", 8))
	assert.Greater(t, a.penalty(now, "bad", 8), 3*a.penalty(now, "bad", 2))
	assert.Less(t, a.penalty(now, "bad", MaxTasks), latePenalty)
	assert.Zero(t, a.penalty(now.Add(2*answerWindow), "bad", 8), "it is tried again")
	alike := &orderAnswers{}
	for i := range 16 {
		recordOrders(alike, now, fmt.Sprint(i%4), false, true)
	}
	assert.Zero(t, alike.penalty(now, "1", 8))
}

// failOrders lets a number of orders to targets of the bed go unanswered.
func (b *holderBed) failOrders(count int) {
	for range count {
		for _, t := range b.router.sortedTargets {
			b.router.recordOrder(t, false)
		}
	}
}

// TestUnconfirmedRunIsOverOnceItsStartHasLapsed guards against room and tasks that wait for an answered
// Stop although no Start of the run can be executed any more, and against a second run before that.
func TestUnconfirmedRunIsOverOnceItsStartHasLapsed(t *testing.T) {
	for _, c := range []struct {
		after time.Duration // from the last Start
		over  bool
	}{{500 * time.Millisecond, false}, {time.Second, false}, {time.Second + 2*leaseExpiryMargin, true}} {
		b := newHolderBed(t, 2, ClaimWon)
		first, _ := b.startTask("j", NoAnswer)
		b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: NoAnswer})
		n := b.router.jobs["j"].tasks[0].run
		require.Equal(t, runUnconfirmed, n.state)
		b.now = b.now.Add(c.after)
		starts := effectsOf[Start](b.answerRenewal(Renew{Target: first.Target, Token: first.Token, Poll: true}))
		require.Equal(t, c.over, len(starts) == 1, "%v after the Start", c.after)
		if c.over {
			assert.Greater(t, starts[0].Run, first.Run, "the target must reject the first run beside this one")
		}
	}
}

// TestRunWhoseClockIsUnknownDoesNotLapse: a Start without a lease end that is known here proves nothing.
func TestRunWhoseClockIsUnknownDoesNotLapse(t *testing.T) {
	n := &run{state: runUnconfirmed}
	for _, leaseEnds := range [][]int64{{0}, {0, 900}, {900, 0}} {
		n.attempts, n.startLeaseEnd = 0, 0
		for _, end := range leaseEnds {
			n.recordAttempt(time.Unix(testEpoch, 0), end)
		}
		assert.False(t, n.hasLapsedUnstarted(Reading{Millis: 1e9}), "%v", leaseEnds)
	}
	n.attempts = 0
	n.recordAttempt(time.Unix(testEpoch, 0), 900)
	n.recordAttempt(time.Unix(testEpoch, 0), 800)
	assert.False(t, n.hasLapsedUnstarted(Reading{Millis: 940}))
	assert.True(t, n.hasLapsedUnstarted(Reading{Millis: 960}))
}

// TestStopIsRepeatedEarlyUntilAnswered guards against room that waits for stopRetryInterval while
// Stop orders go unanswered, and against a repeated Stop that makes an answered one count for nothing.
func TestStopIsRepeatedEarlyUntilAnswered(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	first, _ := b.startTask("j", NoAnswer)
	b.failOrders(1)
	stop := StopAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run}
	b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: NoAnswer})
	n := b.router.jobs["j"].tasks[0].run
	for n.state != runUnconfirmed {
		b.step(StartAnswered{Target: first.Target.ID, Task: first.Task, Run: first.Run, Result: NoAnswer})
	}
	for range maxEarlyStops - 1 {
		assert.Len(t, effectsOf[Stop](b.step(stop)), 1)
	}
	assert.Empty(t, effectsOf[Stop](b.step(stop)), "the next one follows after a pause")
	stop.Acknowledged = true
	b.step(stop)
	b.router.stopRun(n)
	b.now = b.now.Add(time.Millisecond)
	assert.Len(t, effectsOf[Start](b.answerRenewal(Renew{Target: first.Target, Token: first.Token, Poll: true})), 1)
}

// TestTargetWithoutAnswersIsAvoidedUntilProbed guards against tasks at a target that answers renewals but
// no orders, and against more than a third of the targets being avoided.
func TestTargetWithoutAnswersIsAvoidedUntilProbed(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	first, _ := b.startTask("j", Running)
	b.router.stopRun(b.router.jobs["j"].tasks[0].run)
	bad := b.router.targets[first.Target.ID]
	for range inRowToOpen {
		b.router.recordOrder(bad, false)
	}
	assert.Equal(t, Unheard, b.router.targetStatus(bad))
	assert.Equal(t, 1, b.router.View().Orders.AvoidedTargets)
	b.failOrders(inRowToOpen)
	assert.Equal(t, 1, b.router.View().Orders.AvoidedTargets, "two of four are more than a third")
	for i := range 6 {
		starts := effectsOf[Start](b.step(Submit{Request: uint64(10 + i), Job: twoTaskJob(fmt.Sprint("k", i)), Budget: 5 * time.Second}))
		for _, start := range starts {
			assert.NotEqual(t, bad.ID, start.Target.ID)
		}
	}
	probes := effectsOf[Stop](b.advance(b.router.Bounds.TickInterval))
	require.NotEmpty(t, probes)
	assert.Equal(t, first.Task, probes[0].Task)
	assert.Equal(t, first.Run, probes[0].Run, "a probe must stop no other run")
	b.step(StopAnswered{Target: bad.ID, Task: first.Task, Run: first.Run, Acknowledged: true})
	assert.NotEqual(t, Unheard, b.router.targetStatus(bad))
}

// TestMissedRenewalsAreToleratedWhileFrequent guards against targets that count as unresponsive, and lose their
// leases, after one renewal of many that go unanswered; and against a target that has ended counting as responsive.
func TestMissedRenewalsAreToleratedWhileFrequent(t *testing.T) {
	b := newHolderBed(t, 4, ClaimWon)
	miss := func(id string) {
		b.step(RenewAnswered{Target: id, Token: b.router.targets[id].token, SentAt: b.now, Result: NoAnswer})
	}
	miss("p")
	assert.True(t, b.router.isUnresponsive(b.router.targets["p"]), "one renewal alone")
	b.answerRenewal(Renew{Target: b.router.targets["p"].Target, Token: b.router.targets["p"].token})
	for _, id := range []string{"p", "q", "r"} {
		miss(id)
	}
	assert.False(t, b.router.isUnresponsive(b.router.targets["r"]))
	for range maxToleratedMisses {
		miss("r")
	}
	assert.True(t, b.router.isUnresponsive(b.router.targets["r"]))
}

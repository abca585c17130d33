package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
)

// harness drives a scheduler in a test.
type harness struct {
	*Scheduler
	t       *testing.T
	now     time.Time
	request uint64
}

const configText = `[service s]
slots = 2
[client a]
token = sha256:0000000000000000000000000000000000000000000000000000000000000001
[client b]
token = sha256:0000000000000000000000000000000000000000000000000000000000000002
weight = 3
[preset peak]
queue = 5
`

// newHarness returns a serving scheduler with the given number of targets.
func newHarness(t *testing.T, targets int) *harness {
	b := &harness{t: t, now: time.Unix(1000, 0), Scheduler: &Scheduler{Host: "h1", Zone: "z", Address: "h1", Bounds: Standard(), Incarnation: 1}}
	b.step(Adopt{Config: config(t, 1, declarer.Ordinary)})
	b.step(Locate{Directory: directory(1, targets)})
	require.Equal(t, Serving, b.Phase())
	return b
}

func config(t *testing.T, version uint64, preset declarer.PresetName) *declarer.Config {
	raw, err := declarer.Row{Text: configText, Preset: preset}.Encode()
	require.NoError(t, err)
	c, err := declarer.Decode(version, raw)
	require.NoError(t, err)
	return c
}

func directory(version uint64, targets int) Directory {
	d := Directory{Version: version, Zone: "z"}
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		d.Hosts = append(d.Hosts, Host{Name: name, Role: Target, Address: name, Service: "s"})
	}
	return d
}

// step applies an event one millisecond after the last. A broken invariant fails
// the test.
func (b *harness) step(e Event) []Effect {
	b.t.Helper()
	return b.stepAfter(time.Millisecond, e)
}

func (b *harness) stepAfter(d time.Duration, e Event) []Effect {
	b.t.Helper()
	b.now = b.now.Add(d)
	effects := append([]Effect(nil), b.Step(b.now, e)...)
	for _, x := range effects {
		if v, ok := x.(Violation); ok {
			b.t.Errorf("%s: %s", v.Invariant, v.Detail)
		}
	}
	return effects
}

// advance advances the time in ticks.
func (b *harness) advance(d time.Duration) []Effect {
	var all []Effect
	for end := b.now.Add(d); b.now.Before(end); {
		all = append(all, b.stepAfter(b.Bounds.TickInterval, Tick{})...)
	}
	return all
}

// takeTicket returns a new ticket number.
func (b *harness) takeTicket() uint64 {
	issued := effectsOf[Issued](b.step(Issue{Client: "a", Count: 1}))
	require.Len(b.t, issued, 1)
	require.Nil(b.t, issued[0].Err)
	return issued[0].First
}

// submit submits a job with the given number of tasks.
func (b *harness) submit(client string, number uint64, tasks int, deadline time.Duration) []Effect {
	b.request++
	job := shallotrouter.Job{Service: "s", Deadline: shallotrouter.Duration(deadline)}
	for range tasks {
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "k", Expect: shallotrouter.Duration(100 * time.Millisecond)})
	}
	return b.step(Submit{Request: b.request, Client: client, Number: number, Job: job})
}

// endStart reports the result of a start.
func (b *harness) endStart(s Start, result Result) []Effect {
	return b.step(RunEnded{Number: s.Number, Task: s.Task, Target: s.Target, Result: result, Elapsed: 100 * time.Millisecond})
}

// effectsOf returns the effects of one type.
func effectsOf[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func TestResubmissionGetsTheSameAnswer(t *testing.T) {
	b := newHarness(t, 1)
	n := b.takeTicket()
	starts := effectsOf[Start](b.submit("a", n, 2, time.Second))
	require.Len(t, starts, 2)
	assert.Empty(t, effectsOf[Reply](b.endStart(starts[0], Done)))
	assert.Empty(t, effectsOf[Reply](b.submit("a", n, 2, time.Second)), "the resubmission waits for the same answer")
	replies := effectsOf[Reply](b.endStart(starts[1], Done))
	require.Len(t, replies, 2)
	for _, r := range replies {
		assert.Equal(t, shallotrouter.Complete, r.Answer.Outcome)
		assert.Len(t, r.Answer.Results, 2)
	}
	replies = effectsOf[Reply](b.submit("a", n, 2, time.Second))
	require.Len(t, replies, 1)
	assert.Equal(t, shallotrouter.Complete, replies[0].Answer.Outcome)
	replies = effectsOf[Reply](b.submit("b", n, 2, time.Second))
	require.Len(t, replies, 1)
	assert.Equal(t, shallotrouter.Unauthorized, replies[0].Answer.Reason)
	b.advance(b.Bounds.AnswerRetention + time.Second)
	replies = effectsOf[Reply](b.submit("a", n, 2, time.Second))
	require.Len(t, replies, 1)
	assert.Equal(t, shallotrouter.Lost, replies[0].Answer.Outcome, "the job of a dropped answer may have run")
}

func TestTaskThatDidNotStartIsPlacedAgain(t *testing.T) {
	for _, result := range []Result{Busy, OrderExpired, Leaving, NotSent} {
		b := newHarness(t, 2)
		start := effectsOf[Start](b.submit("a", b.takeTicket(), 1, time.Second))[0]
		again := effectsOf[Start](append(b.endStart(start, result), b.advance(500*time.Millisecond)...))
		require.Len(t, again, 1, result)
		replies := effectsOf[Reply](b.endStart(again[0], Done))
		require.Len(t, replies, 1, result)
		assert.Equal(t, shallotrouter.Complete, replies[0].Answer.Outcome)
	}
}

func TestTaskThatMayHaveStartedIsNotPlacedAgain(t *testing.T) {
	for _, result := range []Result{Failed, NoAnswer} {
		b := newHarness(t, 2)
		starts := effectsOf[Start](b.submit("a", b.takeTicket(), 6, 2*time.Second))
		require.Len(t, starts, 4)
		effects := b.endStart(starts[0], result)
		replies := effectsOf[Reply](effects)
		require.Len(t, replies, 1)
		assert.Equal(t, shallotrouter.Failed, replies[0].Answer.Outcome)
		assert.Empty(t, effectsOf[Start](append(effects, b.advance(3*time.Second)...)), "the other tasks are withdrawn")
		assert.Zero(t, b.WaitingTasks())
		for _, s := range starts[1:] {
			assert.Empty(t, effectsOf[Reply](b.endStart(s, Done)), "a run that ends after the job's answer changes nothing")
		}
	}
}

// TestRefusedJobIsNotStarted provokes every kind of refusal and requires that no
// task of the refused job starts.
func TestRefusedJobIsNotStarted(t *testing.T) {
	occupyAllSlots := func(b *harness) { // all slots are taken by another client
		b.submit("b", b.takeTicket(), 2, time.Hour)
	}
	cases := []struct {
		reason     shallotrouter.Reason
		retryAfter bool // whether the refusal names a delay before a retry
		act        func(b *harness, n uint64) []Effect
	}{
		{shallotrouter.Expired, false, func(b *harness, n uint64) []Effect {
			b.advance(b.Bounds.TicketLifetime + b.Bounds.TicketLifetime/32)
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Maintenance, true, func(b *harness, n uint64) []Effect {
			b.step(Adopt{Config: config(b.t, 2, declarer.Maintenance)})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Overload, true, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			b.step(Adopt{Config: config(b.t, 2, declarer.Peak)})
			b.submit("a", b.takeTicket(), 5, time.Hour)
			return b.submit("a", n, 1, time.Hour)
		}},
		{shallotrouter.Deadline, true, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			b.submit("a", b.takeTicket(), 100, time.Hour)
			return b.submit("a", n, 1, 50*time.Millisecond)
		}},
		{shallotrouter.Deadline, true, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			return append(b.submit("a", n, 1, 200*time.Millisecond), b.advance(time.Second)...)
		}},
		{shallotrouter.Unready, true, func(b *harness, n uint64) []Effect {
			b.step(Locate{Directory: directory(2, 0)})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Draining, true, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			b.step(Drain{})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Draining, true, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			b.submit("a", n, 1, time.Second)
			return b.step(Stop{})
		}},
		{shallotrouter.Paused, true, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			b.submit("a", n, 1, time.Hour)
			return b.stepAfter(b.Bounds.PauseThreshold+time.Second, Tick{})
		}},
		{shallotrouter.Cancelled, false, func(b *harness, n uint64) []Effect {
			occupyAllSlots(b)
			b.submit("a", n, 1, time.Second)
			return b.step(Cancel{Request: 99, Client: "a", Number: n})
		}},
		{shallotrouter.Cancelled, false, func(b *harness, n uint64) []Effect {
			b.step(Cancel{Request: 99, Client: "a", Number: n})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Unknown, false, func(b *harness, n uint64) []Effect {
			b.request++
			return b.step(Submit{Request: b.request, Client: "a", Number: n, Job: shallotrouter.Job{Service: "none"}})
		}},
	}
	for _, c := range cases {
		b := newHarness(t, 1)
		n := b.takeTicket()
		effects := c.act(b, n)
		found := false
		for _, r := range effectsOf[Reply](effects) {
			if r.Number == n {
				found = true
				assert.Equal(t, shallotrouter.Refused, r.Answer.Outcome, c.reason)
				assert.Equal(t, c.reason, r.Answer.Reason)
				assert.Equal(t, c.retryAfter, r.Answer.After > 0, "%s: %s", c.reason, r.Answer.Message)
			}
		}
		assert.True(t, found, "a job refused as %s has an answer", c.reason)
		for _, s := range effectsOf[Start](append(effects, b.advance(2*time.Second)...)) {
			assert.NotEqual(t, n, s.Number, c.reason)
		}
	}
}

// TestOlderConfigurationIsIgnored delivers configuration versions out of order.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := newHarness(t, 1)
	b.step(Adopt{Config: config(t, 5, declarer.Peak)})
	b.step(Adopt{Config: config(t, 4, declarer.Maintenance)})
	b.step(Adopt{Config: config(t, 5, declarer.Maintenance)})
	v := b.View().Config
	assert.Equal(t, uint64(5), v.Version)
	assert.Equal(t, declarer.Peak, v.ActivePreset().Name)
}

// TestNothingStartsAfterPauseBeforeStateIsRead requires that nothing starts between
// the end of a pause and the arrival of current state, and that a host that is cut
// off resumes after a timeout.
func TestNothingStartsAfterPauseBeforeStateIsRead(t *testing.T) {
	for _, fresh := range []Event{DirectoryUnchanged{Version: 1}, ReportReceived{Report: Report{Host: "h2", Zone: "z"}}, nil} {
		b := newHarness(t, 1)
		n := b.takeTicket()
		effects := b.stepAfter(b.Bounds.PauseThreshold+time.Second, Tick{})
		assert.Len(t, effectsOf[Refresh](effects), 1)
		assert.Equal(t, Suspended, b.Phase())
		assert.Empty(t, effectsOf[Start](b.submit("a", n, 1, time.Second)))
		if fresh != nil {
			b.step(fresh)
		} else {
			b.advance(resumeTimeout + time.Second)
		}
		assert.Equal(t, Serving, b.Phase())
		assert.Len(t, effectsOf[Start](b.submit("a", n, 1, time.Second)), 1, "the ticket of the refused job is still valid")
	}
}

// TestAlwaysFailingClientDoesNotEjectTargets requires that a client whose tasks fail
// at every target does not get the targets ejected.
func TestAlwaysFailingClientDoesNotEjectTargets(t *testing.T) {
	b := newHarness(t, 12) // 4 of them may be ejected
	for range 60 {
		for _, s := range effectsOf[Start](b.submit("a", b.takeTicket(), 1, time.Minute)) {
			b.endStart(s, Failed)
		}
	}
	ejected := 0
	for _, x := range b.targets {
		if x.state() == Ejected {
			ejected++
		}
	}
	assert.LessOrEqual(t, ejected, 2, "targets that were ejected before the failures were attributed to the client")
	assert.False(t, b.failureRecordOf(&job{service: "s", client: "a"}).failureRate < alwaysFailingRate)
}

// TestCancelCostIsFlat requires that the cost of a cancellation does not depend on
// the number of waiting tasks.
func TestCancelCostIsFlat(t *testing.T) {
	cost := func(tasks int) float64 {
		b := newHarness(t, 1)
		b.submit("b", b.takeTicket(), 2, time.Hour)
		var numbers []uint64
		for range 12 {
			numbers = append(numbers, b.takeTicket())
			b.submit("a", numbers[len(numbers)-1], tasks, time.Hour)
		}
		next := 0
		return testing.AllocsPerRun(10, func() {
			b.Step(b.now, Cancel{Request: 1, Client: "a", Number: numbers[next]})
			next++
		})
	}
	assert.InDelta(t, cost(1), cost(200), 1)
}

// TestStatusHidesTokens requires that a status contains no token and no hash of one.
func TestStatusHidesTokens(t *testing.T) {
	b := newHarness(t, 1)
	b.submit("a", b.takeTicket(), 3, time.Second)
	surveyed := effectsOf[HostInspected](b.step(InspectHost{}))
	require.Len(t, surveyed, 1)
	assert.NotContains(t, fmt.Sprintf("%+v", surveyed[0]), strings.Repeat("0", 60))
	assert.Equal(t, 1, surveyed[0].Status.OpenJobs)
}

// TestMoreHostsThanSlotsShareThePool requires that a host gets a slot of a pool with
// fewer slots than hosts when no other host wants one.
func TestMoreHostsThanSlotsShareThePool(t *testing.T) {
	b := newHarness(t, 1)
	for _, name := range []string{"h0", "h2", "h3", "h4"} {
		b.step(ReportReceived{Report: Report{Host: name, Zone: "z", Incarnation: 1}})
	}
	assert.Len(t, effectsOf[Start](append(b.submit("a", b.takeTicket(), 1, time.Second), b.advance(200*time.Millisecond)...)), 1)
}

// TestLongTasksLeaveSlotsForOthers requires that the long tasks of one client leave
// slots for other clients, and that its short tasks may take every slot.
func TestLongTasksLeaveSlotsForOthers(t *testing.T) {
	for _, c := range []struct {
		expect time.Duration
		starts int
	}{{10 * time.Second, 6}, {100 * time.Millisecond, 8}} {
		b := newHarness(t, 4) // 8 slots; long tasks of one client may use 75 % of them
		b.request++
		job := shallotrouter.Job{Service: "s", Deadline: shallotrouter.Duration(time.Hour)}
		for range 20 {
			job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "k", Expect: shallotrouter.Duration(c.expect)})
		}
		starts := effectsOf[Start](b.step(Submit{Request: b.request, Client: "a", Number: b.takeTicket(), Job: job}))
		assert.Len(t, starts, c.starts)
		if c.starts < 8 {
			assert.Len(t, effectsOf[Start](b.submit("b", b.takeTicket(), 1, time.Hour)), 1, "a small job of another client finds a slot")
		}
	}
}

// TestClientsGetRunTimeByWeight requires that clients with waiting tasks get run time
// in proportion to their weights.
func TestClientsGetRunTimeByWeight(t *testing.T) {
	b := newHarness(t, 2)
	for range 20 {
		b.submit("a", b.takeTicket(), 100, time.Hour)
		b.submit("b", b.takeTicket(), 100, time.Hour)
	}
	var inFlight []Start
	count := map[string]int{}
	inFlight = append(inFlight, effectsOf[Start](b.step(Tick{}))...)
	for _, n := range []uint64{1, 2} { // tasks of the first two jobs are in flight already
		for i := range b.jobs[n].tasks {
			if k := &b.jobs[n].tasks[i]; k.state == taskSent {
				inFlight = append(inFlight, Start{Number: n, Task: i, Target: k.target.name, Client: b.jobs[n].client})
			}
		}
	}
	for range 400 {
		s := inFlight[0]
		inFlight = append(inFlight[1:], effectsOf[Start](b.endStart(s, Done))...)
		count[s.Client]++
	}
	assert.InDelta(t, 3, float64(count["b"])/float64(count["a"]), 0.3)
}

// TestTaskReturnedAfterPauseIsNotSentAgain requires that a task that was sent before a
// pause of the process, and provably did not start, is not sent again after it.
func TestTaskReturnedAfterPauseIsNotSentAgain(t *testing.T) {
	for _, first := range []Result{Done, OrderExpired} {
		b := newHarness(t, 1)
		starts := effectsOf[Start](b.submit("a", b.takeTicket(), 2, time.Hour))
		require.Len(t, starts, 2)
		b.stepAfter(b.Bounds.PauseThreshold+time.Second, Tick{})
		effects := append(b.endStart(starts[0], first), b.endStart(starts[1], OrderExpired)...)
		effects = append(effects, b.step(DirectoryUnchanged{Version: 1})...)
		effects = append(effects, b.advance(2*time.Second)...)
		assert.Empty(t, effectsOf[Start](effects))
		replies := effectsOf[Reply](effects)
		require.Len(t, replies, 1)
		assert.Equal(t, shallotrouter.Paused, replies[0].Answer.Reason)
		assert.Equal(t, shallotrouter.Failed, replies[0].Answer.Outcome, "the other task may have run")
	}
}

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

// bench is a scheduler in a test's hands.
type bench struct {
	*Scheduler
	t       *testing.T
	now     time.Time
	request uint64
}

const text = `[service s]
slots = 2
[client a]
token = sha256:0000000000000000000000000000000000000000000000000000000000000001
[client b]
token = sha256:0000000000000000000000000000000000000000000000000000000000000002
weight = 3
[preset peak]
queue = 5
`

// newBench returns a serving scheduler with so many targets.
func newBench(t *testing.T, targets int) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0), Scheduler: &Scheduler{Host: "h1", Zone: "z", Address: "h1", Bounds: Standard(), Incarnation: 1}}
	b.step(Adopt{Config: config(t, 1, declarer.Ordinary)})
	b.step(Locate{Directory: directory(1, targets)})
	require.Equal(t, Serving, b.Phase())
	return b
}

func config(t *testing.T, version uint64, preset declarer.Name) *declarer.Config {
	raw, err := declarer.Row{Text: text, Preset: preset}.Encode()
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

// step applies an event a millisecond later. A broken invariant fails the test.
func (b *bench) step(e Event) []Effect {
	b.t.Helper()
	return b.later(time.Millisecond, e)
}

func (b *bench) later(d time.Duration, e Event) []Effect {
	b.t.Helper()
	b.now = b.now.Add(d)
	effects := append([]Effect(nil), b.Step(b.now, e)...)
	for _, x := range effects {
		if v, ok := x.(Violate); ok {
			b.t.Errorf("%s: %s", v.Invariant, v.Detail)
		}
	}
	return effects
}

// pass lets time pass with ticks.
func (b *bench) pass(d time.Duration) []Effect {
	var all []Effect
	for end := b.now.Add(d); b.now.Before(end); {
		all = append(all, b.later(b.Bounds.Tick, Tick{})...)
	}
	return all
}

// ticket takes a ticket number.
func (b *bench) ticket() uint64 {
	issued := only[Issued](b.step(Issue{Client: "a", Count: 1}))
	require.Len(b.t, issued, 1)
	require.Nil(b.t, issued[0].Err)
	return issued[0].First
}

// submit submits a job of so many tasks.
func (b *bench) submit(client string, number uint64, tasks int, deadline time.Duration) []Effect {
	b.request++
	job := shallotrouter.Job{Service: "s", Deadline: shallotrouter.Duration(deadline)}
	for range tasks {
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "k", Expect: shallotrouter.Duration(100 * time.Millisecond)})
	}
	return b.step(Submit{Request: b.request, Client: client, Number: number, Job: job})
}

// end ends a start.
func (b *bench) end(s Start, result Result) []Effect {
	return b.step(Finish{Number: s.Number, Task: s.Task, Target: s.Target, Result: result, Elapsed: 100 * time.Millisecond})
}

// only returns the effects of one type.
func only[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func TestCompleteAndRepeat(t *testing.T) {
	b := newBench(t, 1)
	n := b.ticket()
	starts := only[Start](b.submit("a", n, 2, time.Second))
	require.Len(t, starts, 2)
	assert.Empty(t, only[Reply](b.end(starts[0], Done)))
	assert.Empty(t, only[Reply](b.submit("a", n, 2, time.Second)), "the repeat waits for the same answer")
	replies := only[Reply](b.end(starts[1], Done))
	require.Len(t, replies, 2)
	for _, r := range replies {
		assert.Equal(t, shallotrouter.Complete, r.Answer.Outcome)
		assert.Len(t, r.Answer.Results, 2)
	}
	replies = only[Reply](b.submit("a", n, 2, time.Second))
	require.Len(t, replies, 1)
	assert.Equal(t, shallotrouter.Complete, replies[0].Answer.Outcome)
	replies = only[Reply](b.submit("b", n, 2, time.Second))
	require.Len(t, replies, 1)
	assert.Equal(t, shallotrouter.Unauthorized, replies[0].Answer.Reason)
	b.pass(b.Bounds.Keep + time.Second)
	replies = only[Reply](b.submit("a", n, 2, time.Second))
	require.Len(t, replies, 1)
	assert.Equal(t, shallotrouter.Lost, replies[0].Answer.Outcome, "a forgotten answer may have run")
}

func TestNotStartedIsPlacedAgain(t *testing.T) {
	for _, result := range []Result{Busy, Late, Leaving, Unsent} {
		b := newBench(t, 2)
		start := only[Start](b.submit("a", b.ticket(), 1, time.Second))[0]
		again := only[Start](append(b.end(start, result), b.pass(500*time.Millisecond)...))
		require.Len(t, again, 1, result)
		replies := only[Reply](b.end(again[0], Done))
		require.Len(t, replies, 1, result)
		assert.Equal(t, shallotrouter.Complete, replies[0].Answer.Outcome)
	}
}

func TestMayHaveStartedIsNotPlacedAgain(t *testing.T) {
	for _, result := range []Result{Wrong, Lost} {
		b := newBench(t, 2)
		starts := only[Start](b.submit("a", b.ticket(), 6, 2*time.Second))
		require.Len(t, starts, 4)
		effects := b.end(starts[0], result)
		replies := only[Reply](effects)
		require.Len(t, replies, 1)
		assert.Equal(t, shallotrouter.Failed, replies[0].Answer.Outcome)
		assert.Empty(t, only[Start](append(effects, b.pass(3*time.Second)...)), "the rest is withdrawn")
		assert.Zero(t, b.Waiting())
		for _, s := range starts[1:] {
			assert.Empty(t, only[Reply](b.end(s, Done)), "a late end changes nothing")
		}
	}
}

// TestRefusalsAreTrue refuses in every way and requires that nothing starts.
func TestRefusalsAreTrue(t *testing.T) {
	full := func(b *bench) { // all slots are taken by another client
		b.submit("b", b.ticket(), 2, time.Hour)
	}
	cases := []struct {
		reason shallotrouter.Reason
		back   bool // whether the refusal tells when to come back
		act    func(b *bench, n uint64) []Effect
	}{
		{shallotrouter.Expired, false, func(b *bench, n uint64) []Effect {
			b.pass(b.Bounds.Life + b.Bounds.Life/32)
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Maintenance, true, func(b *bench, n uint64) []Effect {
			b.step(Adopt{Config: config(b.t, 2, declarer.Maintenance)})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Overload, true, func(b *bench, n uint64) []Effect {
			full(b)
			b.step(Adopt{Config: config(b.t, 2, declarer.Peak)})
			b.submit("a", b.ticket(), 5, time.Hour)
			return b.submit("a", n, 1, time.Hour)
		}},
		{shallotrouter.Deadline, true, func(b *bench, n uint64) []Effect {
			full(b)
			b.submit("a", b.ticket(), 100, time.Hour)
			return b.submit("a", n, 1, 50*time.Millisecond)
		}},
		{shallotrouter.Deadline, true, func(b *bench, n uint64) []Effect {
			full(b)
			return append(b.submit("a", n, 1, 200*time.Millisecond), b.pass(time.Second)...)
		}},
		{shallotrouter.Unready, true, func(b *bench, n uint64) []Effect {
			b.step(Locate{Directory: directory(2, 0)})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Draining, true, func(b *bench, n uint64) []Effect {
			full(b)
			b.step(Drain{})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Draining, true, func(b *bench, n uint64) []Effect {
			full(b)
			b.submit("a", n, 1, time.Second)
			return b.step(Stop{})
		}},
		{shallotrouter.Paused, true, func(b *bench, n uint64) []Effect {
			full(b)
			b.submit("a", n, 1, time.Hour)
			return b.later(b.Bounds.Pause+time.Second, Tick{})
		}},
		{shallotrouter.Cancelled, false, func(b *bench, n uint64) []Effect {
			full(b)
			b.submit("a", n, 1, time.Second)
			return b.step(Cancel{Request: 99, Client: "a", Number: n})
		}},
		{shallotrouter.Cancelled, false, func(b *bench, n uint64) []Effect {
			b.step(Cancel{Request: 99, Client: "a", Number: n})
			return b.submit("a", n, 1, time.Second)
		}},
		{shallotrouter.Unknown, false, func(b *bench, n uint64) []Effect {
			b.request++
			return b.step(Submit{Request: b.request, Client: "a", Number: n, Job: shallotrouter.Job{Service: "none"}})
		}},
	}
	for _, c := range cases {
		b := newBench(t, 1)
		n := b.ticket()
		effects := c.act(b, n)
		found := false
		for _, r := range only[Reply](effects) {
			if r.Number == n {
				found = true
				assert.Equal(t, shallotrouter.Refused, r.Answer.Outcome, c.reason)
				assert.Equal(t, c.reason, r.Answer.Reason)
				assert.Equal(t, c.back, r.Answer.After > 0, "%s: %s", c.reason, r.Answer.Message)
			}
		}
		assert.True(t, found, "%s has an answer", c.reason)
		for _, s := range only[Start](append(effects, b.pass(2*time.Second)...)) {
			assert.NotEqual(t, n, s.Number, c.reason)
		}
	}
}

// TestConfigurationNeverGoesBack offers versions out of order.
func TestConfigurationNeverGoesBack(t *testing.T) {
	b := newBench(t, 1)
	b.step(Adopt{Config: config(t, 5, declarer.Peak)})
	b.step(Adopt{Config: config(t, 4, declarer.Maintenance)})
	b.step(Adopt{Config: config(t, 5, declarer.Maintenance)})
	v := b.View().Config
	assert.Equal(t, uint64(5), v.Version)
	assert.Equal(t, declarer.Peak, v.Current().Name)
}

// TestPauseReadsStateAnew requires that nothing starts between a thaw and fresh
// state, and that a host that is cut off goes on after a while.
func TestPauseReadsStateAnew(t *testing.T) {
	for _, fresh := range []Event{Confirm{Directory: 1}, Hear{Report: Report{Host: "h2", Zone: "z"}}, nil} {
		b := newBench(t, 1)
		n := b.ticket()
		effects := b.later(b.Bounds.Pause+time.Second, Tick{})
		assert.Len(t, only[Refresh](effects), 1)
		assert.Equal(t, Suspended, b.Phase())
		assert.Empty(t, only[Start](b.submit("a", n, 1, time.Second)))
		if fresh != nil {
			b.step(fresh)
		} else {
			b.pass(resumeAfter + time.Second)
		}
		assert.Equal(t, Serving, b.Phase())
		assert.Len(t, only[Start](b.submit("a", n, 1, time.Second)), 1, "the refused ticket is still good")
	}
}

// TestHopelessClient requires that a client whose tasks fail everywhere does not
// get targets ejected.
func TestHopelessClient(t *testing.T) {
	b := newBench(t, 12) // of which 4 may be ejected
	for range 60 {
		for _, s := range only[Start](b.submit("a", b.ticket(), 1, time.Minute)) {
			b.end(s, Wrong)
		}
	}
	ejected := 0
	for _, x := range b.targets {
		if x.state() == Ejected {
			ejected++
		}
	}
	assert.LessOrEqual(t, ejected, 2, "those that failed before the client was known")
	assert.False(t, b.blames(&job{service: "s", client: "a"}).rate < hopelessRate)
}

// TestCancelCost requires that cancelling does the same work for any number of
// waiting tasks.
func TestCancelCost(t *testing.T) {
	cost := func(tasks int) float64 {
		b := newBench(t, 1)
		b.submit("b", b.ticket(), 2, time.Hour)
		var numbers []uint64
		for range 12 {
			numbers = append(numbers, b.ticket())
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

// TestStatusHidesTokens requires that no token or hash shows in a status.
func TestStatusHidesTokens(t *testing.T) {
	b := newBench(t, 1)
	b.submit("a", b.ticket(), 3, time.Second)
	surveyed := only[Surveyed](b.step(Survey{}))
	require.Len(t, surveyed, 1)
	assert.NotContains(t, fmt.Sprintf("%+v", surveyed[0]), strings.Repeat("0", 60))
	assert.Equal(t, 1, surveyed[0].Status.Open)
}

// TestMoreHostsThanSlots requires that hosts share a pool with fewer slots than
// hosts, and that each gets a slot when it alone wants one.
func TestMoreHostsThanSlots(t *testing.T) {
	b := newBench(t, 1)
	for _, name := range []string{"h0", "h2", "h3", "h4"} {
		b.step(Hear{Report: Report{Host: name, Zone: "z", Incarnation: 1}})
	}
	assert.Len(t, only[Start](append(b.submit("a", b.ticket(), 1, time.Second), b.pass(200*time.Millisecond)...)), 1)
}

// TestHold requires that one client's long tasks leave room for others, and that
// short ones may take every slot.
func TestHold(t *testing.T) {
	for _, c := range []struct {
		expect time.Duration
		starts int
	}{{10 * time.Second, 6}, {100 * time.Millisecond, 8}} {
		b := newBench(t, 4) // 8 slots, of which long tasks of one client may hold 75 %
		b.request++
		job := shallotrouter.Job{Service: "s", Deadline: shallotrouter.Duration(time.Hour)}
		for range 20 {
			job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "k", Expect: shallotrouter.Duration(c.expect)})
		}
		starts := only[Start](b.step(Submit{Request: b.request, Client: "a", Number: b.ticket(), Job: job}))
		assert.Len(t, starts, c.starts)
		if c.starts < 8 {
			assert.Len(t, only[Start](b.submit("b", b.ticket(), 1, time.Hour)), 1, "a small job finds a slot")
		}
	}
}

// TestWeights requires that clients with work waiting get executor time by
// weight.
func TestWeights(t *testing.T) {
	b := newBench(t, 2)
	for range 20 {
		b.submit("a", b.ticket(), 100, time.Hour)
		b.submit("b", b.ticket(), 100, time.Hour)
	}
	var flying []Start
	count := map[string]int{}
	flying = append(flying, only[Start](b.step(Tick{}))...)
	for _, n := range []uint64{1, 2} { // the first jobs' tasks are in flight already
		for i := range b.jobs[n].tasks {
			if k := &b.jobs[n].tasks[i]; k.state == taskSent {
				flying = append(flying, Start{Number: n, Task: i, Target: k.target.name, Client: b.jobs[n].client})
			}
		}
	}
	for range 400 {
		s := flying[0]
		flying = append(flying[1:], only[Start](b.end(s, Done))...)
		count[s.Client]++
	}
	assert.InDelta(t, 3, float64(count["b"])/float64(count["a"]), 0.3)
}

// TestPauseGivesUpReturnedTasks requires that a task that was sent before a freeze
// and proves not to have started is not sent again after it.
func TestPauseGivesUpReturnedTasks(t *testing.T) {
	for _, first := range []Result{Done, Late} {
		b := newBench(t, 1)
		starts := only[Start](b.submit("a", b.ticket(), 2, time.Hour))
		require.Len(t, starts, 2)
		b.later(b.Bounds.Pause+time.Second, Tick{})
		effects := append(b.end(starts[0], first), b.end(starts[1], Late)...)
		effects = append(effects, b.step(Confirm{Directory: 1})...)
		effects = append(effects, b.pass(2*time.Second)...)
		assert.Empty(t, only[Start](effects))
		replies := only[Reply](effects)
		require.Len(t, replies, 1)
		assert.Equal(t, shallotrouter.Paused, replies[0].Answer.Reason)
		assert.Equal(t, shallotrouter.Failed, replies[0].Answer.Outcome, "the other task may have run")
	}
}

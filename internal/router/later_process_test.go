package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRenewalAcknowledgesEndsOfListedProcess guards against ends of a restarted target that are taken for known,
// since its entry was read twice before its first list: the numbers of the ends start again.
func TestRenewalAcknowledgesEndsOfListedProcess(t *testing.T) {
	b := newProcessBed(t)
	p := b.router.targets["p"]
	list := func(process int64, ends ...End) []Renew {
		b.now = b.now.Add(time.Millisecond)
		return effectsOf[Renew](b.step(RenewAnswered{Target: "p", Token: p.token, SentAt: b.now, Result: Running, StartedAt: process, Ended: ends}))
	}
	list(1, End{Number: 5, Task: "x.0.0.0", Run: 1, Reason: EndStopped})
	require.Equal(t, 5, p.lastAckedEnd)
	polls := effectsOf[Renew](b.readProcesses(2, 1))
	require.NotEmpty(t, polls)
	assert.EqualValues(t, 1, polls[0].Process.StartedAt)
	assert.Equal(t, 5, polls[0].Acked)
	b.readProcesses(2, 2)
	for _, e := range list(2, End{Number: 1, Task: "j.0.0.0", Run: 1, Reason: EndDone}) {
		assert.EqualValues(t, 2, e.Process.StartedAt)
		assert.Equal(t, 1, e.Acked)
	}
	assert.Equal(t, 1, p.lastAckedEnd)
	b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
	assert.Equal(t, 1, b.router.jobs["j"].doneCount, "the end of the later process is read")
}

// listProcess answers a renewal of a target with the run list of a process.
func (b *holderBed) listProcess(id string, process int64, running ...RunningTask) []Effect {
	b.now = b.now.Add(time.Millisecond)
	return b.step(RenewAnswered{Target: id, Token: b.router.targets[id].token, SentAt: b.now, Result: Running, StartedAt: process, Running: running})
}

// answerStart answers a Start.
func (b *holderBed) answerStart(e Start, result StartResult) []Effect {
	b.now = b.now.Add(time.Millisecond)
	return b.step(StartAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Result: result})
}

// acknowledge answers a Stop.
func (b *holderBed) acknowledge(e Stop) []Effect {
	b.now = b.now.Add(time.Millisecond)
	return b.step(StopAnswered{Target: e.Target.ID, Task: e.Task, Run: e.Run, Process: e.Process, Acknowledged: true})
}

// stopsOf returns the Stop orders for a task among effects.
func stopsOf(effects []Effect, task string) (list []Stop) {
	for _, e := range effectsOf[Stop](effects) {
		if e.Task == task {
			list = append(list, e)
		}
	}
	return list
}

// startUnanswered submits a job whose first Start is not answered. It returns the Start that repeats it.
func (b *holderBed) startUnanswered(id string) Start {
	b.t.Helper()
	first, effects := b.startTask(id, NoAnswer)
	repeats := effectsOf[Start](effects)
	require.Len(b.t, repeats, 1)
	require.Equal(b.t, first.Run, repeats[0].Run)
	return repeats[0]
}

// TestLateStartIsStoppedAtNextProcess guards against a run that the next process of a target starts, since a Start of
// it was not answered in time, after the run and its job are over.
func TestLateStartIsStoppedAtNextProcess(t *testing.T) {
	for name, end := range map[string]func(b *holderBed, start Start){
		"the repeated start was answered": func(b *holderBed, start Start) {
			b.answerStart(start, Running)
			b.now = b.now.Add(time.Millisecond)
			b.step(RenewAnswered{Target: start.Target.ID, Token: start.Token, SentAt: b.now, Result: Running, StartedAt: 1, Ended: []End{{Number: 1, Task: start.Task, Run: start.Run, Reason: EndDone}}})
			require.True(b.t, b.router.jobs["j"].ended)
		},
		"no start was answered": func(b *holderBed, start Start) {
			b.step(ClientGone{Request: 1})
			stops := effectsOf[Stop](b.answerStart(start, NoAnswer))
			require.Len(b.t, stops, 1)
			b.acknowledge(stops[0])
			b.listProcess(start.Target.ID, 1)
		},
		"the target falls silent before the answer": func(b *holderBed, start Start) {
			b.router.expireRuns(b.router.targets[start.Target.ID])
			b.answerStart(start, NoAnswer)
			b.step(ClientGone{Request: 1}) // the task waits for this target
		},
		"the target is forgotten": func(b *holderBed, start Start) {
			former := b.router.targets[start.Target.ID]
			b.router.expireRuns(former)
			b.router.removeTarget(former)
			b.router.registerTarget(former.Target, b.router.cells["north"])
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newProcessBed(t)
			start := b.startUnanswered("j")
			end(b, start)
			id := start.Target.ID
			require.Empty(t, b.router.targets[id].runs)
			if name != "the target is forgotten" {
				assert.Empty(t, stopsOf(b.listProcess(id, 1), start.Task), "its process has had the start")
			}
			stops := stopsOf(b.listProcess(id, 2), start.Task)
			require.Len(t, stops, 1)
			assert.Equal(t, start.Run, stops[0].Run)
			assert.Len(t, stopsOf(b.advance(stopRetryInterval), start.Task), 0)
			stops = stopsOf(b.listProcess(id, 2), start.Task)
			require.Len(t, stops, 1, "until it is answered")
			b.acknowledge(stops[0])
			b.now = b.now.Add(stopRetryInterval)
			assert.Empty(t, stopsOf(b.listProcess(id, 2), start.Task))
			assert.Len(t, stopsOf(b.listProcess(id, 3), start.Task), 1)
			b.now = b.now.Add(lateStartDuration)
			assert.Empty(t, stopsOf(b.listProcess(id, 4), start.Task), "no start is as late")
		})
	}
}

// TestAnsweredStartIsNotStoppedAtNextProcess guards against orders that nothing calls for, and against the stop of a
// run that the next process has.
func TestAnsweredStartIsNotStoppedAtNextProcess(t *testing.T) {
	b := newProcessBed(t)
	answered, _ := b.startTask("answered", Running)
	assert.Empty(t, stopsOf(b.listProcess(answered.Target.ID, 2), answered.Task))

	b = newProcessBed(t)
	repeated := b.startUnanswered("j")
	b.answerStart(repeated, Running)
	id, run := repeated.Target.ID, RunningTask{Task: repeated.Task, Run: repeated.Run}
	for range 3 {
		assert.Empty(t, stopsOf(b.listProcess(id, 2, run), repeated.Task), "the next process has started it")
	}
	require.NotNil(t, b.router.targets[id].runs[repeated.Task])
	assert.NotEmpty(t, effectsOf[Start](b.listProcess(id, 2)), "it is over, and nothing of it can start there")
}

// TestRunWithLateStartIsNotOverAtRestart guards against a task that starts elsewhere while the next process of its target
// may execute a Start of it that was not answered: the former process has answered the second one, or a Stop.
func TestRunWithLateStartIsNotOverAtRestart(t *testing.T) {
	for name, answer := range map[string]func(b *holderBed, start Start){
		"answered start": func(b *holderBed, start Start) { b.answerStart(start, Running) },
		"answered stop": func(b *holderBed, start Start) {
			stops := effectsOf[Stop](b.answerStart(start, NoAnswer))
			require.Len(b.t, stops, 1)
			b.acknowledge(stops[0])
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newProcessBed(t)
			start := b.startUnanswered("j")
			answer(b, start)
			b.now = b.now.Add(time.Millisecond)
			effects := b.listProcess(start.Target.ID, 2)
			assert.Empty(t, effectsOf[Start](effects))
			stops := stopsOf(effects, start.Task)
			require.Len(t, stops, 1)
			former := stops[0]
			former.Process = 1
			b.acknowledge(former)
			assert.Empty(t, effectsOf[Start](b.listProcess(start.Target.ID, 2)), "the former process has answered")
			b.acknowledge(stops[0])
			starts := effectsOf[Start](b.listProcess(start.Target.ID, 2))
			require.Len(t, starts, 1)
			assert.Greater(t, starts[0].Run, start.Run)
		})
	}
}

// TestRunOfLostProcessIsStoppedAtOnce guards against a run that goes on for the grace of orphans beside the next one of
// its task: the next process of its target has started it, and this host knows that it is over.
func TestRunOfLostProcessIsStoppedAtOnce(t *testing.T) {
	b := newProcessBed(t)
	start, _ := b.startTask("j", Running)
	target := b.router.targets[start.Target.ID]
	target.missedRenewals = 1
	b.router.expireRuns(target)
	b.step(Tick{})
	next := b.router.jobs["j"].tasks[0].run
	require.NotNil(t, next)
	require.Greater(t, next.number, start.Run)
	effects := b.listProcess(start.Target.ID, 2, RunningTask{Task: start.Task, Run: start.Run}, RunningTask{Task: "x.0.0.0", Run: 1})
	assert.Len(t, stopsOf(effects, start.Task), 1)
	assert.Empty(t, stopsOf(effects, "x.0.0.0"), "its job may yet be offered")
	assert.Len(t, stopsOf(b.advance(b.router.Bounds.OrphanGrace+b.router.Bounds.TickInterval), "x.0.0.0"), 1)
}

// TestAnswerOfFormerProcessSetsNoClock guards against leases that are computed from the clock of a target's
// former process, whose answer to a Start arrives after the list of the next one.
func TestAnswerOfFormerProcessSetsNoClock(t *testing.T) {
	b := newProcessBed(t)
	j := twoTaskJob("j")
	j.Count = 1
	start := effectsOf[Start](b.step(Submit{Request: 1, Job: j, Budget: 5 * time.Second}))[0]
	b.now = b.now.Add(time.Millisecond)
	target := b.router.targets[start.Target.ID]
	b.step(RenewAnswered{
		Target: target.ID, Token: target.token, SentAt: b.now, Poll: true, Result: Running, StartedAt: 2, Clock: Reading{Millis: 30, At: b.now},
	})
	b.now = b.now.Add(time.Millisecond)
	b.step(StartAnswered{Target: target.ID, Task: start.Task, Run: start.Run, Result: Running, Clock: Reading{Millis: 900_000, At: b.now}})
	assert.EqualValues(t, 30, target.lastReading.Millis)
}

// TestTaskAwaitsTargetThatMayStartItLate guards against a task that starts elsewhere while the next process of a silent
// target may execute a Start of it that was not answered.
func TestTaskAwaitsTargetThatMayStartItLate(t *testing.T) {
	for name, release := range map[string]func(b *holderBed, start Start) []Effect{
		"the same process answers": func(b *holderBed, start Start) []Effect { return b.listProcess(start.Target.ID, 1) },
		"the next process has answered a stop": func(b *holderBed, start Start) []Effect {
			stops := stopsOf(b.listProcess(start.Target.ID, 2), start.Task)
			require.Len(b.t, stops, 1)
			return b.acknowledge(stops[0])
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newProcessBed(t)
			first, effects := b.startTask("j", NoAnswer)
			require.Len(t, effectsOf[Start](effects), 1)
			b.router.jobs["j"].deadline = b.now.Add(time.Minute)
			target := b.router.targets[first.Target.ID]
			target.missedRenewals = 1
			b.router.expireRuns(target)
			b.answerStart(effectsOf[Start](effects)[0], NoAnswer)
			assert.Empty(t, effectsOf[Start](b.step(Tick{})))
			assert.True(t, b.router.awaitsLateStart(first.Task))
			starts := effectsOf[Start](release(b, first))
			require.Len(t, starts, 1)
			assert.Greater(t, starts[0].Run, first.Run)
		})
	}
}

// TestLateStartIsForgotten guards against a task that waits for a target that never comes back.
func TestLateStartIsForgotten(t *testing.T) {
	b := newProcessBed(t)
	first, _ := b.startTask("j", NoAnswer)
	b.router.removeTarget(b.router.targets[first.Target.ID])
	b.step(Tick{})
	assert.True(t, b.router.awaitsLateStart(first.Task))
	b.now = b.now.Add(lateStartDuration + time.Second)
	b.step(Tick{})
	assert.False(t, b.router.awaitsLateStart(first.Task))
	assert.Empty(t, b.router.lateStarts.byTarget)
	assert.Empty(t, b.router.lateStarts.byTask)
}

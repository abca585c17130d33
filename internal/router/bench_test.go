package router

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTask measures all steps of a holder for one task: the arrival of its job, the start,
// the answer of the target and the end. One task runs at a time.
func BenchmarkTask(b *testing.B) {
	for _, targets := range []int{48, 350, 2000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchTask(b, targets) })
	}
}

func benchTask(b *testing.B, targets int) {
	r := &Router{Self: Member{Name: "a", Zone: "north", Address: "10.0.0.1:1", Incarnation: 1}, Bounds: Standard()}
	now := time.Unix(testEpoch, 0)
	step := func(e Event) []Effect { return r.Step(now, e) }
	step(Tick{})
	step(Registered{Slot: 1, SlotUses: 1})
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: fmt.Sprintf("t%04d", i), Address: "10.1.0.1:1", Service: "work", Zone: "north", Capacity: Resources{CPU: 2000, Memory: 10}, Labels: []string{"a"}})
	}
	step(DirectoryRead{RequestedAt: now, Directory: Directory{Version: 1, Targets: list}})
	now = now.Add(r.Bounds.StartupDelay + r.Bounds.TickInterval)
	claimWrite := effectsOf[WriteClaims](step(Tick{}))[0]
	for _, e := range effectsOf[Renew](step(ClaimsWritten{Token: claimWrite.Token, Result: ClaimWon, Rows: claimWrite.Rows})) {
		step(RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: now, Result: Running, Clock: Reading{Millis: 1, At: now}})
	}
	number := 0
	runTask := func() {
		number++
		now = now.Add(time.Microsecond)
		j := twoTaskJob(fmt.Sprintf("%016x", number))
		j.Count = 1
		starts := effectsOf[Start](step(Submit{Request: uint64(number), Job: j, Budget: time.Hour}))
		if len(starts) != 1 {
			b.Fatal("the task was not started")
		}
		s := starts[0]
		step(StartAnswered{Target: s.Target.ID, Task: s.Task, Run: s.Run, Result: Running, Clock: Reading{Millis: int64(number), At: now}})
		t := r.targets[s.Target.ID]
		step(RenewAnswered{
			Target: t.ID, Token: t.token, SentAt: now, Result: Running, Clock: Reading{Millis: int64(number), At: now},
			Ended: []End{{Number: t.lastAckedEnd + 1, Task: s.Task, Run: s.Run, Reason: EndDone}},
		})
		for _, x := range r.targets {
			x.lastConfirmedAt = now
		}
	}
	b.ResetTimer()
	for range b.N {
		runTask()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "µs/task")
}

package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLeavingTargets requires that each way to learn that a target is leaving
// keeps new tasks away.
func TestLeavingTargets(t *testing.T) {
	listed := directory(2, 2)
	listed.Hosts[0].Leaving = true
	ways := map[string]func(b *bench){
		"list": func(b *bench) { b.step(Locate{Directory: listed}) },
		"peer": func(b *bench) {
			b.step(Hear{Report: Report{Host: "h2", Zone: "z", Uses: []Use{{Target: "t0", State: Departing}}}})
		},
		"own word": func(b *bench) {
			told := false
			starts := only[Start](b.submit("a", b.ticket(), 4, time.Minute))
			for i := 0; i < len(starts); i++ {
				result := Done
				if starts[i].Target == "t0" && !told {
					result, told = Leaving, true
				}
				starts = append(starts, only[Start](b.end(starts[i], result))...)
			}
			assert.True(t, told, "something was placed on t0")
		},
	}
	for way, act := range ways {
		b := newBench(t, 2)
		act(b)
		seen := 0
		for range 20 {
			starts := only[Start](b.submit("a", b.ticket(), 4, time.Minute))
			for i := 0; i < len(starts); i++ {
				assert.NotEqual(t, "t0", starts[i].Target, way)
				starts = append(starts, only[Start](b.end(starts[i], Done))...)
			}
			seen += len(starts)
			b.pass(100 * time.Millisecond)
		}
		assert.Equal(t, 80, seen, way)
	}
}

// TestRumour requires that two hosts do not keep each other believing that a
// target is leaving.
func TestRumour(t *testing.T) {
	b := newBench(t, 2)
	told := Report{Host: "h2", Zone: "z", Uses: []Use{{Target: "t0", State: Departing}}}
	b.step(Hear{Report: told})
	for _, u := range b.report().Uses {
		assert.NotEqual(t, Departing, u.State)
	}
	told.Uses = nil
	b.step(Hear{Report: told})
	assert.Equal(t, Departing, b.targets["t0"].state())
	b.pass(leaveMemory + time.Second)
	assert.Equal(t, Live, b.targets["t0"].state())
}

// TestWarningOutlastsPeer requires that a peer's word holds when the peer goes
// quiet or starts anew.
func TestWarningOutlastsPeer(t *testing.T) {
	b := newBench(t, 2)
	b.step(Hear{Report: Report{Host: "h2", Zone: "z", Incarnation: 1, Uses: []Use{{Target: "t0", State: Departing}}}})
	b.pass(b.Bounds.Quiet + time.Second)
	assert.Equal(t, Departing, b.targets["t0"].state(), "quiet")
	b.step(Hear{Report: Report{Host: "h2", Zone: "z", Incarnation: 2}})
	assert.Equal(t, Departing, b.targets["t0"].state(), "started anew")
}

// TestLastTargetIsTriedAgain requires that a pool whose targets could not be
// reached for a moment goes on when they can be again.
func TestLastTargetIsTriedAgain(t *testing.T) {
	for targets := 1; targets <= 3; targets++ {
		b := newBench(t, targets)
		var flying []Start
		flying = only[Start](b.submit("a", b.ticket(), 8, time.Minute))
		for range 40 { // for a second nothing is reached
			for _, s := range flying {
				flying = append(flying[1:], only[Start](b.end(s, Unsent))...)
			}
			flying = append(flying, only[Start](b.pass(b.Bounds.Tick))...)
		}
		done := 0
		for range 2000 {
			effects := b.pass(b.Bounds.Tick)
			flying = append(flying, only[Start](effects)...)
			for _, s := range flying {
				flying = append(flying[1:], only[Start](b.end(s, Done))...)
				done++
			}
			if done == 8 {
				break
			}
		}
		assert.Equal(t, 8, done, "%d targets", targets)
	}
}

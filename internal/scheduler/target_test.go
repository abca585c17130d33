package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLeavingTargetGetsNoNewTasks requires that a leaving target gets no new tasks,
// whether the directory, a peer or the target itself reports that it is leaving.
func TestLeavingTargetGetsNoNewTasks(t *testing.T) {
	listed := directory(2, 2)
	listed.Hosts[0].Leaving = true
	ways := map[string]func(b *harness){
		"list": func(b *harness) { b.step(Locate{Directory: listed}) },
		"peer": func(b *harness) {
			b.step(ReportReceived{Report: Report{Host: "h2", Zone: "z", Uses: []TargetUse{{Target: "t0", State: Departing}}}})
		},
		"own answer": func(b *harness) {
			refused := false
			starts := effectsOf[Start](b.submit("a", b.takeTicket(), 4, time.Minute))
			for i := 0; i < len(starts); i++ {
				result := Done
				if starts[i].Target == "t0" && !refused {
					result, refused = Leaving, true
				}
				starts = append(starts, effectsOf[Start](b.endStart(starts[i], result))...)
			}
			assert.True(t, refused, "a task was placed at t0")
		},
	}
	for way, report := range ways {
		b := newHarness(t, 2)
		report(b)
		startCount := 0
		for range 20 {
			starts := effectsOf[Start](b.submit("a", b.takeTicket(), 4, time.Minute))
			for i := 0; i < len(starts); i++ {
				assert.NotEqual(t, "t0", starts[i].Target, way)
				starts = append(starts, effectsOf[Start](b.endStart(starts[i], Done))...)
			}
			startCount += len(starts)
			b.advance(100 * time.Millisecond)
		}
		assert.Equal(t, 80, startCount, way)
	}
}

// TestHostDoesNotRepeatLeavingReportOfPeer guards against two hosts that report to
// each other forever that a target is leaving, because each repeats the report of
// the other.
func TestHostDoesNotRepeatLeavingReportOfPeer(t *testing.T) {
	b := newHarness(t, 2)
	report := Report{Host: "h2", Zone: "z", Uses: []TargetUse{{Target: "t0", State: Departing}}}
	b.step(ReportReceived{Report: report})
	for _, u := range b.buildReport().Uses {
		assert.NotEqual(t, Departing, u.State)
	}
	report.Uses = nil
	b.step(ReportReceived{Report: report})
	assert.Equal(t, Departing, b.targets["t0"].state())
	b.advance(leavingPeriod + time.Second)
	assert.Equal(t, Live, b.targets["t0"].state())
}

// TestLeavingReportOutlastsPeer requires that a peer's report of a leaving target
// still counts after the peer becomes unresponsive or restarts.
func TestLeavingReportOutlastsPeer(t *testing.T) {
	b := newHarness(t, 2)
	b.step(ReportReceived{Report: Report{Host: "h2", Zone: "z", Incarnation: 1, Uses: []TargetUse{{Target: "t0", State: Departing}}}})
	b.advance(b.Bounds.PeerTimeout + time.Second)
	assert.Equal(t, Departing, b.targets["t0"].state(), "after the peer became unresponsive")
	b.step(ReportReceived{Report: Report{Host: "h2", Zone: "z", Incarnation: 2}})
	assert.Equal(t, Departing, b.targets["t0"].state(), "after the peer restarted")
}

// TestUnreachableTargetsAreTriedAgain requires that a pool whose targets were all
// unreachable for a second runs its tasks once they are reachable again.
func TestUnreachableTargetsAreTriedAgain(t *testing.T) {
	for targets := 1; targets <= 3; targets++ {
		b := newHarness(t, targets)
		var inFlight []Start
		inFlight = effectsOf[Start](b.submit("a", b.takeTicket(), 8, time.Minute))
		for range 40 { // no target is reachable
			for _, s := range inFlight {
				inFlight = append(inFlight[1:], effectsOf[Start](b.endStart(s, NotSent))...)
			}
			inFlight = append(inFlight, effectsOf[Start](b.advance(b.Bounds.TickInterval))...)
		}
		done := 0
		for range 2000 {
			effects := b.advance(b.Bounds.TickInterval)
			inFlight = append(inFlight, effectsOf[Start](effects)...)
			for _, s := range inFlight {
				inFlight = append(inFlight[1:], effectsOf[Start](b.endStart(s, Done))...)
				done++
			}
			if done == 8 {
				break
			}
		}
		assert.Equal(t, 8, done, "tasks done at %d targets", targets)
	}
}

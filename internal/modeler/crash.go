package modeler

import (
	"strings"
	"time"
)

// taskCrashes counts the starts of a deadly task and the crashes of targets under it.
type taskCrashes struct {
	starts, crashes int
	// excessStarts counts the starts after toleratedCrashes crashes.
	excessStarts int
}

const (
	// crashDuration is how long a target is away after a crash.
	crashDuration = 3 * time.Second
	// maxCrashDelay bounds the time from the start of a deadly task to the crash.
	maxCrashDelay = 50 * time.Millisecond
	// toleratedCrashes is the number of crashes under a task after which it may start at most
	// maxExcessStarts more times. The platform states both.
	toleratedCrashes = 3
	maxExcessStarts  = 2
)

// isDeadly reports whether a task crashes the targets that start it.
func (sm *Simulation) isDeadly(taskID string) bool {
	return sm.clients[jobID(taskID)].deadly && strings.HasSuffix(taskID, ".0")
}

// scheduleCrash schedules the crash of a target under the run of a deadly task, unless the run
// is over by then.
func (sm *Simulation) scheduleCrash(t *target, r *run) {
	r.duration += maxCrashDelay
	sm.schedule(time.Duration(sm.crashRandom.Int64N(int64(maxCrashDelay))), func() {
		if t.runs[r.taskID] != r {
			return
		}
		sm.crashes[r.taskID].crashes++
		sm.Results.Crashes++
		t.kill()
		sm.schedule(crashDuration, func() {
			if !t.up {
				t.startProcess()
			}
		})
	})
}

// checkCrashes checks at the start of a task that the task has not crashed too many targets
// before.
func (sm *Simulation) checkCrashes(t *target, h *host, taskID string) {
	if !sm.isDeadly(taskID) {
		return
	}
	c := sm.crashes[taskID]
	if c == nil {
		c = &taskCrashes{}
		sm.crashes[taskID] = c
	}
	c.starts++
	if c.crashes < toleratedCrashes {
		return
	}
	c.excessStarts++
	if c.excessStarts > maxExcessStarts {
		sm.recordViolation("deadly task %s is started by %s at %s, start %d after %d crashes", taskID, h.name, t.entry.ID, c.starts, c.crashes)
	}
}

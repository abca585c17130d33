package modeler

import "time"

// Interference makes tasks of a kind take Factor times as long while a task of the kind Beside runs at
// the same target.
type Interference struct {
	Kind, Beside string
	Factor       float64
}

// interferenceFactor returns the factor on the run time of a run beside the other runs of its target.
func (t *target) interferenceFactor(r *run) float64 {
	factor := 1.0
	for _, f := range t.sim.Interferences {
		if f.Kind != t.sim.kindOf(r) {
			continue
		}
		for _, other := range t.runs {
			if other != r && t.sim.kindOf(other) == f.Beside {
				factor = max(factor, f.Factor)
			}
		}
	}
	return factor
}

func (sm *Simulation) kindOf(r *run) string { return sm.clients[jobID(r.taskID)].kind.Name }

// updateSpeeds reschedules the ends of the runs whose speed the start or end of another run has changed.
func (t *target) updateSpeeds() {
	if len(t.sim.Interferences) == 0 {
		return
	}
	for _, r := range t.sortedRuns() {
		factor := t.interferenceFactor(r)
		if r.interference == 0 || factor == r.interference {
			continue
		}
		r.done, r.interference, r.speedChangedAt = t.doneShare(r), factor, t.sim.now
		t.scheduleEndAfter(r, time.Duration((1-r.done)*factor*float64(r.duration)))
	}
}

// doneShare returns the part of a run that is done.
func (t *target) doneShare(r *run) float64 {
	if r.interference == 0 {
		return float64(t.sim.now.Sub(r.startedAt)) / float64(r.duration)
	}
	return r.done + float64(t.sim.now.Sub(r.speedChangedAt))/(float64(r.duration)*r.interference)
}

// scheduleEndAfter schedules the end of a run, in place of an earlier schedule.
func (t *target) scheduleEndAfter(r *run, left time.Duration) {
	r.schedule++
	schedule := r.schedule
	t.sim.schedule(left, func() {
		if t.runs[r.taskID] == r && r.schedule == schedule {
			t.endRun(r, r.reason)
		}
	})
}

package modeler

import "time"

// The kinds of fault of targets that their hosts cannot tell apart while they last: the processes of the
// targets live on, or do not. They affect all targets of the zone that Fault.Selector names, those of a
// random zone for "zone", and a random TargetShare of the targets otherwise.
const (
	// CutTargets makes the targets and all hosts unable to reach each other for the Duration. The targets
	// run on until their leases expire, and still reach the store.
	CutTargets FaultKind = "cut-targets"
	// RebornTargets is CutTargets, and the process of each target ends at a random moment in the cut and
	// starts again.
	RebornTargets FaultKind = "reborn"
	// RestartTargets ends the targets' processes at nearly the same time. Each starts again after the Duration.
	RestartTargets FaultKind = "restart-targets"
)

const (
	// maxRestartSpread bounds the time between the first and the last target that RestartTargets ends.
	maxRestartSpread = 400 * time.Millisecond
	// rebirthPause is how long the process of a target is away behind a cut.
	rebirthPause = 100 * time.Millisecond
)

// injectTargetCut injects CutTargets, RebornTargets or RestartTargets.
func (sm *Simulation) injectTargetCut(f Fault) {
	for _, t := range sm.pickTargets(f) {
		switch f.Kind {
		case CutTargets:
			t.cutOff(f.Duration)
		case RebornTargets:
			t.cutOff(f.Duration)
			sm.schedule(sm.drawDuration(0, f.Duration), func() { t.restart(rebirthPause) })
		case RestartTargets:
			sm.schedule(sm.drawDuration(0, maxRestartSpread), func() { t.restart(f.Duration) })
		}
	}
}

// pickTargets returns the targets that a fault of targets affects.
func (sm *Simulation) pickTargets(f Fault) []*target {
	zone := f.Selector
	if zone == "zone" {
		zone = sm.pickZone("")
	}
	var targets []*target
	for _, id := range sm.targetIDs {
		t := sm.targets[id]
		if zone != "" && t.entry.Zone == zone || zone == "" && sm.random.Float64() < f.TargetShare {
			targets = append(targets, t)
		}
	}
	return targets
}

// cutOff blocks the messages between the target and all hosts for a duration.
func (t *target) cutOff(duration time.Duration) {
	for _, h := range t.sim.hosts {
		t.sim.partition(t.entry.ID, h.name, duration)
	}
}

// restart ends the process of the target unless it is away, and starts it again after a pause.
func (t *target) restart(pause time.Duration) {
	if !t.up {
		return
	}
	t.kill()
	t.sim.schedule(pause, func() {
		if !t.up {
			t.startProcess()
		}
	})
}

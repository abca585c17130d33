package modeler

// HideTarget removes the entries of a random TargetShare of the targets from the store for the Duration,
// as after heartbeats that did not reach it. The targets run on, and the hosts reach them.
const HideTarget FaultKind = "hide-target"

// hide injects HideTarget into a target.
func (t *target) hide(f Fault) {
	t.sim.store.unlistTarget(t)
	t.sim.schedule(f.Duration, func() {
		if t.up {
			t.sim.store.listTarget(t)
		}
	})
}

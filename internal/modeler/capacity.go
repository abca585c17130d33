package modeler

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

const (
	// capacityBound is how long after a target's entry has shown a smaller capacity a host may
	// still start tasks that exceed it. It is the shortest bound that the platform states.
	capacityBound = 3 * time.Second
	// targetHeartbeatInterval is the interval at which a target writes its entry. The platform
	// states it.
	targetHeartbeatInterval = 1500 * time.Millisecond
	// watchInterval is the interval at which the ways of the hosts to the directory are checked.
	watchInterval = 100 * time.Millisecond
)

// earlierEntry is a capacity that a target's entry showed until a moment.
type earlierEntry struct {
	capacity router.Resources
	until    time.Time
}

// shrink multiplies the target's capacity by the factor of the fault for its duration. Runs
// that exceed the capacity go on.
func (t *target) shrink(f Fault) {
	if !t.up {
		return
	}
	incarnation := t.incarnation
	t.capacity = router.Resources{
		CPU: int(float64(t.defaultCapacity.CPU) * f.RateFactor), Memory: int(float64(t.defaultCapacity.Memory) * f.RateFactor), GPU: t.defaultCapacity.GPU,
	}
	t.scheduleHeartbeat()
	t.sim.schedule(f.Duration, func() {
		if t.incarnation == incarnation {
			t.capacity = t.defaultCapacity
			t.scheduleHeartbeat()
		}
	})
}

// scheduleHeartbeat schedules the heartbeat with which the entry shows the present capacity, or
// a later one while the target cannot write to the store.
func (t *target) scheduleHeartbeat() {
	incarnation := t.incarnation
	t.sim.schedule(time.Duration(t.sim.random.Int64N(int64(targetHeartbeatInterval))), func() {
		if t.incarnation != incarnation {
			return
		}
		if t.sim.store.unavailable || !t.sim.canReach(t.entry.ID, t.entry.Zone, "store", "store") {
			t.scheduleHeartbeat()
			return
		}
		t.showCapacity()
		t.sim.store.listTarget(t)
	})
}

// showCapacity sets the capacity in the entry to the present one.
func (t *target) showCapacity() {
	if t.entry.Capacity != t.capacity {
		t.earlierEntries = append(t.earlierEntries, earlierEntry{t.entry.Capacity, t.sim.now})
		t.entry.Capacity = t.capacity
	}
}

// timeSinceFit returns how long ago the entry of the target last showed a capacity at which a
// task fits beside the runs of the target, or 0 if it still does.
func (t *target) timeSinceFit(need router.Resources) time.Duration {
	if t.entry.Capacity.Minus(t.used).Fits(need) {
		return 0
	}
	last := time.Unix(epoch, 0)
	for _, e := range t.earlierEntries {
		if e.capacity.Minus(t.used).Fits(need) {
			last = e.until
		}
	}
	return t.sim.now.Sub(last)
}

// checkCapacity records a violation if a host orders a target to start a task that brings it
// over the capacity that its entry has shown for longer than capacityBound, whether or not the
// target rejects the task. Orders that the target executes late are exempt, and so are hosts that
// could not learn of the change.
func (sm *Simulation) checkCapacity(t *target, h *host, task string, need router.Resources) {
	if sm.executesLate || t.capacity.Minus(t.used).Fits(need) {
		return
	}
	since := t.timeSinceFit(need)
	sm.Results.ExcessStarts = append(sm.Results.ExcessStarts, since)
	if since > capacityBound && (len(t.earlierEntries) == 0 || sm.isInformed(h)) {
		sm.recordViolation("%s started %s at %s, which has %d of %d thousandths of a core in use, as its entry has shown for %v", h.name, task, t.entry.ID, t.used.CPU, t.entry.Capacity.CPU, since)
	}
}

// isInformed reports whether a host has been able to learn of the directory for contactTime,
// from the store or from another host of its cells.
func (sm *Simulation) isInformed(h *host) bool {
	for _, at := range []time.Time{sm.uninformedAt[h], sm.disturbedUntil["store"], h.resumedAt} {
		if sm.now.Sub(at) < contactTime {
			return false
		}
	}
	return true
}

// watchUninformedHosts notes at regular intervals which hosts reach neither the store nor a host
// that does.
func (sm *Simulation) watchUninformedHosts() {
	for _, h := range sm.hosts {
		if !sm.reachesStore(h) && !sm.reachesInformedPeer(h) {
			sm.uninformedAt[h] = sm.now
		}
	}
	sm.schedule(watchInterval, sm.watchUninformedHosts)
}

func (sm *Simulation) reachesStore(h *host) bool {
	return h.up && !h.paused && sm.canReach(h.name, h.zone, "store", "store")
}

func (sm *Simulation) reachesInformedPeer(h *host) bool {
	for _, other := range sm.hosts {
		sharesCells := other.zone == h.zone || len(sm.targets) <= sm.Bounds.MaxSharedTargets
		connected := sm.canReach(h.name, h.zone, other.name, other.zone) && sm.canReach(other.name, other.zone, h.name, h.zone)
		if other != h && sharesCells && connected && sm.reachesStore(other) {
			return true
		}
	}
	return false
}

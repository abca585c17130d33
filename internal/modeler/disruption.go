package modeler

import "time"

// The kinds of fault of connections, of slow processes and of crashes in series. Fault.Selector
// says what they affect, as for the other kinds; for CrashHost, "zone" selects all hosts of a
// random zone. For RollHosts, Duration is the time between two hosts. ResizeTarget affects a random TargetShare of the targets, and CrashTargets that
// share of them each second.
const (
	SuspendHost  FaultKind = "suspend"       // as PauseHost, and the host accepts no links until it continues
	ReplaceLinks FaultKind = "replace-links" // links of a host are replaced, and messages on the old ones arrive late
	MuteLinks    FaultKind = "mute-links"    // links of a host lose all messages until they are replaced
	MuteAll      FaultKind = "mute-all"      // the connections of all hosts, also to targets and the store, lose all messages until they are replaced
	CutOneWay    FaultKind = "cut-one-way"   // messages pass in one direction only between a host and others
	CutStores    FaultKind = "cut-stores"    // a random half of the hosts and the store cannot reach each other
	KillSome     FaultKind = "kill-some"     // the processes of a random half of the hosts end at once and start again
	RollHosts    FaultKind = "roll"          // the hosts shut down gracefully and start again, one after the other
	CrashHost    FaultKind = "crash-loop"    // the process of a host ends and is back at once, several times
	ShiftClock   FaultKind = "shift-clock"   // the process of a host ends and starts again with its clock set back or ahead
	SlowHost     FaultKind = "slow-host"     // a host handles each event late
	ThrottleHost FaultKind = "throttle"      // a host handles events in the first part of each tenth of a second only
	CrashTargets FaultKind = "crash-targets" // targets end and start again empty, one after the other
	ResizeTarget FaultKind = "resize-target" // a target has half its capacity
)

const (
	// linkTimeout is how long a link may lose all messages before it is replaced.
	linkTimeout = 600 * time.Millisecond
	// maxLag is the longest time by which a slow host handles events late.
	maxLag = 600 * time.Millisecond
	// minCrashPause and maxCrashPause bound the time in which a crashed process is back, and
	// maxCrashInterval the time that it then runs in a series of crashes.
	minCrashPause, maxCrashPause = 100 * time.Millisecond, 500 * time.Millisecond
	maxCrashInterval             = 1500 * time.Millisecond
	// throttlePeriod is the time in which a throttled host may use its share of a core.
	throttlePeriod = 100 * time.Millisecond
	// minTargetPause and maxTargetPause bound the time in which a crashed target is back.
	minTargetPause, maxTargetPause = 100 * time.Millisecond, 3 * time.Second
)

// drawDuration draws a duration between two bounds.
func (sm *Simulation) drawDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sm.random.Int64N(int64(most-least)+1))
}

// injectDisruption injects a fault of connections, of slow processes or of crashes in series.
func (sm *Simulation) injectDisruption(f Fault) {
	switch f.Kind {
	case ReplaceLinks:
		sm.replaceLinks(f, sm.pickHost(f.Selector))
	case MuteLinks:
		sm.muteLinks(f, sm.pickHost(f.Selector))
	case MuteAll:
		sm.muteAll(f)
	case CutOneWay:
		sm.cutOneWay(f, sm.pickHost(f.Selector))
	case CutStores:
		for _, h := range sm.hosts {
			if sm.random.IntN(2) == 0 {
				sm.partition(h.name, "store", f.Duration)
			}
		}
	case ResetClients:
		sm.resetClients(f)
	case SlowHost:
		sm.pickHost(f.Selector).slowDown(f.Duration)
	case ThrottleHost:
		h := sm.pickHost(f.Selector)
		sm.disturb(h.name, f.Duration)
		h.throttle(h.incarnation, sm.now.Add(f.Duration))
	case CrashTargets:
		sm.crashTargets(f, sm.now.Add(f.Duration))
	case ResizeTarget:
		for _, id := range sm.targetIDs {
			if sm.random.Float64() < f.TargetShare {
				sm.targets[id].resize(f.Duration)
			}
		}
	default:
		sm.injectHostEnd(f)
	}
}

// injectHostEnd injects a fault in which processes of hosts end and start again.
func (sm *Simulation) injectHostEnd(f Fault) {
	switch f.Kind {
	case CrashHost:
		hosts := []*host{sm.pickHost(f.Selector)}
		if f.Selector == "zone" {
			hosts = sm.hostsOf(sm.pickZone(""))
		}
		for _, h := range hosts {
			h.crash(sm.now.Add(f.Duration))
		}
	case ShiftClock:
		h := sm.pickHost(f.Selector)
		h.kill()
		h.nextClockError += f.ClockShift
		sm.schedule(f.Duration, h.startProcess)
	case KillSome:
		for _, h := range sm.hosts {
			if sm.random.IntN(2) == 0 {
				sm.injectHostFault(Fault{Kind: KillHost, Duration: f.Duration}, h)
			}
		}
	case RollHosts:
		for i, h := range sm.hosts {
			sm.schedule(time.Duration(i)*f.Duration, func() { sm.injectHostFault(Fault{Kind: RestartHost}, h) })
		}
	}
}

func (sm *Simulation) hostsOf(zone string) []*host {
	var hosts []*host
	for _, h := range sm.hosts {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// drawLinks calls use for half of the links from and to a host that are open.
func (sm *Simulation) drawLinks(h *host, use func(from *host, address string)) {
	for _, other := range sm.hosts {
		for _, ends := range [][2]*host{{h, other}, {other, h}} {
			from, to := ends[0], ends[1]
			if sm.random.IntN(2) == 0 && from.up && from.links[to.address] {
				use(from, to.address)
			}
		}
	}
}

// replaceLinks replaces links from and to a host. What was sent on the old ones arrives later
// than what is sent on the new ones, like frames that the kernel of a peer has received.
func (sm *Simulation) replaceLinks(f Fault, h *host) {
	sm.disturb(h.name, f.Duration)
	sm.drawLinks(h, func(from *host, address string) {
		from.heldUntil[address] = sm.now.Add(sm.drawDuration(0, f.Duration))
		from.schedule(sm.drawDuration(0, linkTimeout), func() { from.replaceLink(address) })
	})
}

// muteLinks makes links from and to a host lose all messages until they are replaced.
func (sm *Simulation) muteLinks(f Fault, h *host) {
	sm.disturb(h.name, f.Duration)
	sm.drawLinks(h, func(from *host, address string) {
		from.muted[address] = true
		from.schedule(linkTimeout, func() {
			if from.muted[address] {
				from.replaceLink(address)
			}
		})
	})
}

// cutOneWay blocks the messages between a host and other hosts or targets in one direction.
func (sm *Simulation) cutOneWay(f Fault, h *host) {
	sm.disturb(h.name, f.Duration)
	var others []string
	if sm.random.IntN(2) == 0 {
		for _, other := range sm.hosts {
			if other != h {
				others = append(others, other.name)
			}
		}
	} else {
		others = sm.targetIDs
	}
	outward := sm.random.IntN(2) == 0
	for _, other := range others {
		path := [2]string{other, h.name}
		if outward {
			path = [2]string{h.name, other}
		}
		if sm.random.IntN(3) > 0 {
			sm.blockedPaths[path] = true
			sm.schedule(f.Duration, func() { delete(sm.blockedPaths, path) })
		}
	}
}

// replaceLink closes an open link and dials a new one.
func (h *host) replaceLink(address string) {
	if h.links[address] {
		h.links[address] = false
		h.dial(address)
	}
}

// throttle pauses the process for the last part of each tenth of a second until the end.
func (h *host) throttle(incarnation int, end time.Time) {
	sim := h.sim
	if h.incarnation != incarnation || !h.up || h.paused || !sim.now.Before(end) {
		return
	}
	run := sim.drawDuration(throttlePeriod/10, throttlePeriod)
	sim.schedule(run, func() {
		if h.incarnation == incarnation && !h.paused {
			sim.injectHostFault(Fault{Kind: PauseHost, Duration: throttlePeriod - run}, h)
		}
	})
	sim.schedule(throttlePeriod+time.Millisecond, func() { h.throttle(incarnation, end) })
}

// crash ends the process, which starts again at once, and repeats this until the end.
func (h *host) crash(end time.Time) {
	sim := h.sim
	if h.up {
		h.kill()
		sim.schedule(sim.drawDuration(minCrashPause, maxCrashPause), h.startProcess)
	}
	pause := maxCrashPause + sim.drawDuration(0, maxCrashInterval)
	if sim.now.Add(pause).Before(end) {
		sim.schedule(pause, func() { h.crash(end) })
	}
}

// slowDown makes the process handle each event late, in order, for a duration.
func (h *host) slowDown(duration time.Duration) {
	if !h.up {
		return
	}
	h.sim.disturb(h.name, duration)
	h.lag = h.sim.drawDuration(minCrashPause/2, maxLag)
	incarnation := h.incarnation
	h.sim.schedule(duration, func() {
		if h.incarnation == incarnation {
			h.lag, h.resumedAt = 0, h.sim.now.Add(maxLag)
		}
	})
}

// crashTargets ends a share of the targets each second until the end.
func (sm *Simulation) crashTargets(f Fault, end time.Time) {
	if !sm.now.Before(end) {
		return
	}
	for _, id := range sm.targetIDs {
		if t := sm.targets[id]; t.up && sm.random.Float64() < f.TargetShare {
			t.kill()
			sm.schedule(sm.drawDuration(minTargetPause, maxTargetPause), func() {
				if !t.up {
					t.startProcess()
				}
			})
		}
	}
	sm.schedule(time.Second, func() { sm.crashTargets(f, end) })
}

// resize halves the capacity of the target for a duration.
func (t *target) resize(duration time.Duration) {
	whole := t.entry.Capacity
	t.entry.Capacity.CPU, t.entry.Capacity.Memory = whole.CPU/2, whole.Memory/2
	t.sim.store.listTarget(t)
	t.sim.schedule(duration, func() {
		t.entry.Capacity = whole
		if t.up {
			t.sim.store.listTarget(t)
		}
	})
}

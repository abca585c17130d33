package router

import "time"

const (
	// standbyUseInterval is the interval at which a standby connection is used. It is
	// shorter than the time after which idle connections are closed.
	standbyUseInterval = 15 * time.Second
	// standbyOpenInterval is the delay between opening connections to two targets.
	// Opening a connection takes several times as much processor time as an order.
	standbyOpenInterval = 40 * time.Millisecond
	// standbyConnectionCount is the number of connections that are kept open to a
	// target: one for a waiting renewal, one for a start at the same time.
	standbyConnectionCount = 2
	// standbyTimeout bounds opening a connection and the answer on it. It is long
	// because nothing waits for them.
	standbyTimeout = time.Second
)

// maintainStandbyConnections keeps connections open to the targets of cells that this
// host is a likely successor for. A takeover sends orders to all targets at once; with
// a small processor share, opening the connections only then would take longer than the
// rest of the takeover.
func (r *Router) maintainStandbyConnections() {
	isDue := r.isNamedSuccessor() || r.now.Sub(r.lastStandbyUseAt) >= standbyOpenInterval && r.isSuccessor()
	if !isDue || !r.isEnabled(StandbyConnections) {
		return
	}
	for range r.standbyBatch() {
		entry := r.unconnectedTarget()
		if entry == nil {
			return
		}
		r.standbyUsedAt[entry.ID], r.lastStandbyUseAt = r.now, r.now
		r.emit(WarmUp{Target: *entry, Connections: standbyConnectionCount, Timeout: standbyTimeout})
	}
}

// standbyBatch returns to how many targets connections are opened at once.
func (r *Router) standbyBatch() int {
	if r.isNamedSuccessor() {
		return successorOpenCount
	}
	return 1
}

// unconnectedTarget returns a target to which a standby connection must be opened or used, or nil if
// there is none.
func (r *Router) unconnectedTarget() *Target {
	for i := range r.directory.Targets {
		entry := &r.directory.Targets[i]
		if c := r.cells[entry.Zone]; c == nil || c.heldHere || !r.sharesCells(entry.Zone) || entry.Draining {
			continue
		}
		if lastUsedAt, known := r.standbyUsedAt[entry.ID]; !known || r.now.Sub(lastUsedAt) >= standbyUseInterval {
			return entry
		}
	}
	return nil
}

// isSuccessor reports whether this host is a likely successor of the holder of its
// zone's cell. It returns false while the cell lacks a holder: there are more
// candidates then, and the standby connections are left as they are.
func (r *Router) isSuccessor() bool {
	c := r.cells[r.Self.Zone]
	return c != nil && !c.heldHere && c.claim.Token > 0 && c.holderlessSince.IsZero() && r.hubs[r.Self.Address]
}

// dropUnlistedStandby closes the standby connections to targets that are no longer
// listed.
func (r *Router) dropUnlistedStandby() {
	listed := make(map[string]bool, len(r.directory.Targets))
	for _, entry := range r.directory.Targets {
		listed[entry.ID] = true
	}
	for id := range r.standbyUsedAt {
		if !listed[id] {
			delete(r.standbyUsedAt, id)
			r.emit(CloseIdle{ID: id, Gone: r.targets[id] == nil})
		}
	}
}

package router

import "time"

const (
	// standbyUseInterval is how often a connection to a target is used that a successor keeps open:
	// sooner than idle connections are closed.
	standbyUseInterval = 15 * time.Second
	// standbyOpenInterval spaces the opening of connections, each of which takes several times as
	// much processor time as an order.
	standbyOpenInterval = 40 * time.Millisecond
	// standbyConnectionCount is how many connections to a target are kept open: one for a renewal
	// that waits, and one for a start beside it.
	standbyConnectionCount = 2
	// standbyTimeout bounds the opening of a connection and an answer: nothing waits for them.
	standbyTimeout = time.Second
)

// maintainStandbyConnections keeps connections open to the targets of a cell that this host would hold next.
// A takeover sends orders to all targets at once; opening the connections then would take
// a small processor longer than the takeover itself.
func (r *Router) maintainStandbyConnections() {
	if r.now.Sub(r.lastStandbyUseAt) < standbyOpenInterval || !r.isSuccessor() || !r.isEnabled(StandbyConnections) {
		return
	}
	for _, entry := range r.directory.Targets {
		if c := r.cells[entry.Zone]; c == nil || c.heldHere || !r.sharesCells(entry.Zone) || entry.Draining {
			continue
		}
		if lastUsedAt, known := r.standbyUsedAt[entry.ID]; known && r.now.Sub(lastUsedAt) < standbyUseInterval {
			continue
		}
		r.standbyUsedAt[entry.ID], r.lastStandbyUseAt = r.now, r.now
		r.emit(WarmUp{Target: entry, Connections: standbyConnectionCount, Timeout: standbyTimeout})
		return
	}
}

// isSuccessor reports whether this host would hold its zone's cell, or all cells, next. While
// the cell lacks a holder there are more candidates, and connections are left as they are.
func (r *Router) isSuccessor() bool {
	c := r.cells[r.Self.Zone]
	return c != nil && !c.heldHere && c.claim.Token > 0 && c.holderlessSince.IsZero() && r.hubs[r.Self.Address]
}

// dropUnlistedStandby drops targets that are listed no more.
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

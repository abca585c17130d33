package router

import "time"

const (
	// warmEvery is how often a connection to a target is used that a successor keeps open:
	// sooner than idle connections are closed.
	warmEvery = 15 * time.Second
	// warmPause spaces the opening of connections, each of which takes several times as
	// much processor time as an order.
	warmPause = 40 * time.Millisecond
	// warmConnections is how many connections to a target are kept open: one for a renewal
	// that waits, and one for a start beside it.
	warmConnections = 2
	// warmTimeout bounds the opening of a connection and an answer: nothing waits for them.
	warmTimeout = time.Second
)

// standBy keeps connections open to the targets of a cell that this host would hold next.
// A takeover sends orders to all targets at once; opening the connections then would take
// a small processor longer than the takeover itself.
func (r *Router) standBy() {
	if r.now.Sub(r.warmed) < warmPause || !r.isSuccessor() || !r.uses(StandbyConnections) {
		return
	}
	for _, entry := range r.directory.Targets {
		if c := r.cells[entry.Zone]; c == nil || c.mine || !r.related(entry.Zone) || entry.Draining {
			continue
		}
		if last, known := r.warm[entry.ID]; known && r.now.Sub(last) < warmEvery {
			continue
		}
		r.warm[entry.ID], r.warmed = r.now, r.now
		r.emit(WarmUp{Target: entry, Connections: warmConnections, Timeout: warmTimeout})
		return
	}
}

// isSuccessor reports whether this host would hold its zone's cell, or all cells, next. While
// the cell lacks a holder there are more candidates, and connections are left as they are.
func (r *Router) isSuccessor() bool {
	c := r.cells[r.Self.Zone]
	return c != nil && !c.mine && c.claim.Token > 0 && c.absent.IsZero() && r.hub[r.Self.Address]
}

// forgetWarm drops targets that are listed no more.
func (r *Router) forgetWarm() {
	listed := make(map[string]bool, len(r.directory.Targets))
	for _, entry := range r.directory.Targets {
		listed[entry.ID] = true
	}
	for id := range r.warm {
		if !listed[id] {
			delete(r.warm, id)
			r.emit(CloseIdle{ID: id, Gone: r.targets[id] == nil})
		}
	}
}

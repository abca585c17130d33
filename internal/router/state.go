package router

import "time"

// Inspect asks for the State; State answers it.
type Inspect struct{ Request uint64 }

// State is what a host believes, for operators. Times are in nanoseconds in JSON.
type State struct {
	Request uint64 `json:"-"`
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	// Slot is the host's number in the store; 0 means that it is not registered yet.
	Slot    int  `json:"slot"`
	Leaving bool `json:"leaving"`
	// Config is the version of the configuration in force, 0 for none.
	Config uint64 `json:"config"`
	// Directory is the version of the list of targets, TargetCount how many it names, and
	// DirectoryAge the time since it was read; -1 means never.
	Directory    uint64        `json:"directory"`
	TargetCount  int           `json:"listed"`
	DirectoryAge time.Duration `json:"age"`
	// Open counts requests of this host's clients; Waiting and Running count tasks of
	// the cells that it holds.
	Open    int           `json:"open"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Peers   []PeerState   `json:"peers"`
	Cells   []CellState   `json:"cells"`
	Targets []TargetState `json:"targets"`
}

// PeerState is another host.
type PeerState struct {
	Host      string `json:"host"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reached"`
	Leaving   bool   `json:"leaving"`
	// Age is the time since this host's own clock last came back; -1 means never.
	Age time.Duration `json:"age"`
}

// CellState is the targets of a zone as one unit.
type CellState struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Reachable tells that the holder is this host or reached, and Absent for how long it
	// has not been.
	Reachable bool          `json:"held"`
	Absent    time.Duration `json:"absent"`
}

// TargetStatus tells whether a target is given tasks.
type TargetStatus string

const (
	// Usable targets are given tasks, once no run is left there that no job claims.
	Usable TargetStatus = "usable"
	// Draining targets are leaving.
	Draining TargetStatus = "draining"
	// Unlisted targets are not in the list of targets.
	Unlisted TargetStatus = "unlisted"
	// Unfenced targets have not answered under the holder's token yet.
	Unfenced TargetStatus = "unfenced"
	// Unresponsive targets have not answered lately.
	Unresponsive TargetStatus = "silent"
	// Ejected targets fail, stand still or are slow; they are left out for a while.
	Ejected TargetStatus = "barred"
	// OnTrial targets are on trial after that: one run at a time.
	OnTrial TargetStatus = "tried"
)

// TargetState is a target of a cell that the host holds.
type TargetState struct {
	ID       string       `json:"id"`
	Zone     string       `json:"zone"`
	Service  string       `json:"service"`
	State    TargetStatus `json:"state"`
	Used     Resources    `json:"used"`
	Capacity Resources    `json:"room"`
	Runs     int          `json:"runs"`
	// Age is the time since the last good answer was asked for; -1 means never.
	Age time.Duration `json:"age"`
	// EjectedFor is for how long it is still left out.
	EjectedFor time.Duration `json:"barred"`
}

func (Inspect) event() {}
func (State) effect()  {}

// handleInspect answers with what this host believes.
func (r *Router) handleInspect(e Inspect) {
	view := r.View()
	state := State{
		Request: e.Request, Host: r.Self.Name, Zone: r.Self.Zone, Slot: r.Self.Slot, Leaving: !r.leavingSince.IsZero(),
		Directory: r.directory.Version, TargetCount: len(r.directory.Targets), DirectoryAge: r.ageOf(r.directoryReadAt),
		Open: view.Open, Waiting: view.Waiting, Running: view.Running,
	}
	if r.config != nil {
		state.Config = r.config.Version
	}
	for _, p := range r.sortedPeers() {
		state.Peers = append(state.Peers, PeerState{Host: p.member.Name, Zone: p.member.Zone, Reachable: r.isReachable(p), Leaving: p.leaving, Age: r.ageOf(p.lastEchoedAt)})
	}
	for _, zone := range sortedKeys(r.cells) {
		c := r.cells[zone]
		cellState := CellState{Zone: zone, Holder: c.claim.Holder.Name, Token: c.claim.Token, Reachable: r.reachableHolder(zone) != nil}
		if !c.holderlessSince.IsZero() {
			cellState.Absent = r.now.Sub(c.holderlessSince)
		}
		state.Cells = append(state.Cells, cellState)
	}
	for _, id := range sortedKeys(r.targets) {
		t := r.targets[id]
		state.Targets = append(state.Targets, TargetState{
			ID: id, Zone: t.Zone, Service: t.Service, State: r.targetStatus(t), Used: t.used, Capacity: t.Capacity, Runs: len(t.runs),
			Age: r.ageOf(t.lastConfirmedAt), EjectedFor: max(t.ejectedUntil.Sub(r.now), 0),
		})
	}
	r.emit(state)
}

// ageOf returns the time since a moment, or -1 for none.
func (r *Router) ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return r.now.Sub(at)
}

// targetStatus tells whether a target is given tasks, and the first reason why not.
func (r *Router) targetStatus(t *target) TargetStatus {
	switch {
	case t.Draining:
		return Draining
	case !t.listed:
		return Unlisted
	case !t.fenced:
		return Unfenced
	case r.isUnresponsive(t):
		return Unresponsive
	case r.now.Before(t.ejectedUntil):
		return Ejected
	case t.onTrial:
		return OnTrial
	}
	return Usable
}

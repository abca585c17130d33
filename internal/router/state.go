package router

import "time"

// Inspect asks for the State, which answers it.
type Inspect struct{ Request uint64 }

// State is a snapshot of a host's state for operators. Durations are encoded in
// nanoseconds in JSON.
type State struct {
	Request uint64 `json:"-"`
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	// Slot is the host's number in the store; 0 means that the host is not registered
	// yet.
	Slot    int  `json:"slot"`
	Leaving bool `json:"leaving"`
	// Config is the version of the current configuration; 0 means none.
	Config uint64 `json:"config"`
	// Directory is the version of the current directory, TargetCount the number of
	// targets in it, and DirectoryAge the time since this host last read it from the
	// store; -1 means never.
	Directory    uint64        `json:"directory"`
	TargetCount  int           `json:"listed"`
	DirectoryAge time.Duration `json:"age"`
	// Evacuations are the evacuated zones as this host knows them.
	Evacuations EvacuationsState `json:"evacuations"`
	// Open counts requests of this host's clients. Waiting and Running count tasks of
	// the cells that this host holds.
	Open    int           `json:"open"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Peers   []PeerState   `json:"peers"`
	Cells   []CellState   `json:"cells"`
	Targets []TargetState `json:"targets"`
}

// EvacuationsState is what a host knows of the evacuated zones.
type EvacuationsState struct {
	Zones []string `json:"zones"`
	// Version is the version of the store at which the set last changed; 0 means that the
	// set is not known.
	Version uint64 `json:"version"`
	// Age is the time since this host last read the set from the store; -1 means never.
	Age time.Duration `json:"age"`
}

// PeerState is the state of another host.
type PeerState struct {
	Host      string `json:"host"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reached"`
	Leaving   bool   `json:"leaving"`
	// Age is the age of the newest time of this host's clock that the peer has echoed;
	// -1 means none.
	Age time.Duration `json:"age"`
}

// CellState is the state of the cell of a zone.
type CellState struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Reachable is true if this host is the holder or reaches it. Absent is how long
	// the cell has lacked a holder.
	Reachable bool          `json:"held"`
	Absent    time.Duration `json:"absent"`
}

// TargetStatus states whether a target is given tasks, or why not.
type TargetStatus string

const (
	// Usable targets are given tasks once they have no orphans.
	Usable TargetStatus = "usable"
	// Draining targets are about to leave.
	Draining TargetStatus = "draining"
	// InEvacuatedZone is the status of the targets of evacuated zones.
	InEvacuatedZone TargetStatus = "evacuated"
	// Unlisted targets are not in the directory.
	Unlisted TargetStatus = "unlisted"
	// Unfenced targets have not accepted the holder's token yet.
	Unfenced TargetStatus = "unfenced"
	// Unresponsive targets have not answered recently.
	Unresponsive TargetStatus = "silent"
	// Ejected targets are given no tasks for a while because their runs fail, stall or
	// are slow, or because they refused a task as unhealthy.
	Ejected TargetStatus = "barred"
	// Unheard targets answer renewals but no orders. They are given no tasks until they answer one.
	Unheard TargetStatus = "unheard"
	// OnTrial targets are on trial after an ejection: they are given one run at a time.
	OnTrial TargetStatus = "tried"
)

// TargetState is the state of a target of a cell that the host holds.
type TargetState struct {
	ID       string       `json:"id"`
	Zone     string       `json:"zone"`
	Service  string       `json:"service"`
	State    TargetStatus `json:"state"`
	Used     Resources    `json:"used"`
	Capacity Resources    `json:"room"`
	Runs     int          `json:"runs"`
	// Age is the time since the newest renewal that was answered with a run list was
	// sent; -1 means none.
	Age time.Duration `json:"age"`
	// EjectedFor is the remaining time of the ejection.
	EjectedFor time.Duration `json:"barred"`
}

func (Inspect) event() {}
func (State) effect()  {}

// handleInspect answers with a snapshot of this host's state.
func (r *Router) handleInspect(e Inspect) {
	view := r.View()
	state := State{
		Request: e.Request, Host: r.Self.Name, Zone: r.Self.Zone, Slot: r.Self.Slot, Leaving: !r.leavingSince.IsZero(),
		Directory: r.directory.Version, TargetCount: len(r.directory.Targets), DirectoryAge: r.ageOf(r.directoryReadAt),
		Evacuations: EvacuationsState{Zones: r.evacuations.Zones, Version: r.evacuations.Version, Age: r.ageOf(r.evacuationsReadAt)},
		Open:        view.Open, Waiting: view.Waiting, Running: view.Running,
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

// ageOf returns the time since a moment, or -1 for the zero time.
func (r *Router) ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return r.now.Sub(at)
}

// targetStatus returns whether a target is given tasks, or the first reason why not.
func (r *Router) targetStatus(t *target) TargetStatus {
	switch {
	case t.Draining:
		return Draining
	case !t.listed:
		return Unlisted
	case t.evacuated:
		return InEvacuatedZone
	case !t.fenced:
		return Unfenced
	case r.isUnresponsive(t):
		return Unresponsive
	case r.now.Before(t.ejectedUntil):
		return Ejected
	case t.answers.isOpen() || t.awaitsStop():
		return Unheard
	case t.onTrial:
		return OnTrial
	}
	return Usable
}

package scheduler

// Report is what a host tells its peers: its demand, its use of the targets and
// the versions it holds. The transport sends what changed since the last one.
type Report struct {
	Host string
	Zone string
	// Address is where peers and forwarded submissions reach the host.
	Address     string
	Incarnation uint64
	// Config and Directory are the versions that the host holds.
	Config    uint64
	Directory uint64
	// Leaving tells that the host is draining.
	Leaving bool
	Demands []Demand
	Uses    []Use
}

// Demand is what one client has at the reporting host for one service.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	Client  string `cbor:"2,keyasint"`
	Running int    `cbor:"3,keyasint,omitempty"`
	Waiting int    `cbor:"4,keyasint,omitempty"`
}

// Use is the reporting host's view of one target.
type Use struct {
	Target string `cbor:"1,keyasint"`
	// Tasks counts the host's tasks in flight at the target.
	Tasks int `cbor:"2,keyasint,omitempty"`
	// State is omitted for a live target.
	State State `cbor:"3,keyasint,omitempty"`
	// Doubt tells how surprisingly long the host's tasks take there.
	Doubt int `cbor:"4,keyasint,omitempty"`
}

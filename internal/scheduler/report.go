package scheduler

// Report is what a host sends to its peers: its demand, its use of the targets and
// the versions of its configuration and directory. The transport sends only the
// changes since the last report.
type Report struct {
	Host string
	Zone string
	// Address is the address for peers and forwarded submissions.
	Address     string
	Incarnation uint64
	// Config and Directory are the versions that the host uses.
	Config    uint64
	Directory uint64
	// Leaving reports whether the host is draining.
	Leaving bool
	Demands []Demand
	Uses    []TargetUse
}

// Demand counts the tasks of one client for one service at the reporting host.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	Client  string `cbor:"2,keyasint"`
	Running int    `cbor:"3,keyasint,omitempty"`
	Waiting int    `cbor:"4,keyasint,omitempty"`
}

// TargetUse is the reporting host's view of one target.
type TargetUse struct {
	Target string `cbor:"1,keyasint"`
	// Tasks counts the host's tasks in flight at the target.
	Tasks int `cbor:"2,keyasint,omitempty"`
	// State is omitted for a live target.
	State TargetState `cbor:"3,keyasint,omitempty"`
	// Suspicion is the host's suspicion that the target is slow, in units of
	// suspicionStep: how surprisingly long the host's tasks take there.
	Suspicion int `cbor:"4,keyasint,omitempty"`
}

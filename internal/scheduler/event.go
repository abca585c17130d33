package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
)

// Event is an input of Scheduler.Step.
type Event interface{ event() }

// Tick tells that time has passed. It comes at least every Bounds.Tick.
type Tick struct{}

// Issue asks for a block of tickets. It is answered by an Issued effect.
type Issue struct {
	Request uint64
	Client  string
	Count   int
}

// Submit asks to run a job. It is answered by one Reply effect, at once or when
// the job is final. Number is 0 for an idempotent job without a ticket.
type Submit struct {
	Request uint64
	Client  string
	Number  uint64
	Job     shallotrouter.Job
	// Digest tells jobs apart: a ticket is good for one job only. Zero is not
	// compared.
	Digest uint64
}

// Inspect asks for the state of a job. It is answered by a Shown effect.
type Inspect struct {
	Request uint64
	Client  string
	Number  uint64
}

// Cancel withdraws a job. It is answered by one Reply effect.
type Cancel struct {
	Request uint64
	Client  string
	Number  uint64
}

// Result is how one start of a task ended.
type Result string

const (
	// Done means that the target answered with the task's whole result.
	Done Result = "done"
	// Wrong means that the target ran the task and reported a failure.
	Wrong Result = "wrong"
	// Lost means that the task's fate is unknown.
	Lost Result = "lost"
	// Busy means that the target refused before starting: no slot was free.
	Busy Result = "busy"
	// Late means that the target refused before starting: the start-by time
	// had passed.
	Late Result = "late"
	// Leaving means that the target refused before starting: it is leaving.
	Leaving Result = "leaving"
	// Unsent means that no byte of the task was written to the target.
	Unsent Result = "unsent"
)

// Started reports whether the task may have started.
func (r Result) Started() bool { return r == Done || r == Wrong || r == Lost }

// Finish tells how a Start effect ended. There is exactly one for each.
type Finish struct {
	Number  uint64
	Task    int
	Target  string
	Result  Result
	Payload []byte
	Message string
	// Elapsed is the time from the send to the answer.
	Elapsed time.Duration
}

// Hear brings the whole current report of a peer.
type Hear struct{ Report Report }

// Adopt brings a configuration; it is taken only when its version is higher.
type Adopt struct{ Config *declarer.Config }

// Locate brings the platform's list of the zone's targets; it is taken only
// when its version is higher than the one in force, or equal to confirm it.
type Locate struct{ Directory Directory }

// Confirm tells that the platform still has the directory of this version.
type Confirm struct{ Directory uint64 }

// Drain asks for a graceful shutdown, which ends with a Halt effect.
type Drain struct{}

// Stop ends the drain at once: every open job gets a truthful answer.
type Stop struct{}

func (Tick) event()    {}
func (Issue) event()   {}
func (Submit) event()  {}
func (Inspect) event() {}
func (Cancel) event()  {}
func (Finish) event()  {}
func (Hear) event()    {}
func (Adopt) event()   {}
func (Locate) event()  {}
func (Confirm) event() {}
func (Drain) event()   {}
func (Stop) event()    {}

// Directory is the platform's lagging list of the hosts of one zone.
type Directory struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
	Hosts   []Host `cbor:"3,keyasint" json:"hosts"`
}

// Role is what a listed host does.
type Role string

const (
	// Target is a host that runs tasks.
	Target Role = "target"
	// Entry is a host that runs this daemon.
	Entry Role = "entry"
)

// Host is one entry of a Directory.
type Host struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Role    Role   `cbor:"2,keyasint" json:"role"`
	Address string `cbor:"3,keyasint" json:"address"`
	// Service is the service that a target runs.
	Service string `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	// Leaving tells that the platform is about to take the host away.
	Leaving bool `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
}

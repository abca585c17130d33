package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
)

// Event is an input of Scheduler.Step.
type Event interface{ event() }

// Tick lets the scheduler act on the passing of time. It must come at least every
// Bounds.TickInterval.
type Tick struct{}

// Issue requests a block of tickets. It is answered by an Issued effect.
type Issue struct {
	Request uint64
	Client  string
	Count   int
}

// Submit requests to run a job. It is answered by one Reply effect, at once or when
// the job has its final answer. Number is 0 for an idempotent job without a ticket.
type Submit struct {
	Request uint64
	Client  string
	Number  uint64
	Job     shallotrouter.Job
	// Digest identifies the content of the job: a ticket is valid for one job only.
	// A zero digest is not compared.
	Digest uint64
}

// InspectJob requests the state of a job. It is answered by a JobInspected effect.
type InspectJob struct {
	Request uint64
	Client  string
	Number  uint64
}

// Cancel requests to cancel a job. It is answered by one Reply effect.
type Cancel struct {
	Request uint64
	Client  string
	Number  uint64
}

// Result is the result of one start of a task.
type Result string

const (
	// Done means that the target answered with the task's whole result.
	Done Result = "done"
	// Failed means that the target ran the task and reported a failure.
	Failed Result = "wrong"
	// NoAnswer means that no answer arrived: the task may or may not have run.
	NoAnswer Result = "lost"
	// Busy means that the target refused before starting: no slot was free.
	Busy Result = "busy"
	// OrderExpired means that the target refused before starting: the start-by time
	// had passed.
	OrderExpired Result = "late"
	// Leaving means that the target refused before starting: it is leaving.
	Leaving Result = "leaving"
	// NotSent means that no byte of the task was written to the target.
	NotSent Result = "unsent"
)

// Started reports whether the task may have started.
func (r Result) Started() bool { return r == Done || r == Failed || r == NoAnswer }

// RunEnded reports the result of a Start effect. Each Start effect is followed by
// exactly one RunEnded event.
type RunEnded struct {
	Number  uint64
	Task    int
	Target  string
	Result  Result
	Payload []byte
	Message string
	// Elapsed is the time from sending the task to the answer.
	Elapsed time.Duration
}

// ReportReceived delivers the complete current report of a peer.
type ReportReceived struct{ Report Report }

// Adopt delivers a configuration. It is ignored unless its version is higher than
// that of the current configuration.
type Adopt struct{ Config *declarer.Config }

// Locate delivers the platform's directory of the zone. It is ignored if its
// version is lower than that of the current directory; an equal version confirms
// the current directory.
type Locate struct{ Directory Directory }

// DirectoryUnchanged reports that the platform's directory still has this version.
type DirectoryUnchanged struct{ Version uint64 }

// Drain requests a graceful shutdown, which ends with a Halt effect.
type Drain struct{}

// Stop ends the drain at once: every job without an answer is answered as refused
// if none of its tasks may have started, as failed otherwise.
type Stop struct{}

func (Tick) event()               {}
func (Issue) event()              {}
func (Submit) event()             {}
func (InspectJob) event()         {}
func (Cancel) event()             {}
func (RunEnded) event()           {}
func (ReportReceived) event()     {}
func (Adopt) event()              {}
func (Locate) event()             {}
func (DirectoryUnchanged) event() {}
func (Drain) event()              {}
func (Stop) event()               {}

// Directory is the platform's list of the hosts of one zone. It may be out of date.
type Directory struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
	Hosts   []Host `cbor:"3,keyasint" json:"hosts"`
}

// Role is the role of a listed host.
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
	// Leaving reports whether the platform is about to remove the host.
	Leaving bool `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
}

package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// Effect is an output of Scheduler.Step. The caller executes effects in order.
type Effect interface{ effect() }

// Start sends one task to one target. Exactly one RunEnded event must follow.
type Start struct {
	Number  uint64
	Task    int
	Client  string
	Service string
	Target  string
	Address string
	Kind    string
	Payload []byte
	// StartBy is the time until which the target may start the task; later it refuses it.
	StartBy time.Time
	// AnswerBy is the time at which the task counts as lost if there is no answer.
	AnswerBy time.Time
}

// Reply is the final answer to a Submit or Cancel request.
type Reply struct {
	Request uint64
	// Number is the job's ticket number, or 0 when there is none.
	Number uint64
	Answer shallotrouter.Answer
}

// JobInspected answers an InspectJob request. The Answer in State is nil while the job
// has no final answer.
type JobInspected struct {
	Request uint64
	State   shallotrouter.State
}

// Issued answers an Issue request with Count ticket numbers from First on, or with
// Err.
type Issued struct {
	Request uint64
	First   uint64
	Count   int
	Expires time.Time
	Err     *shallotrouter.Error
}

// Publish sends the host's report to all peers.
type Publish struct{ Report Report }

// Refresh requests to read the configuration and the directory at once.
type Refresh struct{}

// CloseIdle closes the idle connections to a target.
type CloseIdle struct{ Target string }

// Action is the kind of a decision.
type Action string

const (
	// Admit means that a job was admitted and queued.
	Admit Action = "admit"
	// Place means that a task was sent to a target.
	Place Action = "place"
	// Requeue means that a task did not start and is queued again.
	Requeue Action = "requeue"
	// Finalize means that a job got its final answer or was refused.
	Finalize Action = "finalize"
	// StateChanged means that the state of a target, a peer or the host itself changed.
	StateChanged Action = "mark"
)

// Decision reports one routing or placement decision for the log.
type Decision struct {
	Action  Action
	Number  uint64
	Task    int
	Client  string
	Target  string
	Outcome shallotrouter.Outcome
	Reason  string
}

// Violation reports a broken invariant, which is a defect of the program.
type Violation struct {
	Invariant string
	Detail    string
}

// Halt reports that the drain is over and the process may exit.
type Halt struct{}

func (Start) effect()        {}
func (Reply) effect()        {}
func (JobInspected) effect() {}
func (Issued) effect()       {}
func (Publish) effect()      {}
func (Refresh) effect()      {}
func (CloseIdle) effect()    {}
func (Decision) effect()     {}
func (Violation) effect()    {}
func (Halt) effect()         {}

package scheduler

import (
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// Effect is an output of Scheduler.Step, to be carried out in order.
type Effect interface{ effect() }

// Start sends one task to one target. It is followed by exactly one Finish.
type Start struct {
	Number  uint64
	Task    int
	Client  string
	Service string
	Target  string
	Address string
	Kind    string
	Payload []byte
	// By is when the target must have begun; later it refuses the task.
	By time.Time
	// Until is when the task counts as lost if no answer has come.
	Until time.Time
}

// Reply is the final answer to a Submit or Cancel request.
type Reply struct {
	Request uint64
	// Number is the job's ticket number, or 0 when there is none.
	Number uint64
	Answer shallotrouter.Answer
}

// Shown answers an Inspect request. Answer is nil for a job that is not final.
type Shown struct {
	Request uint64
	State   shallotrouter.State
}

// Issued answers an Issue request with numbers from First on, or with Err.
type Issued struct {
	Request uint64
	First   uint64
	Count   int
	Expires time.Time
	Err     *shallotrouter.Error
}

// Publish hands the host's report to the peers.
type Publish struct{ Report Report }

// Refresh asks for the configuration and the directory to be read at once.
type Refresh struct{}

// Retire closes the idle connections to a target.
type Retire struct{ Target string }

// Action is what a decision did.
type Action string

const (
	// Admit marks a job that was queued.
	Admit Action = "admit"
	// Place marks a task that was given to a target.
	Place Action = "place"
	// Requeue marks a task that is to be placed again.
	Requeue Action = "requeue"
	// Finalize marks a job that got its final answer.
	Finalize Action = "finalize"
	// Mark marks a change of state of a target, peer or the host itself.
	Mark Action = "mark"
)

// Decide is one routing or placement decision for the log.
type Decide struct {
	Action  Action
	Number  uint64
	Task    int
	Client  string
	Target  string
	Outcome shallotrouter.Outcome
	Reason  string
}

// Violate reports a broken invariant. It is a defect of the program.
type Violate struct {
	Invariant string
	Detail    string
}

// Halt tells that the drain is over and the process may end.
type Halt struct{}

func (Start) effect()   {}
func (Reply) effect()   {}
func (Shown) effect()   {}
func (Issued) effect()  {}
func (Publish) effect() {}
func (Refresh) effect() {}
func (Retire) effect()  {}
func (Decide) effect()  {}
func (Violate) effect() {}
func (Halt) effect()    {}

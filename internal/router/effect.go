package router

import "time"

// Effect is an output of Router.Step, to be carried out in order.
type Effect interface{ effect() }

// Answer is the final answer to a Submit.
type Answer struct {
	Request uint64
	Verdict Verdict
}

// Cancelled answers a Cancel. Known tells whether the job was open here.
type Cancelled struct {
	Request uint64
	Known   bool
}

// OpenJobs answers a CountOpen.
type OpenJobs struct {
	Request uint64
	// Unstarted counts the open jobs of which no task is known to have started, by
	// route.
	Unstarted map[string]int
	// Open are the states of the open jobs, by ID: true for one that has begun.
	Open map[string]bool
}

// Send hands a message to the link to another host.
type Send struct {
	To      string // address
	Message Message
}

// Dial asks for links to the addresses, beside those there are.
type Dial struct{ Addresses []string }

// CloseLink closes the link to a host that is gone.
type CloseLink struct{ Address string }

// Redial replaces the connection to a host that does not answer.
type Redial struct{ Address string }

// Start orders a target to run a task. It is answered by one StartAnswered.
type Start struct {
	Target   Target
	Token    uint64
	Task     string
	Run      int
	Spec     string
	LeaseEnd int64 // end of the lease in the target's milliseconds
	Timeout  time.Duration
}

// Stop orders a target to end a run. It is answered by one StopAnswered.
type Stop struct {
	Target  Target
	Token   uint64
	Task    string
	Run     int
	Timeout time.Duration
}

// Renew extends a target's lease and asks what runs there. It is answered by
// one RenewAnswered.
type Renew struct {
	Target Target
	Token  uint64
	// Acked is the number up to which ends need not be listed again.
	Acked int
	// LeaseEnd is the end of the lease in the target's milliseconds; 0 leaves it.
	LeaseEnd int64
	// Wait is how long the answer waits for an end.
	Wait    time.Duration
	Timeout time.Duration
	// Poll marks a renewal beside the one that waits.
	Poll bool
}

// WarmUp opens connections to a target, or uses them so that they stay open, without any
// effect there. It is not answered.
type WarmUp struct {
	Target      Target
	Connections int
	Timeout     time.Duration
}

// CloseIdle drops the idle connections to a target.
type CloseIdle struct {
	ID string
	// Gone tells that the target is not used again.
	Gone bool
}

// WriteClaims writes claims to the store, each on the condition that its row has the
// version. It is answered by one ClaimsWritten.
type WriteClaims struct {
	Token uint64
	Rows  []StoredClaim
}

// ReadDirectory asks for the list of targets. It is answered by DirectoryRead or DirectoryReadFailed.
type ReadDirectory struct{}

// SaveLearnedState writes what was learned to the store, for the time after a loss of all hosts.
type SaveLearnedState struct {
	Routes []RouteStats `cbor:"1,keyasint"`
	Speeds []KindSpeed  `cbor:"2,keyasint"`
}

// RemoveMember removes a member that has gone from the store.
type RemoveMember struct{ Member Member }

// Decision is one decision for the log.
type Decision struct {
	Action string
	Job    string
	Task   string
	Target string
	// Pairs are further keys and values: inputs, their age, the outcome.
	Pairs []any
	// Routine tells that the decision explains no refusal or failure; it is left out
	// of the log first.
	Routine bool
}

// Violation reports a broken invariant. It is a defect of the program.
type Violation struct {
	Invariant string
	Detail    string
}

// Halt tells that the shutdown is over and the process may end.
type Halt struct{}

func (Answer) effect()           {}
func (Cancelled) effect()        {}
func (OpenJobs) effect()         {}
func (Send) effect()             {}
func (Dial) effect()             {}
func (CloseLink) effect()        {}
func (Redial) effect()           {}
func (Start) effect()            {}
func (Stop) effect()             {}
func (Renew) effect()            {}
func (CloseIdle) effect()        {}
func (WriteClaims) effect()      {}
func (ReadDirectory) effect()    {}
func (WarmUp) effect()           {}
func (SaveLearnedState) effect() {}
func (RemoveMember) effect()     {}
func (Decision) effect()         {}
func (Violation) effect()        {}
func (Halt) effect()             {}

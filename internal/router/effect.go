package router

import "time"

// Effect is an output of Router.Step. The effects of a step must be executed in order.
type Effect interface{ effect() }

// Answer is the final answer to a Submit.
type Answer struct {
	Request uint64
	Verdict Verdict
}

// Cancelled answers a Cancel. Known reports whether the job was open at this host.
type Cancelled struct {
	Request uint64
	Known   bool
}

// OpenJobs answers a CountOpen.
type OpenJobs struct {
	Request uint64
	// Unstarted counts the open jobs, by route, of which no task is known to be done.
	Unstarted map[string]int
	// Open maps the IDs of the open jobs to whether a task of the job is known to be
	// done.
	Open map[string]bool
}

// Send sends a message over the link to another host.
type Send struct {
	To      string // address
	Message Message
}

// Dial opens links to addresses, in addition to the existing links.
type Dial struct{ Addresses []string }

// CloseLink closes the link to a host that was removed.
type CloseLink struct{ Address string }

// Redial replaces the connection to a host that does not answer.
type Redial struct{ Address string }

// Process identifies one process of a target.
type Process struct {
	// StartedAt is its start time in Unix milliseconds; 0 if it is not known.
	StartedAt int64
	// ConfirmedAt is a time at which it ran: when the newest request that it has answered was sent.
	// A connection that was open by then does not lead to a later process.
	ConfirmedAt time.Time
}

// Start orders a target to run a task. It is answered by one StartAnswered.
type Start struct {
	Target Target
	// Process is the process that may run the task. Another one may be of another kind or capacity.
	Process  Process
	Token    uint64
	Task     string
	Run      int
	Spec     string
	LeaseEnd int64 // end of the lease on the target's clock, in milliseconds
	Timeout  time.Duration
}

// Stop orders a target to stop a run. It is answered by one StopAnswered.
type Stop struct {
	Target Target
	// Process is the start time of the process that was known when the order was sent, in Unix
	// milliseconds; 0 if none was. No earlier one gets the order.
	Process int64
	Token   uint64
	Task    string
	Run     int
	Timeout time.Duration
}

// Renew extends a target's lease and requests its run list. It is answered by one
// RenewAnswered.
type Renew struct {
	Target Target
	// Process is the process whose ends are acknowledged. Another one numbers its ends anew.
	Process Process
	Token   uint64
	// Acked is the number of the newest end that this host has processed; the target
	// need not list ends up to it again.
	Acked int
	// LeaseEnd is the new end of the lease on the target's clock, in milliseconds; 0
	// leaves the lease unchanged.
	LeaseEnd int64
	// Wait is how long the target may delay the answer until a run ends.
	Wait    time.Duration
	Timeout time.Duration
	// Poll marks a renewal that does not wait and is sent beside the waiting one.
	Poll bool
}

// WarmUp opens connections to a target, or uses open ones so that they stay open. It
// has no effect at the target and is not answered.
type WarmUp struct {
	Target      Target
	Connections int
	Timeout     time.Duration
}

// CloseIdle closes the idle connections to a target.
type CloseIdle struct {
	ID string
	// Gone is true if the target will not be used again.
	Gone bool
}

// WriteClaims writes claims to the store on the condition that each row has the given
// version. It is answered by one ClaimsWritten.
type WriteClaims struct {
	Token uint64
	Rows  []StoredClaim
}

// ReadClaims requests the claims from the store. It is answered by one ClaimsRead, or not at
// all if the store does not answer.
type ReadClaims struct{}

// ReadDirectory requests the directory from the store. It is answered by one
// DirectoryRead or DirectoryReadFailed.
type ReadDirectory struct{}

// SaveLearnedState saves learned state to the store, to be loaded if all hosts are
// lost.
type SaveLearnedState struct {
	Routes []RouteStats `cbor:"1,keyasint"`
	Speeds []KindSpeed  `cbor:"2,keyasint"`
}

// RemoveMember removes a member that has exited from the store.
type RemoveMember struct{ Member Member }

// Decision is a decision for the log.
type Decision struct {
	Action string
	Job    string
	Task   string
	Target string
	// Pairs are further keys and values: the inputs, their age, the result.
	Pairs []any
	// Routine is true if the decision explains no refusal or failure. Routine decisions
	// are the first to be left out of the log.
	Routine bool
}

// Violation reports a broken invariant, which is a defect of the program.
type Violation struct {
	Invariant string
	Detail    string
}

// Halt reports that the shutdown is complete and the process may exit.
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
func (ReadClaims) effect()       {}
func (ReadDirectory) effect()    {}
func (WarmUp) effect()           {}
func (SaveLearnedState) effect() {}
func (RemoveMember) effect()     {}
func (Decision) effect()         {}
func (Violation) effect()        {}
func (Halt) effect()             {}

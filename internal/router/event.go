package router

import "time"

// Event is an input of Router.Step.
type Event interface{ event() }

// Tick tells that time has passed. It comes at least every Bounds.TickInterval.
type Tick struct{}

// Submit brings a job of a client of this host. It is answered by one Answer.
type Submit struct {
	Request uint64
	Job     Job
	// Budget is how long the client waits.
	Budget time.Duration
}

// ClientGone tells that the client of a request has gone.
type ClientGone struct{ Request uint64 }

// Cancel withdraws a job. It is answered by one Cancelled.
type Cancel struct {
	Request uint64
	ID      string
}

// CountOpen asks for the open jobs of this host. It is answered by one OpenJobs.
type CountOpen struct{ Request uint64 }

// Receive brings a message of another entry host.
type Receive struct {
	From    string // address
	Message Message
}

// Adopt brings a configuration; it is taken only when its version is higher.
type Adopt struct{ Config *Config }

// DirectoryRead brings the list of targets, read from the store at RequestedAt.
type DirectoryRead struct {
	RequestedAt time.Time
	Directory   Directory
}

// DirectoryReadFailed tells that the list of targets could not be read.
type DirectoryReadFailed struct{}

// Registered tells the slot under which this host was registered, and the other
// members and claims that the store has.
type Registered struct {
	Slot     int
	SlotUses int
	Members  []Member
	Claims   []StoredClaim
}

// LearnedStateRead brings what holders of earlier times have written to the store.
type LearnedStateRead struct{ Saved []SaveLearnedState }

// StoredClaim is a claim in the store with the version of its row.
type StoredClaim struct {
	Claim   Claim
	Version uint64
}

// ClaimsWritten tells how a WriteClaims ended.
type ClaimsWritten struct {
	Token  uint64
	Result ClaimResult
	// Rows are the rows after the write or those that stood against it.
	Rows []StoredClaim
}

// ClaimResult is how a WriteClaims ended.
type ClaimResult string

const (
	// ClaimWon means that the rows were written.
	ClaimWon ClaimResult = "won"
	// ClaimConflict means that a row has changed meanwhile.
	ClaimConflict ClaimResult = "beaten"
	// ClaimTimeout means that the store did not answer in time.
	ClaimTimeout ClaimResult = "silent"
)

// StartResult is what a target answered to a Start.
type StartResult string

const (
	// Running means that the target runs the task.
	Running StartResult = "running"
	// Fenced means that the target obeys a higher token.
	Fenced StartResult = "fenced"
	// StaleRun means that the run is not higher than one that has ended there.
	StaleRun StartResult = "outdated"
	// OrderExpired means that the order's lease had passed.
	OrderExpired StartResult = "belated"
	// NoCapacity means that the task does not fit beside the others.
	NoCapacity StartResult = "crowded"
	// Unhealthy means that the target refused and did nothing.
	Unhealthy StartResult = "unhealthy"
	// Invalid means that the target does not understand the order.
	Invalid StartResult = "invalid"
	// Replaced means that another process answers at the address.
	Replaced StartResult = "replaced"
	// NoAnswer means that no answer came: the task may run, now or later.
	NoAnswer StartResult = "doubtful"
	// NotSent means that no connection could be made: nothing was sent.
	NotSent StartResult = "unsent"
)

// StartAnswered is the answer to a Start.
type StartAnswered struct {
	Target string
	Task   string
	Run    int
	Result StartResult
	Clock  Reading
}

// Reading is a target's clock, in its milliseconds, in an answer that arrived
// at At. The zero value means that there was none.
type Reading struct {
	Millis int64
	At     time.Time
}

// StopAnswered is the answer to a Stop. Acknowledged tells that the target took the order.
type StopAnswered struct {
	Target       string
	Task         string
	Run          int
	Acknowledged bool
}

// RenewAnswered is the answer to a Renew.
type RenewAnswered struct {
	Target string
	Token  uint64
	// SentAt is when the order left.
	SentAt time.Time
	// Poll repeats what the order said.
	Poll bool
	// Result is Running for a good answer; Fenced, Replaced or NoAnswer tell
	// why there is none.
	Result    StartResult
	Clock     Reading
	StartedAt int64
	Running   []RunningTask
	Ended     []End
}

// RunningTask is a run that a target lists as running.
type RunningTask struct {
	Task string
	Run  int
	// Percent is how much of its work the run has done.
	Percent float64
}

// End is a run that a target lists as ended.
type End struct {
	Number int
	Task   string
	Run    int
	Reason EndReason
}

// EndReason is how a run ended.
type EndReason string

const (
	// EndDone means that the task did its work.
	EndDone EndReason = "done"
	// EndFailed means that the run failed.
	EndFailed EndReason = "failed"
	// EndStopped means that it was stopped.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that its lease ran out.
	EndLeaseExpired EndReason = "lapsed"
)

// Drain asks for a graceful shutdown.
type Drain struct{}

func (Tick) event()                {}
func (Submit) event()              {}
func (ClientGone) event()          {}
func (Cancel) event()              {}
func (Receive) event()             {}
func (Adopt) event()               {}
func (DirectoryRead) event()       {}
func (DirectoryReadFailed) event() {}
func (LearnedStateRead) event()    {}
func (Registered) event()          {}
func (ClaimsWritten) event()       {}
func (StartAnswered) event()       {}
func (StopAnswered) event()        {}
func (RenewAnswered) event()       {}
func (Drain) event()               {}

// LinkOpened tells that messages to another host have a new connection; what was
// sent on an earlier one may be lost.
type LinkOpened struct{ Address string }

// PeerExited tells that nobody listens at another host's address.
type PeerExited struct{ Address string }

func (CountOpen) event()  {}
func (LinkOpened) event() {}
func (PeerExited) event() {}

package router

import "time"

// Event is an input of Router.Step.
type Event interface{ event() }

// Tick reports that time has passed. It must arrive at least every Bounds.TickInterval.
type Tick struct{}

// Submit submits a job for a client of this host. It is answered by one Answer.
type Submit struct {
	Request uint64
	Job     Job
	// Budget is how long the client waits.
	Budget time.Duration
}

// ClientGone reports that the client of a request has disconnected.
type ClientGone struct{ Request uint64 }

// Cancel withdraws a job at a client's request. It is answered by one Cancelled.
type Cancel struct {
	Request uint64
	ID      string
}

// CountOpen asks for the open jobs of this host. It is answered by one OpenJobs.
type CountOpen struct{ Request uint64 }

// Receive delivers a message from another entry host.
type Receive struct {
	From    string // address
	Message Message
}

// Adopt delivers a configuration from the store. It is ignored unless its version is
// higher than the current one.
type Adopt struct{ Config *Config }

// DirectoryRead delivers the directory that was requested from the store at
// RequestedAt.
type DirectoryRead struct {
	RequestedAt time.Time
	Directory   Directory
}

// DirectoryReadFailed reports that the directory could not be read from the store.
type DirectoryReadFailed struct{}

// Registered reports the slot under which this host is registered, how often the slot
// has been used, the incarnation of this process, which is above those of former processes, and
// the members and claims in the store.
type Registered struct {
	Slot        int
	SlotUses    int
	Incarnation int64
	Members     []Member
	Claims      []StoredClaim
}

// LearnedStateRead delivers the learned state that earlier holders have saved to the
// store.
type LearnedStateRead struct{ Saved []SaveLearnedState }

// StoredClaim is a claim in the store and the version of its row.
type StoredClaim struct {
	Claim   Claim
	Version uint64
}

// ClaimsRead delivers the claims that were requested from the store.
type ClaimsRead struct{ Claims []StoredClaim }

// ClaimsWritten reports the result of a WriteClaims.
type ClaimsWritten struct {
	Token  uint64
	Result ClaimResult
	// Rows are the rows after the write, or after a conflict the rows that the store
	// has.
	Rows []StoredClaim
}

// ClaimResult is the result of a WriteClaims.
type ClaimResult string

const (
	// ClaimWon means that the rows were written.
	ClaimWon ClaimResult = "won"
	// ClaimConflict means that a row had another version than expected, because another
	// host has written it.
	ClaimConflict ClaimResult = "beaten"
	// ClaimTimeout means that the store did not answer in time.
	ClaimTimeout ClaimResult = "silent"
)

// StartResult is a target's answer to an order, or why there is none.
type StartResult string

const (
	// Running means that the target runs the task.
	Running StartResult = "running"
	// Fenced means that the target obeys a higher token.
	Fenced StartResult = "fenced"
	// StaleRun means that the run number is not higher than that of a run that has
	// ended there.
	StaleRun StartResult = "outdated"
	// OrderExpired means that the lease in the order had expired when the order
	// arrived.
	OrderExpired StartResult = "belated"
	// NoCapacity means that the task does not fit beside the other runs.
	NoCapacity StartResult = "crowded"
	// Unhealthy means that the target refused the order because it is unhealthy and did
	// nothing.
	Unhealthy StartResult = "unhealthy"
	// Invalid means that the target does not understand the order.
	Invalid StartResult = "invalid"
	// Replaced means that another process answers at the target's address.
	Replaced StartResult = "replaced"
	// Restarted means that another process of the target answers than the one that the order is for.
	// The order was not sent.
	Restarted StartResult = "restarted"
	// NoAnswer means that no answer arrived: the task may be running or may start
	// later.
	NoAnswer StartResult = "doubtful"
	// NotSent means that no connection could be made, so the order was not sent.
	NotSent StartResult = "unsent"
)

// StartAnswered is the answer to a Start.
type StartAnswered struct {
	Target string
	Task   string
	Run    int
	Result StartResult
	Clock  Reading
	// Took is the time from the order to its answer, without the time for which it waited at this host
	// before it was sent; 0 if it is not known.
	Took time.Duration
}

// Reading is the time on a target's clock, in its milliseconds, from an answer that
// arrived at At. The zero value means that the answer had none.
type Reading struct {
	Millis int64
	At     time.Time
}

// StopAnswered is the answer to a Stop. Acknowledged is true if the target accepted the
// order.
type StopAnswered struct {
	Target string
	// Process is copied from the order.
	Process      int64
	Task         string
	Run          int
	Acknowledged bool
}

// RenewAnswered is the answer to a Renew.
type RenewAnswered struct {
	Target string
	Token  uint64
	// SentAt is when the order was sent.
	SentAt time.Time
	// Poll is copied from the order.
	Poll bool
	// LeaseEnd is copied from the order.
	LeaseEnd int64
	// Result is Running if the target answered with its run list. Fenced, Replaced and
	// NoAnswer say why there is no run list.
	Result StartResult
	Clock  Reading
	// StartedAt is the start time of the target's process in Unix milliseconds, which
	// identifies the process; 0 means unknown.
	StartedAt int64
	Running   []RunningTask
	// Partial is true if Running lacks runs that could not be decoded.
	Partial bool
	Ended   []End
}

// RunningTask is a run that a target lists as running.
type RunningTask struct {
	Task string
	Run  int
	// Percent is the part of its work that the run has done.
	Percent float64
}

// End is a run that a target lists as ended.
type End struct {
	Number int
	Task   string
	Run    int
	Reason EndReason
}

// EndReason is why a run ended.
type EndReason string

const (
	// EndDone means that the task is done.
	EndDone EndReason = "done"
	// EndFailed means that the run failed.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped by an order.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired EndReason = "lapsed"
)

// Drain requests a graceful shutdown.
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
func (ClaimsRead) event()          {}
func (ClaimsWritten) event()       {}
func (StartAnswered) event()       {}
func (StopAnswered) event()        {}
func (RenewAnswered) event()       {}
func (Drain) event()               {}

// LinkOpened reports a new connection to another host. Messages sent over a previous
// connection may be lost.
type LinkOpened struct{ Address string }

// PeerExited reports that nobody listens at another host's address.
type PeerExited struct{ Address string }

func (CountOpen) event()  {}
func (LinkOpened) event() {}
func (PeerExited) event() {}

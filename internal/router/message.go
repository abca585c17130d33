package router

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/profiler"
	"github.com/shallotrouter/shallotrouter/internal/separator"
)

// Message is a message from one entry host to another. Exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Offer     *Offer     `cbor:"2,keyasint,omitempty"`
	Withdraw  *Withdraw  `cbor:"3,keyasint,omitempty"`
	Verdict   *Verdict   `cbor:"4,keyasint,omitempty"`
	Progress  *Progress  `cbor:"5,keyasint,omitempty"`
	Config    *Config    `cbor:"6,keyasint,omitempty"`
	Directory *Directory `cbor:"7,keyasint,omitempty"`
	// PreviousTargets are the targets to which a previous holder may have given tasks.
	PreviousTargets []Target `cbor:"8,keyasint,omitempty"`
	// DirectoryChanges replaces Directory for a peer with a recent version.
	DirectoryChanges *DirectoryChanges `cbor:"9,keyasint,omitempty"`
}

// Kind returns the name of the field that is set, as a metric label.
func (m Message) Kind() string {
	switch {
	case m.Heartbeat != nil:
		return "beat"
	case m.Offer != nil:
		return "offer"
	case m.Withdraw != nil:
		return "withdraw"
	case m.Verdict != nil:
		return "verdict"
	case m.Progress != nil:
		return "progress"
	case m.Config != nil:
		return "config"
	case m.Directory != nil:
		return "directory"
	case m.PreviousTargets != nil:
		return "former"
	case m.DirectoryChanges != nil:
		return "changes"
	}
	return "unknown"
}

// Member identifies one incarnation of an entry host's process.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Incarnation is the start time of the process in Unix nanoseconds, or above that of the host's
	// former process if the clock has been set back since.
	Incarnation int64 `cbor:"4,keyasint"`
	// Slot is the member's number in the platform's store, from 1. 0 means that the
	// member is not registered yet and cannot hold a cell.
	Slot int `cbor:"5,keyasint"`
	// CPUShare is the host's processor share in thousandths of a core. Hosts with a
	// larger share hold cells first.
	CPUShare int `cbor:"6,keyasint"`
	// LinkRate is the rate of the host's network link in kilobits a second; 0 means
	// unknown.
	LinkRate int `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is a heartbeat from one host to another.
type Heartbeat struct {
	// Member is the sender. Most heartbeats have only its Incarnation set.
	Member Member `cbor:"1,keyasint"`
	// Sent is the time on the sender's clock, and Echo the newest Sent that the sender
	// has received from the receiver, both in Unix nanoseconds. A peer counts as
	// reachable while it echoes recent times.
	Sent int64 `cbor:"2,keyasint"`
	Echo int64 `cbor:"3,keyasint"`
	// Leaving is true while the sender shuts down.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// ReachesHolder is true if the sender reaches the holder of its zone's cell.
	ReachesHolder bool `cbor:"12,keyasint,omitempty"`
	// WantsHeartbeats asks the receiver for heartbeats at the short interval.
	WantsHeartbeats bool `cbor:"13,keyasint,omitempty"`
	// Generation is the highest generation that the sender knows.
	Generation uint64 `cbor:"5,keyasint"`
	// Claims are the known claims of the sender's cells. Most heartbeats leave them
	// out.
	Claims []Claim `cbor:"6,keyasint,omitempty"`
	// Evacuations are the evacuated zones as the sender knows them. They are sent together
	// with the claims.
	Evacuations *Evacuations `cbor:"15,keyasint,omitempty"`
	// Config and Directory are the sender's versions of the configuration and the
	// directory, and DirectoryAge is the time since the sender last read the directory
	// from the store.
	Config       uint64        `cbor:"7,keyasint"`
	Directory    uint64        `cbor:"8,keyasint"`
	DirectoryAge time.Duration `cbor:"9,keyasint"`
	// Headroom is how many more tasks of average size the targets of the sender's cell could start
	// beside the waiting ones, by service, if the sender holds the cell.
	Headroom map[string]int `cbor:"16,keyasint,omitempty"`
	// TargetCount is the number of targets in that version of the directory, in all
	// zones.
	TargetCount int `cbor:"14,keyasint,omitempty"`
	// Crashes are the recent crashes of targets that a holder knows. They are sent when they change, and
	// together with the learned state; hosts of earlier versions neither send nor read them.
	Crashes []Crash `cbor:"17,keyasint,omitempty"`
	// Acquittals are recent crashes that were none. Hosts of earlier versions neither send nor read
	// them, here and in offers and progress.
	Acquittals []Crash `cbor:"28,keyasint,omitempty"`
	// ReceiverIncarnation is the incarnation of the receiver as the sender knows it, if the sender
	// has received heartbeats of a lower one. Most heartbeats leave it out.
	ReceiverIncarnation int64 `cbor:"18,keyasint,omitempty"`
	// KeepsCells is true while a leaving sender still decides over its cells, which only Successor, the
	// address of a host, may claim from it. Hosts of earlier versions neither send nor read these.
	KeepsCells bool   `cbor:"24,keyasint,omitempty"`
	Successor  string `cbor:"25,keyasint,omitempty"`
	// Lag is by how much the sender was recently late, because its processor was busy.
	Lag time.Duration `cbor:"26,keyasint,omitempty"`
	// Unstopped are ended jobs of the sender with runs that do not obey Stop orders. Hosts of earlier
	// versions neither send nor read them.
	Unstopped []UnstoppedJob `cbor:"27,keyasint,omitempty"`
	// Loads are the loads of the targets of the sender's cell, by service, if the sender has held the
	// cell for a while. Hosts of earlier versions neither send nor read them.
	Loads map[string]ServiceLoad `cbor:"19,keyasint,omitempty"`
	// Neighbours are the zones to whose holders the sender may soon refer jobs.
	Neighbours []string `cbor:"20,keyasint,omitempty"`
	// Routes and Speeds are a holder's learned state. Most heartbeats leave them out.
	Routes []RouteStats `cbor:"10,keyasint,omitempty"`
	Speeds []KindSpeed  `cbor:"11,keyasint,omitempty"`
	// TargetSpeeds are the speeds of the targets that differ most from others of their kind, and
	// SpeedSpread is the standard deviation of the logarithms of such speeds, in thousandths. A
	// holder sends them with the learned state to its likely successors.
	TargetSpeeds []profiler.Speed `cbor:"22,keyasint,omitempty"`
	SpeedSpread  int              `cbor:"23,keyasint,omitempty"`
	// Interferences are the pairs of routes whose tasks slow each other down. They are sent like
	// TargetSpeeds.
	Interferences []separator.Pair `cbor:"21,keyasint,omitempty"`
}

// Claim states which member holds a cell. The claim with the highest token is the
// current one.
type Claim struct {
	Zone   string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"`
	Holder Member `cbor:"3,keyasint"`
	// RowVersion is the version of the claim's row in the store, as far as the sender
	// of a heartbeat knows it. The next claim is written on the condition that the
	// version has not changed. 0 means that the version is unknown or that the claim is
	// not written yet.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Job is a submission of one or more equal tasks that run side by side.
type Job struct {
	// ID is chosen by the client and identifies the job in all its submissions.
	ID      string    `cbor:"1,keyasint"`
	Route   string    `cbor:"2,keyasint"`
	Service string    `cbor:"3,keyasint"`
	Spec    string    `cbor:"4,keyasint"`
	Count   int       `cbor:"5,keyasint"`
	Need    Resources `cbor:"6,keyasint"` // of one task
	// ExpectedRunTime is the run time of a task as the client declares it; zero means
	// undeclared.
	ExpectedRunTime time.Duration `cbor:"7,keyasint"`
	// Rack is the rack that has the job's data, Label a label that a target must have,
	// and MaxPerTarget the largest number of tasks at one target. Empty and zero values
	// mean no such constraint.
	Rack         string `cbor:"8,keyasint,omitempty"`
	Label        string `cbor:"9,keyasint,omitempty"`
	MaxPerTarget int    `cbor:"10,keyasint,omitempty"`
	// MaxAttempts, Priority, Stretch and Allowance are copied from the route.
	MaxAttempts int           `cbor:"11,keyasint"`
	Priority    int           `cbor:"12,keyasint"`
	Stretch     float64       `cbor:"13,keyasint"`
	Allowance   time.Duration `cbor:"14,keyasint"`
}

// Offer hands a job to a holder.
type Offer struct {
	Job Job `cbor:"1,keyasint"`
	// TimeLeft is how much longer the client waits, and Elapsed the time since the job
	// arrived.
	TimeLeft time.Duration `cbor:"2,keyasint"`
	Elapsed  time.Duration `cbor:"3,keyasint"`
	// Reoffered is true if the job was offered to another holder before, whose cells
	// were those of PreviousZones. Runs of the job may still be under way there.
	Reoffered     bool     `cbor:"4,keyasint,omitempty"`
	PreviousZones []string `cbor:"5,keyasint,omitempty"`
	// Done are the tasks that are known to be done. RunBase is a number that no run of
	// the job has exceeded.
	Done    []int `cbor:"6,keyasint,omitempty"`
	RunBase int   `cbor:"7,keyasint,omitempty"`
	// SubmissionID distinguishes this submission of the job from others. It is the time
	// of the job's arrival on its host's clock, in Unix nanoseconds.
	SubmissionID int64 `cbor:"8,keyasint,omitempty"`
	// Zone is the zone to whose holder the job is offered; empty means the zone of its host.
	Zone string `cbor:"9,keyasint,omitempty"`
	// Token is the token of the claim under which the job is offered.
	Token uint64 `cbor:"10,keyasint,omitempty"`
	// Crashes are the crashes of targets under tasks of the job, and Acquittals those that were none.
	Crashes    []Crash `cbor:"11,keyasint,omitempty"`
	Acquittals []Crash `cbor:"14,keyasint,omitempty"`
	// Incarnation is the incarnation of the process that sent the offer; hosts of earlier versions
	// leave it out.
	Incarnation int64 `cbor:"12,keyasint,omitempty"`
	// ReachableZones are the zones to which the job may be referred, because its host reaches their
	// holders. Hosts of earlier versions leave it out.
	ReachableZones []string `cbor:"13,keyasint,omitempty"`
}

// sentAt returns when the offer was sent, on its host's clock in Unix nanoseconds.
func (o *Offer) sentAt() int64 { return o.SubmissionID + o.Elapsed.Nanoseconds() }

// Withdraw tells a holder that no client waits for a job any more.
type Withdraw struct {
	ID string `cbor:"1,keyasint"`
	// SubmissionID is the ID of the withdrawn submission; 0 means any.
	SubmissionID int64 `cbor:"2,keyasint,omitempty"`
}

// Outcome is how a job ended.
type Outcome string

const (
	// Complete means that every task is done.
	Complete Outcome = "complete"
	// Failed means that the job has ended although not every task is done. Remaining
	// runs are stopped, and their results are ignored.
	Failed Outcome = "failed"
	// Refused means that no task has started and none will.
	Refused Outcome = "refused"
	// Unknown means that tasks of the job may have run. The client may submit it again.
	Unknown Outcome = "unknown"
	// WrongHolder means that the host that was offered the job does not hold the cell.
	// It has not accepted the job.
	WrongHolder Outcome = "elsewhere"
	// Returned means that the holder gives the job back because it has lost the cell: it has
	// started none of its tasks and will start none.
	Returned Outcome = "returned"
)

// Reason is why a job was not completed.
type Reason string

const (
	// Overload means that the queued work leaves too little time for the job.
	Overload Reason = "overload"
	// Expired means that the client's time ran out, or will before the job can end.
	Expired Reason = "expired"
	// AttemptsExhausted means that a task has failed as often as its route allows.
	AttemptsExhausted Reason = "exhausted"
	// DoesNotFit means that the job fits no target of the service, even without other
	// load.
	DoesNotFit Reason = "misfit"
	// Evacuated means that the job fits targets of evacuated zones only.
	Evacuated Reason = "evacuated"
	// NoHolder means that no reachable host holds the zone's cell, or that the holder
	// lost contact with the job's host.
	NoHolder Reason = "unheld"
	// Crashes means that processes of targets have ended under one of the job's tasks, so that it is
	// not started again.
	Crashes Reason = "crashed"
	// suspectedCrashes is the reason that hosts of earlier versions give also for targets that may
	// have outlived the task's runs.
	suspectedCrashes Reason = "crashes"
	// Stopping means that the host shut down before the job ended.
	Stopping Reason = "stopping"
	// Withdrawn means that the client cancelled the job or disconnected.
	Withdrawn Reason = "withdrawn"
)

// Verdict is the final result of a job.
type Verdict struct {
	ID      string  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Reason  Reason  `cbor:"3,keyasint,omitempty"`
	// RetryAfter is how long a refused client should wait before it retries.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// SubmissionID is the ID of the submission that the verdict is for; 0 means any.
	SubmissionID int64 `cbor:"5,keyasint,omitempty"`
	// Token is the token of the claim under which the job was offered; 0 means unknown.
	Token uint64 `cbor:"6,keyasint,omitempty"`
	// Elsewhere is a zone whose targets have room for a job that was refused for overload.
	Elsewhere string `cbor:"7,keyasint,omitempty"`
	// Referred is true if the job was not refused, but can start earlier in the zone Elsewhere. If that
	// cannot be reached, the job is offered again.
	Referred bool `cbor:"8,keyasint,omitempty"`
}

// Progress reports done tasks and crashes of targets to the job's host, so that another holder
// need not run the tasks again and knows of the crashes.
type Progress struct {
	Tasks   []DoneTask `cbor:"1,keyasint"`
	Crashes []Crash    `cbor:"2,keyasint,omitempty"`
	// Acquittals are crashes that were none.
	Acquittals []Crash `cbor:"3,keyasint,omitempty"`
}

// DoneTask identifies a task that is done.
type DoneTask struct {
	ID   string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint"`
}

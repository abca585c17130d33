package router

import "time"

// Message is what one entry host sends to another. Exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Offer     *Offer     `cbor:"2,keyasint,omitempty"`
	Withdraw  *Withdraw  `cbor:"3,keyasint,omitempty"`
	Verdict   *Verdict   `cbor:"4,keyasint,omitempty"`
	Progress  *Progress  `cbor:"5,keyasint,omitempty"`
	Config    *Config    `cbor:"6,keyasint,omitempty"`
	Directory *Directory `cbor:"7,keyasint,omitempty"`
	// PreviousTargets are targets that an earlier holder may have given tasks to.
	PreviousTargets []Target `cbor:"8,keyasint,omitempty"`
}

// Kind names what a message carries, for metrics.
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
	}
	return "unknown"
}

// Member identifies one life of an entry host's process.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Incarnation is the start of the process in Unix nanoseconds.
	Incarnation int64 `cbor:"4,keyasint"`
	// Slot is the member's number in the platform's store, from 1; 0 means that
	// it is not registered yet and cannot hold a cell.
	Slot int `cbor:"5,keyasint"`
	// CPUShare is the host's processor share in thousandths of a core; stronger
	// hosts hold cells first.
	CPUShare int `cbor:"6,keyasint"`
	// LinkRate is the rate of the host's network link in kilobits a second; 0 means that
	// it is not known.
	LinkRate int `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is the heartbeat between two hosts.
type Heartbeat struct {
	// Member is the sender. Most heartbeats have only its Incarnation.
	Member Member `cbor:"1,keyasint"`
	// Sent is the sender's clock, and Echo the newest Sent that it has from the
	// receiver. A host trusts its peer for as long as its own times come back.
	Sent int64 `cbor:"2,keyasint"`
	Echo int64 `cbor:"3,keyasint"`
	// Leaving tells that the sender is shutting down.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// ReachesHolder tells that the sender reaches the holder of its zone's cell.
	ReachesHolder bool `cbor:"12,keyasint,omitempty"`
	// WantsHeartbeats asks the receiver for heartbeats at the short period.
	WantsHeartbeats bool `cbor:"13,keyasint,omitempty"`
	// Generation is the highest one that the sender has heard of.
	Generation uint64 `cbor:"5,keyasint"`
	// Claims are the cells that the sender knows the holders of; most heartbeats
	// leave them out.
	Claims []Claim `cbor:"6,keyasint,omitempty"`
	// Config and Directory are the versions that the sender has, and DirectoryAge the
	// time since it last read the directory itself.
	Config       uint64        `cbor:"7,keyasint"`
	Directory    uint64        `cbor:"8,keyasint"`
	DirectoryAge time.Duration `cbor:"9,keyasint"`
	// TargetCount is how many targets the platform's list has in that version.
	TargetCount int `cbor:"14,keyasint,omitempty"`
	// Routes and Speeds are what a holder has learned; most heartbeats leave
	// them out.
	Routes []RouteStats `cbor:"10,keyasint,omitempty"`
	Speeds []KindSpeed  `cbor:"11,keyasint,omitempty"`
}

// Claim says who holds a cell. The claim with the highest token is in force.
type Claim struct {
	Zone   string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"`
	Holder Member `cbor:"3,keyasint"`
	// RowVersion is the version of the claim's row in the store, as far as the sender of a
	// heartbeat knows it: the next claim is made on the condition that it has not
	// changed. 0 means that it is not known, or that the claim is not written yet.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Job is a submission: tasks of one shape that run side by side.
type Job struct {
	// ID is chosen by the client and names the job for good.
	ID      string    `cbor:"1,keyasint"`
	Route   string    `cbor:"2,keyasint"`
	Service string    `cbor:"3,keyasint"`
	Spec    string    `cbor:"4,keyasint"`
	Count   int       `cbor:"5,keyasint"`
	Need    Resources `cbor:"6,keyasint"` // of one task
	// ExpectedRunTime is the declared run time of a task; zero means undeclared.
	ExpectedRunTime time.Duration `cbor:"7,keyasint"`
	// Rack is where the job's data is, Label what a target must have, and MaxPerTarget
	// the most tasks on one target; empty and zero mean no such bound.
	Rack         string `cbor:"8,keyasint,omitempty"`
	Label        string `cbor:"9,keyasint,omitempty"`
	MaxPerTarget int    `cbor:"10,keyasint,omitempty"`
	// MaxAttempts, Priority, Stretch and Allowance come from the route.
	MaxAttempts int           `cbor:"11,keyasint"`
	Priority    int           `cbor:"12,keyasint"`
	Stretch     float64       `cbor:"13,keyasint"`
	Allowance   time.Duration `cbor:"14,keyasint"`
}

// Offer hands a job to a holder.
type Offer struct {
	Job Job `cbor:"1,keyasint"`
	// TimeLeft is the time that the client still waits, and Elapsed the time since the
	// job arrived.
	TimeLeft time.Duration `cbor:"2,keyasint"`
	Elapsed  time.Duration `cbor:"3,keyasint"`
	// Reoffered tells that another holder had the job before, with the cells of
	// PreviousZones; its runs may still be under way.
	Reoffered     bool     `cbor:"4,keyasint,omitempty"`
	PreviousZones []string `cbor:"5,keyasint,omitempty"`
	// Done are the tasks known to be done, and RunBase the number that no run of
	// the job has exceeded.
	Done    []int `cbor:"6,keyasint,omitempty"`
	RunBase int   `cbor:"7,keyasint,omitempty"`
	// SubmissionID tells this submission of the job from others: the moment of its arrival
	// on its host's clock, in nanoseconds.
	SubmissionID int64 `cbor:"8,keyasint,omitempty"`
}

// Withdraw tells a holder that nobody waits for a job any more.
type Withdraw struct {
	ID string `cbor:"1,keyasint"`
}

// Outcome is how a job ended.
type Outcome string

const (
	// Complete means that every task is done.
	Complete Outcome = "complete"
	// Failed means that the job has ended without that, and that nothing of it
	// runs any more on its behalf.
	Failed Outcome = "failed"
	// Refused means that no task has started or ever will.
	Refused Outcome = "refused"
	// Unknown means that the job may have run; the client may send it again.
	Unknown Outcome = "unknown"
	// WrongHolder means that this host does not hold the cell; nothing was done.
	WrongHolder Outcome = "elsewhere"
)

// Reason tells why a job was not completed.
type Reason string

const (
	// Overload means that the job cannot be in time behind the work before it.
	Overload Reason = "overload"
	// Expired means that the job's time ran out.
	Expired Reason = "expired"
	// AttemptsExhausted means that a task has failed as often as its route allows.
	AttemptsExhausted Reason = "exhausted"
	// DoesNotFit means that the job fits no target of the service, however idle.
	DoesNotFit Reason = "misfit"
	// NoHolder means that no host holds the zone's cell at present.
	NoHolder Reason = "unheld"
	// Stopping means that the host shut down before the job ended.
	Stopping Reason = "stopping"
	// Withdrawn means that the client cancelled the job or has gone.
	Withdrawn Reason = "withdrawn"
)

// Verdict is the final word on a job.
type Verdict struct {
	ID      string  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Reason  Reason  `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when a refused client may come back.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// SubmissionID is that of the submission; 0 means any.
	SubmissionID int64 `cbor:"5,keyasint,omitempty"`
}

// Progress tells a job's host what is done, so that another holder can go on.
type Progress struct {
	Tasks []DoneTask `cbor:"1,keyasint"`
}

// DoneTask is one task that is done.
type DoneTask struct {
	ID   string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint"`
}

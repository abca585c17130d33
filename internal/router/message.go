package router

import "time"

// Message is what one entry host sends to another. Exactly one field is set.
type Message struct {
	Beat      *Beat      `cbor:"1,keyasint,omitempty"`
	Offer     *Offer     `cbor:"2,keyasint,omitempty"`
	Withdraw  *Withdraw  `cbor:"3,keyasint,omitempty"`
	Verdict   *Verdict   `cbor:"4,keyasint,omitempty"`
	Progress  *Progress  `cbor:"5,keyasint,omitempty"`
	Config    *Config    `cbor:"6,keyasint,omitempty"`
	Directory *Directory `cbor:"7,keyasint,omitempty"`
	// Former are targets that an earlier holder may have given tasks to.
	Former []Target `cbor:"8,keyasint,omitempty"`
}

// Kind names what a message carries, for metrics.
func (m Message) Kind() string {
	switch {
	case m.Beat != nil:
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
	case m.Former != nil:
		return "former"
	}
	return "unknown"
}

// Member identifies one life of an entry host's process.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Life is the start of the process in Unix nanoseconds.
	Life int64 `cbor:"4,keyasint"`
	// Slot is the member's number in the platform's store, from 1; 0 means that
	// it is not registered yet and cannot hold a cell.
	Slot int `cbor:"5,keyasint"`
	// Power is the host's processor share in thousandths of a core; stronger
	// hosts hold cells first.
	Power int `cbor:"6,keyasint"`
	// Link is the rate of the host's network link in kilobits a second; 0 means that
	// it is not known.
	Link int `cbor:"7,keyasint,omitempty"`
}

// Beat is the heartbeat between two hosts.
type Beat struct {
	// Member is the sender. Most heartbeats have only its Life.
	Member Member `cbor:"1,keyasint"`
	// Sent is the sender's clock, and Echo the newest Sent that it has from the
	// receiver. A host trusts its peer for as long as its own times come back.
	Sent int64 `cbor:"2,keyasint"`
	Echo int64 `cbor:"3,keyasint"`
	// Leaving tells that the sender is shutting down.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Held tells that the sender reaches the holder of its zone's cell.
	Held bool `cbor:"12,keyasint,omitempty"`
	// Near asks the receiver for heartbeats at the short period.
	Near bool `cbor:"13,keyasint,omitempty"`
	// Generation is the highest one that the sender has heard of.
	Generation uint64 `cbor:"5,keyasint"`
	// Claims are the cells that the sender knows the holders of; most heartbeats
	// leave them out.
	Claims []Claim `cbor:"6,keyasint,omitempty"`
	// Config and Directory are the versions that the sender has, and Age the
	// time since it last read the directory itself.
	Config    uint64        `cbor:"7,keyasint"`
	Directory uint64        `cbor:"8,keyasint"`
	Age       time.Duration `cbor:"9,keyasint"`
	// Total is how many targets the platform's list has in that version.
	Total int `cbor:"14,keyasint,omitempty"`
	// Lessons and Speeds are what a holder has learned; most heartbeats leave
	// them out.
	Lessons []Lesson `cbor:"10,keyasint,omitempty"`
	Speeds  []Speed  `cbor:"11,keyasint,omitempty"`
}

// Claim says who holds a cell. The claim with the highest token is in force.
type Claim struct {
	Zone   string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"`
	Holder Member `cbor:"3,keyasint"`
	// Row is the version of the claim's row in the store, as far as the sender of a
	// heartbeat knows it: the next claim is made on the condition that it has not
	// changed. 0 means that it is not known, or that the claim is not written yet.
	Row uint64 `cbor:"4,keyasint,omitempty"`
}

// Job is a submission: tasks of one shape that run side by side.
type Job struct {
	// ID is chosen by the client and names the job for good.
	ID      string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Spec    string `cbor:"4,keyasint"`
	Count   int    `cbor:"5,keyasint"`
	Need    Room   `cbor:"6,keyasint"` // of one task
	// Expect is the declared run time of a task; zero means undeclared.
	Expect time.Duration `cbor:"7,keyasint"`
	// Rack is where the job's data is, Label what a target must have, and Spread
	// the most tasks on one target; empty and zero mean no such bound.
	Rack   string `cbor:"8,keyasint,omitempty"`
	Label  string `cbor:"9,keyasint,omitempty"`
	Spread int    `cbor:"10,keyasint,omitempty"`
	// Attempts, Priority, Stretch and Allowance come from the route.
	Attempts  int           `cbor:"11,keyasint"`
	Priority  int           `cbor:"12,keyasint"`
	Stretch   float64       `cbor:"13,keyasint"`
	Allowance time.Duration `cbor:"14,keyasint"`
}

// Offer hands a job to a holder.
type Offer struct {
	Job Job `cbor:"1,keyasint"`
	// Left is the time that the client still waits, and Spent the time since the
	// job arrived.
	Left  time.Duration `cbor:"2,keyasint"`
	Spent time.Duration `cbor:"3,keyasint"`
	// Resent tells that another holder had the job before, with the cells of
	// Zones; its runs may still be under way.
	Resent bool     `cbor:"4,keyasint,omitempty"`
	Zones  []string `cbor:"5,keyasint,omitempty"`
	// Done are the tasks known to be done, and Base the number that no run of
	// the job has exceeded.
	Done []int `cbor:"6,keyasint,omitempty"`
	Base int   `cbor:"7,keyasint,omitempty"`
	// Stamp tells this submission of the job from others: the moment of its arrival
	// on its host's clock, in nanoseconds.
	Stamp int64 `cbor:"8,keyasint,omitempty"`
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
	// Elsewhere means that this host does not hold the cell; nothing was done.
	Elsewhere Outcome = "elsewhere"
)

// Reason tells why a job was not completed.
type Reason string

const (
	// Overload means that the job cannot be in time behind the work before it.
	Overload Reason = "overload"
	// Expired means that the job's time ran out.
	Expired Reason = "expired"
	// Exhausted means that a task has failed as often as its route allows.
	Exhausted Reason = "exhausted"
	// Misfit means that the job fits no target of the service, however idle.
	Misfit Reason = "misfit"
	// Unheld means that no host holds the zone's cell at present.
	Unheld Reason = "unheld"
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
	// After is when a refused client may come back.
	After time.Duration `cbor:"4,keyasint,omitempty"`
	// Stamp is that of the submission; 0 means any.
	Stamp int64 `cbor:"5,keyasint,omitempty"`
}

// Progress tells a job's host what is done, so that another holder can go on.
type Progress struct {
	Marks []Mark `cbor:"1,keyasint"`
}

// Mark is one task that is done.
type Mark struct {
	ID   string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint"`
}

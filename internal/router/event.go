package router

import "time"

// Event is an input of Router.Step.
type Event interface{ event() }

// Tick tells that time has passed. It comes at least every Bounds.Tick.
type Tick struct{}

// Submit brings a job of a client of this host. It is answered by one Answer.
type Submit struct {
	Request uint64
	Job     Job
	// Budget is how long the client waits.
	Budget time.Duration
}

// Abandon tells that the client of a request has gone.
type Abandon struct{ Request uint64 }

// Cancel withdraws a job. It is answered by one Cancelled.
type Cancel struct {
	Request uint64
	ID      string
}

// Count asks for the open jobs of this host. It is answered by one Pending.
type Count struct{ Request uint64 }

// Receive brings a message of another entry host.
type Receive struct {
	From    string // address
	Message Message
}

// Adopt brings a configuration; it is taken only when its version is higher.
type Adopt struct{ Config *Config }

// Locate brings the list of targets, read from the store at Asked.
type Locate struct {
	Asked     time.Time
	Directory Directory
}

// Unread tells that the list of targets could not be read.
type Unread struct{}

// Enrol tells the slot under which this host was registered, and the other
// members and claims that the store has.
type Enrol struct {
	Slot    int
	Life    int
	Members []Member
	Claims  []Stored
}

// Recall brings what holders of earlier times have written to the store.
type Recall struct{ Kept []Keep }

// Stored is a claim in the store with the version of its row.
type Stored struct {
	Claim   Claim
	Version uint64
}

// Claimed tells how a Stake ended.
type Claimed struct {
	Token  uint64
	Result ClaimResult
	// Rows are the rows after the write or those that stood against it.
	Rows []Stored
}

// ClaimResult is how a Stake ended.
type ClaimResult string

const (
	// Won means that the rows were written.
	Won ClaimResult = "won"
	// Beaten means that a row has changed meanwhile.
	Beaten ClaimResult = "beaten"
	// Silent means that the store did not answer in time.
	Silent ClaimResult = "silent"
)

// StartResult is what a target answered to a Start.
type StartResult string

const (
	// Running means that the target runs the task.
	Running StartResult = "running"
	// Fenced means that the target obeys a higher token.
	Fenced StartResult = "fenced"
	// Outdated means that the run is not higher than one that has ended there.
	Outdated StartResult = "outdated"
	// Belated means that the order's lease had passed.
	Belated StartResult = "belated"
	// Crowded means that the task does not fit beside the others.
	Crowded StartResult = "crowded"
	// Unhealthy means that the target refused and did nothing.
	Unhealthy StartResult = "unhealthy"
	// Invalid means that the target does not understand the order.
	Invalid StartResult = "invalid"
	// Replaced means that another process answers at the address.
	Replaced StartResult = "replaced"
	// Doubtful means that no answer came: the task may run, now or later.
	Doubtful StartResult = "doubtful"
	// Unsent means that no connection could be made: nothing was sent.
	Unsent StartResult = "unsent"
)

// Began is the answer to a Start.
type Began struct {
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

// Stopped is the answer to a Stop. Good tells that the target took the order.
type Stopped struct {
	Target string
	Task   string
	Run    int
	Good   bool
}

// Renewed is the answer to a Renew.
type Renewed struct {
	Target string
	Token  uint64
	// Sent is when the order left.
	Sent time.Time
	// Look repeats what the order said.
	Look bool
	// Result is Running for a good answer; Fenced, Replaced or Doubtful tell
	// why there is none.
	Result  StartResult
	Clock   Reading
	Born    int64
	Running []Live
	Ended   []End
}

// Live is a run that a target lists as running.
type Live struct {
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
	How    Manner
}

// Manner is how a run ended.
type Manner string

const (
	// Done means that the task did its work.
	Done Manner = "done"
	// Broke means that the run failed.
	Broke Manner = "failed"
	// Halted means that it was stopped.
	Halted Manner = "stopped"
	// Lapsed means that its lease ran out.
	Lapsed Manner = "lapsed"
)

// Drain asks for a graceful shutdown.
type Drain struct{}

func (Tick) event()    {}
func (Submit) event()  {}
func (Abandon) event() {}
func (Cancel) event()  {}
func (Receive) event() {}
func (Adopt) event()   {}
func (Locate) event()  {}
func (Unread) event()  {}
func (Recall) event()  {}
func (Enrol) event()   {}
func (Claimed) event() {}
func (Began) event()   {}
func (Stopped) event() {}
func (Renewed) event() {}
func (Drain) event()   {}

// Linked tells that messages to another host have a new connection; what was
// sent on an earlier one may be lost.
type Linked struct{ Address string }

// Severed tells that nobody listens at another host's address.
type Severed struct{ Address string }

func (Count) event()   {}
func (Linked) event()  {}
func (Severed) event() {}

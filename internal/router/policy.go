package router

// Policy chooses between ways to queue and to refuse. The zero value is the one to
// serve with; the others are there to be measured against it.
type Policy struct {
	Order     Order
	Admission Admission
	Sharing   Sharing
	Retries   Retries
	// Without switches one mechanism off, to measure what it is worth.
	Without Mechanism
}

// Mechanism is a part of the policy that can be switched off.
type Mechanism string

const (
	// WorkWeights refuses jobs with much work for their route earlier.
	WorkWeights Mechanism = "weights"
	// Spells tells refused clients to stay away while overload is expected to last.
	Spells Mechanism = "spells"
	// OwnZone keeps tasks in the zone of their client while there is room.
	OwnZone Mechanism = "zone"
	// FastTargets uses fast targets first, and keeps them for long tasks once they are scarce.
	FastTargets Mechanism = "fast"
	// RunTimes predicts run times from measured ones.
	RunTimes Mechanism = "times"
	// KindSpeeds learns how fast each kind of target is.
	KindSpeeds Mechanism = "speeds"
	// SlowTargets leaves targets out on which runs take longer than expected.
	SlowTargets Mechanism = "slow"
	// Failing leaves targets out on which runs fail.
	Failing Mechanism = "failures"
	// HopelessJobs gives jobs up once a run shows that they cannot end in time.
	HopelessJobs Mechanism = "hopeless"
	// Repeating orders a start once more that was not answered.
	Repeating Mechanism = "repeats"
	// SuspectHolders offers nothing to a holder that has been quiet for more than a heartbeat.
	SuspectHolders Mechanism = "suspects"
	// Standby keeps connections to the targets open at the hosts that follow the holder.
	Standby Mechanism = "standby"
)

// Mechanisms returns all parts that can be switched off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		WorkWeights, Spells, OwnZone, FastTargets, RunTimes, KindSpeeds, SlowTargets, Failing, HopelessJobs, Repeating, SuspectHolders, Standby,
	}
}

// uses reports whether a mechanism is in force.
func (r *Router) uses(m Mechanism) bool { return r.Policy.Without != m }

// Order is which of the waiting jobs comes first.
type Order string

const (
	// ByStart places first what must start first, and late jobs last.
	ByStart Order = ""
	// ByArrival places jobs as they came.
	ByArrival Order = "arrival"
)

// Admission is which jobs are refused at once.
type Admission string

const (
	// ByBacklog refuses jobs that cannot be in time behind the work before them.
	ByBacklog Admission = ""
	// AdmitAll refuses none that fits a target.
	AdmitAll Admission = "all"
)

// Sharing is what a route may take while there is not enough for all.
type Sharing string

const (
	// FairShares gives each route what it asks for up to an even level.
	FairShares Sharing = ""
	// Unshared lets routes take what they can get.
	Unshared Sharing = "none"
)

// Retries is how a job is treated whose client has waited for an answer before.
type Retries string

const (
	// AsLate places it after the jobs that can still be in time.
	AsLate Retries = ""
	// AsNew places it as if its client had just come.
	AsNew Retries = "new"
)

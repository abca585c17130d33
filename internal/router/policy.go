package router

// Policy chooses between ways to queue and to refuse. The zero value is the one to
// serve with; the others are there to be measured against it.
type Policy struct {
	QueueOrder QueueOrder
	Admission  Admission
	Sharing    Sharing
	RetryOrder RetryOrder
	// Disabled switches one mechanism off, to measure what it is worth.
	Disabled Mechanism
}

// Mechanism is a part of the policy that can be switched off.
type Mechanism string

const (
	// WorkWeighting refuses jobs with much work for their route earlier.
	WorkWeighting Mechanism = "weights"
	// OverloadBackoff tells refused clients to stay away while overload is expected to last.
	OverloadBackoff Mechanism = "spells"
	// ZoneAffinity keeps tasks in the zone of their client while there is room.
	ZoneAffinity Mechanism = "zone"
	// SpeedAwarePlacement uses fast targets first, and keeps them for long tasks once they are scarce.
	SpeedAwarePlacement Mechanism = "fast"
	// RunTimePrediction predicts run times from measured ones.
	RunTimePrediction Mechanism = "times"
	// KindSpeedLearning learns how fast each kind of target is.
	KindSpeedLearning Mechanism = "speeds"
	// SlowTargetEjection leaves targets out on which runs take longer than expected.
	SlowTargetEjection Mechanism = "slow"
	// FailingTargetEjection leaves targets out on which runs fail.
	FailingTargetEjection Mechanism = "failures"
	// EarlyAbort gives jobs up once a run shows that they cannot end in time.
	EarlyAbort Mechanism = "hopeless"
	// StartRetry orders a start once more that was not answered.
	StartRetry Mechanism = "repeats"
	// SuspectHolderAvoidance offers nothing to a holder that has been quiet for more than a heartbeat.
	SuspectHolderAvoidance Mechanism = "suspects"
	// StandbyConnections keeps connections to the targets open at the hosts that follow the holder.
	StandbyConnections Mechanism = "standby"
)

// Mechanisms returns all parts that can be switched off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		WorkWeighting, OverloadBackoff, ZoneAffinity, SpeedAwarePlacement, RunTimePrediction, KindSpeedLearning, SlowTargetEjection, FailingTargetEjection, EarlyAbort, StartRetry, SuspectHolderAvoidance, StandbyConnections,
	}
}

// isEnabled reports whether a mechanism is in force.
func (r *Router) isEnabled(m Mechanism) bool { return r.Policy.Disabled != m }

// QueueOrder is which of the waiting jobs comes first.
type QueueOrder string

const (
	// ByLatestStart places first what must start first, and late jobs last.
	ByLatestStart QueueOrder = ""
	// ByArrival places jobs as they came.
	ByArrival QueueOrder = "arrival"
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
	// NoSharing lets routes take what they can get.
	NoSharing Sharing = "none"
)

// RetryOrder is how a job is treated whose client has waited for an answer before.
type RetryOrder string

const (
	// RetriesLast places it after the jobs that can still be in time.
	RetriesLast RetryOrder = ""
	// RetriesAsNew places it as if its client had just come.
	RetriesAsNew RetryOrder = "new"
)

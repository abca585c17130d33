package router

// Policy selects the rules by which jobs are queued and refused. The zero value is the one for
// production. The other values exist to compare it with.
type Policy struct {
	QueueOrder QueueOrder
	Admission  Admission
	Sharing    Sharing
	RetryOrder RetryOrder
	// Disabled switches one mechanism off, to measure its benefit.
	Disabled Mechanism
}

// Mechanism is a part of the policy that can be switched off.
type Mechanism string

const (
	// WorkWeighting refuses a job earlier if it has much work compared with the mean of its
	// route.
	WorkWeighting Mechanism = "weights"
	// OverloadBackoff tells refused clients to wait for as long as the overload is expected to
	// last.
	OverloadBackoff Mechanism = "spells"
	// ZoneAffinity places tasks in the zone of their client while utilization is low.
	ZoneAffinity Mechanism = "zone"
	// SpeedAwarePlacement uses fast targets first. While utilization is high, it leaves them to
	// tasks that would be late on slower targets.
	SpeedAwarePlacement Mechanism = "fast"
	// RunTimePrediction predicts the run times of a route from those of its earlier tasks.
	RunTimePrediction Mechanism = "times"
	// KindSpeedLearning learns the relative speed of each kind of target.
	KindSpeedLearning Mechanism = "speeds"
	// TargetProfiling learns the speed of each target.
	TargetProfiling Mechanism = "profiles"
	// TailExemption does not count slow runs against their targets if most runs of the job are slow.
	TailExemption Mechanism = "tails"
	// FasterTargetWait keeps a task from a slow target, where it would be late, while it can still be in time
	// at another.
	FasterTargetWait Mechanism = "waits"
	// SlowTargetEjection ejects targets whose runs take longer than expected.
	SlowTargetEjection Mechanism = "slow"
	// FailingTargetEjection ejects targets whose runs fail.
	FailingTargetEjection Mechanism = "failures"
	// EarlyAbort aborts a job once the progress of a run shows that it cannot finish in time.
	EarlyAbort Mechanism = "hopeless"
	// StartRetry sends a Start order once more if it was not answered.
	StartRetry Mechanism = "repeats"
	// SuspectHolderAvoidance offers no jobs to a holder whose heartbeat is overdue.
	SuspectHolderAvoidance Mechanism = "suspects"
	// OverloadSpill offers jobs that are refused for overload to a zone that has room. Without
	// it, no jobs are referred either.
	OverloadSpill Mechanism = "spill"
	// ZoneBalancing refers jobs that have to wait to a zone that can start them earlier. It needs
	// OverloadSpill.
	ZoneBalancing Mechanism = "balance"
	// InterferenceAvoidance places tasks of routes that slow each other down at different targets.
	InterferenceAvoidance Mechanism = "interference"
	// StandbyConnections keeps connections to the targets open at the holder's successors.
	StandbyConnections Mechanism = "standby"
	// CrashIsolation places a task under which a target has crashed apart from other tasks.
	CrashIsolation Mechanism = "isolation"
	// PlannedHandover lets a holder that shuts down keep its cells until a capable host is there.
	PlannedHandover Mechanism = "handover"
	// BusyHostPatience gives hosts that are late more time before they count as unreachable.
	BusyHostPatience Mechanism = "patience"
	// EarlyRepeats repeats orders early, and avoids targets, while orders go without an answer.
	EarlyRepeats Mechanism = "early"
)

// Mechanisms returns all mechanisms that can be disabled.
func Mechanisms() []Mechanism {
	return []Mechanism{
		WorkWeighting, OverloadBackoff, ZoneAffinity, SpeedAwarePlacement, RunTimePrediction, KindSpeedLearning, TargetProfiling, FasterTargetWait, TailExemption, SlowTargetEjection, FailingTargetEjection, EarlyAbort, StartRetry, SuspectHolderAvoidance, OverloadSpill, InterferenceAvoidance, ZoneBalancing, StandbyConnections, CrashIsolation, EarlyRepeats, PlannedHandover, BusyHostPatience,
	}
}

func (r *Router) isEnabled(m Mechanism) bool { return r.Policy.Disabled != m }

// QueueOrder is the order in which waiting jobs are placed.
type QueueOrder string

const (
	// ByLatestStart places jobs by their latest start, and late jobs last.
	ByLatestStart QueueOrder = ""
	// ByArrival places jobs in the order of their arrival.
	ByArrival QueueOrder = "arrival"
)

// Admission selects the jobs that are refused on arrival.
type Admission string

const (
	// ByBacklog refuses jobs that cannot finish in time behind the backlog.
	ByBacklog Admission = ""
	// AdmitAll accepts every job that fits a target.
	AdmitAll Admission = "all"
)

// Sharing limits the work that a route may take while its service is overloaded.
type Sharing string

const (
	// FairShares gives each route what it demands, up to the same rate for all (max-min
	// fairness).
	FairShares Sharing = ""
	// NoSharing sets no limit per route.
	NoSharing Sharing = "none"
)

// RetryOrder is the place in the queue of a job that is probably a retry, submitted by its
// client after an earlier try had no answer.
type RetryOrder string

const (
	// RetriesLast places retries after the jobs that can still be in time.
	RetriesLast RetryOrder = ""
	// RetriesAsNew places retries like new jobs.
	RetriesAsNew RetryOrder = "new"
)

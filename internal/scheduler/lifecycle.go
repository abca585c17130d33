package scheduler

import "github.com/shallotrouter/shallotrouter/internal/transitioner"

// Phase is a state in the life cycle of the daemon.
type Phase string

const (
	// Starting means that the daemon lacks a configuration or a directory.
	Starting Phase = "starting"
	// Serving means that the daemon accepts jobs.
	Serving Phase = "serving"
	// Suspended means that the process was paused: the daemon starts no tasks until
	// it has received current state.
	Suspended Phase = "suspended"
	// Draining means that the daemon finishes its jobs and accepts no new ones.
	Draining Phase = "draining"
	// Halted means that the daemon has answered every job after a drain.
	Halted Phase = "halted"
)

type phaseEvent string

const (
	phaseServe   phaseEvent = "equip"
	phaseSuspend phaseEvent = "suspend"
	phaseResume  phaseEvent = "resume"
	phaseDrain   phaseEvent = "drain"
	phaseHalt    phaseEvent = "halt"
)

var phaseRules = []transitioner.Rule[Phase, phaseEvent]{
	{Event: phaseServe, Sources: []Phase{Starting}, Target: Serving},
	{Event: phaseSuspend, Sources: []Phase{Serving}, Target: Suspended},
	{Event: phaseResume, Sources: []Phase{Suspended}, Target: Serving},
	{Event: phaseDrain, Sources: []Phase{Starting, Serving, Suspended}, Target: Draining},
	{Event: phaseHalt, Sources: []Phase{Draining}, Target: Halted},
}

// jobState is a state in the life cycle of a job. Only a waiting job can be
// refused: a job with a task that may have started fails instead.
type jobState string

const (
	jobWaiting jobState = "waiting"
	jobBegun   jobState = "begun"
	jobFinal   jobState = "final"
)

type jobEvent string

const (
	jobBegin    jobEvent = "begin"
	jobRequeue  jobEvent = "revert"
	jobRefuse   jobEvent = "refuse"
	jobFail     jobEvent = "fail"
	jobComplete jobEvent = "complete"
)

var jobMachine = transitioner.Compile(jobWaiting,
	transitioner.Rule[jobState, jobEvent]{Event: jobBegin, Sources: []jobState{jobWaiting, jobBegun}, Target: jobBegun},
	transitioner.Rule[jobState, jobEvent]{Event: jobRequeue, Sources: []jobState{jobBegun}, Target: jobWaiting},
	transitioner.Rule[jobState, jobEvent]{Event: jobRefuse, Sources: []jobState{jobWaiting}, Target: jobFinal},
	transitioner.Rule[jobState, jobEvent]{Event: jobFail, Sources: []jobState{jobBegun}, Target: jobFinal},
	transitioner.Rule[jobState, jobEvent]{Event: jobComplete, Sources: []jobState{jobBegun}, Target: jobFinal},
)

// taskState is a state in the life cycle of a task. A task that may have started
// never becomes queued again.
type taskState string

const (
	taskQueued taskState = "queued"
	taskSent   taskState = "sent"
	taskDone   taskState = "done"
	taskFailed taskState = "wrong"
	taskLost   taskState = "lost"
)

type taskEvent string

const (
	taskSend    taskEvent = "send"
	taskRequeue taskEvent = "return"
	taskFinish  taskEvent = "finish"
	taskFail    taskEvent = "fail"
	taskLose    taskEvent = "lose"
)

var taskMachine = transitioner.Compile(taskQueued,
	transitioner.Rule[taskState, taskEvent]{Event: taskSend, Sources: []taskState{taskQueued}, Target: taskSent},
	transitioner.Rule[taskState, taskEvent]{Event: taskRequeue, Sources: []taskState{taskSent}, Target: taskQueued},
	transitioner.Rule[taskState, taskEvent]{Event: taskFinish, Sources: []taskState{taskSent}, Target: taskDone},
	transitioner.Rule[taskState, taskEvent]{Event: taskFail, Sources: []taskState{taskSent}, Target: taskFailed},
	transitioner.Rule[taskState, taskEvent]{Event: taskLose, Sources: []taskState{taskSent}, Target: taskLost},
)

// TargetState is a state in the life cycle of a target as one host sees it.
type TargetState string

const (
	// Live means that the target gets tasks.
	Live TargetState = "live"
	// Departing means that the target gets no new tasks because it is leaving.
	Departing TargetState = "leaving"
	// Ejected means that the target gets no tasks because it fails or delays them
	// or cannot be reached.
	Ejected TargetState = "ejected"
	// Trial means that the target gets one task, whose result decides whether the
	// target becomes live again.
	Trial TargetState = "trial"
)

type targetEvent string

const (
	targetLeave      targetEvent = "leave"
	targetReturn     targetEvent = "return"
	targetEject      targetEvent = "eject"
	targetStartTrial targetEvent = "try"
	targetRestore    targetEvent = "pass"
)

var targetRules = []transitioner.Rule[TargetState, targetEvent]{
	{Event: targetLeave, Sources: []TargetState{Live, Ejected, Trial}, Target: Departing},
	{Event: targetReturn, Sources: []TargetState{Departing}, Target: Live},
	{Event: targetEject, Sources: []TargetState{Live, Trial}, Target: Ejected},
	{Event: targetStartTrial, Sources: []TargetState{Ejected}, Target: Trial},
	{Event: targetRestore, Sources: []TargetState{Trial, Ejected}, Target: Live},
}

// PeerState is a state in the life cycle of a peer as one host sees it.
type PeerState string

const (
	// Present means that the peer sends reports.
	Present PeerState = "present"
	// Unresponsive means that the peer has sent no report for Bounds.PeerTimeout. Its
	// share of the slots goes to the other hosts.
	Unresponsive PeerState = "quiet"
)

type peerEvent string

const (
	peerReport peerEvent = "hear"
	peerExpire peerEvent = "miss"
)

var peerRules = []transitioner.Rule[PeerState, peerEvent]{
	{Event: peerReport, Sources: []PeerState{Unresponsive}, Target: Present},
	{Event: peerExpire, Sources: []PeerState{Present}, Target: Unresponsive},
}

package scheduler

import "github.com/shallotrouter/shallotrouter/internal/transitioner"

// Phase is the life cycle of the daemon.
type Phase string

const (
	// Starting lacks a configuration or a directory.
	Starting Phase = "starting"
	// Serving takes jobs.
	Serving Phase = "serving"
	// Suspended starts nothing after a pause until the state is read anew.
	Suspended Phase = "suspended"
	// Draining finishes its jobs and takes none.
	Draining Phase = "draining"
	// Halted has answered every job.
	Halted Phase = "halted"
)

type phaseEvent string

const (
	equip   phaseEvent = "equip"
	suspend phaseEvent = "suspend"
	resume  phaseEvent = "resume"
	drain   phaseEvent = "drain"
	halt    phaseEvent = "halt"
)

var phaseRules = []transitioner.Rule[Phase, phaseEvent]{
	{Event: equip, Source: []Phase{Starting}, Target: Serving},
	{Event: suspend, Source: []Phase{Serving}, Target: Suspended},
	{Event: resume, Source: []Phase{Suspended}, Target: Serving},
	{Event: drain, Source: []Phase{Starting, Serving, Suspended}, Target: Draining},
	{Event: halt, Source: []Phase{Draining}, Target: Halted},
}

// jobState is the life cycle of a job. Only a waiting job can be refused, so
// a refusal cannot be told of a job that has begun.
type jobState string

const (
	jobWaiting jobState = "waiting"
	jobBegun   jobState = "begun"
	jobFinal   jobState = "final"
)

type jobEvent string

const (
	jobBegin    jobEvent = "begin"
	jobRevert   jobEvent = "revert"
	jobRefuse   jobEvent = "refuse"
	jobFail     jobEvent = "fail"
	jobComplete jobEvent = "complete"
)

var jobMachine = transitioner.Compile(jobWaiting,
	transitioner.Rule[jobState, jobEvent]{Event: jobBegin, Source: []jobState{jobWaiting, jobBegun}, Target: jobBegun},
	transitioner.Rule[jobState, jobEvent]{Event: jobRevert, Source: []jobState{jobBegun}, Target: jobWaiting},
	transitioner.Rule[jobState, jobEvent]{Event: jobRefuse, Source: []jobState{jobWaiting}, Target: jobFinal},
	transitioner.Rule[jobState, jobEvent]{Event: jobFail, Source: []jobState{jobBegun}, Target: jobFinal},
	transitioner.Rule[jobState, jobEvent]{Event: jobComplete, Source: []jobState{jobBegun}, Target: jobFinal},
)

// taskState is the life cycle of a task. A task that may have started never
// becomes queued again.
type taskState string

const (
	taskQueued taskState = "queued"
	taskSent   taskState = "sent"
	taskDone   taskState = "done"
	taskWrong  taskState = "wrong"
	taskLost   taskState = "lost"
)

type taskEvent string

const (
	taskSend   taskEvent = "send"
	taskReturn taskEvent = "return"
	taskFinish taskEvent = "finish"
	taskFail   taskEvent = "fail"
	taskLose   taskEvent = "lose"
)

var taskMachine = transitioner.Compile(taskQueued,
	transitioner.Rule[taskState, taskEvent]{Event: taskSend, Source: []taskState{taskQueued}, Target: taskSent},
	transitioner.Rule[taskState, taskEvent]{Event: taskReturn, Source: []taskState{taskSent}, Target: taskQueued},
	transitioner.Rule[taskState, taskEvent]{Event: taskFinish, Source: []taskState{taskSent}, Target: taskDone},
	transitioner.Rule[taskState, taskEvent]{Event: taskFail, Source: []taskState{taskSent}, Target: taskWrong},
	transitioner.Rule[taskState, taskEvent]{Event: taskLose, Source: []taskState{taskSent}, Target: taskLost},
)

// State is the life cycle of a target as one host sees it.
type State string

const (
	// Live takes tasks.
	Live State = "live"
	// Departing takes no new task because it is leaving.
	Departing State = "leaving"
	// Ejected takes no task because it fails or delays what it starts.
	Ejected State = "ejected"
	// Trial takes one task that decides whether it is live again.
	Trial State = "trial"
)

type targetEvent string

const (
	targetLeave  targetEvent = "leave"
	targetReturn targetEvent = "return"
	targetEject  targetEvent = "eject"
	targetTry    targetEvent = "try"
	targetPass   targetEvent = "pass"
)

var targetRules = []transitioner.Rule[State, targetEvent]{
	{Event: targetLeave, Source: []State{Live, Ejected, Trial}, Target: Departing},
	{Event: targetReturn, Source: []State{Departing}, Target: Live},
	{Event: targetEject, Source: []State{Live, Trial}, Target: Ejected},
	{Event: targetTry, Source: []State{Ejected}, Target: Trial},
	{Event: targetPass, Source: []State{Trial, Ejected}, Target: Live},
}

// Presence is the life cycle of a peer as one host sees it.
type Presence string

const (
	// Present sends reports.
	Present Presence = "present"
	// Quiet has sent no report for Bounds.Quiet; its share is given to others.
	Quiet Presence = "quiet"
)

type peerEvent string

const (
	peerHear peerEvent = "hear"
	peerMiss peerEvent = "miss"
)

var peerRules = []transitioner.Rule[Presence, peerEvent]{
	{Event: peerHear, Source: []Presence{Quiet}, Target: Present},
	{Event: peerMiss, Source: []Presence{Present}, Target: Quiet},
}

package router

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/transitioner"
)

// task is one task of a job.
type task struct {
	state    taskState
	run      *run
	lastRun  int // highest run number used so far
	failures int
	// invalidStarts counts the Start orders that targets did not understand.
	invalidStarts int
	// avoidedTargets are targets where the task has failed, or that were too slow for it.
	avoidedTargets []string
	// notBefore and previousRun keep the task waiting while a run that was started before may
	// continue: until notBefore for a run at a target that has another holder by now, and until
	// previousRun ends for a run of an earlier submission of the job.
	notBefore   time.Time
	previousRun *run
}

type taskState string

const (
	taskWaiting taskState = "waiting"
	taskActive  taskState = "active"
	taskDone    taskState = "done"
)

type taskEvent string

const (
	taskStart   taskEvent = "start"
	taskRequeue taskEvent = "return"
	taskFinish  taskEvent = "finish"
)

// taskMachine is the life cycle of a task. A finished task stays finished.
var taskMachine = transitioner.Compile(taskWaiting,
	transitioner.Rule[taskState, taskEvent]{Event: taskStart, Sources: []taskState{taskWaiting}, Target: taskActive},
	transitioner.Rule[taskState, taskEvent]{Event: taskRequeue, Sources: []taskState{taskActive}, Target: taskWaiting},
	transitioner.Rule[taskState, taskEvent]{Event: taskFinish, Sources: []taskState{taskActive, taskWaiting, taskDone}, Target: taskDone},
)

// transitionTask applies an event to a task's state, and removes the job from the queue when
// none of its tasks waits any more. After taskRequeue, the caller queues the job again. It
// reports a violation and returns false if the state does not allow the event.
func (r *Router) transitionTask(j *job, index int, event taskEvent) bool {
	k := &j.tasks[index]
	next, ok := taskMachine.Next(k.state, event)
	if !ok {
		r.reportViolation("life of a task", "event %s does not apply to task %s in state %s", event, taskName(j.spec.ID, index), k.state)
		return false
	}
	if k.state == taskWaiting && next != taskWaiting {
		j.waitingCount--
		if j.waitingCount == 0 {
			r.queue.Remove(j)
		}
	}
	if k.state != taskWaiting && next == taskWaiting {
		j.waitingCount++
	}
	k.state = next
	return true
}

// createTasks creates the tasks of a job, which all wait.
func (r *Router) createTasks(j *job) {
	j.tasks = make([]task, j.spec.Count)
	for i := range j.tasks {
		j.tasks[i].state, j.tasks[i].lastRun = taskWaiting, j.runBase
	}
}

// restoreTasks creates the tasks of a job of which some are done, or may still run for the earlier
// job with its ID, which is nil if there is none.
func (r *Router) restoreTasks(j *job, done []int, earlier *job) {
	j.inheritSubmissions(earlier)
	if len(done) > 0 || earlier != nil && len(earlier.tasks) > 0 {
		r.createTasks(j)
	}
	j.inheritRuns(earlier)
	for _, i := range done {
		if i >= 0 && i < len(j.tasks) && j.tasks[i].state != taskDone {
			r.transitionTask(j, i, taskFinish)
			j.doneCount++
			j.mayHaveStarted = true
		}
	}
}

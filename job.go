package shallotrouter

import (
	"encoding/json"
	"time"
)

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 460

// Outcome is the final state of a job as reported to its client.
type Outcome string

const (
	// Complete means that every task ran and Results holds one entry per task.
	Complete Outcome = "complete"
	// Failed means that a task failed, or that it is unknown whether a task
	// ran. Some tasks may have run.
	Failed Outcome = "failed"
	// Refused means that no task of the job was started.
	Refused Outcome = "refused"
	// Lost means that the job may have run, but its answer is not available.
	Lost Outcome = "lost"
)

// Reason is the reason why a job was not completed.
type Reason string

const (
	// Malformed marks a submission that cannot be decoded or is not valid.
	Malformed Reason = "malformed"
	// Oversized marks a submission that exceeds a size limit.
	Oversized Reason = "oversized"
	// Unauthorized marks a request with a missing or wrong token, or with a
	// ticket of another client.
	Unauthorized Reason = "unauthorized"
	// Unknown marks an unknown service or job, or a task of which it is unknown
	// whether it ran.
	Unknown Reason = "unknown"
	// Expired marks a ticket that expired unused.
	Expired Reason = "expired"
	// Overload marks a job of a client whose queue is full.
	Overload Reason = "overload"
	// Deadline marks a job whose deadline has passed or cannot be met.
	Deadline Reason = "deadline"
	// Draining marks an entry host that is shutting down.
	Draining Reason = "draining"
	// Maintenance marks a preset that admits no new work.
	Maintenance Reason = "maintenance"
	// Paused marks an entry host that detected that its process had been paused.
	Paused Reason = "paused"
	// Cancelled marks a job that was cancelled by its client.
	Cancelled Reason = "cancelled"
	// Unready marks an entry host that has no declarations or no targets yet.
	Unready Reason = "unready"
	// Unreachable marks a ticket whose home host, the entry host that issued
	// it, cannot be reached.
	Unreachable Reason = "unreachable"
	// Restarted marks a ticket whose home host has restarted since it issued
	// the ticket.
	Restarted Reason = "restarted"
	// Forgotten marks a job whose answer is no longer retained.
	Forgotten Reason = "forgotten"
	// Rejected marks a job with a task that failed at its target.
	Rejected Reason = "rejected"
)

// Duration is a time.Duration that is encoded in JSON as text such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes text such as "1.5s". For a text of any other form it
// returns the error of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Task is a unit of work that is run once, by one target.
type Task struct {
	// Kind groups tasks with similar run times. It is at most 64 bytes long.
	Kind string `json:"kind"`
	// Payload is sent to the target unchanged. It is base64 in JSON.
	Payload []byte `json:"payload,omitempty"`
	// Expect is the declared run time. It may be far from the actual one, or zero.
	Expect Duration `json:"expect,omitempty"`
}

// Job is a submission of 1 to MaxTasks tasks with one answer for all of them.
type Job struct {
	// Ticket makes the submission safe to repeat. It may be empty for an
	// idempotent job; the entry host then issues a ticket for the job.
	Ticket string `json:"ticket,omitempty"`
	// Service names the declared service whose targets run the tasks.
	Service string `json:"service"`
	// Idempotent says that the job may safely run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline is the maximum response time, counted from admission.
	Deadline Duration `json:"deadline"`
	// Tasks run in parallel, in no particular order.
	Tasks []Task `json:"tasks"`
}

// Answer is the final answer to a job.
type Answer struct {
	// Ticket is the ticket of the job.
	Ticket string `json:"ticket,omitempty"`
	// Outcome is the final state.
	Outcome Outcome `json:"outcome"`
	// Reason is empty for a complete job.
	Reason Reason `json:"reason,omitempty"`
	// Message explains the reason and says what to do about it.
	Message string `json:"message,omitempty"`
	// After is how long to wait before a retry; zero means that a retry does
	// not help.
	After Duration `json:"after,omitempty"`
	// Results holds one payload per task, in the order of the job's tasks. It is
	// nil unless the outcome is Complete.
	Results [][]byte `json:"results,omitempty"`
	// Elapsed is the time from admission to the answer at the entry host.
	Elapsed Duration `json:"elapsed,omitempty"`
	// Host is the name of the entry host that handled the job.
	Host string `json:"host,omitempty"`
}

// State is the progress of a job.
type State struct {
	// Ticket is the ticket of the job.
	Ticket string `json:"ticket"`
	// Waiting, Running and Done are the numbers of the job's tasks that wait,
	// run and have ended.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Done    int `json:"done"`
	// Answer is nil until the job is final.
	Answer *Answer `json:"answer,omitempty"`
}

// Grant is a block of tickets.
type Grant struct {
	// Tickets are the tickets, each for one job.
	Tickets []string `json:"tickets"`
	// Expires is when the tickets that are still unused expire.
	Expires time.Time `json:"expires"`
}

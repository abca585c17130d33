package shallotrouter

import (
	"encoding/json"
	"time"
)

// MaxTasks is the greatest number of tasks in one job.
const MaxTasks = 460

// Outcome is the final state of a job as told to its client.
type Outcome string

const (
	// Complete means that every task ran and Results holds one entry a task.
	Complete Outcome = "complete"
	// Failed means that a task failed, or that its fate is unknown. Some tasks
	// may have run.
	Failed Outcome = "failed"
	// Refused means that no task of the job was started.
	Refused Outcome = "refused"
	// Lost means that the job may have run and its answer cannot be had.
	Lost Outcome = "lost"
)

// Reason tells why a job did not complete.
type Reason string

const (
	// Malformed marks a submission that cannot be read.
	Malformed Reason = "malformed"
	// Oversized marks a submission that exceeds a bound.
	Oversized Reason = "oversized"
	// Unauthorized marks a request with a missing or wrong token, or another client's ticket.
	Unauthorized Reason = "unauthorized"
	// Unknown marks a service, job or task fate that is not known.
	Unknown Reason = "unknown"
	// Expired marks a ticket that is past its expiry.
	Expired Reason = "expired"
	// Overload marks a client whose queue is full.
	Overload Reason = "overload"
	// Deadline marks a job whose deadline has passed or cannot be met.
	Deadline Reason = "deadline"
	// Draining marks an entry host that is shutting down.
	Draining Reason = "draining"
	// Maintenance marks a preset that admits no new work.
	Maintenance Reason = "maintenance"
	// Paused marks an entry host that found that it had been frozen.
	Paused Reason = "paused"
	// Cancelled marks a job that its client cancelled.
	Cancelled Reason = "cancelled"
	// Unready marks an entry host that has no declarations or no targets yet.
	Unready Reason = "unready"
	// Unreachable marks a ticket whose home host cannot be reached.
	Unreachable Reason = "unreachable"
	// Restarted marks a ticket whose home host has started anew since.
	Restarted Reason = "restarted"
	// Forgotten marks a job whose answer is no longer kept.
	Forgotten Reason = "forgotten"
	// Rejected marks a job with a task that a target failed.
	Rejected Reason = "rejected"
)

// Duration is a time.Duration that reads and writes as text such as "250ms".
type Duration time.Duration

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads text such as "1.5s". It returns the error of
// time.ParseDuration for anything else.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Task is one unit of work that one target runs once.
type Task struct {
	// Kind groups tasks with similar run times. It is at most 64 bytes.
	Kind string `json:"kind"`
	// Payload is handed to the target as it is. JSON carries it in base64.
	Payload []byte `json:"payload,omitempty"`
	// Expect is the declared run time. It may be far off or zero.
	Expect Duration `json:"expect,omitempty"`
}

// Job is a submission of 1 to MaxTasks tasks that are answered as a whole.
type Job struct {
	// Ticket makes the submission safe to repeat. An idempotent job may leave
	// it empty; the entry host then takes one for it.
	Ticket string `json:"ticket,omitempty"`
	// Service names the declared service whose targets run the tasks.
	Service string `json:"service"`
	// Idempotent says that running the job again does no harm.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline bounds the response time, counted from admission.
	Deadline Duration `json:"deadline"`
	// Tasks run in parallel, in no order.
	Tasks []Task `json:"tasks"`
}

// Answer is the one final answer to a job.
type Answer struct {
	// Ticket names the job that is answered.
	Ticket string `json:"ticket,omitempty"`
	// Outcome is the final state.
	Outcome Outcome `json:"outcome"`
	// Reason is empty for a complete job.
	Reason Reason `json:"reason,omitempty"`
	// Message explains the reason and names the remedy.
	Message string `json:"message,omitempty"`
	// After is how long to wait before coming back; zero means that coming
	// back does not help.
	After Duration `json:"after,omitempty"`
	// Results holds one payload a task, in the order of the job's tasks. It is
	// nil unless the outcome is Complete.
	Results [][]byte `json:"results,omitempty"`
	// Elapsed is the time from admission to the answer at the entry host.
	Elapsed Duration `json:"elapsed,omitempty"`
	// Host names the entry host that ran the job.
	Host string `json:"host,omitempty"`
}

// State is the progress of a job.
type State struct {
	// Ticket names the job.
	Ticket string `json:"ticket"`
	// Waiting, Running and Done count the job's tasks.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Done    int `json:"done"`
	// Answer is nil until the job is final.
	Answer *Answer `json:"answer,omitempty"`
}

// Grant is a block of tickets.
type Grant struct {
	// Tickets are the texts to submit under, each for one job.
	Tickets []string `json:"tickets"`
	// Expires is when an unused ticket stops being good.
	Expires time.Time `json:"expires"`
}

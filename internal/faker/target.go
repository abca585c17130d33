package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/dispatcher"
)

// Work is the payload that controls a task at a Target. Any other payload is echoed.
type Work struct {
	// RunTime is the run time of the task.
	RunTime time.Duration `json:"run"`
	// Result is the result of the task.
	Result string `json:"echo"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
}

// TargetFaults holds the faults that are injected into a Target.
type TargetFaults struct {
	// FailTasks makes every task fail.
	FailTasks bool `json:"fail"`
	// SlowFactor multiplies the run times of the tasks if it is above 1.
	SlowFactor float64 `json:"slow"`
	// Leaving refuses every task with the reason "leaving".
	Leaving bool `json:"leaving"`
	// CloseConnection closes the connection instead of answering.
	CloseConnection bool `json:"cut"`
	// TruncateResult sends half of each result.
	TruncateResult bool `json:"truncate"`
	// WrongTaskName answers with the name of another task.
	WrongTaskName bool `json:"mislabel"`
	// NeverAnswer starts the task but never answers.
	NeverAnswer bool `json:"silent"`
}

// TargetCounts holds the counters of a Target.
type TargetCounts struct {
	// Starts is the number of starts by the name of the task.
	Starts map[string]int `json:"starts"`
	// MaxRunning is the maximum number of tasks that ran at once.
	MaxRunning int `json:"most"`
	// RefusedLate counts the tasks that were refused because their start-by time had
	// passed, RefusedLeaving those that were refused because the target is leaving.
	RefusedLate    int `json:"late"`
	RefusedLeaving int `json:"left"`
}

// Target is a stand-in for a target. Call Handler once; afterwards it is safe for
// concurrent use.
type Target struct {
	// Slots is the maximum number of tasks that run at once.
	Slots int

	mutex     sync.Mutex
	freeSlots chan struct{} // holds one token per free slot
	running   int
	faults    TargetFaults
	counts    TargetCounts
}

// Handler returns the target's HTTP interface: POST /run, and for tests GET
// /counts and PUT /trouble.
func (t *Target) Handler() http.Handler {
	t.counts.Starts = make(map[string]int)
	t.freeSlots = make(chan struct{}, t.Slots)
	for range t.Slots {
		t.freeSlots <- struct{}{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dispatcher.Path, t.handleTask)
	mux.HandleFunc("GET /counts", t.handleCounts)
	mux.HandleFunc("PUT /trouble", t.handleSetTrouble)
	return mux
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Counts returns a copy of the counters.
func (t *Target) Counts() TargetCounts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.counts
	c.Starts = make(map[string]int, len(t.counts.Starts))
	for name, n := range t.counts.Starts {
		c.Starts[name] = n
	}
	return c
}

// handleTask waits for a slot, runs a task and sends its result.
func (t *Target) handleTask(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.Header.Get(dispatcher.HeaderTask)
	reason := t.waitForSlot(r)
	if reason != "" {
		w.Header().Set(dispatcher.HeaderNotStarted, name)
		w.Header().Set(dispatcher.HeaderReason, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	faults := t.recordStart(name)
	work := Work{Result: string(payload)}
	_ = json.Unmarshal(payload, &work) // any other payload is echoed unchanged
	t.execute(r, work, faults)
	t.releaseSlot()
	t.sendResult(w, name, work, faults)
}

// waitForSlot waits for a free slot until the start-by time of the task and takes it.
// It returns the reason if the task is refused, an empty string otherwise.
func (t *Target) waitForSlot(r *http.Request) string {
	startBy, err := strconv.ParseInt(r.Header.Get(dispatcher.HeaderStartBy), 10, 64)
	timeLeft := time.Until(time.UnixMilli(startBy))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Leaving {
		t.counts.RefusedLeaving++
		return "leaving"
	}
	if err != nil || timeLeft <= 0 {
		t.counts.RefusedLate++
		return "late"
	}
	t.mutex.Unlock()
	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	hasSlot := false
	select {
	case <-t.freeSlots:
		hasSlot = true
	case <-timer.C:
	case <-r.Context().Done():
	}
	t.mutex.Lock()
	if !hasSlot {
		t.counts.RefusedLate++
		return "late"
	}
	return ""
}

// recordStart counts a start and returns the faults that apply to it.
func (t *Target) recordStart(name string) TargetFaults {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running++
	t.counts.MaxRunning = max(t.counts.MaxRunning, t.running)
	t.counts.Starts[name]++
	return t.faults
}

// releaseSlot frees the slot of a task that ended.
func (t *Target) releaseSlot() {
	t.mutex.Lock()
	t.running--
	t.mutex.Unlock()
	t.freeSlots <- struct{}{}
}

// execute sleeps for the run time of the task. With the fault NeverAnswer it waits until
// the caller disconnects.
func (t *Target) execute(r *http.Request, work Work, faults TargetFaults) {
	if faults.NeverAnswer {
		<-r.Context().Done()
		return
	}
	if faults.FailTasks {
		return
	}
	time.Sleep(time.Duration(float64(work.RunTime) * max(1, faults.SlowFactor)))
}

func (t *Target) sendResult(w http.ResponseWriter, name string, work Work, faults TargetFaults) {
	if faults.CloseConnection {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongTaskName {
		name += "x"
	}
	w.Header().Set(dispatcher.HeaderTask, name)
	if work.Fail || faults.FailTasks {
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	}
	if faults.TruncateResult {
		w.Header().Set("Content-Length", strconv.Itoa(len(work.Result)+1))
	}
	_, _ = io.WriteString(w, work.Result) // the caller has disconnected
}

func (t *Target) handleCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Counts()) // the caller has disconnected
}

func (t *Target) handleSetTrouble(w http.ResponseWriter, r *http.Request) {
	var faults TargetFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
}

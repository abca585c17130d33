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
	// Run is the run time of the task.
	Run time.Duration `json:"run"`
	// Echo is the result of the task.
	Echo string `json:"echo"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
}

// Trouble holds the faults that are injected into a Target.
type Trouble struct {
	// Fail makes every task fail.
	Fail bool `json:"fail"`
	// Slow multiplies the run times of the tasks if it is above 1.
	Slow float64 `json:"slow"`
	// Leaving refuses every task with the reason "leaving".
	Leaving bool `json:"leaving"`
	// Cut closes the connection instead of answering.
	Cut bool `json:"cut"`
	// Truncate sends half of each result.
	Truncate bool `json:"truncate"`
	// Mislabel answers with the name of another task.
	Mislabel bool `json:"mislabel"`
	// Silent starts the task but never answers.
	Silent bool `json:"silent"`
}

// Counts holds the counters of a Target.
type Counts struct {
	// Starts is the number of starts by the name of the task.
	Starts map[string]int `json:"starts"`
	// Most is the maximum number of tasks that ran at once.
	Most int `json:"most"`
	// Late counts the tasks that were refused because their start-by time had
	// passed, Left those that were refused because the target is leaving.
	Late int `json:"late"`
	Left int `json:"left"`
}

// Target is a stand-in for a target. Call Handler once; afterwards it is safe for
// concurrent use.
type Target struct {
	// Slots is the maximum number of tasks that run at once.
	Slots int

	mutex     sync.Mutex
	freeSlots chan struct{} // holds one token per free slot
	running   int
	faults    Trouble
	counts    Counts
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

// Set replaces the injected faults.
func (t *Target) Set(faults Trouble) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Counts returns a copy of the counters.
func (t *Target) Counts() Counts {
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
	work := Work{Echo: string(payload)}
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
		t.counts.Left++
		return "leaving"
	}
	if err != nil || timeLeft <= 0 {
		t.counts.Late++
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
		t.counts.Late++
		return "late"
	}
	return ""
}

// recordStart counts a start and returns the faults that apply to it.
func (t *Target) recordStart(name string) Trouble {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running++
	t.counts.Most = max(t.counts.Most, t.running)
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

// execute sleeps for the run time of the task. With the fault Silent it waits until
// the caller disconnects.
func (t *Target) execute(r *http.Request, work Work, faults Trouble) {
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.Fail {
		return
	}
	time.Sleep(time.Duration(float64(work.Run) * max(1, faults.Slow)))
}

func (t *Target) sendResult(w http.ResponseWriter, name string, work Work, faults Trouble) {
	if faults.Cut {
		panic(http.ErrAbortHandler)
	}
	if faults.Mislabel {
		name += "x"
	}
	w.Header().Set(dispatcher.HeaderTask, name)
	if work.Fail || faults.Fail {
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	}
	if faults.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(work.Echo)+1))
	}
	_, _ = io.WriteString(w, work.Echo) // the caller has disconnected
}

func (t *Target) handleCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Counts()) // the caller has disconnected
}

func (t *Target) handleSetTrouble(w http.ResponseWriter, r *http.Request) {
	var faults Trouble
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.Set(faults)
}

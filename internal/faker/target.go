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

// Work is the payload that a Target understands. Any other payload is echoed.
type Work struct {
	// Run is how long the task runs.
	Run time.Duration `json:"run"`
	// Echo is the task's result.
	Echo string `json:"echo"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
}

// Trouble is how a Target misbehaves.
type Trouble struct {
	// Fail fails every task.
	Fail bool `json:"fail"`
	// Slow multiplies run times when above 1.
	Slow float64 `json:"slow"`
	// Leaving refuses every task as leaving.
	Leaving bool `json:"leaving"`
	// Cut closes the connection instead of answering.
	Cut bool `json:"cut"`
	// Truncate sends half of each result.
	Truncate bool `json:"truncate"`
	// Mislabel answers with another task's name.
	Mislabel bool `json:"mislabel"`
	// Silent never answers.
	Silent bool `json:"silent"`
}

// Counts are what a Target has seen.
type Counts struct {
	// Starts counts the starts of each task by its name.
	Starts map[string]int `json:"starts"`
	// Most is the greatest number of tasks that ran together.
	Most int `json:"most"`
	// Late and Left count the refusals.
	Late int `json:"late"`
	Left int `json:"left"`
}

// Target is a stand-in for a back end. It is safe for concurrent use.
type Target struct {
	// Slots bounds the tasks that run together.
	Slots int

	mutex   sync.Mutex
	free    chan struct{} // one token a free slot
	running int
	trouble Trouble
	counts  Counts
}

// Handler returns the target's HTTP interface: POST /run, and for tests GET
// /counts and PUT /trouble.
func (t *Target) Handler() http.Handler {
	t.counts.Starts = make(map[string]int)
	t.free = make(chan struct{}, t.Slots)
	for range t.Slots {
		t.free <- struct{}{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dispatcher.Path, t.run)
	mux.HandleFunc("GET /counts", t.showCounts)
	mux.HandleFunc("PUT /trouble", t.setTrouble)
	return mux
}

// Set changes how the target misbehaves.
func (t *Target) Set(trouble Trouble) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.trouble = trouble
}

// Counts returns a copy of what the target has seen.
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

// run takes one task.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.Header.Get(dispatcher.HeaderTask)
	reason := t.await(r)
	if reason != "" {
		w.Header().Set(dispatcher.HeaderNotStarted, name)
		w.Header().Set(dispatcher.HeaderReason, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	trouble := t.begin(name)
	work := Work{Echo: string(payload)}
	_ = json.Unmarshal(payload, &work) // any other payload is echoed as it is
	t.work(r, work, trouble)
	t.end()
	t.answer(w, name, work, trouble)
}

// await takes a slot, or returns the reason to refuse the task. A task waits for
// a slot until its start-by time.
func (t *Target) await(r *http.Request) string {
	limit, err := strconv.ParseInt(r.Header.Get(dispatcher.HeaderStartBy), 10, 64)
	left := time.Until(time.UnixMilli(limit))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.trouble.Leaving {
		t.counts.Left++
		return "leaving"
	}
	if err != nil || left <= 0 {
		t.counts.Late++
		return "late"
	}
	t.mutex.Unlock()
	timer := time.NewTimer(left)
	defer timer.Stop()
	taken := false
	select {
	case <-t.free:
		taken = true
	case <-timer.C:
	case <-r.Context().Done():
	}
	t.mutex.Lock()
	if !taken {
		t.counts.Late++
		return "late"
	}
	return ""
}

// begin counts a start.
func (t *Target) begin(name string) Trouble {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running++
	t.counts.Most = max(t.counts.Most, t.running)
	t.counts.Starts[name]++
	return t.trouble
}

// end gives the slot back.
func (t *Target) end() {
	t.mutex.Lock()
	t.running--
	t.mutex.Unlock()
	t.free <- struct{}{}
}

// work spends the task's time. A silent target waits until its caller leaves.
func (t *Target) work(r *http.Request, work Work, trouble Trouble) {
	if trouble.Silent {
		<-r.Context().Done()
		return
	}
	if trouble.Fail {
		return
	}
	time.Sleep(time.Duration(float64(work.Run) * max(1, trouble.Slow)))
}

func (t *Target) answer(w http.ResponseWriter, name string, work Work, trouble Trouble) {
	if trouble.Cut {
		panic(http.ErrAbortHandler)
	}
	if trouble.Mislabel {
		name += "x"
	}
	w.Header().Set(dispatcher.HeaderTask, name)
	if work.Fail || trouble.Fail {
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	}
	if trouble.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(work.Echo)+1))
	}
	_, _ = io.WriteString(w, work.Echo) // a caller that has gone away needs no answer
}

func (t *Target) showCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Counts()) // a caller that has gone away needs no answer
}

func (t *Target) setTrouble(w http.ResponseWriter, r *http.Request) {
	var trouble Trouble
	if err := json.NewDecoder(r.Body).Decode(&trouble); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.Set(trouble)
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease, and stopTime how long a stop takes.
	maxHold  = time.Second
	stopTime = 30 * time.Millisecond
	// heartbeat is the interval at which an executor writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxListedEnds is the number of ends in an answer.
	maxListedEnds = 500
)

// executor is a stand-in for an executor: one life of it. The spec of a task is its run time.
type executor struct {
	id, zone, service string
	labels            []string
	cpu, memory       int
	guards            bool // it rejects what does not fit
	address           string
	born              time.Time
	store             *store
	record            *record

	mutex    sync.Mutex
	state    string
	sequence int
	token    uint64
	leaseEnd int64
	runs     map[string]*run
	closed   map[string]int // highest run that was stopped or has ended, by task
	ends     [][]any
	lastEnd  int
	ended    chan struct{} // closed when an end is listed
	// late is set while stops get no answer and are carried out after that time.
	late time.Duration
}

// run is a run of a task.
type run struct {
	task     string
	number   int
	cpu      int
	startAt  time.Time
	length   time.Duration
	stopping bool
}

// order is the body of all calls.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	Deadline     int64  `json:"deadlineMs"`
	Token        uint64 `json:"fencingToken"`
	AckedThrough int    `json:"ackedThrough"`
	Wait         int64  `json:"waitMs"`
}

func (x *executor) init() {
	x.born, x.state, x.ended = time.Now(), "ready", make(chan struct{})
	x.runs, x.closed = make(map[string]*run), make(map[string]int)
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// loop writes the executor's entry.
func (x *executor) loop() {
	for {
		x.register()
		time.Sleep(heartbeat)
	}
}

func (x *executor) register() {
	x.mutex.Lock()
	x.sequence++
	entry := map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": x.state,
		"coldLeftMs": 0, "capacity": map[string]int{"cpu": x.cpu, "memMb": x.memory, "gpu": 0}, "labels": x.labels,
		"clockMs": x.clock(), "sequence": x.sequence, "born": x.born.UnixMilli(),
	}
	x.mutex.Unlock()
	x.store.put("servers", x.id, entry)
}

// ServeHTTP implements http.Handler.
func (x *executor) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", x.id)
		return
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Header.Get("Target-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	late := x.lateness()
	if q.URL.Path != "/v1/run-stop" {
		late = 0
	}
	if q.URL.Path != "/v1/hold" {
		x.record.count(late > 0)
	}
	if late > 0 {
		x.record.add("executor %s leaves the stop of %s run %d unanswered and carries it out in %v", x.id, o.Task, o.Run, late)
		time.AfterFunc(late, func() { x.serve(discard{}, q.URL.Path, o) })
		panic(http.ErrAbortHandler)
	}
	x.serve(w, q.URL.Path, o)
}

// discard is the answer of an order that is carried out late.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return make(http.Header) }

// Write implements http.ResponseWriter.
func (discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

func (x *executor) lateness() time.Duration {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.late
}

// setLate makes stops be carried out late and without an answer, or ends that with 0.
func (x *executor) setLate(late time.Duration) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.late = late
}

// serve carries out an order.
func (x *executor) serve(w http.ResponseWriter, path string, o order) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if o.Token < x.token {
		x.reject(w, "fence")
		return
	}
	x.token = o.Token
	switch path {
	case "/v1/run-start":
		x.start(w, o)
	case "/v1/run-stop":
		x.stop(o)
		respond(w, http.StatusOK, map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()})
	case "/v1/hold":
		x.extend(o.Deadline)
		x.hold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *executor) reject(w http.ResponseWriter, reason string) {
	respond(w, http.StatusConflict, map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "reason": reason})
}

// extend extends the lease. The mutex must be held.
func (x *executor) extend(deadline int64) {
	if deadline = min(deadline, x.clock()+maxHold.Milliseconds()); deadline <= x.leaseEnd {
		return
	}
	x.leaseEnd = deadline
	time.AfterFunc(time.Duration(deadline-x.clock())*time.Millisecond, x.lapse)
}

// lapse ends all runs if the lease has expired.
func (x *executor) lapse() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.clock() < x.leaseEnd {
		return
	}
	for _, r := range x.runs {
		x.end(r, "lapsed")
	}
}

// used returns the processor share of all runs. The mutex must be held.
func (x *executor) used() int {
	sum := 0
	for _, r := range x.runs {
		sum += r.cpu
	}
	return sum
}

// start starts a run. The spec is "RUNTIME CPU". The mutex must be held.
func (x *executor) start(w http.ResponseWriter, o order) {
	var text string
	var cpu int
	_, err := fmt.Sscan(o.Spec, &text, &cpu)
	length, errLength := time.ParseDuration(text)
	present := x.runs[o.Task]
	switch {
	case err != nil || errLength != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case present != nil && present.number == o.Run:
	case present != nil || o.Run <= x.closed[o.Task]:
		x.extend(o.Deadline)
		x.reject(w, "old")
		return
	case o.Deadline <= x.clock():
		x.reject(w, "late")
		return
	case x.guards && x.used()+cpu > x.cpu:
		x.extend(o.Deadline)
		x.reject(w, "room")
		return
	default:
		r := &run{task: o.Task, number: o.Run, cpu: cpu, startAt: time.Now(), length: length}
		x.runs[o.Task] = r
		x.record.began(x, r, o)
		time.AfterFunc(length, func() { x.finish(r, "done") })
	}
	x.extend(o.Deadline)
	respond(w, http.StatusOK, map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()})
}

// stop begins to stop a run. The mutex must be held.
func (x *executor) stop(o order) {
	x.closed[o.Task] = max(x.closed[o.Task], o.Run)
	if r := x.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() { x.finish(r, "stopped") })
	}
}

// finish ends a run unless it has ended.
func (x *executor) finish(r *run, how string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.runs[r.task] == r {
		x.end(r, how)
	}
}

// end lists the end of a run. The mutex must be held.
func (x *executor) end(r *run, how string) {
	delete(x.runs, r.task)
	x.closed[r.task] = max(x.closed[r.task], r.number)
	x.lastEnd++
	x.ends = append(x.ends, []any{x.lastEnd, r.task, r.number, how, ""})
	x.record.ended(x, r, how)
	close(x.ended)
	x.ended = make(chan struct{})
}

// hold answers with the lists. The mutex must be held; it is released during the wait.
func (x *executor) hold(w http.ResponseWriter, o order) {
	x.ends = slices.DeleteFunc(x.ends, func(e []any) bool { return e[0].(int) <= o.AckedThrough })
	if len(x.ends) == 0 && o.Wait > 0 {
		ended := x.ended
		x.mutex.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		x.mutex.Lock()
	}
	running := [][]any{}
	for _, r := range x.runs {
		percent := min(int(100*time.Since(r.startAt)/max(r.length, time.Millisecond)), 99)
		running = append(running, []any{r.task, r.number, "", percent, r.cpu})
	}
	ends := slices.Clone(x.ends[:min(len(x.ends), maxListedEnds)])
	if ends == nil {
		ends = [][]any{}
	}
	respond(w, http.StatusOK, map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": ends})
}

// newExecutors creates executors, each at an address of its own.
func (s *site) newExecutors(count int, zone, service string, cpu int) []*executor {
	var list []*executor
	for range count {
		x := &executor{
			id: "i-" + strconv.FormatInt(int64(0x7f3a0000+len(s.executors)), 16), zone: zone, service: service, labels: []string{"a", "r1-" + strconv.Itoa(len(s.executors)/8)},
			cpu: cpu, memory: 32768, guards: true, store: s.store, record: s.record,
		}
		x.init()
		x.address = s.serve(x)
		s.executors, list = append(s.executors, x), append(list, x)
		go x.loop()
	}
	return list
}

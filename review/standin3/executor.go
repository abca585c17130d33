package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for an executor. It enforces leases, fencing tokens and its capacity.
// The spec of a task is how long it runs.
type executor struct {
	site     *site
	id       string
	zone     string
	address  string
	born     time.Time
	cpu      int // capacity in thousandths of a core
	guards   bool
	sequence int

	mutex   sync.Mutex
	token   uint64
	lease   int64 // its end on the executor's clock in milliseconds
	runs    map[string]*taskRun
	highest map[string]int // highest run that was stopped or has ended, by task
	ends    [][]any
	count   int
	listed  chan struct{} // closed when an end is listed
	used    int
	// lateStops is how much later than they arrive stops are carried out, without an answer; zero for none.
	lateStops time.Duration
}

type taskRun struct {
	number  int
	cpu     int
	started time.Time
	length  time.Duration
	ended   bool
}

const (
	maxHoldMs   = 1000
	stopTime    = 20 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	executorCPU = 16000
	executorMem = 32768
)

func newExecutor(s *site, id, zone string) *executor {
	e := &executor{site: s, id: id, zone: zone, born: time.Now(), cpu: executorCPU, guards: true, runs: make(map[string]*taskRun), highest: make(map[string]int), listed: make(chan struct{})}
	l := listen()
	e.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.handle(e.start))
	mux.HandleFunc("POST /v1/run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /v1/hold", e.handle(e.hold))
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	go e.report()
	go e.watchLease()
	return e
}

// report writes the executor's entry again and again.
func (e *executor) report() {
	for {
		e.mutex.Lock()
		e.sequence++
		entry := map[string]any{
			"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": e.cpu, "memMb": executorMem, "gpu": 0}, "labels": []string{"a", "r1-" + e.zone}, "clockMs": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
		}
		e.mutex.Unlock()
		e.site.store.set("servers", e.id, entry)
		time.Sleep(heartbeat)
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// watchLease kills everything that runs once the lease has lapsed.
func (e *executor) watchLease() {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mutex.Lock()
		if e.clock() > e.lease {
			for task, n := range e.runs {
				e.end(task, n, "lapsed")
			}
		}
		e.mutex.Unlock()
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    uint64 `json:"fencingToken"`
	Acked    int    `json:"ackedThrough"`
	WaitMs   int    `json:"waitMs"`
}

// handle decodes an order and checks the instance and the token.
func (e *executor) handle(next func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if name := r.Header.Get("Target-Instance"); name != "" && name != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mutex.Lock()
		if e.isCutFrom(o.Token) {
			e.mutex.Unlock()
			<-r.Context().Done() // neither the order nor an answer passes the border of the zone
			return
		}
		defer e.mutex.Unlock()
		if o.Token < e.token {
			e.reply(w, http.StatusConflict, "fence")
			return
		}
		e.token = o.Token
		next(w, r, o)
	}
}

// isCutFrom reports whether the zone of the executor is cut off from the daemon with a token. The daemons of
// the zone that is cut off have higher tokens than those that the executors have seen before, since they take
// the zone's executors over; only they reach them, and they reach no others. A
// call without a token changes nothing.
func (e *executor) isCutFrom(token uint64) bool {
	e.site.mutex.Lock()
	defer e.site.mutex.Unlock()
	return e.site.cutZone == e.zone && token > 0 && token <= e.site.cutToken
}

func (e *executor) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func (e *executor) extend(deadline int64) { e.lease = max(e.lease, min(deadline, e.clock()+maxHoldMs)) }

func (e *executor) start(w http.ResponseWriter, _ *http.Request, o order) {
	length, err := time.ParseDuration(strings.TrimSpace(o.Spec))
	if err != nil {
		e.reply(w, http.StatusBadRequest, "")
		return
	}
	e.site.countOrder(false)
	switch n := e.runs[o.Task]; {
	case n != nil && n.number == o.Run:
		e.extend(o.Deadline)
		e.reply(w, http.StatusOK, "")
		return
	case o.Run <= e.highest[o.Task] || n != nil && o.Run < n.number:
		e.extend(o.Deadline)
		e.reply(w, http.StatusConflict, "old")
		return
	case o.Deadline <= e.clock():
		e.reply(w, http.StatusConflict, "late")
		return
	case e.guards && e.used+taskCPU > e.cpu:
		e.extend(o.Deadline)
		e.reply(w, http.StatusConflict, "room")
		return
	}
	e.extend(o.Deadline)
	n := &taskRun{number: o.Run, cpu: taskCPU, started: time.Now(), length: length}
	e.runs[o.Task] = n
	e.used += taskCPU
	e.site.record("executor %s starts task %s run %d token %d", e.id, o.Task, o.Run, o.Token)
	e.site.noteStart(e, o.Task, o.Run)
	time.AfterFunc(length, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.end(o.Task, n, "done")
	})
	e.reply(w, http.StatusOK, "")
}

// end lists the end of a run. The mutex must be held.
func (e *executor) end(task string, n *taskRun, how string) {
	if n.ended || e.runs[task] != n {
		return
	}
	n.ended = true
	delete(e.runs, task)
	e.used -= n.cpu
	e.highest[task] = max(e.highest[task], n.number)
	e.count++
	e.ends = append(e.ends, []any{e.count, task, n.number, how, ""})
	close(e.listed)
	e.listed = make(chan struct{})
	e.site.record("executor %s ends task %s run %d: %s", e.id, task, n.number, how)
	e.site.noteEnd(e, task, n.number, how)
}

func (e *executor) stop(w http.ResponseWriter, r *http.Request, o order) {
	e.site.countOrder(e.lateStops > 0)
	if late := e.lateStops; late > 0 {
		e.site.record("executor %s leaves a stop of task %s run %d unanswered", e.id, o.Task, o.Run)
		time.AfterFunc(late, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if o.Token >= e.token {
				e.carryOutStop(o)
			}
		})
		e.mutex.Unlock()
		<-r.Context().Done()
		e.mutex.Lock()
		return
	}
	e.carryOutStop(o)
	e.reply(w, http.StatusOK, "")
}

// carryOutStop stops a run, or keeps it from starting. The mutex must be held.
func (e *executor) carryOutStop(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if n := e.runs[o.Task]; n != nil && n.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.end(o.Task, n, "stopped")
		})
	}
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		e.extend(o.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0][0].(int) <= o.Acked {
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.WaitMs > 0 {
		listed := e.listed
		e.mutex.Unlock()
		select {
		case <-listed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mutex.Lock()
	}
	running := [][]any{}
	for task, n := range e.runs {
		running = append(running, []any{task, n.number, "", int(100 * min(time.Since(n.started).Seconds()/max(n.length.Seconds(), 0.001), 1)), n.cpu})
	}
	ends := append([][]any{}, e.ends[:min(len(e.ends), 500)]...)
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": ends})
}

func (e *executor) String() string { return fmt.Sprintf("%s (%s)", e.id, e.zone) }

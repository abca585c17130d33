package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for an executor, as PROTOCOL.md describes it. It guards its capacity. A task's
// spec tells how long it runs and what it takes: "MILLISECONDS CPU".
type executor struct {
	id, zone, rack string
	site           *site
	address        string

	mutex     sync.Mutex
	life      *life // nil while the process is down
	kind      string
	listener  net.Listener
	server    *http.Server
	heartbeat int
	unheard   bool // its heartbeats do not reach the store
}

// life is one process of an executor. It knows nothing of former ones.
type life struct {
	born     time.Time
	kind     string
	capacity int
	token    uint64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int // highest run that was stopped or has ended, by task
	ends     [][]any
	lastEnd  int
	ended    chan struct{}
	over     bool
}

type run struct {
	number, cpu int
	started     time.Time
	length      time.Duration
	over        bool
}

const (
	executorCPU = 16000
	maxHold     = 1000 // milliseconds
)

func newExecutor(s *site, id, zone, rack, kind string) *executor {
	x := &executor{id: id, zone: zone, rack: rack, kind: kind, site: s}
	listener := listen()
	x.address = listener.Addr().String()
	x.open(listener)
	return x
}

// open begins a new life.
func (x *executor) open(listener net.Listener) {
	x.mutex.Lock()
	x.life = &life{born: time.Now(), kind: x.kind, capacity: executorCPU, runs: make(map[string]*run), highest: make(map[string]int), ended: make(chan struct{})}
	x.listener, x.server = listener, &http.Server{Handler: x}
	server := x.server
	x.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	x.register()
}

// register writes the entry to the store, as a heartbeat does.
func (x *executor) register() {
	x.mutex.Lock()
	l := x.life
	if l == nil || x.unheard {
		x.mutex.Unlock()
		return
	}
	x.heartbeat++
	entry := map[string]any{
		"service": serviceName, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": l.capacity, "memMb": 32768, "gpu": 0}, "labels": []string{l.kind, x.rack},
		"clockMs": l.clock(), "sequence": x.heartbeat, "born": l.born.UnixMilli(),
	}
	x.mutex.Unlock()
	x.site.store.put("servers", x.id, entry)
}

// crash ends the process: its runs are gone and its connections are reset.
func (x *executor) crash() {
	x.mutex.Lock()
	l := x.life
	x.life = nil
	l.over = true
	for task, n := range l.runs {
		n.over = true
		x.site.recordRun("%s run %d of task %s is lost with the process", x.id, n.number, task)
		x.site.runEnded(task, x.id)
	}
	close(l.ended)
	server := x.server
	x.mutex.Unlock()
	_ = server.Close()
	x.site.record("%s crashes", x.id)
}

// restart starts the process again at its address, as a machine of the given kind.
func (x *executor) restart(kind string) {
	x.mutex.Lock()
	x.kind = kind
	x.mutex.Unlock()
	for range 200 {
		listener, err := net.Listen("tcp", x.address)
		if err == nil {
			x.open(listener)
			x.site.record("%s is up again, of kind %s", x.id, kind)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	fail("listen again", fmt.Errorf("%s is in use", x.address))
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

// ServeHTTP implements run-start, run-stop and hold.
func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadlineMs"`
		Token    uint64 `json:"fencingToken"`
		Acked    int    `json:"ackedThrough"`
		Wait     int64  `json:"waitMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Target-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	l := x.life
	if l == nil {
		panic(http.ErrAbortHandler)
	}
	if body.Token < l.token {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": "fence"})
		return
	}
	l.token = body.Token
	if body.Deadline > 0 {
		x.extend(l, body.Deadline)
	}
	switch r.URL.Path {
	case "/v1/run-start":
		x.start(w, l, body.Task, body.Run, body.Spec, body.Deadline)
	case "/v1/run-stop":
		l.highest[body.Task] = max(l.highest[body.Task], body.Run)
		if n := l.runs[body.Task]; n != nil && n.number == body.Run {
			x.end(l, body.Task, n, "stopped")
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": l.clock()})
	case "/v1/hold":
		x.hold(w, l, body.Acked, time.Duration(body.Wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease and ends all that runs when it lapses.
func (x *executor) extend(l *life, deadline int64) {
	l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock()+maxHold))
	time.AfterFunc(time.Duration(l.leaseEnd-l.clock())*time.Millisecond, func() {
		x.mutex.Lock()
		defer x.mutex.Unlock()
		if l.clock() < l.leaseEnd || l.over {
			return
		}
		for task, n := range l.runs {
			x.end(l, task, n, "lapsed")
		}
	})
}

func (x *executor) start(w http.ResponseWriter, l *life, task string, number int, spec string, deadline int64) {
	reject := func(reason string) {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason})
	}
	length, cpu, err := parseSpec(spec)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	used := cpu
	for _, n := range l.runs {
		used += n.cpu
	}
	switch n := l.runs[task]; {
	case n != nil && n.number == number:
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": l.clock()})
		return
	case number <= l.highest[task] || n != nil:
		reject("old")
		return
	case deadline <= l.clock():
		reject("late")
		return
	case used > l.capacity:
		reject("room")
		return
	}
	n := &run{number: number, cpu: cpu, started: time.Now(), length: length}
	l.runs[task] = n
	x.site.runStarted(task, number, x, l)
	time.AfterFunc(length, func() {
		x.mutex.Lock()
		defer x.mutex.Unlock()
		x.end(l, task, n, "done")
	})
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": l.clock()})
}

// end ends a run unless it is over. The mutex must be held.
func (x *executor) end(l *life, task string, n *run, how string) {
	if n.over || l.over {
		return
	}
	n.over = true
	delete(l.runs, task)
	l.highest[task] = max(l.highest[task], n.number)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, task, n.number, how, ""})
	x.site.recordRun("%s run %d of task %s ends %s after %d ms", x.id, n.number, task, how, time.Since(n.started).Milliseconds())
	x.site.runEnded(task, x.id)
	close(l.ended)
	l.ended = make(chan struct{})
}

func (x *executor) hold(w http.ResponseWriter, l *life, acked int, wait time.Duration) {
	l.ends = slices.DeleteFunc(l.ends, func(e []any) bool { return e[0].(int) <= acked })
	if len(l.ends) == 0 && wait > 0 {
		ended := l.ended
		x.mutex.Unlock()
		select {
		case <-ended:
		case <-time.After(min(wait, 2*time.Second)):
		}
		x.mutex.Lock()
		if l.over {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, n := range l.runs {
		percent := int(100 * time.Since(n.started) / max(n.length, 1))
		running = append(running, []any{task, n.number, "", min(percent, 99), n.cpu})
	}
	ends := l.ends[:min(len(l.ends), 500)]
	if ends == nil {
		ends = [][]any{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "finished": ends})
}

func parseSpec(spec string) (length time.Duration, cpu int, err error) {
	first, second, _ := strings.Cut(spec, " ")
	ms, err := strconv.Atoi(first)
	if err != nil {
		return 0, 0, err
	}
	cpu, err = strconv.Atoi(second)
	return time.Duration(ms) * time.Millisecond, cpu, err
}

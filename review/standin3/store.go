package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: linearizable, with conditional
// transactions and a feed of changes.
type store struct {
	address string

	mutex   sync.Mutex
	version uint64
	rows    map[string]row // by table, part and key
	changed chan struct{}
	started time.Time
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMs   int64  `json:"nowMs"`
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), started: time.Now()}
	l := listen()
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.change)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	return l
}

// set writes a row for the operator or an executor.
func (s *store) set(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("cannot encode a row: %v", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: data})
	s.wake()
}

// put stores a row at the present version. The mutex must be held.
func (s *store) put(r row) {
	r.Version = s.version
	s.rows[r.id()] = r
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, storeAnswer{Rows: rows, HasMore: more, Version: s.version, NowMs: time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Deleted && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	s.answer(w, http.StatusOK, list, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		var list []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > after {
				list = append(list, x)
			}
		}
		changed := s.changed
		if len(list) > 0 {
			sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
			s.answer(w, http.StatusOK, list, false)
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mutex.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mutex.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, x := range append(append([]row{}, t.Puts...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	conflict := false
	var current []row
	for _, e := range t.Expected {
		have, ok := s.rows[e.id()]
		if have.Deleted {
			have.Version = 0
		}
		if ok && !have.Deleted {
			current = append(current, have)
		}
		conflict = conflict || have.Version != e.Version
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, x := range t.Puts {
		s.put(x)
	}
	for _, x := range t.Remove {
		x.Deleted, x.Value = true, nil
		s.put(x)
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

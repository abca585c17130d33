package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as PROTOCOL.md describes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store. Nothing is wrong with it in any case here.
type store struct {
	mutex   sync.Mutex
	version uint64
	rows    map[rowKey]row
	changed chan struct{}
	started time.Time
	address string
}

const (
	transactionTime = 4 * time.Millisecond
	pageRows        = 500
)

func newStore() *store {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now()}
	listener := listen()
	s.address = listener.Addr().String()
	go serve(listener, s)
	return s
}

// put writes a row in place of the operator or of an executor.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode a row", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: data, Version: s.version})
}

// drop removes a row in place of the store, which removes the entries of executors.
func (s *store) drop(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Version: s.version, Deleted: true})
}

func (s *store) set(r row) {
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, more map[string]any) {
	more["nowMs"] = time.Since(s.started).Milliseconds()
	writeJSON(w, status, more)
}

// ServeHTTP implements the calls of the store that the daemons use.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// after returns the rows of a table that changed after a version. The mutex must be held.
func (s *store) after(table string, version uint64) []row {
	list := []row{}
	for _, found := range s.rows {
		if found.Table == table && found.Version > version {
			list = append(list, found)
		}
	}
	return list
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	list, version := s.after(q.Get("table"), 0), s.version
	s.mutex.Unlock()
	list = slices.DeleteFunc(list, func(found row) bool {
		return found.Deleted || found.Part != q.Get("part") || found.Key < q.Get("from") || q.Get("to") != "" && found.Key >= q.Get("to")
	})
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": list, "hasMore": more, "rowVersion": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		list, version, changed := s.after(q.Get("table"), after), s.version, s.changed
		s.mutex.Unlock()
		if len(list) > 0 {
			slices.SortFunc(list, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
			if len(list) > pageRows {
				list = list[:pageRows]
				version = list[pageRows-1].Version
			}
			s.answer(w, http.StatusOK, map[string]any{"rows": list, "rowVersion": version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, map[string]any{"rows": list, "rowVersion": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	for _, change := range slices.Concat(body.Puts, body.Remove) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, conflict := []row{}, false
	for _, e := range body.Expected {
		found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if found.Deleted {
			found = row{}
		}
		conflict = conflict || found.Version != e.Version
		if found.Version > 0 {
			current = append(current, found)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": s.version})
		return
	}
	s.version++
	for _, p := range body.Puts {
		p.Version = s.version
		s.set(p)
	}
	for _, p := range body.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Deleted: true})
	}
	s.answer(w, http.StatusOK, map[string]any{"rowVersion": s.version})
}

// listen opens a free port on the loopback address.
func listen() net.Listener {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback(), "0"))
	if err != nil {
		fail("listen", err)
	}
	return listener
}

func serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	_ = server.Serve(listener) // it ends when the listener is closed
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fail("encode an answer", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

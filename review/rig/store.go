package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsAnswer is the body of the store's answers.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	Now     int64  `json:"nowMs"`
}

// store is a stand-in for the platform's store, which keeps its whole history.
type store struct {
	mutex   sync.Mutex
	version uint64
	rows    map[string]row
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), began: time.Now()}
}

const (
	// maxPageRows and maxPageBytes limit a page of rows.
	maxPageRows  = 500
	maxPageBytes = 700_000
	// transactionTime is how long the store takes for a transaction.
	transactionTime = 4 * time.Millisecond
)

// put writes a row for the operator or an executor.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: data})
}

// set stores a row under the present version. The mutex must be held.
func (s *store) set(r row) {
	r.Version = s.version
	s.rows[r.Table+"/"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the rows of a table that changed after a version, oldest first. The mutex must be held.
func (s *store) after(table string, version uint64) []row {
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return int(a.Version) - int(b.Version) })
	return list
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/v1/rows-get":
		s.get(w, q)
	case "/v1/rows-feed":
		s.feed(w, q)
	case "/v1/rows-tx":
		s.transact(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes an answer. The time and the version are added.
func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.Now = time.Since(s.began).Milliseconds()
	respond(w, status, a)
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	s.mutex.Lock()
	list, version := s.after(query.Get("table"), 0), s.version
	s.mutex.Unlock()
	from, to := query.Get("from"), query.Get("to")
	list = slices.DeleteFunc(list, func(r row) bool {
		return r.Deleted || r.Key < from || to != "" && r.Key >= to
	})
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	length, size := 0, 0
	for length < len(list) && length < limit && size < maxPageBytes {
		size += len(list[length].Value)
		length++
	}
	s.answer(w, http.StatusOK, rowsAnswer{Rows: list[:length], HasMore: length < len(list), Version: version})
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		list, version, changed := s.after(query.Get("table"), after), s.version, s.changed
		s.mutex.Unlock()
		if len(list) > maxPageRows {
			list, version = list[:maxPageRows], list[maxPageRows-1].Version
		}
		if len(list) > 0 {
			s.answer(w, http.StatusOK, rowsAnswer{Rows: list, Version: version})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, rowsAnswer{Rows: list, Version: version})
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, q *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Removals []row `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conflict, present := false, []row{}
	for _, e := range t.Expected {
		r := s.rows[e.Table+"/"+e.Key]
		if r.Deleted {
			r = row{}
		}
		conflict = conflict || r.Version != e.Version
		if r.Version > 0 {
			present = append(present, r)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: present, Version: s.version})
		return
	}
	s.version++
	for _, r := range t.Puts {
		s.set(row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value})
	}
	for _, r := range t.Removals {
		s.set(row{Table: r.Table, Part: r.Part, Key: r.Key, Deleted: true})
	}
	s.answer(w, http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version})
}

// respond writes an answer with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have closed the connection
}

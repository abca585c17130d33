// Package faker has small stand-ins for the systems that the dispatcher meets:
// the platform's table and host list, and targets. They are for examples and
// tests.
package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// Faults are the failures that a Platform shows.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// Delay is added to every request.
	Delay time.Duration `json:"delay"`
	// Lose is how many writes take effect and lose their answer.
	Lose int `json:"lose"`
	// Stale is how many reads show the version before the newest.
	Stale int `json:"stale"`
}

// Platform is a stand-in for the platform. Its zero value is ready. It is safe
// for concurrent use.
type Platform struct {
	// Lag is how long a change of the host list stays unseen.
	Lag time.Duration

	mutex    sync.Mutex
	faults   Faults
	rows     map[string][]row
	shown    map[string]scheduler.Directory
	pending  []pending
	reads    int
	writes   int
	versions uint64
}

// row is one version of a row.
type row struct {
	version uint64
	value   []byte
}

// pending is a host list that is not shown yet.
type pending struct {
	at        time.Time
	directory scheduler.Directory
}

// Handler returns the platform's HTTP interface: GET and PUT /table/{key}, GET
// /hosts, and for tests PUT /hosts and PUT /faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/{key}", p.faulty(p.read))
	mux.HandleFunc("PUT /table/{key}", p.faulty(p.write))
	mux.HandleFunc("GET /hosts", p.faulty(p.hosts))
	mux.HandleFunc("PUT /hosts", p.list)
	mux.HandleFunc("PUT /faults", p.setFaults)
	return mux
}

// Set changes the failures.
func (p *Platform) Set(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
}

// List sets the host list of a zone. It is shown after the lag.
func (p *Platform) List(zone string, hosts []scheduler.Host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.versions++
	d := scheduler.Directory{Version: p.versions, Zone: zone, Hosts: hosts}
	p.pending = append(p.pending, pending{at: time.Now().Add(p.Lag), directory: d})
}

// Counts returns how many reads and writes were answered or refused.
func (p *Platform) Counts() (reads, writes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads, p.writes
}

// faulty adds the failures to a handler.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mutex.Lock()
		f := p.faults
		if r.Method == http.MethodGet {
			p.reads++
		} else {
			p.writes++
		}
		p.mutex.Unlock()
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	versions := p.rows[r.PathValue("key")]
	if len(versions) == 0 {
		http.Error(w, "no row", http.StatusNotFound)
		return
	}
	newest := versions[len(versions)-1]
	if p.faults.Stale > 0 && len(versions) > 1 {
		p.faults.Stale--
		newest = versions[len(versions)-2]
	}
	show(w, r, newest.version, newest.value)
}

// show writes a value unless the reader already has its version.
func show(w http.ResponseWriter, r *http.Request, version uint64, value []byte) {
	text := strconv.FormatUint(version, 10)
	w.Header().Set("Version", text)
	if r.Header.Get("If-None-Match") == text {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(value) // a reader that has gone away needs no answer
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rows == nil {
		p.rows = make(map[string][]row)
	}
	key := r.PathValue("key")
	current := uint64(0)
	if versions := p.rows[key]; len(versions) > 0 {
		current = versions[len(versions)-1].version
	}
	if r.Header.Get("If-Match") != strconv.FormatUint(current, 10) {
		w.Header().Set("Version", strconv.FormatUint(current, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.rows[key] = append(p.rows[key], row{version: current + 1, value: value})
	if p.faults.Lose > 0 {
		p.faults.Lose--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Version", strconv.FormatUint(current+1, 10))
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.shown == nil {
		p.shown = make(map[string]scheduler.Directory)
	}
	now := time.Now()
	for len(p.pending) > 0 && !now.Before(p.pending[0].at) {
		p.shown[p.pending[0].directory.Zone] = p.pending[0].directory
		p.pending = p.pending[1:]
	}
	d, ok := p.shown[r.URL.Query().Get("zone")]
	if !ok {
		http.Error(w, "no such zone", http.StatusServiceUnavailable)
		return
	}
	value, err := json.Marshal(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	show(w, r, d.Version, value)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	var d scheduler.Directory
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.List(d.Zone, d.Hosts)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(f)
}

// Store writes a row whatever its version is.
func (p *Platform) Store(key string, value []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rows == nil {
		p.rows = make(map[string][]row)
	}
	versions := p.rows[key]
	next := uint64(1)
	if len(versions) > 0 {
		next = versions[len(versions)-1].version + 1
	}
	p.rows[key] = append(versions, row{version: next, value: value})
}

// Row returns the newest version of a row and its number, 0 when there is none.
func (p *Platform) Row(key string) (uint64, []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	versions := p.rows[key]
	if len(versions) == 0 {
		return 0, nil
	}
	newest := versions[len(versions)-1]
	return newest.version, newest.value
}

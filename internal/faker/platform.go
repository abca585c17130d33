// Package faker implements small stand-ins for the systems that the dispatcher
// depends on: the platform's table and host list, and targets. They are used by
// examples and tests.
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

// PlatformFaults are the faults that are injected into a Platform.
type PlatformFaults struct {
	// Outage makes every request fail with status 503.
	Outage bool `json:"outage"`
	// Delay is added to the response time of every request.
	Delay time.Duration `json:"delay"`
	// LostAnswers is the number of writes that take effect but whose answer is lost.
	LostAnswers int `json:"lose"`
	// StaleReads is the number of reads that return the version before the newest.
	StaleReads int `json:"stale"`
}

// Platform is a stand-in for the platform. Its zero value is ready to use. It is safe
// for concurrent use.
type Platform struct {
	// DirectoryDelay is the delay until a change of the host list becomes visible.
	DirectoryDelay time.Duration

	mutex                sync.Mutex
	faults               PlatformFaults
	rows                 map[string][]row
	directories          map[string]scheduler.Directory
	pendingDirectories   []pendingDirectory
	reads                int
	writes               int
	lastDirectoryVersion uint64
}

// row is a version of a row.
type row struct {
	version uint64
	value   []byte
}

// pendingDirectory is a host list that is not visible yet.
type pendingDirectory struct {
	visibleAt time.Time
	directory scheduler.Directory
}

// Handler returns the platform's HTTP interface: GET and PUT /table/{key}, GET
// /hosts, and for tests PUT /hosts and PUT /faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/{key}", p.injectFaults(p.handleReadRow))
	mux.HandleFunc("PUT /table/{key}", p.injectFaults(p.handleWriteRow))
	mux.HandleFunc("GET /hosts", p.injectFaults(p.handleReadHosts))
	mux.HandleFunc("PUT /hosts", p.handleSetHosts)
	mux.HandleFunc("PUT /faults", p.handleSetFaults)
	return mux
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
}

// SetHosts sets the host list of a zone. The list becomes visible after the delay of the
// platform.
func (p *Platform) SetHosts(zone string, hosts []scheduler.Host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastDirectoryVersion++
	d := scheduler.Directory{Version: p.lastDirectoryVersion, Zone: zone, Hosts: hosts}
	p.pendingDirectories = append(p.pendingDirectories, pendingDirectory{visibleAt: time.Now().Add(p.DirectoryDelay), directory: d})
}

// RequestCounts returns the numbers of read and write requests received.
func (p *Platform) RequestCounts() (reads, writes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads, p.writes
}

// injectFaults counts a request and applies the delay and the outage before it calls
// the next handler.
func (p *Platform) injectFaults(next http.HandlerFunc) http.HandlerFunc {
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

func (p *Platform) handleReadRow(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	versions := p.rows[r.PathValue("key")]
	if len(versions) == 0 {
		http.Error(w, "no row", http.StatusNotFound)
		return
	}
	shown := versions[len(versions)-1]
	if p.faults.StaleReads > 0 && len(versions) > 1 {
		p.faults.StaleReads--
		shown = versions[len(versions)-2]
	}
	writeValue(w, r, shown.version, shown.value)
}

// writeValue sends a value with its version, or status 304 if the client already has
// that version.
func writeValue(w http.ResponseWriter, r *http.Request, version uint64, value []byte) {
	text := strconv.FormatUint(version, 10)
	w.Header().Set("Version", text)
	if r.Header.Get("If-None-Match") == text {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(value) // the client has disconnected
}

func (p *Platform) handleWriteRow(w http.ResponseWriter, r *http.Request) {
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
	if p.faults.LostAnswers > 0 {
		p.faults.LostAnswers--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Version", strconv.FormatUint(current+1, 10))
}

func (p *Platform) handleReadHosts(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.directories == nil {
		p.directories = make(map[string]scheduler.Directory)
	}
	now := time.Now()
	for len(p.pendingDirectories) > 0 && !now.Before(p.pendingDirectories[0].visibleAt) {
		p.directories[p.pendingDirectories[0].directory.Zone] = p.pendingDirectories[0].directory
		p.pendingDirectories = p.pendingDirectories[1:]
	}
	d, ok := p.directories[r.URL.Query().Get("zone")]
	if !ok {
		http.Error(w, "no such zone", http.StatusServiceUnavailable)
		return
	}
	value, err := json.Marshal(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeValue(w, r, d.Version, value)
}

func (p *Platform) handleSetHosts(w http.ResponseWriter, r *http.Request) {
	var d scheduler.Directory
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(d.Zone, d.Hosts)
}

func (p *Platform) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// WriteRow writes a row without a check of its version.
func (p *Platform) WriteRow(key string, value []byte) {
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

// Row returns the newest version number and value of a row, 0 and nil if there is
// none.
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

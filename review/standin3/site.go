package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "auction-desk"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	taskCPU     = 6800
	// The bounds of the pages' small sites.
	cancelBound     = 3000 * time.Millisecond
	stopTimeout     = 50 * time.Millisecond
	gracePeriod     = 6 * time.Second
	contactTime     = 3000 * time.Millisecond
	retransmit      = 1300 * time.Millisecond
	probeInterval   = time.Second
	probeTimeout    = 900 * time.Millisecond
	missesForRemove = 2
)

// site is a small deployment: the platform's store, executors, daemons and the balancer.
type site struct {
	started time.Time
	folder  string
	gated   bool // daemons reach all servers through gates
	store   *store

	mutex     sync.Mutex
	output    *os.File
	executors []*executor
	hosts     []*host
	starts    []taskEvent
	ends      []taskEvent
	gates     []*gate
	cutZone   string // the zone that is cut off; empty for none
	cutToken  uint64 // the highest token that an executor had seen before the cut
	orders    int    // starts and stops since counting began
	late      int    // of these, those that were carried out late
}

// taskEvent is the start or the end of a run as its executor saw it.
type taskEvent struct {
	at       time.Time
	executor string
	task     string
	run      int
	how      string
}

// host is an entry host, whose daemon is a process of its own.
type host struct {
	site    *site
	name    string
	zone    string
	clients string
	probe   string
	links   string
	bind    string // where the daemon listens for links, if that is behind a gate
	store   string // the store's address for this daemon
	file    string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	inUse   bool
	misses  int
}

func newSite(caseFolder string) *site {
	output, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		cannotRun("cannot write the record: %v", err)
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("no temporary folder: %v", err)
	}
	s := &site{started: time.Now(), folder: folder, output: output}
	s.store = newStore()
	return s
}

// record writes a line with the time since the start to record.txt.
func (s *site) record(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.output, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (s *site) noteStart(e *executor, task string, run int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.starts = append(s.starts, taskEvent{time.Now(), e.id, task, run, ""})
}

func (s *site) noteEnd(e *executor, task string, run int, how string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ends = append(s.ends, taskEvent{time.Now(), e.id, task, run, how})
}

// countOrder counts a start or a stop.
func (s *site) countOrder(late bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders++
	if late {
		s.late++
	}
}

// writeConfig writes a config with one queue, for the operator.
func (s *site) writeConfig(version int) {
	s.store.set("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": routeHost, "pathPrefix": routePrefix, "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 0, "service": serviceName, "maxAttempts": 4, "stretchFactor": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "preconditions": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// start creates executors and hosts in the zones in turn, and waits until all hosts are ready.
func (s *site) start(hosts, executors int, zones ...string) {
	s.writeConfig(1)
	for i := range executors {
		s.executors = append(s.executors, newExecutor(s, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), zones[i%len(zones)]))
	}
	for i := range hosts {
		s.addHost(zones[i%len(zones)])
	}
	for _, h := range s.hosts {
		h.start()
	}
	for _, h := range s.hosts {
		h.awaitReady()
		h.inUse = true
	}
	go s.balance()
}

// seeds are the link addresses of the first hosts.
func (s *site) seeds() string {
	var list []string
	for _, h := range s.hosts[:min(len(s.hosts), 3)] {
		list = append(list, h.links)
	}
	return strings.Join(list, ",")
}

func (s *site) addHost(zone string) *host {
	h := &host{site: s, name: fmt.Sprintf("edge-%s-%d", zone, len(s.hosts)+1), zone: zone, clients: freeAddress(), probe: freeAddress(), links: freeAddress()}
	h.file, h.store = filepath.Join(s.folder, h.name+".ini"), s.store.address
	if s.gated {
		h.bind = h.links
		h.links, h.store = newGate(s, h.bind, zone, nil).address(), newGate(s, s.store.address, "", h).address()
	}
	s.mutex.Lock()
	s.hosts = append(s.hosts, h)
	s.mutex.Unlock()
	return h
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeSettings fills in the deploy file's template as the platform does.
func (h *host) writeSettings() {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		cannotRun("cannot read the settings' template: %v", err)
	}
	values := map[string]string{
		"nodeName": h.name, "zone": h.zone, "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"listenAddrs.frontendAddr": h.clients, "listenAddrs.ready": h.probe, "listenAddrs.controlPlane": h.links, "bounds.gracePeriodS": "6",
		"platform.address": h.store, "bounds.maxHoldMs": "1000", "bounds.stopTimeoutMs": "50", "seeds": h.site.seeds(),
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(name string) string {
		value, ok := values[strings.Trim(name, "{}")]
		if !ok {
			cannotRun("the settings' template has an unknown field %s", name)
		}
		return value
	})
	if h.bind != "" {
		text = strings.Replace(text, "[node]\n", "[node]\nbind = "+h.bind+"\n", 1)
	}
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		cannotRun("cannot write settings: %v", err)
	}
}

// start starts the daemon with the command of the deploy file.
func (h *host) start() {
	h.writeSettings()
	command := exec.Command("target/shallotrouter")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTROUTER_NODE_FILE=" + h.file}
	log, err := os.OpenFile(filepath.Join(h.site.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("cannot write a log: %v", err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		cannotRun("the daemon does not start: %v", err)
	}
	exited := make(chan struct{})
	h.mutex.Lock()
	h.command, h.exited = command, exited
	h.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		h.site.record("daemon %s has exited: %s", h.name, command.ProcessState)
		close(exited)
	}()
	h.site.record("daemon %s started", h.name)
}

func (h *host) signal(number syscall.Signal) {
	h.site.record("daemon %s gets signal %s", h.name, number)
	_ = h.command.Process.Signal(number)
}

func (h *host) isReady() bool {
	response, err := (&http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + h.probe + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			h.site.record("daemon %s is ready", h.name)
			return
		}
	}
	cannotRun("the daemon %s does not become ready", h.name)
}

// freeAddress returns a loopback address that is free, below the kernel's ephemeral ports so that no
// outgoing connection takes it while the daemon is down.
func freeAddress() string {
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", 20000+(os.Getpid()*61+nextPort)%12000)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

var nextPort int

// balance probes the daemons once a second, as the platform does.
func (s *site) balance() {
	for {
		s.probeAll()
		time.Sleep(probeInterval)
	}
}

func (s *site) probeAll() {
	s.mutex.Lock()
	hosts := append([]*host{}, s.hosts...)
	s.mutex.Unlock()
	for _, h := range hosts {
		ready := h.isReady()
		h.mutex.Lock()
		before := h.inUse
		if ready {
			h.misses, h.inUse = 0, true
		} else if h.misses++; h.misses >= missesForRemove {
			h.inUse = false
		}
		after := h.inUse
		h.mutex.Unlock()
		if before != after {
			s.record("the balancer has daemon %s in rotation: %v", h.name, after)
		}
	}
}

// choices returns the daemons that get the new connections of a zone's clients: those of the zone that are in
// rotation, all of the zone if fewer than half are, and those of the nearest zone if none is.
func (s *site) choices(zone string) []*host {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all, used, nearest []*host
	for _, h := range s.hosts {
		h.mutex.Lock()
		inUse := h.inUse
		h.mutex.Unlock()
		if h.zone != zone {
			if inUse && (len(nearest) == 0 || nearest[0].zone == h.zone) {
				nearest = append(nearest, h)
			}
			continue
		}
		all = append(all, h)
		if inUse {
			used = append(used, h)
		}
	}
	switch {
	case len(used) == 0 && len(nearest) > 0:
		return nearest
	case 2*len(used) < len(all):
		return all
	}
	return used
}

// route returns the daemon that a new connection of a client reaches: one of its zone by a hash of
// the client.
func (s *site) route(client, zone string) *host {
	list := s.choices(zone)
	f := fnv.New32a()
	_, _ = f.Write([]byte(client))
	return list[int(f.Sum32()>>4)%len(list)]
}

// routeRetry returns the daemon that a retry reaches: another one.
func (s *site) routeRetry(client, zone string, last *host) *host {
	list := s.choices(zone)
	for i, h := range list {
		if h == last {
			return list[(i+1)%len(list)]
		}
	}
	return s.route(client, zone)
}

// reply is what a client got for a call.
type reply struct {
	sent, done time.Time
	status     int
	body       string
	err        error
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", r.done.Sub(r.sent).Seconds(), r.err)
	}
	return fmt.Sprintf("%d %s after %.3f s", r.status, strings.TrimSpace(r.body), r.done.Sub(r.sent).Seconds())
}

// jobBody is the body of a best-effort job with one step, whose tasks run for a time.
func jobBody(count int, length time.Duration) []byte {
	data, err := json.Marshal(map[string]any{
		"spec": length.String(), "bestEffort": true,
		"steps": []map[string]any{{"count": count, "cpu": taskCPU, "memMb": 64, "estimatedMs": length.Milliseconds()}},
	})
	if err != nil {
		cannotRun("cannot encode a job: %v", err)
	}
	return data
}

// call sends a request over a connection of its own.
func (s *site) call(h *host, method, id string, body []byte, budget time.Duration) reply {
	return s.callContext(context.Background(), h, method, id, body, budget)
}

// callContext sends a request over a connection of its own, which is closed when the context is done.
func (s *site) callContext(ctx context.Context, h *host, method, id string, body []byte, budget time.Duration) reply {
	s.record("client sends %s %s to %s", method, id, h.name)
	r := reply{sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, budget+2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.clients+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		cannotRun("cannot make a request: %v", err)
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Time-Budget-Ms", fmt.Sprint(budget.Milliseconds()))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		r.status, r.body = response.StatusCode, string(data)
	}
	r.done, r.err = time.Now(), err
	s.record("client gets for %s %s to %s: %s", method, id, h.name, r)
	return r
}

// close ends all daemons and removes the temporary folder.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.command == nil {
			continue
		}
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println(s.folder)
	}
}

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "auction-desk"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
	memoryMB    = 284
	// rackSize is the number of executors of a rack.
	rackSize  = 8
	heartbeat = 1500 * time.Millisecond
	// silentBeatsToExpiry is the number of missing heartbeats after which the store removes an entry.
	silentBeatsToExpiry = 3
)

// site is a small deployment: daemons as processes, and stand-ins for the store, the executors and the
// platform.
type site struct {
	store     *store
	executors []*executor
	daemons   []*daemon
	folder    string
	started   time.Time

	mutex            sync.Mutex
	log              *os.File
	running          map[string][]string // executors that run a task
	starts, runLines int
	broken           []string
	onStart          func(task string, number int, x *executor, l *life)
}

// layout is the size of a site. Daemons and executors are spread over the zones in turn.
type layout struct {
	zones              []string
	daemons, executors int
	kinds              []string // of executors, in turn
	watchMemory        bool
}

func (l layout) start(record string) *site {
	s := &site{started: time.Now(), running: make(map[string][]string)}
	var err error
	if s.log, err = os.Create(record); err != nil {
		fail("create the record", err)
	}
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		fail("create a temporary folder", err)
	}
	temporary = s.folder
	s.store = newStore()
	s.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": hostName, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 0, "service": serviceName, "maxAttempts": 4, "stretchFactor": 1.6,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "preconditions": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range l.executors {
		s.executors = append(s.executors, newExecutor(s, fmt.Sprintf("i-%08x", 0x7f3a0000+i), l.zones[i%len(l.zones)], fmt.Sprintf("r%d-%d", i%len(l.zones)+1, i/len(l.zones)/rackSize), l.kinds[i%len(l.kinds)]))
	}
	go s.beat()
	for i := range l.daemons {
		s.daemons = append(s.daemons, newDaemon(s, i, l.zones[i%len(l.zones)], l.watchMemory))
	}
	seeds := make([]string, 0, 3)
	for _, d := range s.daemons[:min(3, len(s.daemons))] {
		seeds = append(seeds, d.links)
	}
	for _, d := range s.daemons {
		d.writeSettings(strings.Join(seeds, ","))
		go d.run()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range s.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				s.stop()
				fail("start", errors.New("a daemon is not ready after 15 s"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // calm
	return s
}

// beat writes the executors' entries and removes those of silent ones.
func (s *site) beat() {
	silentBeats := make(map[string]int)
	for range time.Tick(heartbeat) {
		for _, x := range s.executors {
			x.mutex.Lock()
			silent := x.life == nil || x.unheard
			x.mutex.Unlock()
			if !silent {
				silentBeats[x.id] = 0
				x.register()
				continue
			}
			silentBeats[x.id]++
			if silentBeats[x.id] == silentBeatsToExpiry {
				s.record("the store removes the entry of %s", x.id)
				s.store.drop("servers", x.id)
			}
		}
	}
}

func (s *site) stop() {
	s.mutex.Lock()
	starts, omitted := s.starts, max(s.runLines-maxRunLines, 0)
	s.mutex.Unlock()
	s.record("%d runs were started; %d lines about runs are left out", starts, omitted)
	for _, d := range s.daemons {
		d.end()
	}
	for _, d := range s.daemons {
		<-d.done
	}
	_ = os.RemoveAll(s.folder)
}

func (s *site) record(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.log, "%8.3f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
}

// breach records that the rule was broken.
func (s *site) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.record("BROKEN: %s", text)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = append(s.broken, text)
}

// maxRunLines bounds the lines of the record about runs. The others are counted.
const maxRunLines = 5000

// recordRun records the start or the end of a run.
func (s *site) recordRun(format string, args ...any) {
	s.mutex.Lock()
	s.runLines++
	tooMany := s.runLines > maxRunLines
	s.mutex.Unlock()
	if !tooMany {
		s.record(format, args...)
	}
}

func (s *site) runStarted(task string, number int, x *executor, l *life) {
	s.recordRun("%s starts run %d of task %s", x.id, number, task)
	s.mutex.Lock()
	s.starts++
	others := append([]string{}, s.running[task]...)
	s.running[task] = append(s.running[task], x.id)
	onStart := s.onStart
	s.mutex.Unlock()
	if len(others) > 0 {
		s.breach("TWICE: task %s runs at %v and at %s", task, others, x.id)
	}
	if onStart != nil {
		onStart(task, number, x, l)
	}
}

func (s *site) runEnded(task, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, other := range s.running[task] {
		if other == id {
			s.running[task] = append(s.running[task][:i:i], s.running[task][i+1:]...)
			break
		}
	}
	if len(s.running[task]) == 0 {
		delete(s.running, task)
	}
}

// daemon is the process of an entry host and the platform's supervision of it.
type daemon struct {
	site                          *site
	name, zone, settings          string
	clients, probe, links, output string
	watchMemory                   bool

	done chan struct{} // closed when the process has ended and is not started again

	mutex     sync.Mutex
	process   *os.Process
	stopped   bool
	overLimit int // how often the process was killed for its memory
	exits     int // how often it ended by itself
	peakMB    int
}

func newDaemon(s *site, number int, zone string, watchMemory bool) *daemon {
	name := fmt.Sprintf("edge-%s-%d", zone, number)
	return &daemon{
		site: s, name: name, zone: zone, settings: filepath.Join(s.folder, name+".ini"), output: filepath.Join(s.folder, name+".log"),
		clients: freeAddress(), probe: freeAddress(), links: freeAddress(), watchMemory: watchMemory, done: make(chan struct{}),
	}
}

// lastPort is the port that freeAddress returned last.
var lastPort = 20000

// freeAddress returns an address at which nothing listens. The loopback address is that of this process
// only, and the ports are below those that the kernel gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		lastPort++
		address := net.JoinHostPort(loopback(), strconv.Itoa(lastPort))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	fail("find a free port", errors.New("1000 ports are in use"))
	return ""
}

// loopback returns a loopback address that depends on the process.
func loopback() string {
	id := os.Getpid()
	return net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(id)).String()
}

// writeSettings fills in the template of the deploy file as the platform does.
func (d *daemon) writeSettings(seeds string) {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		fail("read the settings template", err)
	}
	text := strings.NewReplacer(
		"{{nodeName}}", d.name, "{{zone}}", d.zone, "{{limits.cpuShare}}", "0.4", "{{limits.linkMbps}}", "1000.0", "{{limits.memoryMb}}", strconv.Itoa(memoryMB),
		"{{limits.maxFds}}", "4100", "{{listenAddrs.frontendAddr}}", d.clients, "{{listenAddrs.ready}}", d.probe, "{{listenAddrs.controlPlane}}", d.links,
		"{{bounds.gracePeriodS}}", "6", "{{platform.address}}", d.site.store.address, "{{bounds.maxHoldMs}}", "1000", "{{bounds.stopTimeoutMs}}", "50", "{{seeds}}", seeds,
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		fail("fill in the settings template", errors.New("it has an unknown placeholder"))
	}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		fail("write the settings", err)
	}
}

// run keeps the process running: it is restarted after a short delay.
func (d *daemon) run() {
	defer close(d.done)
	runtime.LockOSThread() // the kernel ends the daemon with the thread that started it
	for {
		output, err := os.OpenFile(d.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			fail("open a log", err)
		}
		command := exec.Command("target/shallotrouter")
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SHALLOTROUTER_NODE_FILE=" + d.settings}
		command.Stdout, command.Stderr = output, output
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		d.mutex.Lock()
		if d.stopped {
			d.mutex.Unlock()
			return
		}
		if err := command.Start(); err != nil {
			fail("start a daemon", err)
		}
		d.process = command.Process
		d.mutex.Unlock()
		d.site.record("%s starts, pid %d", d.name, command.Process.Pid)
		ctx, cancel := context.WithCancel(context.Background())
		go d.watch(ctx, command.Process)
		err = command.Wait()
		cancel()
		_ = output.Close()
		d.mutex.Lock()
		stopped := d.stopped
		if !stopped {
			d.exits++
		}
		d.mutex.Unlock()
		d.site.record("%s has ended: %v", d.name, err)
		if stopped {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// watch kills the process when it exceeds the memory of its machine, as the platform does.
func (d *daemon) watch(ctx context.Context, p *os.Process) {
	if !d.watchMemory {
		return
	}
	for ctx.Err() == nil {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid))
		if fields := bytes.Fields(data); err == nil && len(fields) > 1 {
			pages, _ := strconv.Atoi(string(fields[1]))
			resident := pages * os.Getpagesize() >> 20
			d.mutex.Lock()
			d.peakMB = max(d.peakMB, resident)
			if resident > memoryMB {
				d.overLimit++
				d.site.record("%s takes %d MB of %d and is killed", d.name, resident, memoryMB)
				_ = p.Kill()
				d.mutex.Unlock()
				return
			}
			d.mutex.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (d *daemon) signal(number syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process != nil {
		_ = d.process.Signal(number)
	}
}

func (d *daemon) end() {
	d.mutex.Lock()
	d.stopped = true
	d.mutex.Unlock()
	d.signal(syscall.SIGKILL)
}

var probeClient = &http.Client{Timeout: 500 * time.Millisecond}

func (d *daemon) isReady() bool {
	response, err := probeClient.Get("http://" + d.probe + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// holdsCells reports whether the daemon's metrics say that it decides over the executors. The cases use it
// to choose which daemon to disturb, never to judge.
func (d *daemon) holdsCells() bool {
	response, err := probeClient.Get("http://" + d.links + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(data), "shallotrouter_held_cells ") && !strings.Contains(string(data), "shallotrouter_held_cells 0")
}

// leader returns the daemon that decides over the executors, or nil.
func (s *site) leader() *daemon {
	for _, d := range s.daemons {
		if d.holdsCells() {
			return d
		}
	}
	return nil
}

// call sends one request of a client over a connection of its own and returns the status, 0 without an
// answer, and the body.
func call(ctx context.Context, d *daemon, method, id, body string, budget time.Duration) (int, string) {
	return callAt(ctx, d.clients, method, id, body, budget)
}

// callAt is call for an address.
func callAt(ctx context.Context, address, method, id, body string, budget time.Duration) (int, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix+id, strings.NewReader(body))
	if err != nil {
		fail("make a request", err)
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	if budget > 0 {
		request.Header.Set("Time-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// await waits until a condition holds, and returns false if it does not in time.
func (s *site) await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// The test binary is run again for each process of a deployment. The environment
// variables named here tell it its role and its settings; its listener is file
// descriptor 3.
const (
	roleVariable     = "SHALLOTROUTER_TEST_ROLE"
	settingsVariable = "SHALLOTROUTER_TEST_SETTINGS"
	listenerFile     = 3
	slots            = 8
	service          = "despacho"
	operatorToken    = "operator-token"
)

func TestMain(m *testing.M) {
	switch role := os.Getenv(roleVariable); role {
	case "":
		os.Exit(m.Run())
	case "daemon":
		settings, err := loader.Parse("test", os.Getenv(settingsVariable))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		os.Exit(serve(settings, inheritedListener()))
	case "platform":
		_ = http.Serve(inheritedListener(), (&faker.Platform{}).Handler())
	case "target":
		_ = http.Serve(inheritedListener(), (&faker.Target{Slots: slots}).Handler())
	}
}

// inheritedListener returns the listener that the parent opened.
func inheritedListener() net.Listener {
	listener, err := net.FileListener(os.NewFile(listenerFile, "listener"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	return listener
}

// process is one process of a deployment.
type process struct {
	name    string
	zone    string
	address string
	command *exec.Cmd
	log     *lockedBuffer
	done    chan struct{}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// deployment is a platform, targets and daemons, each in a separate process.
type deployment struct {
	t             *testing.T
	platform      *process
	targets       []*process
	daemons       []*process
	extraSettings string // appended to the settings of the daemons
}

// deploy starts a platform and the given numbers of targets and daemons in each zone. It
// waits until all daemons serve and know their peers.
func deploy(t *testing.T, extraSettings string, targets, daemons int, zones ...string) *deployment {
	d := &deployment{t: t, extraSettings: extraSettings}
	d.platform = d.spawn("platform", "platform", "", "")
	text := fmt.Sprintf("[service %s]\nslots = %d\n", service, slots)
	for _, name := range []string{"comites", "cruzroja", "puertos"} {
		text += fmt.Sprintf("[client %s]\ntoken = sha256:%s\n", name, declarer.HashToken(name+"-token"))
	}
	value, err := declarer.Row{Text: text, Preset: declarer.Ordinary}.Encode()
	require.NoError(t, err)
	_, err = storer.NewClient(d.platform.address, 5*time.Second).Swap(t.Context(), storer.ConfigKey, 0, value)
	require.NoError(t, err)
	for _, zone := range zones {
		for i := range targets {
			d.targets = append(d.targets, d.spawn("target", fmt.Sprintf("%s-t%d", zone, i), zone, ""))
		}
		d.writeHostList(zone)
		for i := range daemons {
			d.startDaemon(fmt.Sprintf("%s-h%d", zone, i), zone)
		}
	}
	for _, p := range d.daemons {
		d.await(func() bool { return d.status(p).Phase == scheduler.Serving && len(d.status(p).Peers) == daemons-1 })
	}
	return d
}

// startDaemon starts a daemon whose peers are all daemons started before it.
func (d *deployment) startDaemon(name, zone string) *process {
	return d.startDaemonAt(name, zone, "127.0.0.1:0")
}

// startDaemonAt starts a daemon on the given free address.
func (d *deployment) startDaemonAt(name, zone, address string) *process {
	var seeds []string
	for _, p := range d.daemons {
		seeds = append(seeds, p.address)
	}
	settings := fmt.Sprintf(`[host]
name = %s
zone = %s
listen = ADDRESS
[platform]
address = %s
[peers]
key = a key that all hosts of the test share
addresses = %s
[security]
operator = %s
%s`, name, zone, d.platform.address, strings.Join(seeds, ", "), declarer.HashToken(operatorToken), d.extraSettings)
	p := d.spawnAt("daemon", name, zone, settings, address)
	d.daemons = append(d.daemons, p)
	return p
}

// spawn starts the test binary in a role and passes it an open listener on a free port.
func (d *deployment) spawn(role, name, zone, settings string) *process {
	return d.spawnAt(role, name, zone, settings, "127.0.0.1:0")
}

func (d *deployment) spawnAt(role, name, zone, settings, address string) *process {
	listener, err := net.Listen("tcp", address)
	require.NoError(d.t, err)
	file, err := listener.(*net.TCPListener).File()
	require.NoError(d.t, err)
	p := &process{name: name, zone: zone, address: listener.Addr().String(), log: &lockedBuffer{}, done: make(chan struct{})}
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), roleVariable+"="+role, settingsVariable+"="+strings.ReplaceAll(settings, "ADDRESS", p.address))
	p.command.ExtraFiles = []*os.File{file}
	p.command.Stderr = p.log
	// The kernel sends SIGHUP to a stopped process in an orphaned process group. A
	// daemon that a test pauses therefore needs a process group of its own.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(d.t, p.command.Start())
	require.NoError(d.t, listener.Close())
	require.NoError(d.t, file.Close())
	go p.run()
	d.t.Cleanup(func() {
		p.kill()
		if d.t.Failed() {
			d.t.Logf("%s %s ended with %v:\n%s", role, name, p.command.ProcessState, p.log)
		}
	})
	return p
}

// run waits until the process has ended.
func (p *process) run() {
	_ = p.command.Wait()
	close(p.done)
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// signal sends a signal. The process continues for a moment after SIGSTOP, so that signal
// waits until it has stopped.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	require.NoError(t, p.command.Process.Signal(s))
	if s == syscall.SIGSTOP {
		require.Eventually(t, func() bool { return p.isStopped(t) }, 10*time.Second, time.Millisecond)
	}
}

// isStopped reports whether all threads of the process are stopped.
func (p *process) isStopped(t *testing.T) bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	require.NoError(t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return false // the thread has just ended
		}
		if fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])); fields[0] != "T" {
			return false
		}
	}
	return len(paths) > 0
}

// writeHostList writes a zone's list of targets to the platform, with the named targets
// marked as leaving.
func (d *deployment) writeHostList(zone string, leaving ...string) {
	directory := scheduler.Directory{Zone: zone}
	for _, p := range d.targets {
		if p.zone == zone {
			h := scheduler.Host{Name: p.name, Role: scheduler.Target, Address: p.address, Service: service}
			for _, name := range leaving {
				h.Leaving = h.Leaving || name == p.name
			}
			directory.Hosts = append(directory.Hosts, h)
		}
	}
	d.putJSON(d.platform, "/hosts", directory)
}

// putJSON sends a value as JSON to a stand-in.
func (d *deployment) putJSON(p *process, path string, v any) {
	body, err := json.Marshal(v)
	require.NoError(d.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+p.address+path, bytes.NewReader(body))
	require.NoError(d.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	require.NoError(d.t, response.Body.Close())
	require.Equal(d.t, http.StatusOK, response.StatusCode)
}

// status asks a daemon for its state, which is empty if the daemon does not answer.
func (d *deployment) status(p *process) scheduler.Status {
	var v scheduler.Status
	ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/v1/status", nil)
	require.NoError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return v
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&v)
	return v
}

// await waits until the condition holds and fails the test after 20 s.
func (d *deployment) await(condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, condition, 20*time.Second, 20*time.Millisecond)
}

// totalCounts returns the starts at all targets and the most tasks that ran at the same
// time on one of them.
func (d *deployment) totalCounts() faker.TargetCounts {
	total := faker.TargetCounts{Starts: make(map[string]int)}
	for _, p := range d.targets {
		c := d.targetCounts(p)
		for name, n := range c.Starts {
			total.Starts[name] += n
		}
		total.MaxRunning = max(total.MaxRunning, c.MaxRunning)
	}
	return total
}

func (d *deployment) targetCounts(p *process) faker.TargetCounts {
	var c faker.TargetCounts
	response, err := http.Get("http://" + p.address + "/counts")
	if err != nil {
		return c
	}
	defer response.Body.Close()
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&c))
	return c
}

// requireNoRepeatedStarts fails the test if any task was started twice.
func (d *deployment) requireNoRepeatedStarts() {
	d.t.Helper()
	for name, n := range d.totalCounts().Starts {
		require.Equal(d.t, 1, n, "starts of task %s", name)
	}
	for _, p := range d.daemons {
		require.NotContains(d.t, p.log.String(), "invariant broken")
	}
}

func (d *deployment) client(p *process, name string) *shallotrouter.Client {
	return &shallotrouter.Client{Address: "http://" + p.address, Token: name + "-token"}
}

// newTicket requests a ticket from a host.
func (d *deployment) newTicket(p *process, name string) string {
	grant, err := d.client(p, name).Tickets(d.t.Context(), 1)
	require.NoError(d.t, err)
	return grant.Tickets[0]
}

// newJob returns a job with a task for each run time. The result of a task is the label
// and the task's index.
func newJob(ticket, label string, deadline time.Duration, runTimes ...time.Duration) shallotrouter.Job {
	job := shallotrouter.Job{Ticket: ticket, Service: service, Deadline: shallotrouter.Duration(deadline)}
	for i, runTime := range runTimes {
		payload, err := json.Marshal(faker.Work{RunTime: runTime, Result: fmt.Sprintf("%s-%d", label, i)})
		if err != nil {
			panic(err)
		}
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: "allocation", Payload: payload, Expect: shallotrouter.Duration(runTime)})
	}
	return job
}

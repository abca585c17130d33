package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// site is a small deployment: the project's daemons as processes, and stand-ins for the rest.
type site struct {
	folder    string // for settings files and logs
	ip        string // loopback address of this run
	ports     int
	record    *record
	store     *store
	storeAt   string
	executors []*executor
	daemons   []*daemon
}

func newSite(c *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	id := os.Getpid()
	s := &site{folder: folder, ip: net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(1+id%250)).String(), record: c, store: newStore()}
	s.storeAt = s.serve(s.store)
	return s, nil
}

// close ends all processes.
func (s *site) close() {
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range s.daemons {
		if d.ended != nil {
			<-d.ended
		}
	}
	if err := os.RemoveAll(s.folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// serve serves a stand-in at a free port and returns its address.
func (s *site) serve(h http.Handler) string {
	l, err := net.Listen("tcp", net.JoinHostPort(s.ip, "0"))
	if err != nil {
		panic(err)
	}
	go (&server{listener: l, handler: h}).run()
	return l.Addr().String()
}

// server serves a stand-in until the program ends.
type server struct {
	listener net.Listener
	handler  http.Handler
}

func (v *server) run() {
	w := &http.Server{Handler: v.handler, ReadHeaderTimeout: time.Minute}
	if err := w.Serve(v.listener); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// freeAddress returns an address for a daemon. Its port is below those that the kernel gives out.
func (s *site) freeAddress() string {
	s.ports++
	return fmt.Sprintf("%s:%d", s.ip, 20000+s.ports)
}

// route is a route of the configuration.
type route struct {
	name, prefix, service string
	timeout               time.Duration
}

// routeHost is the host name of all routes.
const routeHost = "nony24.example"

// configure writes a configuration.
func (s *site) configure(version int, routes ...route) {
	list, services := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		services = append(services, map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "preconditions": true, "standby": false})
		list = append(list, map[string]any{
			"name": r.name, "host": routeHost, "pathPrefix": r.prefix, "kind": "non_idempotent", "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": 60, "priority": 0, "service": r.service, "maxAttempts": 4, "stretchFactor": 1.6,
		})
	}
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.record.add("operator: version %d of the config is acknowledged", version)
}

// daemon is a daemon on a machine.
type daemon struct {
	site                 *site
	name, zone           string
	clients, ready, peer string // addresses
	settings             string // file
	command              *exec.Cmd
	ended                chan struct{} // closed when the present process has ended
}

// machine is the size of a machine.
type machine struct {
	cores    string
	linkMbps string
	memoryMB string
	files    string
}

// smallMachine is that of a small deployment.
var smallMachine = machine{cores: "0.4", linkMbps: "1000.0", memoryMB: "284", files: "4100"}

// newDaemons creates daemons in a zone, which are started by start.
func (s *site) newDaemons(count int, zone string, m machine) ([]*daemon, error) {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return nil, err
	}
	var list []*daemon
	for range count {
		d := &daemon{site: s, zone: zone, name: fmt.Sprintf("edge-%s-%d", zone, len(s.daemons)+1), clients: s.freeAddress(), ready: s.freeAddress(), peer: s.freeAddress()}
		seeds := ""
		if len(s.daemons) > 0 {
			seeds = s.daemons[0].peer
		}
		text := strings.NewReplacer(
			"{{nodeName}}", d.name, "{{zone}}", zone, "{{limits.cpuShare}}", m.cores, "{{limits.linkMbps}}", m.linkMbps, "{{limits.memoryMb}}", m.memoryMB,
			"{{limits.maxFds}}", m.files, "{{listenAddrs.frontendAddr}}", d.clients, "{{listenAddrs.ready}}", d.ready, "{{listenAddrs.controlPlane}}", d.peer,
			"{{bounds.gracePeriodS}}", "6", "{{platform.address}}", s.storeAt, "{{bounds.maxHoldMs}}", "1000", "{{bounds.stopTimeoutMs}}", "50", "{{seeds}}", seeds,
		).Replace(string(template))
		d.settings = filepath.Join(s.folder, d.name+".ini")
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		s.daemons, list = append(s.daemons, d), append(list, d)
	}
	return list, nil
}

// start starts the daemon's process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command("target/shallotrouter")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.site.folder, "SHALLOTROUTER_NODE_FILE=" + d.settings}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go d.run(d.command, d.ended)
	d.site.record.add("daemon %s starts", d.name)
	return nil
}

// run waits for the end of a process.
func (d *daemon) run(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	d.site.record.add("daemon %s has ended: %v", d.name, err)
	close(ended)
}

// signal sends a signal to the daemon's process, unless it has ended.
func (d *daemon) signal(sig syscall.Signal) {
	if d.ended == nil {
		return
	}
	select {
	case <-d.ended:
	default:
		d.site.record.add("daemon %s gets %v", d.name, sig)
		if err := d.command.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
			d.site.record.add("daemon %s: %v", d.name, err)
		}
	}
}

// isReady reports whether the daemon says that it is ready.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	answer, err := c.Get("http://" + d.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the daemons do not become ready")

// startAll starts all daemons and waits until they are ready.
func (s *site) startAll() error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, d := range s.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.add("all daemons are ready")
	return nil
}

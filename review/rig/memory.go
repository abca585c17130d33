package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdFor is how long the crowd sends, crowdSize the number of its clients and crowdPause the time
	// between two requests of one.
	crowdFor   = 95 * time.Second
	crowdSize  = 100
	crowdPause = 20 * time.Millisecond
	// crowdBudget is how long its clients wait for an answer.
	crowdBudget = time.Hour
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// maxEnds is the number of ends by itself from which a machine counts, and minMachines the number of
	// such machines that breaks the rule.
	maxEnds     = 3
	minMachines = 2
)

// keeper is the platform's part: it ends a process that takes more memory than its machine has, and starts
// it again.
type keeper struct {
	daemon *daemon
	limit  int // MB
	stop   chan struct{}

	mutex sync.Mutex
	ends  int
	peak  int // MB
}

func (k *keeper) run() {
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		used := k.daemon.memory()
		k.mutex.Lock()
		k.peak = max(k.peak, used)
		k.mutex.Unlock()
		select {
		case <-k.daemon.ended:
			k.restart("has ended by itself")
		default:
			if used > k.limit {
				k.daemon.signal(syscall.SIGKILL)
				<-k.daemon.ended
				k.restart(fmt.Sprintf("took %d MB of %d MB", used, k.limit))
			}
		}
	}
}

// restart counts the end of a process and starts the next one.
func (k *keeper) restart(cause string) {
	k.mutex.Lock()
	k.ends++
	k.mutex.Unlock()
	k.daemon.site.record.add("daemon %s %s", k.daemon.name, cause)
	time.Sleep(restartDelay)
	if err := k.daemon.start(); err != nil {
		k.daemon.site.record.add("daemon %s does not start: %v", k.daemon.name, err)
	}
}

// count returns the ends and the peak of the memory.
func (k *keeper) count() (ends, peak int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ends, k.peak
}

// memory returns the resident memory of the daemon's process in MB.
func (d *daemon) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes >> 10
}

// crowd are clients that send jobs which can never be done, each with a header of legal size that is made
// of many short fields. They read each answer.
type crowd struct {
	site     *site
	sent     atomic.Uint64
	answered sync.Map // counts, by status
	until    time.Time
}

// loop is one client of the crowd.
func (c *crowd) loop(d *daemon) {
	for time.Now().Before(c.until) {
		conn, err := net.DialTimeout("tcp", d.clients, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.talk(conn)
		_ = conn.Close()
	}
}

// talk sends requests on a connection until it ends.
func (c *crowd) talk(conn net.Conn) {
	reader := bufio.NewReader(conn)
	body := fmt.Sprintf(`{"spec":"5ms %d","bestEffort":true,"steps":[{"count":1,"cpu":%d,"memMb":64,"estimatedMs":5}]}`, 20*wholeCPU, 20*wholeCPU)
	fields := strings.Repeat("a=1&", 3500) // 14 kB of 16
	for time.Now().Before(c.until) {
		text := fmt.Sprintf("POST %sc%015x?%s HTTP/1.1\r\nHost: %s\r\nTime-Budget-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			prefix, c.sent.Add(1), fields, routeHost, crowdBudget.Milliseconds(), len(body), body)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		count, _ := c.answered.LoadOrStore(answer.StatusCode, new(atomic.Uint64))
		count.(*atomic.Uint64).Add(1)
		if err != nil || answer.Close {
			return
		}
		time.Sleep(crowdPause)
	}
}

// playMemory plays a crowd of clients that nobody controls, beside usual jobs. Without trouble there are only the
// usual jobs.
func playMemory(s *site, trouble bool) ([]string, error) {
	s.configure(7, mainRoute)
	s.newExecutors(24, "north", service, 2*wholeCPU)
	if _, err := s.newDaemons(2, "north", smallMachine); err != nil {
		return nil, err
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	limit, err := strconv.Atoi(smallMachine.memoryMB)
	if err != nil {
		return nil, err
	}
	var keepers []*keeper
	for _, d := range s.daemons {
		k := &keeper{daemon: d, limit: limit, stop: make(chan struct{})}
		keepers = append(keepers, k)
		go k.run()
	}
	usual := &background{site: s, daemons: s.daemons, prefix: prefix, rate: 10, length: crowdFor}
	go usual.run()
	c := &crowd{site: s, until: time.Now().Add(crowdFor)}
	for i := range crowdSize {
		if trouble {
			go c.loop(s.daemons[i%len(s.daemons)])
		}
	}
	time.Sleep(crowdFor + time.Second)
	return s.conclude(c, keepers), nil
}

// conclude notes what the crowd sent and what became of the machines.
func (s *site) conclude(c *crowd, keepers []*keeper) []string {
	s.record.add("the crowd sent %d requests, %.0f a second", c.sent.Load(), float64(c.sent.Load())/crowdFor.Seconds())
	c.answered.Range(func(status, count any) bool {
		s.record.add("%d answers with status %v", count.(*atomic.Uint64).Load(), status)
		return true
	})
	var ended []string
	for _, k := range keepers {
		close(k.stop)
		ends, peak := k.count()
		s.record.add("daemon %s: %d ends by itself, peak %d MB of %d MB", k.daemon.name, ends, peak, k.limit)
		if ends >= maxEnds {
			ended = append(ended, fmt.Sprintf("%s ended by itself %d times", k.daemon.name, ends))
		}
	}
	if len(ended) < minMachines {
		return nil
	}
	return ended
}

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unlisted"] = playUnlisted }

const (
	// cutRack is the rack whose executors are cut off from the store.
	cutRack = "r2-0"
	// cutTime is how long they are cut off: twice the length of a srv_cut.
	cutTime = 10 * time.Second
	// submittedAfter is when the jobs are sent, after the beginning of the cut. The entries are still there.
	submittedAfter = 2 * time.Second
	// endedAfter is when the deciding daemon is restarted, after the store has removed the entries.
	endedAfter = 4 * time.Second
	// longRun is how long the tasks run, as in the example of PROTOCOL.md.
	longRun = 7 * time.Second
	// patience is how long the clients wait.
	patience = 20 * time.Second
)

// playUnlisted submits jobs of one long task each, whose data lies at one rack. With trouble, the executors
// of that rack are cut off from the store, which removes their entries after three heartbeats of silence,
// while the daemons reach them as before. Then the daemon that decides over the executors is restarted as planned, with
// and without trouble.
func playUnlisted(record string, trouble bool) *site {
	s := layout{zones: []string{"guj-west-a", "guj-west-b", "guj-west-c"}, daemons: 7, executors: 48, kinds: []string{"a", "a", "b"}}.start(record)
	leader := s.leader()
	if leader == nil {
		s.stop()
		fail("find the deciding daemon", fmt.Errorf("no daemon says that it decides"))
	}
	var clients []*daemon
	for _, d := range s.daemons {
		if d != leader {
			clients = append(clients, d)
		}
	}
	s.awaitHeartbeat()
	s.cutFromStore(trouble)
	cutAt := time.Now()
	time.Sleep(submittedAfter)
	var jobs sync.WaitGroup
	for i := range 2 * rackSize {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			s.submitPatiently(fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+i), clients, i)
		}()
	}
	time.Sleep(time.Until(cutAt.Add(silentBeatsToExpiry*heartbeat + endedAfter)))
	s.record("%s, which decides over the executors, gets %s", leader.name, endSignal())
	leader.signal(endSignal())
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	s.cutFromStore(false)
	jobs.Wait()
	return s
}

// awaitHeartbeat waits until the executors have just written their entries.
func (s *site) awaitHeartbeat() {
	first := s.executors[0]
	first.mutex.Lock()
	before := first.heartbeat
	first.mutex.Unlock()
	s.await(2*heartbeat, func() bool {
		first.mutex.Lock()
		defer first.mutex.Unlock()
		return first.heartbeat > before
	})
	time.Sleep(100 * time.Millisecond)
}

// cutFromStore cuts the executors of cutRack off from the store, or ends the cut.
func (s *site) cutFromStore(isCut bool) {
	var changed []string
	for _, x := range s.executors {
		if x.rack != cutRack {
			continue
		}
		x.mutex.Lock()
		if x.unheard != isCut {
			changed = append(changed, x.id)
		}
		x.unheard = isCut
		x.mutex.Unlock()
		if !isCut {
			x.register()
		}
	}
	if len(changed) > 0 {
		s.record("cut off from the store: %v, of %s", isCut, strings.Join(changed, " "))
	}
}

// submitPatiently submits a job of one long task, and again as PROTOCOL.md says.
func (s *site) submitPatiently(id string, daemons []*daemon, first int) {
	body := fmt.Sprintf(`{"spec":"%d 6800","bestEffort":true,"steps":[{"count":1,"cpu":6800,"memMb":64,"estimatedMs":%d,"affinity":"%s"}]}`, longRun.Milliseconds(), longRun.Milliseconds(), cutRack)
	for try := range 2 {
		d := daemons[(first+try)%len(daemons)]
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		status, answer := call(ctx, d, "POST", id, body, patience)
		cancel()
		s.record("client: POST %s to %s: %d %.120s", id, d.name, status, answer)
		if status != 0 && status != 502 && status != 504 {
			return
		}
		time.Sleep(retransmitTime)
	}
}

// endSignal returns SIGTERM, as for a planned restart, or SIGKILL if the environment asks for it.
func endSignal() syscall.Signal {
	if os.Getenv("KILL") != "1" {
		return syscall.SIGTERM
	}
	return syscall.SIGKILL
}

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// longestMemory is how long the clients press at most.
	longestMemory = 90 * time.Second
	// endsPerMachine and faultyMachines are the bounds of the rule Fault: processes end by themselves three
	// times on a tenth of the machines in use, two at least. Seven machines are in use.
	endsPerMachine = 3
	faultyMachines = 2
)

// setting returns a number that the environment may set, to play other doses.
func setting(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return value
}

// playMemory sends jobs of legal size, many at once, and ends the daemons that exceed the memory of their
// machines, as the platform does. With trouble each job has 10,000 tasks, without it has 8.
func playMemory(record string, trouble bool) *site {
	s := layout{zones: []string{"guj-west-a", "guj-west-b", "guj-west-c"}, daemons: 7, executors: 48, kinds: []string{"a", "a", "b"}, watchMemory: true}.start(record)
	count := 8
	if trouble {
		count = setting("TASKS", 10_000)
	}
	rate, budget := setting("RATE", 60), time.Duration(setting("BUDGET_MS", 1500))*time.Millisecond
	body := fmt.Sprintf(`{"spec":"60 6800","bestEffort":true,"steps":[{"count":%d,"cpu":6800,"memMb":64,"estimatedMs":60}]}`, count)
	s.record("clients send %d jobs a second of %d bytes each: %s", rate, len(body), body)
	var group sync.WaitGroup
	var mutex sync.Mutex
	statuses := make(map[int]int)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(longestMemory); time.Now().Before(end) && s.faulty() < faultyMachines; i++ {
		<-ticker.C
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			status, answer := call(ctx, s.daemons[i%len(s.daemons)], "POST", fmt.Sprintf("%016x", 0x5c0e7a0000000000+i), body, budget)
			mutex.Lock()
			statuses[status]++
			mutex.Unlock()
			if i%200 == 0 {
				s.record("client: job %d, %d %.120s", i, status, answer)
			}
		}()
	}
	group.Wait()
	s.record("answers by status, 0 for none: %v", statuses)
	for _, d := range s.daemons {
		d.mutex.Lock()
		s.record("%s: at most %d MB of %d, ended by itself %d times", d.name, d.peakMB, memoryMB, d.exits)
		d.mutex.Unlock()
	}
	if n := s.faulty(); n >= faultyMachines {
		s.breach("Fault: on %d of %d machines processes ended by themselves %d times or more, over the memory of their machine", n, len(s.daemons), endsPerMachine)
	}
	return s
}

// faulty returns on how many machines processes have ended by themselves as often as the rule counts.
func (s *site) faulty() int {
	count := 0
	for _, d := range s.daemons {
		d.mutex.Lock()
		if d.exits >= endsPerMachine {
			count++
		}
		d.mutex.Unlock()
	}
	return count
}

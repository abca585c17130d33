package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["kind"] = playKind }

// playKind submits jobs whose tasks need an executor of kind b, one after the other, while executors crash
// and start again under their ids as machines of kind a. Without trouble they come back as they were.
func playKind(record string, trouble bool) *site {
	s := layout{zones: []string{"guj-west-a", "guj-west-b", "guj-west-c"}, daemons: 7, executors: 48, kinds: []string{"a", "a", "b", "b"}}.start(record)
	last := make(map[string]*executor)
	var mutex sync.Mutex
	s.onStart = func(task string, number int, x *executor, l *life) {
		mutex.Lock()
		last["b"] = x
		mutex.Unlock()
		if l.kind != "b" {
			s.breach("ROUTE: %s of kind %s starts run %d of task %s, which requires kind b, %d ms after its start", x.id, l.kind, number, task, time.Since(l.born).Milliseconds())
		}
	}
	const crashes = 7 // 0.14 of 48 executors
	next := 0
	submit := func() {
		next++
		id := fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+next)
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		status, answer := call(ctx, s.daemons[next%len(s.daemons)], "POST", id, `{"spec":"60 6800","bestEffort":true,"steps":[{"count":1,"cpu":6800,"memMb":64,"estimatedMs":60,"requirements":"b"}]}`, 1500*time.Millisecond)
		s.record("client: job %s, %d %.100s", id, status, answer)
	}
	for range crashes {
		for range 10 {
			submit()
			time.Sleep(50 * time.Millisecond)
		}
		mutex.Lock()
		x := last["b"]
		mutex.Unlock()
		x.crash()
		time.Sleep(200 * time.Millisecond)
		kind := "b"
		if trouble {
			kind = "a"
		}
		x.restart(kind)
		for range 20 {
			submit()
			time.Sleep(50 * time.Millisecond)
		}
	}
	return s
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// unasked returns how UNASKED is broken by a job whose cancelling was acknowledged at a time: starts later
// than the bound, and runs that go on for longer than a stop takes after it.
func (s *site) unasked(job string, acknowledged time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var broken []string
	bound := acknowledged.Add(cancelBound)
	ended := make(map[string]taskEvent)
	for _, e := range s.ends {
		ended[fmt.Sprintf("%s/%d/%s", e.task, e.run, e.executor)] = e
	}
	for _, e := range s.starts {
		if !strings.HasPrefix(e.task, job+".") {
			continue
		}
		if e.at.After(bound) {
			broken = append(broken, fmt.Sprintf("task %s started on %s %.3f s after its job's cancelling was acknowledged", e.task, e.executor, e.at.Sub(acknowledged).Seconds()))
			continue
		}
		end, over := ended[fmt.Sprintf("%s/%d/%s", e.task, e.run, e.executor)]
		if !over {
			end.at = time.Now()
		}
		if end.at.After(bound.Add(stopTimeout)) {
			broken = append(broken, fmt.Sprintf("task %s ran on %s until %.3f s after its job's cancelling was acknowledged", e.task, e.executor, end.at.Sub(acknowledged).Seconds()))
		}
	}
	return broken
}

// lateCopy: clients submit jobs and cancel them; a copy of the submission arrives seconds after the 2xx
// response for its ID. The job must not start any more.
func lateCopy(s *site, trouble bool) []string {
	s.start(3, 8, "guj-west-a")
	time.Sleep(contactTime)
	const jobs = 5
	// copyDelay is the time from the 2xx response to the copy.
	const copyDelay = 3500 * time.Millisecond
	var mutex sync.Mutex
	var broken []string
	var running sync.WaitGroup
	for i := range jobs {
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Duration(i) * time.Second)
			client, id := fmt.Sprintf("client-%d", i), fmt.Sprintf("5c0e7a21d94b%04x", i+1)
			body := jobBody(2, 900*time.Millisecond)
			submitted := make(chan reply, 1)
			first := s.route(client, "guj-west-a")
			go func() { submitted <- s.call(first, http.MethodPost, id, body, 5*time.Second) }()
			time.Sleep(300 * time.Millisecond)
			cancelled := s.call(s.route(client, "guj-west-a"), http.MethodDelete, id, nil, 5*time.Second)
			answer := <-submitted
			if cancelled.status != http.StatusOK || answer.status != http.StatusOK {
				cannotRun("job %s: the cancelling was answered %s, the submission %s", id, cancelled, answer)
			}
			if trouble {
				time.Sleep(time.Until(answer.done.Add(copyDelay)))
				s.record("a copy of the submission %s arrives", id)
				s.call(s.routeRetry(client, "guj-west-a", first), http.MethodPost, id, body, 5*time.Second)
			}
			time.Sleep(time.Until(cancelled.done.Add(copyDelay + 2*time.Second)))
			mutex.Lock()
			defer mutex.Unlock()
			broken = append(broken, s.unasked(id, cancelled.done)...)
		}()
	}
	running.Wait()
	return broken
}

// secondTerm: a daemon gets SIGTERM twice while it serves requests, because two planned stops overlap. Each
// request that was passed on to an executor must be answered.
func secondTerm(s *site, trouble bool) []string {
	s.start(3, 8, "guj-west-a")
	time.Sleep(contactTime)
	leaving := s.hosts[1]
	type request struct {
		id    string
		reply reply
	}
	var mutex sync.Mutex
	var requests []request
	var running sync.WaitGroup
	for i := range 8 {
		running.Add(1)
		go func() {
			defer running.Done()
			id := fmt.Sprintf("5c0e7a21d94c%04x", i+1)
			r := s.call(leaving, http.MethodPost, id, jobBody(1, 1500*time.Millisecond), 6*time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			requests = append(requests, request{id, r})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	leaving.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		leaving.signal(syscall.SIGTERM)
	}
	running.Wait()
	<-leaving.exited
	var broken []string
	for _, q := range requests {
		started := false
		s.mutex.Lock()
		for _, e := range s.starts {
			started = started || strings.HasPrefix(e.task, q.id+".")
		}
		s.mutex.Unlock()
		if started && q.reply.err != nil {
			broken = append(broken, fmt.Sprintf("request %s was passed on to an executor and its connection ended %.3f s after it was sent: %v", q.id, q.reply.done.Sub(q.reply.sent).Seconds(), q.reply.err))
		}
	}
	return broken
}

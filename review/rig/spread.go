package main

import (
	"errors"
	"fmt"
	"time"
)

var errOtherPlace = errors.New("the tasks are not placed as the case needs it")

// playSpread plays a job of two tasks that may not share an executor. Its client's connection is reset, and
// the client sends the job again. With trouble, one of the two executors that run it leaves stops unanswered
// and carries them out late, and another job has taken the room of the other meanwhile.
func playSpread(s *site, trouble bool) ([]string, error) {
	s.configure(7, mainRoute, otherRoute)
	s.newExecutors(2, "north", service, 2*wholeCPU)
	s.newExecutors(46, "north", otherRoute.service, wholeCPU)
	if _, err := s.newDaemons(3, "north", smallMachine); err != nil {
		return nil, err
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	j := job{id: "5c0e7a21d94b36f8", prefix: prefix, tasks: 2, cpu: wholeCPU, length: 9 * time.Second, maxPerOne: 1, budget: 15 * time.Second}
	one := s.submit(s.daemons[0], j)
	time.Sleep(500 * time.Millisecond)
	runs := s.record.intervals(j.id)
	if len(runs) != 2 || runs[0].executor == runs[1].executor {
		return nil, errOtherPlace
	}
	background := &background{site: s, daemons: s.daemons, prefix: otherRoute.prefix, rate: backgroundRate, length: 5 * time.Second}
	go background.run()
	time.Sleep(500 * time.Millisecond)
	s.record.watch()
	if trouble {
		runs[0].executor.setLate(lateStop)
	}
	one.reset()
	one.wait()
	time.Sleep(300 * time.Millisecond)
	other := s.submit(s.daemons[1], job{id: "5c0e7a21d94b3600", prefix: prefix, tasks: 1, cpu: 2 * wholeCPU, length: 4 * time.Second, budget: 15 * time.Second})
	time.Sleep(time.Second)
	two := s.submit(s.daemons[1], j)
	time.Sleep(1500 * time.Millisecond)
	runs[0].executor.setLate(0)
	if s.record.lateShare() > maxLateShare {
		return nil, errTooMany
	}
	other.wait()
	two.wait()
	return crowded(s.record.intervals(j.id), j.maxPerOne), nil
}

// crowded returns the starts that bring an executor above the number of tasks of a step that may run on it.
func crowded(runs []interval, most int) []string {
	var list []string
	now := time.Now()
	for i, a := range runs {
		count, others := 1, ""
		for _, b := range runs[:i] {
			if b.executor == a.executor && until(b, now).After(a.from) {
				count++
				others += fmt.Sprintf(" %s run %d", b.task, b.number)
			}
		}
		if count > most {
			list = append(list, fmt.Sprintf("%s run %d starts at %s beside%s, and the step's antiAffinity is %d", a.task, a.number, a.executor.id, others, most))
		}
	}
	return list
}

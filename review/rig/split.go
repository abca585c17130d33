package main

import (
	"errors"
	"fmt"
	"time"
)

// mainRoute and otherRoute lead to services of their own.
var (
	mainRoute  = route{name: "r-3hwrr6x", prefix: prefix, service: service, timeout: 20 * time.Second}
	otherRoute = route{name: "r-73d3zji", prefix: "/pufi791/", service: "dele69a", timeout: 20 * time.Second}
)

const (
	service  = "huvo11a"
	prefix   = "/lohu930/"
	wholeCPU = 4000 // of an executor, in thousandths of a core
	// zoneExecutors is the number of executors of a zone. Those of two zones are more than one daemon
	// holds, so that each zone has a holder of its own.
	zoneExecutors = 80
	// lateStop is how late stops are carried out: the pages name 2 to 12 s. maxLateShare is the share of
	// orders in the site file.
	lateStop     = 2500 * time.Millisecond
	maxLateShare = 0.055
	// fullFor is how long the job's own zone is full.
	fullFor = 6 * time.Second
	// backgroundRate is the number of small jobs a second in the other zone.
	backgroundRate = 300
)

var (
	errNotServed = errors.New("the job was not served by the other zone")
	errTooMany   = errors.New("more orders were late than the pages allow")
)

// playSplit plays a job that is served by the other zone while its own is full. Its client's connection is
// reset, and the client sends the job again when its own zone has room. With trouble, the executor that
// runs it leaves stops unanswered and carries them out late.
func playSplit(s *site, trouble bool) ([]string, error) {
	if err := s.openSplit(); err != nil {
		return nil, err
	}
	front := s.daemons[0]
	full := job{id: "5c0e7a21d94b3600", prefix: prefix, tasks: zoneExecutors, cpu: wholeCPU, length: fullFor, budget: 15 * time.Second}
	first := s.submit(front, full)
	time.Sleep(time.Second)
	queued := job{id: "5c0e7a21d94b3601", prefix: prefix, tasks: zoneExecutors / 4, cpu: wholeCPU, length: 4 * time.Second, budget: 15 * time.Second}
	second := s.submit(front, queued)
	time.Sleep(time.Second)
	j, one, err := s.submitElsewhere(front)
	if err != nil {
		return nil, err
	}
	runs := s.record.intervals(j.id)
	time.Sleep(time.Until(first.sentAt.Add(fullFor - 1500*time.Millisecond)))
	background := &background{site: s, daemons: s.daemons[2:], prefix: prefix, rate: backgroundRate, length: 4 * time.Second}
	go background.run()
	time.Sleep(500 * time.Millisecond)
	s.record.watch()
	if trouble {
		runs[0].executor.setLate(lateStop)
	}
	second.reset() // this client gives up
	one.reset()
	one.wait()
	time.Sleep(resendAfter)
	two := s.submit(front, j)
	time.Sleep(time.Second)
	runs[0].executor.setLate(0)
	if s.record.lateShare() > maxLateShare {
		return nil, errTooMany
	}
	two.wait()
	first.wait()
	return doubleRuns(s.record.intervals(j.id), 0), nil
}

// submitElsewhere submits jobs until the other zone runs one, which it returns.
func (s *site) submitElsewhere(d *daemon) (job, *call, error) {
	for i := range 9 {
		j := job{id: fmt.Sprintf("5c0e7a21d94b36f%d", i), prefix: prefix, tasks: 1, cpu: wholeCPU, length: 8 * time.Second, budget: 15 * time.Second}
		c := s.submit(d, j)
		for range 10 {
			time.Sleep(20 * time.Millisecond)
			if runs := s.record.intervals(j.id); len(runs) == 1 && runs[0].executor.zone == "south" {
				return j, c, nil
			}
		}
	}
	return job{}, nil, errNotServed
}

// openSplit starts two zones with two daemons each, and sends some jobs to each daemon.
func (s *site) openSplit() error {
	s.configure(7, mainRoute)
	for _, zone := range []string{"north", "south"} {
		s.newExecutors(zoneExecutors, zone, service, wholeCPU)
		if _, err := s.newDaemons(2, zone, smallMachine); err != nil {
			return err
		}
	}
	if err := s.startAll(); err != nil {
		return err
	}
	for i := range 10 {
		for n, d := range s.daemons {
			s.submit(d, job{id: fmt.Sprintf("%014x%02x", i+1, n), prefix: prefix, tasks: 2, cpu: wholeCPU, length: 200 * time.Millisecond, budget: 2 * time.Second})
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

package main

import (
	"fmt"
	"time"
)

// doubleRuns returns the tasks that two executors ran at the same time, for longer than an instant.
func doubleRuns(runs []interval, least time.Duration) []string {
	var list []string
	now := time.Now()
	byTask := make(map[string][]interval)
	for _, b := range runs {
		for _, a := range byTask[b.task] {
			if a.executor == b.executor {
				continue
			}
			from, to := a.from, until(a, now)
			if b.from.After(from) {
				from = b.from
			}
			if end := until(b, now); end.Before(to) {
				to = end
			}
			if overlap := to.Sub(from); overlap > least {
				list = append(list, fmt.Sprintf("%s ran twice at the same time for %v: run %d at %s in %s and run %d at %s in %s",
					a.task, overlap.Round(time.Millisecond), a.number, a.executor.id, a.executor.zone, b.number, b.executor.id, b.executor.zone))
			}
		}
		byTask[b.task] = append(byTask[b.task], b)
	}
	return list
}

// until returns the end of a run, or now if it has not ended.
func until(n interval, now time.Time) time.Time {
	if n.to.IsZero() {
		return now
	}
	return n.to
}

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record notes what is sent, answered and run.
type record struct {
	mutex sync.Mutex
	start time.Time
	lines []string
	runs  []interval
	// orders and late count the starts and stops since watch, and those that were left unanswered.
	orders, late int
}

// watch begins to count orders.
func (c *record) watch() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.orders, c.late = 0, 0
}

func (c *record) count(late bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.orders++
	if late {
		c.late++
	}
}

// lateShare returns the share of the orders since watch that were left unanswered, and notes it.
func (c *record) lateShare() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.append("%d of %d starts and stops were left unanswered and carried out late", c.late, c.orders)
	return float64(c.late) / float64(max(c.orders, 1))
}

// interval is a run as the executors saw it.
type interval struct {
	task     string
	number   int
	executor *executor
	cpu      int
	from, to time.Time // to is zero while it runs
	how      string
}

func (c *record) add(format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.append(format, args...)
}

// append adds a line. The mutex must be held.
func (c *record) append(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...)
	c.lines = append(c.lines, line)
}

func (c *record) began(x *executor, r *run, o order) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs = append(c.runs, interval{task: r.task, number: r.number, executor: x, cpu: r.cpu, from: r.startAt})
	c.append("executor %s in %s starts %s run %d, token %d", x.id, x.zone, r.task, r.number, o.Token)
}

func (c *record) ended(x *executor, r *run, how string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := range c.runs {
		if n := &c.runs[i]; n.task == r.task && n.number == r.number && n.executor == x && n.to.IsZero() {
			n.to, n.how = time.Now(), how
		}
	}
	c.append("executor %s in %s ends %s run %d: %s", x.id, x.zone, r.task, r.number, how)
}

// intervals returns the runs of the tasks whose names begin with a prefix.
func (c *record) intervals(prefix string) []interval {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []interval
	for _, n := range c.runs {
		if strings.HasPrefix(n.task, prefix) {
			list = append(list, n)
		}
	}
	return list
}

// write writes the record to a file.
func (c *record) write(path string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(c.lines, "\n")+"\n"), 0o644)
}

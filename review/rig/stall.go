package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// wideTasks is the number of tasks of a wide job, and usualTasks that of the same job without trouble.
	// Such jobs come every widePause.
	wideTasks  = 10000
	usualTasks = 8
	wideCount  = 12
	widePause  = 100 * time.Millisecond
	wideLength = 4 * time.Second
	// configApply is the time within which a version of the config has to be in force, and askMargin what is
	// added to it.
	configApply = 2 * time.Second
	askMargin   = 200 * time.Millisecond
	// changes is the number of versions that follow, each with one more route, and changePause the time
	// between them.
	changes     = 40
	changePause = 400 * time.Millisecond
)

var errNoRoute = errors.New("the first config is not in force")

// changedRoutes are the routes that the changes add, and when each was acknowledged.
type changedRoutes struct {
	site   *site
	mutex  sync.Mutex
	routes []route
	acked  []time.Time
	broken []string
}

// run makes the changes.
func (c *changedRoutes) run() {
	all := []route{mainRoute}
	for i := range changes {
		time.Sleep(changePause)
		r := route{name: fmt.Sprintf("r-73d3z%02d", i), prefix: fmt.Sprintf("/pufi7%02d/", i), service: service, timeout: mainRoute.timeout}
		all = append(all, r)
		c.site.configure(11+3*i, all...)
		c.mutex.Lock()
		c.routes, c.acked = append(c.routes, r), append(c.acked, time.Now())
		c.mutex.Unlock()
	}
}

// due returns the newest route that has to be in force, and when it was acknowledged. There may be none.
func (c *changedRoutes) due() (r route, acked time.Time, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := 0
	for n < len(c.acked) && time.Since(c.acked[n]) > configApply+askMargin {
		n++
	}
	if n == 0 {
		return route{}, time.Time{}, false
	}
	return c.routes[n-1], c.acked[n-1], true
}

// ask asks a daemon for the count of the newest route that has to be in force, until a time.
func (c *changedRoutes) ask(d *daemon, until time.Time, group *sync.WaitGroup) {
	defer group.Done()
	for time.Now().Before(until) {
		r, acked, found := c.due()
		sent := time.Now()
		if found && d.count(r) == http.StatusNotFound {
			c.mutex.Lock()
			c.broken = append(c.broken, fmt.Sprintf("%s answers 404 for %s, asked %.1f s after the ack of its config", d.name, r.prefix, sent.Sub(acked).Seconds()))
			c.mutex.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// wideClient sends a wide job, and sends it again until it is answered with success.
type wideClient struct {
	site  *site
	job   job
	until time.Time
}

func (w *wideClient) run(n int) {
	for time.Now().Before(w.until) {
		c := w.site.submit(w.site.daemons[n%len(w.site.daemons)], w.job)
		c.wait()
		if c.status == http.StatusOK {
			return
		}
		time.Sleep(resendAfter)
		n++
	}
}

// playStall plays jobs of very many tasks that need no processor, and changes of the config that add routes.
// Each daemon is asked for the counts of these routes. Without trouble the jobs have eight tasks.
func playStall(s *site, trouble bool) ([]string, error) {
	s.configure(7, mainRoute)
	s.newExecutors(48, "north", service, 4*wholeCPU)
	if _, err := s.newDaemons(3, "north", smallMachine); err != nil {
		return nil, err
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	for _, d := range s.daemons {
		if d.count(mainRoute) != http.StatusOK {
			return nil, errNoRoute
		}
	}
	c := &changedRoutes{site: s}
	go c.run()
	until := time.Now().Add(changes*changePause + 8*time.Second)
	var group sync.WaitGroup
	for _, d := range s.daemons {
		group.Add(1)
		go c.ask(d, until, &group)
	}
	tasks := usualTasks
	if trouble {
		tasks = wideTasks
	}
	for i := range wideCount {
		w := &wideClient{site: s, until: until, job: job{id: fmt.Sprintf("5c0e7a21d94b36%02x", i), prefix: prefix, tasks: tasks, length: wideLength, budget: 20 * time.Second}}
		go w.run(i)
		time.Sleep(widePause)
	}
	group.Wait()
	return c.broken, nil
}

// count asks a daemon for the count of a route's jobs, and returns the status of its answer; 0 for none.
func (d *daemon) count(r route) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+d.clients+r.prefix, http.NoBody)
	if err != nil {
		return 0
	}
	q.Host = routeHost
	answer, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		d.site.record.add("%s does not answer GET %s: %s", d.name, r.prefix, strings.TrimSpace(err.Error()))
		return 0
	}
	_ = answer.Body.Close()
	d.site.record.add("%s answers GET %s: %d", d.name, r.prefix, answer.StatusCode)
	return answer.StatusCode
}

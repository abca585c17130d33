package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// resendAfter is how long after a broken connection a client sends its job again.
const resendAfter = 1300 * time.Millisecond

// job is a best-effort job of one step.
type job struct {
	id, prefix string
	tasks, cpu int
	length     time.Duration // of each task
	maxPerOne  int           // tasks on one executor; 0 means any
	budget     time.Duration
}

// body returns the body of the submission.
func (j job) body() []byte {
	step := map[string]any{"count": j.tasks, "cpu": j.cpu, "memMb": 64, "estimatedMs": j.length.Milliseconds()}
	if j.maxPerOne > 0 {
		step["antiAffinity"] = j.maxPerOne
	}
	data, err := json.Marshal(map[string]any{"spec": fmt.Sprintf("%v %d", j.length, j.cpu), "bestEffort": true, "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return data
}

// call is a request of a client on a connection of its own.
type call struct {
	site    *site
	daemon  *daemon
	method  string
	path    string
	body    []byte
	budget  time.Duration
	mutex   sync.Mutex
	conn    net.Conn
	done    chan struct{} // closed once status and answer are set
	status  int           // 0 if there was no complete answer
	answer  string
	sentAt  time.Time
	endedAt time.Time
}

// submit sends a job to a daemon.
func (s *site) submit(d *daemon, j job) *call {
	c := &call{site: s, daemon: d, method: http.MethodPost, path: j.prefix + j.id, body: j.body(), budget: j.budget}
	c.send()
	return c
}

// send begins the call.
func (c *call) send() {
	c.done, c.sentAt = make(chan struct{}), time.Now()
	c.site.record.add("client sends %s %s to %s", c.method, c.path, c.daemon.name)
	go c.run()
}

func (c *call) run() {
	defer close(c.done)
	status, answer, err := c.exchange()
	c.status, c.answer, c.endedAt = status, answer, time.Now()
	if err != nil {
		c.site.record.add("client has no answer to %s %s from %s: %v", c.method, c.path, c.daemon.name, err)
		return
	}
	c.site.record.add("client has an answer to %s %s from %s: %d %s", c.method, c.path, c.daemon.name, status, answer)
}

// exchange sends the request and reads the answer.
func (c *call) exchange() (status int, text string, err error) {
	conn, err := net.DialTimeout("tcp", c.daemon.clients, c.budget)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	c.mutex.Lock()
	c.conn = conn
	c.mutex.Unlock()
	q, err := http.NewRequest(c.method, "http://"+routeHost+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Time-Budget-Ms", fmt.Sprint(c.budget.Milliseconds()))
	if err := errors.Join(conn.SetDeadline(c.sentAt.Add(c.budget)), q.Write(conn)); err != nil {
		return 0, "", err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), q)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", err
	}
	return answer.StatusCode, string(data), nil
}

// reset resets the connection.
func (c *call) reset() {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	c.site.record.add("the connection of %s %s to %s is reset", c.method, c.path, c.daemon.name)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = errors.Join(tcp.SetLinger(0), tcp.Close()) // the call ends with the error
	}
}

// wait waits for the end of the call.
func (c *call) wait() { <-c.done }

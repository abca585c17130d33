package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["cancel"] = playCancel }

const (
	cancelTime     = 3000 * time.Millisecond // cancel_ms
	stopTime       = 50 * time.Millisecond   // stopTimeoutMs
	contactTime    = 3000 * time.Millisecond // contactMs
	retransmitTime = 1300 * time.Millisecond // retransmitMs
	// slack covers the scheduling of this machine; the rule has no such allowance.
	slack = 200 * time.Millisecond
	// cancelledRun is how long the tasks run that are cancelled.
	cancelledRun = 8 * time.Second
)

// playCancel submits jobs of one long task and cancels them while they run. With trouble, the connection
// of each job to the client's own daemon is reset once, so that the client sends the job again, and the
// platform takes the retry to another daemon. The cancelling is a new request: it goes to the client's own
// daemon, contactMs after the reset and later.
func playCancel(record string, trouble bool) *site {
	s := layout{zones: []string{"guj-west-a", "guj-west-b", "guj-west-c"}, daemons: 7, executors: 48, kinds: []string{"a", "a", "b"}}.start(record)
	own, other := s.daemons[0], s.daemons[3] // both of guj-west-a
	r := newRelay(own.clients)
	var jobs sync.WaitGroup
	for i := range 3 {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			s.submitAndCancel(fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+i), r.address, other)
		}()
		time.Sleep(500 * time.Millisecond)
		if trouble {
			r.reset()
			s.record("the connections between the clients and %s are reset", own.name)
		}
		time.Sleep(12 * time.Second)
	}
	jobs.Wait()
	return s
}

// submitAndCancel submits a job, again if its connection breaks, and cancels it while it runs.
func (s *site) submitAndCancel(id, own string, other *daemon) {
	task := id + ".0.0.0"
	body := fmt.Sprintf(`{"spec":"%d 6800","bestEffort":true,"steps":[{"count":1,"cpu":6800,"memMb":64,"estimatedMs":%d}]}`, cancelledRun.Milliseconds(), cancelledRun.Milliseconds())
	submittedAt := time.Now()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for _, address := range []string{own, other.clients} {
			ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
			status, answer := callAt(ctx, address, "POST", id, body, 11*time.Second)
			cancel()
			s.record("client: POST %s to %s: %d %.120s", id, s.nameOf(address), status, answer)
			if status != 0 && status != 502 && status != 504 {
				return
			}
			time.Sleep(retransmitTime)
		}
	}()
	time.Sleep(time.Until(submittedAt.Add(500*time.Millisecond + contactTime + slack)))
	if !s.isRunning(task) {
		s.record("client: job %s does not run", id)
		<-answered
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, answer := callAt(ctx, own, "DELETE", id, "", 0)
	ackedAt := time.Now()
	s.record("client: DELETE %s to %s: %d %.120s", id, s.nameOf(own), status, answer)
	if status/100 == 2 || status == 410 {
		time.Sleep(time.Until(ackedAt.Add(cancelTime + stopTime + slack)))
		if s.isRunning(task) {
			s.breach("UNASKED: task %s runs on %d ms after the answer %d to the job's cancelling", task, time.Since(ackedAt).Milliseconds(), status)
		}
	}
	<-answered
}

func (s *site) isRunning(task string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.running[task]) > 0
}

// nameOf returns the name of the daemon that clients reach at an address.
func (s *site) nameOf(address string) string {
	for _, d := range s.daemons {
		if d.clients == address {
			return d.name
		}
	}
	return s.daemons[0].name // through the relay
}

// relay forwards connections to an address and resets them on demand.
type relay struct {
	address, to string

	mutex sync.Mutex
	conns []net.Conn
}

func newRelay(to string) *relay {
	listener := listen()
	r := &relay{address: listener.Addr().String(), to: to}
	go r.run(listener)
	return r
}

func (r *relay) run(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mutex.Lock()
		r.conns = append(r.conns, in, out)
		r.mutex.Unlock()
		go forward(in, out)
		go forward(out, in)
	}
}

func forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// reset resets all connections that are open.
func (r *relay) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.conns = nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
)

// submission is a job that a client submits, and its answer.
type submission struct {
	client *shallotrouter.Client
	job    shallotrouter.Job
	label  string
	answer shallotrouter.Answer
	err    error
}

// run submits the job and waits for its answer.
func (s *submission) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	s.answer, s.err = s.client.Submit(ctx, s.job)
}

// submitAll runs all submissions concurrently and waits for their answers.
func submitAll(ctx context.Context, list []*submission) {
	var group sync.WaitGroup
	for _, s := range list {
		group.Add(1)
		go s.run(ctx, &group)
	}
	group.Wait()
}

// TestConcurrentJobsComplete submits 200 jobs at once to three daemons, each in a separate
// process. The run times are random, so that results arrive out of order. Each job must
// get its own results, and each task must start once.
func TestConcurrentJobsComplete(t *testing.T) {
	d := deploy(t, "", 3, 3, "bogota-norte")
	random := rand.New(rand.NewPCG(1, 2))
	clients := []string{"comites", "cruzroja", "puertos"}
	var list []*submission
	total := 0
	for i := range 200 {
		name := clients[i%len(clients)]
		ticketHost, submitHost := d.daemons[i%3], d.daemons[random.IntN(3)]
		var runTimes []time.Duration
		for range 1 + random.IntN(8) {
			runTimes = append(runTimes, time.Duration(random.IntN(60))*time.Millisecond)
		}
		total += len(runTimes)
		label := fmt.Sprint("job", i)
		list = append(list, &submission{
			client: d.client(submitHost, name), label: label,
			job: newJob(d.newTicket(ticketHost, name), label, time.Minute, runTimes...),
		})
	}
	submitAll(t.Context(), list)
	for _, s := range list {
		require.NoError(t, s.err)
		require.Equal(t, shallotrouter.Complete, s.answer.Outcome, s.answer.Message)
		require.Len(t, s.answer.Results, len(s.job.Tasks))
		for i, result := range s.answer.Results {
			require.Equal(t, fmt.Sprintf("%s-%d", s.label, i), string(result))
		}
	}
	require.Len(t, d.totalCounts().Starts, total)
	require.LessOrEqual(t, d.totalCounts().MaxRunning, slots)
	d.requireNoRepeatedStarts()
}

// ticketLifetime is how long tickets are valid in TestInvalidSubmissionsAreRefused.
const ticketLifetime = time.Second

// TestInvalidSubmissionsAreRefused sends submissions that must be refused. Each must get
// the right reason and a message, and no task may start.
func TestInvalidSubmissionsAreRefused(t *testing.T) {
	d := deploy(t, "[limits]\nbody = 20000\nticket = "+ticketLifetime.String()+"\n", 1, 1, "bogota-norte")
	host := d.daemons[0]
	valid := newJob(d.newTicket(host, "comites"), "x", time.Second, time.Millisecond)
	modified := func(f func(*shallotrouter.Job)) shallotrouter.Job {
		job := valid
		f(&job)
		return job
	}
	cases := []struct {
		name   string
		token  string
		job    shallotrouter.Job
		reason shallotrouter.Reason
	}{
		{"unauthenticated", "nobody", valid, shallotrouter.Unauthorized},
		{"other client's ticket", "cruzroja-token", valid, shallotrouter.Unauthorized},
		{"unknown service", "comites-token", modified(func(j *shallotrouter.Job) { j.Service = "none" }), shallotrouter.Unknown},
		{"no tasks", "comites-token", modified(func(j *shallotrouter.Job) { j.Tasks = nil }), shallotrouter.Malformed},
		{"no deadline", "comites-token", modified(func(j *shallotrouter.Job) { j.Deadline = 0 }), shallotrouter.Malformed},
		{"no kind", "comites-token", modified(func(j *shallotrouter.Job) { j.Tasks = []shallotrouter.Task{{}} }), shallotrouter.Malformed},
		{"forged ticket", "comites-token", modified(func(j *shallotrouter.Job) { j.Ticket = strings.Repeat("A", 80) }), shallotrouter.Malformed},
		{"no ticket", "comites-token", modified(func(j *shallotrouter.Job) { j.Ticket = "" }), shallotrouter.Malformed},
		{"too many tasks", "comites-token", modified(func(j *shallotrouter.Job) { j.Tasks = make([]shallotrouter.Task, 461) }), shallotrouter.Oversized},
		{"too large", "comites-token", modified(func(j *shallotrouter.Job) {
			j.Tasks = []shallotrouter.Task{{Kind: "k", Payload: make([]byte, 30000)}}
		}), shallotrouter.Oversized},
	}
	for _, c := range cases {
		a, err := (&shallotrouter.Client{Address: "http://" + host.address, Token: c.token}).Submit(t.Context(), c.job)
		require.NoError(t, err, c.name)
		assert.Equal(t, shallotrouter.Refused, a.Outcome, c.name)
		assert.Equal(t, c.reason, a.Reason, c.name+": "+a.Message)
		assert.NotEmpty(t, a.Message, c.name)
	}
	<-time.After(ticketLifetime + ticketLifetime/8) // the ticket's lifetime and the resolution of its expiry time
	a, err := d.client(host, "comites").Submit(t.Context(), valid)
	require.NoError(t, err)
	assert.Equal(t, shallotrouter.Refused, a.Outcome)
	assert.Equal(t, shallotrouter.Expired, a.Reason)
	response, err := http.Post("http://"+host.address+"/v1/jobs", "application/json", strings.NewReader("{"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
	assert.Empty(t, d.totalCounts().Starts)
}

// TestReadTimeoutDoesNotLimitJobs sets a read timeout of 300 ms. It must not affect a
// job that runs for 1 s after it has arrived, but must end a submission of which only a
// part arrives.
func TestReadTimeoutDoesNotLimitJobs(t *testing.T) {
	d := deploy(t, "[limits]\nread = 300ms\n", 1, 1, "bogota-norte")
	host := d.daemons[0]
	a, err := d.client(host, "comites").Submit(t.Context(), newJob(d.newTicket(host, "comites"), "long", 10*time.Second, time.Second))
	require.NoError(t, err)
	assert.Equal(t, shallotrouter.Complete, a.Outcome, a.Message)
	c, err := net.Dial("tcp", host.address)
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer comites-token\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the server closes the connection")
	assert.Contains(t, string(answer), "400 Bad Request")
}

// TestTicketIsForOneJob submits a second job with a used ticket. It must be refused: it may
// neither get the first job's answer nor run.
func TestTicketIsForOneJob(t *testing.T) {
	d := deploy(t, "", 1, 2, "bogota-norte")
	ticket := d.newTicket(d.daemons[0], "comites")
	a, err := d.client(d.daemons[1], "comites").Submit(t.Context(), newJob(ticket, "first", time.Second, time.Millisecond))
	require.NoError(t, err)
	require.Equal(t, shallotrouter.Complete, a.Outcome, a.Message)
	for _, p := range d.daemons {
		a, err = d.client(p, "comites").Submit(t.Context(), newJob(ticket, "second", time.Second, time.Millisecond))
		require.NoError(t, err)
		assert.Equal(t, shallotrouter.Refused, a.Outcome)
		assert.Equal(t, shallotrouter.Malformed, a.Reason)
	}
	assert.Len(t, d.totalCounts().Starts, 1)
}

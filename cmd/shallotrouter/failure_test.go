package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// submitInBackground submits jobs in the background. It returns the submissions and
// a function that waits for their answers.
func (d *deployment) submitInBackground(host *process, client string, jobs, tasks int, runTime, deadline time.Duration) ([]*submission, func()) {
	var list []*submission
	runTimes := make([]time.Duration, tasks)
	for i := range runTimes {
		runTimes[i] = runTime
	}
	for i := range jobs {
		list = append(list, &submission{
			client: d.client(host, client),
			job:    newJob(d.newTicket(host, client), fmt.Sprint("load", i), deadline, runTimes...),
		})
	}
	var group sync.WaitGroup
	for _, s := range list {
		group.Add(1)
		go s.run(context.WithoutCancel(d.t.Context()), &group)
	}
	return list, group.Wait
}

// awaitStarts waits until the targets have started at least n tasks.
func (d *deployment) awaitStarts(n int) {
	d.t.Helper()
	d.await(func() bool { return len(d.totalCounts().Starts) >= n })
}

// taskCount returns the number of a client's tasks that wait or run at a host.
func (d *deployment) taskCount(host *process, client string) int {
	for _, c := range d.status(host).Clients {
		if c.Client == client {
			return c.Waiting + c.Running
		}
	}
	return 0
}

// startsOfJob counts the started tasks of the job whose ticket has the given number at
// its host.
func startsOfJob(starts map[string]int, host *process, ticketNumber int) int {
	n := 0
	for name := range starts {
		if strings.HasPrefix(name, host.name+"/") && strings.Contains(name, fmt.Sprintf("/%d/", ticketNumber)) {
			n++
		}
	}
	return n
}

// requireTruthfulAnswers fails the test if a refused job was started or a complete job
// lacks results. The list must contain all submissions to the host, in order.
func (d *deployment) requireTruthfulAnswers(host *process, list []*submission) {
	d.t.Helper()
	starts := d.totalCounts().Starts
	for i, s := range list {
		if s.err != nil {
			continue
		}
		switch s.answer.Outcome {
		case shallotrouter.Complete:
			require.Len(d.t, s.answer.Results, len(s.job.Tasks))
		case shallotrouter.Refused:
			require.Zero(d.t, startsOfJob(starts, host, i+1), "job %d was refused: %s", i+1, s.answer.Message)
		case shallotrouter.Failed, shallotrouter.Lost:
		default:
			d.t.Fatalf("job %d has the unexpected outcome %q", i+1, s.answer.Outcome)
		}
	}
}

// TestTicketSentToThreeHostsRunsOnce sends a job with one ticket to three hosts at
// once. All must return the same complete answer, and each task must start once.
func TestTicketSentToThreeHostsRunsOnce(t *testing.T) {
	d := deploy(t, "", 2, 3, "bogota-norte")
	job := newJob(d.newTicket(d.daemons[0], "comites"), "same", 10*time.Second, 100*time.Millisecond, 50*time.Millisecond)
	var list []*submission
	for _, p := range d.daemons {
		list = append(list, &submission{client: d.client(p, "comites"), job: job})
	}
	submitAll(t.Context(), list)
	for _, s := range list {
		require.NoError(t, s.err)
		assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, s.answer.Message)
		assert.Equal(t, "same-0", string(s.answer.Results[0]))
	}
	assert.Len(t, d.totalCounts().Starts, 2)
	d.requireNoRepeatedStarts()
}

// TestJobsOfKilledHostAreLost kills an entry host with queued and running tasks and
// submits the same tickets to every other host and to the restarted host. All must answer
// that the jobs are lost, and no task may start twice.
func TestJobsOfKilledHostAreLost(t *testing.T) {
	d := deploy(t, "", 1, 3, "bogota-norte")
	killed := d.daemons[0]
	list, wait := d.submitInBackground(killed, "comites", 4, 10, 300*time.Millisecond, 20*time.Second)
	d.awaitStarts(3)
	killed.kill()
	wait()
	before := len(d.totalCounts().Starts)
	for _, p := range d.daemons[1:] {
		for _, s := range list {
			a, err := d.client(p, "comites").Submit(t.Context(), s.job)
			require.NoError(t, err)
			assert.Equal(t, shallotrouter.Lost, a.Outcome)
			assert.Equal(t, shallotrouter.Unreachable, a.Reason)
		}
	}
	restarted := d.startDaemonAt(killed.name, killed.zone, killed.address)
	d.await(func() bool { return d.status(restarted).Phase == scheduler.Serving })
	for _, s := range list {
		a, err := d.client(restarted, "comites").Submit(t.Context(), s.job)
		require.NoError(t, err)
		assert.Equal(t, shallotrouter.Lost, a.Outcome)
		assert.Equal(t, shallotrouter.Restarted, a.Reason)
	}
	a, err := d.client(restarted, "comites").Submit(t.Context(), newJob(d.newTicket(restarted, "comites"), "new", 10*time.Second, time.Millisecond))
	require.NoError(t, err)
	assert.Equal(t, shallotrouter.Complete, a.Outcome, a.Message)
	assert.LessOrEqual(t, len(d.totalCounts().Starts), before+8+1) // at most the tasks in flight and the new one
	d.requireNoRepeatedStarts()
}

// TestJobsOfKilledTargetAreAnswered kills a target while it runs tasks. Each job must be
// answered as complete or failed, and later jobs must complete on the other target.
func TestJobsOfKilledTargetAreAnswered(t *testing.T) {
	d := deploy(t, "", 2, 1, "bogota-norte")
	host := d.daemons[0]
	list, wait := d.submitInBackground(host, "comites", 6, 2, 400*time.Millisecond, 20*time.Second)
	d.awaitStarts(12)
	d.targets[0].kill()
	wait()
	complete, failed := 0, 0
	for _, s := range list {
		require.NoError(t, s.err)
		switch s.answer.Outcome {
		case shallotrouter.Complete:
			complete++
		case shallotrouter.Failed:
			failed++
			assert.Equal(t, shallotrouter.Unknown, s.answer.Reason)
		default:
			t.Errorf("unexpected outcome %s", s.answer.Outcome)
		}
	}
	assert.Positive(t, failed)
	assert.Equal(t, 6, complete+failed)
	laterList, wait := d.submitInBackground(host, "comites", 5, 3, 10*time.Millisecond, 20*time.Second)
	wait()
	for _, s := range laterList {
		assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, s.answer.Message)
	}
	d.requireNoRepeatedStarts()
}

// TestPausedHostStartsNothingAfterResume pauses an entry host for longer than its
// pause limit and its jobs' deadlines, then resumes it. It must then start no task and
// refuse the waiting jobs.
func TestPausedHostStartsNothingAfterResume(t *testing.T) {
	d := deploy(t, "", 1, 2, "bogota-norte")
	host := d.daemons[0]
	list, wait := d.submitInBackground(host, "comites", 3, 1, 5*time.Second, 2500*time.Millisecond)
	// The 51 tasks of 5 s take 64 s on the host's half of the slots. Until the other host
	// has reported that it needs none, the host relies on its own half only.
	longList, waitLong := d.submitInBackground(host, "cruzroja", 12, 4, 5*time.Second, 2*time.Minute)
	d.await(func() bool { return d.taskCount(host, "comites") == 3 && d.taskCount(host, "cruzroja") == 48 })
	d.awaitStarts(8)
	host.signal(t, syscall.SIGSTOP)
	<-time.After(3 * time.Second) // longer than the pause limit and the deadlines
	startsAtResume := len(d.totalCounts().Starts)
	host.signal(t, syscall.SIGCONT)
	wait()
	waitLong()
	list = append(list, longList...)
	d.requireTruthfulAnswers(host, list)
	assert.Len(t, d.totalCounts().Starts, startsAtResume, "no task starts after the resume")
	paused := 0
	for _, s := range list {
		if s.answer.Reason == shallotrouter.Paused && s.answer.Outcome == shallotrouter.Refused {
			paused++
		}
	}
	assert.Positive(t, paused, "waiting jobs are refused as paused")
	d.await(func() bool { return d.status(host).Phase == scheduler.Serving })
	d.requireNoRepeatedStarts()
}

// TestTicketOfPausedHostIsAnsweredElsewhere submits a paused host's ticket to another host,
// which must answer soon and must not run the job. When the paused host has resumed, a
// retry with the same ticket must complete.
func TestTicketOfPausedHostIsAnsweredElsewhere(t *testing.T) {
	d := deploy(t, "", 1, 2, "bogota-norte")
	issuer, other := d.daemons[0], d.daemons[1]
	job := newJob(d.newTicket(issuer, "comites"), "x", time.Minute, time.Millisecond)
	issuer.signal(t, syscall.SIGSTOP)
	start := time.Now()
	a, err := d.client(other, "comites").Submit(t.Context(), job)
	require.NoError(t, err)
	assert.Equal(t, shallotrouter.Lost, a.Outcome)
	assert.Positive(t, a.After)
	assert.Less(t, time.Since(start), 10*time.Second, "the answer arrives long before the deadline")
	issuer.signal(t, syscall.SIGCONT)
	d.await(func() bool { // the client retries with the same ticket
		a, err = d.client(other, "comites").Submit(t.Context(), job)
		return err == nil && a.Outcome == shallotrouter.Complete
	})
	d.requireNoRepeatedStarts()
}

// TestShutdownFinishesOpenJobs asks a host under load to shut down. It must become
// unready, refuse new jobs, complete the open ones and exit with 0.
func TestShutdownFinishesOpenJobs(t *testing.T) {
	d := deploy(t, "", 1, 2, "bogota-norte")
	host := d.daemons[0]
	const jobs = 10
	list, wait := d.submitInBackground(host, "comites", jobs, 4, 600*time.Millisecond, 20*time.Second)
	// A job that arrives after the signal is refused, so wait until all of them have
	// arrived.
	d.await(func() bool { return d.status(host).OpenJobs == jobs })
	host.signal(t, syscall.SIGTERM)
	d.await(func() bool {
		response, err := http.Get("http://" + host.address + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	a, err := d.client(host, "comites").Submit(t.Context(), newJob("", "late", time.Second, time.Millisecond))
	if err == nil {
		assert.NotEqual(t, shallotrouter.Complete, a.Outcome)
	}
	wait()
	for _, s := range list {
		require.NoError(t, s.err)
		assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, s.answer.Message)
	}
	<-host.done
	assert.Equal(t, 0, host.command.ProcessState.ExitCode())
	d.await(func() bool {
		return len(d.status(d.daemons[1]).Peers) == 0 || d.status(d.daemons[1]).Peers[0].State == scheduler.Unresponsive
	})
	d.requireNoRepeatedStarts()
}

// TestSecondSignalAnswersOpenJobs sends a second signal during a graceful shutdown.
// The host must exit at once, and each open job must get a truthful answer.
func TestSecondSignalAnswersOpenJobs(t *testing.T) {
	d := deploy(t, "", 1, 1, "bogota-norte")
	host := d.daemons[0]
	list, wait := d.submitInBackground(host, "comites", 6, 8, 2*time.Second, 30*time.Second)
	d.awaitStarts(8)
	host.signal(t, syscall.SIGTERM)
	d.await(func() bool { return strings.Contains(host.log.String(), "draining") })
	host.signal(t, syscall.SIGTERM)
	wait()
	<-host.done
	refused := 0
	for _, s := range list {
		require.NoError(t, s.err)
		assert.NotEqual(t, shallotrouter.Complete, s.answer.Outcome)
		if s.answer.Outcome == shallotrouter.Refused {
			refused++
		}
	}
	assert.Positive(t, refused)
	d.requireTruthfulAnswers(host, list)
	d.requireNoRepeatedStarts()
}

// TestLeavingTargetsGetNoTasks marks one target as leaving in the platform's list
// and makes another announce it itself. After 3 s the first may be given no more tasks,
// and the second may refuse at most two more, one for each host.
func TestLeavingTargetsGetNoTasks(t *testing.T) {
	d := deploy(t, "", 3, 2, "bogota-norte")
	d.writeHostList("bogota-norte", d.targets[0].name)
	d.putJSON(d.targets[1], "/trouble", faker.TargetFaults{Leaving: true})
	<-time.After(3 * time.Second) // the limit until hosts must avoid a leaving target
	_, wait := d.submitInBackground(d.daemons[0], "comites", 1, 1, time.Millisecond, 10*time.Second)
	wait()
	first, second := d.targetCounts(d.targets[0]), d.targetCounts(d.targets[1])
	for _, host := range d.daemons {
		list, wait := d.submitInBackground(host, "comites", 10, 5, time.Millisecond, 10*time.Second)
		wait()
		for _, s := range list {
			assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, s.answer.Message)
		}
	}
	assert.Len(t, d.targetCounts(d.targets[0]).Starts, len(first.Starts))
	assert.LessOrEqual(t, d.targetCounts(d.targets[1]).RefusedLeaving, second.RefusedLeaving+2)
	d.requireNoRepeatedStarts()
}

// TestHostStartsDuringPlatformOutage starts a host while the platform is down. The
// host must still begin to serve and complete jobs.
func TestHostStartsDuringPlatformOutage(t *testing.T) {
	d := deploy(t, "", 2, 2, "bogota-norte")
	d.putJSON(d.platform, "/faults", faker.PlatformFaults{Outage: true})
	newHost := d.startDaemon("bogota-norte-new", "bogota-norte")
	d.await(func() bool { return d.status(newHost).Phase == scheduler.Serving })
	list, wait := d.submitInBackground(newHost, "comites", 5, 3, 10*time.Millisecond, 10*time.Second)
	wait()
	for _, s := range list {
		assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, s.answer.Message)
	}
	d.requireNoRepeatedStarts()
}

// TestPresetReachesAllHosts switches presets while the platform is slow and returns
// stale reads. All hosts must apply each change within 3 s, and no host may go back to an
// older version.
func TestPresetReachesAllHosts(t *testing.T) {
	d := deploy(t, "", 1, 3, "bogota-norte", "medellin-sur", "cali-oeste")
	client := storer.NewClient(d.platform.address, 5*time.Second)
	versions := make(map[string]uint64)
	for i, preset := range []declarer.PresetName{declarer.Peak, declarer.Maintenance, declarer.Ordinary, declarer.Peak} {
		d.putJSON(d.platform, "/faults", faker.PlatformFaults{Delay: 200 * time.Millisecond, StaleReads: 2 * i})
		record, err := client.Read(t.Context(), storer.ConfigKey, 0)
		require.NoError(t, err)
		current, err := declarer.Decode(record.Version, record.Value)
		require.NoError(t, err)
		row := current.Row
		row.Preset = preset
		value, err := row.Encode()
		require.NoError(t, err)
		version, err := client.Swap(t.Context(), storer.ConfigKey, record.Version, value)
		for err != nil { // the read was stale; read again
			record, err = client.Read(t.Context(), storer.ConfigKey, 0)
			require.NoError(t, err)
			version, err = client.Swap(t.Context(), storer.ConfigKey, record.Version, value)
		}
		require.Eventually(t, func() bool {
			for _, p := range d.daemons {
				v := d.status(p)
				if v.ConfigVersion < versions[p.name] {
					t.Errorf("%s went back from %d to %d", p.name, versions[p.name], v.ConfigVersion)
				}
				versions[p.name] = v.ConfigVersion
				if v.ConfigVersion != version || v.Preset != string(preset) {
					return false
				}
			}
			return true
		}, 3*time.Second, 20*time.Millisecond)
	}
}

// TestMaintenanceRefusesNewJobs switches to the maintenance preset. New jobs must be
// refused with a time to retry after, and running tasks must finish.
func TestMaintenanceRefusesNewJobs(t *testing.T) {
	d := deploy(t, "", 1, 1, "bogota-norte")
	host := d.daemons[0]
	running, wait := d.submitInBackground(host, "comites", 2, 4, 1500*time.Millisecond, 20*time.Second)
	d.awaitStarts(8)
	d.setPreset(declarer.Maintenance)
	d.await(func() bool { return d.status(host).Preset == string(declarer.Maintenance) })
	a, err := d.client(host, "cruzroja").Submit(t.Context(), newJob(d.newTicket(host, "cruzroja"), "new", time.Second, time.Millisecond))
	require.NoError(t, err)
	assert.Equal(t, shallotrouter.Refused, a.Outcome)
	assert.Equal(t, shallotrouter.Maintenance, a.Reason)
	assert.Positive(t, a.After)
	wait()
	for _, s := range running {
		assert.Equal(t, shallotrouter.Complete, s.answer.Outcome)
	}
	assert.Len(t, d.totalCounts().Starts, 8)
}

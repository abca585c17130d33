package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDecide guards against referrals that gain nothing, and against jobs that wait or are refused
// beside a zone that could start them.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	job := Job{Tasks: 4, RunTime: 100 * ms, Wait: 60 * ms, Slack: 100 * ms}
	late := job
	late.Wait = 200 * ms
	own := Load{Zone: "north", Size: 100, Wait: 100 * ms}
	busy := Load{Zone: "west", Size: 100, Wait: 95 * ms}
	for name, test := range map[string]struct {
		job        Job
		neighbours []Load
		want       Decision
	}{
		"fits here":                  {Job{Tasks: 4, Slack: 100 * ms}, []Load{{Zone: "south", Free: 50, Size: 100}}, Decision{Action: Stay}},
		"room there":                 {job, []Load{busy, {Zone: "south", Free: 4}}, Decision{Refer, "south", 10 * ms}},
		"room for a part only":       {job, []Load{{Zone: "south", Free: 3}}, Decision{Action: Stay}},
		"state too old":              {job, []Load{{Zone: "south", Free: 50, Age: 251 * ms}}, Decision{Action: Stay}},
		"equally busy":               {job, []Load{busy}, Decision{Action: Stay}},
		"much shorter wait":          {job, []Load{busy, {Zone: "south", Size: 100, Wait: 50 * ms}}, Decision{Refer, "south", 40 * ms}},
		"too late here":              {late, []Load{{Zone: "south", Size: 100, Wait: 40 * ms}}, Decision{Refer, "south", 90 * ms}},
		"too late everywhere":        {late, []Load{busy}, Decision{Action: Refuse}},
		"too late for the transfer":  {Job{Tasks: 1, Wait: 60 * ms, Slack: 9 * ms}, []Load{{Zone: "south", Free: 50}}, Decision{Action: Refuse}},
		"wait that is not published": {late, []Load{{Zone: "south", Wait: ms}}, Decision{Action: Refuse}},
		"no neighbour":               {late, nil, Decision{Action: Refuse}},
	} {
		b := New(0.4)
		assert.Equal(t, test.want, b.Decide(test.job, own, test.neighbours), name)
	}
}

// TestReferredJobsUseUpRoom guards against referring more jobs to a zone within one heartbeat than it
// has room for.
func TestReferredJobsUseUpRoom(t *testing.T) {
	b := New(0.4)
	own := Load{Zone: "north", Size: 100, Wait: 500 * time.Millisecond}
	there := Load{Zone: "south", Free: 7, Size: 100}
	job := Job{Tasks: 4, RunTime: 100 * time.Millisecond, Wait: 300 * time.Millisecond, Slack: 100 * time.Millisecond}
	referred := 0
	for b.Decide(job, own, []Load{there}).Action == Refer {
		b.Add(&there, job)
		referred++
	}
	assert.Equal(t, 17, referred, "one starts at once, and each of the others adds 10 ms to the wait there, up to 150 ms")
}

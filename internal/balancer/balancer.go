// Package balancer decides whether a job stays in its zone or is referred to another one, from what
// the holders of the zones publish about their load.
package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Load is what a holder publishes about its zone, for one service.
type Load struct {
	Zone string
	// Free is how many more tasks of average size could start now beside the waiting ones.
	Free int
	// Size is how many tasks of average size the zone's usable targets can run at a time, 0 if that
	// is not published.
	Size int
	// Wait is how long the targets take for the work that waits.
	Wait time.Duration
	// Age is the time since the load was published.
	Age time.Duration
}

// Job is a job that a holder decides on.
type Job struct {
	Tasks   int
	RunTime time.Duration // expected, of one task
	// Wait is how long the last task is expected to wait in its own zone; 0 means that all can start
	// now.
	Wait time.Duration
	// Slack is the longest wait with which the job can still be in time.
	Slack time.Duration
}

// Action is what happens to a job.
type Action string

const (
	// Stay means that the job is queued in its own zone.
	Stay Action = "stay"
	// Refer means that the job is offered to another zone.
	Refer Action = "refer"
	// Refuse means that the job can be in time neither in its own zone nor in a neighbour.
	Refuse Action = "refuse"
)

// Decision is the decision on a job.
type Decision struct {
	Action Action
	Zone   string // to which the job is referred
	// Wait is the expected wait there.
	Wait time.Duration
}

// Balancer decides where jobs are served. Its fields are set before use.
type Balancer struct {
	// MaxAge is the age from which a neighbour's load counts as no room.
	MaxAge time.Duration
	// TransferTime is how much later a referred job can start.
	TransferTime time.Duration
	// MinGain is the least part of the own zone's wait by which the neighbour's must be shorter for a
	// job that cannot start there at once.
	MinGain float64
	// PackingRatio is the part of a zone's size that a job can count on for the work ahead of it.
	PackingRatio float64
}

// New returns the balancer for normal operation.
func New(packingRatio float64) Balancer {
	return Balancer{
		PackingRatio: packingRatio,
		// Three heartbeats of 80 ms: with one lost, the load is at most 160 ms old.
		MaxAge: 250 * time.Millisecond,
		// The verdict to the job's host, its offer to the other zone, and one event in each of three
		// queues.
		TransferTime: 10 * time.Millisecond,
		// When all zones are full, each referral costs both holders work that they lack for placing, and
		// smaller differences end before it pays.
		MinGain: 0.5,
	}
}

// Decide decides on a job, given the load of its own zone and of the neighbours to which it can be
// referred.
func (b *Balancer) Decide(j Job, own Load, neighbours []Load) Decision {
	if j.Wait <= 0 {
		return Decision{Action: Stay}
	}
	stay := Decision{Action: Stay}
	if j.Wait > j.Slack {
		stay.Action = Refuse
	}
	if own.Wait <= b.TransferTime && stay.Action == Stay || j.Slack < b.TransferTime {
		return stay
	}
	n := b.best(neighbours)
	if n == nil {
		return stay
	}
	wait := b.waitAt(j, own, n)
	if wait > j.Slack {
		return stay
	}
	if n.Free < j.Tasks && own.Wait-n.Wait < b.minGain(own.Wait) {
		return stay
	}
	return Decision{Action: Refer, Zone: n.Zone, Wait: wait}
}

// best returns the neighbour with the most room among those whose load is recent, or nil.
func (b *Balancer) best(neighbours []Load) *Load {
	var best *Load
	for i := range neighbours {
		if n := &neighbours[i]; n.Age <= b.MaxAge && (best == nil || compareLoads(n, best) < 0) {
			best = n
		}
	}
	return best
}

// waitAt returns the wait of a job that is referred to a neighbour. If it cannot start there at once,
// it waits as much shorter or longer than in its own zone as all jobs there do.
func (b *Balancer) waitAt(j Job, own Load, n *Load) time.Duration {
	if n.Free >= j.Tasks {
		return b.TransferTime
	}
	if n.Size <= 0 || own.Wait <= 0 {
		return never
	}
	wait := j.Wait.Seconds() * n.Wait.Seconds() / own.Wait.Seconds()
	return b.TransferTime + time.Duration(min(wait, never.Seconds())*float64(time.Second))
}

// minGain returns by how much a neighbour's wait must be shorter than the own zone's.
func (b *Balancer) minGain(own time.Duration) time.Duration {
	return max(b.TransferTime, time.Duration(b.MinGain*float64(own)))
}

// never is a wait that no job has time for.
const never = 24 * time.Hour

// compareLoads orders loads by the room for further jobs: free room first, then the shorter wait.
func compareLoads(a, b *Load) int {
	if a.Free > 0 || b.Free > 0 {
		return -cmp.Compare(a.Free, b.Free)
	}
	return cmp.Or(-cmp.Compare(min(a.Size, 1), min(b.Size, 1)), cmp.Compare(a.Wait, b.Wait))
}

// Add adds a job that was referred to a zone to the zone's load. The next load that the zone publishes
// includes it.
func (b *Balancer) Add(l *Load, j Job) {
	if l.Free >= j.Tasks || l.Size <= 0 {
		l.Free = max(l.Free-j.Tasks, 0)
		return
	}
	l.Wait += time.Duration(j.RunTime.Seconds() * float64(j.Tasks) / (float64(l.Size) * b.PackingRatio) * float64(time.Second))
}

// likelyShare is the free share of a zone's size below which jobs are likely to be referred, and above
// which a neighbour has room for them.
const likelyShare = 0.125

// IsReferralLikely reports whether jobs may soon have to be referred to one of the neighbours, because
// the own zone is nearly full and the neighbour is not. While all zones are full, no host needs to be
// connected to its neighbours.
func IsReferralLikely(own Load, neighbours []Load) bool {
	if own.Wait <= 0 && own.Free >= own.share() {
		return false
	}
	return slices.ContainsFunc(neighbours, func(n Load) bool { return n.Size > 0 && n.Free > n.share() })
}

// share returns the number of tasks that are likelyShare of a zone's size.
func (l Load) share() int { return int(likelyShare * float64(l.Size)) }

package scheduler

import (
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/estimator"
	"github.com/shallotrouter/shallotrouter/internal/holder"
)

// flow is the queue of one client for one service at this host. The order between
// flows is start-time fair queueing.
type flow struct {
	holder.Index // place among the pool's active flows

	pool           *pool
	client         string
	declaredWeight float64 // weight in the declarations
	weight         float64 // current weight: slots that the client may use at this host
	startTag       float64 // virtual start time of the next task, in seconds
	jobs           holder.Heap[*job]
	waiting        int
	running        int
	longRunning    int           // number of running tasks that are expected to run long
	queuedWork     time.Duration // expected run time of the waiting tasks
	unchargedTime  time.Duration // actual minus charged run time of ended tasks; negative when too much was charged
}

// pool is one service: its targets and the flows that share them.
type pool struct {
	service          declarer.Service
	targets          []*target // sorted by name
	flows            map[string]*flow
	active           holder.Heap[*flow]
	virtualTime      float64 // highest start tag of the tasks that have started, in seconds
	running          int
	waiting          int
	peersWaiting     bool      // a peer reports waiting tasks
	slotOrder        []*target // target of each slot, in the order that orderSlots computes
	sharedSlots      []*target // the part of slotOrder that is divided between the hosts
	quota            int       // number of slots in this host's range
	level            float64   // slots per unit of weight, from the last division
	divisionOutdated bool      // the input of divideSlots has changed
	quotaExhausted   bool      // tasks wait because the quota is used up
	estimates        estimator.Estimator
	retryTokens      float64   // remaining retry budget
	pausedUntil      time.Time // end of the pause after the retry budget was used up
}

func newPool(service declarer.Service) *pool {
	p := &pool{service: service, flows: make(map[string]*flow), retryTokens: retryBudget, level: 1}
	p.active.Less = func(a, b *flow) bool {
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.client < b.client
	}
	return p
}

// flow returns the client's flow. It creates the flow if there is none.
func (p *pool) flow(client string, weight float64) *flow {
	f := p.flows[client]
	if f == nil {
		f = &flow{pool: p, client: client, weight: weight * p.level}
		f.jobs.Less = func(a, b *job) bool {
			if a.queueKey != b.queueKey {
				return a.queueKey < b.queueKey
			}
			return a.number < b.number
		}
		p.flows[client] = f
	}
	f.declaredWeight = weight
	return f
}

// enqueue adds the job's waiting tasks to the flow.
func (f *flow) enqueue(j *job) {
	j.flow = f
	j.queueKey = f.pool.queueKey(j)
	f.queuedWork += j.queuedWork
	f.pool.waiting += len(j.queue)
	f.waiting += len(j.queue)
	f.jobs.Push(j)
	f.activate()
}

// activate adds a flow with waiting tasks to the pool's active flows.
func (f *flow) activate() {
	if f.waiting == 0 || f.pool.active.Has(f) {
		return
	}
	f.startTag = max(f.startTag, f.pool.virtualTime)
	f.pool.active.Push(f)
}

// charge advances the flow's start tag by the expected run time of a task that
// starts, corrected by the difference between actual and expected run time of
// ended tasks. The tag never goes back: otherwise a client whose short tasks end
// first would overtake the others until its long tasks end (#5).
func (f *flow) charge(expected time.Duration) {
	amount := max(expected+f.unchargedTime, expected/minChargeDivisor)
	f.unchargedTime -= amount - expected
	f.startTag += amount.Seconds() / max(f.weight, minWeight)
	if f.pool.active.Has(f) {
		f.pool.active.Fix(f)
	}
}

// queueKey returns the key by which the flow orders its jobs: the admission time,
// plus ageingFactor times the job's work if the service prefers small jobs. Jobs
// that are admitted more than this time later do not overtake the job.
func (p *pool) queueKey(j *job) float64 {
	key := float64(j.admittedAt.UnixNano()) / float64(time.Second)
	if p.service.Order == declarer.LeastWork {
		key += j.queuedWork.Seconds() * ageingFactor
	}
	return key
}

// clientNames returns the names of the pool's clients, sorted so that reports do
// not depend on the order of a map.
func (p *pool) clientNames() []string {
	names := holder.NewSet[string]()
	for name := range p.flows {
		names.Add(name)
	}
	return names.Sorted()
}

// compareTargets orders targets by name.
func compareTargets(a, b *target) int { return strings.Compare(a.name, b.name) }

const (
	// minWeight keeps the start tags of a flow finite.
	minWeight = 1e-3
	// minChargeDivisor sets the minimum charge of a task: its expected run time
	// divided by this number.
	minChargeDivisor = 4
	// ageingFactor is the number of seconds by which a job is ordered later for
	// each second of its work.
	ageingFactor = 0.1
)

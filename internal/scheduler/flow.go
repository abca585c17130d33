package scheduler

import (
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/estimator"
	"github.com/shallotrouter/shallotrouter/internal/holder"
)

// flow is the queue of one client for one service at this host. Start-time
// fair queueing picks between flows.
type flow struct {
	holder.Index // place among the pool's active flows

	pool     *pool
	client   string
	declared float64 // weight from the declarations
	weight   float64 // slots that the client may use at this host
	tag      float64 // virtual start time of the next task, in seconds
	jobs     holder.Heap[*job]
	waiting  int
	running  int
	long     int           // running tasks that are expected to run long
	work     time.Duration // expected run time of the waiting tasks
	debt     time.Duration // run time that was not charged yet, or too much
}

// pool is one service: its targets and the flows that share them.
type pool struct {
	service   declarer.Service
	targets   []*target // sorted by name
	flows     map[string]*flow
	active    holder.Heap[*flow]
	virtual   float64 // start tag of the task that started last, in seconds
	running   int
	waiting   int
	wanted    bool      // a peer has work waiting
	ring      []*target // the target of each slot, in the order in which hosts hold them
	counted   []*target // the same of the slots that are shared out
	quota     int       // slots of this host
	level     float64
	outdated  bool // what share divides has changed
	blocked   bool // work waits because the quota is used up
	estimates estimator.Estimator
	tokens    float64   // retry budget
	paused    time.Time // nothing is placed before, the budget being used up
}

func newPool(service declarer.Service) *pool {
	p := &pool{service: service, flows: make(map[string]*flow), tokens: retryBurst, level: 1}
	p.active.Less = func(a, b *flow) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.client < b.client
	}
	return p
}

// flow returns the client's flow and makes it if there is none.
func (p *pool) flow(client string, weight float64) *flow {
	f := p.flows[client]
	if f == nil {
		f = &flow{pool: p, client: client, weight: weight * p.level}
		f.jobs.Less = func(a, b *job) bool {
			if a.key != b.key {
				return a.key < b.key
			}
			return a.number < b.number
		}
		p.flows[client] = f
	}
	f.declared = weight
	return f
}

// enqueue puts the job's waiting tasks behind the flow's earlier work.
func (f *flow) enqueue(j *job) {
	j.flow = f
	j.key = f.pool.order(j)
	f.work += j.work
	f.pool.waiting += len(j.queue)
	f.waiting += len(j.queue)
	f.jobs.Push(j)
	f.activate()
}

// activate puts a flow with waiting work among the active ones.
func (f *flow) activate() {
	if f.waiting == 0 || f.pool.active.Has(f) {
		return
	}
	f.tag = max(f.tag, f.pool.virtual)
	f.pool.active.Push(f)
}

// charge moves the flow's tag by the expected run time of a task that starts,
// and by what earlier tasks ran longer or shorter than expected. The tag never
// goes back: a client whose short tasks end first would otherwise overtake the
// others until its long ones end (#5).
func (f *flow) charge(expected time.Duration) {
	amount := max(expected+f.debt, expected/leastCharge)
	f.debt -= amount - expected
	f.tag += amount.Seconds() / max(f.weight, minWeight)
	if f.pool.active.Has(f) {
		f.pool.active.Fix(f)
	}
}

// order returns the job's key: its admission time, put back in proportion to
// its work when the service prefers little work. A job waits no longer for
// later ones than that, which is the ageing.
func (p *pool) order(j *job) float64 {
	key := float64(j.admitted.UnixNano()) / float64(time.Second)
	if p.service.Order == declarer.Least {
		key += j.work.Seconds() * ageing
	}
	return key
}

// names returns the pool's clients in order, for reports that do not depend on
// the order of a map.
func (p *pool) names() []string {
	names := holder.NewSet[string]()
	for name := range p.flows {
		names.Add(name)
	}
	return names.Sorted()
}

// compareTargets orders targets by name.
func compareTargets(a, b *target) int { return strings.Compare(a.name, b.name) }

const (
	// minWeight keeps the tags of a flow finite.
	minWeight = 1e-3
	// leastCharge is the part of a task's expected run time that is charged at
	// least, as a divisor.
	leastCharge = 4
	// ageing is the seconds that a job is put back for each second of work.
	ageing = 0.1
)

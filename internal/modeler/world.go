// Package modeler plays deployments of entry hosts in virtual time: the real
// routers against model targets, a model store and a model network, with load and
// faults. It checks what must always hold and counts what callers get.
package modeler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Layout is the size of a deployment.
type Layout struct {
	Zones   []string
	Hosts   int // a zone
	Targets int // a zone
	// Room is that of a usual target. Every third one is half as large again
	// and takes SlowFactor times as long.
	Room       router.Resources
	SlowFactor float64
	// Hop is the one-way delay between zones, Near within one.
	Hop, Near time.Duration
}

// World is one deployment. The exported fields are set before Run.
type World struct {
	Layout Layout
	Kinds  []Kind
	// Load multiplies the rates of all kinds.
	Load   float64
	Faults []Fault
	// Warm is the time before the load begins, Length that of the load, and
	// Drain the time after it.
	Warm, Length, Drain time.Duration
	Seed                uint64
	Bounds              router.Bounds
	// Policy is that of all hosts.
	Policy router.Policy
	// Lost is the share of orders that are not answered and carried out late.
	Lost float64
	// Returns makes clients that were refused come back once, when they were told to.
	Returns bool
	// Mute is the share of orders that are carried out and not answered.
	Mute float64

	// Trace is told of each decision, with the time since the start of the load
	// and the host's name. It may be nil.
	Trace func(at time.Duration, host string, e router.Decision)

	now     time.Time
	start   time.Time
	agenda  agenda
	order   uint64
	random  *rand.Rand
	jobs    *rand.Rand // for what clients send: the same under any policy
	network *rand.Rand // for delays, so that the number of messages changes nothing else
	hosts   []*host
	byLink  map[string]*host
	targets map[string]*target
	names   []string
	store   *store
	cuts    map[[2]string]bool
	live    map[string]string // running tasks and their targets
	starts  map[string]int    // by job
	done    map[string]map[string]bool
	clients map[string]*client
	number  int
	// Broken lists what did not hold.
	Broken []string
	Tally  Tally
}

// entry is something that happens at a time.
type entry struct {
	at    time.Time
	order uint64
	do    func()
}

// agenda is a heap of entries.
type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*a = old[:len(old)-1]
	return last
}

// after plans something.
func (w *World) after(d time.Duration, do func()) {
	w.begin()
	w.order++
	heap.Push(&w.agenda, entry{at: w.now.Add(d), order: w.order, do: do})
}

// epoch is when the virtual time begins.
const epoch = 1_800_000_000

// begin sets the clock, before anything is planned.
func (w *World) begin() {
	if w.now.IsZero() {
		w.now = time.Unix(epoch, 0)
	}
}

// Run plays the world.
func (w *World) Run() {
	w.begin()
	w.start = w.now.Add(w.Warm)
	w.random = rand.New(rand.NewPCG(w.Seed, 1))
	w.jobs = rand.New(rand.NewPCG(w.Seed, 2))
	w.network = rand.New(rand.NewPCG(w.Seed, 3))
	w.byLink = make(map[string]*host)
	w.targets = make(map[string]*target)
	w.cuts = make(map[[2]string]bool)
	w.live = make(map[string]string)
	w.starts = make(map[string]int)
	w.done = make(map[string]map[string]bool)
	w.clients = make(map[string]*client)
	w.store = newStore(w)
	w.build()
	w.arrive()
	for _, f := range w.Faults {
		w.plan(f)
	}
	end := w.start.Add(w.Length + w.Drain)
	for len(w.agenda) > 0 {
		e := heap.Pop(&w.agenda).(entry)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		e.do()
	}
	w.close()
}

// build makes the hosts and targets.
func (w *World) build() {
	for z, zone := range w.Layout.Zones {
		for i := range w.Layout.Targets {
			w.addTarget(fmt.Sprintf("t%d-%02d", z, i), zone, i)
		}
		for i := range w.Layout.Hosts {
			h := &host{world: w, name: fmt.Sprintf("h%d-%d", z, i), zone: zone}
			h.address = fmt.Sprintf("10.%d.0.%d:1", z+1, i+1)
			w.hosts = append(w.hosts, h)
			w.byLink[h.address] = h
			w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), h.boot)
		}
	}
}

// broken notes that something did not hold.
func (w *World) broken(format string, args ...any) {
	if len(w.Broken) < 20 {
		w.Broken = append(w.Broken, fmt.Sprintf("%.3f s: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// delay returns the one-way time between two zones, with a little jitter.
func (w *World) delay(a, b string) time.Duration {
	d := w.Layout.Hop
	if a == b {
		d = w.Layout.Near
	}
	return d + time.Duration(w.network.Int64N(int64(200*time.Microsecond)))
}

// passes reports whether messages get from one place to another. Places are
// zones, names of hosts and targets, and "store".
func (w *World) passes(from, fromZone, to, toZone string) bool {
	for _, a := range []string{from, fromZone} {
		for _, b := range []string{to, toZone} {
			if a != b && w.cuts[[2]string{a, b}] {
				return false
			}
		}
	}
	return true
}

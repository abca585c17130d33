package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// Class is a class of jobs of one kind.
type Class struct {
	Kind string
	// Part is the share of a client's jobs that belong to this class.
	Part float64
	// Least and Most are the bounds of the number of tasks, which is log-uniform.
	Least, Most int
	// Short and Long are the bounds of the ordinary run time, which is log-uniform.
	Short, Long time.Duration
	// Tail is the share of the tasks that run for Longer instead.
	Tail   float64
	Longer time.Duration
}

// Usual returns the classes of an ordinary day: many quick confirmations, some
// checks and few manifests. Some tasks of the manifests run for several seconds.
func Usual() []Class {
	return []Class{
		{Kind: "confirm", Part: 0.6, Least: 1, Most: 3, Short: 50 * time.Millisecond, Long: 150 * time.Millisecond},
		{Kind: "check", Part: 0.37, Least: 2, Most: 16, Short: 100 * time.Millisecond, Long: 500 * time.Millisecond},
		{Kind: "manifest", Part: 0.03, Least: 20, Most: 460, Short: 50 * time.Millisecond, Long: time.Second, Tail: 0.01, Longer: 4 * time.Second},
	}
}

// Small returns the class of a client whose jobs have few short tasks.
func Small() []Class {
	return []Class{{Kind: "confirm", Part: 1, Least: 1, Most: 4, Short: 50 * time.Millisecond, Long: time.Second}}
}

// Heavy returns the class of a client with large jobs.
func Heavy() []Class {
	return []Class{{Kind: "manifest", Part: 1, Least: 50, Most: 460, Short: 50 * time.Millisecond, Long: time.Second, Tail: 0.01, Longer: 4 * time.Second}}
}

// maxEstimateError is the maximum factor by which a declared run time deviates from
// the actual run time.
const maxEstimateError = 10

// Draw returns a random job of one of the classes, with the actual run times of its
// tasks.
func Draw(r *rand.Rand, classes []Class, deadline time.Duration) (shallotrouter.Job, []time.Duration) {
	c := pickClass(r, classes)
	n := int(logUniform(r, float64(c.Least), float64(c.Most+1)))
	job := shallotrouter.Job{Service: Service, Deadline: shallotrouter.Duration(deadline)}
	runTimes := make([]time.Duration, n)
	for i := range runTimes {
		runTimes[i] = time.Duration(logUniform(r, float64(c.Short), float64(c.Long)))
		if r.Float64() < c.Tail {
			runTimes[i] = c.Longer
		}
		declared := time.Duration(float64(runTimes[i]) * logUniform(r, 1.0/maxEstimateError, maxEstimateError))
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: c.Kind, Expect: shallotrouter.Duration(declared)})
	}
	return job, runTimes
}

func pickClass(r *rand.Rand, classes []Class) Class {
	x := r.Float64()
	for _, c := range classes {
		if x -= c.Part; x < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}

func logUniform(r *rand.Rand, low, high float64) float64 {
	return math.Exp(math.Log(low) + r.Float64()*(math.Log(high)-math.Log(low)))
}

// meanWork returns the mean slot time that a job of the classes takes.
func meanWork(classes []Class) time.Duration {
	const samples = 20_000
	r := rand.New(rand.NewPCG(1, 1))
	var total time.Duration
	for range samples {
		_, runTimes := Draw(r, classes, time.Second)
		for _, runTime := range runTimes {
			total += runTime
		}
	}
	return total / samples
}

// Source is a client that submits jobs at random times, as a Poisson process.
type Source struct {
	Client  string
	Classes []Class
	// Load is the client's mean demand, in slots.
	Load float64
	// Deadline is the deadline of each job.
	Deadline time.Duration
	// Land chooses the entry host of a job; nil means a uniformly random host.
	Land func(r *rand.Rand, nodes []*Node) *Node
	// Poison makes every task of the client fail.
	Poison bool
}

// Play submits the jobs of the source from now on until the simulation ends.
func (w *World) Play(s Source) {
	meanInterval := meanWork(s.Classes).Seconds() / s.Load
	w.scheduleNextJob(s, meanInterval)
}

func (w *World) scheduleNextJob(s Source, meanInterval float64) {
	delay := time.Duration(w.Random.ExpFloat64() * meanInterval * float64(time.Second))
	w.After(delay, func() {
		job, runs := Draw(w.Random, s.Classes, s.Deadline)
		w.Submit(w.pickHost(s), s.Client, job, runs).Poison = s.Poison
		w.scheduleNextJob(s, meanInterval)
	})
}

func (w *World) pickHost(s Source) *Node {
	if s.Land != nil {
		return s.Land(w.Random, w.Nodes)
	}
	return w.Nodes[w.Random.IntN(len(w.Nodes))]
}

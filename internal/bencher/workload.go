package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// JobClass is a class of jobs of one kind.
type JobClass struct {
	Kind string
	// Share is the share of a client's jobs that belong to this class.
	Share float64
	// MinTasks and MaxTasks are the bounds of the number of tasks, which is log-uniform.
	MinTasks, MaxTasks int
	// MinRunTime and MaxRunTime are the bounds of the ordinary run time, which is
	// log-uniform.
	MinRunTime, MaxRunTime time.Duration
	// LongTaskShare is the share of the tasks that run for LongTaskRunTime
	// instead.
	LongTaskShare   float64
	LongTaskRunTime time.Duration
}

// OrdinaryClasses returns the classes of an ordinary day: many quick confirmations, some
// checks and few manifests. Some tasks of the manifests run for several seconds.
func OrdinaryClasses() []JobClass {
	return []JobClass{
		{Kind: "confirm", Share: 0.6, MinTasks: 1, MaxTasks: 3, MinRunTime: 50 * time.Millisecond, MaxRunTime: 150 * time.Millisecond},
		{Kind: "check", Share: 0.37, MinTasks: 2, MaxTasks: 16, MinRunTime: 100 * time.Millisecond, MaxRunTime: 500 * time.Millisecond},
		{Kind: "manifest", Share: 0.03, MinTasks: 20, MaxTasks: 460, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second, LongTaskShare: 0.01, LongTaskRunTime: 4 * time.Second},
	}
}

// SmallClasses returns the class of a client whose jobs have few short tasks.
func SmallClasses() []JobClass {
	return []JobClass{{Kind: "confirm", Share: 1, MinTasks: 1, MaxTasks: 4, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second}}
}

// HeavyClasses returns the class of a client with large jobs.
func HeavyClasses() []JobClass {
	return []JobClass{{Kind: "manifest", Share: 1, MinTasks: 50, MaxTasks: 460, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second, LongTaskShare: 0.01, LongTaskRunTime: 4 * time.Second}}
}

// maxEstimateError is the maximum factor by which a declared run time deviates from
// the actual run time.
const maxEstimateError = 10

// RandomJob returns a random job of one of the classes, with the actual run times of its
// tasks.
func RandomJob(r *rand.Rand, classes []JobClass, deadline time.Duration) (shallotrouter.Job, []time.Duration) {
	c := pickClass(r, classes)
	n := int(logUniform(r, float64(c.MinTasks), float64(c.MaxTasks+1)))
	job := shallotrouter.Job{Service: Service, Deadline: shallotrouter.Duration(deadline)}
	runTimes := make([]time.Duration, n)
	for i := range runTimes {
		runTimes[i] = time.Duration(logUniform(r, float64(c.MinRunTime), float64(c.MaxRunTime)))
		if r.Float64() < c.LongTaskShare {
			runTimes[i] = c.LongTaskRunTime
		}
		declared := time.Duration(float64(runTimes[i]) * logUniform(r, 1.0/maxEstimateError, maxEstimateError))
		job.Tasks = append(job.Tasks, shallotrouter.Task{Kind: c.Kind, Expect: shallotrouter.Duration(declared)})
	}
	return job, runTimes
}

func pickClass(r *rand.Rand, classes []JobClass) JobClass {
	x := r.Float64()
	for _, c := range classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}

func logUniform(r *rand.Rand, low, high float64) float64 {
	return math.Exp(math.Log(low) + r.Float64()*(math.Log(high)-math.Log(low)))
}

// meanWork returns the mean slot time that a job of the classes takes.
func meanWork(classes []JobClass) time.Duration {
	const samples = 20_000
	r := rand.New(rand.NewPCG(1, 1))
	var total time.Duration
	for range samples {
		_, runTimes := RandomJob(r, classes, time.Second)
		for _, runTime := range runTimes {
			total += runTime
		}
	}
	return total / samples
}

// JobSource is a client that submits jobs at random times, as a Poisson process.
type JobSource struct {
	Client  string
	Classes []JobClass
	// Load is the client's mean demand, in slots.
	Load float64
	// Deadline is the deadline of each job.
	Deadline time.Duration
	// PickHost chooses the entry host of a job; nil means a uniformly random host.
	PickHost func(r *rand.Rand, nodes []*EntryHost) *EntryHost
	// AlwaysFails makes every task of the client fail.
	AlwaysFails bool
}

// AddSource submits the jobs of the source from now on until the simulation ends.
func (sm *Simulation) AddSource(s JobSource) {
	meanInterval := meanWork(s.Classes).Seconds() / s.Load
	sm.scheduleNextJob(s, meanInterval)
}

func (sm *Simulation) scheduleNextJob(s JobSource, meanInterval float64) {
	delay := time.Duration(sm.Random.ExpFloat64() * meanInterval * float64(time.Second))
	sm.Schedule(delay, func() {
		job, runs := RandomJob(sm.Random, s.Classes, s.Deadline)
		sm.Submit(sm.pickHost(s), s.Client, job, runs).AlwaysFails = s.AlwaysFails
		sm.scheduleNextJob(s, meanInterval)
	})
}

func (sm *Simulation) pickHost(s JobSource) *EntryHost {
	if s.PickHost != nil {
		return s.PickHost(sm.Random, sm.EntryHosts)
	}
	return sm.EntryHosts[sm.Random.IntN(len(sm.EntryHosts))]
}

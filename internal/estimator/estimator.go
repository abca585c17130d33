// Package estimator learns the run times of tasks by kind, since declared run
// times are often far off.
package estimator

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 512
	// overflow is the kind that stands for all further ones.
	overflow = "\x00other"
	// priorSamples is the weight of a declared run time against measured ones.
	priorSamples = 3
	// meanWindow is the number of samples over which the mean forgets.
	meanWindow = 200
	// window is the number of samples after which the histogram starts anew.
	window = 4000
	// refresh is the number of samples between two readings of the histogram.
	refresh = 50
	// trusted is the number of samples before the histogram tells anything; the
	// first tasks to end are the short ones.
	trusted = 400
	// levels is the number of levels of surprise. The part of the tasks that
	// reaches level k is exp(-k).
	levels = 7
	// shortest and longest bound the recorded run times in milliseconds.
	shortest = 1
	longest  = 3_600_000
)

// standard is the run time assumed when nothing is declared or learned.
const standard = 300 * time.Millisecond

// Estimator holds what was learned of each kind. It is not safe for concurrent
// use. The zero value is ready.
type Estimator struct {
	kinds map[string]*kind
}

type kind struct {
	count int
	mean  float64 // seconds
	hist  *hdrhistogram.Histogram
	// steps holds the run times that reach each level, as far as known.
	steps []time.Duration
}

// Learn records one measured run time of a kind.
func (e *Estimator) Learn(name string, elapsed time.Duration) {
	k := e.find(name)
	if k == nil {
		k = e.add(name)
	}
	k.count++
	k.mean += (elapsed.Seconds() - k.mean) / float64(min(k.count, meanWindow))
	millis := min(max(elapsed.Milliseconds(), shortest), longest)
	if err := k.hist.RecordValue(millis); err != nil {
		return
	}
	if k.count%refresh == 0 {
		k.read()
	}
	if k.hist.TotalCount() >= window {
		k.hist.Reset()
	}
}

// read takes the levels that the histogram's samples can tell apart. After a
// reset the old levels stay until as many are known again.
func (k *kind) read() {
	const percent = 100
	known := min(levels, int(math.Log(float64(k.hist.TotalCount()))))
	if k.count < trusted || known < len(k.steps) {
		return
	}
	k.steps = k.steps[:0]
	for level := 1; level <= known; level++ {
		quantile := percent * (1 - math.Exp(-float64(level)))
		k.steps = append(k.steps, time.Duration(k.hist.ValueAtQuantile(quantile))*time.Millisecond)
	}
}

// Surprise tells how unusual it is for a task of the kind to run for so long or
// longer: the part of the tasks that does is about exp(-surprise). It is 0 while
// too little is known.
func (e *Estimator) Surprise(name string, elapsed time.Duration) int {
	k := e.find(name)
	if k == nil {
		return 0
	}
	level := 0
	for level < len(k.steps) && elapsed > k.steps[level]+grain {
		level++
	}
	return level
}

// grain absorbs the histogram's resolution for short run times.
const grain = 10 * time.Millisecond

// Mean returns the expected run time of a kind, given what its submission
// declared; zero means that nothing was declared.
func (e *Estimator) Mean(name string, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = standard
	}
	k := e.find(name)
	if k == nil {
		return declared
	}
	if k.count >= refresh {
		return seconds(k.mean)
	}
	n := float64(k.count)
	return seconds((k.mean*n + declared.Seconds()*priorSamples) / (n + priorSamples))
}

func (e *Estimator) find(name string) *kind {
	k := e.kinds[name]
	if k == nil && len(e.kinds) >= maxKinds {
		k = e.kinds[overflow]
	}
	return k
}

func (e *Estimator) add(name string) *kind {
	if e.kinds == nil {
		e.kinds = make(map[string]*kind)
	}
	if len(e.kinds) >= maxKinds {
		name = overflow
	}
	k := &kind{hist: hdrhistogram.New(shortest, longest, 1)}
	e.kinds[name] = k
	return k
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

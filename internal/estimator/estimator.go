// Package estimator learns the run times of tasks by kind, since declared run
// times are often far off.
package estimator

import (
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
	// tailWindow is the number of samples after which the tail starts anew.
	tailWindow = 2000
	// tailRefresh is the number of samples between two readings of the tail.
	tailRefresh = 50
	// tailQuantile is the quantile, in percent, that Tail reports.
	tailQuantile = 99
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
	tail  time.Duration
	hist  *hdrhistogram.Histogram
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
	if k.count%tailRefresh == 0 {
		k.tail = time.Duration(k.hist.ValueAtQuantile(tailQuantile)) * time.Millisecond
	}
	if k.hist.TotalCount() >= tailWindow {
		k.hist.Reset()
	}
}

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
	if k.count >= tailRefresh {
		return seconds(k.mean)
	}
	n := float64(k.count)
	return seconds((k.mean*n + declared.Seconds()*priorSamples) / (n + priorSamples))
}

// Tail returns a run time that few tasks of the kind exceed. It reports false
// while too little was learned.
func (e *Estimator) Tail(name string) (time.Duration, bool) {
	k := e.find(name)
	if k == nil || k.tail == 0 {
		return 0, false
	}
	return k.tail, true
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

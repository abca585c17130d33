// Package estimator learns the run times of tasks by kind, because declared run times
// are often far off.
package estimator

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxKinds is the maximum number of kinds with their own statistics.
	maxKinds = 512
	// otherKinds is the key of the shared statistics of all further kinds.
	otherKinds = "\x00other"
	// declaredWeight is the weight of a declared run time in the mean, as a number of
	// measured samples.
	declaredWeight = 3
	// meanSamples is the time constant of the moving average, in samples.
	meanSamples = 200
	// histogramSamples is the number of samples after which the histogram is reset.
	histogramSamples = 4000
	// updateInterval is the number of samples between two updates of the thresholds. A
	// mean of at least as many samples ignores the declared run time.
	updateInterval = 50
	// minSamples is the number of samples that the thresholds require. Fewer samples are
	// biased towards short run times because short tasks end first.
	minSamples = 400
	// maxLevel is the highest level of SurpriseLevel. The fraction of tasks that reach
	// level k is exp(-k).
	maxLevel = 7
	// minRunTimeMillis and maxRunTimeMillis limit the recorded run times.
	minRunTimeMillis = 1
	maxRunTimeMillis = 3_600_000
)

// defaultRunTime is the expected run time if none is declared or learned.
const defaultRunTime = 300 * time.Millisecond

// Estimator holds run time statistics by kind of task. The zero value is ready to use. It
// is not safe for concurrent use.
type Estimator struct {
	kinds map[string]*kind
}

type kind struct {
	samples     int
	meanSeconds float64
	histogram   *hdrhistogram.Histogram
	// thresholds holds the run time above which each level of SurpriseLevel is reached,
	// from level 1 up to the highest known level.
	thresholds []time.Duration
}

// Record records a measured run time of a kind.
func (e *Estimator) Record(name string, elapsed time.Duration) {
	k := e.kindOf(name)
	if k == nil {
		k = e.addKind(name)
	}
	k.samples++
	k.meanSeconds += (elapsed.Seconds() - k.meanSeconds) / float64(min(k.samples, meanSamples))
	millis := min(max(elapsed.Milliseconds(), minRunTimeMillis), maxRunTimeMillis)
	if err := k.histogram.RecordValue(millis); err != nil {
		return
	}
	if k.samples%updateInterval == 0 {
		k.updateThresholds()
	}
	if k.histogram.TotalCount() >= histogramSamples {
		k.histogram.Reset()
	}
}

// updateThresholds updates the thresholds of the levels for which the histogram has enough
// samples. After a reset the old thresholds stay until as many levels are known again.
func (k *kind) updateThresholds() {
	const percent = 100
	known := min(maxLevel, int(math.Log(float64(k.histogram.TotalCount()))))
	if k.samples < minSamples || known < len(k.thresholds) {
		return
	}
	k.thresholds = k.thresholds[:0]
	for level := 1; level <= known; level++ {
		quantile := percent * (1 - math.Exp(-float64(level)))
		k.thresholds = append(k.thresholds, time.Duration(k.histogram.ValueAtQuantile(quantile))*time.Millisecond)
	}
}

// SurpriseLevel returns how unusual it is for a task of the kind to run for at least the
// elapsed time, as a level: about exp(-level) of the tasks do. It returns 0 while there
// are too few samples.
func (e *Estimator) SurpriseLevel(name string, elapsed time.Duration) int {
	k := e.kindOf(name)
	if k == nil {
		return 0
	}
	level := 0
	for level < len(k.thresholds) && elapsed > k.thresholds[level]+histogramTolerance {
		level++
	}
	return level
}

// histogramTolerance compensates for the histogram's limited resolution at short run
// times.
const histogramTolerance = 10 * time.Millisecond

// ExpectedRunTime returns the expected run time of a kind: the learned mean, combined with the
// declared run time while there are few samples. A declared time of 0 means that none was
// declared.
func (e *Estimator) ExpectedRunTime(name string, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultRunTime
	}
	k := e.kindOf(name)
	if k == nil {
		return declared
	}
	if k.samples >= updateInterval {
		return secondsToDuration(k.meanSeconds)
	}
	samples := float64(k.samples)
	return secondsToDuration((k.meanSeconds*samples + declared.Seconds()*declaredWeight) / (samples + declaredWeight))
}

func (e *Estimator) kindOf(name string) *kind {
	k := e.kinds[name]
	if k == nil && len(e.kinds) >= maxKinds {
		k = e.kinds[otherKinds]
	}
	return k
}

func (e *Estimator) addKind(name string) *kind {
	if e.kinds == nil {
		e.kinds = make(map[string]*kind)
	}
	if len(e.kinds) >= maxKinds {
		name = otherKinds
	}
	k := &kind{histogram: hdrhistogram.New(minRunTimeMillis, maxRunTimeMillis, 1)}
	e.kinds[name] = k
	return k
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Package profiler learns how fast each target is compared with the other targets of its kind.
package profiler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// window is the number of runs over which a target's speed is averaged. The error of the mean of
	// 60 runs whose logarithms deviate by 0.3 is 4 %.
	window = 60
	// minSamples is the number of runs from which a target counts in the estimate of the spread.
	minSamples = 5
	// minTargets is the number of targets from which the spread is estimated.
	minTargets = 4
	// maxStep bounds the logarithm by which one run can differ from the mean (Huber's estimator): a
	// factor of 2. Three in a hundred runs that take seven times as long shift the mean by 2 %, for
	// all targets alike.
	maxStep = 0.7
	// minNoise is the least variance of the logarithms of run times: tasks of one job differ by 15 %.
	minNoise = 0.02
	// minSpread and keepSpread are the standard deviations of the logarithms of the targets' speeds
	// from which and down to which speeds are used. Below, targets are taken to be equal. With ten
	// runs a target, equal targets seem to differ by 0.06.
	minSpread, keepSpread = 0.12, 0.09
	// refreshInterval is how often factors are computed from the samples. A target has finished a
	// few runs in that time.
	refreshInterval = 250 * time.Millisecond
	// halfLife is the time without runs after which a target's samples count half.
	halfLife = 5 * time.Minute
	// steadyTrials is the number of consecutive failed trials after which a target counts as steadily
	// slow. They take 13 s, twice the usual length of a fault.
	steadyTrials = 4
	// maxTrialSpread is the largest difference of the logarithms of these trials: a factor of 2.
	maxTrialSpread = 0.7
	// recentRuns is how long a run that was done speaks for its target: longer than the usual fault of
	// 6 s, so that an idle target is not worse than one that has just recovered.
	recentRuns = 10 * time.Second
	// maxLogFactor bounds the logarithm of a factor that another host may report: 20.
	maxLogFactor = 3
	// maxInheritedSamples bounds the samples of a speed that another host has learned, so that 20 runs
	// here count as much.
	maxInheritedSamples = 20
)

// Profiler holds the profiles of all targets. A target's factor is an empirical Bayes estimate: the
// mean of its runs, shrunk towards the mean of its kind by the ratio of the variance between targets
// (spread) to the variance of such a mean. The zero value is empty.
type Profiler struct {
	profiles map[string]*Profile // by target ID
	// spread is the variance of the logarithms of speeds between targets of one kind, and noise that
	// between runs at one target.
	spread, noise float64
	// inherited is the spread that another host reported; it applies until enough targets are known.
	inherited   float64
	active      bool
	refreshedAt time.Time
}

// Profile is what is known of the speed of one process of a target.
type Profile struct {
	target, kind string
	process      int64
	count        int     // runs, at most window
	mean         float64 // of the logarithms of run times over the expected ones at the kind's speed
	variance     float64 // of these logarithms
	updatedAt    time.Time
	own          int // runs seen here
	factor       float64
	trials       []float64 // slowdowns of the last consecutive failed trials
	// doneAt and failedAt are when a run was last done there and when one last failed.
	doneAt, failedAt time.Time
}

// Speed is a target's learned speed for other hosts.
type Speed struct {
	Target string `cbor:"1,keyasint"`
	// Process is the start time of the target's process in Unix milliseconds.
	Process int64 `cbor:"2,keyasint"`
	Count   int   `cbor:"3,keyasint"`
	// Log is the logarithm, in thousandths, of the factor by which tasks take longer there than at
	// other targets of its kind.
	Log int `cbor:"4,keyasint"`
	// Age is the time since the last sample in seconds.
	Age int `cbor:"5,keyasint,omitempty"`
}

// Profile returns the profile of a target's process. It is new if there is none, or if that is of
// another process or kind.
func (p *Profiler) Profile(target, kind string, process int64) *Profile {
	f := p.profiles[target]
	if f != nil && f.process == process && (f.kind == kind || f.own == 0) {
		f.kind = kind
		return f
	}
	if p.profiles == nil {
		p.profiles = make(map[string]*Profile)
	}
	f = &Profile{target: target, kind: kind, process: process, factor: 1}
	p.profiles[target] = f
	return f
}

// Forget removes the profile of a target.
func (p *Profiler) Forget(target string) { delete(p.profiles, target) }

// Factor returns the factor by which tasks take longer than at an average target of the kind.
func (f *Profile) Factor() float64 {
	if f == nil {
		return 1
	}
	return f.factor
}

// Record adds a finished run: the logarithm of its run time over the expected one at the speed of the
// target's kind.
func (f *Profile) Record(deviation float64, now time.Time) {
	f.count, f.own, f.updatedAt = min(f.count+1, window), f.own+1, now
	weight := 1 / float64(f.count)
	step := min(max(deviation-f.mean, -maxStep), maxStep)
	f.mean += weight * step
	f.variance += weight * (step*step*(1-weight) - f.variance)
}

// RecordOutcome records whether a run was done or has failed.
func (f *Profile) RecordOutcome(done bool, now time.Time) {
	if done {
		f.doneAt = now
	} else {
		f.failedAt = now
	}
}

// HasDoneWell reports whether the target has lately done runs, and none has failed since.
func (f *Profile) HasDoneWell(now time.Time) bool {
	return !f.doneAt.IsZero() && now.Sub(f.doneAt) <= recentRuns && f.doneAt.After(f.failedAt)
}

// RecordTrial adds a trial of an ejected target: the logarithm of its run time over the expected one
// there, and whether it failed. It reports whether the target has become steadily slow, so that its
// speed is replaced by that of the trials.
func (f *Profile) RecordTrial(logSlowdown float64, failed bool) bool {
	if !failed {
		f.trials = nil
		return false
	}
	f.trials = append(f.trials, logSlowdown)
	if len(f.trials) < steadyTrials {
		return false
	}
	sum := 0.0
	for _, t := range f.trials {
		sum += t
	}
	isSteady := slices.Max(f.trials)-slices.Min(f.trials) <= maxTrialSpread
	if isSteady {
		f.mean += sum / float64(len(f.trials))
		f.count, f.variance = minSamples, 0
		f.trials = nil
		return true
	}
	f.trials = f.trials[1:]
	return false
}

// weight returns the number of samples that a profile is worth, which falls with age.
func (f *Profile) weight(now time.Time) float64 {
	return float64(f.count) * math.Exp2(-max(now.Sub(f.updatedAt), 0).Seconds()/halfLife.Seconds())
}

// Refresh computes the factors of all profiles if it is due. It reports whether the use of factors
// has begun or ended.
func (p *Profiler) Refresh(now time.Time) bool {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return false
	}
	p.refreshedAt = now
	known := p.knownByKind()
	p.estimateSpread(known, now)
	before := p.active
	threshold := minSpread
	if p.active {
		threshold = keepSpread
	}
	p.active = p.spread >= threshold*threshold
	means := make(map[string]float64, len(known))
	for kind, list := range known {
		for _, f := range list {
			means[kind] += f.mean / float64(len(list))
		}
	}
	for _, f := range p.profiles {
		f.factor = 1
		if weight := f.weight(now); p.active && weight > 0 {
			f.factor = math.Exp(p.spread / (p.spread + p.noise/weight) * (f.mean - means[f.kind]))
		}
	}
	return before != p.active
}

// knownByKind returns the profiles with enough runs, by kind of target, sorted by target ID.
func (p *Profiler) knownByKind() map[string][]*Profile {
	known := make(map[string][]*Profile)
	for _, f := range p.sorted() {
		if f.own >= minSamples {
			known[f.kind] = append(known[f.kind], f)
		}
	}
	return known
}

func (p *Profiler) sorted() []*Profile {
	list := make([]*Profile, 0, len(p.profiles))
	for _, f := range p.profiles {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *Profile) int { return cmp.Compare(a.target, b.target) })
	return list
}

// estimateSpread estimates the variances by the method of moments (DerSimonian and Laird): the
// variance between the means of targets beyond what the noise of their runs explains.
func (p *Profiler) estimateSpread(known map[string][]*Profile, now time.Time) {
	noise, weights, targets := 0.0, 0.0, 0
	kinds := slices.Sorted(maps.Keys(known)) // the order of the sums must not vary
	for _, kind := range kinds {
		for _, f := range known[kind] {
			w := f.weight(now)
			noise, weights, targets = noise+w*f.variance, weights+w, targets+1
		}
	}
	if targets < minTargets || weights == 0 {
		p.spread, p.noise = p.inherited, max(p.noise, minNoise)
		return
	}
	p.noise = max(noise/weights, minNoise)
	excess, scale := 0.0, 0.0
	for _, kind := range kinds {
		list := known[kind]
		sum, squares, mean := 0.0, 0.0, 0.0
		for _, f := range list {
			w := f.weight(now)
			sum, squares, mean = sum+w, squares+w*w, mean+w*f.mean
		}
		mean /= sum
		for _, f := range list {
			excess += f.weight(now) * (f.mean - mean) * (f.mean - mean)
		}
		excess -= float64(len(list)-1) * p.noise
		scale += sum - squares/sum
	}
	p.spread = max(excess/max(scale, 1), 0)
}

// Spread returns the standard deviation of the logarithms of speeds between targets of one kind, or 0
// while they count as equal.
func (p *Profiler) Spread() float64 {
	if !p.active {
		return 0
	}
	return math.Sqrt(p.spread)
}

// Export returns the speeds of the targets that differ most, at most limit, sorted by target ID, and
// the spread in thousandths.
func (p *Profiler) Export(now time.Time, limit int) ([]Speed, int) {
	if !p.active {
		return nil, 0
	}
	var list []Speed
	for _, f := range p.sorted() {
		if log := int(math.Round(1000 * math.Log(f.factor))); log != 0 {
			list = append(list, Speed{Target: f.target, Process: f.process, Count: f.count, Log: log, Age: int(now.Sub(f.updatedAt).Seconds())})
		}
	}
	slices.SortStableFunc(list, func(a, b Speed) int { return cmp.Compare(abs(b.Log), abs(a.Log)) })
	list = list[:min(len(list), limit)]
	slices.SortFunc(list, func(a, b Speed) int { return cmp.Compare(a.Target, b.Target) })
	return list, int(math.Round(1000 * p.Spread()))
}

// Import replaces all profiles by the speeds that another host has learned.
func (p *Profiler) Import(speeds []Speed, spread int, now time.Time) {
	*p = Profiler{inherited: float64(spread) * float64(spread) / 1e6}
	for _, s := range speeds {
		f := p.Profile(s.Target, "", s.Process)
		f.count, f.mean = min(s.Count, maxInheritedSamples), float64(s.Log)/1000
		f.updatedAt = now.Add(-time.Duration(s.Age) * time.Second)
	}
	p.Refresh(now)
}

// IsSound reports whether a host can have learned the speed.
func (s Speed) IsSound() bool {
	const maxAge = 7 * 24 * 3600
	return s.Target != "" && s.Process >= 0 && s.Count >= 0 && s.Count <= window && s.Log >= -1000*maxLogFactor && s.Log <= 1000*maxLogFactor && s.Age >= 0 && s.Age <= maxAge
}

// IsSoundSpread reports whether a host can have learned the spread.
func IsSoundSpread(spread int) bool { return spread >= 0 && spread <= 1000*maxLogFactor }

func abs(n int) int { return max(n, -n) }

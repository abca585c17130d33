package router

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// history is what was learned of a route: how the logarithm of its tasks' run time
// depends on that of the declared one, and how long its clients wait for an answer.
type history struct {
	count        int
	meanX, meanY float64 // declared and measured, logarithms of seconds
	varX, covXY  float64
	timeouts     timeouts
	// outliers is by how many more of the last tasks were outliers than not.
	outliers int
}

// RouteStats is a history on its way to another host, so that a new holder does not
// begin to learn anew.
type RouteStats struct {
	Route string  `cbor:"1,keyasint"`
	Count int     `cbor:"2,keyasint"`
	MeanX float64 `cbor:"3,keyasint"`
	MeanY float64 `cbor:"4,keyasint"`
	VarX  float64 `cbor:"5,keyasint"`
	CovXY float64 `cbor:"6,keyasint"`
	// Timeouts counts the jobs whose clients' timeouts were taken, with their mean
	// and variance in seconds.
	Timeouts    int     `cbor:"7,keyasint,omitempty"`
	MeanTimeout float64 `cbor:"8,keyasint,omitempty"`
	VarTimeout  float64 `cbor:"9,keyasint,omitempty"`
}

// KindSpeed is how the tasks of one kind of target compare with others, as the
// logarithm of a factor on the run time.
type KindSpeed struct {
	Kind  string  `cbor:"1,keyasint"`
	Count int     `cbor:"2,keyasint"`
	Log   float64 `cbor:"3,keyasint"`

	factor float64 // exp(Log) when it was last asked for
	asked  float64 // Log at that time
}

const (
	// historyWindow is the number of tasks over which a history forgets.
	historyWindow = 400
	// historyTrust is the number of tasks after which a history is used.
	historyTrust = 20
	// priorSlope is how much of a deviation of the declared run time from the
	// usual is believed before it was learned.
	priorSlope = 0.5
	// speedWindow is the number of tasks over which a kind's speed forgets.
	speedWindow = 200
	// speedTrust is the number of tasks after which a kind's speed is used.
	speedTrust = 10
	// outlier bounds the deviation that is learned from: beyond a factor of 3
	// the target is at fault rather than the estimate.
	outlier = 1.1
	// usual is the run time assumed when nothing is declared or learned.
	usual = 300 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// declared returns what a job declares as the run time of a task.
func declared(spec *Job) time.Duration {
	if spec.ExpectedRunTime <= 0 {
		return usual
	}
	return spec.ExpectedRunTime
}

// predict returns the expected run time of one task at a target of usual speed.
func (r *Router) predict(spec *Job) time.Duration {
	x := math.Log(declared(spec).Seconds())
	h := r.learned[spec.Route]
	if h == nil || h.count < historyTrust || !r.uses(RunTimePrediction) {
		return declared(spec)
	}
	return seconds(math.Exp(h.meanY + h.slope()*(x-h.meanX)))
}

// slope returns how much of a deviation of the declared run time is believed.
func (h *history) slope() float64 {
	const trusted, flat = 100, 1e-3
	if h.count < trusted || h.varX < flat {
		return priorSlope
	}
	return min(max(h.covXY/h.varX, 0), 1)
}

// learnFrom takes the run time of a task that is done.
func (r *Router) learnFrom(n *run) {
	ran := r.now.Sub(n.sent)
	if ran <= 0 || n.adopted {
		return
	}
	kind := n.target.kind()
	h := r.historyOf(n.job.spec.Route)
	y := math.Log(ran.Seconds()) - r.speedLog(kind)
	if h.count >= historyTrust {
		off := y - math.Log(r.predict(&n.job.spec).Seconds())
		if math.Abs(off) > outlier {
			h.noteOutlier()
			return
		}
		h.outliers = max(h.outliers-1, 0)
		r.learnSpeed(kind, off)
	}
	h.take(math.Log(declared(&n.job.spec).Seconds()), y)
}

// historyOf returns what was learned of a route.
func (r *Router) historyOf(route string) *history {
	h := r.learned[route]
	if h == nil {
		h = &history{}
		r.learned[route] = h
	}
	return h
}

// noteOutlier notes an outlier. When most tasks are, what was learned is wrong, and learning
// begins anew.
func (h *history) noteOutlier() {
	h.outliers++
	if h.outliers > historyTrust {
		*h = history{timeouts: h.timeouts}
	}
}

// take adds one task.
func (h *history) take(x, y float64) {
	h.count++
	w := 1 / float64(min(h.count, historyWindow))
	dx, dy := x-h.meanX, y-h.meanY
	h.meanX += w * dx
	h.meanY += w * dy
	h.varX += w * (dx*(x-h.meanX) - h.varX)
	h.covXY += w * (dx*(y-h.meanY) - h.covXY)
}

// learnSpeed takes how far a run was off the prediction for its kind of target.
func (r *Router) learnSpeed(kind string, off float64) {
	s := r.speeds[kind]
	if s == nil {
		s = &KindSpeed{Kind: kind}
		r.speeds[kind] = s
	}
	s.Count++
	s.Log += off / float64(min(s.Count, speedWindow))
}

// speedLog returns the logarithm of a kind's factor on the run time.
func (r *Router) speedLog(kind string) float64 {
	if s := r.speeds[kind]; s != nil && s.Count >= speedTrust && r.uses(KindSpeedLearning) {
		return s.Log
	}
	return 0
}

// speed returns a kind's factor on the run time.
func (r *Router) speed(kind string) float64 {
	s := r.speeds[kind]
	if s == nil || s.Count < speedTrust || !r.uses(KindSpeedLearning) {
		return 1
	}
	if s.factor == 0 || s.asked != s.Log {
		s.factor, s.asked = math.Exp(s.Log), s.Log
	}
	return s.factor
}

// expectAt returns the expected run time of one task of a job at a target.
func (r *Router) expectAt(j *job, t *target) time.Duration {
	return time.Duration(float64(j.task) * r.speed(t.kind()))
}

// kind returns the target's kind, which is its first label.
func (t *Target) kind() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[0]
}

// lessons returns what was learned, for the other hosts.
func (r *Router) lessons() ([]RouteStats, []KindSpeed) {
	var lessons []RouteStats
	for _, route := range sortedKeys(r.learned) {
		h := r.learned[route]
		lessons = append(lessons, RouteStats{
			Route: route, Count: h.count, MeanX: h.meanX, MeanY: h.meanY, VarX: h.varX, CovXY: h.covXY,
			Timeouts: h.timeouts.count, MeanTimeout: h.timeouts.mean, VarTimeout: h.timeouts.variance,
		})
	}
	var speeds []KindSpeed
	for _, kind := range sortedKeys(r.speeds) {
		speeds = append(speeds, *r.speeds[kind])
	}
	return lessons, speeds
}

const (
	// keepEvery is the period at which a holder writes what it has learned to the store:
	// what is lost with all hosts is a small part of it.
	keepEvery = 10 * time.Second
	// mostKept bounds the routes that are written, the busiest first: 90 bytes each, in a
	// row of 64 KB.
	mostKept = 400
)

// keep writes what was learned to the store when it is due.
func (r *Router) keep() {
	c := r.cells[r.Self.Zone]
	if c == nil || !c.mine || r.now.Sub(later(r.kept, c.acquired)) < keepEvery {
		return
	}
	r.kept = r.now
	lessons, speeds := r.lessons()
	slices.SortStableFunc(lessons, func(a, b RouteStats) int { return cmp.Compare(b.Count, a.Count) })
	r.emit(SaveLearnedState{Routes: lessons[:min(len(lessons), mostKept)], Speeds: speeds})
}

// handleLessons takes what earlier holders have written to the store.
func (r *Router) handleLessons(e LearnedStateRead) {
	for _, kept := range e.Saved {
		if err := checkLessons(kept.Routes, kept.Speeds); err != nil {
			r.emit(Decision{Action: "ignore", Pairs: []any{"kind", "lessons", "error", err.Error()}})
			continue
		}
		r.study(kept.Routes, kept.Speeds)
	}
	r.emit(Decision{Action: "recall", Pairs: []any{"rows", len(e.Saved), "routes", len(r.learned)}})
}

// study takes what another host has learned from more tasks than this one. Run
// times and speeds only make sense together.
func (r *Router) study(lessons []RouteStats, speeds []KindSpeed) {
	theirs, own := 0, 0
	for _, l := range lessons {
		theirs += l.Count
	}
	for _, h := range r.learned {
		own += h.count
	}
	if theirs <= own {
		return
	}
	clear(r.learned)
	clear(r.speeds)
	for _, l := range lessons {
		r.learned[l.Route] = &history{
			count: l.Count, meanX: l.MeanX, meanY: l.MeanY, varX: l.VarX, covXY: l.CovXY,
			timeouts: timeouts{count: l.Timeouts, mean: l.MeanTimeout, variance: l.VarTimeout},
		}
	}
	for _, s := range slices.Clone(speeds) {
		r.speeds[s.Kind] = &s
	}
}

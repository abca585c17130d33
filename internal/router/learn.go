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
	timeouts     timeoutStats
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

	factor    float64 // exp(Log) when it was last asked for
	factorLog float64 // Log at that time
}

const (
	// routeModelWindow is the number of tasks over which a history forgets.
	routeModelWindow = 400
	// minRouteSamples is the number of tasks after which a history is used.
	minRouteSamples = 20
	// priorSlope is how much of a deviation of the declared run time from the
	// usual is believed before it was learned.
	priorSlope = 0.5
	// speedWindow is the number of tasks over which a kind's speed forgets.
	speedWindow = 200
	// minSpeedSamples is the number of tasks after which a kind's speed is used.
	minSpeedSamples = 10
	// maxLogDeviation bounds the deviation that is learned from: beyond a factor of 3
	// the target is at fault rather than the estimate.
	maxLogDeviation = 1.1
	// defaultRunTime is the run time assumed when nothing is declared or learned.
	defaultRunTime = 300 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// declaredRunTime returns what a job declares as the run time of a task.
func declaredRunTime(spec *Job) time.Duration {
	if spec.ExpectedRunTime <= 0 {
		return defaultRunTime
	}
	return spec.ExpectedRunTime
}

// predictRunTime returns the expected run time of one task at a target of usual speed.
func (r *Router) predictRunTime(spec *Job) time.Duration {
	x := math.Log(declaredRunTime(spec).Seconds())
	h := r.routeModels[spec.Route]
	if h == nil || h.count < minRouteSamples || !r.isEnabled(RunTimePrediction) {
		return declaredRunTime(spec)
	}
	return seconds(math.Exp(h.meanY + h.slope()*(x-h.meanX)))
}

// slope returns how much of a deviation of the declared run time is believed.
func (h *history) slope() float64 {
	const minSlopeSamples, minVariance = 100, 1e-3
	if h.count < minSlopeSamples || h.varX < minVariance {
		return priorSlope
	}
	return min(max(h.covXY/h.varX, 0), 1)
}

// recordRunTime takes the run time of a task that is done.
func (r *Router) recordRunTime(n *run) {
	runTime := r.now.Sub(n.sentAt)
	if runTime <= 0 || n.adopted {
		return
	}
	kind := n.target.kind()
	h := r.routeModelOf(n.job.spec.Route)
	y := math.Log(runTime.Seconds()) - r.logSpeed(kind)
	if h.count >= minRouteSamples {
		deviation := y - math.Log(r.predictRunTime(&n.job.spec).Seconds())
		if math.Abs(deviation) > maxLogDeviation {
			h.recordOutlier()
			return
		}
		h.outliers = max(h.outliers-1, 0)
		r.updateSpeed(kind, deviation)
	}
	h.addSample(math.Log(declaredRunTime(&n.job.spec).Seconds()), y)
}

// routeModelOf returns what was learned of a route.
func (r *Router) routeModelOf(route string) *history {
	h := r.routeModels[route]
	if h == nil {
		h = &history{}
		r.routeModels[route] = h
	}
	return h
}

// recordOutlier notes an outlier. When most tasks are, what was learned is wrong, and learning
// begins anew.
func (h *history) recordOutlier() {
	h.outliers++
	if h.outliers > minRouteSamples {
		*h = history{timeouts: h.timeouts}
	}
}

// addSample adds one task.
func (h *history) addSample(x, y float64) {
	h.count++
	w := 1 / float64(min(h.count, routeModelWindow))
	dx, dy := x-h.meanX, y-h.meanY
	h.meanX += w * dx
	h.meanY += w * dy
	h.varX += w * (dx*(x-h.meanX) - h.varX)
	h.covXY += w * (dx*(y-h.meanY) - h.covXY)
}

// updateSpeed takes how far a run was off the prediction for its kind of target.
func (r *Router) updateSpeed(kind string, deviation float64) {
	s := r.kindSpeeds[kind]
	if s == nil {
		s = &KindSpeed{Kind: kind}
		r.kindSpeeds[kind] = s
	}
	s.Count++
	s.Log += deviation / float64(min(s.Count, speedWindow))
}

// logSpeed returns the logarithm of a kind's factor on the run time.
func (r *Router) logSpeed(kind string) float64 {
	if s := r.kindSpeeds[kind]; s != nil && s.Count >= minSpeedSamples && r.isEnabled(KindSpeedLearning) {
		return s.Log
	}
	return 0
}

// speedFactor returns a kind's factor on the run time.
func (r *Router) speedFactor(kind string) float64 {
	s := r.kindSpeeds[kind]
	if s == nil || s.Count < minSpeedSamples || !r.isEnabled(KindSpeedLearning) {
		return 1
	}
	if s.factor == 0 || s.factorLog != s.Log {
		s.factor, s.factorLog = math.Exp(s.Log), s.Log
	}
	return s.factor
}

// expectedRunTimeAt returns the expected run time of one task of a job at a target.
func (r *Router) expectedRunTimeAt(j *job, t *target) time.Duration {
	return time.Duration(float64(j.taskRunTime) * r.speedFactor(t.kind()))
}

// kind returns the target's kind, which is its first label.
func (t *Target) kind() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[0]
}

// routes returns what was learned, for the other hosts.
func (r *Router) routes() ([]RouteStats, []KindSpeed) {
	var routes []RouteStats
	for _, route := range sortedKeys(r.routeModels) {
		h := r.routeModels[route]
		routes = append(routes, RouteStats{
			Route: route, Count: h.count, MeanX: h.meanX, MeanY: h.meanY, VarX: h.varX, CovXY: h.covXY,
			Timeouts: h.timeouts.count, MeanTimeout: h.timeouts.mean, VarTimeout: h.timeouts.variance,
		})
	}
	var speeds []KindSpeed
	for _, kind := range sortedKeys(r.kindSpeeds) {
		speeds = append(speeds, *r.kindSpeeds[kind])
	}
	return routes, speeds
}

const (
	// learnedStateSaveInterval is the period at which a holder writes what it has learned to the store:
	// what is lost with all hosts is a small part of it.
	learnedStateSaveInterval = 10 * time.Second
	// maxSavedRoutes bounds the routes that are written, the busiest first: 90 bytes each, in a
	// row of 64 KB.
	maxSavedRoutes = 400
)

// saveLearnedState writes what was learned to the store when it is due.
func (r *Router) saveLearnedState() {
	c := r.cells[r.Self.Zone]
	if c == nil || !c.heldHere || r.now.Sub(later(r.learnedStateSavedAt, c.acquiredAt)) < learnedStateSaveInterval {
		return
	}
	r.learnedStateSavedAt = r.now
	routes, speeds := r.routes()
	slices.SortStableFunc(routes, func(a, b RouteStats) int { return cmp.Compare(b.Count, a.Count) })
	r.emit(SaveLearnedState{Routes: routes[:min(len(routes), maxSavedRoutes)], Speeds: speeds})
}

// handleLearnedStateRead takes what earlier holders have written to the store.
func (r *Router) handleLearnedStateRead(e LearnedStateRead) {
	for _, saved := range e.Saved {
		if err := checkLearnedState(saved.Routes, saved.Speeds); err != nil {
			r.emit(Decision{Action: "ignore", Pairs: []any{"kind", "lessons", "error", err.Error()}})
			continue
		}
		r.mergeLearnedState(saved.Routes, saved.Speeds)
	}
	r.emit(Decision{Action: "recall", Pairs: []any{"rows", len(e.Saved), "routes", len(r.routeModels)}})
}

// mergeLearnedState takes what another host has learned from more tasks than this one. Run
// times and speeds only make sense together.
func (r *Router) mergeLearnedState(routes []RouteStats, speeds []KindSpeed) {
	receivedCount, ownCount := 0, 0
	for _, l := range routes {
		receivedCount += l.Count
	}
	for _, h := range r.routeModels {
		ownCount += h.count
	}
	if receivedCount <= ownCount {
		return
	}
	clear(r.routeModels)
	clear(r.kindSpeeds)
	for _, l := range routes {
		r.routeModels[l.Route] = &history{
			count: l.Count, meanX: l.MeanX, meanY: l.MeanY, varX: l.VarX, covXY: l.CovXY,
			timeouts: timeoutStats{count: l.Timeouts, mean: l.MeanTimeout, variance: l.VarTimeout},
		}
	}
	for _, s := range slices.Clone(speeds) {
		r.kindSpeeds[s.Kind] = &s
	}
}

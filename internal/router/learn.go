package router

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// history is the route model: a linear regression of the logarithm of a task's run time on the
// logarithm of its declared run time, and the statistics of the timeouts of the route's
// clients.
type history struct {
	count        int
	meanX, meanY float64 // logarithms of the declared and the actual run time in seconds
	varX, covXY  float64
	timeouts     timeoutStats
	// outliers rises by one with each outlier and falls by one with each other task, down to
	// zero.
	outliers int
}

// RouteStats are the statistics of a route as they are sent to other hosts and saved in the
// store, so that a new holder does not start without them.
type RouteStats struct {
	Route string  `cbor:"1,keyasint"`
	Count int     `cbor:"2,keyasint"`
	MeanX float64 `cbor:"3,keyasint"`
	MeanY float64 `cbor:"4,keyasint"`
	VarX  float64 `cbor:"5,keyasint"`
	CovXY float64 `cbor:"6,keyasint"`
	// Timeouts is the number of jobs whose timeouts were sampled. MeanTimeout and VarTimeout
	// are the mean and variance of these timeouts in seconds.
	Timeouts    int     `cbor:"7,keyasint,omitempty"`
	MeanTimeout float64 `cbor:"8,keyasint,omitempty"`
	VarTimeout  float64 `cbor:"9,keyasint,omitempty"`
}

// KindSpeed is the relative speed of one kind of target. Log is the logarithm of the factor by
// which tasks take longer there than at a target of average speed.
type KindSpeed struct {
	Kind  string  `cbor:"1,keyasint"`
	Count int     `cbor:"2,keyasint"`
	Log   float64 `cbor:"3,keyasint"`

	factor    float64 // cached exp(Log)
	factorLog float64 // value of Log that factor belongs to
}

const (
	// routeModelWindow is the number of tasks over which a route model is averaged.
	routeModelWindow = 400
	// minRouteSamples is the number of tasks from which a route model is used.
	minRouteSamples = 20
	// priorSlope is the slope that is assumed until enough tasks are known to estimate it: half
	// of the difference between a declared run time and the route's mean shows in the actual
	// run time.
	priorSlope = 0.5
	// speedWindow is the number of tasks over which the speed of a kind is averaged.
	speedWindow = 200
	// minSpeedSamples is the number of tasks from which the speed of a kind is used.
	minSpeedSamples = 10
	// maxLogDeviation bounds the logarithm of the factor between a run time and its prediction.
	// A run time that deviates by more than a factor of 3 is an outlier and is not added to the
	// model: the target is at fault rather than the prediction.
	maxLogDeviation = 1.1
	// defaultRunTime is the assumed run time of a task if none is declared.
	defaultRunTime = 300 * time.Millisecond
)

// seconds converts seconds to a duration of at most maxDuration.
func seconds(s float64) time.Duration { return nanoseconds(s * float64(time.Second)) }

// nanoseconds converts nanoseconds to a duration of at most maxDuration.
func nanoseconds(n float64) time.Duration {
	return time.Duration(min(max(n, -maxDuration), maxDuration))
}

// declaredRunTime returns the declared run time of a task, or defaultRunTime if there is none.
func declaredRunTime(spec *Job) time.Duration {
	if spec.ExpectedRunTime <= 0 {
		return defaultRunTime
	}
	return spec.ExpectedRunTime
}

// predictRunTime returns the expected run time of one task at a target of average speed.
func (r *Router) predictRunTime(spec *Job) time.Duration {
	x := math.Log(declaredRunTime(spec).Seconds())
	model := r.routeModels[spec.Route]
	if model == nil || model.count < minRouteSamples || !r.isEnabled(RunTimePrediction) {
		return declaredRunTime(spec)
	}
	return seconds(math.Exp(model.meanY + model.slope()*(x-model.meanX)))
}

// slope returns the slope of the regression, between 0 and 1.
func (h *history) slope() float64 {
	const minSlopeSamples, minVariance = 100, 1e-3
	if h.count < minSlopeSamples || h.varX < minVariance {
		return priorSlope
	}
	return min(max(h.covXY/h.varX, 0), 1)
}

// recordRunTime adds the run time of a finished run to the model of its route and to the speed
// of its target's kind.
func (r *Router) recordRunTime(n *run) {
	runTime := r.now.Sub(n.sentAt)
	if runTime <= 0 || n.adopted {
		return
	}
	if n.cold {
		r.recordColdRun(n, runTime)
		return
	}
	kind := n.target.kind()
	model := r.routeModelOf(n.job.spec.Route)
	logFactor := math.Log(r.profileFactor(n.target))
	y := math.Log(runTime.Seconds()) - r.logSpeed(kind) - logFactor
	if model.count >= minRouteSamples {
		deviation := y - math.Log(r.predictRunTime(&n.job.spec).Seconds())
		r.profileOf(n.target).Record(deviation+logFactor, r.now)
		if math.Abs(deviation) > maxLogDeviation {
			model.recordOutlier()
			return
		}
		model.outliers = max(model.outliers-1, 0)
		r.updateSpeed(kind, deviation)
		r.learnInterference(n, deviation, runTime)
	}
	model.addSample(math.Log(declaredRunTime(&n.job.spec).Seconds()), y)
}

// routeModelOf returns the model of a route, which it creates if there is none.
func (r *Router) routeModelOf(route string) *history {
	model := r.routeModels[route]
	if model == nil {
		model = &history{}
		r.routeModels[route] = model
	}
	return model
}

// recordOutlier counts an outlier. If most tasks are outliers, the model is wrong and is reset.
func (h *history) recordOutlier() {
	h.outliers++
	if h.outliers > minRouteSamples {
		*h = history{timeouts: h.timeouts}
	}
}

// addSample adds the run time of one task: x is the logarithm of the declared run time and y
// that of the actual one.
func (h *history) addSample(x, y float64) {
	h.count++
	w := 1 / float64(min(h.count, routeModelWindow))
	dx, dy := x-h.meanX, y-h.meanY
	h.meanX += w * dx
	h.meanY += w * dy
	h.varX += w * (dx*(x-h.meanX) - h.varX)
	h.covXY += w * (dx*(y-h.meanY) - h.covXY)
}

// updateSpeed adds the deviation of one run from the prediction to the speed of its target's
// kind.
func (r *Router) updateSpeed(kind string, deviation float64) {
	s := r.kindSpeeds[kind]
	if s == nil {
		s = &KindSpeed{Kind: kind}
		r.kindSpeeds[kind] = s
	}
	s.Count++
	s.Log += deviation / float64(min(s.Count, speedWindow))
}

// logSpeed returns the logarithm of a kind's factor on the run time, or 0 if it is not known.
func (r *Router) logSpeed(kind string) float64 {
	if s := r.kindSpeeds[kind]; s != nil && s.Count >= minSpeedSamples && r.isEnabled(KindSpeedLearning) {
		return s.Log
	}
	return 0
}

// speedFactor returns a kind's factor on the run time, or 1 if it is not known.
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
	return nanoseconds(float64(j.taskRunTime) * r.speedFactorOf(t) * r.coldFactorOf(t))
}

// placementRunTime returns the expected run time of one task of a job at a target when a target is
// chosen for it.
func (r *Router) placementRunTime(j *job, t *target) time.Duration {
	return nanoseconds(float64(j.taskRunTime) * r.speedFactor(t.kind()) * r.placementFactor(t) * r.coldFactorOf(t))
}

// kind returns the target's kind, which is its first label, or "" if it has no labels.
func (t *Target) kind() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[0]
}

// exportLearnedState exports the learned state, for other hosts and for the store.
func (r *Router) exportLearnedState() ([]RouteStats, []KindSpeed) {
	var routes []RouteStats
	for _, route := range sortedKeys(r.routeModels) {
		model := r.routeModels[route]
		routes = append(routes, RouteStats{
			Route: route, Count: model.count, MeanX: model.meanX, MeanY: model.meanY, VarX: model.varX, CovXY: model.covXY,
			Timeouts: model.timeouts.count, MeanTimeout: model.timeouts.mean, VarTimeout: model.timeouts.variance,
		})
	}
	var speeds []KindSpeed
	for _, kind := range sortedKeys(r.kindSpeeds) {
		speeds = append(speeds, *r.kindSpeeds[kind])
	}
	return routes, speeds
}

const (
	// learnedStateSaveInterval is the period at which a holder saves its learned state in the
	// store. If all hosts fail, only the last samples are lost, a small part of the whole.
	learnedStateSaveInterval = 10 * time.Second
	// maxSavedRoutes bounds the routes that are saved, those with the most samples first: 90
	// bytes each, in a row of 64 KB.
	maxSavedRoutes = 400
)

// saveLearnedState saves the learned state in the store when it is due, if this host holds its
// own cell.
func (r *Router) saveLearnedState() {
	c := r.cells[r.Self.Zone]
	if c == nil || !c.heldHere || r.now.Sub(later(r.learnedStateSavedAt, c.acquiredAt)) < learnedStateSaveInterval {
		return
	}
	r.learnedStateSavedAt = r.now
	routes, speeds := r.exportLearnedState()
	slices.SortStableFunc(routes, func(a, b RouteStats) int { return cmp.Compare(b.Count, a.Count) })
	r.emit(SaveLearnedState{Routes: routes[:min(len(routes), maxSavedRoutes)], Speeds: speeds})
}

// handleLearnedStateRead merges the learned state that earlier holders have saved in the store.
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

// mergeLearnedState replaces the whole learned state with the received one if that has more
// samples, and otherwise ignores it. Route models and kind speeds are replaced together,
// because the run times in a route model were divided by the speed factors of that time.
func (r *Router) mergeLearnedState(routes []RouteStats, speeds []KindSpeed) {
	receivedCount, ownCount := 0, 0
	for _, received := range routes {
		receivedCount += received.Count
	}
	for _, h := range r.routeModels {
		ownCount += h.count
	}
	if receivedCount <= ownCount {
		return
	}
	clear(r.routeModels)
	clear(r.kindSpeeds)
	for _, received := range routes {
		r.routeModels[received.Route] = &history{
			count: received.Count, meanX: received.MeanX, meanY: received.MeanY, varX: received.VarX, covXY: received.CovXY,
			timeouts: timeoutStats{count: received.Timeouts, mean: received.MeanTimeout, variance: received.VarTimeout},
		}
	}
	for _, s := range slices.Clone(speeds) {
		r.kindSpeeds[s.Kind] = &s
	}
}

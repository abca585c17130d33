// Package separator learns which routes' tasks slow each other down at one target.
package separator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRatio is the factor on the run time that the lower confidence bound of a pair must exceed for
	// the pair to be reported, and keepRatio the one down to which it stays reported.
	minRatio, keepRatio = 1.1, 1.05
	// deviations is the number of standard errors to the confidence bounds. Of 22,500 pairs of equal
	// routes (150 routes), less than one is beyond them at a time.
	deviations = 4
	// minSamples is the least number of runs beside the other route, and of runs apart from it.
	minSamples = 30
	// window is the number of a route's runs at which all its sums are halved.
	window = 4000
	// halfLife is the time in which the weight of what was learned halves. Routes that are kept apart are
	// tried together again when the evidence has faded.
	halfLife = 5 * time.Minute
	// refreshInterval is how often the pairs are judged.
	refreshInterval = time.Second
	// maxPairs bounds the pairs of routes, of 60 bytes each.
	maxPairs = 5000
	// inheritedPeriod is how long the pairs that another host has reported count without evidence here.
	inheritedPeriod = time.Minute
	// maxRatio bounds the factor that another host may report.
	maxRatio = 20
	// maxNameBytes bounds the names of routes that another host may report.
	maxNameBytes = 256
)

// Separator holds the evidence on all pairs of routes. For a route a and a route b beside it, the ratio is
// the factor on the run time of a's tasks if b runs beside them all the time. It is estimated from whether
// b was there when a run began, which cannot depend on how long the run took, as an instrument for the part of the
// run for which b was there (Wald's estimator). The zero value has no evidence.
type Separator struct {
	routes      map[string]*sums
	pairs       map[key]*pairSums
	known       map[key]float64 // logarithm of the ratio of the reported pairs
	inherited   map[key]Pair
	inheritedAt time.Time
	refreshedAt time.Time
}

type key struct{ route, beside string }

// sums are those of all runs of a route: their number, and the sums of y, the logarithm of the run time over
// the expected one, and of its square.
type sums struct{ n, y, yy float64 }

// pairSums are sums over the runs of a route: x is 1 if the other route was there at the start, z the part of the run
// for which it was there.
type pairSums struct{ x, z, xz, xy float64 }

// Companion is a route that ran beside a run.
type Companion struct {
	Route   string
	AtStart bool
	// Share is the part of the run time for which the route was there, between 0 and 1.
	Share float64
}

// Pair is a reported pair.
type Pair struct {
	Route  string `cbor:"1,keyasint"`
	Beside string `cbor:"2,keyasint"`
	// Ratio is the factor on the run time of Route's tasks, in thousandths.
	Ratio int `cbor:"3,keyasint"`
}

// Change is a pair that is newly reported, or no more.
type Change struct {
	Pair
	Noticed bool
	// Samples is the number of runs of the route, and Beside of those that began beside the other route,
	// as far as they still count.
	Samples, SamplesBeside int
}

// Record adds a run of a route: the logarithm of its run time over the expected one, and what ran beside it. The runs
// of one job depend on each other, so that only one of them may be recorded.
func (s *Separator) Record(route string, deviation float64, companions []Companion) {
	if s.routes == nil {
		s.routes, s.pairs = make(map[string]*sums), make(map[key]*pairSums)
	}
	all := s.routes[route]
	if all == nil {
		all = &sums{}
		s.routes[route] = all
	}
	all.n, all.y, all.yy = all.n+1, all.y+deviation, all.yy+deviation*deviation
	for _, c := range companions {
		pair := s.pairs[key{route, c.Route}]
		if pair == nil {
			if len(s.pairs) >= maxPairs {
				continue
			}
			pair = &pairSums{}
			s.pairs[key{route, c.Route}] = pair
		}
		pair.z += c.Share
		if c.AtStart {
			pair.x, pair.xz, pair.xy = pair.x+1, pair.xz+c.Share, pair.xy+deviation
		}
	}
	if all.n >= window {
		s.scale(route, 0.5)
	}
}

// scale multiplies the evidence of a route by a factor.
func (s *Separator) scale(route string, factor float64) {
	all := s.routes[route]
	all.n, all.y, all.yy = all.n*factor, all.y*factor, all.yy*factor
	for k, pair := range s.pairs {
		if k.route == route {
			pair.x, pair.z, pair.xz, pair.xy = pair.x*factor, pair.z*factor, pair.xz*factor, pair.xy*factor
		}
	}
}

// estimate returns the logarithm of a pair's ratio and its standard error. It returns false without enough evidence.
func (p *pairSums) estimate(all *sums) (logRatio, deviation float64, ok bool) {
	if p.x < minSamples || all.n-p.x < minSamples {
		return 0, 0, false
	}
	x, z, y := p.x/all.n, p.z/all.n, all.y/all.n
	covXZ, covXY := p.xz/all.n-x*z, p.xy/all.n-x*y
	if covXZ <= 0 {
		return 0, 0, false
	}
	varY := max(all.yy/all.n-y*y, 0)
	return covXY / covXZ, math.Sqrt(varY*x*(1-x)/all.n) / covXZ, true
}

// Refresh judges the pairs when it is due, and returns what has changed, sorted by pair.
func (s *Separator) Refresh(now time.Time) []Change {
	elapsed := now.Sub(s.refreshedAt)
	if elapsed < refreshInterval {
		return nil
	}
	if !s.refreshedAt.IsZero() {
		for route := range s.routes {
			s.scale(route, math.Exp2(-elapsed.Seconds()/halfLife.Seconds()))
		}
	}
	s.refreshedAt = now
	before := s.known
	s.known = make(map[key]float64)
	for k, pair := range s.pairs {
		if logRatio, ok := s.judge(k, pair, before); ok {
			s.known[k] = logRatio
		}
	}
	if now.Sub(s.inheritedAt) < inheritedPeriod {
		s.applyInherited()
	}
	return s.changes(before)
}

// judge returns the logarithm of a pair's ratio if the pair is reported.
func (s *Separator) judge(k key, pair *pairSums, before map[key]float64) (float64, bool) {
	logRatio, deviation, ok := pair.estimate(s.routes[k.route])
	if !ok {
		// Routes that are kept apart have no new runs beside each other: what is known stays until it fades.
		logRatio, known := before[k]
		return logRatio, known && pair.x >= 1
	}
	threshold := minRatio
	if _, wasKnown := before[k]; wasKnown {
		threshold = keepRatio
	}
	return logRatio, logRatio-deviations*deviation > math.Log(threshold)
}

// applyInherited adds the inherited pairs on which there is no evidence here.
func (s *Separator) applyInherited() {
	for k, pair := range s.inherited {
		if own := s.pairs[k]; own != nil {
			if _, _, ok := own.estimate(s.routes[k.route]); ok {
				continue
			}
		}
		s.known[k] = math.Log(float64(pair.Ratio) / 1000)
	}
}

func (s *Separator) changes(before map[key]float64) []Change {
	var list []Change
	for k := range s.known {
		if _, ok := before[k]; !ok {
			list = append(list, s.change(k, s.known[k], true))
		}
	}
	for k := range before {
		if _, ok := s.known[k]; !ok {
			list = append(list, s.change(k, before[k], false))
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return comparePairs(a.Pair, b.Pair) })
	return list
}

func (s *Separator) change(k key, logRatio float64, noticed bool) Change {
	c := Change{Pair: pairOf(k, logRatio), Noticed: noticed}
	if all, pair := s.routes[k.route], s.pairs[k]; all != nil && pair != nil {
		c.Samples, c.SamplesBeside = int(all.n), int(pair.x)
	}
	return c
}

func pairOf(k key, logRatio float64) Pair {
	return Pair{Route: k.route, Beside: k.beside, Ratio: int(math.Round(1000 * math.Exp(logRatio)))}
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Beside, b.Beside))
}

// IsEmpty reports whether no pair is reported.
func (s *Separator) IsEmpty() bool { return len(s.known) == 0 }

// Cost returns the sum of the logarithms of the factors by which the tasks of two routes slow each other down at one
// target; 0 if they are not reported.
func (s *Separator) Cost(a, b string) float64 {
	cost := s.known[key{a, b}]
	if a != b {
		cost += s.known[key{b, a}]
	}
	return cost
}

// Pairs returns the reported pairs with the highest ratios, at most limit, sorted by pair.
func (s *Separator) Pairs(limit int) []Pair {
	var list []Pair
	for k, logRatio := range s.known {
		list = append(list, pairOf(k, logRatio))
	}
	slices.SortFunc(list, func(a, b Pair) int { return cmp.Or(cmp.Compare(b.Ratio, a.Ratio), comparePairs(a, b)) })
	list = list[:min(len(list), limit)]
	slices.SortFunc(list, comparePairs)
	return list
}

// Import replaces everything by the pairs that another host has reported.
func (s *Separator) Import(pairs []Pair, now time.Time) {
	*s = Separator{inherited: make(map[key]Pair, len(pairs)), known: make(map[key]float64), inheritedAt: now, refreshedAt: now}
	for _, p := range pairs {
		s.inherited[key{p.Route, p.Beside}] = p
	}
	s.applyInherited()
}

// Forget removes the routes for which isRemoved is true.
func (s *Separator) Forget(isRemoved func(route string) bool) {
	for k := range s.pairs {
		if isRemoved(k.route) || isRemoved(k.beside) {
			delete(s.pairs, k)
		}
	}
	for route := range s.routes {
		if isRemoved(route) {
			delete(s.routes, route)
		}
	}
	for k := range s.inherited {
		if isRemoved(k.route) || isRemoved(k.beside) {
			delete(s.inherited, k)
		}
	}
}

// IsSound reports whether a host can have reported the pair.
func (p Pair) IsSound() bool {
	isName := func(s string) bool { return s != "" && len(s) <= maxNameBytes }
	return isName(p.Route) && isName(p.Beside) && p.Ratio > 1000 && p.Ratio <= 1000*maxRatio
}

package modeler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/parser"
	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Scenario is an experiment that compares policies. It simulates a site under several loads
// and faults, and each policy gets the same jobs.
type Scenario struct {
	Site     string
	Loads    []float64
	Seeds    int
	Length   time.Duration
	Policies []string
	Faults   []Fault
}

// PolicyVariant is a named policy of a comparison. Apply sets it in a Simulation.
type PolicyVariant struct {
	Name  string
	Apply func(*Simulation)
}

// PolicyVariants returns the current policy first, then previous policies and baselines.
func PolicyVariants() []PolicyVariant {
	return []PolicyVariant{
		{"pooled", func(*Simulation) {}},
		{"unshared", func(sim *Simulation) { sim.Policy.Sharing = router.NoSharing }},
		{"zones", func(sim *Simulation) { sim.Bounds.MaxSharedTargets = 1 }},
		{"patient", func(sim *Simulation) { sim.Policy.Admission = router.AdmitAll }},
		{"arrival", func(sim *Simulation) { sim.Policy.QueueOrder = router.ByArrival }},
		{"first-come", func(sim *Simulation) {
			sim.Policy = router.Policy{QueueOrder: router.ByArrival, Admission: router.AdmitAll, Sharing: router.NoSharing}
		}},
	}
}

// Ablations returns the current policy, then the current policy without each one of its
// mechanisms.
func Ablations() []PolicyVariant {
	list := []PolicyVariant{
		PolicyVariants()[0],
		{"without order", func(sim *Simulation) { sim.Policy.QueueOrder = router.ByArrival }},
		{"without refusals", func(sim *Simulation) { sim.Policy.Admission = router.AdmitAll }},
		{"without shares", func(sim *Simulation) { sim.Policy.Sharing = router.NoSharing }},
		{"without retries", func(sim *Simulation) { sim.Policy.RetryOrder = router.RetriesAsNew }},
	}
	for _, m := range router.Mechanisms() {
		list = append(list, PolicyVariant{"without " + string(m), func(sim *Simulation) { sim.Policy.Disabled = m }})
	}
	return list
}

// Ablate replaces the policies of the scenario by those of Ablations.
func (v *Scenario) Ablate() {
	v.Policies = nil
	for _, variant := range Ablations() {
		v.Policies = append(v.Policies, variant.Name)
	}
}

// Sites returns the sites by the names that scenarios use.
func Sites() map[string]func() Simulation {
	return map[string]func() Simulation{"restrepo": Restrepo, "kutchwala": Kutchwala, "coarse": Coarse, "tables": Tables, "pricing": Pricing}
}

const (
	defaultSeeds  = 4
	defaultLength = 12 * time.Second
)

// ParseScenario reads a scenario from INI text. Errors contain the name of the text. They are
// of type parser.Faults and list all its faults.
func ParseScenario(name, text string) (*Scenario, error) {
	doc := parser.Parse(name, text)
	v := &Scenario{}
	s := doc.Section("scenario")
	v.Site = s.RequiredText("site", "name restrepo, kutchwala, coarse, tables or pricing")
	if v.Site != "" && Sites()[v.Site] == nil {
		doc.AddFault("scenario", "site", "unknown", "name restrepo, kutchwala, coarse, tables or pricing")
	}
	v.Seeds = s.Int("seeds", defaultSeeds, 1, 1000)
	v.Length = s.Duration("length", defaultLength, time.Second, time.Hour)
	for _, text := range s.List("loads") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil || !(load > 0 && load <= 10) {
			doc.AddFault("scenario", "loads", fmt.Sprintf("%q is not a valid load", text), "write factors of the default load above 0, up to 10")
		}
		v.Loads = append(v.Loads, load)
	}
	if len(v.Loads) == 0 {
		v.Loads = []float64{1}
	}
	v.Policies = s.List("policies")
	var known []string
	for _, variant := range PolicyVariants() {
		known = append(known, variant.Name)
	}
	for _, p := range v.Policies {
		if !slices.Contains(known, p) {
			doc.AddFault("scenario", "policies", fmt.Sprintf("%q is not a known policy", p), "use "+strings.Join(known, ", "))
		}
	}
	if len(v.Policies) == 0 {
		v.Policies = known[:1]
	}
	s.ReportUnknownKeys()
	for _, number := range doc.SectionNames("fault") {
		v.Faults = append(v.Faults, readFault(doc, "fault "+number))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return v, nil
}

func readFault(doc *parser.Document, section string) Fault {
	s := doc.Section(section)
	defer s.ReportUnknownKeys()
	f := Fault{
		Kind: FaultKind(s.RequiredText("trouble", "name a kind of fault, such as cut-zone")), Selector: s.Text("where", ""),
		At: s.Duration("at", 3*time.Second, 0, time.Hour), Duration: s.Duration("for", 5*time.Second, 0, time.Hour),
		TargetShare: s.Float("share", 0, 0, 1), RateFactor: s.Float("times", 1, 0, 100), ClockShift: s.Duration("shift", 0, -time.Hour, time.Hour),
	}
	if f.Kind != "" && !slices.Contains(FaultKinds(), f.Kind) {
		doc.AddFault(section, "trouble", "unknown", "use one of: "+strings.Trim(fmt.Sprint(FaultKinds()), "[]"))
	}
	return f
}

// PolicyResult is the result of one policy under one load over all seeds.
type PolicyResult struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Benefit is the achieved share of the possible benefit and WorstBenefit its lowest
	// value over any 2 s, both as means over the seeds. MaxBenefit is an upper bound on
	// Benefit under any policy.
	Benefit      float64 `json:"worth"`
	WorstBenefit float64 `json:"worst"`
	MaxBenefit   float64 `json:"bound"`
	// Gain is the mean difference of Benefit from that of the first policy under the same
	// load and seeds. Margin is half of the 95 % confidence interval of Gain, or 0 when
	// there is only one seed.
	Gain   float64 `json:"gain"`
	Margin float64 `json:"margin,omitempty"`
	// BenefitBySecond is the achieved share of the benefit by second, BenefitByZone by
	// the client's zone.
	BenefitBySecond []float64             `json:"seconds"`
	BenefitByZone   map[string]float64    `json:"zones"`
	Kinds           map[string]KindResult `json:"kinds"`
	// Violations lists the violations of invariants.
	Violations []string `json:"broken,omitempty"`
}

// KindResult is the result for one kind of job.
type KindResult struct {
	Sent    int     `json:"asked"`
	InTime  int     `json:"inTime"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"` // or of unknown outcome
	Benefit float64 `json:"worth"`
	// P50 and P99 are quantiles of the response times of completed jobs. They are in
	// nanoseconds in JSON.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
}

// Run simulates all policies, loads and seeds, up to maxParallel simulations in parallel. It
// calls progress after each simulation. It returns a row for each load and policy, in the
// order of Loads and then of Policies.
func (v *Scenario) Run(maxParallel int, progress func(done, total int)) []PolicyResult {
	var simulations []*scenarioRun
	for _, load := range v.Loads {
		for _, name := range v.Policies {
			for seed := range v.Seeds {
				simulations = append(simulations, &scenarioRun{scenario: v, policy: name, load: load, seed: uint64(seed) + 1})
			}
		}
	}
	r := &runner{total: len(simulations), progress: progress, slots: make(chan struct{}, max(maxParallel, 1))}
	for _, t := range simulations {
		r.slots <- struct{}{}
		t.runner = r
		r.group.Go(t.run)
	}
	r.group.Wait()
	var rows []PolicyResult
	for i := 0; i < len(simulations); i += v.Seeds {
		row := summarize(simulations[i : i+v.Seeds])
		first := i - i%(len(v.Policies)*v.Seeds)
		row.Gain, row.Margin = compare(simulations[i:i+v.Seeds], simulations[first:first+v.Seeds])
		rows = append(rows, row)
	}
	return rows
}

// runner limits the parallel simulations and counts those that are done.
type runner struct {
	group    sync.WaitGroup
	slots    chan struct{}
	mutex    sync.Mutex
	done     int
	total    int
	progress func(done, total int)
}

// scenarioRun is the simulation of a scenario with one policy, load and seed.
type scenarioRun struct {
	scenario *Scenario
	policy   string
	load     float64
	seed     uint64
	runner   *runner

	results    Results
	capacity   float64
	violations []string
}

func (t *scenarioRun) run() {
	sim := Sites()[t.scenario.Site]()
	sim.LoadFactor, sim.Seed, sim.LoadDuration, sim.Faults = t.load, t.seed, t.scenario.Length, t.scenario.Faults
	for _, variant := range slices.Concat(PolicyVariants()[1:], Ablations()) {
		if variant.Name == t.policy {
			variant.Apply(&sim)
		}
	}
	sim.Run()
	t.results, t.capacity, t.violations = sim.Results, sim.capacity(), sim.Violations
	t.runner.mutex.Lock()
	t.runner.done++
	t.runner.progress(t.runner.done, t.runner.total)
	t.runner.mutex.Unlock()
	<-t.runner.slots
}

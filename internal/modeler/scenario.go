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

// Scenario is an experiment: a site under loads and troubles, with policies side by
// side that get the same jobs.
type Scenario struct {
	Site     string
	Loads    []float64
	Seeds    int
	Length   time.Duration
	Policies []string
	Faults   []Fault
}

// Variant is a policy to measure.
type Variant struct {
	Name   string
	Change func(*World)
}

// Variants returns the policy in force first, then earlier ones and baselines.
func Variants() []Variant {
	return []Variant{
		{"pooled", func(*World) {}},
		{"unshared", func(w *World) { w.Policy.Sharing = router.NoSharing }},
		{"zones", func(w *World) { w.Bounds.MaxSharedTargets = 1 }},
		{"patient", func(w *World) { w.Policy.Admission = router.AdmitAll }},
		{"arrival", func(w *World) { w.Policy.QueueOrder = router.ByArrival }},
		{"first-come", func(w *World) {
			w.Policy = router.Policy{QueueOrder: router.ByArrival, Admission: router.AdmitAll, Sharing: router.NoSharing}
		}},
	}
}

// Ablations returns the policy in force, and it without each of its mechanisms.
func Ablations() []Variant {
	list := []Variant{
		Variants()[0],
		{"without order", func(w *World) { w.Policy.QueueOrder = router.ByArrival }},
		{"without refusals", func(w *World) { w.Policy.Admission = router.AdmitAll }},
		{"without shares", func(w *World) { w.Policy.Sharing = router.NoSharing }},
		{"without retries", func(w *World) { w.Policy.RetryOrder = router.RetriesAsNew }},
	}
	for _, m := range router.Mechanisms() {
		list = append(list, Variant{"without " + string(m), func(w *World) { w.Policy.Disabled = m }})
	}
	return list
}

// Ablate makes the scenario one that plays the policy in force without each of its
// mechanisms.
func (v *Scenario) Ablate() {
	v.Policies = nil
	for _, variant := range Ablations() {
		v.Policies = append(v.Policies, variant.Name)
	}
}

// Sites returns the sites that scenarios name.
func Sites() map[string]func() World {
	return map[string]func() World{"restrepo": Restrepo, "kutchwala": Kutchwala}
}

const (
	// usualSeeds and usualLength are those that the policies were compared with.
	usualSeeds  = 4
	usualLength = 12 * time.Second
)

// ParseScenario reads a scenario from INI text. The error is parser.Faults.
func ParseScenario(name, text string) (*Scenario, error) {
	doc := parser.Parse(name, text)
	v := &Scenario{}
	s := doc.Section("scenario")
	v.Site = s.Need("site", "name restrepo or kutchwala")
	if v.Site != "" && Sites()[v.Site] == nil {
		doc.Fault("scenario", "site", "unknown", "name restrepo or kutchwala")
	}
	v.Seeds = s.Int("seeds", usualSeeds, 1, 1000)
	v.Length = s.Duration("length", usualLength, time.Second, time.Hour)
	for _, text := range s.List("loads") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil || !(load > 0 && load <= 10) {
			doc.Fault("scenario", "loads", fmt.Sprintf("%q is no load", text), "write factors of the usual load above 0, up to 10")
		}
		v.Loads = append(v.Loads, load)
	}
	if len(v.Loads) == 0 {
		v.Loads = []float64{1}
	}
	v.Policies = s.List("policies")
	var known []string
	for _, variant := range Variants() {
		known = append(known, variant.Name)
	}
	for _, p := range v.Policies {
		if !slices.Contains(known, p) {
			doc.Fault("scenario", "policies", fmt.Sprintf("%q is no policy", p), "use "+strings.Join(known, ", "))
		}
	}
	if len(v.Policies) == 0 {
		v.Policies = known[:1]
	}
	s.Close()
	for _, number := range doc.Names("fault") {
		v.Faults = append(v.Faults, readFault(doc, "fault "+number))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return v, nil
}

func readFault(doc *parser.Document, section string) Fault {
	s := doc.Section(section)
	defer s.Close()
	f := Fault{
		Trouble: Trouble(s.Need("trouble", "name a trouble, such as cut-zone")), Where: s.Text("where", ""),
		At: s.Duration("at", 3*time.Second, 0, time.Hour), For: s.Duration("for", 5*time.Second, 0, time.Hour),
		Share: s.Float("share", 0, 0, 1), Times: s.Float("times", 1, 0, 100),
	}
	if f.Trouble != "" && !slices.Contains(Troubles(), f.Trouble) {
		doc.Fault(section, "trouble", "unknown", "use one of: "+strings.Trim(fmt.Sprint(Troubles()), "[]"))
	}
	return f
}

// Row is what one policy gave under one load, over all seeds.
type Row struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Worth is the part earned of what was owed, Worst its least over 2 s, both as
	// means over the seeds; Bound is more than any policy can earn.
	Worth float64 `json:"worth"`
	Worst float64 `json:"worst"`
	Bound float64 `json:"bound"`
	// Gain is by how much the worth differs from that of the first policy under the same
	// load, and Margin half of its 95 % interval, from seeds that are played by both;
	// it is 0 where there is only one.
	Gain   float64 `json:"gain"`
	Margin float64 `json:"margin,omitempty"`
	// Seconds is the worth by second, Zones by the client's zone.
	Seconds []float64          `json:"seconds"`
	Zones   map[string]float64 `json:"zones"`
	Kinds   map[string]KindRow `json:"kinds"`
	// Broken lists what did not hold.
	Broken []string `json:"broken,omitempty"`
}

// KindRow is what became of one kind of job.
type KindRow struct {
	Asked   int     `json:"asked"`
	InTime  int     `json:"inTime"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"` // or of unknown outcome
	Worth   float64 `json:"worth"`
	// P50 and P99 are times to answers of completed jobs, in nanoseconds in JSON.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
}

// Play plays all policies, loads and seeds, so many worlds at a time, and tells the
// progress after each.
func (v *Scenario) Play(jobs int, progress func(done, all int)) []Row {
	var trials []*trial
	for _, load := range v.Loads {
		for _, name := range v.Policies {
			for seed := range v.Seeds {
				trials = append(trials, &trial{scenario: v, policy: name, load: load, seed: uint64(seed) + 1})
			}
		}
	}
	p := &pace{all: len(trials), tell: progress, free: make(chan struct{}, max(jobs, 1))}
	for _, t := range trials {
		p.free <- struct{}{}
		t.pace = p
		p.group.Go(t.run)
	}
	p.group.Wait()
	var rows []Row
	for i := 0; i < len(trials); i += v.Seeds {
		row := summarize(trials[i : i+v.Seeds])
		first := i - i%(len(v.Policies)*v.Seeds)
		row.Gain, row.Margin = compare(trials[i:i+v.Seeds], trials[first:first+v.Seeds])
		rows = append(rows, row)
	}
	return rows
}

// pace bounds the trials at a time and counts those that are over.
type pace struct {
	group sync.WaitGroup
	free  chan struct{}
	mutex sync.Mutex
	done  int
	all   int
	tell  func(done, all int)
}

// trial is one world of a scenario.
type trial struct {
	scenario *Scenario
	policy   string
	load     float64
	seed     uint64
	pace     *pace

	tally    Tally
	capacity float64
	broken   []string
}

func (t *trial) run() {
	w := Sites()[t.scenario.Site]()
	w.Load, w.Seed, w.Length, w.Faults = t.load, t.seed, t.scenario.Length, t.scenario.Faults
	for _, variant := range slices.Concat(Variants()[1:], Ablations()) {
		if variant.Name == t.policy {
			variant.Change(&w)
		}
	}
	w.Run()
	t.tally, t.capacity, t.broken = w.Tally, w.capacity(), w.Broken
	t.pace.mutex.Lock()
	t.pace.done++
	t.pace.tell(t.pace.done, t.pace.all)
	t.pace.mutex.Unlock()
	<-t.pace.free
}

// Package declarer parses and validates the declarations that operators keep under
// version control, and the row of the platform's table that stores them.
package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/holder"
	"github.com/shallotrouter/shallotrouter/internal/parser"
)

// PresetName is the name of a preset.
type PresetName string

const (
	// Ordinary is the preset for ordinary load.
	Ordinary PresetName = "ordinary"
	// Peak is the preset for peak load.
	Peak PresetName = "peak"
	// Maintenance is the preset that finishes the accepted jobs and accepts no new ones.
	Maintenance PresetName = "maintenance"
)

// PresetNames returns the names of all presets.
func PresetNames() []PresetName { return []PresetName{Ordinary, Peak, Maintenance} }

// JobOrder is the order in which the jobs of one client are served.
type JobOrder string

const (
	// FirstAdmitted serves the jobs in the order of their admission.
	FirstAdmitted JobOrder = "first"
	// LeastWork serves the job with the least work first. Ageing raises the priority of
	// jobs that wait.
	LeastWork JobOrder = "least"
)

// Declarations are the services, clients, presets and drained hosts that operators
// declare. They are not modified after Decode and may be shared.
type Declarations struct {
	Services []Service
	Clients  []Client
	Presets  []Preset
	// DrainedTargets and DrainedHosts are the names of the targets and hosts to drain.
	DrainedTargets holder.Set[string]
	DrainedHosts   holder.Set[string]
}

// Service is a group of targets that run the same kinds of tasks.
type Service struct {
	Name string
	// Slots is the maximum number of tasks that all entry hosts together run at one
	// target. MaxConnections is the maximum number of connections of one entry host to
	// one target.
	Slots          int
	MaxConnections int
	// IdleTimeout is how long an idle connection to a target is kept open for reuse.
	IdleTimeout time.Duration
	// MaxRunTime is the maximum run time of one task.
	MaxRunTime time.Duration
	// Order is the order of the jobs of one client.
	Order JobOrder
}

// Client is an organisation that submits jobs.
type Client struct {
	Name string
	// TokenHash is the SHA-256 of the bearer token in hexadecimal.
	TokenHash string
	// Weight is the client's weight relative to other clients.
	Weight float64
	// Services are the services that the client may use. An empty set allows all.
	Services holder.Set[string]
}

// Preset is a set of policies that operators activate together.
type Preset struct {
	Name PresetName
	// AdmitJobs is true if new jobs are accepted.
	AdmitJobs bool
	// MaxWaitingTasks is the maximum number of waiting tasks of one client at one entry host.
	MaxWaitingTasks int
	// ReservedFraction is the fraction of the zone's slots that each host without waiting tasks
	// reserves for new jobs, from 0 to 0.2.
	ReservedFraction float64
	// MaxLongTaskFraction is the maximum fraction of the zone's slots that one client's
	// long tasks may occupy, from 0.01 to 1.
	MaxLongTaskFraction float64
	// LongTaskThreshold is the expected run time from which a task counts as a long task.
	LongTaskThreshold time.Duration
	// RetryDelay is the delay after which a client may retry a job that was refused because
	// AdmitJobs is false.
	RetryDelay time.Duration
}

// Preset returns the preset with the given name. If Parse has not returned the
// declarations, they lack the preset and its built-in values are returned.
func (d *Declarations) Preset(name PresetName) Preset {
	for _, p := range d.Presets {
		if p.Name == name {
			return p
		}
	}
	return defaultPreset(name)
}

// Service returns the service with the given name. It returns false if there is none.
func (d *Declarations) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// HashToken returns the SHA-256 of a bearer token in hexadecimal, as in the declarations.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// defaultPreset returns the built-in values of a preset.
func defaultPreset(name PresetName) Preset {
	p := Preset{
		Name: name, AdmitJobs: true, MaxWaitingTasks: 4000, ReservedFraction: 0.01, MaxLongTaskFraction: 0.75,
		LongTaskThreshold: 2 * time.Second, RetryDelay: 30 * time.Second,
	}
	switch name {
	case Peak:
		p.MaxWaitingTasks, p.ReservedFraction, p.MaxLongTaskFraction = 2000, 0, 0.5
	case Maintenance:
		p.AdmitJobs = false
	case Ordinary:
	}
	return p
}

// Parse parses declarations from INI text. Its error is a parser.Faults with all faults of
// the text. The file name appears in the faults.
func Parse(file, text string) (*Declarations, error) {
	doc := parser.Parse(file, text)
	d := &Declarations{}
	for _, name := range doc.SectionNames("service") {
		d.Services = append(d.Services, parseService(doc, name))
	}
	if len(d.Services) == 0 {
		doc.AddFault("service NAME", "", "no service is declared", "add a [service NAME] section")
	}
	for _, name := range doc.SectionNames("client") {
		d.Clients = append(d.Clients, parseClient(doc, d, name))
	}
	requireDistinctTokens(doc, d.Clients)
	for _, name := range PresetNames() {
		d.Presets = append(d.Presets, parsePreset(doc, name))
	}
	drain := doc.Section("drain")
	d.DrainedTargets = holder.NewSet(drain.List("targets")...)
	d.DrainedHosts = holder.NewSet(drain.List("hosts")...)
	drain.ReportUnknownKeys()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func parseService(doc *parser.Document, name string) Service {
	section := doc.Section("service " + name)
	defer section.ReportUnknownKeys()
	service := Service{
		Name:           name,
		Slots:          section.Int("slots", 8, 1, 1024),
		MaxConnections: section.Int("connections", 60, 1, 4096),
		IdleTimeout:    section.Duration("trust", 5*time.Second, 100*time.Millisecond, time.Hour),
		MaxRunTime:     section.Duration("longest", 30*time.Second, 100*time.Millisecond, time.Hour),
		Order:          JobOrder(section.Text("order", string(LeastWork))),
	}
	if service.Order != FirstAdmitted && service.Order != LeastWork {
		doc.AddFault("service "+name, "order", "unknown order", "write first or least")
	}
	if service.MaxConnections < service.Slots {
		doc.AddFault("service "+name, "connections", "fewer than slots", "allow at least one connection a slot")
	}
	return service
}

func parseClient(doc *parser.Document, d *Declarations, name string) Client {
	section := "client " + name
	s := doc.Section(section)
	defer s.ReportUnknownKeys()
	client := Client{
		Name:      name,
		TokenHash: strings.TrimPrefix(s.RequiredText("token", "write sha256: and the SHA-256 of the token in hexadecimal"), "sha256:"),
		Weight:    s.Float("weight", 1, 0.001, 1e6),
		Services:  holder.NewSet(s.List("services")...),
	}
	if raw, err := hex.DecodeString(client.TokenHash); client.TokenHash != "" && (err != nil || len(raw) != sha256.Size) {
		doc.AddFault(section, "token", "not a SHA-256", "write sha256: and 64 hexadecimal digits, never the token itself")
	}
	for _, name := range client.Services.Sorted() {
		if _, ok := d.Service(name); !ok {
			doc.AddFault(section, "services", "service "+name+" is not declared", "declare it, or correct its name")
		}
	}
	return client
}

func requireDistinctTokens(doc *parser.Document, clients []Client) {
	seen := make(map[string]string, len(clients))
	for _, c := range clients {
		if other, ok := seen[c.TokenHash]; ok && c.TokenHash != "" {
			doc.AddFault("client "+c.Name, "token", "the token of client "+other, "give each client a token of its own")
		}
		seen[c.TokenHash] = c.Name
	}
}

func parsePreset(doc *parser.Document, name PresetName) Preset {
	section := doc.Section("preset " + string(name))
	defer section.ReportUnknownKeys()
	preset := defaultPreset(name)
	preset.AdmitJobs = section.Bool("admit", preset.AdmitJobs)
	preset.MaxWaitingTasks = section.Int("queue", preset.MaxWaitingTasks, 1, 1_000_000)
	preset.ReservedFraction = section.Float("reserve", preset.ReservedFraction, 0, 0.2)
	preset.MaxLongTaskFraction = section.Float("hold", preset.MaxLongTaskFraction, 0.01, 1)
	preset.LongTaskThreshold = section.Duration("long", preset.LongTaskThreshold, time.Millisecond, time.Hour)
	preset.RetryDelay = section.Duration("return", preset.RetryDelay, time.Millisecond, 24*time.Hour)
	return preset
}

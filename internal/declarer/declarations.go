// Package declarer reads and checks the declarations that operators keep under
// version control, and the row of the platform's table that holds them.
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

// Name is the name of a preset.
type Name string

const (
	// Ordinary is the preset for ordinary days.
	Ordinary Name = "ordinary"
	// Peak is the preset for peaks.
	Peak Name = "peak"
	// Maintenance is the preset that finishes what runs and takes nothing new.
	Maintenance Name = "maintenance"
)

// Names lists all presets.
func Names() []Name { return []Name{Ordinary, Peak, Maintenance} }

// Order is how one client's own jobs are ordered.
type Order string

const (
	// First serves a client's jobs in the order of their admission.
	First Order = "first"
	// Least serves the job with the least work first, with ageing.
	Least Order = "least"
)

// Declarations is everything that operators declare. It is not changed after
// Parse and may be shared.
type Declarations struct {
	Services []Service
	Clients  []Client
	Presets  []Preset
	// Targets and Hosts are the names that are to be drained.
	Targets holder.Set[string]
	Hosts   holder.Set[string]
}

// Service is a group of targets that run the same kinds of task.
type Service struct {
	Name string
	// Slots and Connections bound what all entry hosts together, and one entry
	// host alone, use of one target.
	Slots       int
	Connections int
	// Trust is how long an idle connection to a target may still be used.
	Trust time.Duration
	// Longest bounds the run time of one task.
	Longest time.Duration
	// Order is the order of jobs within one client.
	Order Order
}

// Client is a customer that submits jobs.
type Client struct {
	Name string
	// Hash is the SHA-256 of the bearer token in hexadecimal.
	Hash string
	// Weight is the client's share relative to other clients.
	Weight float64
	// Services are the services that the client may use; empty means all.
	Services holder.Set[string]
}

// Preset is a set of policies that operators switch together.
type Preset struct {
	Name Name
	// Admit tells whether new jobs are taken.
	Admit bool
	// Queue bounds the waiting tasks of one client at one entry host.
	Queue int
	// Reserve is the part of the zone's slots that each host without waiting
	// work keeps for jobs to come, from 0 to 0.2.
	Reserve float64
	// Hold is the part of the zone's slots that one client's long tasks may
	// hold, from 0 to 1.
	Hold float64
	// Long is the expected run time from which a task counts as long.
	Long time.Duration
	// Return is the time to come back that maintenance tells.
	Return time.Duration
}

// Preset returns the preset of that name. Parse has made sure that it exists.
func (d *Declarations) Preset(name Name) Preset {
	for _, p := range d.Presets {
		if p.Name == name {
			return p
		}
	}
	return standard(name)
}

// Service returns the service of that name.
func (d *Declarations) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// HashToken returns the form of a bearer token that stands in declarations.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// standard returns the built-in values of a preset.
func standard(name Name) Preset {
	p := Preset{
		Name: name, Admit: true, Queue: 4000, Reserve: 0.01, Hold: 0.75,
		Long: 2 * time.Second, Return: 30 * time.Second,
	}
	switch name {
	case Peak:
		p.Queue, p.Reserve, p.Hold = 2000, 0, 0.5
	case Maintenance:
		p.Admit = false
	case Ordinary:
	}
	return p
}

// Parse reads declarations from INI text. Its error is parser.Faults with every
// fault of the text.
func Parse(file, text string) (*Declarations, error) {
	doc := parser.Parse(file, text)
	d := &Declarations{}
	for _, name := range doc.Names("service") {
		d.Services = append(d.Services, parseService(doc, name))
	}
	if len(d.Services) == 0 {
		doc.Fault("service NAME", "", "no service is declared", "add a [service NAME] section")
	}
	for _, name := range doc.Names("client") {
		d.Clients = append(d.Clients, parseClient(doc, d, name))
	}
	checkTokens(doc, d.Clients)
	for _, name := range Names() {
		d.Presets = append(d.Presets, parsePreset(doc, name))
	}
	drain := doc.Section("drain")
	d.Targets = holder.NewSet(drain.List("targets")...)
	d.Hosts = holder.NewSet(drain.List("hosts")...)
	drain.Close()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func parseService(doc *parser.Document, name string) Service {
	s := doc.Section("service " + name)
	defer s.Close()
	v := Service{
		Name:        name,
		Slots:       s.Int("slots", 8, 1, 1024),
		Connections: s.Int("connections", 60, 1, 4096),
		Trust:       s.Duration("trust", 5*time.Second, 100*time.Millisecond, time.Hour),
		Longest:     s.Duration("longest", 30*time.Second, 100*time.Millisecond, time.Hour),
		Order:       Order(s.Text("order", string(Least))),
	}
	if v.Order != First && v.Order != Least {
		doc.Fault("service "+name, "order", "unknown order", "write first or least")
	}
	if v.Connections < v.Slots {
		doc.Fault("service "+name, "connections", "fewer than slots", "allow at least one connection a slot")
	}
	return v
}

func parseClient(doc *parser.Document, d *Declarations, name string) Client {
	section := "client " + name
	s := doc.Section(section)
	defer s.Close()
	v := Client{
		Name:     name,
		Hash:     strings.TrimPrefix(s.Need("token", "write sha256: and the SHA-256 of the token in hexadecimal"), "sha256:"),
		Weight:   s.Float("weight", 1, 0.001, 1e6),
		Services: holder.NewSet(s.List("services")...),
	}
	if raw, err := hex.DecodeString(v.Hash); v.Hash != "" && (err != nil || len(raw) != sha256.Size) {
		doc.Fault(section, "token", "not a SHA-256", "write sha256: and 64 hexadecimal digits, never the token itself")
	}
	for _, name := range v.Services.Sorted() {
		if _, ok := d.Service(name); !ok {
			doc.Fault(section, "services", "service "+name+" is not declared", "declare it, or correct its name")
		}
	}
	return v
}

func checkTokens(doc *parser.Document, clients []Client) {
	seen := make(map[string]string, len(clients))
	for _, c := range clients {
		if other, ok := seen[c.Hash]; ok && c.Hash != "" {
			doc.Fault("client "+c.Name, "token", "the token of client "+other, "give each client a token of its own")
		}
		seen[c.Hash] = c.Name
	}
}

func parsePreset(doc *parser.Document, name Name) Preset {
	s := doc.Section("preset " + string(name))
	defer s.Close()
	v := standard(name)
	v.Admit = s.Bool("admit", v.Admit)
	v.Queue = s.Int("queue", v.Queue, 1, 1_000_000)
	v.Reserve = s.Float("reserve", v.Reserve, 0, 0.2)
	v.Hold = s.Float("hold", v.Hold, 0.01, 1)
	v.Long = s.Duration("long", v.Long, time.Millisecond, time.Hour)
	v.Return = s.Duration("return", v.Return, time.Millisecond, 24*time.Hour)
	return v
}

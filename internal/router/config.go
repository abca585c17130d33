package router

import (
	"slices"
	"strings"
	"time"
)

// Config is a complete configuration as operators have declared it.
type Config struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}

// Route maps requests with a host name and a path prefix to a service.
type Route struct {
	Name    string `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Prefix  string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	// Timeout bounds the time of a request.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Allowance and Stretch define the latency objective: a job may take Stretch times
	// its expected run time plus Allowance.
	Allowance time.Duration `cbor:"6,keyasint"`
	Stretch   float64       `cbor:"7,keyasint"`
	// Priority orders routes; 0 is the most urgent.
	Priority int `cbor:"8,keyasint"`
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int `cbor:"9,keyasint"`
	// ExternallyPlaced is true if only an external service knows which targets may be
	// used.
	ExternallyPlaced bool `cbor:"10,keyasint,omitempty"`
}

// Service is a pool of targets.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections bounds the open connections to one target.
	MaxConnections int `cbor:"2,keyasint"`
	// ChecksCapacity is true if the service's targets refuse tasks that do not fit.
	ChecksCapacity bool `cbor:"3,keyasint"`
}

// Limits bound the requests of clients.
type Limits struct {
	MaxHeader   int           `cbor:"1,keyasint"` // bytes
	MaxBody     int           `cbor:"2,keyasint"` // bytes
	ReadTimeout time.Duration `cbor:"3,keyasint"` // for the header of a request
	IdleTimeout time.Duration `cbor:"4,keyasint"` // between two requests of a connection
}

// Match returns the route for a host name and a path: among the routes of the host, the
// one with the longest prefix of the path. It returns false if there is none.
func (c *Config) Match(host, path string) (Route, bool) {
	bestIndex := -1
	for i, route := range c.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if bestIndex < 0 || len(route.Prefix) > len(c.Routes[bestIndex].Prefix) {
			bestIndex = i
		}
	}
	if bestIndex < 0 {
		return Route{}, false
	}
	return c.Routes[bestIndex], true
}

// Target is an entry of the directory.
type Target struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Draining is true if the target accepts no new tasks and is about to leave.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Capacity is what the target offers to tasks.
	Capacity Resources `cbor:"6,keyasint"`
	// Labels are the target's kind and its rack.
	Labels []string `cbor:"7,keyasint,omitempty"`
	// StartedAt is the start time of the target's process in Unix milliseconds, which
	// identifies the process; 0 means unknown.
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
	// ColdLeft is how much longer the target is slow after a start or an evacuation, as of the
	// time at which the entry was written.
	ColdLeft time.Duration `cbor:"9,keyasint,omitempty"`
}

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	CPU    int `cbor:"1,keyasint" json:"cpu"`    // thousandths of a core
	Memory int `cbor:"2,keyasint" json:"memory"` // MB
	GPU    int `cbor:"3,keyasint,omitempty" json:"gpu,omitempty"`
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Minus returns r less part.
func (r Resources) Minus(part Resources) Resources {
	return Resources{CPU: r.CPU - part.CPU, Memory: r.Memory - part.Memory, GPU: r.GPU - part.GPU}
}

// largerOf returns the larger of each amount.
func (r Resources) largerOf(other Resources) Resources {
	return Resources{CPU: max(r.CPU, other.CPU), Memory: max(r.Memory, other.Memory), GPU: max(r.GPU, other.GPU)}
}

// Directory is a version of the platform's list of targets.
type Directory struct {
	Version uint64   `cbor:"1,keyasint"`
	Targets []Target `cbor:"2,keyasint"`
	// Total is the number of targets in all zones, even if Targets has only those of
	// one zone; 0 means len(Targets).
	Total int `cbor:"3,keyasint,omitempty"`

	// merged is true if the version does not identify the list: targets of an earlier version were
	// retained, or the hosts of each zone had a list of their own.
	merged bool
}

// targetCount returns the number of targets in all zones.
func (d Directory) targetCount() int { return max(d.Total, len(d.Targets)) }

// hasSameTargets reports whether two directories list the same targets in the same
// state.
func (d Directory) hasSameTargets(other Directory) bool {
	return d.targetCount() == other.targetCount() && slices.EqualFunc(d.Targets, other.Targets, Target.isSame)
}

// isSame reports whether two entries are equal but for the exact time for which the target
// stays cold.
func (t Target) isSame(other Target) bool {
	return t.ID == other.ID && t.Address == other.Address && t.Service == other.Service && t.Zone == other.Zone &&
		t.Draining == other.Draining && t.Capacity == other.Capacity && t.StartedAt == other.StartedAt && (t.ColdLeft > 0) == (other.ColdLeft > 0) && slices.Equal(t.Labels, other.Labels)
}

package reporter

import (
	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// Packer turns the reports of one connection into deltas. The zero value is ready.
// It is not safe for concurrent use.
type Packer struct {
	last   scheduler.Report
	places map[string]int
}

// Pack returns the delta from the last packed report to this one.
func (p *Packer) Pack(report scheduler.Report) Delta {
	d := Delta{Config: report.Config, Directory: report.Directory, Leaving: report.Leaving}
	for _, x := range differ(p.last.Demands, report.Demands, demandKey, clearDemand) {
		d.Demands = append(d.Demands, Demand{Service: p.place(&d, x.Service), Client: p.place(&d, x.Client), Running: x.Running, Waiting: x.Waiting})
	}
	for _, x := range differ(p.last.Uses, report.Uses, useKey, clearUse) {
		d.Uses = append(d.Uses, Use{Target: p.place(&d, x.Target), Tasks: x.Tasks, State: x.State, Doubt: x.Doubt})
	}
	p.last = report
	return d
}

// place returns the place of a name and adds a new name to the delta.
func (p *Packer) place(d *Delta, name string) int {
	place, known := p.places[name]
	if known {
		return place
	}
	if p.places == nil {
		p.places = make(map[string]int)
	}
	place = len(p.places)
	p.places[name] = place
	d.Names = append(d.Names, name)
	return place
}

// maxNames bounds the names of one connection.
const maxNames = 100_000

// Unpacker turns the deltas of one connection back into reports. Report is set
// before the first delta. It is not safe for concurrent use.
type Unpacker struct {
	// Report is the newest report.
	Report scheduler.Report

	names []string
}

// Unpack applies a delta to the report. A delta that names an unknown place, or
// too many names, gives an Error with reason Malformed.
func (u *Unpacker) Unpack(d Delta) error {
	u.names = append(u.names, d.Names...)
	if len(u.names) > maxNames {
		return shallotrouter.Errorf(shallotrouter.Malformed, "a peer sent more than %d names; restart it", maxNames)
	}
	demands := make([]scheduler.Demand, len(d.Demands))
	uses := make([]scheduler.Use, len(d.Uses))
	for i, x := range d.Demands {
		if !u.known(x.Service) || !u.known(x.Client) {
			return errPlace
		}
		demands[i] = scheduler.Demand{Service: u.names[x.Service], Client: u.names[x.Client], Running: x.Running, Waiting: x.Waiting}
	}
	for i, x := range d.Uses {
		if !u.known(x.Target) {
			return errPlace
		}
		uses[i] = scheduler.Use{Target: u.names[x.Target], Tasks: x.Tasks, State: x.State, Doubt: x.Doubt}
	}
	r := &u.Report
	r.Config, r.Directory, r.Leaving = d.Config, d.Directory, d.Leaving
	r.Demands = merge(r.Demands, demands, demandKey, func(x scheduler.Demand) bool { return x == clearDemand(x) })
	r.Uses = merge(r.Uses, uses, useKey, func(x scheduler.Use) bool { return x == clearUse(x) })
	return nil
}

// errPlace marks a delta that refers to a name that was not sent.
var errPlace = shallotrouter.Errorf(shallotrouter.Malformed, "a peer refers to a name that it did not send; run the same version on all hosts")

func (u *Unpacker) known(place int) bool { return place >= 0 && place < len(u.names) }

package reporter

import (
	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// DeltaEncoder encodes the reports of one connection as deltas. The zero value is ready. It is
// not safe for concurrent use.
type DeltaEncoder struct {
	previous    scheduler.Report
	nameIndexes map[string]int
}

// Encode returns the delta from the previously encoded report to the given one.
func (p *DeltaEncoder) Encode(report scheduler.Report) Delta {
	d := Delta{Config: report.Config, Directory: report.Directory, Leaving: report.Leaving}
	for _, x := range diffEntries(p.previous.Demands, report.Demands, demandKey, emptyDemand) {
		d.Demands = append(d.Demands, Demand{Service: p.nameIndex(&d, x.Service), Client: p.nameIndex(&d, x.Client), Running: x.Running, Waiting: x.Waiting})
	}
	for _, x := range diffEntries(p.previous.Uses, report.Uses, useKey, emptyUse) {
		d.Uses = append(d.Uses, TargetUse{Target: p.nameIndex(&d, x.Target), Tasks: x.Tasks, State: x.State, Doubt: x.Suspicion})
	}
	p.previous = report
	return d
}

// nameIndex returns the index of a name. It adds a new name to the delta.
func (p *DeltaEncoder) nameIndex(d *Delta, name string) int {
	index, known := p.nameIndexes[name]
	if known {
		return index
	}
	if p.nameIndexes == nil {
		p.nameIndexes = make(map[string]int)
	}
	index = len(p.nameIndexes)
	p.nameIndexes[name] = index
	d.Names = append(d.Names, name)
	return index
}

// maxNamesPerConnection limits the names that a peer may send on one connection.
const maxNamesPerConnection = 100_000

// DeltaDecoder rebuilds the reports of one connection from deltas. Report is set before the
// first delta. It is not safe for concurrent use.
type DeltaDecoder struct {
	// Report is the report after the last delta.
	Report scheduler.Report

	names []string
}

// Decode applies a delta to Report. It returns an Error with reason Malformed if the
// delta refers to an unknown name or if the peer has sent too many names.
func (u *DeltaDecoder) Decode(d Delta) error {
	u.names = append(u.names, d.Names...)
	if len(u.names) > maxNamesPerConnection {
		return shallotrouter.Errorf(shallotrouter.Malformed, "peer sent more than %d names on one connection; restart the peer", maxNamesPerConnection)
	}
	demands := make([]scheduler.Demand, len(d.Demands))
	uses := make([]scheduler.TargetUse, len(d.Uses))
	for i, x := range d.Demands {
		if !u.isKnown(x.Service) || !u.isKnown(x.Client) {
			return errUnknownName
		}
		demands[i] = scheduler.Demand{Service: u.names[x.Service], Client: u.names[x.Client], Running: x.Running, Waiting: x.Waiting}
	}
	for i, x := range d.Uses {
		if !u.isKnown(x.Target) {
			return errUnknownName
		}
		uses[i] = scheduler.TargetUse{Target: u.names[x.Target], Tasks: x.Tasks, State: x.State, Suspicion: x.Doubt}
	}
	r := &u.Report
	r.Config, r.Directory, r.Leaving = d.Config, d.Directory, d.Leaving
	r.Demands = mergeEntries(r.Demands, demands, demandKey, func(x scheduler.Demand) bool { return x == emptyDemand(x) })
	r.Uses = mergeEntries(r.Uses, uses, useKey, func(x scheduler.TargetUse) bool { return x == emptyUse(x) })
	return nil
}

// errUnknownName means that a delta refers to a name that was not sent.
var errUnknownName = shallotrouter.Errorf(shallotrouter.Malformed, "peer refers to a name that it has not sent; run the same version on all hosts")

func (u *DeltaDecoder) isKnown(index int) bool { return index >= 0 && index < len(u.names) }

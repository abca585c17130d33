package router

import (
	"fmt"
	"math"
)

const (
	// MaxTasks bounds the tasks of a job: twenty times the 460 of the largest that the
	// users plan.
	MaxTasks = 10_000
	// maxGeneration bounds the generations of claims, so that a token stays below 2^53
	// and is exact in JSON.
	maxGeneration = 1 << (53 - slotBits - slotUseBits)
)

// MalformedError tells that a message of another host cannot be used. Look for hosts that
// run another version of the program.
type MalformedError struct{ Field, Value string }

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed message: %s is %s; check that all hosts run the same version", e.Field, e.Value)
}

// Check returns a *MalformedError for a message whose values would break what the router
// relies on.
func (m Message) Check() error {
	switch {
	case m.Offer != nil:
		return m.Offer.check()
	case m.Heartbeat != nil:
		return m.Heartbeat.check()
	}
	return nil
}

func (o *Offer) check() error {
	j := &o.Job
	switch {
	case j.ID == "":
		return &MalformedError{"the job's id", "empty"}
	case j.Count < 1 || j.Count > MaxTasks:
		return &MalformedError{"the number of tasks", fmt.Sprint(j.Count)}
	case j.Need.CPU < 0 || j.Need.Memory < 0 || j.Need.GPU < 0:
		return &MalformedError{"a task's need", fmt.Sprint(j.Need)}
	case !areFinite(j.Stretch):
		return &MalformedError{"the stretch", fmt.Sprint(j.Stretch)}
	case o.RunBase < 0:
		return &MalformedError{"the base of run numbers", fmt.Sprint(o.RunBase)}
	}
	return nil
}

func (b *Heartbeat) check() error {
	if b.Generation >= maxGeneration {
		return &MalformedError{"the generation", fmt.Sprint(b.Generation)}
	}
	for _, c := range b.Claims {
		if generationOf(c.Token) >= maxGeneration {
			return &MalformedError{"a claim's token", fmt.Sprint(c.Token)}
		}
	}
	return checkLearnedState(b.Routes, b.Speeds)
}

// checkLearnedState checks what another host has learned.
func checkLearnedState(routes []RouteStats, speeds []KindSpeed) error {
	for _, stats := range routes {
		if stats.Count < 0 || stats.Timeouts < 0 || stats.VarTimeout < 0 || !areFinite(stats.MeanX, stats.MeanY, stats.VarX, stats.CovXY, stats.MeanTimeout, stats.VarTimeout) {
			return &MalformedError{"what was learned of a route", fmt.Sprint(stats)}
		}
	}
	for _, s := range speeds {
		if s.Count < 0 || !areFinite(s.Log) {
			return &MalformedError{"the speed of a kind", fmt.Sprint(s)}
		}
	}
	return nil
}

// areFinite reports whether all values are numbers.
func areFinite(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

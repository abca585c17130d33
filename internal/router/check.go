package router

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// MaxTasks bounds the tasks of a job. It is about twenty times the 460 tasks of the
	// largest job that clients plan.
	MaxTasks = 10_000
	// maxRunNumber bounds the numbers of runs, and maxVersion the versions of the store and of
	// configurations. It is the largest integer to which JSON is exact.
	maxRunNumber = 1 << 53
	maxVersion   = 1 << 53
	// maxTimestamp bounds Unix times in nanoseconds: the year 2116.
	maxTimestamp = math.MaxInt64 / 2
	// maxDuration bounds the times that clients and other hosts state, about nine years, so that sums
	// and small multiples do not overflow.
	maxDuration = 1 << 58
	// maxLogSeconds bounds the logarithms of run times in seconds, and those of their factors. That of
	// the longest time.Duration is 23.
	maxLogSeconds = 23
	// maxSampleCount bounds the numbers of samples, so that their sum does not overflow.
	maxSampleCount = 1 << 40
	// maxStrength bounds a host's processor share and link rate.
	maxStrength = 1 << 40
	// maxKeyBytes bounds the names of zones, which are keys in the platform's store, and
	// maxAddressBytes those of hosts: a domain name and a port.
	maxKeyBytes     = 200
	maxAddressBytes = 260
	// maxGeneration bounds the generations of claims, so that a token stays below 2^53
	// and is exact in JSON.
	maxGeneration = 1 << (53 - slotBits - slotUseBits)
	// maxStoredGeneration bounds the generations of claims in the store, so that those of the claims
	// that follow stay below maxGeneration.
	maxStoredGeneration = maxGeneration / 2
)

// MalformedError reports that a message from another host has an invalid value. A
// likely cause is a host that runs another version of the program.
type MalformedError struct{ Field, Value string }

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed message: %s is %s; check that all hosts run the same version of the program", e.Field, e.Value)
}

// Check returns a *MalformedError if m has a value that would violate an assumption of
// the router.
func (m Message) Check() error {
	switch {
	case m.Offer != nil:
		return m.Offer.check()
	case m.Heartbeat != nil:
		return m.Heartbeat.check()
	case m.Progress != nil:
		return checkCrashes(m.Progress.Crashes, m.Progress.Acquittals)
	}
	return nil
}

func (o *Offer) check() error {
	j := &o.Job
	switch {
	case j.ID == "":
		return &MalformedError{"the job ID", "empty"}
	case j.Count < 1 || j.Count > MaxTasks:
		return &MalformedError{"the task count", fmt.Sprint(j.Count)}
	case j.Need.CPU < 0 || j.Need.Memory < 0 || j.Need.GPU < 0:
		return &MalformedError{"the resource need of a task", fmt.Sprint(j.Need)}
	case !areFinite(j.Stretch):
		return &MalformedError{"the stretch", fmt.Sprint(j.Stretch)}
	case o.RunBase < 0 || o.RunBase > maxRunNumber:
		return &MalformedError{"the run number base", fmt.Sprint(o.RunBase)}
	}
	if err := checkZoneNames(o.ReachableZones); err != nil {
		return err
	}
	return checkCrashes(o.Crashes, o.Acquittals)
}

func (h *Heartbeat) check() error {
	if h.Generation >= maxGeneration {
		return &MalformedError{"the generation", fmt.Sprint(h.Generation)}
	}
	if h.Sent < 0 || h.Sent > maxTimestamp {
		return &MalformedError{"the time of a heartbeat", fmt.Sprint(h.Sent)}
	}
	if err := h.Member.Check(); err != nil {
		return err
	}
	if len(h.Successor) > maxAddressBytes {
		return &MalformedError{"the address of a successor", fmt.Sprintf("%d bytes long", len(h.Successor))}
	}
	if h.Lag < 0 || h.Lag > maxDuration {
		return &MalformedError{"the lag of a host", fmt.Sprint(h.Lag)}
	}
	for _, c := range h.Claims {
		if generationOf(c.Token) >= maxGeneration {
			return &MalformedError{"the token of a claim", fmt.Sprint(c.Token)}
		}
	}
	if err := checkCrashes(h.Crashes, h.Acquittals); err != nil {
		return err
	}
	if err := checkLoads(h.Loads, h.Neighbours); err != nil {
		return err
	}
	if err := checkUnstopped(h.Unstopped); err != nil {
		return err
	}
	if err := checkTargetSpeeds(h.TargetSpeeds, h.SpeedSpread); err != nil {
		return err
	}
	if err := checkInterferences(h.Interferences); err != nil {
		return err
	}
	return checkLearnedState(h.Routes, h.Speeds)
}

// check checks a claim that was read from the store.
func (c *Claim) check() error {
	if generationOf(c.Token) >= maxStoredGeneration {
		return &MalformedError{"the token of a claim in the store", fmt.Sprint(c.Token)}
	}
	return nil
}

// Check returns a *MalformedError if no host can be the member, which names itself or is named by the
// store or a claim.
func (m *Member) Check() error {
	switch {
	case m.Incarnation < 0 || m.Incarnation > maxTimestamp:
		return &MalformedError{"the incarnation of a host", fmt.Sprint(m.Incarnation)}
	case m.Slot < 0 || m.Slot >= 1<<slotBits:
		return &MalformedError{"the slot of a host", fmt.Sprint(m.Slot)}
	case m.CPUShare < 0 || m.CPUShare > maxStrength:
		return &MalformedError{"the processor share of a host", fmt.Sprint(m.CPUShare)}
	case m.LinkRate < 0 || m.LinkRate > maxStrength:
		return &MalformedError{"the link rate of a host", fmt.Sprint(m.LinkRate)}
	case len(m.Zone) > maxKeyBytes || len(m.Address) > maxAddressBytes:
		return &MalformedError{"the zone or address of a host", fmt.Sprintf("%d and %d bytes long", len(m.Zone), len(m.Address))}
	}
	return nil
}

// isInvalidVersion reports whether a version cannot be one of the store or of a configuration. Once adopted,
// no later one could replace it.
func (r *Router) isInvalidVersion(version uint64, kind string) bool {
	if version <= maxVersion {
		return false
	}
	r.emit(Decision{Action: "ignore", Pairs: []any{"kind", kind, "error", (&MalformedError{"the version", fmt.Sprint(version)}).Error()}})
	return true
}

// isStorable reports whether a zone's claim can be a row of the platform's store.
func isStorable(zone string) bool { return zone != "" && len(zone) <= maxKeyBytes }

// checkCrashes checks crashes and acquittals that were received from another host.
func checkCrashes(crashes, acquittals []Crash) error {
	for _, c := range slices.Concat(crashes, acquittals) {
		if c.Run < 0 || c.Run > maxRunNumber || c.Job == "" || c.Task < 0 || c.Task >= MaxTasks || c.Target == "" || c.StartedAt <= 0 {
			return &MalformedError{"a crash", fmt.Sprint(c)}
		}
	}
	return nil
}

// checkLearnedState checks learned state that was received from another host.
func checkLearnedState(routes []RouteStats, speeds []KindSpeed) error {
	for _, stats := range routes {
		if !stats.isSound() {
			return &MalformedError{"a route's statistics", fmt.Sprint(stats)}
		}
	}
	for _, s := range speeds {
		if s.Count < 0 || s.Count > maxSampleCount || !(math.Abs(s.Log) <= maxLogSeconds) {
			return &MalformedError{"the speed of a target kind", fmt.Sprint(s)}
		}
	}
	return nil
}

// isSound reports whether a route's tasks can have led to the statistics.
func (s *RouteStats) isSound() bool {
	return s.Count >= 0 && s.Count <= maxSampleCount && s.Timeouts >= 0 && s.Timeouts <= maxSampleCount && s.VarTimeout >= 0 &&
		math.Abs(s.MeanX) <= maxLogSeconds && math.Abs(s.MeanY) <= maxLogSeconds && math.Abs(s.MeanTimeout) <= math.MaxInt64/float64(time.Second) &&
		areFinite(s.VarX, s.CovXY, s.VarTimeout)
}

// areFinite reports whether no value is infinite or NaN.
func areFinite(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

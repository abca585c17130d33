package modeler

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// store simulates the platform's store.
type store struct {
	sim          *Simulation
	unavailable  bool
	dropsAnswers bool // writes take effect but are not answered
	latency      time.Duration
	version      uint64
	claims       map[string]router.StoredClaim
	members      map[string]memberRow
	targets      map[string]router.Target
	savedStates  map[string]router.SaveLearnedState // by zone
	config       *router.Config
	// evacuatedSince says since when each evacuated zone is evacuated, and
	// evacuationsVersion is the version at which that last changed.
	evacuatedSince     map[string]time.Time
	evacuationsVersion uint64
}

type memberRow struct {
	member        router.Member
	registrations int
}

// storeRoundTrip is the default duration of a call to the store.
const storeRoundTrip = 4 * time.Millisecond

func newStore(sim *Simulation) *store {
	return &store{
		sim: sim, latency: storeRoundTrip, claims: make(map[string]router.StoredClaim),
		members: make(map[string]memberRow), targets: make(map[string]router.Target),
		savedStates: make(map[string]router.SaveLearnedState), evacuatedSince: make(map[string]time.Time),
		version: 1, evacuationsVersion: 1,
	}
}

// invoke schedules a call at the store and returns true, or returns false if the host cannot
// reach the store.
func (s *store) invoke(h *host, operation func()) bool {
	sim := s.sim
	if s.unavailable || !sim.canReach(h.name, h.zone, "store", "store") {
		return false
	}
	if h.silent.store > 0 {
		h.silent.store--
		return false
	}
	sim.schedule(s.latency, operation)
	return true
}

// register registers a host and loads the learned state. It retries every 300 ms while the
// store is unavailable.
func (s *store) register(h *host) {
	process, incarnation := h.incarnation, h.router.Self.Incarnation
	ok := s.invoke(h, func() {
		if h.incarnation != process {
			return // the next process has registered, or will
		}
		row := s.members[h.address]
		if row.registrations == 0 {
			row.member.Slot = len(s.members) + 1
		}
		row.registrations++
		row.member = router.Member{Name: h.name, Zone: h.zone, Address: h.address, Incarnation: max(incarnation, row.member.Incarnation+int64(time.Second)), Slot: row.member.Slot}
		s.members[h.address] = row
		registered := router.Registered{Slot: row.member.Slot, SlotUses: row.registrations, Incarnation: row.member.Incarnation}
		for _, address := range sortedKeys(s.members) {
			registered.Members = append(registered.Members, s.members[address].member)
		}
		registered.Claims = s.sortedClaims()
		h.schedule(0, func() { h.step(registered) })
		s.loadLearnedState(h)
	})
	if !ok {
		h.schedule(300*time.Millisecond, func() { s.register(h) })
	}
}

func (s *store) writeClaims(h *host, e router.WriteClaims) {
	ok := s.invoke(h, func() {
		written := s.applyClaims(e)
		if !s.dropsAnswers {
			h.schedule(0, func() { h.step(written) })
		}
	})
	if delay := lateWriteDelay(e.Token); !ok && delay > 0 {
		s.sim.schedule(delay, func() { s.applyClaims(e) })
	}
}

// lateWriteDelay returns the delay after which the store executes a write that was sent
// while the store was unreachable, or 0 if the write is lost. Half of the writes are lost.
// The delay depends on the token only, so that a write of the same claims always has the
// same outcome.
func lateWriteDelay(token uint64) time.Duration {
	const maxMillis = 4096
	if token%2 == 0 {
		return 0
	}
	return time.Duration(token*token%maxMillis) * time.Millisecond
}

// applyClaims writes claims if each of their rows still has the expected version.
func (s *store) applyClaims(e router.WriteClaims) router.ClaimsWritten {
	written := router.ClaimsWritten{Token: e.Token, Result: router.ClaimWon}
	for _, row := range e.Rows {
		if s.claims[row.Claim.Zone].Version != row.Version {
			written.Result = router.ClaimConflict
		}
	}
	if written.Result == router.ClaimWon {
		s.version++
		for _, row := range e.Rows {
			s.claims[row.Claim.Zone] = router.StoredClaim{Claim: row.Claim, Version: s.version}
		}
	}
	for _, row := range e.Rows {
		written.Rows = append(written.Rows, s.claims[row.Claim.Zone])
	}
	return written
}

func (s *store) sortedClaims() []router.StoredClaim {
	var claims []router.StoredClaim
	for _, zone := range sortedKeys(s.claims) {
		claims = append(claims, s.claims[zone])
	}
	return claims
}

func (s *store) readClaims(h *host) {
	s.invoke(h, func() {
		claims := s.sortedClaims()
		h.schedule(0, func() { h.step(router.ClaimsRead{Claims: claims}) })
	})
}

func (s *store) saveLearnedState(h *host, e router.SaveLearnedState) {
	s.invoke(h, func() { s.savedStates[h.zone] = e })
}

func (s *store) loadLearnedState(h *host) {
	s.invoke(h, func() {
		var e router.LearnedStateRead
		for _, zone := range sortedKeys(s.savedStates) {
			e.Saved = append(e.Saved, s.savedStates[zone])
		}
		h.schedule(0, func() { h.step(e) })
	})
}

func (s *store) readDirectory(h *host) {
	requestedAt := h.clock()
	ok := s.invoke(h, func() {
		directory := router.Directory{Version: s.version}
		for _, id := range sortedKeys(s.targets) {
			directory.Targets = append(directory.Targets, s.targets[id])
		}
		h.schedule(0, func() { h.step(router.DirectoryRead{RequestedAt: requestedAt, Directory: directory}) })
	})
	if !ok {
		h.schedule(500*time.Millisecond, func() { h.step(router.DirectoryReadFailed{}) })
	}
}

// readDeclarations delivers the configuration and the evacuated zones to a host.
func (s *store) readDeclarations(h *host) {
	requestedAt := h.clock()
	s.invoke(h, func() {
		config := s.config
		evacuations := router.Evacuations{Version: s.evacuationsVersion, Zones: sortedKeys(s.evacuatedSince)}
		h.schedule(0, func() {
			h.step(router.EvacuationsRead{RequestedAt: requestedAt, Evacuations: evacuations})
			h.step(router.Adopt{Config: config})
		})
	})
}

// evacuate begins or ends the evacuation of a zone. The operator's write reaches the store
// even while the hosts cannot.
func (s *store) evacuate(zone string, evacuated bool) {
	s.version++
	s.evacuationsVersion = s.version
	if evacuated {
		s.evacuatedSince[zone] = s.sim.now
	} else {
		delete(s.evacuatedSince, zone)
	}
}

func (s *store) listTarget(t *target) {
	s.version++
	s.targets[t.entry.ID] = t.entry
}

func (s *store) unlistTarget(t *target) {
	s.version++
	delete(s.targets, t.entry.ID)
}

// unlistUnreachable removes the entries of targets that cannot reach the store.
func (s *store) unlistUnreachable() {
	for _, id := range sortedKeys(s.sim.targets) {
		t := s.sim.targets[id]
		if !s.sim.canReach(id, t.entry.Zone, "store", "store") {
			s.unlistTarget(t)
		}
	}
}

// relistRunning writes the entries of all running targets again.
func (s *store) relistRunning() {
	for _, id := range sortedKeys(s.sim.targets) {
		if t := s.sim.targets[id]; t.up {
			s.listTarget(t)
		}
	}
}

// sortedKeys returns a map's keys in order, so that a simulation with the same seed repeats
// exactly.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

package modeler

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// store is a model of the platform's store.
type store struct {
	world   *World
	down    bool
	lost    bool // writes take effect and are not answered
	delay   time.Duration
	version uint64
	claims  map[string]router.StoredClaim
	members map[string]memberRow
	entries map[string]router.Target
	kept    map[string]router.SaveLearnedState // by zone
	current *router.Config
}

type memberRow struct {
	member router.Member
	lives  int
}

// storeTrip is the usual time of a call.
const storeTrip = 4 * time.Millisecond

func newStore(w *World) *store {
	return &store{
		world: w, delay: storeTrip, claims: make(map[string]router.StoredClaim),
		members: make(map[string]memberRow), entries: make(map[string]router.Target),
		kept: make(map[string]router.SaveLearnedState),
	}
}

// reach runs a call at the store unless it is away, and reports whether it does.
func (s *store) reach(h *host, call func()) bool {
	w := s.world
	if s.down || !w.passes(h.name, h.zone, "store", "store") {
		return false
	}
	w.after(s.delay, call)
	return true
}

// enrol registers a host, later if the store is away.
func (s *store) enrol(h *host) {
	ok := s.reach(h, func() {
		row := s.members[h.address]
		if row.lives == 0 {
			row.member.Slot = len(s.members) + 1
		}
		row.lives++
		row.member = router.Member{Name: h.name, Zone: h.zone, Address: h.address, Incarnation: h.router.Self.Incarnation, Slot: row.member.Slot}
		s.members[h.address] = row
		enrolled := router.Registered{Slot: row.member.Slot, SlotUses: row.lives}
		for _, address := range sortedNames(s.members) {
			enrolled.Members = append(enrolled.Members, s.members[address].member)
		}
		for _, zone := range sortedNames(s.claims) {
			enrolled.Claims = append(enrolled.Claims, s.claims[zone])
		}
		h.later(0, func() { h.step(enrolled) })
		s.recall(h)
	})
	if !ok {
		h.later(300*time.Millisecond, func() { s.enrol(h) })
	}
}

func (s *store) stake(h *host, e router.WriteClaims) {
	ok := s.reach(h, func() {
		claimed := s.write(e)
		if !s.lost {
			h.later(0, func() { h.step(claimed) })
		}
	})
	if late := lateWrite(e.Token); !ok && late > 0 {
		s.world.after(late, func() { s.write(e) })
	}
}

// lateWrite returns how long after it was sent a call is performed that could not reach
// the store, or 0 for never: half of all, so that the same claim always fares alike.
func lateWrite(token uint64) time.Duration {
	const longest = 4096 // milliseconds
	if token%2 == 0 {
		return 0
	}
	return time.Duration(token*token%longest) * time.Millisecond
}

// write writes claims if none of their rows has changed.
func (s *store) write(e router.WriteClaims) router.ClaimsWritten {
	claimed := router.ClaimsWritten{Token: e.Token, Result: router.ClaimWon}
	for _, row := range e.Rows {
		if s.claims[row.Claim.Zone].Version != row.Version {
			claimed.Result = router.ClaimConflict
		}
	}
	if claimed.Result == router.ClaimWon {
		s.version++
		for _, row := range e.Rows {
			s.claims[row.Claim.Zone] = router.StoredClaim{Claim: row.Claim, Version: s.version}
		}
	}
	for _, row := range e.Rows {
		claimed.Rows = append(claimed.Rows, s.claims[row.Claim.Zone])
	}
	return claimed
}

func (s *store) keep(h *host, e router.SaveLearnedState) {
	s.reach(h, func() { s.kept[h.zone] = e })
}

func (s *store) recall(h *host) {
	s.reach(h, func() {
		var e router.LearnedStateRead
		for _, zone := range sortedNames(s.kept) {
			e.Saved = append(e.Saved, s.kept[zone])
		}
		h.later(0, func() { h.step(e) })
	})
}

func (s *store) read(h *host) {
	asked := s.world.now
	ok := s.reach(h, func() {
		d := router.Directory{Version: s.version}
		for _, id := range sortedNames(s.entries) {
			d.Targets = append(d.Targets, s.entries[id])
		}
		h.later(0, func() { h.step(router.DirectoryRead{RequestedAt: asked, Directory: d}) })
	})
	if !ok {
		h.later(500*time.Millisecond, func() { h.step(router.DirectoryReadFailed{}) })
	}
}

func (s *store) config(h *host) {
	s.reach(h, func() {
		c := s.current
		h.later(0, func() { h.step(router.Adopt{Config: c}) })
	})
}

func (s *store) list(t *target) {
	s.version++
	s.entries[t.entry.ID] = t.entry
}

func (s *store) unlist(t *target) {
	s.version++
	delete(s.entries, t.entry.ID)
}

// lapse drops the entries of targets that cannot reach the store.
func (s *store) lapse() {
	for _, id := range sortedNames(s.world.targets) {
		t := s.world.targets[id]
		if !s.world.passes(id, t.entry.Zone, "store", "store") {
			s.unlist(t)
		}
	}
}

// relist brings back the entries of targets that live.
func (s *store) relist() {
	for _, id := range sortedNames(s.world.targets) {
		if t := s.world.targets[id]; t.up {
			s.list(t)
		}
	}
}

// sortedNames returns a map's keys in order, so that plays repeat exactly.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

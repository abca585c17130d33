package registrar

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// enroller registers the host in the store.
type enroller struct{ registrar *Registrar }

// run tries until the host is registered.
func (e *enroller) run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		enrolled, err := e.enrol(ctx)
		if err == nil {
			e.registrar.Sink.Put(enrolled)
			(&call{work: e.registrar.recall}).run(ctx)
			return
		}
		e.registrar.Log.Info("not registered yet", "error", err.Error(), "tries", failures+1)
		e.registrar.pause(ctx, failures)
	}
}

// enrol takes a slot, and then reads who else is there: of two hosts that start
// at once, one sees the other.
func (e *enroller) enrol(ctx context.Context) (router.Registered, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	g := e.registrar
	rows, _, err := g.Table.List(ctx, Members)
	if err != nil {
		return router.Registered{}, err
	}
	slot, lives, err := e.take(ctx, rows)
	if err != nil {
		return router.Registered{}, err
	}
	if rows, _, err = g.Table.List(ctx, Members); err != nil {
		return router.Registered{}, err
	}
	claims, _, err := g.Table.List(ctx, Cells)
	if err != nil {
		return router.Registered{}, err
	}
	enrolled := router.Registered{Slot: slot, SlotUses: lives, Claims: g.claims(claims)}
	for _, row := range rows {
		var found member
		if err := cbor.Unmarshal(row.Value, &found); err != nil {
			g.Log.Error(err, "member not readable", "key", row.Key, "version", row.Version)
			continue
		}
		enrolled.Members = append(enrolled.Members, found.Member)
	}
	return enrolled, nil
}

// take writes the host's row: over that of its earlier life, or at the first
// free slot.
func (e *enroller) take(ctx context.Context, rows []Row) (slot, lives int, err error) {
	taken := make(map[string]Row, len(rows))
	for _, row := range rows {
		taken[row.Key] = row
	}
	slot = firstSlot(e.registrar.Self.Address)
	for range slots {
		row := taken[key(slot)]
		lives, mine := e.reuse(row)
		if mine {
			return e.write(ctx, slot, lives, row.Version)
		}
		slot = slot%slots + 1
	}
	return 0, 0, errors.New("all slots are taken; remove members that are gone")
}

// reuse reports whether a row is free or of this host, and the number of lives
// that this process makes of it.
func (e *enroller) reuse(row Row) (lives int, mine bool) {
	if row.Version == 0 {
		return 1, true
	}
	var found member
	if err := cbor.Unmarshal(row.Value, &found); err != nil {
		e.registrar.Log.Error(err, "member not readable; its row is taken over", "key", row.Key, "version", row.Version)
		return 1, true // nobody can use what is written there
	}
	self := e.registrar.Self
	if found.Member.Address != self.Address {
		return 0, false
	}
	if found.Member.Incarnation == self.Incarnation {
		return found.Lives, true // written by a call whose answer was lost
	}
	return found.Lives + 1, true
}

func (e *enroller) write(ctx context.Context, slot, lives int, version uint64) (int, int, error) {
	self := e.registrar.Self
	self.Slot = slot
	value, err := cbor.Marshal(member{Member: self, Lives: lives})
	if err != nil {
		return 0, 0, err
	}
	_, err = e.registrar.Table.Commit(ctx, []Row{{Table: Members, Key: key(slot), Value: value, Version: version}}, nil)
	return slot, lives, err
}

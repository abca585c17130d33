package registrar

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// registration registers the host in the store.
type registration struct{ registrar *Registrar }

// run retries until the host is registered, and then loads the learned state.
func (r *registration) run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		registered, err := r.register(ctx)
		if err == nil {
			r.registrar.Sink.Put(registered)
			(&storeCall{work: r.registrar.loadLearnedState}).run(ctx)
			return
		}
		r.registrar.Log.Info("registering in the store failed; retrying", "error", err.Error(), "tries", failures+1)
		r.registrar.waitBeforeRetry(ctx, failures)
	}
}

// register takes a slot and then reads the other members. In this order, at least one of
// two hosts that start at the same time sees the other.
func (r *registration) register(ctx context.Context) (router.Registered, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	g := r.registrar
	rows, _, err := g.Store.List(ctx, MembersTable)
	if err != nil {
		return router.Registered{}, err
	}
	slot, slotUses, err := r.takeSlot(ctx, rows)
	if err != nil {
		return router.Registered{}, err
	}
	if rows, _, err = g.Store.List(ctx, MembersTable); err != nil {
		return router.Registered{}, err
	}
	claims, _, err := g.Store.List(ctx, ClaimsTable)
	if err != nil {
		return router.Registered{}, err
	}
	registered := router.Registered{Slot: slot, SlotUses: slotUses, Claims: g.decodeClaims(claims)}
	for _, row := range rows {
		var found member
		if err := cbor.Unmarshal(row.Value, &found); err != nil {
			g.Log.Error(err, "member not readable; ignoring it", "key", row.Key, "version", row.Version)
			continue
		}
		registered.Members = append(registered.Members, found.Member)
	}
	return registered, nil
}

// takeSlot writes the host's row. It searches from the preferred slot and takes the first
// one that is free or that an earlier incarnation of this host has used.
func (r *registration) takeSlot(ctx context.Context, rows []Row) (slot, slotUses int, err error) {
	rowByKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		rowByKey[row.Key] = row
	}
	slot = preferredSlot(r.registrar.Self.Address)
	for range maxMembers {
		row := rowByKey[rowKey(slot)]
		slotUses, usable := r.checkRow(row)
		if usable {
			return r.writeRow(ctx, slot, slotUses, row.Version)
		}
		slot = slot%maxMembers + 1
	}
	return 0, 0, errors.New("all member slots are in use; remove the members of hosts that no longer exist")
}

// checkRow reports whether a row is free or belongs to this host, and how many processes
// have used the slot, this one included.
func (r *registration) checkRow(row Row) (slotUses int, usable bool) {
	if row.Version == 0 {
		return 1, true
	}
	var found member
	if err := cbor.Unmarshal(row.Value, &found); err != nil {
		// A running host may use the slot, and tokens must differ between processes.
		r.registrar.Log.Error(err, "member not readable; leaving its slot unused; delete the row once no host uses it", "key", row.Key, "version", row.Version)
		return 0, false
	}
	self := r.registrar.Self
	if found.Member.Address != self.Address {
		return 0, false
	}
	if found.Member.Incarnation == self.Incarnation {
		return found.SlotUses, true // written by a call whose answer was lost
	}
	return found.SlotUses + 1, true
}

func (r *registration) writeRow(ctx context.Context, slot, slotUses int, version uint64) (int, int, error) {
	self := r.registrar.Self
	self.Slot = slot
	value, err := cbor.Marshal(member{Member: self, SlotUses: slotUses})
	if err != nil {
		return 0, 0, err
	}
	_, err = r.registrar.Store.Commit(ctx, []Row{{Table: MembersTable, Key: rowKey(slot), Value: value, Version: version}}, nil)
	return slot, slotUses, err
}

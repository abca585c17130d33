package registrar

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// registration registers the host in the store.
type registration struct {
	registrar *Registrar
	// sent is the incarnation in the row that was last sent to the store; 0 means none.
	sent int64
}

// occupation is the use of a slot by a process.
type occupation struct {
	slot     int
	slotUses int // how many processes have used the slot, this one included
	// incarnation is the incarnation of the process, above that of the slot's former process.
	incarnation int64
}

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
	taken, err := r.takeSlot(ctx, rows)
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
	registered := router.Registered{Slot: taken.slot, SlotUses: taken.slotUses, Incarnation: taken.incarnation, Claims: g.decodeClaims(claims)}
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
func (r *registration) takeSlot(ctx context.Context, rows []Row) (occupation, error) {
	rowByKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		rowByKey[row.Key] = row
	}
	slot := preferredSlot(r.registrar.Self.Address)
	for range maxMembers {
		row := rowByKey[rowKey(slot)]
		taken, usable := r.checkRow(row)
		if usable {
			taken.slot = slot
			return taken, r.writeRow(ctx, taken, row.Version)
		}
		slot = slot%maxMembers + 1
	}
	return occupation{}, errors.New("all member slots are in use; remove the members of hosts that no longer exist")
}

// checkRow reports whether a row is free or belongs to this host, and how this process would use
// its slot.
func (r *registration) checkRow(row Row) (taken occupation, usable bool) {
	self := r.registrar.Self
	taken = occupation{slotUses: 1, incarnation: self.Incarnation}
	if row.Version == 0 {
		return taken, true
	}
	var found member
	err := cbor.Unmarshal(row.Value, &found)
	if err == nil {
		next := found.Member
		next.Incarnation += incarnationStep
		err = cmp.Or(found.Member.Check(), next.Check())
	}
	if err != nil {
		// A running host may use the slot, and tokens must differ between processes.
		r.registrar.Log.Error(err, "member not readable; leaving its slot unused; delete the row once no host uses it", "key", row.Key, "version", row.Version)
		return occupation{}, false
	}
	if found.Member.Address != self.Address {
		return occupation{}, false
	}
	if r.sent != 0 && found.Member.Incarnation == r.sent {
		return occupation{slotUses: found.SlotUses, incarnation: r.sent}, true // written by a call whose answer was lost
	}
	taken.slotUses = found.SlotUses + 1
	taken.incarnation = max(self.Incarnation, found.Member.Incarnation+incarnationStep)
	return taken, true
}

// incarnationStep is the least difference between the incarnations of two processes that use a
// slot. Processes that end before they are registered may take those in between.
const incarnationStep = int64(time.Second)

func (r *registration) writeRow(ctx context.Context, taken occupation, version uint64) error {
	self := r.registrar.Self
	self.Slot, self.Incarnation = taken.slot, taken.incarnation
	value, err := cbor.Marshal(member{Member: self, SlotUses: taken.slotUses})
	if err != nil {
		return err
	}
	r.sent = taken.incarnation
	_, err = r.registrar.Store.Commit(ctx, []Row{{Table: MembersTable, Key: rowKey(taken.slot), Value: value, Version: version}}, nil)
	return err
}

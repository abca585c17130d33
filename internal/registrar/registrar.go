// Package registrar keeps what entry hosts agree on in the platform's store:
// which hosts there are, and who holds each cell. It also follows the
// configuration and reads the list of targets.
package registrar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

const (
	// Members is the table of the entry hosts.
	Members = "member"
	// Cells is the table of the claims.
	Cells = "cell"
	// Lessons is the table of what holders have learned, by zone.
	Lessons = "lesson"
	// slots is the number of members that can be registered; a token has 16 bits for
	// them, and 0 means none.
	slots = 1<<16 - 1
	// callTimeout bounds a call to the store: a hundred of its usual answers.
	callTimeout = 500 * time.Millisecond
	// watchWait is how long a watch waits for a change. A connection that went
	// silent is found that late, which stays below the time in which a
	// configuration must be in force (2 s after a calm of 3 s).
	watchWait = 2 * time.Second
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// Row is a row of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
}

// ErrConflict tells that a row had another version than expected.
var ErrConflict = errors.New("a row has changed; read it again")

// ErrHistory tells that the store no longer has the changes asked for.
var ErrHistory = errors.New("the history is gone; read the table again")

// Table is the store. Its methods are safe for concurrent use.
type Table interface {
	// List returns all rows of a table as of one version.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Commit writes and removes rows if each has the given version; version 0
	// means that it does not exist. On ErrConflict it returns the rows as they
	// are.
	Commit(ctx context.Context, puts, removes []Row) ([]Row, error)
	// Config returns the configuration and the version of the store, or nil
	// while there is none.
	Config(ctx context.Context) (*router.Config, uint64, error)
	// Watch waits until the configuration may have changed after a version of
	// the store, at most so long, and returns the version to go on from.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*router.Config, uint64, error)
	// Targets returns the whole list of targets as of one version, and TargetChanges
	// what has changed after a version and the version to go on from.
	Targets(ctx context.Context) ([]Entry, uint64, error)
	TargetChanges(ctx context.Context, after uint64) ([]Entry, uint64, error)
}

// Sink receives what was read.
type Sink interface {
	// Put hands over one event. It may block for a moment.
	Put(router.Event)
}

// Registrar carries out the router's requests to the store. Its exported fields
// are set before Run. It is safe for concurrent use.
type Registrar struct {
	Self  router.Member
	Table Table
	Sink  Sink
	Clock clockwork.Clock
	Log   logr.Logger
	// Random spreads the retries.
	Random *rand.Rand

	context context.Context
	catalog catalog
}

// member is the value of a member's row.
type member struct {
	Member router.Member `cbor:"1,keyasint"`
	// Lives counts the processes that had the row.
	Lives int `cbor:"2,keyasint"`
}

// Run registers the host and follows the configuration until the context is
// done.
func (g *Registrar) Run(ctx context.Context) {
	g.context = ctx
	e := &enroller{registrar: g}
	go e.run(ctx)
	w := &watcher{registrar: g}
	go w.run(ctx)
}

// call is one request of the router under way.
type call struct{ work func(ctx context.Context) }

// run makes the call within its bound.
func (c *call) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.work(ctx)
}

// ReadDirectory reads the list of targets.
func (g *Registrar) ReadDirectory() {
	asked := g.Clock.Now()
	c := &call{work: func(ctx context.Context) {
		directory, err := g.catalog.read(ctx, g.Table)
		if err != nil {
			g.Log.V(1).Info("list of targets not read", "error", err.Error())
			g.Sink.Put(router.DirectoryReadFailed{})
			return
		}
		g.Sink.Put(router.DirectoryRead{RequestedAt: asked, Directory: directory})
	}}
	go c.run(g.context)
}

// WriteClaims writes claims.
func (g *Registrar) WriteClaims(e router.WriteClaims) {
	c := &call{work: func(ctx context.Context) { g.Sink.Put(g.stake(ctx, e)) }}
	go c.run(g.context)
}

func (g *Registrar) stake(ctx context.Context, e router.WriteClaims) router.ClaimsWritten {
	result := router.ClaimsWritten{Token: e.Token, Result: router.ClaimTimeout}
	puts := make([]Row, 0, len(e.Rows))
	for _, stored := range e.Rows {
		value, err := cbor.Marshal(stored.Claim)
		if err != nil {
			g.Log.Error(err, "claim not written", "zone", stored.Claim.Zone)
			return result
		}
		puts = append(puts, Row{Table: Cells, Key: stored.Claim.Zone, Value: value, Version: stored.Version})
	}
	rows, err := g.Table.Commit(ctx, puts, nil)
	switch {
	case err == nil:
		result.Result = router.ClaimWon
	case errors.Is(err, ErrConflict):
		result.Result = router.ClaimConflict
	default:
		g.Log.Info("claim not confirmed", "token", e.Token, "error", err.Error())
		return result
	}
	result.Rows = g.claims(rows)
	if result.Result == router.ClaimConflict && own(result.Rows, e.Token) == len(e.Rows) {
		result.Result = router.ClaimWon // an earlier call whose answer was lost
	}
	return result
}

// own counts the rows that have the token.
func own(rows []router.StoredClaim, token uint64) int {
	count := 0
	for _, row := range rows {
		if row.Claim.Token == token {
			count++
		}
	}
	return count
}

// claims decodes claim rows; one that cannot be read counts as unclaimed.
func (g *Registrar) claims(rows []Row) []router.StoredClaim {
	var list []router.StoredClaim
	for _, row := range rows {
		stored := router.StoredClaim{Claim: router.Claim{Zone: row.Key}, Version: row.Version}
		if len(row.Value) > 0 {
			if err := cbor.Unmarshal(row.Value, &stored.Claim); err != nil {
				g.Log.Error(err, "claim not readable", "zone", row.Key, "version", row.Version)
			}
		}
		list = append(list, stored)
	}
	return list
}

// RemoveMember removes a member's row, unless another process has it by now.
func (g *Registrar) RemoveMember(m router.Member) {
	c := &call{work: func(ctx context.Context) {
		if err := g.expel(ctx, m); err != nil {
			g.Log.Info("member not removed", "host", m.Name, "error", err.Error())
		}
	}}
	go c.run(g.context)
}

func (g *Registrar) expel(ctx context.Context, m router.Member) error {
	rows, _, err := g.Table.List(ctx, Members)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.Key != key(m.Slot) {
			continue
		}
		var found member
		if err := cbor.Unmarshal(row.Value, &found); err != nil {
			return err
		}
		if found.Member.Incarnation != m.Incarnation {
			return nil // another process has the row by now
		}
		_, err = g.Table.Commit(ctx, nil, []Row{row})
		return err
	}
	return nil
}

// SaveLearnedState writes what this host has learned, over what an earlier holder of its zone has.
func (g *Registrar) SaveLearnedState(k router.SaveLearnedState) {
	c := &call{work: func(ctx context.Context) {
		if err := g.keep(ctx, k); err != nil {
			g.Log.Info("lessons not written", "error", err.Error())
		}
	}}
	go c.run(g.context)
}

func (g *Registrar) keep(ctx context.Context, k router.SaveLearnedState) error {
	value, err := cbor.Marshal(k)
	if err != nil {
		return err
	}
	rows, _, err := g.Table.List(ctx, Lessons)
	if err != nil {
		return err
	}
	put := Row{Table: Lessons, Key: g.Self.Zone, Value: value}
	for _, row := range rows {
		if row.Key == put.Key {
			put.Version = row.Version
		}
	}
	_, err = g.Table.Commit(ctx, []Row{put}, nil)
	return err
}

// recall reads what holders have learned. Jobs are served without it, so it is asked for
// once only.
func (g *Registrar) recall(ctx context.Context) {
	rows, _, err := g.Table.List(ctx, Lessons)
	if err != nil {
		g.Log.Info("lessons not read", "error", err.Error())
		return
	}
	var e router.LearnedStateRead
	for _, row := range rows {
		var k router.SaveLearnedState
		if err := cbor.Unmarshal(row.Value, &k); err != nil {
			g.Log.Error(err, "lessons not readable", "zone", row.Key, "version", row.Version)
			continue
		}
		e.Saved = append(e.Saved, k)
	}
	g.Sink.Put(e)
}

// key returns the key of a slot's row.
func key(slot int) string { return fmt.Sprintf("%04d", slot) }

// firstSlot returns where a host begins to look for a free slot: the same in
// each of its lives.
func firstSlot(address string) int { return int(xxhash.Sum64String(address)%slots) + 1 }

// pause waits before a retry, longer after each failure, with jitter.
func (g *Registrar) pause(ctx context.Context, failures int) {
	span := min(firstRetry<<min(failures, 5), lastRetry)
	timer := g.Clock.NewTimer(span/2 + time.Duration(g.Random.Int64N(int64(span))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// Package operator changes the active declarations and preset, and reads the status of
// hosts. The command shallotctl uses it.
package operator

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// ErrorKind is the reason why a change failed.
type ErrorKind string

const (
	// Conflict means that another operator's change was written first. Nothing was changed.
	Conflict ErrorKind = "raced"
	// OutcomeUnknown means that it is unknown whether the change took effect.
	OutcomeUnknown ErrorKind = "unsettled"
	// Invalid means that the change is invalid, or that the active row cannot be read.
	// Nothing was changed.
	Invalid ErrorKind = "invalid"
)

// Error is a failed change. Its message tells the operator the reason and what to do.
type Error struct {
	Kind    ErrorKind
	Message string
}

// Error returns the kind and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }

// Table is the platform's transactional table. storer.Client implements it.
type Table interface {
	Read(ctx context.Context, key string, known uint64) (storer.Record, error)
	Swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
}

// Changer changes the row that holds the declarations and the preset. Its fields
// are set before use. It is safe for concurrent use.
type Changer struct {
	Table  Table
	Clock  clockwork.Clock
	Author string
	// BaseVersion is the version that the change is based on; 0 means the newest. A change fails
	// with Conflict when the active version is another one.
	BaseVersion uint64
}

const (
	// minRetryDelay and maxRetryDelay bound the exponential delay between attempts, before
	// jitter.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Current returns the active row and its version, 0 when there is none. It retries until
// the context is done.
func (c *Changer) Current(ctx context.Context) (declarer.Row, uint64, error) {
	var row declarer.Row
	record, err := c.readRow(ctx)
	if err != nil || record.Version == 0 {
		return row, 0, err
	}
	config, err := declarer.Decode(record.Version, record.Value)
	if err != nil {
		return row, record.Version, err
	}
	return config.Row, record.Version, nil
}

// readRow reads the row. It retries until the context is done.
func (c *Changer) readRow(ctx context.Context) (storer.Record, error) {
	delay := minRetryDelay
	for {
		record, err := c.Table.Read(ctx, storer.ConfigKey, 0)
		if err == nil {
			return record, nil
		}
		if !c.waitBeforeRetry(ctx, &delay) {
			return record, err
		}
	}
}

// waitBeforeRetry waits for the delay, with jitter, and doubles it for the next attempt. It
// reports false when the context is done first.
func (c *Changer) waitBeforeRetry(ctx context.Context, delay *time.Duration) bool {
	timer := c.Clock.NewTimer(*delay/2 + rand.N(*delay))
	defer timer.Stop()
	*delay = min(2**delay, maxRetryDelay)
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// Change edits the row and returns the version from which the change is active. The edit
// must depend only on the row that it is given. Change returns an Error when the change is
// not active, or may not be. When an answer of the platform is lost, Change reads the row
// again and searches its history for the ID of the change.
func (c *Changer) Change(ctx context.Context, note string, edit func(declarer.Row) (declarer.Row, error)) (uint64, error) {
	row, version, err := c.Current(ctx)
	if err != nil {
		return 0, &Error{Kind: Invalid, Message: "the row in force cannot be read: " + err.Error() + "; nothing was changed, try again"}
	}
	if c.BaseVersion != 0 && c.BaseVersion != version {
		return 0, conflictError(row, version)
	}
	edited, err := edit(row)
	if err != nil {
		return 0, &Error{Kind: Invalid, Message: err.Error()}
	}
	change := declarer.Change{ID: newID(), Author: c.Author, Time: c.Clock.Now().UTC(), Note: note, Version: version + 1}
	value, err := edited.WithChange(change).Encode()
	if err != nil {
		return 0, err
	}
	return c.writeRow(ctx, version, value, change.ID)
}

// writeRow writes the value and retries until it is known whether the write took effect.
// Repeating it is safe, because only one write can succeed for an expected version.
func (c *Changer) writeRow(ctx context.Context, version uint64, value []byte, id string) (uint64, error) {
	delay := minRetryDelay
	for {
		written, err := c.Table.Swap(ctx, storer.ConfigKey, version, value)
		if err == nil {
			return written, nil
		}
		row, currentVersion, err := c.Current(ctx)
		switch {
		case err != nil:
			return 0, &Error{Kind: OutcomeUnknown, Message: fmt.Sprintf("the platform gave no answer (%v) and change %s may be in force; look at the history for it before trying again", err, id)}
		case row.HasChange(id):
			return version + 1, nil
		case currentVersion > version:
			return 0, conflictError(row, currentVersion)
		}
		if !c.waitBeforeRetry(ctx, &delay) {
			return 0, &Error{Kind: OutcomeUnknown, Message: fmt.Sprintf("the platform did not take change %s in time, and may still; look at the history for it before trying again", id)}
		}
	}
}

// conflictError returns an Error that names the change that was written first.
func conflictError(row declarer.Row, version uint64) *Error {
	who := "another change"
	if len(row.History) > 0 {
		h := row.History[0]
		who = fmt.Sprintf("the change of %s at %s (%s)", h.Author, h.Time.Format(time.RFC3339), h.Note)
	}
	return &Error{Kind: Conflict, Message: fmt.Sprintf("%s came first and version %d is in force; nothing of yours was applied: look at the diff and apply again", who, version)}
}

// newID returns a random, unique ID for a change.
func newID() string {
	const size = 12
	data := make([]byte, size)
	_, _ = crand.Read(data) // never fails
	return hex.EncodeToString(data)
}

// ApplyDeclarations returns the edit that activates new declarations and retains the
// preset. The edit fails when the declarations are invalid; its error names the file.
func ApplyDeclarations(file, text string) func(declarer.Row) (declarer.Row, error) {
	return func(row declarer.Row) (declarer.Row, error) {
		if _, err := declarer.Parse(file, text); err != nil {
			return row, err
		}
		row.Text = text
		if row.Preset == "" {
			row.Preset = declarer.Ordinary
		}
		return row, nil
	}
}

// errNoDeclarations is returned by edits that need active declarations.
var errNoDeclarations = errors.New("no declarations are in force; apply them first")

// SwitchPreset returns the edit that activates a preset.
func SwitchPreset(name declarer.PresetName) func(declarer.Row) (declarer.Row, error) {
	return func(row declarer.Row) (declarer.Row, error) {
		if !slices.Contains(declarer.PresetNames(), name) {
			return row, fmt.Errorf("there is no preset %q; switch to ordinary, peak or maintenance", name)
		}
		if row.Text == "" {
			return row, errNoDeclarations
		}
		row.Preset = name
		return row, nil
	}
}

// SetTargetDrained returns the edit that drains a target, or ends its draining when on is false.
func SetTargetDrained(target string, on bool) func(declarer.Row) (declarer.Row, error) {
	return func(row declarer.Row) (declarer.Row, error) {
		if row.Text == "" {
			return row, errNoDeclarations
		}
		row.Drained = slices.DeleteFunc(slices.Clone(row.Drained), func(name string) bool { return name == target })
		if on {
			row.Drained = append(row.Drained, target)
			slices.Sort(row.Drained)
		}
		return row, nil
	}
}

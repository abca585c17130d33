package declarer

import (
	"encoding/json"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// historyLength is how many changes a row remembers.
const historyLength = 32

// Change tells who changed the row, when and how.
type Change struct {
	// ID is unique to one attempt of one operator to change the row.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Note says what was changed.
	Note string `json:"note"`
	// Version is the row's version after the change.
	Version uint64 `json:"version"`
}

// Row is the one row of the platform's table that holds the declarations and
// the preset in force, under one version.
type Row struct {
	Text   string `json:"text"`
	Preset Name   `json:"preset"`
	// Drained are targets that operators drain beside those in the text.
	Drained []string `json:"drained,omitempty"`
	// History holds the newest change first.
	History []Change `json:"history"`
}

// With returns a copy of the row with one more change in its history.
func (r Row) With(c Change) Row {
	history := append([]Change{c}, r.History...)
	r.History = history[:min(len(history), historyLength)]
	return r
}

// Holds reports whether a change is in the row's history.
func (r Row) Holds(id string) bool {
	for _, c := range r.History {
		if c.ID == id {
			return true
		}
	}
	return false
}

// Encode returns the row as it is stored.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Config is a row that was read, checked and given its version. It is not
// changed after Decode and may be shared.
type Config struct {
	Version uint64
	Row     Row
	Raw     []byte
	*Declarations
}

// Current returns the preset in force.
func (c *Config) Current() Preset { return c.Preset(c.Row.Preset) }

// Decode reads a stored row. The error names the fault; a daemon keeps the
// configuration it has when it cannot read a new one.
func Decode(version uint64, raw []byte) (*Config, error) {
	c := &Config{Version: version, Raw: raw}
	if err := json.Unmarshal(raw, &c.Row); err != nil {
		return nil, shallotrouter.Errorf(shallotrouter.Malformed, "row version %d is not readable: %v; apply the declarations anew", version, err)
	}
	declarations, err := Parse("declarations", c.Row.Text)
	if err != nil {
		return nil, err
	}
	if c.Row.Preset != Ordinary && c.Row.Preset != Peak && c.Row.Preset != Maintenance {
		return nil, shallotrouter.Errorf(shallotrouter.Malformed, "row version %d has the unknown preset %q; switch to ordinary, peak or maintenance", version, c.Row.Preset)
	}
	for _, name := range c.Row.Drained {
		declarations.Targets.Add(name)
	}
	c.Declarations = declarations
	return c, nil
}

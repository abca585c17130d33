package declarer

import (
	"encoding/json"
	"time"

	"github.com/shallotrouter/shallotrouter"
)

// maxHistoryLength is the maximum number of changes in the history of a row.
const maxHistoryLength = 32

// Change describes one change of the row.
type Change struct {
	// ID is unique to one attempt of one operator to change the row.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Note describes what was changed.
	Note string `json:"note"`
	// Version is the row's version after the change.
	Version uint64 `json:"version"`
}

// Row is the row of the platform's table that holds the declarations and the active
// preset under one version.
type Row struct {
	Text   string     `json:"text"`
	Preset PresetName `json:"preset"`
	// Drained are the targets that operators drain in addition to those in Text.
	Drained []string `json:"drained,omitempty"`
	// History holds the latest changes, the newest first.
	History []Change `json:"history"`
}

// WithChange returns a copy of the row with the change added to its history. The oldest change
// is removed if the history is full.
func (r Row) WithChange(c Change) Row {
	history := append([]Change{c}, r.History...)
	r.History = history[:min(len(history), maxHistoryLength)]
	return r
}

// HasChange reports whether the history contains the change with the given ID.
func (r Row) HasChange(id string) bool {
	for _, c := range r.History {
		if c.ID == id {
			return true
		}
	}
	return false
}

// Encode returns the row in JSON, as it is stored.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Config is a decoded and validated row with its version. It is not modified after Decode
// and may be shared.
type Config struct {
	Version uint64
	Row     Row
	Raw     []byte
	*Declarations
}

// ActivePreset returns the active preset.
func (c *Config) ActivePreset() Preset { return c.Preset(c.Row.Preset) }

// Decode decodes and validates a stored row. A daemon keeps its current configuration when
// a new one is invalid.
func Decode(version uint64, raw []byte) (*Config, error) {
	c := &Config{Version: version, Raw: raw}
	if err := json.Unmarshal(raw, &c.Row); err != nil {
		return nil, shallotrouter.Errorf(shallotrouter.Malformed, "failed to decode row version %d: %v; apply the declarations again", version, err)
	}
	declarations, err := Parse("declarations", c.Row.Text)
	if err != nil {
		return nil, err
	}
	if c.Row.Preset != Ordinary && c.Row.Preset != Peak && c.Row.Preset != Maintenance {
		return nil, shallotrouter.Errorf(shallotrouter.Malformed, "row version %d has the unknown preset %q; switch to ordinary, peak or maintenance", version, c.Row.Preset)
	}
	for _, name := range c.Row.Drained {
		declarations.DrainedTargets.Add(name)
	}
	c.Declarations = declarations
	return c, nil
}

package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/parser"
)

const nodeText = `[node]
name = a
zone = north
clients = 127.0.0.1:1
probe = 127.0.0.1:2
links = 127.0.0.1:3

[store]
address = 127.0.0.1:4

[targets]
lease = 2s
`

// TestSettingsNameTheirOrigin: each effective value is listed once, with its line in
// the file or "default".
func TestSettingsNameTheirOrigin(t *testing.T) {
	v, err := ParseNode("n.ini", nodeText)
	require.NoError(t, err)
	settings := make(map[string]parser.Setting)
	for _, s := range v.Values {
		settings[s.Section+"."+s.Key] = s
	}
	assert.Equal(t, "2s", settings["targets.lease"].Value)
	assert.Equal(t, "line 12", settings["targets.lease"].Origin())
	assert.Equal(t, "80ms", settings["members.beat"].Value)
	assert.Equal(t, "default", settings["members.beat"].Origin())
	assert.Equal(t, "1", settings["node.power"].Value)
	assert.Equal(t, "150", settings["targets.split"].Value)
	assert.Len(t, v.Values, len(settings), "each key is listed once")
	assert.Equal(t, v.LinkAddress, v.BindAddress)
	assert.Equal(t, 2*time.Second, v.Bounds.LeaseDuration)
}

// TestNodeFaultsAreReportedTogether: all faults of a file are returned in one
// error, each with its section and key.
func TestNodeFaultsAreReportedTogether(t *testing.T) {
	_, err := ParseNode("n.ini", "[node]\nname = a\nclients = x\nlinks = 127.0.0.1:3\npower = 0\n[members]\nbeat = 200ms\n[targets]\nlease = 2\nleese = 1s\n")
	var faults parser.Faults
	require.ErrorAs(t, err, &faults)
	assert.ElementsMatch(t, []string{
		"node zone", "node clients", "node probe", "node power", "store address", "members silence", "targets lease", "targets leese",
	}, faults.Keys())
}

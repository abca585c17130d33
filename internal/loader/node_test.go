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

// TestOrigins: each value in force is told with where it comes from.
func TestOrigins(t *testing.T) {
	v, err := ParseNode("n.ini", nodeText)
	require.NoError(t, err)
	told := make(map[string]parser.Setting)
	for _, s := range v.Settings {
		told[s.Section+"."+s.Key] = s
	}
	assert.Equal(t, "2s", told["targets.lease"].Value)
	assert.Equal(t, "line 12", told["targets.lease"].Origin())
	assert.Equal(t, "80ms", told["members.beat"].Value)
	assert.Equal(t, "default", told["members.beat"].Origin())
	assert.Equal(t, "1", told["node.power"].Value)
	assert.Equal(t, "150", told["targets.split"].Value)
	assert.Len(t, v.Settings, len(told), "each key once")
	assert.Equal(t, 2*time.Second, v.Bounds.LeaseDuration)
}

// TestNodeFaults: all faults of a host's settings are told at once, by key.
func TestNodeFaults(t *testing.T) {
	_, err := ParseNode("n.ini", "[node]\nname = a\nclients = x\nlinks = 127.0.0.1:3\npower = 0\n[members]\nbeat = 200ms\n[targets]\nlease = 2\nleese = 1s\n")
	var faults parser.Faults
	require.ErrorAs(t, err, &faults)
	assert.ElementsMatch(t, []string{
		"node zone", "node clients", "node probe", "node power", "store address", "members silence", "targets lease", "targets leese",
	}, faults.Keys())
}

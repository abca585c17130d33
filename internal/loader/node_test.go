package loader

import (
	"strings"
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
retry = 3s

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
	assert.Equal(t, "line 13", settings["targets.lease"].Origin())
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

// TestTimeoutsMustEndRunsBeforeRetry guards against settings with which a run outlives the time after which clients
// submit their jobs again.
func TestTimeoutsMustEndRunsBeforeRetry(t *testing.T) {
	for settings, key := range map[string]string{
		"[members]\ntrust = 1200ms\n": "node retry",
		"[targets]\nstop = 1s\n":      "node retry",
		"[targets]\nlease = 1300ms\n": "targets lease",
		"":                            "",
	} {
		text := strings.NewReplacer("retry = 3s\n", "", "[targets]\nlease = 2s\n", settings).Replace(nodeText)
		_, err := ParseNode("n.ini", text)
		if key == "" {
			require.NoError(t, err)
			continue
		}
		var faults parser.Faults
		require.ErrorAs(t, err, &faults, settings)
		assert.Equal(t, []string{key}, faults.Keys(), settings)
	}
}

package loader

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/parser"
)

// TestExampleSettingsLoad loads the example settings of both deployments.
func TestExampleSettingsLoad(t *testing.T) {
	for _, place := range []string{"restrepo", "kutchwala"} {
		v, err := Load(filepath.Join("..", "..", "examples", place, "daemon.ini"))
		require.NoError(t, err)
		assert.NotEmpty(t, v.Name)
		assert.Len(t, v.Peers, 2)
	}
}

// TestAllFaultsAreReportedTogether requires that all faults of a file are returned
// in one error.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse("d.ini", "[host]\nname = a\nlisten = localhost:1\ndrain = 30\n[peers]\nkey = short\nquiet = 1s\n[limits]\nbody = -1\nextra = 1\n")
	var faults parser.Faults
	require.ErrorAs(t, err, &faults)
	assert.ElementsMatch(t, []string{
		"host zone", "host listen", "host address", "host drain", "platform address", "peers key", "peers quiet",
		"limits body", "limits extra",
	}, faults.Keys())
}

func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.ini"))
	assert.ErrorContains(t, err, "name a readable settings file with -config")
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "restrepo", "daemon.ini"))
	require.NoError(f, err)
	f.Add(string(text))
	f.Add("[host")
	f.Fuzz(func(t *testing.T, text string) {
		v, err := Parse("f", text)
		if (v == nil) == (err == nil) {
			t.Fatal("Parse must return either settings or faults")
		}
	})
}

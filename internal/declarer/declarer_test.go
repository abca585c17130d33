package declarer

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/parser"
)

// TestAllFaultsAreReported checks that Parse reports all faults of a file at once, each
// with its line.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := Parse("f.ini", `[service s]
slots = 0
order = random
conections = 3

[client a]
token = secret
weight = -1
services = s, none

[client b]
token = secret

[preset ordinary]
queue = lots

[presets]
`)
	var faults parser.Faults
	require.ErrorAs(t, err, &faults)
	lines := make(map[string]int)
	for _, f := range faults {
		lines[f.Section+" "+f.Key] = f.Line
		assert.NotEmpty(t, f.Remedy, f.String())
	}
	assert.Equal(t, map[string]int{
		"service s slots": 2, "service s order": 3, "service s conections": 4,
		"client a token": 7, "client a weight": 8, "client a services": 9,
		"client b token": 12, "preset ordinary queue": 15, "presets ": 17,
	}, lines)
}

// TestExampleDeclarationsAreValid checks that the example declarations of both deployments
// are valid.
func TestExampleDeclarationsAreValid(t *testing.T) {
	for _, deployment := range []string{"restrepo", "kutchwala"} {
		path := filepath.Join("..", "..", "examples", deployment, "declarations.ini")
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		d, err := Parse(path, string(text))
		require.NoError(t, err)
		assert.NotEmpty(t, d.Clients)
		assert.Len(t, d.Presets, len(PresetNames()))
		assert.False(t, d.Preset(Maintenance).AdmitJobs)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[service s]\nslots = 8\n[client a]\ntoken = sha256:" + HashToken("x"))
	f.Add("[service s]\nslots = \x00\n=\n[")
	f.Add("[preset peak]\nqueue = 99999999999999999999")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse("f", text)
		if (d == nil) == (err == nil) {
			t.Fatal("Parse must return either declarations or an error")
		}
	})
}

func FuzzDecode(f *testing.F) {
	valid, err := Row{Text: "[service s]\n", Preset: Ordinary}.Encode()
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := Decode(1, data); err == nil && c.ActivePreset().Name == "" {
			t.Fatal("accepted a row without a preset")
		}
	})
}

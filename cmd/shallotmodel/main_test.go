package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/modeler"
)

// TestRunWritesTableJSONAndPlots simulates a small scenario and checks the outputs.
func TestRunWritesTableJSONAndPlots(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.ini")
	text := "[scenario]\nsite = kutchwala\nloads = 0.4, 0.6\nseeds = 2\nlength = 2s\npolicies = pooled, zones\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var out, errorOutput bytes.Buffer
	jsonPath, plotFolder := filepath.Join(dir, "rows.json"), filepath.Join(dir, "plots")
	require.Zero(t, run([]string{"-json", jsonPath, "-plots", plotFolder, path}, &out, &errorOutput), errorOutput.String())
	assert.Contains(t, errorOutput.String(), "8 of 8 simulations")
	assert.Regexp(t, `zones +0\.60 +[01]\.\d+`, out.String())
	data, err := os.ReadFile(jsonPath)
	require.NoError(t, err)
	var rows []modeler.PolicyResult
	require.NoError(t, json.Unmarshal(data, &rows))
	require.Len(t, rows, 4)
	assert.Positive(t, rows[0].Benefit)
	for _, name := range []string{"load", "time-0.40", "kinds-0.60", "zones-0.60"} {
		data, err := os.ReadFile(filepath.Join(plotFolder, name+".svg"))
		require.NoError(t, err)
		assert.Contains(t, string(data), "<svg")
	}
}

// TestAblationWritesDifferences simulates a scenario with variants of the policy that
// each lack one mechanism. The table must show their differences from the full policy.
func TestAblationWritesDifferences(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	require.NoError(t, os.WriteFile(path, []byte("[scenario]\nsite = restrepo\nseeds = 1\nlength = 1s\n"), 0o600))
	var out, errorOutput bytes.Buffer
	require.Zero(t, run([]string{"-ablate", path}, &out, &errorOutput), errorOutput.String())
	assert.Regexp(t, `pooled +1\.00 +[01]\.\d+ +[01]\.\d+ +\+0\.0000`, out.String())
	assert.Regexp(t, `without slow +1\.00`, out.String())
}

// TestWrongUseIsReported: a wrong command line or scenario is not simulated, and the
// error says why.
func TestWrongUseIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	require.NoError(t, os.WriteFile(path, []byte("[scenario]\nsite = x\n"), 0o600))
	for _, args := range [][]string{nil, {"-format", "gif", path}, {path + ".none"}, {path}} {
		var out, errorOutput bytes.Buffer
		assert.Equal(t, exitUsage, run(args, &out, &errorOutput))
		assert.NotEmpty(t, errorOutput.String())
		assert.Empty(t, out.String())
	}
	var out, errorOutput bytes.Buffer
	assert.Zero(t, run([]string{"-h"}, &out, &errorOutput))
}

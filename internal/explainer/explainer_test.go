package explainer

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readDay reads the log of a simulated day. The operations page shows lines of it.
func readDay(t *testing.T) *Reader {
	t.Helper()
	file, err := os.Open("testdata/day.log")
	require.NoError(t, err)
	defer file.Close()
	r := &Reader{}
	require.NoError(t, r.Read(file))
	return r
}

func TestCauseAndEvidenceOfOutcome(t *testing.T) {
	for _, c := range []struct{ name, job, outcome, reason, cause, evidence string }{
		{"refused on arrival", "188ad26e8ac4bdd7", "refused", "overload", "it could wait 143ms", "refuse"},
		{"answered late", "7fabd05e1c9b87bf", "complete", "", "tasks had to be started again", "how=failed"},
		{"holder lost", "1354758d976ae520", "unknown", "expired", "its holder was lost", "state=silent"},
		{"aborted after its start", "b541bff1b030c847", "failed", "expired", "its time ran out", "holder"},
	} {
		t.Run(c.name, func(t *testing.T) {
			story, found := readDay(t).Explain(c.job)
			require.True(t, found)
			assert.Equal(t, c.outcome, story.Outcome)
			assert.Equal(t, c.reason, story.Reason)
			assert.Contains(t, story.Cause, c.cause)
			assert.Contains(t, strings.Join(story.Evidence, "\n"), c.evidence)
			var text strings.Builder
			require.NoError(t, story.Write(&text))
			assert.Contains(t, text.String(), "answer")
		})
	}
}

func TestUnknownJobIsNotFound(t *testing.T) {
	_, found := readDay(t).Explain("0000000000000000")
	assert.False(t, found)
}

// TestInvalidLinesAreCounted checks that lines with invalid JSON are counted, and that a prefix
// before the JSON is ignored.
func TestInvalidLinesAreCounted(t *testing.T) {
	r := &Reader{}
	require.NoError(t, r.Read(strings.NewReader("host-1 | {\"time\":\"2026-01-01T00:00:00Z\",\"msg\":\"answer\",\"job\":\"j\",\"outcome\":\"failed\",\"reason\":\"misfit\"}\n{broken\nplain\n")))
	story, found := r.Explain("j")
	require.True(t, found)
	assert.Equal(t, 1, story.Skipped)
	assert.Contains(t, story.Cause, "more than any target")
}

// TestCauseNamesCrashes checks that the cause of a failure names the targets that crashed.
func TestCauseNamesCrashes(t *testing.T) {
	r := &Reader{}
	require.NoError(t, r.Read(strings.NewReader(`{"time":"2026-01-01T00:00:00Z","msg":"crash","host":"a","job":"j","task":"j.0.0.0","target":"t-7","born":5,"crashes":2}
{"time":"2026-01-01T00:00:00.1Z","msg":"answer","host":"a","job":"j","outcome":"failed","reason":"crashes"}
`)))
	story, found := r.Explain("j")
	require.True(t, found)
	assert.Contains(t, story.Cause, "crashed")
	require.Len(t, story.Evidence, 1)
	assert.Contains(t, story.Evidence[0], "t-7")
}

// TestCauseNamesEvacuation checks that the cause of a refusal names an evacuation, with the line
// that tells of it.
func TestCauseNamesEvacuation(t *testing.T) {
	r := &Reader{}
	require.NoError(t, r.Read(strings.NewReader(`{"time":"2026-01-01T00:00:00Z","msg":"evacuate","host":"a","zone":"north","state":"begun","version":5}
{"time":"2026-01-01T00:00:00.5Z","msg":"refuse","host":"a","job":"j","slack":"9ms","queued":0,"reason":"evacuated"}
{"time":"2026-01-01T00:00:00.501Z","msg":"answer","host":"a","job":"j","outcome":"refused","reason":"evacuated","after":"3s"}
`)))
	story, found := r.Explain("j")
	require.True(t, found)
	assert.Contains(t, story.Cause, "evacuated zones")
	require.NotEmpty(t, story.Evidence)
	assert.Contains(t, story.Evidence[0], "begun")
}

// TestCauseNamesExceededFairShare checks that the cause of a refusal says when the route
// exceeded its fair share.
func TestCauseNamesExceededFairShare(t *testing.T) {
	r := &Reader{}
	require.NoError(t, r.Read(strings.NewReader(`{"time":"2026-01-01T00:00:00Z","msg":"refuse","job":"j","slack":"9ms","queued":7,"excess":true,"reason":"overload"}
{"time":"2026-01-01T00:00:00.001Z","msg":"answer","job":"j","outcome":"refused","reason":"overload","after":"100ms"}
`)))
	story, found := r.Explain("j")
	require.True(t, found)
	assert.Contains(t, story.Cause, "fair share")
}

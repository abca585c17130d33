package logger

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestThrottleLimitsRate checks that the rate of lines is limited, and that the log contains the
// number of lines that were left out.
func TestThrottleLimitsRate(t *testing.T) {
	var out bytes.Buffer
	omitted := 0
	x := NewThrottle(New(&out, 0), 10)
	x.OnOmit = func() { omitted++ }
	now := time.Unix(1000, 0)
	for range 1000 {
		x.Info(now, "decision", "act", "place")
	}
	assert.Equal(t, 10, strings.Count(out.String(), "\n"))
	assert.Equal(t, 990, omitted)
	x.Info(now.Add(time.Second), "decision")
	assert.Contains(t, out.String(), `"msg":"lines left out","count":990`)
}

// TestRoutineLinesAreOmittedFirst checks that all other lines are written when the rate of
// routine lines exceeds the limit.
func TestRoutineLinesAreOmittedFirst(t *testing.T) {
	var out bytes.Buffer
	x := NewThrottle(New(&out, 0), 10)
	now := time.Unix(1000, 0)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		x.Routine(now, "place")
		if i%500 == 0 {
			x.Info(now, "refuse")
		}
	}
	assert.Equal(t, 10, strings.Count(out.String(), `"msg":"refuse"`), "no refusal is left out")
	routine := strings.Count(out.String(), `"msg":"place"`)
	assert.Greater(t, routine, 30)
	assert.LessOrEqual(t, routine, 55, "the limit applies to all lines together")
}

// BenchmarkDecision measures the cost of a decision line of typical length.
func BenchmarkDecision(b *testing.B) {
	x := NewThrottle(New(io.Discard, 0).WithValues("host", "north-1"), math.MaxInt32)
	now := time.Unix(1000, 0)
	for b.Loop() {
		x.Routine(now, "place", "job", "853b894b3e970ca9", "task", "853b894b3e970ca9.0.0.17", "target", "i-9326e5480a", "run", 1, "token", 2209793,
			"free", 2050, "need", 7250, "age", "90ms", "waited", "114ms")
	}
}

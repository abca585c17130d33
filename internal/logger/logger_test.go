package logger

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestThrottle requires that a flood of lines is bounded and that the log tells
// how many were left out.
func TestThrottle(t *testing.T) {
	var out bytes.Buffer
	omitted := 0
	x := NewThrottle(New(&out, 0), 10)
	x.Observe = func() { omitted++ }
	now := time.Unix(1000, 0)
	for range 1000 {
		x.Info(now, "decision", "act", "place")
	}
	assert.Equal(t, 10, strings.Count(out.String(), "\n"))
	assert.Equal(t, 990, omitted)
	x.Info(now.Add(time.Second), "decision")
	assert.Contains(t, out.String(), `"msg":"lines left out","count":990`)
}

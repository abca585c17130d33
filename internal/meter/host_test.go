package meter

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOperationsPageDescribesMetrics checks that the operations page describes every metric of
// a host.
func TestOperationsPageDescribesMetrics(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	described := make(chan *prometheus.Desc, 1000)
	NewHost().Registry.Describe(described)
	close(described)
	name := regexp.MustCompile(`fqName: "` + namespace + `_([a-z_]+)"`)
	count := 0
	for d := range described {
		if found := name.FindStringSubmatch(d.String()); found != nil {
			count++
			assert.Regexp(t, "`"+found[1]+"[`{]", string(page))
		}
	}
	assert.Equal(t, 35, count)
}

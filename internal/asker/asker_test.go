package asker

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestAllQueriesInParallel checks that all addresses are queried in parallel, and that the
// answers keep the order of the addresses.
func TestAllQueriesInParallel(t *testing.T) {
	both := make(chan string)
	ask := QueryFunc[string](func(_ context.Context, address string) string {
		if address == "a" {
			both <- address
			return "from a"
		}
		return "after " + <-both
	})
	assert.Equal(t, []string{"from a", "after a"}, ask.QueryAll(t.Context(), []string{"a", "b"}))
	assert.Empty(t, ask.QueryAll(t.Context(), nil))
}

package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSumsOfLargestCapacitiesAreExact: sums over many targets with the largest capacity that an
// entry may have must not exceed the range of an int.
func TestSumsOfLargestCapacitiesAreExact(t *testing.T) {
	const count = 60
	b := newHolderBed(t, 1, ClaimWon)
	entries := newTargets(count)
	for i := range entries {
		entries[i].ID, entries[i].Capacity = fmt.Sprint("i-", i), maxCapacity
		require.NoError(t, entries[i].Check())
	}
	bed := &answeringBed{holderBed: b}
	bed.startsOf(b.list(entries...))
	bed.startsWithin(time.Second)
	j := &job{spec: twoTaskJob("j")}
	j.spec.Need = Resources{CPU: 1}
	free, total := b.router.capacity(j)
	assert.Equal(t, count*maxCPU, total)
	assert.Equal(t, count*maxCPU, free)
	b.router.holderPerZone, b.router.meanNeeds["work"] = true, 1
	assert.Equal(t, map[string]int{"work": count * maxCPU}, b.router.headroom())
	assert.Zero(t, b.router.currentUtilization())
}

package separator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// learn records runs of a route, half of which begin beside a route that takes part in a third of the others. A run
// beside it takes factor times as long. Run times deviate by 0.3, and longer runs meet the other route for longer.
func learn(s *Separator, runs int, factor float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range runs {
		deviation := 0.3 * random.NormFloat64()
		c := Companion{Route: "b", AtStart: random.IntN(2) == 0}
		switch {
		case c.AtStart:
			c.Share = 0.4 + 0.6*random.Float64()
		case random.IntN(3) == 0:
			c.Share = min(max(0.3+deviation, 0), 1)
		}
		deviation -= math.Log(1 - c.Share*(1-1/factor))
		s.Record("a", deviation, []Companion{c})
	}
}

// TestSlowPairIsNoticed guards against routes that slow each other down without notice.
func TestSlowPairIsNoticed(t *testing.T) {
	s, now := &Separator{}, time.Unix(1000, 0)
	learn(s, 800, 1.5, 1)
	changes := s.Refresh(now)
	require.Len(t, changes, 1)
	assert.True(t, changes[0].Noticed)
	assert.Equal(t, "a", changes[0].Route)
	assert.InDelta(t, 1500, changes[0].Ratio, 150)
	assert.InDelta(t, math.Log(1.5), s.Cost("b", "a"), 0.1)
	assert.Zero(t, s.Cost("a", "c"))
	for range 100 {
		now = now.Add(halfLife / 4)
		changes = append(changes, s.Refresh(now)...)
	}
	assert.True(t, s.IsEmpty(), "evidence must fade, so that the routes are tried together again")
	assert.False(t, changes[len(changes)-1].Noticed)
}

// TestEqualPairsAreNotNoticed guards against noise, and run times that determine how long routes are beside each other,
// that are taken for interference.
func TestEqualPairsAreNotNoticed(t *testing.T) {
	for seed := range uint64(40) {
		s, now := &Separator{}, time.Unix(1000, 0)
		for i := range uint64(20) {
			learn(s, 300, 1, 100*seed+i)
			now = now.Add(refreshInterval)
			assert.Empty(t, s.Refresh(now), "seed %d", seed)
		}
	}
}

// TestSuccessorInheritsPairs guards against a successor that places tasks of noticed pairs together until it has
// learned anew. What it learns itself replaces what it has inherited.
func TestSuccessorInheritsPairs(t *testing.T) {
	s, now := &Separator{}, time.Unix(1000, 0)
	learn(s, 800, 1.5, 1)
	s.Refresh(now)
	pairs := s.Pairs(1)
	require.Len(t, pairs, 1)
	assert.True(t, pairs[0].IsSound())
	heir := &Separator{}
	heir.Import(pairs, now)
	assert.InDelta(t, s.Cost("a", "b"), heir.Cost("a", "b"), 0.01)
	learn(heir, 800, 1, 1)
	changes := heir.Refresh(now.Add(refreshInterval))
	require.Len(t, changes, 1)
	assert.False(t, changes[0].Noticed)
}

// TestPairsAreBounded guards against memory that grows with the square of the number of routes.
func TestPairsAreBounded(t *testing.T) {
	s := &Separator{}
	for i := range 300 {
		for j := range 300 {
			s.Record(string(rune('a'+i)), 0, []Companion{{Route: string(rune('a' + j)), AtStart: true, Share: 1}})
		}
	}
	assert.Len(t, s.pairs, maxPairs)
	s.Forget(func(string) bool { return true })
	assert.Empty(t, s.pairs)
	assert.Empty(t, s.routes)
}

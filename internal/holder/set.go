// Package holder provides generic containers.
package holder

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of ordered values. The zero value is an empty read-only set; use NewSet to
// create a set that values can be added to. It is not safe for concurrent use.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set that contains the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds a value to the set. It panics on the zero value of Set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether the value is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }

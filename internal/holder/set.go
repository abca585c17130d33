// Package holder has the small generic containers of the dispatcher.
package holder

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set that can be
// read; use NewSet or Add on a made set to write. It is not safe for concurrent
// use.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add puts a value into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether the value is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }

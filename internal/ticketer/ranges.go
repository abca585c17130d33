package ticketer

import "sort"

// span is a range of numbers, both ends included.
type span struct{ low, high uint64 }

// spanSet is a set of numbers, stored as sorted, disjoint, non-adjacent spans.
type spanSet struct{ spans []span }

// find returns the index of the first span that ends at or after number.
func (r *spanSet) find(number uint64) int {
	return sort.Search(len(r.spans), func(i int) bool { return r.spans[i].high >= number })
}

func (r *spanSet) has(number uint64) bool {
	i := r.find(number)
	return i < len(r.spans) && r.spans[i].low <= number
}

func (r *spanSet) add(number uint64) {
	i := r.find(number)
	if i < len(r.spans) && r.spans[i].low <= number {
		return
	}
	left := i > 0 && r.spans[i-1].high+1 == number
	right := i < len(r.spans) && number+1 == r.spans[i].low
	switch {
	case left && right:
		r.spans[i-1].high = r.spans[i].high
		r.spans = append(r.spans[:i], r.spans[i+1:]...)
	case left:
		r.spans[i-1].high = number
	case right:
		r.spans[i].low = number
	default:
		r.spans = append(r.spans, span{})
		copy(r.spans[i+1:], r.spans[i:])
		r.spans[i] = span{low: number, high: number}
	}
}

// removeBelow removes all numbers below floor.
func (r *spanSet) removeBelow(floor uint64) {
	i := r.find(floor)
	r.spans = r.spans[i:]
	if len(r.spans) > 0 && r.spans[0].low < floor {
		r.spans[0].low = floor
	}
}

func (r *spanSet) remove(number uint64) {
	i := r.find(number)
	if i >= len(r.spans) || r.spans[i].low > number {
		return
	}
	x := r.spans[i]
	switch {
	case x.low == x.high:
		r.spans = append(r.spans[:i], r.spans[i+1:]...)
	case number == x.low:
		r.spans[i].low++
	case number == x.high:
		r.spans[i].high--
	default:
		r.spans = append(r.spans, span{})
		copy(r.spans[i+1:], r.spans[i:])
		r.spans[i].high = number - 1
		r.spans[i+1].low = number + 1
	}
}

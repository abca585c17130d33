package ticketer

import "sort"

// span is a range of numbers, both ends included.
type span struct{ low, high uint64 }

// ranges is a set of numbers kept as sorted, disjoint, non-adjacent spans.
type ranges struct{ list []span }

// find returns the index of the first span whose high end is at least number.
func (r *ranges) find(number uint64) int {
	return sort.Search(len(r.list), func(i int) bool { return r.list[i].high >= number })
}

func (r *ranges) has(number uint64) bool {
	i := r.find(number)
	return i < len(r.list) && r.list[i].low <= number
}

func (r *ranges) add(number uint64) {
	i := r.find(number)
	if i < len(r.list) && r.list[i].low <= number {
		return
	}
	left := i > 0 && r.list[i-1].high+1 == number
	right := i < len(r.list) && number+1 == r.list[i].low
	switch {
	case left && right:
		r.list[i-1].high = r.list[i].high
		r.list = append(r.list[:i], r.list[i+1:]...)
	case left:
		r.list[i-1].high = number
	case right:
		r.list[i].low = number
	default:
		r.list = append(r.list, span{})
		copy(r.list[i+1:], r.list[i:])
		r.list[i] = span{low: number, high: number}
	}
}

// trim drops all numbers below floor.
func (r *ranges) trim(floor uint64) {
	i := r.find(floor)
	r.list = r.list[i:]
	if len(r.list) > 0 && r.list[0].low < floor {
		r.list[0].low = floor
	}
}

func (r *ranges) remove(number uint64) {
	i := r.find(number)
	if i >= len(r.list) || r.list[i].low > number {
		return
	}
	x := r.list[i]
	switch {
	case x.low == x.high:
		r.list = append(r.list[:i], r.list[i+1:]...)
	case number == x.low:
		r.list[i].low++
	case number == x.high:
		r.list[i].high--
	default:
		r.list = append(r.list, span{})
		copy(r.list[i+1:], r.list[i:])
		r.list[i].high = number - 1
		r.list[i+1].low = number + 1
	}
}

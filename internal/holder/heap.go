package holder

import "container/heap"

// Item is an element that remembers its place in a Heap.
type Item interface {
	comparable
	// Place returns the index that SetPlace stored.
	Place() int
	// SetPlace stores the index; -1 means outside the heap.
	SetPlace(index int)
}

// Heap is a priority queue whose items can be moved and removed in O(log n).
// Less must be set before use. It is not safe for concurrent use.
type Heap[T Item] struct {
	// Less orders the items; the least is at the top.
	Less func(a, b T) bool

	items sorter[T]
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items.list) }

// Push adds an item that is not in the heap.
func (h *Heap[T]) Push(item T) {
	h.items.less = h.Less
	heap.Push(&h.items, item)
}

// Top returns the least item without removing it. It panics on an empty heap.
func (h *Heap[T]) Top() T { return h.items.list[0] }

// Pop removes and returns the least item. It panics on an empty heap.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.items).(T) }

// Fix restores the order after the item's key changed.
func (h *Heap[T]) Fix(item T) { heap.Fix(&h.items, item.Place()) }

// Remove takes the item out; an item outside the heap is left alone.
func (h *Heap[T]) Remove(item T) {
	if h.Has(item) {
		heap.Remove(&h.items, item.Place())
	}
}

// Has reports whether the item is in this heap.
func (h *Heap[T]) Has(item T) bool {
	i := item.Place()
	return i >= 0 && i < len(h.items.list) && h.items.list[i] == item
}

// Items returns the items in no order. The slice must not be changed.
func (h *Heap[T]) Items() []T { return h.items.list }

// sorter adapts the items to container/heap.
type sorter[T Item] struct {
	list []T
	less func(a, b T) bool
}

func (s *sorter[T]) Len() int           { return len(s.list) }
func (s *sorter[T]) Less(i, j int) bool { return s.less(s.list[i], s.list[j]) }

func (s *sorter[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.list[i].SetPlace(i)
	s.list[j].SetPlace(j)
}

func (s *sorter[T]) Push(x any) {
	item := x.(T)
	item.SetPlace(len(s.list))
	s.list = append(s.list, item)
}

func (s *sorter[T]) Pop() any {
	last := len(s.list) - 1
	item := s.list[last]
	var zero T
	s.list[last] = zero
	s.list = s.list[:last]
	item.SetPlace(-1)
	return item
}

// Index is embedded in an item to satisfy Item. Its zero value says place 0, so
// Has also compares the item itself.
type Index struct{ index int }

// Place returns the stored index.
func (x *Index) Place() int { return x.index }

// SetPlace stores the index.
func (x *Index) SetPlace(index int) { x.index = index }

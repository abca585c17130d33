package holder

import "container/heap"

// Item is an element of a Heap that stores its own index.
type Item interface {
	comparable
	// HeapIndex returns the index that SetHeapIndex stored.
	HeapIndex() int
	// SetHeapIndex stores the index; the heap sets -1 when it removes the item.
	SetHeapIndex(index int)
}

// Heap is a priority queue whose items can be reordered and removed in O(log n).
// Less must be set before use. It is not safe for concurrent use.
type Heap[T Item] struct {
	// Less reports whether a comes before b. The least item is at the top.
	Less func(a, b T) bool

	queue itemHeap[T]
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.queue.items) }

// Push adds an item, which must not be in a heap already.
func (h *Heap[T]) Push(item T) {
	h.queue.less = h.Less
	heap.Push(&h.queue, item)
}

// Peek returns the least item without removing it. It panics on an empty heap.
func (h *Heap[T]) Peek() T { return h.queue.items[0] }

// Pop removes and returns the least item. It panics on an empty heap.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.queue).(T) }

// Fix restores the heap order after the item's priority changed. The item must be in the
// heap.
func (h *Heap[T]) Fix(item T) { heap.Fix(&h.queue, item.HeapIndex()) }

// Remove removes the item. It does nothing if the item is not in the heap.
func (h *Heap[T]) Remove(item T) {
	if h.Has(item) {
		heap.Remove(&h.queue, item.HeapIndex())
	}
}

// Has reports whether the item is in this heap.
func (h *Heap[T]) Has(item T) bool {
	i := item.HeapIndex()
	return i >= 0 && i < len(h.queue.items) && h.queue.items[i] == item
}

// Items returns the items in heap order, which is not sorted. The caller must not modify
// the slice.
func (h *Heap[T]) Items() []T { return h.queue.items }

// itemHeap implements heap.Interface.
type itemHeap[T Item] struct {
	items []T
	less  func(a, b T) bool
}

func (h *itemHeap[T]) Len() int           { return len(h.items) }
func (h *itemHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *itemHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].SetHeapIndex(i)
	h.items[j].SetHeapIndex(j)
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(T)
	item.SetHeapIndex(len(h.items))
	h.items = append(h.items, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	item.SetHeapIndex(-1)
	return item
}

// Index implements the methods of Item and is embedded in items. The zero value holds
// index 0 although the item is in no heap, so Heap.Has also compares the item at the
// index.
type Index struct{ index int }

// HeapIndex returns the stored index.
func (x *Index) HeapIndex() int { return x.index }

// SetHeapIndex stores the index.
func (x *Index) SetHeapIndex(index int) { x.index = index }

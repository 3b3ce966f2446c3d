package fairqueue

import "container/heap"

// expiryHeap is a min-heap of the queued items by expiry time.
type expiryHeap[T any] struct {
	items expiryItems[T]
}

type expiryItems[T any] []*Item[T]

func (h expiryItems[T]) Len() int           { return len(h) }
func (h expiryItems[T]) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }

func (h expiryItems[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryItems[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryItems[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

func (h *expiryHeap[T]) push(it *Item[T]) { heap.Push(&h.items, it) }

func (h *expiryHeap[T]) remove(it *Item[T]) { heap.Remove(&h.items, it.heapIndex) }

func (h *expiryHeap[T]) peek() *Item[T] {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

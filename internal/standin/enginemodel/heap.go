package enginemodel

// streamHeap is a binary min-heap of streams that supports removal of any
// element: index returns the field that holds a stream's position.
type streamHeap struct {
	items []*stream
	less  func(a, b *stream) bool
	index func(s *stream) *int
}

func queueIndex(s *stream) *int    { return &s.queueIndex }
func deadlineIndex(s *stream) *int { return &s.deadlineIndex }

func byPriority(a, b *stream) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority < b.job.Priority
	}
	return a.seq < b.seq
}

func byLastToken(a, b *stream) bool {
	if a.lastTokenWork != b.lastTokenWork {
		return a.lastTokenWork < b.lastTokenWork
	}
	return a.seq < b.seq
}

func byDropTime(a, b *stream) bool {
	if !a.dropAt.Equal(b.dropAt) {
		return a.dropAt.Before(b.dropAt)
	}
	return a.seq < b.seq
}

func (h *streamHeap) len() int { return len(h.items) }

// peek returns the smallest stream, or nil if the heap is empty.
func (h *streamHeap) peek() *stream {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *streamHeap) push(s *stream) {
	*h.index(s) = len(h.items)
	h.items = append(h.items, s)
	h.up(len(h.items) - 1)
}

// remove removes s if it is in the heap.
func (h *streamHeap) remove(s *stream) {
	i := *h.index(s)
	if i < 0 || i >= len(h.items) || h.items[i] != s {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
	*h.index(s) = -1
}

func (h *streamHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *streamHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *streamHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

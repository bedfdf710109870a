package afqueue

// sortKeyHeap orders the entries of one customer in one class by sort key. It implements heap.Interface.
type sortKeyHeap []*queuedEntry

func (h sortKeyHeap) Len() int           { return len(h) }
func (h sortKeyHeap) Less(i, j int) bool { return h[i].sortsBefore(h[j]) }

func (h sortKeyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].keyHeapIndex, h[j].keyHeapIndex = i, j
}

func (h *sortKeyHeap) Push(x any) {
	it := x.(*queuedEntry)
	it.keyHeapIndex = len(*h)
	*h = append(*h, it)
}

func (h *sortKeyHeap) Pop() any {
	old := *h
	n := len(old)
	it := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return it
}

// deadlineHeap orders all entries of a queue by deadline. It implements heap.Interface.
type deadlineHeap []*queuedEntry

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].ID < h[j].ID
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineHeapIndex, h[j].deadlineHeapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	it := x.(*queuedEntry)
	it.deadlineHeapIndex = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old)
	it := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return it
}

package afqueue

// itemHeap orders one customer's entries of one class by key.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.place = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	old := *h
	n := len(old)
	it := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return it
}

// lateHeap orders all entries by deadline.
type lateHeap []*item

func (h lateHeap) Len() int { return len(h) }

func (h lateHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].ID < h[j].ID
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h lateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].late, h[j].late = i, j
}

func (h *lateHeap) Push(x any) {
	it := x.(*item)
	it.late = len(*h)
	*h = append(*h, it)
}

func (h *lateHeap) Pop() any {
	old := *h
	n := len(old)
	it := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return it
}

package admitter

// callHeap orders the waiting calls of a class by deadline.
type callHeap []*Ticket

// before reports whether the deadline of a is earlier than that of b.
func (callHeap) before(a, b *Ticket) bool { return a.request.Deadline.Before(b.request.Deadline) }

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h.before(h[i], h[j]) }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = notInHeap
	return t
}

// flowHeap orders the flows of a band by the start tags of their accounts.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].account.startTag < h[j].account.startTag }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = notInHeap
	return f
}

// dueHeap orders the startable queues by the start count at which they are due.
type dueHeap []*queue

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueHeapIndex, h[j].dueHeapIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	q := x.(*queue)
	q.dueHeapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.dueHeapIndex = notInHeap
	return q
}

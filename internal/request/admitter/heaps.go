package admitter

// callHeap orders the calls of a class by deadline.
type callHeap []*Ticket

// before reports whether a has the earlier deadline.
func (callHeap) before(a, b *Ticket) bool { return a.request.Deadline.Before(b.request.Deadline) }

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h.before(h[i], h[j]) }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = absent
	return t
}

// laneHeap orders the lanes of a band by the start tags of their accounts.
type laneHeap []*lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].account.start < h[j].account.start }
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.index = absent
	return l
}

// dueHeap orders the startable classes by the start at which they are due.
type dueHeap []*queue

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	q := x.(*queue)
	q.dueIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.dueIndex = absent
	return q
}

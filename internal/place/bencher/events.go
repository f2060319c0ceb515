package bencher

import "time"

// event is an action at a time on the virtual clock.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

// events implements heap.Interface in order of time, then of creation.
type events struct {
	items []*event
}

// Len returns the number of events.
func (e *events) Len() int { return len(e.items) }

// Less reports whether event i comes before event j.
func (e *events) Less(i, j int) bool {
	a, b := e.items[i], e.items[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}

// Swap exchanges two events.
func (e *events) Swap(i, j int) { e.items[i], e.items[j] = e.items[j], e.items[i] }

// Push adds an *event.
func (e *events) Push(x any) { e.items = append(e.items, x.(*event)) }

// Pop removes and returns the last event.
func (e *events) Pop() any {
	last := e.items[len(e.items)-1]
	e.items = e.items[:len(e.items)-1]
	return last
}

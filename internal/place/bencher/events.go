package bencher

import "time"

type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

// events is a heap in order of time, then of creation.
type events struct {
	items []*event
}

// Len returns the number of events.
func (e *events) Len() int { return len(e.items) }

// Less orders two events.
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

// Pop takes the last event off.
func (e *events) Pop() any {
	last := e.items[len(e.items)-1]
	e.items = e.items[:len(e.items)-1]
	return last
}

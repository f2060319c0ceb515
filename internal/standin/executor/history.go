package executor

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// EventKind says what happened to a task.
type EventKind string

// Event kinds. A task works from released to the next other event.
const (
	EventStarted      EventKind = "started"
	EventReleased     EventKind = "released"
	EventThrottled    EventKind = "throttled"
	EventFinished     EventKind = "finished"
	EventFailed       EventKind = "failed"
	EventStopped      EventKind = "stopped"
	EventLeaseExpired EventKind = "lease_expired"
	EventLost         EventKind = "lost"
)

// Event is one entry of the history.
type Event struct {
	At      time.Time           `json:"at"`
	Kind    EventKind           `json:"kind"`
	Worker  primrosespar.Worker `json:"worker"`
	Gang    primrosespar.JobID  `json:"gang"`
	Member  int                 `json:"member"`
	Attempt uint64              `json:"attempt"`
	// Members is the size of the gang as its payload states it, or 0.
	Members int `json:"members,omitempty"`
}

// Summary judges the history.
type Summary struct {
	// GangsStarted counts gangs of which a member was released.
	GangsStarted int `json:"gangs_started"`
	// GangsPartial counts gangs of which a proper subset did work for longer
	// than the bound without a break; Partial names them.
	GangsPartial int                  `json:"gangs_partial"`
	Partial      []primrosespar.JobID `json:"partial,omitempty"`
	// LongestPartial is the longest time without a break over all gangs, also
	// where it is within the bound.
	LongestPartial time.Duration `json:"longest_partial"`
}

// log adds an event to the history.
func (h *Executor) log(kind EventKind, w *worker, t *task, at time.Time) {
	h.history = append(h.history, Event{
		At: at, Kind: kind, Worker: w.entry.Worker, Gang: t.status.Gang,
		Member: t.status.Member, Attempt: t.status.Attempt, Members: t.work.Members,
	})
}

// History returns all events up to now in the order of their times.
func (h *Executor) History() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	return slices.Clone(h.history)
}

// Summary judges the history up to now. The size of a gang is what its payload
// states, or else the number of different members that any attempt started. A
// member that finished its work does not make the others a proper subset.
func (h *Executor) Summary(bound time.Duration) Summary {
	history := h.History()
	return Summarize(history, bound, h.clock.Now())
}

// Summarize gives the verdict on a history that ends at now.
func Summarize(history []Event, bound time.Duration, now time.Time) Summary {
	gangs := map[primrosespar.JobID][]Event{}
	var order []primrosespar.JobID
	for _, e := range history {
		if gangs[e.Gang] == nil {
			order = append(order, e.Gang)
		}
		gangs[e.Gang] = append(gangs[e.Gang], e)
	}
	var v Summary
	for _, gang := range order {
		events := gangs[gang]
		if !slices.ContainsFunc(events, func(e Event) bool { return e.Kind == EventReleased }) {
			continue
		}
		v.GangsStarted++
		longest := longestPartial(events, now)
		v.LongestPartial = max(v.LongestPartial, longest)
		if longest > bound {
			v.GangsPartial++
			v.Partial = append(v.Partial, gang)
		}
	}
	return v
}

// part is one slice of one attempt of a gang.
type part struct {
	attempt uint64
	member  int
	worker  primrosespar.Worker
}

// longestPartial returns the longest time without a break for which a proper
// subset of the gang worked. Parts of different attempts never make up a whole
// gang together.
func longestPartial(events []Event, now time.Time) time.Duration {
	size := gangSize(events)
	state := map[part]EventKind{}
	var longest time.Duration
	var since time.Time
	partial := false
	for i, e := range events {
		state[part{e.Attempt, e.Member, e.Worker}] = e.Kind
		is := isPartial(state, size)
		if is && !partial {
			since = e.At
		}
		partial = is
		end := now
		if i+1 < len(events) {
			end = events[i+1].At
		}
		if partial {
			longest = max(longest, end.Sub(since))
		}
	}
	return longest
}

// gangSize returns the number of members of the gang.
func gangSize(events []Event) int {
	members := map[int]bool{}
	stated := 0
	for _, e := range events {
		members[e.Member] = true
		stated = max(stated, e.Members)
	}
	return max(stated, len(members))
}

// isPartial reports whether, in any attempt, a part works while another part
// does not, or fewer members than the gang has were started at all.
func isPartial(state map[part]EventKind, size int) bool {
	type tally struct {
		working int
		idle    int
		members map[int]bool
	}
	attempts := map[uint64]*tally{}
	for p, kind := range state {
		if attempts[p.attempt] == nil {
			attempts[p.attempt] = &tally{members: map[int]bool{}}
		}
		a := attempts[p.attempt]
		a.members[p.member] = true
		switch kind {
		case EventReleased:
			a.working++
		case EventFinished:
		default:
			a.idle++
		}
	}
	for _, a := range attempts {
		if a.working > 0 && (a.idle > 0 || len(a.members) < size) {
			return true
		}
	}
	return false
}

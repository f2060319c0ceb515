package executor

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// EventKind is what happened to a task.
type EventKind string

// Kinds of events. A task runs from EventReleased until its next event.
// EventLost ends a task whose worker was killed.
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

// Event is one entry of the history of all tasks.
type Event struct {
	At      time.Time           `json:"at"`
	Kind    EventKind           `json:"kind"`
	Worker  primrosespar.Worker `json:"worker"`
	Gang    primrosespar.JobID  `json:"gang"`
	Member  int                 `json:"member"`
	Attempt uint64              `json:"attempt"`
	// Members is the size of the gang as the task's payload declares it, or 0.
	Members int `json:"members,omitempty"`
}

// Summary reports which gangs of a history ran partially.
type Summary struct {
	// GangsStarted counts gangs of which at least one member was released.
	GangsStarted int `json:"gangs_started"`
	// GangsPartial counts gangs of which a proper subset ran without
	// interruption for longer than the bound; Partial lists them.
	GangsPartial int                  `json:"gangs_partial"`
	Partial      []primrosespar.JobID `json:"partial,omitempty"`
	// LongestPartial is the longest uninterrupted time for which a proper
	// subset of any gang ran, even if it is within the bound.
	LongestPartial time.Duration `json:"longest_partial"`
}

// recordEvent appends an event to the history.
func (e *Executor) recordEvent(kind EventKind, w *worker, t *task, at time.Time) {
	e.history = append(e.history, Event{
		At: at, Kind: kind, Worker: w.entry.Worker, Gang: t.status.Gang,
		Member: t.status.Member, Attempt: t.status.Attempt, Members: t.payload.Members,
	})
}

// History returns all events up to now in the order of their times.
func (e *Executor) History() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return slices.Clone(e.history)
}

// Summary summarizes the history up to now. See Summarize.
func (e *Executor) Summary(bound time.Duration) Summary {
	history := e.History()
	return Summarize(history, bound, e.clock.Now())
}

// Summarize returns the summary of a history that ends at now. The size of a
// gang is the larger of the size that its payloads declare and the number of
// distinct members that were started in all attempts. A member that has
// finished its work does not make the remaining members a proper subset.
func Summarize(history []Event, bound time.Duration, now time.Time) Summary {
	eventsByGang := map[primrosespar.JobID][]Event{}
	var order []primrosespar.JobID
	for _, e := range history {
		if eventsByGang[e.Gang] == nil {
			order = append(order, e.Gang)
		}
		eventsByGang[e.Gang] = append(eventsByGang[e.Gang], e)
	}
	var summary Summary
	for _, gang := range order {
		events := eventsByGang[gang]
		if !slices.ContainsFunc(events, func(e Event) bool { return e.Kind == EventReleased }) {
			continue
		}
		summary.GangsStarted++
		longest := longestPartial(events, now)
		summary.LongestPartial = max(summary.LongestPartial, longest)
		if longest > bound {
			summary.GangsPartial++
			summary.Partial = append(summary.Partial, gang)
		}
	}
	return summary
}

// memberRun identifies the run of a gang member on a worker in one attempt.
type memberRun struct {
	attempt uint64
	member  int
	worker  primrosespar.Worker
}

// longestPartial returns the longest uninterrupted time for which a proper
// subset of the gang ran. Members of different attempts never count together as
// a complete gang.
func longestPartial(events []Event, now time.Time) time.Duration {
	size := gangSize(events)
	states := map[memberRun]EventKind{}
	var longest time.Duration
	var since time.Time
	partial := false
	for i, e := range events {
		states[memberRun{e.Attempt, e.Member, e.Worker}] = e.Kind
		partialNow := isPartial(states, size)
		if partialNow && !partial {
			since = e.At
		}
		partial = partialNow
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

// gangSize returns the size of the gang, as defined at Summarize.
func gangSize(events []Event) int {
	members := map[int]bool{}
	declared := 0
	for _, e := range events {
		members[e.Member] = true
		declared = max(declared, e.Members)
	}
	return max(declared, len(members))
}

// isPartial reports whether in any attempt a member runs while another member
// of the attempt is idle, or while fewer than size members of it were started.
// states holds the kind of the last event of each run.
func isPartial(states map[memberRun]EventKind, size int) bool {
	type runCounts struct {
		working int
		idle    int
		members map[int]bool
	}
	attempts := map[uint64]*runCounts{}
	for run, kind := range states {
		if attempts[run.attempt] == nil {
			attempts[run.attempt] = &runCounts{members: map[int]bool{}}
		}
		a := attempts[run.attempt]
		a.members[run.member] = true
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

// Package evacuator holds the operators' requests that places are emptied, and
// decides whether work may be started at a place. It does no I/O: the caller
// feeds it what it has read.
//
// # Usage
//
//	e := evacuator.New(bound)
//	changes := e.Set(evacuations, requestedAt) // after each read
//	e.Accepts(worker.Place)                    // may work be placed there?
//	err := e.CheckStart(now)                   // may a start order leave now?
//
// A start must not reach a place later than the bound after the operator's
// request was acknowledged. So starts leave only while the last read that was
// answered is recent; the rest of the bound is left for the order itself.
package evacuator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Shares of the bound.
const (
	// readShare is the time between two reads of the requests.
	readShare = 0.2
	// permissionShare is how old the last answered read may be for a start to
	// leave. It covers a read that takes long, or two that fail.
	permissionShare = 0.6
)

// Change is a request that was made or taken back.
type Change struct {
	Evacuation primrosespar.Evacuation
	// Begun is set if the place is to be emptied, and not if that was taken back.
	Begun bool
}

// Evacuator holds the places to be emptied. It is safe for concurrent use. A nil
// Evacuator accepts all work.
type Evacuator struct {
	bound time.Duration

	mu sync.Mutex
	// known is set once a read was answered, requestedAt is when the last one of
	// these was sent.
	known       bool
	requestedAt primrosespar.Instant
	requests    map[request]primrosespar.Evacuation
	// places counts the requests by place.
	places map[primrosespar.Place]int
}

// request identifies a request: a place may be emptied through the platform and
// with the product's own command at the same time.
type request struct {
	place primrosespar.Place
	own   bool
}

// New returns an Evacuator that knows of no read yet, so that no start may
// leave.
func New(bound time.Duration) *Evacuator {
	return &Evacuator{bound: bound}
}

// ReadInterval returns the time between two reads of the requests.
func (e *Evacuator) ReadInterval() time.Duration { return share(e.bound, readShare) }

// MaxAge returns how old the last answered read may be for a start to leave.
func (e *Evacuator) MaxAge() time.Duration { return share(e.bound, permissionShare) }

// share returns a part of the bound.
func share(bound time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(bound))
}

// Set records the requests that a read sent at requestedAt has returned, and
// returns what has changed. Answers that come out of turn have no effect.
func (e *Evacuator) Set(evacuations []primrosespar.Evacuation, requestedAt primrosespar.Instant) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && requestedAt.At.Before(e.requestedAt.At) {
		return nil
	}
	e.known, e.requestedAt = true, requestedAt
	requests, places := map[request]primrosespar.Evacuation{}, map[primrosespar.Place]int{}
	var changes []Change
	for _, evacuation := range evacuations {
		key := request{evacuation.Place, evacuation.Own}
		earlier, known := e.requests[key]
		known = known && earlier.Version == evacuation.Version
		switch {
		case !evacuation.RequestedAt.IsZero():
		case known:
			evacuation.RequestedAt = earlier.RequestedAt
		default:
			evacuation.RequestedAt = requestedAt.At.Round(0)
		}
		if !known {
			changes = append(changes, Change{Evacuation: evacuation, Begun: true})
		}
		requests[key] = evacuation
		places[evacuation.Place]++
	}
	for key, evacuation := range e.requests {
		if _, stays := requests[key]; !stays {
			changes = append(changes, Change{Evacuation: evacuation})
		}
	}
	e.requests, e.places = requests, places
	slices.SortFunc(changes, func(a, b Change) int { return compare(a.Evacuation, b.Evacuation) })
	return changes
}

// compare orders evacuations by place, and those through the platform first.
func compare(a, b primrosespar.Evacuation) int {
	if order := cmp.Compare(a.Place, b.Place); order != 0 || a.Own == b.Own {
		return order
	}
	if b.Own {
		return -1
	}
	return 1
}

// Evacuations returns the requests, ordered by place.
func (e *Evacuator) Evacuations() []primrosespar.Evacuation {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.SortedFunc(maps.Values(e.requests), compare)
}

// Accepts reports whether work may be placed at the workers of the place.
func (e *Evacuator) Accepts(place primrosespar.Place) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.places[place] == 0
}

// CheckStartAt is CheckStart for a worker of the place, which must not be emptied.
func (e *Evacuator) CheckStartAt(place primrosespar.Place, now primrosespar.Instant) error {
	if err := e.CheckStart(now); err != nil {
		return err
	}
	if !e.Accepts(place) {
		return primrosespar.Fail(primrosespar.CodeWorkerLate, "place %s is being emptied", place)
	}
	return nil
}

// CheckStart returns why no start order may leave at the time now, or nil. It
// fails with CodeWorkerLate, after which the start may be tried again.
func (e *Evacuator) CheckStart(now primrosespar.Instant) error {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return primrosespar.Fail(primrosespar.CodeWorkerLate, "the evacuations have not been read yet")
	}
	age := max(now.At.Sub(e.requestedAt.At), now.Elapsed-e.requestedAt.Elapsed)
	if limit := e.MaxAge(); age > limit {
		return primrosespar.Fail(primrosespar.CodeWorkerLate, "the evacuations were last read %v ago, more than %v", age.Round(time.Millisecond), limit)
	}
	return nil
}

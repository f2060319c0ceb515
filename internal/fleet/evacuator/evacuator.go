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

// Change is a place that begins or ceases to be emptied.
type Change struct {
	Evacuation primrosespar.Evacuation
	// Begun is set if the place is to be emptied, and not if that was taken
	// back.
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
	places      map[primrosespar.Place]primrosespar.Version
}

// New returns an Evacuator that knows of no read yet, so that no start may
// leave.
func New(bound time.Duration) *Evacuator {
	return &Evacuator{bound: bound, places: map[primrosespar.Place]primrosespar.Version{}}
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
	places := map[primrosespar.Place]primrosespar.Version{}
	var changes []Change
	for _, evacuation := range evacuations {
		if version, known := e.places[evacuation.Place]; !known || version != evacuation.Version {
			changes = append(changes, Change{Evacuation: evacuation, Begun: true})
		}
		places[evacuation.Place] = evacuation.Version
	}
	for place, version := range e.places {
		if _, stays := places[place]; !stays {
			changes = append(changes, Change{Evacuation: primrosespar.Evacuation{Place: place, Version: version}})
		}
	}
	e.places = places
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Evacuation.Place, b.Evacuation.Place) })
	return changes
}

// Accepts reports whether work may be placed at the workers of the place.
func (e *Evacuator) Accepts(place primrosespar.Place) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, emptied := e.places[place]
	return !emptied
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

// Package reserver decides how many accelerators work that is not urgent leaves
// free for the guarantees of the accounts.
//
// It answers bursts of urgent work in a fleet that is nearly full: what is free
// can be used at once, while stopping running work takes time and loses what
// that work has done. An idle reserve has a price, too: work that is held back
// may become late. So the full reserve holds back only work that loses nothing
// by waiting. Work that is due, and work that saves its progress and so loses
// little when it is stopped, may use the reserve down to the most that urgent
// work has used lately, which is what urgent callers were seen to need.
//
// # Usage
//
//	r := reserver.New(reserver.DefaultShare)
//	r.Observe(urgentAccelerators, now) // from time to time
//	if r.Admits(work, room) {
//		// the work may start
//	}
package reserver

import (
	"math"
	"time"
)

const (
	// DefaultShare is the share of the guarantees that is left free.
	DefaultShare = 0.55
	// maxPoolShare limits the reserve to a share of the service, which may have
	// lost workers or be too small for its guarantees.
	maxPoolShare = 0.35
	// minShare of the reserve is left free by due work too, while no urgent work
	// was seen.
	minShare = 0.3
	// peakMemory is the time in which the peak of urgent use falls to a third.
	peakMemory = 10 * time.Second
	// idleShare is the share of the service in use below which the reserve does
	// not hold work back. The platform requires work to be started while less
	// than half of the service is in use; the share is higher because the
	// platform counts use slightly differently.
	idleShare = 0.6
)

// Reserver holds what was observed of the urgent work.
type Reserver struct {
	share      float64
	peak       float64
	observedAt time.Time
}

// Room is the room of one service, in accelerators.
type Room struct {
	Total int
	Free  int
	// Closed is on workers that take no new work, beside Total.
	Closed int
	// Held is kept for work that is earlier in the order.
	Held int
	// Guaranteed is the sum of what the accounts are guaranteed.
	Guaranteed int
}

// Work is a unit that is not urgent.
type Work struct {
	// Need is its accelerators.
	Need int
	// Due is set if its job loses value unless it starts soon.
	Due bool
	// Checkpointing work loses little when it is stopped.
	Checkpointing bool
	// LongRunning work runs until its job is cancelled.
	LongRunning bool
}

// New returns a Reserver that leaves the share of the guarantees free.
func New(share float64) *Reserver { return &Reserver{share: share} }

// Observe records the accelerators that urgent work uses.
func (r *Reserver) Observe(use int, now time.Time) {
	if !r.observedAt.IsZero() {
		r.peak *= math.Exp(-now.Sub(r.observedAt).Seconds() / peakMemory.Seconds())
	}
	r.peak, r.observedAt = max(r.peak, float64(use)), now
}

// Reserve returns the accelerators that the work has to leave free, 0 if it is
// too large to ever leave the full reserve free.
func (r *Reserver) Reserve(w Work, room Room) int {
	full := min(r.share*float64(room.Guaranteed), maxPoolShare*float64(room.Total))
	if w.Need > room.Total-int(full) {
		return 0
	}
	if (w.Due || w.Checkpointing) && !w.LongRunning {
		return int(min(full, max(minShare*full, r.peak)))
	}
	return int(full)
}

// Admits reports whether the work may start. Nothing holds it back in a service
// that is mostly idle, and a long-running task, which is preempted if a guarantee
// is claimed, only needs room for it twice over. Running urgent work does not
// reduce the reserve, because more urgent work usually follows.
func (r *Reserver) Admits(w Work, room Room) bool {
	idle := float64(room.Total-room.Free) < idleShare*float64(room.Total+room.Closed)
	if 2*w.Need <= room.Free && (idle || w.LongRunning) {
		return true
	}
	return room.Free-room.Held-w.Need >= r.Reserve(w, room)
}

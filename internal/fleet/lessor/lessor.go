// Package lessor decides until when a holder of the fleet lease lets one worker
// keep its runs, and how long a later holder waits for runs that it cannot ask
// about. Both follow from one figure, the time that leases outlive the last
// confirmed commit of the holder that gave them.
//
// # Usage
//
//	l := lessor.New(lease, committer.ConfirmedAt)
//	l.Observe(report.Clock, receivedAt)
//	grant, ok := l.Extend(now)
//	// send grant.Until to the worker; its runs have ended by grant.Expiry
//
//	wait := lessor.TakeoverWait(lease, longest)
//
// A lease ends at a reading of the worker's clock, which the worker compares with
// its own clock. It is counted from the least that this clock can have shown when
// the last confirmed commit was sent, so it does not get longer while the holder
// is suspended, its monotonic clock stands still, or the order is on its way.
//
// A worker may restart under its name, and its clock starts anew. To a lifetime
// that the holder does not know of yet the reading means nothing: it keeps its
// runs for the longest lease that it accepts (RestartWait).
package lessor

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Figures of the leases.
const (
	// DefaultLease is how long a worker keeps its runs without a renewal. It
	// covers a change of holder, which takes about 2 s.
	DefaultLease = 6 * time.Second
	// RenewalTime is how long after its last confirmed commit a holder goes on
	// renewing leases in full. Longer outages of the store lose work, and a
	// later holder waits as much longer for workers that it cannot reach.
	RenewalTime = 4 * time.Second
	// slowestClockRate is the slowest rate of a worker's clock; the fastest is
	// 1.
	slowestClockRate = 0.98
	// expiryMargin covers the time that a worker needs to kill runs whose lease
	// has expired.
	expiryMargin = 300 * time.Millisecond
	// StartTime is how long after its last confirmed commit a holder sends start
	// orders.
	StartTime = 2 * time.Second
	// DeliveryTime bounds how long after it was sent an order may still reach its
	// worker. The set-up of a connection takes most of it, and a connection that
	// is given up is reset.
	DeliveryTime = time.Second
)

// LeaseWait returns how long after the last commit of a holder its leases may be
// in force in the lifetimes of workers that they were meant for.
func LeaseWait(lease time.Duration) time.Duration {
	return slowest(lease+RenewalTime) + expiryMargin
}

// RestartWait returns how long a worker may keep runs after it has taken an order
// that was meant for an earlier lifetime, whose lease it has shortened to the
// longest one it accepts. If that is 0, it is not longer than the others.
func RestartWait(lease, longest time.Duration) time.Duration {
	if longest == 0 {
		return LeaseWait(lease)
	}
	return slowest(longest) + expiryMargin
}

// TakeoverWait returns how long after the last commit of an earlier holder runs
// that it started may go on at a worker that this holder cannot reach. The worker
// may have restarted before the last start order reached it, and a poll that was
// sent before the restart may have extended the lease after that.
func TakeoverWait(lease, longest time.Duration) time.Duration {
	return max(LeaseWait(lease), StartTime+2*DeliveryTime+RestartWait(lease, longest))
}

// slowest returns the time in which the slowest clock of a worker advances by d.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d) / slowestClockRate)
}

// reading is a reading of the worker's clock and when it was received.
type reading struct {
	clock    time.Duration
	received primrosespar.Instant
}

// known reports whether there is a reading.
func (r reading) known() bool { return !r.received.At.IsZero() }

// before reports whether the reading was received before t.
func (r reading) before(t primrosespar.Instant) bool { return r.known() && r.received.At.Before(t.At) }

// after returns the least that the worker's clock can show at a later time t.
func (r reading) after(t time.Time) time.Duration {
	return r.clock + time.Duration(slowestClockRate*float64(t.Sub(r.received.At)))
}

// backTo returns the least that the worker's clock can have shown at an earlier
// moment. It needs a stopwatch, since a suspension in between does not show on
// the monotonic clock.
func (r reading) backTo(t primrosespar.Instant) time.Duration {
	return r.clock - max(r.received.Elapsed-t.Elapsed, r.received.At.Sub(t.At))
}

// Grant is a lease for a worker.
type Grant struct {
	// Until is the end of the lease on the worker's clock, and Expiry when runs
	// under it have certainly ended by the clock of this host.
	Until  time.Duration
	Expiry time.Time
	// Limited is set if the last confirmed commit is so old that the lease is
	// shorter than usual.
	Limited bool
}

// Lessor grants leases to one worker. It is not safe for concurrent use.
type Lessor struct {
	lease       time.Duration
	confirmedAt func() primrosespar.Instant
	// latest is the last reading of the worker's clock, and next the first one
	// that was received after the last confirmed commit was sent. confirmed is
	// the last one that was known to be received before a confirmed commit was
	// sent.
	latest    reading
	next      reading
	confirmed reading
}

// New returns a Lessor that does not know the worker's clock yet. confirmedAt
// returns when the last commit that was confirmed was sent.
func New(lease time.Duration, confirmedAt func() primrosespar.Instant) *Lessor {
	return &Lessor{lease: lease, confirmedAt: confirmedAt}
}

// Forget drops all readings, because the worker has restarted.
func (l *Lessor) Forget() { l.latest, l.next, l.confirmed = reading{}, reading{}, reading{} }

// Observe records a reading of the worker's clock that was received at the
// moment. The worker took it earlier, which makes leases shorter and their
// expiry later.
func (l *Lessor) Observe(clock time.Duration, received primrosespar.Instant) {
	l.confirm(l.confirmedAt())
	l.latest = reading{clock: clock, received: received}
	if !l.next.known() {
		l.next = l.latest
	}
}

// Age returns how old the last reading of the worker's clock is.
func (l *Lessor) Age(now time.Time) time.Duration { return now.Sub(l.latest.received.At) }

// confirm takes over the last known reading that is older than the confirmed
// commit.
func (l *Lessor) confirm(confirmedAt primrosespar.Instant) {
	switch {
	case l.latest.before(confirmedAt):
		l.confirmed, l.next = l.latest, reading{}
	case l.next.before(confirmedAt):
		// Reports may come faster than commits are confirmed.
		l.confirmed, l.next = l.next, l.latest
	}
}

// clockAtCommit returns the least that the worker's clock can have shown when
// the confirmed commit was sent. It reports false if that is not known.
func (l *Lessor) clockAtCommit(confirmedAt primrosespar.Instant) (time.Duration, bool) {
	var least time.Duration
	known := false
	if l.confirmed.known() {
		least, known = l.confirmed.after(confirmedAt.At), true
	}
	if confirmedAt.Elapsed > 0 && l.latest.known() && !l.latest.before(confirmedAt) {
		least, known = max(least, l.latest.backTo(confirmedAt)), true
	}
	return least, known
}

// Extend returns the lease to send now. It reports false if there is none to
// give: the worker's clock is unknown, or the last confirmed commit is too old.
func (l *Lessor) Extend(now time.Time) (Grant, bool) {
	confirmedAt := l.confirmedAt()
	l.confirm(confirmedAt)
	least, known := l.clockAtCommit(confirmedAt)
	if !known {
		return Grant{Limited: true}, false
	}
	grant := Grant{Until: l.latest.after(now) + l.lease, Expiry: now.Add(slowest(l.lease) + expiryMargin)}
	if limit := least + l.lease + RenewalTime; limit < grant.Until {
		grant.Until, grant.Limited = limit, true
	}
	if limit := confirmedAt.At.Add(LeaseWait(l.lease)); limit.Before(grant.Expiry) {
		grant.Expiry = limit
	}
	return grant, grant.Until > l.latest.clock
}

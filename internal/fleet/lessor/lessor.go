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
//	wait := lessor.TakeoverWait(lease)
//
// A lease ends at a reading of the worker's clock. The reading at the time of
// the last confirmed commit is taken from a report that arrived before that
// commit was sent, so the lease does not get longer while the holder is
// suspended, its clock stands still, or the order is on its way.
package lessor

import "time"

// Figures of the leases.
const (
	// DefaultLease is how long a worker keeps its runs without a renewal. It
	// covers a change of holder, which takes about 2 s.
	DefaultLease = 6 * time.Second
	// RenewalTime is how long after its last confirmed commit a holder goes on
	// renewing leases in full. Longer outages of the store lose work, and a
	// later holder waits as much longer for workers that it cannot reach.
	RenewalTime = 4 * time.Second
	// slowestClockRate is the slowest rate of a worker's clock.
	slowestClockRate = 0.98
	// expiryMargin covers the time that a worker needs to kill runs whose lease
	// has expired.
	expiryMargin = 300 * time.Millisecond
)

// TakeoverWait returns how long after the last commit of an earlier holder its
// leases may be in force on a worker that this holder cannot reach.
func TakeoverWait(lease time.Duration) time.Duration {
	return slowest(lease+RenewalTime) + expiryMargin
}

// slowest returns the time in which the slowest clock of a worker advances by d.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d) / slowestClockRate)
}

// reading is a reading of the worker's clock, received at at.
type reading struct {
	clock time.Duration
	at    time.Time
}

// after returns the least that the worker's clock can show at t.
func (r reading) after(t time.Time) time.Duration {
	return r.clock + time.Duration(slowestClockRate*float64(t.Sub(r.at)))
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
	confirmedAt func() time.Time
	// latest is the last reading of the worker's clock, confirmed the last one
	// that was received before a confirmed commit was sent.
	latest    reading
	confirmed reading
}

// New returns a Lessor that does not know the worker's clock yet. confirmedAt
// returns when the last commit that was confirmed was sent.
func New(lease time.Duration, confirmedAt func() time.Time) *Lessor {
	return &Lessor{lease: lease, confirmedAt: confirmedAt}
}

// Forget drops all readings, because the worker has restarted.
func (l *Lessor) Forget() { l.latest, l.confirmed = reading{}, reading{} }

// Observe records a reading of the worker's clock that was received at at. The
// worker took it earlier, which makes leases shorter and their expiry later.
func (l *Lessor) Observe(clock time.Duration, at time.Time) {
	l.confirm(l.confirmedAt())
	l.latest = reading{clock: clock, at: at}
}

// Age returns how old the last reading of the worker's clock is.
func (l *Lessor) Age(now time.Time) time.Duration { return now.Sub(l.latest.at) }

// confirm takes over the last reading if it is older than the confirmed commit.
func (l *Lessor) confirm(confirmedAt time.Time) {
	if !l.latest.at.IsZero() && l.latest.at.Before(confirmedAt) {
		l.confirmed = l.latest
	}
}

// Extend returns the lease to send now. It reports false if there is none to
// give: the worker's clock is unknown, or the last confirmed commit is too old.
func (l *Lessor) Extend(now time.Time) (Grant, bool) {
	confirmedAt := l.confirmedAt()
	l.confirm(confirmedAt)
	if l.confirmed.at.IsZero() {
		return Grant{}, false
	}
	grant := Grant{Until: l.latest.after(now) + l.lease, Expiry: now.Add(slowest(l.lease) + expiryMargin)}
	if limit := l.confirmed.after(confirmedAt) + l.lease + RenewalTime; limit < grant.Until {
		grant.Until, grant.Limited = limit, true
	}
	if limit := confirmedAt.Add(TakeoverWait(l.lease)); limit.Before(grant.Expiry) {
		grant.Expiry = limit
	}
	return grant, grant.Until > l.latest.clock
}

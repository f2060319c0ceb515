// Package leaser acquires, renews and releases the lease of one place.
//
// The lease is two rows of the table: the lease row changes only when the
// holder changes, the renewal row with each renewal. A host that does not hold
// the lease acquires it after it has seen both rows unchanged for the lease
// duration on its own clock, so clock readings are never compared between
// hosts.
//
// # Usage
//
//	l := leaser.New(table, clock, leaser.Identity{Place: p, Host: h, Incarnation: i})
//	for range ticks {
//		err := l.Step(ctx)
//		if lease, held := l.Held(); held {
//			txn.Conditions = append(txn.Conditions, lease.Condition)
//		}
//	}
package leaser

import (
	"context"
	"encoding/json"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Identity is the place of the lease and the process that wants it.
type Identity struct {
	Place       primrosespar.Place
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	// Address is the one at which the holder receives notifications of other
	// hosts.
	Address netip.AddrPort
}

// Lease is a held lease.
type Lease struct {
	// Token is the fencing token of this holder.
	Token primrosespar.Token
	// Condition makes a transaction fail once another process has acquired or
	// released the lease.
	Condition primrosespar.Condition
}

// Holder is the lease holder as last read from the table.
type Holder struct {
	Host    primrosespar.Host
	Address netip.AddrPort
	Token   primrosespar.Token
}

// leaseRow is the value of the lease row.
type leaseRow struct {
	Holder      primrosespar.Host        `json:"holder,omitempty"`
	Incarnation primrosespar.Incarnation `json:"incarnation,omitempty"`
	Token       primrosespar.Token       `json:"token"`
	Address     netip.AddrPort           `json:"address"`
}

// observation is the state of both rows as last read or written.
type observation struct {
	lease          leaseRow
	leaseVersion   primrosespar.Version
	renewalVersion primrosespar.Version
	// unchangedSince is when this process first saw these two versions.
	unchangedSince time.Time
	// valid is false before the first read.
	valid bool
}

// Leaser manages the lease of one place for one process. It is safe for
// concurrent use.
type Leaser struct {
	table    primrosespar.Table
	clock    primrosespar.Clock
	identity Identity
	options  Options

	mu       sync.Mutex
	lastRead observation
	// renewedAt is when the last successful renewal or acquisition was sent. It
	// is zero if this process does not hold the lease.
	renewedAt time.Time
}

// New returns a Leaser that does not hold the lease.
func New(table primrosespar.Table, clock primrosespar.Clock, identity Identity, opts ...Option) *Leaser {
	return &Leaser{table: table, clock: clock, identity: identity, options: newOptions(opts)}
}

// Step reads both rows and then renews the lease, acquires it or does nothing.
// The caller calls it at an interval well below Options.Duration. An error
// leaves the lease as it was.
func (l *Leaser) Step(ctx context.Context) error {
	sentAt := l.clock.Now()
	if err := l.readRows(ctx); err != nil {
		return err
	}
	seen := l.lastObservation()
	switch {
	case l.isOwn(seen.lease):
		return l.renew(ctx, seen, sentAt)
	case seen.lease.Holder == "" || l.clock.Since(seen.unchangedSince) >= l.options.Duration:
		return l.acquire(ctx, seen, sentAt)
	default:
		return nil
	}
}

// Held returns the lease while this process may act as its holder, which is
// until the lease duration has passed since it sent its last successful
// renewal.
func (l *Leaser) Held() (Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewedAt.IsZero() || l.clock.Since(l.renewedAt) >= l.options.Duration {
		return Lease{}, false
	}
	return Lease{
		Token:     l.lastRead.lease.Token,
		Condition: primrosespar.Condition{Key: primrosespar.LeaseKey(l.identity.Place), Version: l.lastRead.leaseVersion},
	}, true
}

// Token returns the token of the lease that this process held last, unless it
// has seen another holder since. The lease may have expired: the token serves
// to renew worker leases and to stop tasks while the table is unavailable.
func (l *Leaser) Token() (primrosespar.Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRead.lease.Token, !l.renewedAt.IsZero()
}

// Holder returns the holder as last read from the table. It reports false if
// there is none or no read has succeeded.
func (l *Leaser) Holder() (Holder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.lastRead.lease
	return Holder{Host: row.Holder, Address: row.Address, Token: row.Token}, l.lastRead.valid && row.Holder != ""
}

// StepDown gives the lease up without a write. It is called after the table or
// a worker has shown a newer holder.
func (l *Leaser) StepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = time.Time{}
	l.lastRead = observation{}
}

// Release gives the lease up in the table, so that another host can acquire it
// at once.
func (l *Leaser) Release(ctx context.Context) error {
	lease, held := l.Held()
	l.StepDown()
	if !held {
		return nil
	}
	row, err := json.Marshal(leaseRow{Token: lease.Token})
	if err != nil {
		return eris.Wrap(err, "encode lease row")
	}
	_, err = l.table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{lease.Condition},
		Writes:     []primrosespar.Write{{Key: lease.Condition.Key, Value: row}},
	})
	return eris.Wrap(err, "release lease")
}

// unreadableHolder is the holder of a lease row that cannot be decoded.
const unreadableHolder = "(unreadable lease row)"

// readRows reads both rows and, if their versions changed, restarts the time
// that they have been unchanged. The lease is lost if the row names another
// process. A lease row that cannot be decoded names a holder that does not
// renew it. Each token is a write of the row, so none is higher than its version.
func (l *Leaser) readRows(ctx context.Context) error {
	place := l.identity.Place
	rows, err := l.table.Get(ctx, primrosespar.LeaseKey(place), primrosespar.LeaseRenewalKey(place))
	if err != nil {
		return eris.Wrap(err, "read lease")
	}
	next := observation{leaseVersion: rows[0].Version, renewalVersion: rows[1].Version, unchangedSince: l.clock.Now(), valid: true}
	if next.leaseVersion > 0 {
		if err := json.Unmarshal(rows[0].Value, &next.lease); err != nil || next.lease.Token == math.MaxUint64 {
			next.lease = leaseRow{Holder: unreadableHolder, Token: primrosespar.Token(rows[0].Version)}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastRead.valid && l.lastRead.leaseVersion == next.leaseVersion && l.lastRead.renewalVersion == next.renewalVersion {
		return nil
	}
	l.lastRead = next
	if !l.isOwn(next.lease) {
		l.renewedAt = time.Time{}
	}
	return nil
}

// lastObservation returns a copy of lastRead.
func (l *Leaser) lastObservation() observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRead
}

// isOwn reports whether the row names this process and not just this host.
func (l *Leaser) isOwn(row leaseRow) bool {
	return row.Incarnation == l.identity.Incarnation && row.Holder == l.identity.Host
}

// renew writes the renewal row on condition that the lease row is unchanged.
func (l *Leaser) renew(ctx context.Context, seen observation, sentAt time.Time) error {
	place := l.identity.Place
	versions, err := l.table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{{Key: primrosespar.LeaseKey(place), Version: seen.leaseVersion}},
		Writes:     []primrosespar.Write{{Key: primrosespar.LeaseRenewalKey(place)}},
	})
	if primrosespar.CodeOf(err) == primrosespar.CodeConflict {
		l.StepDown()
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "renew lease")
	}
	l.setHeld(seen.lease, seen.leaseVersion, versions[0], sentAt)
	return nil
}

// acquire writes both rows on condition that neither changed. A lost response
// needs no special case, since the next Step finds this process in the row.
func (l *Leaser) acquire(ctx context.Context, seen observation, sentAt time.Time) error {
	place := l.identity.Place
	row := leaseRow{
		Holder:      l.identity.Host,
		Incarnation: l.identity.Incarnation,
		Token:       seen.lease.Token + 1,
		Address:     l.identity.Address,
	}
	value, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode lease row")
	}
	versions, err := l.table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{
			{Key: primrosespar.LeaseKey(place), Version: seen.leaseVersion},
			{Key: primrosespar.LeaseRenewalKey(place), Version: seen.renewalVersion},
		},
		Writes: []primrosespar.Write{
			{Key: primrosespar.LeaseKey(place), Value: value},
			{Key: primrosespar.LeaseRenewalKey(place)},
		},
	})
	if primrosespar.CodeOf(err) == primrosespar.CodeConflict {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "acquire lease")
	}
	l.setHeld(row, versions[0], versions[1], sentAt)
	return nil
}

// setHeld records a renewal or acquisition that was sent at sentAt.
func (l *Leaser) setHeld(row leaseRow, leaseVersion, renewalVersion primrosespar.Version, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRead = observation{lease: row, leaseVersion: leaseVersion, renewalVersion: renewalVersion, unchangedSince: sentAt, valid: true}
	l.renewedAt = sentAt
}

// Package committer writes the decisions of the holder of the fleet lease. Each
// commit rewrites the lease row under the condition that nobody else has, so a
// commit by an earlier holder never takes effect, and the row doubles as the
// sign of life of the holder.
//
// # Usage
//
//	c := committer.New(table, clock, committer.Identity{Host: h, Incarnation: i, Address: a})
//	seen, err := c.Read(ctx)
//	err = c.Acquire(ctx, seen)
//	err = c.Commit(ctx, writes)
//	err = c.Release(ctx)
//
// Commit returns only once the outcome is known: a commit without an answer is
// repeated as it was until the table confirms or denies it. It fails with
// CodeLeaseLost if another host took the lease, and with the error of the
// context if that ends first. It is not safe for concurrent use.
package committer

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Bounds of one transaction and its repetition.
const (
	// maxWrites is the number of rows beside the lease row that the store
	// takes in one transaction.
	maxWrites = 90
	// maxBytes keeps a transaction below the 1 MB that the store takes, in
	// base64.
	maxBytes = 600_000
	// minAttemptTimeout and mostAttempt bound the time of one attempt, because a
	// connection may go silent for good. Between them it is attemptFactor times
	// what the last commit took, and twice that for every second attempt, since
	// a slow store takes most of a second.
	minAttemptTimeout    = 500 * time.Millisecond
	maxAttemptTimeout    = 1500 * time.Millisecond
	attemptTimeoutFactor = 4
	// minBackoff and maxPause bound the wait before a commit is repeated.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Identity names this process.
type Identity struct {
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	Address     netip.AddrPort
}

// Holder is the lease row. A released lease has no host.
type Holder struct {
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	Address     netip.AddrPort
	Token       primrosespar.Token
	// Sequence counts the commits of the holder.
	Sequence uint64
	// Version is the version of the row, 0 if there is none.
	Version primrosespar.Version `cbor:"-"`
}

// Committer writes under the lease of one process.
type Committer struct {
	table    primrosespar.Table
	clock    primrosespar.Clock
	identity Identity
	lease    Holder
	// lastCommitTime is how long the last commit took.
	lastCommitTime time.Duration
}

// New returns a Committer without a lease.
func New(table primrosespar.Table, clock primrosespar.Clock, identity Identity) *Committer {
	return &Committer{table: table, clock: clock, identity: identity}
}

// Read reads the lease row.
func (c *Committer) Read(ctx context.Context) (Holder, error) {
	rows, err := c.table.Get(ctx, primrosespar.FleetLeaseKey())
	if err != nil {
		return Holder{}, err
	}
	var h Holder
	if rows[0].Version > 0 {
		if err := cbor.Unmarshal(rows[0].Value, &h); err != nil {
			return Holder{}, eris.Wrap(err, "decode lease row")
		}
	}
	h.Version = rows[0].Version
	return h, nil
}

// Acquire takes the lease over from the holder that was read; CodeConflict says
// that the row has changed since.
func (c *Committer) Acquire(ctx context.Context, seen Holder) error {
	next := Holder{
		Host: c.identity.Host, Incarnation: c.identity.Incarnation, Address: c.identity.Address,
		Token: seen.Token + 1, Version: seen.Version,
	}
	return c.commitWithLease(ctx, next, nil)
}

// IsOwn reports whether the row names this host. If it names this process, a
// take without an answer had effect; if it names an earlier one, that process
// is gone.
func (c *Committer) IsOwn(row Holder) bool { return row.Host == c.identity.Host }

// Token returns the token of the lease.
func (c *Committer) Token() primrosespar.Token { return c.lease.Token }

// Commit stores the writes, in several transactions if they are many.
func (c *Committer) Commit(ctx context.Context, writes []primrosespar.Write) error {
	for {
		n, size := 0, 0
		for n < len(writes) && n < maxWrites && size < maxBytes {
			size += len(writes[n].Value)
			n++
		}
		next := c.lease
		next.Sequence++
		if err := c.commitWithLease(ctx, next, writes[:n]); err != nil {
			return err
		}
		if writes = writes[n:]; len(writes) == 0 {
			return nil
		}
	}
}

// Release gives the lease up so that another host can take it at once.
func (c *Committer) Release(ctx context.Context) error {
	next := c.lease
	next.Sequence++
	next.Host, next.Incarnation = "", ""
	return c.commitWithLease(ctx, next, nil)
}

// commitWithLease writes the next lease row with the writes and repeats the very same
// transaction until its outcome is known.
func (c *Committer) commitWithLease(ctx context.Context, next Holder, writes []primrosespar.Write) error {
	row, err := cbor.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode lease row")
	}
	txn := primrosespar.Txn{
		Conditions: []primrosespar.Condition{{Key: primrosespar.FleetLeaseKey(), Version: next.Version}},
		Writes:     append([]primrosespar.Write{{Key: primrosespar.FleetLeaseKey(), Value: row}}, writes...),
	}
	backoff := minBackoff
	outcomeUnknown := false
	for n := 0; ; n++ {
		startedAt := c.clock.Now()
		versions, err := c.attempt(ctx, n, txn)
		code := primrosespar.CodeOf(err)
		switch {
		case err == nil:
			next.Version = versions[0]
			c.lease = next
			c.lastCommitTime = c.clock.Since(startedAt)
			return nil
		case code == primrosespar.CodeConflict && !outcomeUnknown:
			return c.conflictError(next)
		case code == primrosespar.CodeConflict:
			return c.resolveOutcome(ctx, next)
		case code == primrosespar.CodeStoreUnknown:
			outcomeUnknown = true
		case code != primrosespar.CodeStoreUnavailable:
			return err
		}
		if err := c.wait(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attemptTimeout returns the time of the nth attempt.
func (c *Committer) attemptTimeout(n int) time.Duration {
	d := max(minAttemptTimeout, attemptTimeoutFactor*c.lastCommitTime)
	if n%2 == 1 {
		d *= 2
	}
	return min(d, maxAttemptTimeout)
}

// attempt makes the nth attempt within its time.
func (c *Committer) attempt(ctx context.Context, n int, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(n))
	defer cancel()
	return c.table.Commit(ctx, txn)
}

// conflictError returns the failure of a commit that another holder came before.
func (c *Committer) conflictError(next Holder) error {
	if next.Sequence == 0 {
		return primrosespar.Fail(primrosespar.CodeConflict, "the lease row has changed")
	}
	return primrosespar.Fail(primrosespar.CodeLeaseLost, "another host took the fleet lease")
}

// resolveOutcome finds out whether a commit without an answer was the one that changed
// the lease row.
func (c *Committer) resolveOutcome(ctx context.Context, next Holder) error {
	backoff := minBackoff
	for n := 0; ; n++ {
		readCtx, cancel := context.WithTimeout(ctx, c.attemptTimeout(n))
		seen, err := c.Read(readCtx)
		cancel()
		if err == nil {
			if seen.Incarnation == next.Incarnation && seen.Token == next.Token && seen.Sequence == next.Sequence {
				c.lease = seen
				return nil
			}
			return c.conflictError(next)
		}
		if err := c.wait(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// backoff waits before the next attempt.
func (c *Committer) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "commit")
	case <-c.clock.After(d):
		return nil
	}
}

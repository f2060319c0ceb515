// Package committer stores the decisions of the holder of the fleet lease. Each
// commit also rewrites the lease row, on the condition that no other host has
// changed it. So a commit by an earlier holder never takes effect, and the
// changes of the row show other hosts that the holder is alive.
//
// # Usage
//
//	c := committer.New(table, clock,
//		committer.Identity{Host: h, Incarnation: i, Address: a})
//	seen, err := c.Read(ctx)
//	err = c.Acquire(ctx, seen)
//	err = c.Commit(ctx, writes)
//	refused, err := c.CommitGroups(ctx, groups)
//	err = c.Release(ctx)
//
// Both return only once the outcome is known: a commit without an answer is
// repeated unchanged until the table confirms or denies it. They fail with
// CodeLeaseLost if another host has acquired the lease, and with the error of
// the context if that ends first.
//
// CommitGroups narrows a transaction that the table refuses for good to the
// groups of writes that it refuses. The others are stored.
package committer

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
)

// Limits of a transaction and its retries.
const (
	// MaxWrites is the maximum number of rows in one transaction, besides the
	// lease row.
	MaxWrites = 90
	// maxBytes keeps a transaction, which is sent in base64, below the store's
	// limit of 1 MB.
	maxBytes = 600_000
	// minAttemptTimeout and maxAttemptTimeout bound the timeout of one attempt,
	// which is needed because a connection may stop responding for good.
	// Between them the timeout is attemptTimeoutFactor times the duration of
	// the last commit or twice that of the last read, and twice that for every
	// second attempt, since a slow store takes most of a second.
	minAttemptTimeout    = 500 * time.Millisecond
	maxAttemptTimeout    = 1500 * time.Millisecond
	attemptTimeoutFactor = 4
	// outcomeReadTimeout bounds the read that follows an attempt without an
	// answer.
	outcomeReadTimeout = 400 * time.Millisecond
	// minBackoff and maxBackoff bound the wait before a commit is repeated.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Identity identifies this process.
type Identity struct {
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	Address     netip.AddrPort
}

// Holder is the content of the lease row. A released lease has no host.
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

// Committer acquires the fleet lease for one process and commits under it. It
// is not safe for concurrent use, except for the methods that say so.
type Committer struct {
	table    primrosespar.Table
	clock    primrosespar.Clock
	identity Identity
	opts     Options
	// lease is the lease row as this process last wrote it.
	lease Holder
	// version is the version of the lease row, for Version, and token that of the
	// lease, for Token.
	version atomic.Uint64
	token   atomic.Uint64
	// confirmed is when the last confirmed commit was sent, for ConfirmedAt and
	// Unconfirmed.
	confirmed atomic.Pointer[primrosespar.Instant]
	// failingSince is when the first failed attempt of the commit in flight had
	// failed; nil if none has.
	failingSince atomic.Pointer[time.Time]
	// lastCommitTime is how long the last commit took, in nanoseconds.
	lastCommitTime atomic.Int64
	// lastReadTime is how long the last read of the lease row took.
	lastReadTime time.Duration
}

// Options configure a Committer.
type Options struct {
	// Stopwatch measures the age of commits. Without one, the time for which
	// the machine was suspended does not count.
	Stopwatch primrosespar.Stopwatch
}

// Option sets one option.
type Option func(*Options)

// WithStopwatch sets the stopwatch that measures the age of commits.
func WithStopwatch(s primrosespar.Stopwatch) Option { return func(o *Options) { o.Stopwatch = s } }

// New returns a Committer without a lease.
func New(table primrosespar.Table, clock primrosespar.Clock, identity Identity, opts ...Option) *Committer {
	c := &Committer{table: table, clock: clock, identity: identity}
	for _, opt := range opts {
		opt(&c.opts)
	}
	return c
}

// now returns the present moment.
func (c *Committer) now() primrosespar.Instant {
	n := primrosespar.Instant{At: c.clock.Now()}
	if c.opts.Stopwatch != nil {
		n.Elapsed = c.opts.Stopwatch.Elapsed()
	}
	return n
}

// unreadableHost is the host of a lease row that cannot be decoded.
const unreadableHost = "(unreadable lease row)"

// Read reads the lease row. A row that cannot be decoded names no host that
// answers, so another one acquires the lease after the usual time. Each term is
// a write of the row, so no token is higher than Stride times the row's version.
func (c *Committer) Read(ctx context.Context) (Holder, error) {
	startedAt := c.clock.Now()
	rows, err := c.table.Get(ctx, primrosespar.FleetLeaseKey())
	if err != nil {
		return Holder{}, err
	}
	c.lastReadTime = c.clock.Since(startedAt)
	var h Holder
	if rows[0].Version > 0 {
		if err := cbor.Unmarshal(rows[0].Value, &h); err != nil || h.Token > math.MaxUint64-fencer.Stride {
			h = Holder{Host: unreadableHost, Token: fencer.Stride * primrosespar.Token(rows[0].Version)}
		}
	}
	h.Version = rows[0].Version
	return h, nil
}

// Acquire takes the lease over from the holder that was read. It fails with
// CodeConflict if the row has changed since.
func (c *Committer) Acquire(ctx context.Context, seen Holder) error {
	next := Holder{
		Host: c.identity.Host, Incarnation: c.identity.Incarnation, Address: c.identity.Address,
		Token: seen.Token + fencer.Stride, Version: seen.Version,
	}
	return c.commitWithLease(ctx, next, nil)
}

// IsOwn reports whether the row names this host. If it names this process, an
// acquisition without an answer took effect; if it names an earlier process of
// the host, that one is gone.
func (c *Committer) IsOwn(row Holder) bool { return row.Host == c.identity.Host }

// Token returns the token of the lease. It may be called at any time.
func (c *Committer) Token() primrosespar.Token { return primrosespar.Token(c.token.Load()) }

// Version returns the version of the lease row that this process wrote last. It
// may be called at any time.
func (c *Committer) Version() primrosespar.Version { return primrosespar.Version(c.version.Load()) }

// ConfirmedAt returns when the last confirmed commit was sent. A host that has
// read the row of that commit, or a later one, read it after that time. It may
// be called at any time.
func (c *Committer) ConfirmedAt() primrosespar.Instant {
	if confirmed := c.confirmed.Load(); confirmed != nil {
		return *confirmed
	}
	return primrosespar.Instant{}
}

// Unconfirmed returns how long ago the last confirmed commit was sent, with the
// time for which the machine was suspended since. It may be called at any time.
func (c *Committer) Unconfirmed() time.Duration {
	confirmed := c.confirmed.Load()
	if confirmed == nil {
		return 0
	}
	now := c.now()
	return max(now.At.Sub(confirmed.At), now.Elapsed-confirmed.Elapsed)
}

// FailingTime returns for how long the attempts of the commit in flight have
// failed, 0 if none has. It may be called at any time.
func (c *Committer) FailingTime() time.Duration {
	if since := c.failingSince.Load(); since != nil {
		return c.clock.Since(*since)
	}
	return 0
}

// LastCommitTime returns how long the last commit took. It may be called at any
// time.
func (c *Committer) LastCommitTime() time.Duration {
	return time.Duration(c.lastCommitTime.Load())
}

// setLease records the lease row as written by a commit that was sent at sentAt
// or later.
func (c *Committer) setLease(lease Holder, sentAt primrosespar.Instant) {
	c.lease = lease
	c.token.Store(uint64(lease.Token))
	c.version.Store(uint64(lease.Version))
	c.confirmed.Store(&sentAt)
}

// CommitGroups stores groups of writes, several in one transaction. A group that
// exceeds the limits of a transaction is split over several, in order. It
// returns the groups that the table refuses for good, by index, with the
// reason. Of such a group a part may be stored if it needs several
// transactions.
func (c *Committer) CommitGroups(ctx context.Context, groups [][]primrosespar.Write) (map[int]error, error) {
	if len(groups) == 0 {
		return nil, c.commitNext(ctx, nil)
	}
	n := narrowing{groups: groups}
	for first := 0; first < len(groups); {
		last := first + fittingGroups(groups[first:])
		if err := c.commitGroups(ctx, &n, first, last); err != nil {
			return nil, err
		}
		first = last
	}
	if len(n.refused) > 0 && !n.accepted {
		// The lease row itself may be what the table refuses.
		if err := c.commitNext(ctx, nil); err != nil {
			return nil, err
		}
	}
	return n.refused, nil
}

// narrowing is a commit of several groups of writes.
type narrowing struct {
	groups [][]primrosespar.Write
	// refused holds the groups that the table refuses, accepted is set once it
	// has accepted a transaction.
	refused  map[int]error
	accepted bool
}

// fittingGroups returns how many of the groups fit into one transaction, at
// least 1.
func fittingGroups(groups [][]primrosespar.Write) int {
	rows, size := 0, 0
	for i, group := range groups {
		rows += len(group)
		for _, w := range group {
			size += len(w.Value)
		}
		if i > 0 && (rows > MaxWrites || size > maxBytes) {
			return i
		}
	}
	return len(groups)
}

// commitGroups stores the groups from first up to last. If the table refuses
// them together, it is tried with each half.
func (c *Committer) commitGroups(ctx context.Context, n *narrowing, first, last int) error {
	err := c.Commit(ctx, slices.Concat(n.groups[first:last]...))
	switch {
	case err == nil:
		n.accepted = true
		return nil
	case primrosespar.CodeOf(err) != primrosespar.CodeBadRequest:
		return err
	case last-first == 1:
		if n.refused == nil {
			n.refused = map[int]error{}
		}
		n.refused[first] = err
		return nil
	}
	middle := (first + last) / 2
	if err := c.commitGroups(ctx, n, first, middle); err != nil {
		return err
	}
	return c.commitGroups(ctx, n, middle, last)
}

// Commit stores the writes. If they exceed the limits of a transaction,
// they are split over several.
func (c *Committer) Commit(ctx context.Context, writes []primrosespar.Write) error {
	for {
		n, size := 0, 0
		for n < len(writes) && n < MaxWrites && (n == 0 || size+len(writes[n].Value) <= maxBytes) {
			size += len(writes[n].Value)
			n++
		}
		if err := c.commitNext(ctx, writes[:n]); err != nil {
			return err
		}
		if writes = writes[n:]; len(writes) == 0 {
			return nil
		}
	}
}

// commitNext makes the next transaction of the lease.
func (c *Committer) commitNext(ctx context.Context, writes []primrosespar.Write) error {
	next := c.lease
	next.Sequence++
	return c.commitWithLease(ctx, next, writes)
}

// Release releases the lease so that another host can acquire it at once.
func (c *Committer) Release(ctx context.Context) error {
	next := c.lease
	next.Sequence++
	next.Host, next.Incarnation = "", ""
	return c.commitWithLease(ctx, next, nil)
}

// commitWithLease writes the next lease row together with the writes and
// repeats the same transaction until its outcome is known.
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
	firstAttemptAt := c.now()
	defer c.failingSince.Store(nil)
	for n := 0; ; n++ {
		startedAt := c.now()
		versions, err := c.attempt(ctx, n, txn)
		code := primrosespar.CodeOf(err)
		switch {
		case err == nil:
			next.Version = versions[0]
			c.setLease(next, startedAt)
			c.lastCommitTime.Store(int64(c.clock.Since(startedAt.At)))
			return nil
		case code == primrosespar.CodeConflict && !outcomeUnknown:
			return c.conflictError(next)
		case code == primrosespar.CodeConflict:
			err := c.resolveOutcome(ctx, next, firstAttemptAt)
			// An attempt was given up before its answer came. The next commit
			// waits longer for it.
			c.lastCommitTime.Store(int64(c.clock.Since(firstAttemptAt.At)))
			return err
		case code == primrosespar.CodeStoreUnknown:
			outcomeUnknown = true
			if c.tookEffect(ctx, next, firstAttemptAt) {
				c.lastCommitTime.Store(int64(c.clock.Since(firstAttemptAt.At)))
				return nil
			}
		case code != primrosespar.CodeStoreUnavailable:
			return err
		}
		if c.failingSince.Load() == nil {
			failedAt := c.clock.Now()
			c.failingSince.Store(&failedAt)
		}
		if err := c.wait(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attemptTimeout returns the timeout of the nth attempt.
func (c *Committer) attemptTimeout(n int) time.Duration {
	d := max(minAttemptTimeout, attemptTimeoutFactor*max(c.LastCommitTime(), 2*c.lastReadTime))
	if n%2 == 1 {
		d *= 2
	}
	return min(d, maxAttemptTimeout)
}

// attempt makes the nth attempt to commit.
func (c *Committer) attempt(ctx context.Context, n int, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(n))
	defer cancel()
	return c.table.Commit(ctx, txn)
}

// conflictError returns the failure of a commit that lost to another writer of
// the lease row.
func (c *Committer) conflictError(next Holder) error {
	if next.Sequence == 0 {
		return primrosespar.Fail(primrosespar.CodeConflict, "the lease row has changed")
	}
	return primrosespar.Fail(primrosespar.CodeLeaseLost, "another host has acquired the fleet lease")
}

// resolveOutcome reads the lease row to find out whether a commit without an
// answer or another writer has changed it.
func (c *Committer) resolveOutcome(ctx context.Context, next Holder, firstAttemptAt primrosespar.Instant) error {
	backoff := minBackoff
	for n := 0; ; n++ {
		readCtx, cancel := context.WithTimeout(ctx, c.attemptTimeout(n))
		seen, err := c.Read(readCtx)
		cancel()
		if err == nil {
			if seen.sameWrite(next) {
				c.setLease(seen, firstAttemptAt)
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

// tookEffect reads the lease row and reports whether it shows the commit, which
// got no answer. Reads do not wait for the transactions of others, which delay
// another attempt while the store is slow.
func (c *Committer) tookEffect(ctx context.Context, next Holder, firstAttemptAt primrosespar.Instant) bool {
	readCtx, cancel := context.WithTimeout(ctx, outcomeReadTimeout)
	defer cancel()
	seen, err := c.Read(readCtx)
	if err != nil || !seen.sameWrite(next) {
		return false
	}
	c.setLease(seen, firstAttemptAt)
	return true
}

// sameWrite reports whether both are the same write of the lease row.
func (h Holder) sameWrite(other Holder) bool {
	return h.Incarnation == other.Incarnation && h.Token == other.Token && h.Sequence == other.Sequence
}

// wait waits before the next attempt.
func (c *Committer) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "commit")
	case <-c.clock.After(d):
		return nil
	}
}

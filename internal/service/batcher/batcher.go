// Package batcher provides a Table that combines the commits of one host into
// shared transactions, because the store limits the number of transactions, not
// of rows.
//
// # Usage
//
//	b := batcher.New(table, batcher.WithWindow(2*time.Millisecond))
//	defer b.Close()
//	versions, err := b.Commit(ctx, txn)
//
// The transaction of one caller is a part of a shared transaction. Two parts
// are not combined if one of them writes a row that the other writes or has a
// condition on: both could succeed on the same version of the row although each
// excludes the other. The later one goes into a later transaction. If a shared
// transaction conflicts, its parts are committed one by one. If its answer is
// lost, each part gets CodeStoreUnknown.
package batcher

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// Default options.
const (
	DefaultWindow   = 2 * time.Millisecond
	DefaultMaxParts = 64
	DefaultQueue    = 1024
)

// Options configure a Batcher.
type Options struct {
	Clock primrosespar.Clock
	// Window is how long the first part of a transaction waits for others.
	Window time.Duration
	// The first part does not wait while the host sends fewer transactions than
	// Rate and Burst allow. Without a rate it always waits.
	Rate  rate.Limit
	Burst int
	// MaxParts is the maximum number of parts of one transaction, and Queue
	// that of waiting parts.
	MaxParts int
	Queue    int
	// Timeout is the maximum duration of one transaction. A shared transaction
	// has no context of a caller that could limit it.
	Timeout time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithWindow sets how long the first part of a transaction waits for others.
func WithWindow(window time.Duration) Option {
	return func(o *Options) { o.Window = window }
}

// WithRate sets the number of transactions per second, and the burst, up to
// which parts do not wait for others.
func WithRate(perSecond float64, burst int) Option {
	return func(o *Options) { o.Rate, o.Burst = rate.Limit(perSecond), burst }
}

// WithQueue sets the maximum number of waiting parts.
func WithQueue(parts int) Option {
	return func(o *Options) { o.Queue = parts }
}

// Batcher is a Table that combines the commits to another Table. It is safe for
// concurrent use.
type Batcher struct {
	primrosespar.Table
	options Options
	mu      sync.Mutex
	waiting []*part
	wake    chan struct{}
	stop    chan struct{}
	closed  bool
	loop    conc.WaitGroup
	// immediate has a token for each transaction that does not have to wait for
	// other parts.
	immediate *rate.Limiter
}

// part is the transaction of one caller.
type part struct {
	ctx    context.Context
	txn    primrosespar.Txn
	answer chan answer
}

// answer is the result of one part.
type answer struct {
	versions []primrosespar.Version
	err      error
}

// New returns a running Batcher for the table.
func New(table primrosespar.Table, opts ...Option) *Batcher {
	options := Options{
		Clock: clockwork.NewRealClock(), Window: DefaultWindow,
		MaxParts: DefaultMaxParts, Queue: DefaultQueue, Timeout: 2 * time.Second,
	}
	for _, opt := range opts {
		opt(&options)
	}
	b := &Batcher{Table: table, options: options, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	b.immediate = rate.NewLimiter(options.Rate, options.Burst)
	b.loop.Go(b.run)
	return b
}

// Close refuses new commits and returns when all waiting ones are answered.
func (b *Batcher) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.stop)
	}
	b.mu.Unlock()
	b.loop.Wait()
}

// Commit commits the transaction as a part of a shared one. It returns
// CodeStoreUnknown if the context is done while the part is waiting or being
// committed.
func (b *Batcher) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	p := &part{ctx: ctx, txn: txn, answer: make(chan answer, 1)}
	if err := b.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case a := <-p.answer:
		return a.versions, a.err
	case <-ctx.Done():
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the caller stopped waiting").WithCause(ctx.Err())
	}
}

// enqueue adds the part to the queue or refuses it.
func (b *Batcher) enqueue(p *part) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the batcher is closed")
	}
	if len(b.waiting) >= b.options.Queue {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the queue is full: %d commits are waiting", len(b.waiting))
	}
	b.waiting = append(b.waiting, p)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// run commits batches until the batcher is closed and no parts are waiting.
func (b *Batcher) run() {
	for {
		select {
		case <-b.wake:
		case <-b.stop:
		}
		for b.hasWaiting() {
			b.waitForOthers()
			b.commitBatch(b.nextBatch())
		}
		select {
		case <-b.stop:
			return
		default:
		}
	}
}

// hasWaiting reports whether parts are waiting.
func (b *Batcher) hasWaiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) > 0
}

// waitForOthers waits for other parts to join the first one, unless the host is
// below the rate of transactions up to which it does not wait.
func (b *Batcher) waitForOthers() {
	if b.immediate.AllowN(b.options.Clock.Now(), 1) {
		return
	}
	select {
	case <-b.options.Clock.After(b.options.Window):
	case <-b.stop:
	}
}

// nextBatch removes the parts of the next shared transaction from the queue. A
// part that cannot be included keeps its position in the queue, and later parts
// that overlap with it are not included either.
func (b *Batcher) nextBatch() []*part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*part
	usage := rowUsage{}
	for _, p := range b.waiting {
		if p.ctx.Err() != nil {
			p.answer <- answer{err: primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the caller stopped waiting before the write was sent").WithCause(p.ctx.Err())}
			continue
		}
		if len(batch) < b.options.MaxParts && usage.allows(p.txn) {
			batch = append(batch, p)
		} else {
			remaining = append(remaining, p)
		}
		usage.add(p.txn)
	}
	b.waiting = remaining
	return batch
}

// rowUsage maps the keys of the rows that transactions use to whether they
// write the row.
type rowUsage map[string]bool

// allows reports whether the transaction uses no row that is written and writes
// no row that is used.
func (u rowUsage) allows(txn primrosespar.Txn) bool {
	for _, c := range txn.Conditions {
		if u[c.Key] {
			return false
		}
	}
	for _, w := range txn.Writes {
		if _, ok := u[w.Key]; ok {
			return false
		}
	}
	return true
}

// add records the rows of the transaction.
func (u rowUsage) add(txn primrosespar.Txn) {
	for _, c := range txn.Conditions {
		u[c.Key] = u[c.Key] || false
	}
	for _, w := range txn.Writes {
		u[w.Key] = true
	}
}

// commitBatch commits the parts of a batch and answers each of them.
func (b *Batcher) commitBatch(batch []*part) {
	switch len(batch) {
	case 0:
		return
	case 1:
		b.commitAlone(batch[0])
		return
	}
	var shared primrosespar.Txn
	for _, p := range batch {
		shared.Conditions = append(shared.Conditions, p.txn.Conditions...)
		shared.Writes = append(shared.Writes, p.txn.Writes...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.options.Timeout)
	defer cancel()
	versions, err := b.Table.Commit(ctx, shared)
	code := primrosespar.CodeOf(err)
	switch {
	case err == nil && len(versions) == len(shared.Writes):
		for _, p := range batch {
			p.answer <- answer{versions: versions[:len(p.txn.Writes):len(p.txn.Writes)]}
			versions = versions[len(p.txn.Writes):]
		}
	case code == primrosespar.CodeStoreUnavailable:
		for _, p := range batch {
			p.answer <- answer{err: err}
		}
	case code == primrosespar.CodeConflict || code == primrosespar.CodeBadRequest:
		for _, p := range batch {
			b.commitAlone(p)
		}
	default:
		for _, p := range batch {
			p.answer <- answer{err: primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "outcome of the shared transaction is unknown").WithCause(err)}
		}
	}
}

// commitAlone commits one part in a transaction of its own and answers it.
func (b *Batcher) commitAlone(p *part) {
	ctx, cancel := context.WithTimeout(p.ctx, b.options.Timeout)
	defer cancel()
	versions, err := b.Table.Commit(ctx, p.txn)
	p.answer <- answer{versions: versions, err: err}
}

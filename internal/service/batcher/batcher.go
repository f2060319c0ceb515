// Package batcher is a Table that groups the commits of one host into shared
// transactions, because the store counts transactions and not rows.
//
// # Usage
//
//	b := batcher.New(table, batcher.WithWindow(2*time.Millisecond))
//	defer b.Close()
//	versions, err := b.Commit(ctx, txn)
//
// A part whose keys overlap a row that another part writes goes into a later
// transaction: together both could succeed on one version of the row. If a
// shared transaction conflicts, its parts are committed one by one. If its
// answer is lost, every part gets CodeStoreUnknown.
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

// Defaults of the batcher.
const (
	DefaultWindow   = 2 * time.Millisecond
	DefaultMaxParts = 64
	DefaultQueue    = 1024
)

// Options configure a Batcher.
type Options struct {
	Clock primrosespar.Clock
	// Window is how long the first part waits for others.
	Window time.Duration
	// Rate and Burst let the first part go at once while the host sends fewer
	// transactions than that; without a rate it always waits.
	Rate  rate.Limit
	Burst int
	// MaxParts bounds the parts of one transaction, Queue those that wait.
	MaxParts int
	Queue    int
	// Timeout bounds one shared transaction, which has no caller of its own.
	Timeout time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock that the window is measured on.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithWindow sets how long the first part waits for others.
func WithWindow(window time.Duration) Option {
	return func(o *Options) { o.Window = window }
}

// WithRate lets transactions go without a wait up to a rate per second and a
// burst.
func WithRate(perSecond float64, burst int) Option {
	return func(o *Options) { o.Rate, o.Burst = rate.Limit(perSecond), burst }
}

// WithQueue sets how many parts may wait.
func WithQueue(parts int) Option {
	return func(o *Options) { o.Queue = parts }
}

// Batcher is a Table decorator that is safe for concurrent use.
type Batcher struct {
	primrosespar.Table
	options Options
	mu      sync.Mutex
	waiting []*part
	wake    chan struct{}
	stop    chan struct{}
	closed  bool
	loop    conc.WaitGroup
	// immediate gives a token for each transaction that need not wait.
	immediate *rate.Limiter
}

// part is the transaction of one caller.
type part struct {
	ctx    context.Context
	txn    primrosespar.Txn
	answer chan answer
}

// answer is what one caller gets.
type answer struct {
	versions []primrosespar.Version
	err      error
}

// New returns a running batcher in front of the table.
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

// Close refuses new commits and returns after the waiting ones are answered.
func (b *Batcher) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.stop)
	}
	b.mu.Unlock()
	b.loop.Wait()
}

// Commit adds the transaction to a shared one. A caller that gives up while
// its part waits or is on its way gets CodeStoreUnknown.
func (b *Batcher) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	p := &part{ctx: ctx, txn: txn, answer: make(chan answer, 1)}
	if err := b.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case a := <-p.answer:
		return a.versions, a.err
	case <-ctx.Done():
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "caller gave up").WithCause(ctx.Err())
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
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "%d commits are waiting", len(b.waiting))
	}
	b.waiting = append(b.waiting, p)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// run sends batches until the batcher is closed and its queue is empty.
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

// hasWaiting reports whether parts wait.
func (b *Batcher) hasWaiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) > 0
}

// waitForOthers lets other parts join the first one, unless the host is far below its
// rate of transactions.
func (b *Batcher) waitForOthers() {
	if b.immediate.AllowN(b.options.Clock.Now(), 1) {
		return
	}
	select {
	case <-b.options.Clock.After(b.options.Window):
	case <-b.stop:
	}
}

// nextBatch removes the parts of the next shared transaction from the queue. A part
// that does not fit keeps its place and holds back later parts that overlap it.
func (b *Batcher) nextBatch() []*part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*part
	usage := rowUsage{}
	for _, p := range b.waiting {
		if p.ctx.Err() != nil {
			p.answer <- answer{err: primrosespar.Fail(primrosespar.CodeStoreUnavailable, "caller gave up before the write was sent").WithCause(p.ctx.Err())}
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

// rowUsage says how the rows of a batch are used: true if written.
type rowUsage map[string]bool

// allows reports whether the transaction touches no row that is written and
// writes no row that is touched.
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

// commitBatch commits a batch and answers each of its parts.
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
			p.answer <- answer{err: primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "shared transaction").WithCause(err)}
		}
	}
}

// commitAlone commits one part by itself.
func (b *Batcher) commitAlone(p *part) {
	ctx, cancel := context.WithTimeout(p.ctx, b.options.Timeout)
	defer cancel()
	versions, err := b.Table.Commit(ctx, p.txn)
	p.answer <- answer{versions: versions, err: err}
}

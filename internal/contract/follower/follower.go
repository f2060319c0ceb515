// Package follower keeps the contracts of a host up to date. It polls the
// newest revision in the table, reads the log rows that it lacks, and learns
// from heartbeats which revision other hosts know. It never goes back to an
// earlier revision.
//
// # Usage
//
//	f := follower.New(follower.WithTable(table), follower.WithLeader(isLowest))
//	go f.Run(ctx)
//	if f.Current() {
//		view, _ := f.View()
//	}
package follower

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/checker"
)

// Follower implements primrosespar.ContractSource. It is safe for concurrent
// use, but only one goroutine may call Step.
type Follower struct {
	opts Options
	// wake wakes the polling loop when a newer revision is announced.
	wake chan struct{}

	mu     sync.Mutex
	loaded bool
	view   primrosespar.ContractView
	// pending are the accounts that have a pending amendment as of view.
	pending []primrosespar.Account
	// confirmedAt is the latest known time at which view was the newest state
	// of the table.
	confirmedAt time.Time
	// announced is the newest revision that another host announced. announcedAt
	// is the latest known time at which it was the newest state of the table,
	// or zero.
	announced   primrosespar.Revision
	announcedAt time.Time

	// The following fields are only used by the goroutine that calls Step.
	accounts map[primrosespar.Account]accountState
	revision primrosespar.Revision
	failures int
}

// accountState is the state of the contract of one account as of a revision.
type accountState struct {
	revision primrosespar.Revision
	version  primrosespar.Version
	deleted  bool
	accepted primrosespar.Contract
	// inForce is accepted, with its offline terms lowered to those of a pending
	// amendment.
	inForce primrosespar.Contract
	pending bool
}

var _ primrosespar.ContractSource = (*Follower)(nil)

// New returns a Follower that has not read any contracts yet.
func New(opts ...Option) *Follower {
	o := defaultOptions()
	for _, set := range opts {
		set(&o)
	}
	return &Follower{opts: o, wake: make(chan struct{}, 1), accounts: map[primrosespar.Account]accountState{}}
}

// View returns the newest known contracts and the time since they were known to
// be current. Before the contracts are read, the view is empty and that time is
// since the zero time.
func (f *Follower) View() (primrosespar.ContractView, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.opts.Clock.Since(f.confirmedAt)
}

// Pending returns the accounts whose newest known amendment is pending, ordered
// by name.
func (f *Follower) Pending() []primrosespar.Account {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending
}

// Current reports whether the view was confirmed within the validity.
func (f *Follower) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.opts.Clock.Since(f.confirmedAt) < f.opts.Validity
}

// Loaded reports whether the contracts have been read at least once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Observe processes the reply to a heartbeat that this host sent at sentAt, a
// reading of the clock of the Follower. The age of the view in the reply is
// counted from sentAt, which can overstate but never understate it.
func (f *Follower) Observe(heartbeat primrosespar.Heartbeat, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := sentAt.Add(-heartbeat.ViewAge)
	switch {
	case heartbeat.Revision > f.announced && (!f.loaded || heartbeat.Revision > f.view.Revision):
		f.announced, f.announcedAt = heartbeat.Revision, at
		f.wakeLoop()
	case f.loaded && heartbeat.Revision <= f.view.Revision:
		// No newer revision than that of the view existed at that time.
		f.confirm(at)
	case heartbeat.Revision == f.announced && at.After(f.announcedAt):
		f.announcedAt = at
	}
}

// Notice processes a revision in a heartbeat that another host sent. It does
// not confirm the view as of a time, because it is unknown how long the message
// took.
func (f *Follower) Notice(revision primrosespar.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.announced && (!f.loaded || revision > f.view.Revision) {
		f.announced, f.announcedAt = revision, time.Time{}
		f.wakeLoop()
	}
}

// confirm records that the view was the newest state of the table at the time.
func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// wakeLoop wakes the polling loop.
func (f *Follower) wakeLoop() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run runs the polling loop until the context is done.
func (f *Follower) Run(ctx context.Context) {
	for {
		delay, _ := f.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-f.opts.Clock.After(delay):
		}
	}
}

// Step polls the table if a poll is due, and returns the time until the next
// step. An error leaves the view unchanged.
func (f *Follower) Step(ctx context.Context) (time.Duration, error) {
	due, delay := f.due()
	if !due {
		return delay, nil
	}
	if err := f.poll(ctx); err != nil {
		f.failures++
		return f.backoff(), err
	}
	f.failures = 0
	_, delay = f.due()
	return delay, nil
}

// due reports whether a poll is due now, and otherwise the time until it is.
func (f *Follower) due() (bool, time.Duration) {
	maxAge := f.opts.NonLeaderInterval
	if f.opts.Leader() {
		maxAge = f.opts.Interval
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.announced > f.view.Revision {
		return true, minDelay
	}
	remaining := maxAge - f.opts.Clock.Since(f.confirmedAt)
	return remaining <= 0, max(remaining, minDelay)
}

// backoff returns the delay after a failed poll, which grows exponentially and
// has jitter.
func (f *Follower) backoff() time.Duration {
	delay := maxDelay
	if f.failures < 6 {
		delay = min(firstDelay<<(f.failures-1), maxDelay)
	}
	return delay/2 + time.Duration(f.opts.Jitter()*float64(delay/2))
}

// poll reads the newest revision and the contracts that changed since the last
// poll.
func (f *Follower) poll(ctx context.Context) error {
	sentAt := f.opts.Clock.Now()
	rows, err := f.opts.Table.Get(ctx, primrosespar.ContractHeadKey())
	if err != nil {
		return err
	}
	var head amender.Head
	if err = decodeRow(rows[0], &head); err != nil {
		return err
	}
	f.mu.Lock()
	loaded, announced := f.loaded, f.announced
	f.mu.Unlock()
	if head.Revision < f.revision || head.Revision < announced {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable,
			"the table returned head revision %d after revision %d was seen", head.Revision, max(f.revision, announced))
	}
	target := head.Revision
	if !loaded {
		if target, err = f.loadContracts(ctx, head.Revision); err != nil {
			return err
		}
	}
	if err = f.loadLog(ctx, target); err != nil {
		return err
	}
	f.publish(sentAt)
	return nil
}

// loadContracts reads all contract rows. The scan is not a snapshot: each row
// is at least as new as the head revision, which was read before. It returns
// the newest revision in the rows. Applying the log up to there brings all
// accounts to that revision.
func (f *Follower) loadContracts(ctx context.Context, head primrosespar.Revision) (primrosespar.Revision, error) {
	after, target := "", head
	for {
		rows, err := f.opts.Table.Scan(ctx, primrosespar.ContractKey(""), after, pageSize)
		if err != nil {
			return head, err
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			var record amender.Record
			if err = decodeRow(row, &record); err != nil {
				return head, err
			}
			target = max(target, record.Revision)
			for _, entry := range []*amender.Entry{record.Accepted, record.Pending} {
				if entry == nil {
					continue
				}
				if err = f.apply(*entry); err != nil {
					return head, err
				}
			}
			after = row.Key
		}
	}
	f.revision = max(f.revision, head)
	return target, nil
}

// loadLog applies the log rows up to the head. Revisions have no gaps, so a
// missing row means that the read was stale, and the poll fails.
func (f *Follower) loadLog(ctx context.Context, head primrosespar.Revision) error {
	for f.revision < head {
		rows, err := f.opts.Table.Scan(ctx, primrosespar.ContractLogKey(0)[:len("contract_log/")],
			primrosespar.ContractLogKey(f.revision), pageSize)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "revision %d is not readable yet", f.revision+1)
		}
		for _, row := range rows {
			var entry amender.Entry
			if err = decodeRow(row, &entry); err != nil {
				return err
			}
			if entry.Revision != f.revision+1 {
				return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "revision %d is not readable yet", f.revision+1)
			}
			if err = f.apply(entry); err != nil {
				return err
			}
			f.revision = entry.Revision
		}
	}
	return nil
}

// apply applies a log entry if it is newer than the known state of the account.
func (f *Follower) apply(entry amender.Entry) error {
	state := f.accounts[entry.Account]
	if entry.Revision <= state.revision {
		return nil
	}
	contract, err := entry.Contract()
	if err != nil {
		return err
	}
	state.revision = entry.Revision
	state.pending = entry.State == amender.StatePending
	if entry.State == amender.StatePending {
		state.inForce = checker.Restrict(state.accepted, contract)
	} else {
		state.version, state.deleted, state.accepted, state.inForce = entry.Version, entry.Deleted, contract, contract
	}
	f.accounts[entry.Account] = state
	return nil
}

// publish makes the loaded revision the view and confirms it as of sentAt.
func (f *Follower) publish(sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.revision > f.view.Revision {
		f.view = f.buildView()
		f.pending = f.pendingAccounts()
	}
	f.loaded = true
	f.confirm(sentAt)
	if f.revision >= f.announced {
		f.confirm(f.announcedAt)
	}
}

// pendingAccounts returns the accounts that have a pending amendment, ordered
// by name.
func (f *Follower) pendingAccounts() []primrosespar.Account {
	var names []primrosespar.Account
	for name, a := range f.accounts {
		if a.pending {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// buildView returns the contracts in force of all accounts, ordered by name.
func (f *Follower) buildView() primrosespar.ContractView {
	view := primrosespar.ContractView{Revision: f.revision}
	for _, a := range f.accounts {
		if a.version > 0 && !a.deleted {
			view.Contracts = append(view.Contracts, primrosespar.VersionedContract{Contract: a.inForce, Version: a.version})
		}
	}
	slices.SortFunc(view.Contracts, func(a, b primrosespar.VersionedContract) int {
		return strings.Compare(string(a.Contract.Account), string(b.Contract.Account))
	})
	return view
}

// decodeRow decodes the value of a row. It leaves value unchanged for a missing
// row.
func decodeRow(row primrosespar.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return primrosespar.Fail(primrosespar.CodeInternal, "row %s is malformed", row.Key).WithCause(err)
	}
	return nil
}

// Package amender writes contract amendments to the table. An amendment names
// the version that it amends and is one transaction over the head row, the
// contract row and the log row. It carries an id by which a writer whose
// answer was lost recognises its own write, also below later amendments.
//
// # Usage
//
//	a := amender.New(amender.WithTable(table), amender.WithPlaces(places...))
//	outcome, err := a.Amend(ctx, amender.Amendment{ID: id, Account: "nord", Base: 3, Document: text})
package amender

import (
	"context"
	"errors"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/checker"
	"primrosespar.example/primrosespar/internal/contract/parser"
)

// Amendment is one change of one contract.
type Amendment struct {
	// ID is unique; the same ID stands for the same change when it is sent again.
	ID      string
	Account primrosespar.Account
	// Base is the version that is amended, 0 for a new contract.
	Base     primrosespar.Version
	Document []byte
	Delete   bool
	Author   string
	At       time.Time
	// Resent says that the amendment was sent before with an unknown outcome:
	// a failure of the table then leaves it unknown.
	Resent bool
}

// Outcome is what became of an amendment.
type Outcome struct {
	Account  primrosespar.Account  `json:"account"`
	Version  primrosespar.Version  `json:"version"`
	Revision primrosespar.Revision `json:"revision"`
	State    State                 `json:"state"`
}

// Amender writes amendments. It is safe for concurrent use.
type Amender struct {
	opts Options

	mu sync.Mutex
	// seen holds when this process first saw the newest revision of an account.
	seen map[primrosespar.Account]sighting
}

// New returns an Amender.
func New(opts ...Option) *Amender {
	o := defaults()
	for _, set := range opts {
		set(&o)
	}
	return &Amender{opts: o, seen: map[primrosespar.Account]sighting{}}
}

// Amend applies the amendment. The error is a Failure with
// CodeContractInvalid, CodeGuaranteesDontPack or CodeVersionConflict if
// nothing was written, and with Ran unknown if the write may take effect.
func (a *Amender) Amend(ctx context.Context, m Amendment) (Outcome, error) {
	after, err := a.parse(m)
	if err != nil {
		return Outcome{}, err
	}
	unknown, stale := m.Resent, 0
	for attempt := range maxAttempts {
		if attempt > 0 {
			if waitErr := a.wait(ctx, attempt); waitErr != nil {
				break
			}
		}
		var outcome Outcome
		outcome, err = a.try(ctx, m, after)
		if err == nil {
			return outcome, nil
		}
		code := primrosespar.CodeOf(err)
		unknown = unknown || code == primrosespar.CodeStoreUnknown
		if code == primrosespar.CodeVersionConflict {
			// The contract moved and the own write is not in the log. The
			// head moved with it, so no delayed write can take effect.
			return Outcome{}, err
		}
		if code == staleCode {
			stale++
		}
		if !temporary(code) || stale > maxStale {
			break
		}
	}
	if unknown {
		return Outcome{}, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown,
			"amendment %s of %s may have taken effect; send it again with the same id", m.ID, m.Account).WithCause(err)
	}
	var failure *primrosespar.Failure
	if errors.As(err, &failure) && failure.Code == staleCode {
		return Outcome{}, primrosespar.Fail(primrosespar.CodeVersionConflict, "%s", failure.Message)
	}
	return Outcome{}, err
}

// staleCode marks a row that is older than the version named: either the read
// is stale or the version does not exist.
const staleCode = primrosespar.CodeNotFound

// temporary reports whether another attempt may succeed.
func temporary(code primrosespar.Code) bool {
	switch code {
	case primrosespar.CodeConflict, primrosespar.CodeStoreUnknown, primrosespar.CodeStoreUnavailable, staleCode:
		return true
	default:
		return false
	}
}

// wait sleeps before another attempt.
func (a *Amender) wait(ctx context.Context, attempt int) error {
	delay := min(firstDelay<<(attempt-1), maxDelay)
	delay = delay/2 + time.Duration(a.opts.Jitter()*float64(delay/2))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.opts.Clock.After(delay):
		return nil
	}
}

// parse checks the amendment as far as it needs no table.
func (a *Amender) parse(m Amendment) (primrosespar.Contract, error) {
	if m.ID == "" || m.Account == "" {
		return primrosespar.Contract{}, primrosespar.Fail(primrosespar.CodeBadRequest, "an amendment needs an id and an account")
	}
	if m.Delete {
		return primrosespar.Contract{}, nil
	}
	c, err := parser.Parse(m.Document)
	if err != nil {
		return c, err
	}
	if c.Account != m.Account {
		return c, primrosespar.Fail(primrosespar.CodeContractInvalid, "account: %q is not %q, which is amended", c.Account, m.Account)
	}
	for i, p := range c.Places {
		if !a.knows(p.Place) {
			return c, primrosespar.Fail(primrosespar.CodeContractInvalid, "places[%d].place: %q is no place of this installation", i, p.Place)
		}
	}
	return c, nil
}

// knows reports whether the place exists.
func (a *Amender) knows(place primrosespar.Place) bool {
	for _, p := range a.opts.Places {
		if p == place {
			return true
		}
	}
	return false
}

// try makes one attempt.
func (a *Amender) try(ctx context.Context, m Amendment, after primrosespar.Contract) (Outcome, error) {
	now, err := a.load(ctx, m.Account)
	if err != nil {
		return Outcome{}, err
	}
	latest := now.record.Latest()
	if latest > m.Base {
		return a.find(ctx, m, now.record)
	}
	if latest < m.Base {
		return Outcome{}, primrosespar.Fail(staleCode, "contract %s has version %d, the amendment names %d", m.Account, latest, m.Base)
	}
	before, err := now.record.Accepted.Contract()
	if err != nil {
		return Outcome{}, err
	}
	if m.Delete && (now.record.Accepted == nil || now.record.Accepted.Deleted) {
		return Outcome{}, primrosespar.Fail(primrosespar.CodeUnknownAccount, "account %s has no contract", m.Account)
	}
	txn, err := a.pack(ctx, now, before, after)
	if err != nil {
		return Outcome{}, err
	}
	entry := &Entry{
		Account: m.Account, Version: m.Base + 1, AmendmentID: m.ID, State: StateAccepted,
		Deleted: m.Delete, Document: string(m.Document), Author: m.Author, At: m.At,
	}
	if m.Delete {
		entry.Document = ""
	}
	if checker.LowersOffline(before, after) {
		entry.State = StatePending
	}
	return a.commit(ctx, now, entry, txn)
}

// pack checks the guarantees against those of all other accounts and returns
// the conditions under which the result holds.
func (a *Amender) pack(ctx context.Context, now state, before, after primrosespar.Contract) (primrosespar.Txn, error) {
	var txn primrosespar.Txn
	if len(after.Guarantees) == 0 {
		return txn, nil
	}
	workers, err := a.opts.Workers(ctx)
	if err != nil {
		return txn, err
	}
	var others []primrosespar.Contract
	err = a.scan(ctx, func(row primrosespar.Row, r Record) error {
		if r.Account == now.record.Account {
			return nil
		}
		kept, keptErr := reserved(r)
		if len(kept.Guarantees) > 0 {
			others = append(others, kept)
			txn.Conditions = append(txn.Conditions, primrosespar.Condition{Key: row.Key, Version: row.Version})
		}
		return keptErr
	})
	if err != nil {
		return txn, err
	}
	if short := checker.New(workers).Amend(before, after, others); len(short) > 0 {
		return txn, checker.NewFailure(short)
	}
	return txn, nil
}

// reserved returns the guarantees of the accepted contract raised to those of
// the pending one, which is accepted later without another check.
func reserved(r Record) (primrosespar.Contract, error) {
	kept, err := r.Accepted.Contract()
	if err != nil || r.Pending == nil {
		return kept, err
	}
	pending, err := r.Pending.Contract()
	for _, g := range pending.Guarantees {
		for i, k := range kept.Guarantees {
			if k.Place == g.Place && k.Block == g.Block {
				kept.Guarantees[i].Count = max(k.Count, g.Count)
				g.Count = 0
			}
		}
		if g.Count > 0 {
			kept.Guarantees = append(kept.Guarantees, g)
		}
	}
	return kept, err
}

// commit writes the entry as the next revision.
func (a *Amender) commit(ctx context.Context, now state, entry *Entry, txn primrosespar.Txn) (Outcome, error) {
	entry.Revision = now.head.Revision + 1
	entry.Previous = now.record.Revision
	record := Record{Account: entry.Account, Revision: entry.Revision, Accepted: now.record.Accepted}
	if entry.State == StatePending {
		record.Pending = entry
	} else {
		record.Accepted = entry
	}
	txn.Conditions = append(txn.Conditions,
		primrosespar.Condition{Key: now.headRow.Key, Version: now.headRow.Version},
		primrosespar.Condition{Key: now.row.Key, Version: now.row.Version})
	txn.Writes = []primrosespar.Write{
		write(primrosespar.ContractHeadKey(), Head{Revision: entry.Revision}),
		write(primrosespar.ContractKey(entry.Account), record),
		write(primrosespar.ContractLogKey(entry.Revision), entry),
	}
	if _, err := a.opts.Table.Commit(ctx, txn); err != nil {
		if code := primrosespar.CodeOf(err); code == primrosespar.CodeInternal {
			return Outcome{}, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "commit").WithCause(err)
		}
		return Outcome{}, err
	}
	a.sight(entry.Account, entry.Revision)
	return outcomeOf(*entry), nil
}

// outcomeOf returns the outcome that an entry stands for.
func outcomeOf(e Entry) Outcome {
	return Outcome{Account: e.Account, Version: e.Version, Revision: e.Revision, State: e.State}
}

// conflict names both versions.
func conflict(m Amendment, r Record, why string) error {
	return primrosespar.Fail(primrosespar.CodeVersionConflict,
		"contract %s has version %d, the amendment names version %d: %s", m.Account, r.Latest(), m.Base, why)
}

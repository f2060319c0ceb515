// Package amender writes contract amendments to the table. An amendment names
// the version that it amends and is written in one transaction to the head row,
// the contract row and the log. It has an ID by which a writer that got no
// answer finds its amendment in the log, even if later amendments follow it.
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

// Amendment is a change of one contract.
type Amendment struct {
	// ID identifies the change. A change that is sent again has the same ID.
	ID      string
	Account primrosespar.Account
	// Base is the version that is amended, or 0 for a new contract.
	Base     primrosespar.Version
	Document []byte
	Delete   bool
	Author   string
	At       time.Time
	// Resent says that the amendment was sent before and its outcome is
	// unknown. The outcome then stays unknown if the table fails.
	Resent bool
}

// Outcome is the result of an amendment.
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
	// seen holds, for each account, when this process first saw the newest
	// revision.
	seen map[primrosespar.Account]firstSeen
}

// New returns an Amender.
func New(opts ...Option) *Amender {
	o := defaultOptions()
	for _, set := range opts {
		set(&o)
	}
	return &Amender{opts: o, seen: map[primrosespar.Account]firstSeen{}}
}

// Amend applies the amendment. If nothing was written, the error is a Failure
// with a code such as CodeContractInvalid, CodeGuaranteesDontPack or
// CodeVersionConflict. If the write may take effect, it is a Failure with Ran
// unknown.
func (a *Amender) Amend(ctx context.Context, m Amendment) (Outcome, error) {
	after, err := a.parse(m)
	if err != nil {
		return Outcome{}, err
	}
	mayBeWritten, staleReads := m.Resent, 0
	for attempt := range maxAttempts {
		if attempt > 0 {
			if waitErr := a.backOff(ctx, attempt); waitErr != nil {
				break
			}
		}
		var outcome Outcome
		outcome, err = a.amendOnce(ctx, m, after)
		if err == nil {
			return outcome, nil
		}
		code := primrosespar.CodeOf(err)
		mayBeWritten = mayBeWritten || code == primrosespar.CodeStoreUnknown
		if code == primrosespar.CodeVersionConflict {
			// The contract has a later version and the amendment is not in the
			// log. The head has changed too, so a delayed write of this
			// amendment can no longer take effect.
			return Outcome{}, err
		}
		if code == staleCode {
			staleReads++
		}
		if !isRetryable(code) || staleReads > maxStaleReads {
			break
		}
	}
	if mayBeWritten {
		return Outcome{}, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown,
			"amendment %s of %s may have taken effect; send it again with the same id", m.ID, m.Account).WithCause(err)
	}
	var failure *primrosespar.Failure
	if errors.As(err, &failure) && failure.Code == staleCode {
		return Outcome{}, primrosespar.Fail(primrosespar.CodeVersionConflict, "%s", failure.Message)
	}
	return Outcome{}, err
}

// staleCode is the code for a row that is older than the version that the
// amendment names: either the read is stale or that version does not exist.
const staleCode = primrosespar.CodeNotFound

// isRetryable reports whether another attempt may succeed.
func isRetryable(code primrosespar.Code) bool {
	switch code {
	case primrosespar.CodeConflict, primrosespar.CodeStoreUnknown, primrosespar.CodeStoreUnavailable, staleCode:
		return true
	default:
		return false
	}
}

// backOff waits before the attempt, with exponential backoff and jitter.
func (a *Amender) backOff(ctx context.Context, attempt int) error {
	delay := min(firstDelay<<(attempt-1), maxDelay)
	delay = delay/2 + time.Duration(a.opts.Jitter()*float64(delay/2))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.opts.Clock.After(delay):
		return nil
	}
}

// parse returns the contract in the amendment, after the checks that do not
// need the table.
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
		return c, primrosespar.Fail(primrosespar.CodeContractInvalid, "account: %q is not the amended account %q", c.Account, m.Account)
	}
	for i, p := range c.Places {
		if !a.isKnownPlace(p.Place) {
			return c, primrosespar.Fail(primrosespar.CodeContractInvalid, "places[%d].place: %q is not a place of this installation", i, p.Place)
		}
	}
	return c, nil
}

// isKnownPlace reports whether the place is among the configured ones.
func (a *Amender) isKnownPlace(place primrosespar.Place) bool {
	for _, p := range a.opts.Places {
		if p == place {
			return true
		}
	}
	return false
}

// amendOnce makes one attempt to apply the amendment.
func (a *Amender) amendOnce(ctx context.Context, m Amendment, after primrosespar.Contract) (Outcome, error) {
	current, err := a.load(ctx, m.Account)
	if err != nil {
		return Outcome{}, err
	}
	latest := current.record.Latest()
	if latest > m.Base {
		return a.findAmendment(ctx, m, current.record)
	}
	if latest < m.Base {
		return Outcome{}, primrosespar.Fail(staleCode, "contract %s has version %d, the amendment names version %d", m.Account, latest, m.Base)
	}
	before, err := current.record.Accepted.Contract()
	if err != nil {
		return Outcome{}, err
	}
	if m.Delete && (current.record.Accepted == nil || current.record.Accepted.Deleted) {
		return Outcome{}, primrosespar.Fail(primrosespar.CodeUnknownAccount, "account %s has no contract", m.Account)
	}
	txn, err := a.checkGuarantees(ctx, current, before, after)
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
	return a.commit(ctx, current, entry, txn)
}

// checkGuarantees checks that the amended guarantees fit together with those of
// all other accounts. It returns a transaction with the conditions that the
// guarantees of the others have not changed.
func (a *Amender) checkGuarantees(ctx context.Context, current snapshot, before, after primrosespar.Contract) (primrosespar.Txn, error) {
	var txn primrosespar.Txn
	if len(after.Guarantees) == 0 {
		return txn, nil
	}
	workers, err := a.opts.Workers(ctx)
	if err != nil {
		return txn, err
	}
	var others []primrosespar.Contract
	err = a.scanContracts(ctx, func(row primrosespar.Row, record Record) error {
		if record.Account == current.record.Account {
			return nil
		}
		guaranteed, guaranteedErr := reservedGuarantees(record)
		if len(guaranteed.Guarantees) > 0 {
			others = append(others, guaranteed)
			txn.Conditions = append(txn.Conditions, primrosespar.Condition{Key: row.Key, Version: row.Version})
		}
		return guaranteedErr
	})
	if err != nil {
		return txn, err
	}
	if shortfalls := checker.New(workers).Amend(before, after, others); len(shortfalls) > 0 {
		return txn, checker.NewFailure(shortfalls)
	}
	return txn, nil
}

// reservedGuarantees returns the accepted contract, with its guarantees raised
// to those of the pending one, because the pending one is accepted later
// without another check.
func reservedGuarantees(record Record) (primrosespar.Contract, error) {
	reserved, err := record.Accepted.Contract()
	if err != nil || record.Pending == nil {
		return reserved, err
	}
	pending, err := record.Pending.Contract()
	for _, g := range pending.Guarantees {
		for i, existing := range reserved.Guarantees {
			if existing.Place == g.Place && existing.Block == g.Block {
				reserved.Guarantees[i].Count = max(existing.Count, g.Count)
				g.Count = 0
			}
		}
		if g.Count > 0 {
			reserved.Guarantees = append(reserved.Guarantees, g)
		}
	}
	return reserved, err
}

// commit writes the entry as the next revision.
func (a *Amender) commit(ctx context.Context, current snapshot, entry *Entry, txn primrosespar.Txn) (Outcome, error) {
	entry.Revision = current.head.Revision + 1
	entry.Previous = current.record.Revision
	record := Record{Account: entry.Account, Revision: entry.Revision, Accepted: current.record.Accepted}
	if entry.State == StatePending {
		record.Pending = entry
	} else {
		record.Accepted = entry
	}
	txn.Conditions = append(txn.Conditions,
		primrosespar.Condition{Key: current.headRow.Key, Version: current.headRow.Version},
		primrosespar.Condition{Key: current.row.Key, Version: current.row.Version})
	txn.Writes = []primrosespar.Write{
		encodeWrite(primrosespar.ContractHeadKey(), Head{Revision: entry.Revision}),
		encodeWrite(primrosespar.ContractKey(entry.Account), record),
		encodeWrite(primrosespar.ContractLogKey(entry.Revision), entry),
	}
	if _, err := a.opts.Table.Commit(ctx, txn); err != nil {
		if code := primrosespar.CodeOf(err); code == primrosespar.CodeInternal {
			return Outcome{}, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the commit of the amendment failed").WithCause(err)
		}
		return Outcome{}, err
	}
	a.recordSeen(entry.Account, entry.Revision)
	return outcomeOf(*entry), nil
}

// outcomeOf returns the outcome of the amendment in the entry.
func outcomeOf(entry Entry) Outcome {
	return Outcome{Account: entry.Account, Version: entry.Version, Revision: entry.Revision, State: entry.State}
}

// versionConflict returns a Failure that names the version of the contract and
// the one that the amendment names.
func versionConflict(m Amendment, record Record, hint string) error {
	return primrosespar.Fail(primrosespar.CodeVersionConflict,
		"contract %s has version %d, the amendment names version %d: %s", m.Account, record.Latest(), m.Base, hint)
}

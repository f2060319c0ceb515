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
	seen map[primrosespar.Account]firstSeen
}

// New returns an Amender.
func New(opts ...Option) *Amender {
	o := defaults()
	for _, set := range opts {
		set(&o)
	}
	return &Amender{opts: o, seen: map[primrosespar.Account]firstSeen{}}
}

// Amend applies the amendment. The error is a Failure with
// CodeContractInvalid, CodeGuaranteesDontPack or CodeVersionConflict if
// nothing was written, and with Ran unknown if the write may take effect.
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
			// The contract moved and the own write is not in the log. The
			// head moved with it, so no delayed write can take effect.
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

// staleCode marks a row that is older than the version named: either the read
// is stale or the version does not exist.
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

// backOff sleeps before another attempt.
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
		if !a.isKnownPlace(p.Place) {
			return c, primrosespar.Fail(primrosespar.CodeContractInvalid, "places[%d].place: %q is no place of this installation", i, p.Place)
		}
	}
	return c, nil
}

// isKnownPlace reports whether the place exists.
func (a *Amender) isKnownPlace(place primrosespar.Place) bool {
	for _, p := range a.opts.Places {
		if p == place {
			return true
		}
	}
	return false
}

// amendOnce makes one attempt.
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
		return Outcome{}, primrosespar.Fail(staleCode, "contract %s has version %d, the amendment names %d", m.Account, latest, m.Base)
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

// checkGuarantees checks the guarantees against those of all other accounts and returns
// the conditions under which the result holds.
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

// reservedGuarantees returns the guarantees of the accepted contract raised to those of
// the pending one, which is accepted later without another check.
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
			return Outcome{}, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "commit").WithCause(err)
		}
		return Outcome{}, err
	}
	a.recordSeen(entry.Account, entry.Revision)
	return outcomeOf(*entry), nil
}

// outcomeOf returns the outcome that an entry stands for.
func outcomeOf(entry Entry) Outcome {
	return Outcome{Account: entry.Account, Version: entry.Version, Revision: entry.Revision, State: entry.State}
}

// versionConflict names both versions.
func versionConflict(m Amendment, record Record, hint string) error {
	return primrosespar.Fail(primrosespar.CodeVersionConflict,
		"contract %s has version %d, the amendment names version %d: %s", m.Account, record.Latest(), m.Base, hint)
}

package amender

import (
	"context"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// snapshot holds the rows that one attempt has read.
type snapshot struct {
	headRow, row primrosespar.Row
	head         Head
	record       Record
}

// load reads the head and the contract row.
func (a *Amender) load(ctx context.Context, account primrosespar.Account) (snapshot, error) {
	rows, err := a.opts.Table.Get(ctx, primrosespar.ContractHeadKey(), primrosespar.ContractKey(account))
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{headRow: rows[0], row: rows[1]}
	if s.head, err = decodeRow[Head](rows[0]); err != nil {
		return s, err
	}
	s.record, err = decodeRow[Record](rows[1])
	s.record.Account = account
	return s, err
}

// findAmendment looks for the amendment in the log of the account, from the
// newest entry back to the one that amends the named version.
func (a *Amender) findAmendment(ctx context.Context, m Amendment, record Record) (Outcome, error) {
	var outcome Outcome
	found := false
	err := a.walkLog(ctx, record.Revision, maxLaterRevisions, func(entry Entry) bool {
		if entry.Version <= m.Base {
			return false
		}
		if entry.AmendmentID != m.ID {
			return true
		}
		found = true
		outcome = outcomeOf(entry)
		if entry.State == StatePending && (record.Pending == nil || record.Pending.Revision != entry.Revision) {
			outcome.State = StateSuperseded
		}
		return false
	})
	if err != nil {
		return Outcome{}, err
	}
	if !found {
		return Outcome{}, versionConflict(m, record, "read the contract again and amend the newer version")
	}
	return outcome, nil
}

// walkLog calls visit for the log entries of an account, from the revision
// backwards, until visit returns false.
func (a *Amender) walkLog(ctx context.Context, revision primrosespar.Revision, limit int, visit func(Entry) bool) error {
	for range limit {
		if revision == 0 {
			return nil
		}
		rows, err := a.opts.Table.Get(ctx, primrosespar.ContractLogKey(revision))
		if err != nil {
			return err
		}
		if rows[0].Version == 0 {
			return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "revision %d is not readable yet", revision)
		}
		entry, err := decodeRow[Entry](rows[0])
		if err != nil {
			return err
		}
		if !visit(entry) {
			return nil
		}
		revision = entry.Previous
	}
	return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the contract has more than %d later revisions", limit)
}

// scanContracts calls visit for all contract rows.
func (a *Amender) scanContracts(ctx context.Context, visit func(primrosespar.Row, Record) error) error {
	prefix := primrosespar.ContractKey("")
	after := ""
	for {
		rows, err := a.opts.Table.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return nil
		}
		for _, row := range rows {
			record, err := decodeRow[Record](row)
			if err != nil {
				return err
			}
			if err = visit(row, record); err != nil {
				return err
			}
			after = row.Key
		}
	}
}

// Show returns the contract row of the account.
func (a *Amender) Show(ctx context.Context, account primrosespar.Account) (Record, error) {
	s, err := a.load(ctx, account)
	if err != nil {
		return Record{}, err
	}
	if s.row.Version == 0 {
		return Record{}, primrosespar.Fail(primrosespar.CodeUnknownAccount, "account %s has no contract", account)
	}
	return s.record, nil
}

// History returns up to limit entries of the account, newest first.
func (a *Amender) History(ctx context.Context, account primrosespar.Account, limit int) ([]Entry, error) {
	record, err := a.Show(ctx, account)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	err = a.walkLog(ctx, record.Revision, limit+1, func(entry Entry) bool {
		entries = append(entries, entry)
		return len(entries) < limit
	})
	return entries, err
}

// PlaceState says whether the newest revision of a contract is in force in a
// place.
type PlaceState string

// Place states. A place that has not acknowledged a change within 7 s serves
// only its offline terms.
const (
	PlaceInForce    PlaceState = "in_force"
	PlacePending    PlaceState = "pending"
	PlaceRestricted PlaceState = "restricted"
)

// PlaceProgress is the state of one place and the revision that it has
// acknowledged.
type PlaceProgress struct {
	Place    primrosespar.Place    `json:"place"`
	State    PlaceState            `json:"state"`
	Revision primrosespar.Revision `json:"revision"`
}

// firstSeen is a revision and the time at which this process first saw it.
type firstSeen struct {
	revision primrosespar.Revision
	at       time.Time
}

// recordSeen records that this process saw the revision, and returns when it
// first saw the newest one.
func (a *Amender) recordSeen(account primrosespar.Account, revision primrosespar.Revision) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[account].revision < revision {
		a.seen[account] = firstSeen{revision, a.opts.Clock.Now()}
	}
	return a.seen[account].at
}

// Progress returns, for each place, whether the account's newest revision is in
// force. It only uses the clock of this process, so a place is reported as
// pending for 7 s after this process first saw the revision.
func (a *Amender) Progress(ctx context.Context, account primrosespar.Account) ([]PlaceProgress, error) {
	record, err := a.Show(ctx, account)
	if err != nil {
		return nil, err
	}
	acks, err := a.acknowledgements(ctx)
	if err != nil {
		return nil, err
	}
	overdue := a.opts.Clock.Since(a.recordSeen(account, record.Revision)) > restrictedAfter
	progress := make([]PlaceProgress, len(acks))
	for i, ack := range acks {
		progress[i] = PlaceProgress{Place: a.opts.Places[i], State: PlacePending, Revision: ack.Revision}
		switch {
		case ack.Revision >= record.Revision:
			progress[i].State = PlaceInForce
		case overdue:
			progress[i].State = PlaceRestricted
		}
	}
	return progress, nil
}

// acknowledgements reads the acknowledgements of all places, in the order of
// the places.
func (a *Amender) acknowledgements(ctx context.Context) ([]Acknowledgement, error) {
	if len(a.opts.Places) == 0 {
		return nil, nil
	}
	keys := make([]string, len(a.opts.Places))
	for i, p := range a.opts.Places {
		keys[i] = primrosespar.AcknowledgementKey(p)
	}
	rows, err := a.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	acks := make([]Acknowledgement, len(rows))
	for i, row := range rows {
		if acks[i], err = decodeRow[Acknowledgement](row); err != nil {
			return nil, err
		}
	}
	return acks, nil
}

// Pending returns the accounts that have a pending amendment.
func (a *Amender) Pending(ctx context.Context) ([]primrosespar.Account, error) {
	var accounts []primrosespar.Account
	err := a.scanContracts(ctx, func(row primrosespar.Row, record Record) error {
		if record.Pending != nil {
			accounts = append(accounts, primrosespar.Account(strings.TrimPrefix(row.Key, primrosespar.ContractKey(""))))
		}
		return nil
	})
	return accounts, err
}

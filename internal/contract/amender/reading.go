package amender

import (
	"context"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// state is what one attempt builds on.
type state struct {
	headRow, row primrosespar.Row
	head         Head
	record       Record
}

// load reads the head and the contract row.
func (a *Amender) load(ctx context.Context, account primrosespar.Account) (state, error) {
	rows, err := a.opts.Table.Get(ctx, primrosespar.ContractHeadKey(), primrosespar.ContractKey(account))
	if err != nil {
		return state{}, err
	}
	s := state{headRow: rows[0], row: rows[1]}
	if s.head, err = decode[Head](rows[0]); err != nil {
		return s, err
	}
	s.record, err = decode[Record](rows[1])
	s.record.Account = account
	return s, err
}

// find looks for the own write in the log of the account, from the newest
// entry down to the one that amends the named version.
func (a *Amender) find(ctx context.Context, m Amendment, r Record) (Outcome, error) {
	var outcome Outcome
	found := false
	err := a.walk(ctx, r.Revision, maxWalk, func(e Entry) bool {
		if e.Version <= m.Base {
			return false
		}
		if e.AmendmentID != m.ID {
			return true
		}
		found = true
		outcome = outcomeOf(e)
		if e.State == StatePending && (r.Pending == nil || r.Pending.Revision != e.Revision) {
			outcome.State = StateSuperseded
		}
		return false
	})
	if err != nil {
		return Outcome{}, err
	}
	if !found {
		return Outcome{}, conflict(m, r, "read it again and amend the newer version")
	}
	return outcome, nil
}

// walk reads the entries of an account from the revision backwards until f
// returns false.
func (a *Amender) walk(ctx context.Context, from primrosespar.Revision, limit int, f func(Entry) bool) error {
	for range limit {
		if from == 0 {
			return nil
		}
		rows, err := a.opts.Table.Get(ctx, primrosespar.ContractLogKey(from))
		if err != nil {
			return err
		}
		if rows[0].Version == 0 {
			return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "revision %d is not readable yet", from)
		}
		e, err := decode[Entry](rows[0])
		if err != nil {
			return err
		}
		if !f(e) {
			return nil
		}
		from = e.Previous
	}
	return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "more than %d later revisions", limit)
}

// scan reads all contract rows.
func (a *Amender) scan(ctx context.Context, f func(primrosespar.Row, Record) error) error {
	prefix := primrosespar.ContractKey("")
	after := ""
	for {
		rows, err := a.opts.Table.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			r, err := decode[Record](row)
			if err != nil {
				return err
			}
			if err = f(row, r); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < pageSize {
			return nil
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
	r, err := a.Show(ctx, account)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	err = a.walk(ctx, r.Revision, limit+1, func(e Entry) bool {
		entries = append(entries, e)
		return len(entries) < limit
	})
	return entries, err
}

// PlaceState says how a place stands towards the newest revision of a contract.
type PlaceState string

// Place states. A place that has not acknowledged a change within 7 s serves
// only its offline terms.
const (
	PlaceInForce    PlaceState = "in_force"
	PlacePending    PlaceState = "pending"
	PlaceRestricted PlaceState = "restricted"
)

// PlaceProgress is the state of one place.
type PlaceProgress struct {
	Place    primrosespar.Place    `json:"place"`
	State    PlaceState            `json:"state"`
	Revision primrosespar.Revision `json:"revision"`
}

// sighting is when this process first saw a revision.
type sighting struct {
	revision primrosespar.Revision
	at       time.Time
}

// sight notes the first sight of a revision and returns its time.
func (a *Amender) sight(account primrosespar.Account, revision primrosespar.Revision) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[account].revision < revision {
		a.seen[account] = sighting{revision, a.opts.Clock.Now()}
	}
	return a.seen[account].at
}

// Progress returns the state of each place towards the account's newest
// revision. Only this process's clock is read, so a place shows as pending for
// 7 s from when this process first saw the revision.
func (a *Amender) Progress(ctx context.Context, account primrosespar.Account) ([]PlaceProgress, error) {
	r, err := a.Show(ctx, account)
	if err != nil {
		return nil, err
	}
	views, err := a.views(ctx)
	if err != nil {
		return nil, err
	}
	late := a.opts.Clock.Since(a.sight(account, r.Revision)) > enforcedWithin
	progress := make([]PlaceProgress, len(views))
	for i, view := range views {
		progress[i] = PlaceProgress{Place: a.opts.Places[i], State: PlacePending, Revision: view.Revision}
		switch {
		case view.Revision >= r.Revision:
			progress[i].State = PlaceInForce
		case late:
			progress[i].State = PlaceRestricted
		}
	}
	return progress, nil
}

// views reads the acknowledged revisions in the order of the places.
func (a *Amender) views(ctx context.Context) ([]Acknowledgement, error) {
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
	views := make([]Acknowledgement, len(rows))
	for i, row := range rows {
		if views[i], err = decode[Acknowledgement](row); err != nil {
			return nil, err
		}
	}
	return views, nil
}

// Pending returns the accounts that have a pending amendment.
func (a *Amender) Pending(ctx context.Context) ([]primrosespar.Account, error) {
	var accounts []primrosespar.Account
	err := a.scan(ctx, func(row primrosespar.Row, r Record) error {
		if r.Pending != nil {
			accounts = append(accounts, primrosespar.Account(strings.TrimPrefix(row.Key, primrosespar.ContractKey(""))))
		}
		return nil
	})
	return accounts, err
}

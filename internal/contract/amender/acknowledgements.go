package amender

import (
	"context"

	"primrosespar.example/primrosespar"
)

// Settle accepts the pending amendment of the account if each place has
// acknowledged it. Otherwise it returns the places that have not; if it returns
// none and no error, no amendment is pending any more. It makes only one
// attempt. Callers repeat it until no amendment is pending; any host may do so.
func (a *Amender) Settle(ctx context.Context, account primrosespar.Account) ([]primrosespar.Place, error) {
	current, err := a.load(ctx, account)
	if err != nil || current.record.Pending == nil {
		return nil, err
	}
	acks, err := a.acknowledgements(ctx)
	if err != nil {
		return nil, err
	}
	var missing []primrosespar.Place
	for i, ack := range acks {
		if ack.Revision < current.record.Pending.Revision {
			missing = append(missing, a.opts.Places[i])
		}
	}
	if len(missing) > 0 {
		return missing, nil
	}
	entry := *current.record.Pending
	entry.State = StateAccepted
	_, err = a.commit(ctx, current, &entry, primrosespar.Txn{})
	return nil, err
}

// Acknowledge records that the revision is in force at all live hosts of the
// place. The recorded revision never decreases. The conditions are those of the
// place's scheduling lease.
func (a *Amender) Acknowledge(ctx context.Context, place primrosespar.Place, revision primrosespar.Revision, conditions ...primrosespar.Condition) error {
	rows, err := a.opts.Table.Get(ctx, primrosespar.AcknowledgementKey(place))
	if err != nil {
		return err
	}
	ack, err := decodeRow[Acknowledgement](rows[0])
	if err != nil || ack.Revision >= revision {
		return err
	}
	_, err = a.opts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: append(conditions, primrosespar.Condition{Key: rows[0].Key, Version: rows[0].Version}),
		Writes:     []primrosespar.Write{encodeWrite(primrosespar.AcknowledgementKey(place), Acknowledgement{Revision: revision})},
	})
	return err
}

// Package registrar keeps the evacuations that operators request with the
// product's own command as rows of the table, and reads them together with
// those that were requested through the platform.
//
// # Usage
//
//	r, err := registrar.New(table, platform, wallClock, registrar.WithPlaces(places))
//	evacuation, err := r.Evacuate(ctx, "addis-a")
//	err = r.Restore(ctx, "addis-a")
//	all, err := r.Evacuations(ctx)
//
// The rows are conditional on their versions, so any host may write them.
package registrar

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

const (
	// maxAttempts bounds how often a write is tried that meets another one.
	maxAttempts = 3
	// pageLimit is the number of rows per page.
	pageLimit = 400
	// maxUnixMS is the end of the year 9999, in Unix milliseconds. Later times
	// cannot be shown.
	maxUnixMS = 253_402_300_799_999
)

// Options configure a Registrar.
type Options struct {
	// Places are the known places; others are refused. If it is empty, all names
	// are accepted.
	Places []primrosespar.Place
}

// Option sets one option.
type Option func(*Options)

// WithPlaces sets the known places.
func WithPlaces(places []primrosespar.Place) Option { return func(o *Options) { o.Places = places } }

// Registrar keeps evacuations. It is safe for concurrent use.
type Registrar struct {
	table     primrosespar.Table
	platform  primrosespar.EvacuationSource
	wallClock func() time.Time
	encoder   *encoder.Encoder
	opts      Options
}

var (
	_ primrosespar.EvacuationSource  = (*Registrar)(nil)
	_ primrosespar.EvacuationService = (*Registrar)(nil)
)

// New returns a Registrar.
func New(table primrosespar.Table, platform primrosespar.EvacuationSource, wallClock func() time.Time, opts ...Option) (*Registrar, error) {
	enc, err := encoder.New()
	if err != nil {
		return nil, err
	}
	r := &Registrar{table: table, platform: platform, wallClock: wallClock, encoder: enc}
	for _, opt := range opts {
		opt(&r.opts)
	}
	return r, nil
}

// Evacuations implements primrosespar.EvacuationSource. Both sources are read at
// the same time, and it fails unless both answer.
func (r *Registrar) Evacuations(ctx context.Context) ([]primrosespar.Evacuation, error) {
	var own, platform []primrosespar.Evacuation
	var ownErr, platformErr error
	var reads conc.WaitGroup
	reads.Go(func() { own, ownErr = r.own(ctx) })
	reads.Go(func() { platform, platformErr = r.platform.Evacuations(ctx) })
	reads.Wait()
	if ownErr != nil {
		return nil, ownErr
	}
	return append(platform, own...), platformErr
}

// own returns the evacuations that are rows of the table. A page may be shorter
// than its limit, so only an empty one is the last.
func (r *Registrar) own(ctx context.Context) ([]primrosespar.Evacuation, error) {
	var evacuations []primrosespar.Evacuation
	after := ""
	for {
		rows, err := r.table.Scan(ctx, primrosespar.EvacuationPrefix(), after, pageLimit)
		if err != nil {
			return nil, eris.Wrap(err, "read evacuations")
		}
		if len(rows) == 0 {
			return evacuations, nil
		}
		for _, row := range rows {
			evacuations = append(evacuations, r.parse(row))
		}
		after = rows[len(rows)-1].Key
	}
}

// parse returns the evacuation of a row. The key alone names the place; one that
// cannot be decoded is in force without its time.
func (r *Registrar) parse(row primrosespar.Row) primrosespar.Evacuation {
	evacuation := primrosespar.Evacuation{
		Place: primrosespar.Place(strings.TrimPrefix(row.Key, primrosespar.EvacuationPrefix())), Own: true, Version: row.Version,
	}
	if stored, err := r.encoder.ParseEvacuation(row.Value); err == nil && stored.RequestedAt > 0 && stored.RequestedAt <= maxUnixMS {
		evacuation.RequestedAt = time.UnixMilli(stored.RequestedAt)
	}
	return evacuation
}

// Evacuate implements primrosespar.EvacuationService.
func (r *Registrar) Evacuate(ctx context.Context, place primrosespar.Place) (primrosespar.Evacuation, error) {
	if place == "" || strings.Contains(string(place), "/") || len(r.opts.Places) > 0 && !slices.Contains(r.opts.Places, place) {
		return primrosespar.Evacuation{}, primrosespar.Fail(primrosespar.CodeNotFound, "there is no place %q", place)
	}
	var result primrosespar.Evacuation
	err := r.change(ctx, place, func(row primrosespar.Row) (primrosespar.Write, error) {
		if row.Version != 0 {
			result = r.parse(row)
			return primrosespar.Write{}, nil
		}
		result = primrosespar.Evacuation{Place: place, Own: true, RequestedAt: time.UnixMilli(r.wallClock().UnixMilli())}
		value, err := r.encoder.Evacuation(encoder.Evacuation{RequestedAt: result.RequestedAt.UnixMilli()})
		return primrosespar.Write{Key: row.Key, Value: value}, err
	}, &result.Version)
	return result, err
}

// Restore implements primrosespar.EvacuationService.
func (r *Registrar) Restore(ctx context.Context, place primrosespar.Place) error {
	return r.change(ctx, place, func(row primrosespar.Row) (primrosespar.Write, error) {
		if row.Version == 0 {
			return primrosespar.Write{}, primrosespar.Fail(primrosespar.CodeNotFound,
				"the evacuation of place %q was not requested with this command; one of the platform's operator is taken back there", place)
		}
		return primrosespar.Write{Key: row.Key, Delete: true}, nil
	}, nil)
}

// change reads the row of a place and makes the write that decide returns for
// it, or none without a key. It begins anew if another write came between. The
// version of the written row is stored in written unless it is nil.
func (r *Registrar) change(ctx context.Context, place primrosespar.Place, decide func(primrosespar.Row) (primrosespar.Write, error), written *primrosespar.Version) error {
	var err error
	for range maxAttempts {
		var rows []primrosespar.Row
		if rows, err = r.table.Get(ctx, primrosespar.EvacuationKey(place)); err != nil {
			return eris.Wrap(err, "read evacuation")
		}
		write, err2 := decide(rows[0])
		if err2 != nil || write.Key == "" {
			return err2
		}
		var versions []primrosespar.Version
		versions, err = r.table.Commit(ctx, primrosespar.Txn{
			Conditions: []primrosespar.Condition{{Key: rows[0].Key, Version: rows[0].Version}}, Writes: []primrosespar.Write{write},
		})
		if err == nil && written != nil {
			*written = versions[0]
		}
		if primrosespar.CodeOf(err) != primrosespar.CodeConflict {
			break
		}
	}
	return err
}

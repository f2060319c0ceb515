// Package keeper implements the table, object store and host list of the
// stand-in platform in memory, with fault injection. It does no I/O; package
// internal/standin/server serves it over HTTP.
//
// # Usage
//
//	k := keeper.New(keeper.WithClock(clock))
//	versions, err := k.Commit(ctx, txn)
//	k.SetFaults(keeper.Faults{LoseEvery: 3})
//
// Errors carry the codes documented at primrosespar.Table. A commit whose
// answer is lost takes effect and returns CodeStoreUnknown.
package keeper

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// treeDegree is the degree of the B-trees that hold rows and objects.
const treeDegree = 32

// Keeper is an in-memory Table, Objects and Hosts that is safe for concurrent
// use.
type Keeper struct {
	mu      sync.Mutex
	clock   primrosespar.Clock
	rows    *btree.BTreeG[primrosespar.Row]
	objects *btree.BTreeG[object]
	// deleted maps the key of each deleted row to its last version, because
	// versions do not restart after a delete.
	deleted   map[string]primrosespar.Version
	hosts     map[primrosespar.Host]primrosespar.HostEntry
	upstreams map[primrosespar.Upstream]primrosespar.UpstreamEntry
	// snapshots holds the host lists of the last snapshotRetention, oldest
	// first.
	snapshots  []snapshot
	faults     Faults
	counts     Counts
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
}

var (
	_ primrosespar.Table   = (*Keeper)(nil)
	_ primrosespar.Objects = (*Keeper)(nil)
	_ primrosespar.Hosts   = (*Keeper)(nil)
)

// New returns an empty Keeper. WithClock is required.
func New(opts ...Option) *Keeper {
	options := newOptions(opts)
	k := &Keeper{
		clock:     options.Clock,
		rows:      btree.NewG(treeDegree, func(a, b primrosespar.Row) bool { return a.Key < b.Key }),
		objects:   btree.NewG(treeDegree, func(a, b object) bool { return a.name < b.name }),
		deleted:   map[string]primrosespar.Version{},
		hosts:     map[primrosespar.Host]primrosespar.HostEntry{},
		upstreams: map[primrosespar.Upstream]primrosespar.UpstreamEntry{},
	}
	k.SetFaults(options.Faults)
	return k
}

// Get returns the rows with the given keys, in the order of the keys. A row
// that does not exist has Version 0.
func (k *Keeper) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	if err := k.beginCall(ctx, tableRead); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	rows := make([]primrosespar.Row, 0, len(keys))
	for _, key := range keys {
		row, ok := k.rows.Get(primrosespar.Row{Key: key})
		if !ok {
			row = primrosespar.Row{Key: key}
		}
		rows = append(rows, copyRow(row))
	}
	k.counts.Reads++
	k.counts.RowsRead += uint64(len(rows))
	return rows, nil
}

// Scan returns up to limit rows whose keys have the prefix and are greater than
// after, in key order.
func (k *Keeper) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	if limit <= 0 {
		return nil, primrosespar.Fail(primrosespar.CodeOutOfRange, "limit %d is below 1", limit)
	}
	if err := k.beginCall(ctx, tableRead); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	var rows []primrosespar.Row
	k.rows.AscendGreaterOrEqual(primrosespar.Row{Key: max(prefix, after)}, func(row primrosespar.Row) bool {
		if !strings.HasPrefix(row.Key, prefix) {
			return false
		}
		if row.Key > after {
			rows = append(rows, copyRow(row))
		}
		return len(rows) < limit
	})
	k.counts.Reads++
	k.counts.RowsRead += uint64(len(rows))
	return rows, nil
}

// Commit applies the transaction and returns the version of each write. A
// delete also takes a version of its row, although the row then reads as
// Version 0. A transaction that writes a key twice is refused with
// CodeBadRequest.
func (k *Keeper) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if err := checkWrites(txn.Writes); err != nil {
		return nil, err
	}
	if err := k.beginCall(ctx, tableWrite); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	if err := k.checkConditions(txn.Conditions); err != nil {
		return nil, err
	}
	versions := make([]primrosespar.Version, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		versions = append(versions, k.apply(w))
	}
	k.counts.Transactions++
	k.counts.Writes += uint64(len(txn.Writes))
	if k.losesAnswer() {
		k.counts.LostAnswers++
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the answer to the commit was lost")
	}
	return versions, nil
}

// checkWrites returns an error if the writes contain a key twice.
func checkWrites(writes []primrosespar.Write) error {
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if seen[w.Key] {
			return primrosespar.Fail(primrosespar.CodeBadRequest, "key %q is written twice", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

// checkConditions returns an error if a condition does not hold.
func (k *Keeper) checkConditions(conditions []primrosespar.Condition) error {
	for _, c := range conditions {
		row, _ := k.rows.Get(primrosespar.Row{Key: c.Key})
		if row.Version != c.Version {
			k.counts.Conflicts++
			return primrosespar.Fail(primrosespar.CodeConflict, "key %q has version %d, not %d", c.Key, row.Version, c.Version)
		}
	}
	return nil
}

// apply performs one write and returns the new version of the row.
func (k *Keeper) apply(w primrosespar.Write) primrosespar.Version {
	row, ok := k.rows.Get(primrosespar.Row{Key: w.Key})
	version := row.Version + 1
	if !ok {
		version = k.deleted[w.Key] + 1
	}
	if w.Delete {
		k.rows.Delete(primrosespar.Row{Key: w.Key})
		k.deleted[w.Key] = version
		return version
	}
	delete(k.deleted, w.Key)
	k.rows.ReplaceOrInsert(primrosespar.Row{Key: w.Key, Version: version, Value: bytes.Clone(w.Value)})
	return version
}

// copyRow returns a deep copy, so that a caller cannot change the stored value.
func copyRow(row primrosespar.Row) primrosespar.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}

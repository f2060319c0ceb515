package daemon

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
)

// bounded limits every call to the platform, so that a service that accepts a
// call and gives no answer holds no loop for longer than the setting says.
type bounded struct {
	next  Platform
	limit time.Duration
}

// bound returns the platform with the limit on each call.
func bound(p Platform, limit time.Duration) Platform {
	b := &bounded{next: p, limit: limit}
	return Platform{Table: b, Objects: b, Hosts: b, Workers: b}
}

// within runs one call under the limit.
func within[T any](ctx context.Context, limit time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx)
}

// Get implements primrosespar.Table.
func (b *bounded) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	return within(ctx, b.limit, func(ctx context.Context) ([]primrosespar.Row, error) {
		return b.next.Table.Get(ctx, keys...)
	})
}

// Scan implements primrosespar.Table.
func (b *bounded) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	return within(ctx, b.limit, func(ctx context.Context) ([]primrosespar.Row, error) {
		return b.next.Table.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements primrosespar.Table.
func (b *bounded) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	return within(ctx, b.limit, func(ctx context.Context) ([]primrosespar.Version, error) {
		return b.next.Table.Commit(ctx, txn)
	})
}

// Put implements primrosespar.Objects.
func (b *bounded) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.next.Objects.Put(ctx, name, data)
}

// Fetch implements primrosespar.Objects.
func (b *bounded) Fetch(ctx context.Context, name string) ([]byte, error) {
	return within(ctx, b.limit, func(ctx context.Context) ([]byte, error) {
		return b.next.Objects.Fetch(ctx, name)
	})
}

// Names implements primrosespar.Objects.
func (b *bounded) Names(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return within(ctx, b.limit, func(ctx context.Context) ([]string, error) {
		return b.next.Objects.Names(ctx, prefix, after, limit)
	})
}

// List implements primrosespar.Hosts.
func (b *bounded) List(ctx context.Context, place primrosespar.Place) (primrosespar.Directory, error) {
	return within(ctx, b.limit, func(ctx context.Context) (primrosespar.Directory, error) {
		return b.next.Hosts.List(ctx, place)
	})
}

// Changes implements primrosespar.Workers.
func (b *bounded) Changes(ctx context.Context, place primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.next.Workers.Changes(ctx, place, cursor)
}

// Do implements primrosespar.Workers.
func (b *bounded) Do(ctx context.Context, place primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	return within(ctx, b.limit, func(ctx context.Context) ([]primrosespar.CommandResult, error) {
		return b.next.Workers.Do(ctx, place, token, commands)
	})
}

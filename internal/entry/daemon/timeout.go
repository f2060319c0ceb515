package daemon

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
)

// timeoutPlatform adds a timeout to every call to the platform, so that a
// service that accepts a call and never answers cannot block a loop of the
// daemon.
type timeoutPlatform struct {
	next    Platform
	timeout time.Duration
}

// withCallTimeout returns the platform with a timeout on each call.
func withCallTimeout(p Platform, timeout time.Duration) Platform {
	t := &timeoutPlatform{next: p, timeout: timeout}
	return Platform{Table: t, Objects: t, Hosts: t, Workers: t}
}

// callWithTimeout makes one call with a timeout.
func callWithTimeout[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

// Get implements primrosespar.Table.
func (t *timeoutPlatform) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) ([]primrosespar.Row, error) {
		return t.next.Table.Get(ctx, keys...)
	})
}

// Scan implements primrosespar.Table.
func (t *timeoutPlatform) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) ([]primrosespar.Row, error) {
		return t.next.Table.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements primrosespar.Table.
func (t *timeoutPlatform) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) ([]primrosespar.Version, error) {
		return t.next.Table.Commit(ctx, txn)
	})
}

// Put implements primrosespar.Objects.
func (t *timeoutPlatform) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.next.Objects.Put(ctx, name, data)
}

// Fetch implements primrosespar.Objects.
func (t *timeoutPlatform) Fetch(ctx context.Context, name string) ([]byte, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) ([]byte, error) {
		return t.next.Objects.Fetch(ctx, name)
	})
}

// Names implements primrosespar.Objects.
func (t *timeoutPlatform) Names(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) ([]string, error) {
		return t.next.Objects.Names(ctx, prefix, after, limit)
	})
}

// List implements primrosespar.Hosts.
func (t *timeoutPlatform) List(ctx context.Context, place primrosespar.Place) (primrosespar.Directory, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) (primrosespar.Directory, error) {
		return t.next.Hosts.List(ctx, place)
	})
}

// Changes implements primrosespar.Workers.
func (t *timeoutPlatform) Changes(ctx context.Context, place primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.next.Workers.Changes(ctx, place, cursor)
}

// Do implements primrosespar.Workers.
func (t *timeoutPlatform) Do(ctx context.Context, place primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	return callWithTimeout(ctx, t.timeout, func(ctx context.Context) ([]primrosespar.CommandResult, error) {
		return t.next.Workers.Do(ctx, place, token, commands)
	})
}

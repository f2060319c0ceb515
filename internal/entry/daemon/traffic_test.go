package daemon_test

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/daemon"
)

// byteCounter is a platform that counts the bytes of JSON bodies in both
// directions, without HTTP headers. Encoding them also costs the CPU time that
// an HTTP client would use.
type byteCounter struct {
	table   primrosespar.Table
	objects primrosespar.Objects
	hosts   primrosespar.Hosts
	workers primrosespar.Workers

	tableBytes, objectBytes, listBytes, workerBytes atomic.Int64
}

// countingPlatform returns the platform with a byteCounter in front.
func (i *installation) countingPlatform() (*byteCounter, daemon.Platform) {
	c := &byteCounter{table: i.table, objects: i.table, hosts: i.table, workers: i.executor}
	return c, daemon.Platform{Table: c, Objects: c, Hosts: c, Workers: c}
}

// addEncodedSize adds the sizes of the values in JSON to the total.
func addEncodedSize(total *atomic.Int64, values ...any) {
	for _, v := range values {
		data, _ := json.Marshal(v)
		total.Add(int64(len(data)))
	}
}

func (c *byteCounter) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	rows, err := c.table.Get(ctx, keys...)
	addEncodedSize(&c.tableBytes, keys, rows)
	return rows, err
}

func (c *byteCounter) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	rows, err := c.table.Scan(ctx, prefix, after, limit)
	addEncodedSize(&c.tableBytes, prefix, after, rows)
	return rows, err
}

func (c *byteCounter) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	versions, err := c.table.Commit(ctx, txn)
	addEncodedSize(&c.tableBytes, txn, versions)
	return versions, err
}

func (c *byteCounter) Put(ctx context.Context, name string, data []byte) error {
	c.objectBytes.Add(int64(len(name) + len(data)))
	return c.objects.Put(ctx, name, data)
}

func (c *byteCounter) Fetch(ctx context.Context, name string) ([]byte, error) {
	data, err := c.objects.Fetch(ctx, name)
	c.objectBytes.Add(int64(len(name) + len(data)))
	return data, err
}

func (c *byteCounter) Names(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	names, err := c.objects.Names(ctx, prefix, after, limit)
	addEncodedSize(&c.objectBytes, names)
	return names, err
}

func (c *byteCounter) List(ctx context.Context, at primrosespar.Place) (primrosespar.Directory, error) {
	list, err := c.hosts.List(ctx, at)
	addEncodedSize(&c.listBytes, list)
	return list, err
}

func (c *byteCounter) Changes(ctx context.Context, at primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	entries, next, err := c.workers.Changes(ctx, at, cursor)
	addEncodedSize(&c.workerBytes, cursor, entries, next)
	return entries, next, err
}

func (c *byteCounter) Do(ctx context.Context, at primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	results, err := c.workers.Do(ctx, at, token, commands)
	addEncodedSize(&c.workerBytes, commands, results)
	return results, err
}

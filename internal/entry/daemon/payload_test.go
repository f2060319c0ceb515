package daemon_test

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/daemon"
)

// payload counts the calls of the platform and the bytes of their JSON bodies
// in both directions, without HTTP headers. Encoding also costs the processor
// time that a client would spend.
type payload struct {
	table   primrosespar.Table
	objects primrosespar.Objects
	hosts   primrosespar.Hosts
	workers primrosespar.Workers

	tableBytes, objectBytes, listBytes, workerBytes atomic.Int64
}

func (i *installation) counted() (*payload, daemon.Platform) {
	p := &payload{table: i.table, objects: i.table, hosts: i.table, workers: i.executor}
	return p, daemon.Platform{Table: p, Objects: p, Hosts: p, Workers: p}
}

// count adds the encoded sizes of the values.
func count(into *atomic.Int64, values ...any) {
	for _, v := range values {
		data, _ := json.Marshal(v)
		into.Add(int64(len(data)))
	}
}

func (p *payload) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	rows, err := p.table.Get(ctx, keys...)
	count(&p.tableBytes, keys, rows)
	return rows, err
}

func (p *payload) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	rows, err := p.table.Scan(ctx, prefix, after, limit)
	count(&p.tableBytes, prefix, after, rows)
	return rows, err
}

func (p *payload) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	versions, err := p.table.Commit(ctx, txn)
	count(&p.tableBytes, txn, versions)
	return versions, err
}

func (p *payload) Put(ctx context.Context, name string, data []byte) error {
	p.objectBytes.Add(int64(len(name) + len(data)))
	return p.objects.Put(ctx, name, data)
}

func (p *payload) Fetch(ctx context.Context, name string) ([]byte, error) {
	data, err := p.objects.Fetch(ctx, name)
	p.objectBytes.Add(int64(len(name) + len(data)))
	return data, err
}

func (p *payload) Names(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	names, err := p.objects.Names(ctx, prefix, after, limit)
	count(&p.objectBytes, names)
	return names, err
}

func (p *payload) List(ctx context.Context, at primrosespar.Place) (primrosespar.Directory, error) {
	list, err := p.hosts.List(ctx, at)
	count(&p.listBytes, list)
	return list, err
}

func (p *payload) Changes(ctx context.Context, at primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	entries, next, err := p.workers.Changes(ctx, at, cursor)
	count(&p.workerBytes, cursor, entries, next)
	return entries, next, err
}

func (p *payload) Do(ctx context.Context, at primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	results, err := p.workers.Do(ctx, at, token, commands)
	count(&p.workerBytes, commands, results)
	return results, err
}

package keeper

import (
	"bytes"
	"context"
	"strings"

	"primrosespar.example/primrosespar"
)

// object is an entry of the object store.
type object struct {
	name string
	data []byte
}

// Put stores the object under the name and replaces an earlier one.
func (k *Keeper) Put(ctx context.Context, name string, data []byte) error {
	if err := k.beginCall(ctx, objectWrite); err != nil {
		return err
	}
	defer k.mu.Unlock()
	k.objects.ReplaceOrInsert(object{name: name, data: bytes.Clone(data)})
	k.counts.ObjectPuts++
	return nil
}

// Fetch returns the object, or CodeNotFound if it does not exist.
func (k *Keeper) Fetch(ctx context.Context, name string) ([]byte, error) {
	if err := k.beginCall(ctx, objectRead); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	k.counts.ObjectReads++
	stored, ok := k.objects.Get(object{name: name})
	if !ok {
		return nil, primrosespar.Fail(primrosespar.CodeNotFound, "object %q does not exist", name)
	}
	return bytes.Clone(stored.data), nil
}

// Names returns up to limit names that have the prefix and are greater than
// after, in order.
func (k *Keeper) Names(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if limit <= 0 {
		return nil, primrosespar.Fail(primrosespar.CodeOutOfRange, "limit %d is below 1", limit)
	}
	if err := k.beginCall(ctx, objectRead); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	k.counts.ObjectReads++
	var names []string
	k.objects.AscendGreaterOrEqual(object{name: max(prefix, after)}, func(o object) bool {
		if !strings.HasPrefix(o.name, prefix) {
			return false
		}
		if o.name > after {
			names = append(names, o.name)
		}
		return len(names) < limit
	})
	return names, nil
}

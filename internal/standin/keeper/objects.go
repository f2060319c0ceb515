package keeper

import (
	"bytes"
	"context"
	"strings"

	"primrosespar.example/primrosespar"
)

// object is one stored object.
type object struct {
	name string
	data []byte
}

// Put stores the object.
func (k *Keeper) Put(ctx context.Context, name string, data []byte) error {
	if err := k.beginCall(ctx, objectWrite); err != nil {
		return err
	}
	defer k.mu.Unlock()
	k.objects.ReplaceOrInsert(object{name: name, data: bytes.Clone(data)})
	k.counts.ObjectPuts++
	return nil
}

// Fetch returns the object; a missing one gives CodeNotFound.
func (k *Keeper) Fetch(ctx context.Context, name string) ([]byte, error) {
	if err := k.beginCall(ctx, objectRead); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	k.counts.ObjectReads++
	stored, ok := k.objects.Get(object{name: name})
	if !ok {
		return nil, primrosespar.Fail(primrosespar.CodeNotFound, "no object %q", name)
	}
	return bytes.Clone(stored.data), nil
}

// Names lists up to limit names with the prefix above after, in order.
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

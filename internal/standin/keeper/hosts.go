package keeper

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// snapshotRetention is how long a superseded host list is kept. It is the upper
// limit of Faults.ListLag.
const snapshotRetention = 10 * time.Minute

// snapshot is the host list of all places as it was from since until the next
// snapshot.
type snapshot struct {
	since     time.Time
	hosts     []primrosespar.HostEntry
	upstreams []primrosespar.UpstreamEntry
}

// SetHost adds a host to the list or replaces its entry.
func (k *Keeper) SetHost(entry primrosespar.HostEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts[entry.Host] = entry
	k.takeSnapshot()
}

// RemoveHost removes a host from the list.
func (k *Keeper) RemoveHost(host primrosespar.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.hosts, host)
	k.takeSnapshot()
}

// SetUpstream adds an upstream to the list or replaces its entry.
func (k *Keeper) SetUpstream(entry primrosespar.UpstreamEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.upstreams[entry.Upstream] = entry
	k.takeSnapshot()
}

// RemoveUpstream removes an upstream from the list.
func (k *Keeper) RemoveUpstream(upstream primrosespar.Upstream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.upstreams, upstream)
	k.takeSnapshot()
}

// takeSnapshot records the current list and drops the snapshots that were
// superseded more than snapshotRetention ago.
func (k *Keeper) takeSnapshot() {
	now := k.clock.Now()
	hosts := slices.SortedFunc(maps.Values(k.hosts), func(a, b primrosespar.HostEntry) int {
		return cmp.Compare(a.Host, b.Host)
	})
	upstreams := slices.SortedFunc(maps.Values(k.upstreams), func(a, b primrosespar.UpstreamEntry) int {
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	k.snapshots = append(k.snapshots, snapshot{since: now, hosts: hosts, upstreams: upstreams})
	for len(k.snapshots) > 1 && now.Sub(k.snapshots[1].since) > snapshotRetention {
		k.snapshots = k.snapshots[1:]
	}
}

// List returns the hosts and upstreams of the place as they were
// Faults.ListLag ago.
func (k *Keeper) List(ctx context.Context, place primrosespar.Place) (primrosespar.Directory, error) {
	if err := k.delay(ctx); err != nil {
		return primrosespar.Directory{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.admit(ctx, k.faults.ListOutage, nil); err != nil {
		return primrosespar.Directory{}, err
	}
	k.counts.ListReads++
	asOf := k.clock.Now().Add(-k.faults.ListLag)
	var visible snapshot
	for _, s := range k.snapshots {
		if s.since.After(asOf) {
			break
		}
		visible = s
	}
	var directory primrosespar.Directory
	for _, h := range visible.hosts {
		if h.Place == place {
			directory.Hosts = append(directory.Hosts, h)
		}
	}
	for _, u := range visible.upstreams {
		if u.Place == place {
			directory.Upstreams = append(directory.Upstreams, u)
		}
	}
	return directory, nil
}

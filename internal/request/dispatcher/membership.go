package dispatcher

import (
	"context"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

// SetDirectory takes the platform's lagging list.
func (d *Dispatcher) SetDirectory(directory primrosespar.Directory) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher.SetList(directory.Hosts, now)
	d.upstreams = d.upstreams[:0:0]
	for _, u := range directory.Upstreams {
		if u.Place == d.opts.Place {
			d.upstreams = append(d.upstreams, u)
		}
	}
	// The hosts come first: a slot of a new upstream is then not counted as
	// the own one before its owner among the listed hosts is known.
	d.updateMembers(now)
	d.divider.SetUpstreams(d.upstreams, now)
	d.balancer.SetUpstreams(d.upstreams, now)
	d.syncSlots(now)
	d.startWaiting(now)
}

// Tick applies what time and the contract source changed.
func (d *Dispatcher) Tick() {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateContracts(now)
	d.updateMembers(now)
	d.syncSlots(now)
	d.startWaiting(now)
}

// SetDraining makes the host refuse new calls and give up its slots; calls
// that wait or run finish.
func (d *Dispatcher) SetDraining(draining bool) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = draining
	d.watcher.SetDraining(draining && len(d.waiters) == 0)
	d.updateMembers(now)
	d.syncSlots(now)
}

// updateContracts passes a newer view to the admitter.
func (d *Dispatcher) updateContracts(now time.Time) {
	view, _ := d.opts.Contracts.View()
	if !d.contractsLoaded && view.Revision == 0 && len(view.Contracts) == 0 {
		return
	}
	if !d.contractsLoaded || view.Revision > d.revision {
		d.contractsLoaded, d.revision = true, view.Revision
		d.admitter.SetCurrent(d.opts.Contracts.Current(), now)
		d.refuseShed(d.admitter.SetContracts(view, now))
	}
	d.admitter.SetCurrent(d.opts.Contracts.Current(), now)
}

// updateMembers passes the membership view to the parts that depend on it.
func (d *Dispatcher) updateMembers(now time.Time) {
	// A draining host keeps its slots until no call waits for one.
	d.watcher.SetDraining(d.draining && len(d.waiters) == 0)
	view := d.watcher.View(now)
	d.divider.SetHosts(view.Live, view.Draining, now)
	d.admitter.SetHosts(len(view.Live), max(0, view.Rank(d.opts.Host)), now)
	for _, name := range view.Leaving {
		d.balancer.MarkLeaving(name, now)
	}
	d.balancer.SetPeerEjected(view.Ejected)
}

// syncSlots passes the usable slots to the balancer.
func (d *Dispatcher) syncSlots(now time.Time) {
	d.nextSlotSync = now.Add(slotSyncInterval)
	for _, u := range d.upstreams {
		d.balancer.SetSlots(u.Upstream, d.divider.Usable(u.Upstream, now), now)
	}
}

// View returns the membership as this host sees it.
func (d *Dispatcher) View() watcher.View {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watcher.View(now)
}

// Heartbeat returns the heartbeat for the peer.
func (d *Dispatcher) Heartbeat(to primrosespar.Host) primrosespar.Heartbeat {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newHeartbeat(to, nil, now)
}

// HandleHeartbeat takes the heartbeat of a peer and returns the answer, in which
// idle slots may be lent to the peer. The membership is updated first, since
// the peer takes the answer as proof that this host knows it.
func (d *Dispatcher) HandleHeartbeat(_ context.Context, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.watcher.Observe(heartbeat, now) {
		return primrosespar.Heartbeat{}, primrosespar.Fail(primrosespar.CodeWrongPlace, "heartbeat of %s in %s", heartbeat.Host, heartbeat.Place)
	}
	d.updateMembers(now)
	d.divider.Observe(heartbeat.Host, heartbeat.Usage, time.Time{}, now)
	wantedByPeer := map[primrosespar.Upstream]int{}
	for _, u := range heartbeat.Usage {
		if u.Wanted > 0 {
			wantedByPeer[u.Upstream] = u.Wanted
		}
	}
	// Own waiting calls come first; only what they leave idle is lent.
	d.syncSlots(now)
	d.startWaiting(now)
	reply := d.newHeartbeat(heartbeat.Host, wantedByPeer, now)
	d.syncSlots(now)
	return reply, nil
}

// HandleHeartbeatReply takes the answer to a heartbeat that was sent at the time.
func (d *Dispatcher) HandleHeartbeatReply(reply primrosespar.Heartbeat, sentAt time.Time) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.watcher.Observe(reply, now) {
		return
	}
	d.updateMembers(now)
	d.divider.Observe(reply.Host, reply.Usage, sentAt, now)
	d.syncSlots(now)
	d.startWaiting(now)
}

// newHeartbeat returns the own heartbeat; with wants it is an answer that may lend.
func (d *Dispatcher) newHeartbeat(to primrosespar.Host, wantedByPeer map[primrosespar.Upstream]int, now time.Time) primrosespar.Heartbeat {
	view, age := d.opts.Contracts.View()
	used := d.balancer.Used()
	return primrosespar.Heartbeat{
		Host:        d.opts.Host,
		Place:       d.opts.Place,
		Incarnation: d.opts.Incarnation,
		Address:     d.opts.Address,
		Revision:    view.Revision,
		ViewAge:     age,
		Usage:       d.divider.Report(to, used, d.wantedSlots(now), wantedByPeer, now),
		Leaving:     d.balancer.Leaving(now),
		Ejected:     d.balancer.Ejected(),
		Draining:    d.draining && len(d.waiters) == 0,
	}
}

// wantedSlots spreads the waiting calls over the upstreams that could serve them.
func (d *Dispatcher) wantedSlots(now time.Time) map[primrosespar.Upstream]int {
	waiting := d.admitter.Waiting()
	if waiting == 0 || d.balancer.Free(now) {
		return nil
	}
	names := d.balancer.Candidates(now)
	if len(names) == 0 {
		return nil
	}
	slotsEach := (waiting + len(names) - 1) / len(names)
	wanted := make(map[primrosespar.Upstream]int, len(names))
	for _, name := range names {
		wanted[name] = slotsEach
	}
	return wanted
}

// UpstreamState is one upstream as this host sees it.
type UpstreamState struct {
	Upstream primrosespar.Upstream
	// Slots are those that this host may use now, Used those in use.
	Slots, Used      int
	Leaving, Ejected bool
}

// Upstreams returns the listed upstreams of the place in the order of the list.
func (d *Dispatcher) Upstreams() []UpstreamState {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	used, ejected, candidates := d.balancer.Used(), d.balancer.Ejected(), d.balancer.Candidates(now)
	states := make([]UpstreamState, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		isEjected := slices.Contains(ejected, u.Upstream)
		states = append(states, UpstreamState{
			Upstream: u.Upstream, Slots: d.divider.Usable(u.Upstream, now), Used: used[u.Upstream],
			Ejected: isEjected, Leaving: !isEjected && !slices.Contains(candidates, u.Upstream),
		})
	}
	return states
}

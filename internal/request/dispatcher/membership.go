package dispatcher

import (
	"context"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

// SetDirectory applies the platform's directory of hosts and upstreams, which
// lags behind.
func (d *Dispatcher) SetDirectory(directory primrosespar.Directory) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher.SetList(directory.Hosts, d.opts.MemberClock.Now())
	d.upstreams = d.upstreams[:0:0]
	for _, u := range directory.Upstreams {
		if u.Place == d.opts.Place {
			d.upstreams = append(d.upstreams, u)
		}
	}
	// The hosts are updated first. Otherwise this host could take slots of a
	// new upstream that belong to a host it does not know yet.
	d.updateMembers(now)
	d.divider.SetUpstreams(d.upstreams, d.opts.MemberClock.Now())
	d.balancer.SetUpstreams(d.upstreams, now)
	d.syncSlots(now)
	d.startWaiting(now)
}

// Tick applies the changes of the contract source and those due to the passage
// of time, such as expired heartbeats and loans.
func (d *Dispatcher) Tick() {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateContracts(now)
	d.updateMembers(now)
	d.syncSlots(now)
	d.startWaiting(now)
}

// SetDraining makes the host refuse new calls and give up its slots once no
// call waits for one. Waiting and running calls continue.
func (d *Dispatcher) SetDraining(draining bool) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = draining
	d.watcher.SetDraining(draining && len(d.waiters) == 0)
	d.updateMembers(now)
	d.syncSlots(now)
}

// updateContracts passes a newer contract view, and whether the view is
// current, to the admitter.
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

// updateMembers passes the membership view to the divider, the admitter and the
// balancer.
func (d *Dispatcher) updateMembers(now time.Time) {
	// A draining host keeps its slots until no call waits for one.
	d.watcher.SetDraining(d.draining && len(d.waiters) == 0)
	memberNow := d.opts.MemberClock.Now()
	view := d.watcher.View(memberNow)
	d.divider.SetHosts(view.Live, view.Draining, memberNow)
	d.admitter.SetHosts(len(view.Live), max(0, view.Rank(d.opts.Host)), now)
	for _, name := range view.Leaving {
		d.balancer.MarkLeaving(name, now)
	}
	d.balancer.SetPeerEjected(view.Ejected)
}

// syncSlots passes the slots that this host may use now to the balancer.
func (d *Dispatcher) syncSlots(now time.Time) {
	memberNow := d.opts.MemberClock.Now()
	d.nextSlotSync = memberNow.Add(slotSyncInterval)
	for _, u := range d.upstreams {
		d.balancer.SetSlots(u.Upstream, d.divider.Usable(u.Upstream, memberNow), now)
	}
}

// View returns the membership of the place as this host sees it.
func (d *Dispatcher) View() watcher.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watcher.View(d.opts.MemberClock.Now())
}

// Heartbeat returns the heartbeat to send to the peer.
func (d *Dispatcher) Heartbeat(to primrosespar.Host) primrosespar.Heartbeat {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newHeartbeat(to, nil, now)
}

// HandleHeartbeat processes the heartbeat of a peer and returns the reply,
// which may lend idle slots to the peer. It updates the membership before it
// replies, since the peer takes the reply as proof that this host knows it.
func (d *Dispatcher) HandleHeartbeat(_ context.Context, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.watcher.Observe(heartbeat, d.opts.MemberClock.Now()) {
		return primrosespar.Heartbeat{}, primrosespar.Fail(primrosespar.CodeWrongPlace, "heartbeat of host %s is from place %s", heartbeat.Host, heartbeat.Place)
	}
	d.updateMembers(now)
	d.divider.Observe(heartbeat.Host, heartbeat.Usage, time.Time{}, d.opts.MemberClock.Now())
	wantedByPeer := map[primrosespar.Upstream]int{}
	for _, u := range heartbeat.Usage {
		if u.Wanted > 0 {
			wantedByPeer[u.Upstream] = u.Wanted
		}
	}
	// Waiting calls of this host start first; only the remaining slots are
	// lent.
	d.syncSlots(now)
	d.startWaiting(now)
	reply := d.newHeartbeat(heartbeat.Host, wantedByPeer, now)
	d.syncSlots(now)
	return reply, nil
}

// HandleHeartbeatReply processes the reply to a heartbeat that was sent at
// sentAt by the member clock.
func (d *Dispatcher) HandleHeartbeatReply(reply primrosespar.Heartbeat, sentAt time.Time) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.watcher.Observe(reply, d.opts.MemberClock.Now()) {
		return
	}
	d.updateMembers(now)
	d.divider.Observe(reply.Host, reply.Usage, sentAt, d.opts.MemberClock.Now())
	d.syncSlots(now)
	d.startWaiting(now)
}

// newHeartbeat returns the heartbeat of this host. In a reply, wantedByPeer has
// the slots that the peer asks for, which this host may lend.
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
		Usage:       d.divider.Report(to, used, d.wantedSlots(now), wantedByPeer, d.opts.MemberClock.Now()),
		Leaving:     d.balancer.Leaving(now),
		Ejected:     d.balancer.Ejected(),
		Draining:    d.draining && len(d.waiters) == 0,
	}
}

// wantedSlots returns the slots to ask peers for: the number of waiting calls,
// spread evenly over the candidate upstreams. It is nil if no call waits for a
// slot.
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

// UpstreamState is the state of an upstream as this host sees it.
type UpstreamState struct {
	Upstream primrosespar.Upstream
	// Slots is the number of slots that this host may use now, Used the number
	// in use.
	Slots, Used      int
	Leaving, Ejected bool
}

// Upstreams returns the state of the upstreams of the place, in the order of
// the platform's directory.
func (d *Dispatcher) Upstreams() []UpstreamState {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	memberNow := d.opts.MemberClock.Now()
	used, ejected, candidates := d.balancer.Used(), d.balancer.Ejected(), d.balancer.Candidates(now)
	states := make([]UpstreamState, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		isEjected := slices.Contains(ejected, u.Upstream)
		states = append(states, UpstreamState{
			Upstream: u.Upstream, Slots: d.divider.Usable(u.Upstream, memberNow), Used: used[u.Upstream],
			Ejected: isEjected, Leaving: !isEjected && !slices.Contains(candidates, u.Upstream),
		})
	}
	return states
}

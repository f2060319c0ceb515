package dispatcher

import (
	"context"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

// SetDirectory takes the platform's lagging list.
func (d *Dispatcher) SetDirectory(dir primrosespar.Directory) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher.SetList(dir.Hosts, now)
	d.upstreams = d.upstreams[:0:0]
	for _, u := range dir.Upstreams {
		if u.Place == d.opts.Place {
			d.upstreams = append(d.upstreams, u)
		}
	}
	// The hosts come first: a slot of a new upstream is then not counted as
	// the own one before its owner among the listed hosts is known.
	d.members(now)
	d.divider.SetUpstreams(d.upstreams, now)
	d.balancer.SetUpstreams(d.upstreams, now)
	d.sync(now)
	d.pump(now)
}

// Tick applies what time and the contract source changed.
func (d *Dispatcher) Tick() {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contracts(now)
	d.members(now)
	d.sync(now)
	d.pump(now)
}

// SetDraining makes the host refuse new calls and give up its slots; calls
// that wait or run finish.
func (d *Dispatcher) SetDraining(draining bool) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = draining
	d.watcher.SetDraining(draining && len(d.waiters) == 0)
	d.members(now)
	d.sync(now)
}

// contracts passes a newer view to the admitter.
func (d *Dispatcher) contracts(now time.Time) {
	view, _ := d.opts.Contracts.View()
	if !d.loaded && view.Revision == 0 && len(view.Contracts) == 0 {
		return
	}
	if !d.loaded || view.Revision > d.revision {
		d.loaded, d.revision = true, view.Revision
		d.admitter.SetCurrent(d.opts.Contracts.Current(), now)
		d.refuse(d.admitter.SetContracts(view, now))
	}
	d.admitter.SetCurrent(d.opts.Contracts.Current(), now)
}

// members passes the membership view to the parts that depend on it.
func (d *Dispatcher) members(now time.Time) {
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

// sync passes the usable slots to the balancer.
func (d *Dispatcher) sync(now time.Time) {
	d.nextSync = now.Add(syncEvery)
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
	return d.beat(to, nil, now)
}

// HandleHeartbeat takes the heartbeat of a peer and returns the answer, in which
// idle slots may be lent to the peer. The membership is updated first, since
// the peer takes the answer as proof that this host knows it.
func (d *Dispatcher) HandleHeartbeat(_ context.Context, beat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.watcher.Observe(beat, now) {
		return primrosespar.Heartbeat{}, primrosespar.Fail(primrosespar.CodeWrongPlace, "heartbeat of %s in %s", beat.Host, beat.Place)
	}
	d.members(now)
	d.divider.Observe(beat.Host, beat.Usage, time.Time{}, now)
	wants := map[primrosespar.Upstream]int{}
	for _, u := range beat.Usage {
		if u.Wanted > 0 {
			wants[u.Upstream] = u.Wanted
		}
	}
	// Own waiting calls come first; only what they leave idle is lent.
	d.sync(now)
	d.pump(now)
	answer := d.beat(beat.Host, wants, now)
	d.sync(now)
	return answer, nil
}

// HandleHeartbeatReply takes the answer to a heartbeat that was sent at the time.
func (d *Dispatcher) HandleHeartbeatReply(answer primrosespar.Heartbeat, sent time.Time) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.watcher.Observe(answer, now) {
		return
	}
	d.members(now)
	d.divider.Observe(answer.Host, answer.Usage, sent, now)
	d.sync(now)
	d.pump(now)
}

// beat returns the own heartbeat; with wants it is an answer that may lend.
func (d *Dispatcher) beat(to primrosespar.Host, wants map[primrosespar.Upstream]int, now time.Time) primrosespar.Heartbeat {
	view, age := d.opts.Contracts.View()
	used := d.balancer.Used()
	return primrosespar.Heartbeat{
		Host:        d.opts.Host,
		Place:       d.opts.Place,
		Incarnation: d.opts.Incarnation,
		Address:     d.opts.Address,
		Revision:    view.Revision,
		ViewAge:     age,
		Usage:       d.divider.Report(to, used, d.wanted(now), wants, now),
		Leaving:     d.balancer.Leaving(now),
		Ejected:     d.balancer.Ejected(),
		Draining:    d.draining && len(d.waiters) == 0,
	}
}

// wanted spreads the waiting calls over the upstreams that could serve them.
func (d *Dispatcher) wanted(now time.Time) map[primrosespar.Upstream]int {
	waiting := d.admitter.Waiting()
	if waiting == 0 || d.balancer.Free(now) {
		return nil
	}
	names := d.balancer.Candidates(now)
	if len(names) == 0 {
		return nil
	}
	each := (waiting + len(names) - 1) / len(names)
	wanted := make(map[primrosespar.Upstream]int, len(names))
	for _, name := range names {
		wanted[name] = each
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
	used, ejected, ready := d.balancer.Used(), d.balancer.Ejected(), d.balancer.Candidates(now)
	states := make([]UpstreamState, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		out := slices.Contains(ejected, u.Upstream)
		states = append(states, UpstreamState{
			Upstream: u.Upstream, Slots: d.divider.Usable(u.Upstream, now), Used: used[u.Upstream],
			Ejected: out, Leaving: !out && !slices.Contains(ready, u.Upstream),
		})
	}
	return states
}

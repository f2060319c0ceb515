package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/follower"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/member/watcher"
	"primrosespar.example/primrosespar/internal/request/dispatcher"
)

// peer is what the last heartbeat of another host said.
type peer struct {
	incarnation primrosespar.Incarnation
	address     netip.AddrPort
	revision    primrosespar.Revision
}

// members passes heartbeats to the parts that learn from them.
type members struct {
	dispatcher *dispatcher.Dispatcher
	contracts  *follower.Follower

	mu    sync.Mutex
	peers map[primrosespar.Host]peer
}

func newMembers(d *dispatcher.Dispatcher, c *follower.Follower) *members {
	return &members{dispatcher: d, contracts: c, peers: map[primrosespar.Host]peer{}}
}

// Tick implements heartbeater.Members.
func (m *members) Tick() { m.dispatcher.Tick() }

// View implements heartbeater.Members.
func (m *members) View() watcher.View { return m.dispatcher.View() }

// Heartbeat implements heartbeater.Members.
func (m *members) Heartbeat(to primrosespar.Host) primrosespar.Heartbeat {
	return m.dispatcher.Heartbeat(to)
}

// HandleHeartbeatReply implements heartbeater.Members.
func (m *members) HandleHeartbeatReply(answer primrosespar.Heartbeat, sent time.Time) {
	m.keep(answer)
	m.contracts.Observe(answer, sent)
	m.dispatcher.HandleHeartbeatReply(answer, sent)
}

func (m *members) handle(ctx context.Context, beat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	answer, err := m.dispatcher.HandleHeartbeat(ctx, beat)
	if err != nil {
		return answer, err
	}
	m.keep(beat)
	m.contracts.Notice(beat.Revision)
	return answer, nil
}

// keep remembers who a peer is. The number of names is bounded by forgetting
// those that no longer beat.
func (m *members) keep(beat primrosespar.Heartbeat) {
	targets := m.dispatcher.View().Targets
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[beat.Host] = peer{incarnation: beat.Incarnation, address: beat.Address, revision: beat.Revision}
	if len(m.peers) <= 2*len(targets)+1 {
		return
	}
	known := map[primrosespar.Host]bool{beat.Host: true}
	for _, t := range targets {
		known[t.Host] = true
	}
	for name := range m.peers {
		if !known[name] {
			delete(m.peers, name)
		}
	}
}

// find returns the address of a live process.
func (m *members) find(name primrosespar.Host, incarnation primrosespar.Incarnation) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	return p.address, ok && p.incarnation == incarnation
}

// revision returns the lowest contract revision among the live hosts, and
// whether all of them are known.
func (m *members) revision(live []primrosespar.Host, self primrosespar.Host, own primrosespar.Revision) (primrosespar.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lowest := own
	for _, name := range live {
		if name == self {
			continue
		}
		p, ok := m.peers[name]
		if !ok {
			return 0, false
		}
		lowest = min(lowest, p.revision)
	}
	return lowest, true
}

// HandleHeartbeat implements primrosespar.PeerHandler.
func (h *host) HandleHeartbeat(ctx context.Context, beat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	return h.members.handle(ctx, beat)
}

// HandleExecute implements primrosespar.PeerHandler.
func (h *host) HandleExecute(ctx context.Context, call primrosespar.Call) (primrosespar.Answer, error) {
	call.Deadline = h.daemon.options.Clock.Now().Add(call.Remaining)
	return h.router.Execute(ctx, call), nil
}

// HandleNotify implements primrosespar.PeerHandler.
func (h *host) HandleNotify(_ context.Context, place primrosespar.Place, id primrosespar.JobID) error {
	if place == h.daemon.settings.Place {
		h.runner.Notify(id)
	}
	return nil
}

// counted counts decision records as metrics on their way to the recorder.
type counted struct {
	next  primrosespar.Recorder
	meter *meter.Meter
}

// Record implements primrosespar.Recorder.
func (c *counted) Record(d primrosespar.Decision) {
	c.meter.Decision(d.Kind, d.Code)
	c.next.Record(d)
}

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

// peer is the content of the last heartbeat of another host.
type peer struct {
	incarnation primrosespar.Incarnation
	address     netip.AddrPort
	revision    primrosespar.Revision
}

// members passes heartbeats to the dispatcher and the follower and remembers
// the peers that sent them.
type members struct {
	dispatcher *dispatcher.Dispatcher
	follower   *follower.Follower

	mu    sync.Mutex
	peers map[primrosespar.Host]peer
}

func newMembers(d *dispatcher.Dispatcher, f *follower.Follower) *members {
	return &members{dispatcher: d, follower: f, peers: map[primrosespar.Host]peer{}}
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
func (m *members) HandleHeartbeatReply(reply primrosespar.Heartbeat, sent time.Time) {
	m.updatePeer(reply)
	m.follower.Observe(reply, sent)
	m.dispatcher.HandleHeartbeatReply(reply, sent)
}

// handleHeartbeat processes the heartbeat of a peer and returns the reply.
func (m *members) handleHeartbeat(ctx context.Context, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	reply, err := m.dispatcher.HandleHeartbeat(ctx, heartbeat)
	if err != nil {
		return reply, err
	}
	m.updatePeer(heartbeat)
	m.follower.Notice(heartbeat.Revision)
	return reply, nil
}

// updatePeer stores the content of a peer's heartbeat. To bound the number of
// peers, it forgets those that are no longer targets of heartbeats.
func (m *members) updatePeer(heartbeat primrosespar.Heartbeat) {
	targets := m.dispatcher.View().Targets
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[heartbeat.Host] = peer{incarnation: heartbeat.Incarnation, address: heartbeat.Address, revision: heartbeat.Revision}
	if len(m.peers) <= 2*len(targets)+1 {
		return
	}
	known := map[primrosespar.Host]bool{heartbeat.Host: true}
	for _, t := range targets {
		known[t.Host] = true
	}
	for name := range m.peers {
		if !known[name] {
			delete(m.peers, name)
		}
	}
}

// peerAddress returns the address of a peer, and false unless the last
// heartbeat from it was of the same incarnation.
func (m *members) peerAddress(name primrosespar.Host, incarnation primrosespar.Incarnation) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	return p.address, ok && p.incarnation == incarnation
}

// lowestRevision returns the lowest contract revision among the live hosts. It
// returns false if a live host has not sent its revision yet.
func (m *members) lowestRevision(live []primrosespar.Host, self primrosespar.Host, ownRevision primrosespar.Revision) (primrosespar.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lowest := ownRevision
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
func (h *host) HandleHeartbeat(ctx context.Context, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	return h.members.handleHeartbeat(ctx, heartbeat)
}

// HandleExecute implements primrosespar.PeerHandler.
func (h *host) HandleExecute(ctx context.Context, call primrosespar.Call) (primrosespar.Answer, error) {
	call.Deadline = h.daemon.options.Clock.Now().Add(call.Remaining)
	return h.router.Execute(ctx, call), nil
}

// HandleNotify implements primrosespar.PeerHandler.
func (h *host) HandleNotify(_ context.Context, place primrosespar.Place, id primrosespar.JobID) error {
	if place == h.daemon.settings.Place {
		h.controller.Notify(id)
	}
	return nil
}

// meteredRecorder counts decision records as metrics on their way to the
// recorder.
type meteredRecorder struct {
	next  primrosespar.Recorder
	meter *meter.Meter
}

// Record implements primrosespar.Recorder.
func (r *meteredRecorder) Record(d primrosespar.Decision) {
	r.meter.Decision(d.Kind, d.Code)
	r.next.Record(d)
}

package elector

import (
	"net/netip"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// peer is another host and its last heartbeat to this one.
type peer struct {
	heartbeat  primrosespar.FleetHeartbeat
	receivedAt time.Time
}

// HandleHeartbeat records the heartbeat of another host and returns the
// successors.
func (e *Elector) HandleHeartbeat(heartbeat primrosespar.FleetHeartbeat) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	known, ok := e.peers[heartbeat.Address]
	e.peers[heartbeat.Address] = peer{heartbeat, now}
	if !ok || known.heartbeat.Leaving != heartbeat.Leaving || now.Sub(e.successionAt) >= successionInterval {
		e.succession, e.successionAt = e.successors(), now
	}
	return e.succession
}

// ClockOffsets returns, for each live peer, the wall-clock time in its last
// heartbeat minus this host's wall-clock time at its arrival. The offsets
// reveal a clock that has jumped.
func (e *Elector) ClockOffsets(wallClock func(time.Time) time.Time) []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []time.Duration
	for _, p := range e.peers {
		if e.parts.Clock.Since(p.receivedAt) < peerTimeout {
			out = append(out, p.heartbeat.WallClock.Sub(wallClock(p.receivedAt)))
		}
	}
	return out
}

// Hosts returns the live peers in order of succession.
func (e *Elector) Hosts() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.successors()
}

// successors returns the live peers that are not leaving, at most
// maxSuccessors, in order of succession: by descending weight, then by address.
// The caller holds the lock.
func (e *Elector) successors() []netip.AddrPort {
	var live []peer
	for address, p := range e.peers {
		switch age := e.parts.Clock.Since(p.receivedAt); {
		case age > 10*peerTimeout:
			delete(e.peers, address)
		case age < peerTimeout && !p.heartbeat.Leaving:
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b peer) int {
		switch {
		case a.heartbeat.Weight > b.heartbeat.Weight:
			return -1
		case a.heartbeat.Weight < b.heartbeat.Weight:
			return 1
		}
		return a.heartbeat.Address.Compare(b.heartbeat.Address)
	})
	out := make([]netip.AddrPort, 0, maxSuccessors)
	for _, p := range live[:min(len(live), maxSuccessors)] {
		out = append(out, p.heartbeat.Address)
	}
	return out
}

// rankDelay returns how long this host waits for successors of a better rank.
// The caller holds the lock.
func (e *Elector) rankDelay() time.Duration {
	self := e.parts.OwnHeartbeat().Address
	rank := slices.Index(e.lastReply.Hosts, self)
	if rank < 0 {
		rank = len(e.lastReply.Hosts)
	}
	return time.Duration(rank) * max(delayPerRank, readsPerRank*e.storeReadTime)
}

// weightDelay returns how long this host waits for hosts with more processor
// time to acquire a free lease. It complements rankDelay, since no order of
// succession is known before the first holder.
func (e *Elector) weightDelay() time.Duration {
	shortfall := 1 - e.parts.OwnHeartbeat().Weight
	return time.Duration(max(0, shortfall) * float64(maxWeightDelay))
}

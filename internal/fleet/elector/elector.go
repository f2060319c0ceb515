// Package elector finds the holder of the fleet lease and takes the lease over
// when the holder is lost.
//
// A host beats to the holder. Only when that fails, or the holder says that
// the store does not answer it, does the host watch the lease row. It takes
// over once it has seen the row unchanged for some time by its own clock: the
// holder writes the row several times a second, so a host that is merely cut
// off from the holder sees the row change and leaves it alone. No clock
// reading is compared across hosts.
//
// # Usage
//
//	e := elector.New(parts)
//	err := e.Run(ctx)
//	address, ok := e.Holder()
//
// Parts.Lead runs the term of this host and returns when it is over.
package elector

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
)

// Times of the election.
const (
	// HeartbeatInterval is the time between two beats to the holder.
	HeartbeatInterval = 400 * time.Millisecond
	// watchInterval is the time between two reads of the lease row while the
	// holder is in doubt.
	watchInterval = 250 * time.Millisecond
	// maxHolderSilence is how long the holder may be silent before its row is watched.
	maxHolderSilence = 600 * time.Millisecond
	// takeoverDelay is how long the row has to stay unchanged; the holder writes it
	// receivedAt least every 500 ms.
	takeoverDelay = 900 * time.Millisecond
	// stalledTakeoverDelay is the same while the holder says that the store does not answer
	// it. It repeats its commit within 400 ms, so that a store that was away for
	// everybody makes no change of holder.
	stalledTakeoverDelay = 600 * time.Millisecond
	// delayPerRank keeps successors apart, so that one try succeeds.
	delayPerRank = 200 * time.Millisecond
	// startupTakeoverDelay is how long the row may stay unchanged while its holder answers
	// but does not lead yet: on a slow store it learns late that it has the
	// lease.
	startupTakeoverDelay = 2500 * time.Millisecond
	// acquireTimeout bounds the write that takes the lease.
	acquireTimeout = 4 * time.Second
	// maxWeightDelay is how long a host without processor time of its own leaves a
	// free lease to others; a host with a whole core does not wait.
	maxWeightDelay = 800 * time.Millisecond
	// maxStoreAge is how long the store may leave the holder without an answer;
	// the holder reads it once a second.
	maxStoreAge = 1500 * time.Millisecond
	// readTimeout bounds a call to the store.
	readTimeout = time.Second
	// peerTimeout is how long a host without a beat counts as a successor.
	peerTimeout = 3 * HeartbeatInterval
	// maxSuccessors bounds the successors that are named.
	maxSuccessors = 8
)

// Parts are what an Elector works with.
type Parts struct {
	Committer *committer.Committer
	Peers     primrosespar.FleetPeers
	Clock     primrosespar.Clock
	// OwnHeartbeat returns the beat of this host.
	OwnHeartbeat func() primrosespar.FleetHeartbeat
	// Lead runs a term; it returns when the lease is lost or the context ends.
	Lead func(ctx context.Context) error
	// OnHeartbeatReply takes the reply of the holder and when it was asked for.
	OnHeartbeatReply func(news primrosespar.FleetHeartbeatReply, asked time.Time)
	// OnChange takes each change of the holder, for the log.
	OnChange func(holder primrosespar.Host, token primrosespar.Token, why string)
	OnError  func(part string, err error)
}

// peer is a host that beats to this one.
type peer struct {
	heartbeat  primrosespar.FleetHeartbeat
	receivedAt time.Time
}

// Elector is the election at one host. It is safe for concurrent use.
type Elector struct {
	parts Parts
	wake  chan struct{}

	mu          sync.Mutex
	holder      committer.Holder
	holderKnown bool
	leading     bool
	resigned    bool
	lastReplyAt time.Time
	lastReply   primrosespar.FleetHeartbeatReply
	// waiting is the last count of a holder, asked for at countedAt.
	waiting          map[primrosespar.Queue]int
	waitingCountedAt time.Time
	// versionSeenAt is when the version of the lease row was first seen.
	versionSeenAt time.Time
	seenVersion   primrosespar.Version
	watching      bool
	peers         map[netip.AddrPort]peer
	stopTerm      context.CancelFunc
}

// New returns an Elector that knows no holder.
func New(parts Parts) *Elector {
	return &Elector{parts: parts, wake: make(chan struct{}, 1), peers: map[netip.AddrPort]peer{}}
}

// Holder returns the address of the holder if it is another host.
func (e *Elector) Holder() (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Address, e.holderKnown && !e.leading && e.holder.Host != ""
}

// LastHolder returns the other host that was last seen to hold the lease, and its
// token.
func (e *Elector) LastHolder() (primrosespar.Host, primrosespar.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Host, e.holder.Token
}

// Leading reports whether this host runs a term.
func (e *Elector) Leading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leading
}

// Waiting returns the jobs without a start, by queue, as a holder last counted
// them, and the age of the count; false if no holder has told of one.
func (e *Elector) Waiting() (map[primrosespar.Queue]int, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting, e.parts.Clock.Since(e.waitingCountedAt), !e.waitingCountedAt.IsZero()
}

// Run takes part in the election until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	var terms conc.WaitGroup
	defer terms.Wait()
	for ctx.Err() == nil {
		delay := e.step(ctx, &terms)
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.parts.Clock.After(delay):
		}
	}
	return nil
}

// Resign gives the lease up, if this host has it, and takes no further part.
// It returns the successor to call.
func (e *Elector) Resign() (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
	if !e.leading {
		return netip.AddrPort{}, false
	}
	e.stopTerm()
	hosts := e.successors()
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	return hosts[0], true
}

// TakeOver makes the host read the lease row at once, because its holder has
// given it up.
func (e *Elector) TakeOver() {
	e.mu.Lock()
	e.holderKnown = false
	e.mu.Unlock()
	e.Wake()
}

// Wake makes the next step come at once.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// HandleHeartbeat takes a beat of another host and returns the successors.
func (e *Elector) HandleHeartbeat(heartbeat primrosespar.FleetHeartbeat) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[heartbeat.Address] = peer{heartbeat, e.parts.Clock.Now()}
	return e.successors()
}

// ClockOffsets returns the differences of the wall clocks of the hosts that beat to
// this one from their arrival, to find a clock that has jumped.
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

// Hosts returns the live hosts that beat to this one, in the order in which
// they would succeed.
func (e *Elector) Hosts() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.successors()
}

// successors returns the live hosts in the order in which they would succeed.
// The lock is held.
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

// step does what is due and returns the time until the next step.
func (e *Elector) step(ctx context.Context, terms *conc.WaitGroup) time.Duration {
	e.mu.Lock()
	leading, known, holder := e.leading, e.holderKnown, e.holder
	e.mu.Unlock()
	switch {
	case leading:
		return HeartbeatInterval
	case !known || holder.Host == "":
		e.watchLease(ctx, terms, takeoverDelay)
		return watchInterval
	}
	requestedAt := e.parts.Clock.Now()
	reply, err := e.parts.Peers.Heartbeat(ctx, holder.Address, e.parts.OwnHeartbeat())
	if err == nil && reply.Leading && reply.Token >= holder.Token {
		e.mu.Lock()
		e.lastReply, e.lastReplyAt = reply, requestedAt
		if reply.WaitingKnown {
			e.waiting, e.waitingCountedAt = reply.Waiting, requestedAt
		}
		e.mu.Unlock()
		e.parts.OnHeartbeatReply(reply, requestedAt)
		if reply.StoreAge < maxStoreAge && !reply.CommitStalled {
			e.stopWatching()
			return HeartbeatInterval
		}
		e.watchLease(ctx, terms, stalledTakeoverDelay)
		return watchInterval
	}
	switch {
	case err == nil:
		e.watchLease(ctx, terms, startupTakeoverDelay)
	case e.holderSilence() < maxHolderSilence:
		return watchInterval / 2
	default:
		e.watchLease(ctx, terms, takeoverDelay)
	}
	return watchInterval
}

// holderSilence returns how long the holder has not answered.
func (e *Elector) holderSilence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts.Clock.Since(e.lastReplyAt)
}

// stopWatching ends the watch of the lease row.
func (e *Elector) stopWatching() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watching = false
}

// watchLease reads the lease row and takes the lease if the row is free or has not
// changed for the time.
func (e *Elector) watchLease(ctx context.Context, terms *conc.WaitGroup, minUnchanged time.Duration) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, err := e.parts.Committer.Read(readCtx)
	if err != nil {
		e.parts.OnError("election", err)
		// What was seen before a gap says nothing of the gap.
		e.stopWatching()
		return
	}
	if !e.observeLease(row, minUnchanged) {
		return
	}
	acquireCtx, cancelAcquire := context.WithTimeout(ctx, acquireTimeout)
	defer cancelAcquire()
	switch err := e.parts.Committer.Acquire(acquireCtx, row); primrosespar.CodeOf(err) {
	case primrosespar.CodeOK:
		e.startTerm(ctx, terms)
	case primrosespar.CodeConflict:
		e.stopWatching()
	default:
		e.parts.OnError("election", err)
	}
}

// observeLease takes a read of the lease row and reports whether to take the lease.
func (e *Elector) observeLease(row committer.Holder, minUnchanged time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	if row.Token != e.holder.Token || row.Host != e.holder.Host || !e.holderKnown {
		e.holder, e.holderKnown = row, true
		e.lastReplyAt = now
		e.parts.OnChange(row.Host, row.Token, "read from the store")
	}
	if !e.watching || row.Version != e.seenVersion {
		e.watching, e.seenVersion, e.versionSeenAt = true, row.Version, now
	}
	if e.resigned {
		return false
	}
	if e.parts.Committer.IsOwn(row) {
		return true
	}
	if row.Host == "" {
		return now.Sub(e.versionSeenAt) >= e.rankDelay()+e.weightDelay()
	}
	return now.Sub(e.versionSeenAt) >= minUnchanged+e.rankDelay()
}

// rankDelay returns how long this host leaves the lease to others that come first.
// The lock is held.
func (e *Elector) rankDelay() time.Duration {
	self := e.parts.OwnHeartbeat().Address
	rank := slices.Index(e.lastReply.Hosts, self)
	if rank < 0 {
		rank = len(e.lastReply.Hosts)
	}
	return time.Duration(rank) * delayPerRank
}

// weightDelay returns how long this host leaves a free lease to hosts with more
// processor time; before the first holder there are no successors to go by.
func (e *Elector) weightDelay() time.Duration {
	shortfall := 1 - e.parts.OwnHeartbeat().Weight
	return time.Duration(max(0, shortfall) * float64(maxWeightDelay))
}

// startTerm starts the term of this host.
func (e *Elector) startTerm(ctx context.Context, terms *conc.WaitGroup) {
	termCtx, stopTerm := context.WithCancel(ctx)
	e.mu.Lock()
	e.leading, e.stopTerm, e.watching = true, stopTerm, false
	e.peers = map[netip.AddrPort]peer{}
	e.mu.Unlock()
	self := e.parts.OwnHeartbeat()
	e.parts.OnChange(self.Host, e.parts.Committer.Token(), "lease taken")
	terms.Go(func() {
		defer stopTerm()
		err := e.parts.Lead(termCtx)
		e.mu.Lock()
		e.leading, e.holderKnown = false, false
		e.mu.Unlock()
		e.parts.OnChange("", 0, "term over: "+err.Error())
		e.Wake()
	})
}

// Package elector finds the holder of the fleet lease and takes the lease over
// when the holder is lost.
//
// Each host sends heartbeats to the holder. It watches the lease row only if
// they fail or if the holder reports that the store does not answer it. It
// takes over once the row has not changed for some time by its own clock: the
// holder writes the row several times a second, so a host that is merely cut
// off from the holder sees the row change and does not take over. The holder's
// replies name the version of the row, so that the time since the last reply
// counts if the row still has that version. The election never compares the
// clocks of different hosts.
//
// # Usage
//
//	e := elector.New(parts)
//	err := e.Run(ctx)
//	address, ok := e.Holder()
//
// Parts.Lead runs the term of this host and returns when it has ended.
package elector

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
)

// Intervals, timeouts and limits of the election.
const (
	// HeartbeatInterval is the time between two heartbeats to the holder.
	HeartbeatInterval = 400 * time.Millisecond
	// watchInterval is the time between two reads of the lease row while it is
	// watched.
	watchInterval = 250 * time.Millisecond
	// freeLeaseInterval is the time between two reads of a lease row that an
	// earlier holder has released.
	freeLeaseInterval = 100 * time.Millisecond
	// minWatchInterval is the minimum time between two such reads.
	minWatchInterval = 20 * time.Millisecond
	// maxHolderSilence is how long heartbeats may go unanswered before the
	// lease row is watched.
	maxHolderSilence = 600 * time.Millisecond
	// takeoverDelay is how long the row must not have changed before a
	// takeover; the holder writes it at least every 500 ms.
	takeoverDelay = 900 * time.Millisecond
	// stalledTakeoverDelay replaces takeoverDelay while the holder reports that
	// the store does not answer it. The holder retries its commit within 200
	// ms, so an outage of the store for all hosts does not change the holder.
	stalledTakeoverDelay = 600 * time.Millisecond
	// delayPerRank separates the takeover attempts of the successors, so that
	// they do not conflict. With a slow store it is readsPerRank times the
	// duration of a read, because a part of the store makes one transaction
	// after the other.
	delayPerRank = 200 * time.Millisecond
	readsPerRank = 4
	// startupTakeoverDelay replaces takeoverDelay while the host named by the
	// row answers but does not lead yet: with a slow store it learns late that
	// it has acquired the lease.
	startupTakeoverDelay = 2500 * time.Millisecond
	// acquireTimeout bounds the write that acquires the lease.
	acquireTimeout = 4 * time.Second
	// maxWeightDelay is how long a host of weight 0 waits before it acquires a
	// free lease, so that hosts with more processor time come first; a host
	// with a whole core does not wait.
	maxWeightDelay = 800 * time.Millisecond
	// maxStoreAge is how long ago the store may last have answered the holder;
	// the holder reads it once a second.
	maxStoreAge = 1500 * time.Millisecond
	// slowReadTime is how long a read of the lease row takes if the store is
	// slow; it usually takes a few milliseconds and one network round trip.
	slowReadTime = 150 * time.Millisecond
	// sharedOutageTime is for how long after a failed read of the lease row an
	// outage of the holder is taken to be one of this host as well. The holder
	// asks its successors in turn, each about every 2 s.
	sharedOutageTime = 3 * time.Second
	// readTimeout bounds a read of the lease row.
	readTimeout = time.Second
	// peerTimeout is how long a host counts as live after its last heartbeat.
	peerTimeout = 3 * HeartbeatInterval
	// successionInterval is how long an order of succession is kept. Hundreds of
	// hosts ask for it, each several times a second.
	successionInterval = HeartbeatInterval / 4
	// maxSuccessors bounds the number of successors in a heartbeat reply.
	maxSuccessors = 8
)

// Parts are the dependencies of an Elector.
type Parts struct {
	Committer *committer.Committer
	Peers     primrosespar.FleetPeers
	Clock     primrosespar.Clock
	// OwnHeartbeat returns the heartbeat of this host.
	OwnHeartbeat func() primrosespar.FleetHeartbeat
	// Lead runs a term; it returns when the lease is lost or the context ends.
	// earlierCommitAt is a time by which the earlier holder had sent the last
	// commit that was ever confirmed to it.
	Lead func(ctx context.Context, earlierCommitAt time.Time) error
	// OnHeartbeatReply receives each reply of the holder with the time at which
	// the heartbeat was sent.
	OnHeartbeatReply func(reply primrosespar.FleetHeartbeatReply, requestedAt time.Time)
	// OnChange receives each change of the holder, for the log.
	OnChange func(holder primrosespar.Host, token primrosespar.Token, reason string)
	// OnError receives errors that do not end the election.
	OnError func(part string, err error)
}

// Elector takes part in the election for one host. It is safe for concurrent
// use.
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
	// waiting is the last count of waiting jobs that a holder sent, and
	// waitingCountedAt when it was requested.
	waiting          map[primrosespar.Queue]int
	waitingCountedAt time.Time
	// repliedVersion is the version of the lease row in the last reply, which
	// arrived at repliedAt. It is 0 if the store has failed since.
	repliedVersion primrosespar.Version
	repliedAt      time.Time
	// resignedToken is the token of the last holder that has resigned. A lease
	// row with this token may be replaced at once.
	resignedToken primrosespar.Token
	// searching is set if the lease row is to be read at once.
	searching bool
	// asked is set while the holder with askedToken wants this host to replace
	// it.
	asked      bool
	askedToken primrosespar.Token
	// holderSilent is set while heartbeats to the holder fail.
	holderSilent bool
	// seenVersion is the version of the lease row while it is watched, and
	// versionSeenAt when that version was first read.
	versionSeenAt time.Time
	seenVersion   primrosespar.Version
	watching      bool
	// readFailedAt is when a read of the lease row failed last.
	readFailedAt time.Time
	// storeReadTime is how long the last read of the lease row took, which
	// ended at storeReadAt.
	storeReadTime time.Duration
	storeReadAt   time.Time
	// peers are the hosts that sent heartbeats during the term of this host.
	peers map[netip.AddrPort]peer
	// succession is the order of succession as computed at successionAt.
	succession   []netip.AddrPort
	successionAt time.Time
	// stopTerm ends the term of this host.
	stopTerm context.CancelFunc
}

// New returns an Elector that does not know the holder yet.
func New(parts Parts) *Elector {
	return &Elector{parts: parts, wake: make(chan struct{}, 1), peers: map[netip.AddrPort]peer{}}
}

// Holder returns the address of the holder if it is another host and answers
// heartbeats.
func (e *Elector) Holder() (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Address, e.holderKnown && !e.leading && !e.holderSilent && e.holder.Host != ""
}

// LastHolder returns the host and token of the lease row that was read last.
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

// Waiting returns the number of jobs that have not started, by queue, as a
// holder last counted them, and the age of the count. It reports false if no
// holder has sent a count yet.
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

// Resign ends the term of this host, if it leads, and keeps it from acquiring
// the lease again. If it led, it returns the hosts that may replace it, in order
// of succession.
func (e *Elector) Resign() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
	if !e.leading {
		return nil
	}
	e.stopTerm()
	return e.successors()
}

// Resigned reports whether Resign was called and the term of this host, if there
// was one, has ended.
func (e *Elector) Resigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned && !e.leading
}

// setResigned records the token of a holder that will not lead again.
func (e *Elector) setResigned(token primrosespar.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignedToken = token
}

// TakeOver makes the host read the lease row at once and acquire the lease if it
// is free or still that of the holder with the token, who has asked for it.
func (e *Elector) TakeOver(token primrosespar.Token) {
	e.mu.Lock()
	e.asked, e.askedToken, e.searching = true, token, true
	e.mu.Unlock()
	e.Wake()
}

// Search makes the host read the lease row at once, because the holder that it
// knows does not serve calls. It knows that one until the row names another.
func (e *Elector) Search() {
	e.mu.Lock()
	e.searching = true
	e.mu.Unlock()
	e.Wake()
}

// Wake makes Run take its next step at once.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step sends a heartbeat or reads the lease row, whichever is due, and returns
// the delay until the next step.
func (e *Elector) step(ctx context.Context, terms *conc.WaitGroup) time.Duration {
	e.mu.Lock()
	leading, known, holder, searching := e.leading, e.holderKnown, e.holder, e.searching
	e.searching = false
	e.mu.Unlock()
	switch {
	case leading:
		return HeartbeatInterval
	case !known || searching || holder.Host == "":
		e.watchLease(ctx, terms, takeoverDelay)
		return e.searchWait()
	}
	if e.watchSilentHolder(ctx, terms) {
		return e.takeoverWait()
	}
	requestedAt := e.parts.Clock.Now()
	reply, err := e.parts.Peers.Heartbeat(ctx, holder.Address, e.parts.OwnHeartbeat())
	if err == nil && reply.Leading && reply.Token >= holder.Token {
		e.mu.Lock()
		e.lastReply, e.lastReplyAt = reply, requestedAt
		e.repliedVersion, e.repliedAt, e.holderSilent = reply.LeaseVersion, e.parts.Clock.Now(), false
		if reply.WaitingKnown {
			e.waiting, e.waitingCountedAt = reply.Waiting, requestedAt
		}
		e.mu.Unlock()
		e.parts.OnHeartbeatReply(reply, requestedAt)
		if reply.StoreAge < maxStoreAge && !reply.CommitStalled {
			e.stopWatching()
			return HeartbeatInterval
		}
		e.watchLease(ctx, terms, e.stalledDelay())
		return watchInterval
	}
	switch {
	case err == nil && reply.Resigned:
		e.setResigned(holder.Token)
		e.watchLease(ctx, terms, takeoverDelay)
	case err == nil:
		e.watchLease(ctx, terms, startupTakeoverDelay)
	case e.holderSilence() < maxHolderSilence:
		return watchInterval / 2
	default:
		e.setHolderSilent(true)
		e.watchLease(ctx, terms, takeoverDelay)
		return e.takeoverWait()
	}
	return watchInterval
}

// startTerm starts a term of this host.
func (e *Elector) startTerm(ctx context.Context, terms *conc.WaitGroup) {
	termCtx, stopTerm := context.WithCancel(ctx)
	e.mu.Lock()
	// The acquisition proves that this version of the row was the last one.
	earlierCommitAt := e.versionSeenAt
	e.leading, e.stopTerm, e.watching, e.asked = true, stopTerm, false, false
	e.peers, e.successionAt = map[netip.AddrPort]peer{}, time.Time{}
	e.mu.Unlock()
	self := e.parts.OwnHeartbeat()
	e.parts.OnChange(self.Host, e.parts.Committer.Token(), "lease acquired")
	terms.Go(func() {
		defer stopTerm()
		err := e.parts.Lead(termCtx, earlierCommitAt)
		e.mu.Lock()
		e.leading, e.holderKnown, e.asked = false, false, false
		e.mu.Unlock()
		e.parts.OnChange("", 0, "term ended: "+err.Error())
		e.Wake()
	})
}

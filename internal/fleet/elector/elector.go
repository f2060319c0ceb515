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
	// doubtTime is how long the holder may be silent before its row is watched.
	doubtTime = 600 * time.Millisecond
	// takeTime is how long the row has to stay unchanged; the holder writes it
	// at least every 500 ms.
	takeTime = 900 * time.Millisecond
	// yieldTime is the same while the holder says that the store does not answer
	// it. It repeats its commit within 400 ms, so that a store that was away for
	// everybody makes no change of holder.
	yieldTime = 600 * time.Millisecond
	// rankDelay keeps successors apart, so that one try succeeds.
	rankDelay = 200 * time.Millisecond
	// beginTime is how long the row may stay unchanged while its holder answers
	// but does not lead yet: on a slow store it learns late that it has the
	// lease.
	beginTime = 2500 * time.Millisecond
	// takeTimeout bounds the write that takes the lease.
	takeTimeout = 4 * time.Second
	// maxHandicap is how long a host without processor time of its own leaves a
	// free lease to others; a host with a whole core does not wait.
	maxHandicap = 800 * time.Millisecond
	// storeDoubt is how long the store may leave the holder without an answer;
	// the holder reads it once a second.
	storeDoubt = 1500 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// hostTime is how long a host without a beat counts as a successor.
	hostTime = 3 * HeartbeatInterval
	// maxHosts bounds the successors that are named.
	maxHosts = 8
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
	beat primrosespar.FleetHeartbeat
	at   time.Time
}

// Elector is the election at one host. It is safe for concurrent use.
type Elector struct {
	parts Parts
	wake  chan struct{}

	mu       sync.Mutex
	holder   committer.Holder
	known    bool
	leading  bool
	resigned bool
	heardAt  time.Time
	news     primrosespar.FleetHeartbeatReply
	// waiting is the last count of a holder, asked for at countedAt.
	waiting   map[primrosespar.Queue]int
	countedAt time.Time
	// seenAt is when the version of the lease row was first seen.
	seenAt  time.Time
	seen    primrosespar.Version
	watched bool
	peers   map[netip.AddrPort]peer
	stop    context.CancelFunc
}

// New returns an Elector that knows no holder.
func New(parts Parts) *Elector {
	return &Elector{parts: parts, wake: make(chan struct{}, 1), peers: map[netip.AddrPort]peer{}}
}

// Holder returns the address of the holder if it is another host.
func (e *Elector) Holder() (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Address, e.known && !e.leading && e.holder.Host != ""
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
	return e.waiting, e.parts.Clock.Since(e.countedAt), !e.countedAt.IsZero()
}

// Run takes part in the election until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	var terms conc.WaitGroup
	defer terms.Wait()
	for ctx.Err() == nil {
		pause := e.step(ctx, &terms)
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.parts.Clock.After(pause):
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
	e.stop()
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
	e.known = false
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
func (e *Elector) HandleHeartbeat(beat primrosespar.FleetHeartbeat) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[beat.Address] = peer{beat, e.parts.Clock.Now()}
	return e.successors()
}

// ClockOffsets returns the differences of the wall clocks of the hosts that beat to
// this one from their arrival, to find a clock that has jumped.
func (e *Elector) ClockOffsets(wall func(time.Time) time.Time) []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []time.Duration
	for _, p := range e.peers {
		if e.parts.Clock.Since(p.at) < hostTime {
			out = append(out, p.beat.WallClock.Sub(wall(p.at)))
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
		switch age := e.parts.Clock.Since(p.at); {
		case age > 10*hostTime:
			delete(e.peers, address)
		case age < hostTime && !p.beat.Leaving:
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b peer) int {
		switch {
		case a.beat.Weight > b.beat.Weight:
			return -1
		case a.beat.Weight < b.beat.Weight:
			return 1
		}
		return a.beat.Address.Compare(b.beat.Address)
	})
	out := make([]netip.AddrPort, 0, maxHosts)
	for _, p := range live[:min(len(live), maxHosts)] {
		out = append(out, p.beat.Address)
	}
	return out
}

// step does what is due and returns the time until the next step.
func (e *Elector) step(ctx context.Context, terms *conc.WaitGroup) time.Duration {
	e.mu.Lock()
	leading, known, holder := e.leading, e.known, e.holder
	e.mu.Unlock()
	switch {
	case leading:
		return HeartbeatInterval
	case !known || holder.Host == "":
		e.watch(ctx, terms, takeTime)
		return watchInterval
	}
	asked := e.parts.Clock.Now()
	news, err := e.parts.Peers.Heartbeat(ctx, holder.Address, e.parts.OwnHeartbeat())
	if err == nil && news.Leading && news.Token >= holder.Token {
		e.mu.Lock()
		e.news, e.heardAt = news, asked
		if news.WaitingKnown {
			e.waiting, e.countedAt = news.Waiting, asked
		}
		e.mu.Unlock()
		e.parts.OnHeartbeatReply(news, asked)
		if news.StoreAge < storeDoubt && !news.CommitStalled {
			e.unwatch()
			return HeartbeatInterval
		}
		e.watch(ctx, terms, yieldTime)
		return watchInterval
	}
	switch {
	case err == nil:
		e.watch(ctx, terms, beginTime)
	case e.silence() < doubtTime:
		return watchInterval / 2
	default:
		e.watch(ctx, terms, takeTime)
	}
	return watchInterval
}

// silence returns how long the holder has not answered.
func (e *Elector) silence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts.Clock.Since(e.heardAt)
}

// unwatch ends the watch of the lease row.
func (e *Elector) unwatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watched = false
}

// watch reads the lease row and takes the lease if the row is free or has not
// changed for the time.
func (e *Elector) watch(ctx context.Context, terms *conc.WaitGroup, unchanged time.Duration) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := e.parts.Committer.Read(call)
	if err != nil {
		e.parts.OnError("election", err)
		// What was seen before a gap says nothing of the gap.
		e.unwatch()
		return
	}
	if !e.observe(row, unchanged) {
		return
	}
	taking, stop := context.WithTimeout(ctx, takeTimeout)
	defer stop()
	switch err := e.parts.Committer.Acquire(taking, row); primrosespar.CodeOf(err) {
	case primrosespar.CodeOK:
		e.begin(ctx, terms)
	case primrosespar.CodeConflict:
		e.unwatch()
	default:
		e.parts.OnError("election", err)
	}
}

// observe takes a read of the lease row and reports whether to take the lease.
func (e *Elector) observe(row committer.Holder, unchanged time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	if row.Token != e.holder.Token || row.Host != e.holder.Host || !e.known {
		e.holder, e.known = row, true
		e.heardAt = now
		e.parts.OnChange(row.Host, row.Token, "read from the store")
	}
	if !e.watched || row.Version != e.seen {
		e.watched, e.seen, e.seenAt = true, row.Version, now
	}
	if e.resigned {
		return false
	}
	if e.parts.Committer.IsOwn(row) {
		return true
	}
	if row.Host == "" {
		return now.Sub(e.seenAt) >= e.rank()+e.handicap()
	}
	return now.Sub(e.seenAt) >= unchanged+e.rank()
}

// rank returns how long this host leaves the lease to others that come first.
// The lock is held.
func (e *Elector) rank() time.Duration {
	self := e.parts.OwnHeartbeat().Address
	i := slices.Index(e.news.Hosts, self)
	if i < 0 {
		i = len(e.news.Hosts)
	}
	return time.Duration(i) * rankDelay
}

// handicap returns how long this host leaves a free lease to hosts with more
// processor time; before the first holder there are no successors to go by.
func (e *Elector) handicap() time.Duration {
	lack := 1 - e.parts.OwnHeartbeat().Weight
	return time.Duration(max(0, lack) * float64(maxHandicap))
}

// begin starts the term of this host.
func (e *Elector) begin(ctx context.Context, terms *conc.WaitGroup) {
	term, stop := context.WithCancel(ctx)
	e.mu.Lock()
	e.leading, e.stop, e.watched = true, stop, false
	e.peers = map[netip.AddrPort]peer{}
	e.mu.Unlock()
	self := e.parts.OwnHeartbeat()
	e.parts.OnChange(self.Host, e.parts.Committer.Token(), "lease taken")
	terms.Go(func() {
		defer stop()
		err := e.parts.Lead(term)
		e.mu.Lock()
		e.leading, e.known = false, false
		e.mu.Unlock()
		e.parts.OnChange("", 0, "term over: "+err.Error())
		e.Wake()
	})
}

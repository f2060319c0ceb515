// Package heartbeater sends a heartbeat to each peer once per second and passes
// the replies on to the membership view.
//
// # Usage
//
//	h := heartbeater.New(dispatcher, messenger, heartbeater.WithClock(clock))
//	err := h.Run(ctx) // returns when the context ends
package heartbeater

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

// Interval is the time between the starts of two rounds.
const Interval = time.Second

// maxGoroutines limits the heartbeats in flight. It is more than the number of
// hosts of a place, so that heartbeats to dead hosts, which take the whole
// timeout, delay none to a live host.
const maxGoroutines = 64

// Members is the membership that the heartbeats update; the dispatcher
// implements it.
type Members interface {
	// Tick applies the changes that are due to the passage of time.
	Tick()
	// View returns the membership with the peers to send heartbeats to.
	View() watcher.View
	// Heartbeat returns the heartbeat to send to the peer.
	Heartbeat(to primrosespar.Host) primrosespar.Heartbeat
	// HandleHeartbeatReply processes the reply to a heartbeat that was sent at
	// sentAt.
	HandleHeartbeatReply(reply primrosespar.Heartbeat, sentAt time.Time)
}

// Options are the settings of a Heartbeater.
type Options struct {
	// Clock provides the time and timers. The Members get its readings.
	Clock primrosespar.Clock
	// OnError is called for each heartbeat without a reply; it may be nil.
	OnError func(to watcher.Target, err error)
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock; it is required.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithOnError sets the function that is called for each heartbeat without a
// reply. It is called from several goroutines.
func WithOnError(onError func(to watcher.Target, err error)) Option {
	return func(o *Options) { o.OnError = onError }
}

// Heartbeater is the heartbeat loop of one host.
type Heartbeater struct {
	members Members
	peers   primrosespar.Peers
	options Options
}

// New returns a Heartbeater that sends heartbeats with the client peers.
func New(members Members, peers primrosespar.Peers, opts ...Option) *Heartbeater {
	h := &Heartbeater{members: members, peers: peers}
	for _, opt := range opts {
		opt(&h.options)
	}
	return h
}

// Run starts a round every Interval until the context ends and returns its
// error.
func (h *Heartbeater) Run(ctx context.Context) error {
	for {
		start := h.options.Clock.Now()
		h.Round(ctx)
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "heartbeats ended")
		case <-h.options.Clock.After(max(0, Interval-h.options.Clock.Since(start))):
		}
	}
}

// Round sends one heartbeat to each peer and returns when all have been
// answered or have failed. The timeout of a heartbeat is that of the client.
func (h *Heartbeater) Round(ctx context.Context) {
	h.members.Tick()
	p := pool.New().WithMaxGoroutines(maxGoroutines)
	for _, target := range h.members.View().Targets {
		p.Go(func() { h.exchange(ctx, target) })
	}
	p.Wait()
	h.members.Tick()
}

// exchange sends one heartbeat and passes the reply on.
func (h *Heartbeater) exchange(ctx context.Context, to watcher.Target) {
	sentAt := h.options.Clock.Now()
	reply, err := h.peers.Heartbeat(ctx, to.Address, h.members.Heartbeat(to.Host))
	if err != nil {
		if h.options.OnError != nil {
			h.options.OnError(to, err)
		}
		return
	}
	h.members.HandleHeartbeatReply(reply, sentAt)
}

// Package heartbeater sends a heartbeat to each peer once a second and feeds
// the answers into the membership view.
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

// maxGoroutines bounds the heartbeats in flight. It is above the hosts of a
// place, so that dead hosts, which use the whole timeout, delay no live one.
const maxGoroutines = 64

// Members is the part of the dispatcher that the loop drives.
type Members interface {
	// Tick applies what time changed.
	Tick()
	// View returns the membership with the peers to beat.
	View() watcher.View
	// Heartbeat returns the heartbeat for the peer.
	Heartbeat(to primrosespar.Host) primrosespar.Heartbeat
	// HandleHeartbeatReply takes the answer to a heartbeat that was sent at the time.
	HandleHeartbeatReply(reply primrosespar.Heartbeat, sent time.Time)
}

// Options set up a Heartbeater.
type Options struct {
	Clock primrosespar.Clock
	// OnError is told about each heartbeat without an answer; it may be nil.
	OnError func(to watcher.Target, err error)
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock; it is required.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithOnError sets the function that is told about unanswered heartbeats. It
// is called from several goroutines.
func WithOnError(onError func(to watcher.Target, err error)) Option {
	return func(o *Options) { o.OnError = onError }
}

// Heartbeater is the heartbeat loop of one host.
type Heartbeater struct {
	members Members
	peers   primrosespar.Peers
	options Options
}

// New returns a Heartbeater that sends through the peers.
func New(members Members, peers primrosespar.Peers, opts ...Option) *Heartbeater {
	h := &Heartbeater{members: members, peers: peers}
	for _, opt := range opts {
		opt(&h.options)
	}
	return h
}

// Run beats until the context ends and returns its error.
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

// Round beats once to each peer and returns when all answered or failed. The
// timeout of one heartbeat is that of the peers' client.
func (h *Heartbeater) Round(ctx context.Context) {
	h.members.Tick()
	p := pool.New().WithMaxGoroutines(maxGoroutines)
	for _, target := range h.members.View().Targets {
		p.Go(func() { h.exchange(ctx, target) })
	}
	p.Wait()
	h.members.Tick()
}

// exchange exchanges one heartbeat.
func (h *Heartbeater) exchange(ctx context.Context, to watcher.Target) {
	sent := h.options.Clock.Now()
	reply, err := h.peers.Heartbeat(ctx, to.Address, h.members.Heartbeat(to.Host))
	if err != nil {
		if h.options.OnError != nil {
			h.options.OnError(to, err)
		}
		return
	}
	h.members.HandleHeartbeatReply(reply, sent)
}

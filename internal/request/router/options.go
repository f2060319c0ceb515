package router

import (
	"context"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/claimer"
	"primrosespar.example/primrosespar/internal/request/forwarder"
	"primrosespar.example/primrosespar/internal/request/minter"
	"primrosespar.example/primrosespar/internal/request/retrier"
)

// Sender makes one attempt at an upstream; forwarder.Forwarder is one.
type Sender interface {
	// Do returns the whole answer or the refusal in its place. The end of the
	// context stops a non-idempotent attempt only until it is sent.
	Do(ctx context.Context, attempt forwarder.Attempt) forwarder.Result
}

// Options are the parts and bounds of a Router.
type Options struct {
	Place      primrosespar.Place
	Host       primrosespar.Host
	Clock      primrosespar.Clock
	Contracts  primrosespar.ContractSource
	Dispatcher primrosespar.Dispatcher
	Recorder   primrosespar.Recorder
	Claims     *claimer.Claimer
	Minter     *minter.Minter
	Retrier    *retrier.Retrier
	Sender     Sender
	Peers      primrosespar.Peers
	// FindHost returns the address of a live process of the place, and false
	// if no such process is known.
	FindHost func(primrosespar.Host, primrosespar.Incarnation) (netip.AddrPort, bool)
	// NewAttempt returns an attempt id that never repeats.
	NewAttempt func() primrosespar.AttemptID
	// BodyLimit is the largest body of a call in bytes.
	BodyLimit int
	// KeyLimit is the largest key in bytes.
	KeyLimit int
	// RecordTimeout bounds how long a caller waits for the record of its
	// outcome; after that the record is retried in the background.
	RecordTimeout time.Duration
}

// Option sets one of the Options.
type Option func(*Options)

// WithProcess sets the names of this host.
func WithProcess(place primrosespar.Place, host primrosespar.Host) Option {
	return func(o *Options) { o.Place, o.Host = place, host }
}

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithContracts sets the contracts and the dispatcher that enforces them.
func WithContracts(contracts primrosespar.ContractSource, dispatcher primrosespar.Dispatcher) Option {
	return func(o *Options) { o.Contracts, o.Dispatcher = contracts, dispatcher }
}

// WithRecorder sets the recorder of decisions.
func WithRecorder(recorder primrosespar.Recorder) Option {
	return func(o *Options) { o.Recorder = recorder }
}

// WithKeys sets what gives keys to at most one attempt.
func WithKeys(claims *claimer.Claimer, minted *minter.Minter) Option {
	return func(o *Options) { o.Claims, o.Minter = claims, minted }
}

// WithAttempts sets what makes attempts, what bounds their retries and the
// source of attempt ids.
func WithAttempts(sender Sender, retries *retrier.Retrier, newAttempt func() primrosespar.AttemptID) Option {
	return func(o *Options) { o.Sender, o.Retrier, o.NewAttempt = sender, retries, newAttempt }
}

// WithBodyLimit sets the largest body of a call in bytes.
func WithBodyLimit(bytes int) Option {
	return func(o *Options) { o.BodyLimit = bytes }
}

// WithPeers sets the other hosts of the place and the search for one of them.
func WithPeers(peers primrosespar.Peers, find func(primrosespar.Host, primrosespar.Incarnation) (netip.AddrPort, bool)) Option {
	return func(o *Options) { o.Peers, o.FindHost = peers, find }
}

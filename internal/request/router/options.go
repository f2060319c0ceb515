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

// Sender makes one attempt at an upstream. forwarder.Forwarder implements it.
type Sender interface {
	// Do returns the complete answer or a refusal in its place. The end of the
	// context stops a non-idempotent attempt only before that is sent.
	Do(ctx context.Context, attempt forwarder.Attempt) forwarder.Result
}

// Options are the identity, dependencies and limits of a Router.
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
	// FindHost returns the address of the live process of the place with the
	// host name and the incarnation, and false if there is none.
	FindHost func(primrosespar.Host, primrosespar.Incarnation) (netip.AddrPort, bool)
	// NewAttempt returns a new, unique attempt ID.
	NewAttempt func() primrosespar.AttemptID
	// MaxBody is the maximum size of the body of a call in bytes.
	MaxBody int
	// MaxKeyBytes is the maximum length of a key in bytes.
	MaxKeyBytes int
	// RecordTimeout limits how long the answer to a caller is delayed until its
	// outcome is recorded. After that, recording is retried in the background.
	RecordTimeout time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithHost sets the place and the name of this host.
func WithHost(place primrosespar.Place, host primrosespar.Host) Option {
	return func(o *Options) { o.Place, o.Host = place, host }
}

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithContracts sets the source of contracts and the dispatcher that enforces
// them.
func WithContracts(contracts primrosespar.ContractSource, dispatcher primrosespar.Dispatcher) Option {
	return func(o *Options) { o.Contracts, o.Dispatcher = contracts, dispatcher }
}

// WithRecorder sets the recorder of decisions.
func WithRecorder(recorder primrosespar.Recorder) Option {
	return func(o *Options) { o.Recorder = recorder }
}

// WithKeys sets the claimer of keys in the table and the minter of minted keys.
func WithKeys(claims *claimer.Claimer, minted *minter.Minter) Option {
	return func(o *Options) { o.Claims, o.Minter = claims, minted }
}

// WithAttempts sets the sender of attempts, the retrier that limits their
// retries and the function that returns new attempt IDs.
func WithAttempts(sender Sender, retries *retrier.Retrier, newAttempt func() primrosespar.AttemptID) Option {
	return func(o *Options) { o.Sender, o.Retrier, o.NewAttempt = sender, retries, newAttempt }
}

// WithMaxBody sets the maximum size of the body of a call in bytes.
func WithMaxBody(bytes int) Option {
	return func(o *Options) { o.MaxBody = bytes }
}

// WithPeers sets the client for the other hosts of the place and the function
// that finds the address of one.
func WithPeers(peers primrosespar.Peers, find func(primrosespar.Host, primrosespar.Incarnation) (netip.AddrPort, bool)) Option {
	return func(o *Options) { o.Peers, o.FindHost = peers, find }
}

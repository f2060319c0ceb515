package dispatcher

import (
	"net/netip"

	"primrosespar.example/primrosespar"
)

// Options are the identity and dependencies of a Dispatcher.
type Options struct {
	Host        primrosespar.Host
	Place       primrosespar.Place
	Incarnation primrosespar.Incarnation
	Address     netip.AddrPort
	Clock       primrosespar.Clock
	// MemberClock measures the time without contact to other hosts and the terms
	// of slots. If it is nil, Clock does.
	MemberClock primrosespar.Clock
	Contracts   primrosespar.ContractSource
	// Random returns a random number from 0 to n-1. If it is nil, upstreams are
	// taken round-robin.
	Random func(n int) int
	// Minted reports whether this process minted the key. If it is nil, no key
	// counts as minted.
	Minted func(key string) bool
}

// Option sets one option.
type Option func(*Options)

// WithHost sets the name, place, incarnation and peer address of this host.
func WithHost(host primrosespar.Host, place primrosespar.Place, incarnation primrosespar.Incarnation, address netip.AddrPort) Option {
	return func(o *Options) {
		o.Host, o.Place, o.Incarnation, o.Address = host, place, incarnation, address
	}
}

// WithClock sets the clock; it is required.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithMemberClock sets the clock that measures the time without contact to other
// hosts and the terms of slots. It should count suspensions of the machine, since
// the other hosts do.
func WithMemberClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.MemberClock = clock }
}

// WithContracts sets the source of contracts; it is required.
func WithContracts(source primrosespar.ContractSource) Option {
	return func(o *Options) { o.Contracts = source }
}

// WithRandom sets the function that returns a random number from 0 to n-1.
func WithRandom(random func(n int) int) Option {
	return func(o *Options) { o.Random = random }
}

// WithMinted sets the function that recognises keys minted by this process.
func WithMinted(minted func(key string) bool) Option {
	return func(o *Options) { o.Minted = minted }
}

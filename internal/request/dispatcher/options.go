package dispatcher

import (
	"net/netip"

	"primrosespar.example/primrosespar"
)

// Options set up a Dispatcher.
type Options struct {
	Host        primrosespar.Host
	Place       primrosespar.Place
	Incarnation primrosespar.Incarnation
	Address     netip.AddrPort
	Clock       primrosespar.Clock
	Contracts   primrosespar.ContractSource
	// Random draws from 0 to n-1; nil goes round the upstreams in turn.
	Random func(n int) int
	// Minted reports whether this process minted the key; nil knows none.
	Minted func(key string) bool
}

// Option changes Options.
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

// WithContracts sets the source of contracts; it is required.
func WithContracts(source primrosespar.ContractSource) Option {
	return func(o *Options) { o.Contracts = source }
}

// WithRandom sets the function that draws from 0 to n-1.
func WithRandom(random func(n int) int) Option {
	return func(o *Options) { o.Random = random }
}

// WithMinted sets the function that recognises keys minted by this process.
func WithMinted(minted func(key string) bool) Option {
	return func(o *Options) { o.Minted = minted }
}

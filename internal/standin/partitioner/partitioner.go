// Package partitioner connects the parties of an installation through proxies,
// one for each link, and cuts off whole regions.
//
// # Usage
//
//	p := partitioner.New()
//	defer p.Close()
//	address, err := p.Link("region-a", "region-b", target)
//	p.Cut("region-a", partitioner.Both)
//	p.Heal("region-a")
package partitioner

import (
	"net/netip"
	"sync"

	"primrosespar.example/primrosespar/internal/standin/proxier"
)

// Direction is the direction in which nothing passes while a region is cut off.
type Direction int

// Directions of a cut, as seen from the region.
const (
	None Direction = iota
	Both
	// Outward cuts what leaves the region, Inward what enters it.
	Outward
	Inward
)

// link is the proxy between two parties.
type link struct {
	proxy *proxier.Proxier
	// fromRegion and toRegion are the regions of the caller and of its target.
	fromRegion, toRegion string
}

// Partitioner holds the links of one installation. It is safe for concurrent
// use.
type Partitioner struct {
	mu    sync.Mutex
	links []link
	cuts  map[string]Direction
}

// New returns a Partitioner without links.
func New() *Partitioner { return &Partitioner{cuts: map[string]Direction{}} }

// Link starts a proxy for the calls of a party in one region to a target in
// another and returns the address at which the party reaches the target.
func (p *Partitioner) Link(fromRegion, toRegion string, target netip.AddrPort, opts ...proxier.Option) (netip.AddrPort, error) {
	proxy, err := proxier.New(target, opts...)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := link{proxy: proxy, fromRegion: fromRegion, toRegion: toRegion}
	proxy.Set(p.mode(l))
	p.links = append(p.links, l)
	return proxy.Address(), nil
}

// Cut cuts the region off from all others. Connections stay open and silent,
// and what is under way arrives when the cut ends.
func (p *Partitioner) Cut(region string, direction Direction) { p.set(region, direction) }

// Heal ends the cut of the region.
func (p *Partitioner) Heal(region string) { p.set(region, None) }

// Close closes all links.
func (p *Partitioner) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.proxy.Close()
	}
	p.links = nil
}

// set sets the cut of a region and the modes of all links.
func (p *Partitioner) set(region string, direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[region] = direction
	for _, l := range p.links {
		l.proxy.Set(p.mode(l))
	}
}

// mode returns the mode of a link under the present cuts. The caller holds the
// lock.
func (p *Partitioner) mode(l link) proxier.Mode {
	if l.fromRegion == l.toRegion {
		return proxier.Pass
	}
	from, to := p.cuts[l.fromRegion], p.cuts[l.toRegion]
	requests := from == Both || from == Outward || to == Both || to == Inward
	answers := from == Both || from == Inward || to == Both || to == Outward
	switch {
	case requests && answers:
		return proxier.Cut
	case requests:
		return proxier.CutToTarget
	case answers:
		return proxier.CutFromTarget
	}
	return proxier.Pass
}

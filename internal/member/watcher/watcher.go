// Package watcher combines the platform's list of hosts, which lags behind,
// with the heartbeats of peers into one host's view of which hosts are live,
// draining or dead.
//
// A host counts as live for the timeout after it first appeared in the list;
// from then on only its heartbeats count. A host that sends heartbeats is live
// also before it appears in the list and after it has disappeared.
//
// # Usage
//
// A Watcher is not safe for concurrent use and reads no clock:
//
//	w := watcher.New("host-1", "burnie-a")
//	w.SetList(directory.Hosts, now)
//	w.Observe(heartbeat, now)
//	view := w.View(now)
package watcher

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// Times that decide on the state of a host.
const (
	// Timeout is the time without a heartbeat after which a host counts as
	// dead.
	Timeout = 3 * time.Second
	// pauseThreshold is the time between two calls of a Watcher from which this
	// host counts as paused. Missing heartbeats in a pause say nothing about
	// the peers.
	pauseThreshold = 1500 * time.Millisecond
	// retention is the time after its last heartbeat for which a host that is
	// no longer in the list is kept.
	retention = time.Minute
)

// Watcher tracks the other hosts of the place for one host.
type Watcher struct {
	self     primrosespar.Host
	place    primrosespar.Place
	peers    map[primrosespar.Host]*peer
	draining bool
	// lastCall is the time of the last call of SetList, Observe or View.
	lastCall time.Time
}

// peer is the known state of another host.
type peer struct {
	address netip.AddrPort
	// listed and leaving are from the list.
	listed  bool
	leaving bool
	// responded is true once a heartbeat of the host has arrived.
	responded bool
	// lastHeard is the time of the last heartbeat, or that at which the host
	// first appeared in the list.
	lastHeard time.Time
	heartbeat primrosespar.Heartbeat
}

// Target is a peer to send heartbeats to.
type Target struct {
	Host    primrosespar.Host
	Address netip.AddrPort
}

// View is the membership as this host sees it, each list in the order of names.
type View struct {
	// Live hosts accept work; this host is among them unless it drains.
	Live []primrosespar.Host
	// Draining hosts only finish the work that they have.
	Draining []primrosespar.Host
	// Dead hosts have sent heartbeats before and stopped.
	Dead []primrosespar.Host
	// Silent hosts are or were in the list and have never sent a heartbeat.
	Silent []primrosespar.Host
	// Targets are all peers that may be running: live and draining ones, and
	// dead and silent ones that are still in the list.
	Targets []Target
	// Leaving and Ejected are the upstreams that live or draining peers report
	// as such in their last heartbeats.
	Leaving []primrosespar.Upstream
	Ejected []primrosespar.Upstream
}

// New returns a Watcher without peers.
func New(self primrosespar.Host, place primrosespar.Place) *Watcher {
	return &Watcher{self: self, place: place, peers: map[primrosespar.Host]*peer{}}
}

// SetDraining sets whether this host itself drains.
func (w *Watcher) SetDraining(draining bool) { w.draining = draining }

// SetList updates the peers from the platform's list. Hosts of other places are
// ignored.
func (w *Watcher) SetList(entries []primrosespar.HostEntry, now time.Time) {
	w.discountPause(now)
	for _, p := range w.peers {
		p.listed = false
	}
	for _, e := range entries {
		if e.Host == w.self || e.Place != w.place {
			continue
		}
		p := w.peers[e.Host]
		if p == nil {
			p = &peer{lastHeard: now}
			w.peers[e.Host] = p
		}
		p.listed, p.leaving = true, e.Leaving
		if !p.responded {
			p.address = e.Peer
		}
	}
	for name, p := range w.peers {
		if !p.listed && now.Sub(p.lastHeard) >= retention {
			delete(w.peers, name)
		}
	}
}

// Observe updates a peer from its heartbeat or its reply to one. It ignores a
// heartbeat of this host or of another place and reports false.
func (w *Watcher) Observe(heartbeat primrosespar.Heartbeat, now time.Time) bool {
	if heartbeat.Host == w.self || heartbeat.Place != w.place || heartbeat.Host == "" {
		return false
	}
	w.discountPause(now)
	p := w.peers[heartbeat.Host]
	if p == nil {
		p = &peer{}
		w.peers[heartbeat.Host] = p
	}
	if p.responded && p.heartbeat.Incarnation != heartbeat.Incarnation {
		// A new process of the same name is not leaving because the old one
		// was.
		p.leaving = false
	}
	p.responded, p.lastHeard, p.heartbeat = true, now, heartbeat
	if heartbeat.Address.IsValid() {
		p.address = heartbeat.Address
	}
	return true
}

// discountPause adds a pause of this host to the last-heard times of the peers.
func (w *Watcher) discountPause(now time.Time) {
	pause := now.Sub(w.lastCall)
	if !w.lastCall.IsZero() && pause >= pauseThreshold {
		for _, p := range w.peers {
			p.lastHeard = p.lastHeard.Add(pause)
		}
	}
	w.lastCall = now
}

// View returns the current membership. It must be called at least once per
// second, since longer gaps between calls count as a pause of this host.
func (w *Watcher) View(now time.Time) View {
	w.discountPause(now)
	var v View
	if w.draining {
		v.Draining = append(v.Draining, w.self)
	} else {
		v.Live = append(v.Live, w.self)
	}
	leaving, ejected := map[primrosespar.Upstream]bool{}, map[primrosespar.Upstream]bool{}
	for name, p := range w.peers {
		alive := now.Sub(p.lastHeard) < Timeout
		switch {
		case alive && (p.leaving || p.heartbeat.Draining):
			v.Draining = append(v.Draining, name)
		case alive:
			v.Live = append(v.Live, name)
		case p.responded:
			v.Dead = append(v.Dead, name)
		default:
			v.Silent = append(v.Silent, name)
		}
		if alive || p.listed {
			v.Targets = append(v.Targets, Target{name, p.address})
		}
		if alive {
			addAll(leaving, p.heartbeat.Leaving)
			addAll(ejected, p.heartbeat.Ejected)
		}
	}
	slices.Sort(v.Live)
	slices.Sort(v.Draining)
	slices.Sort(v.Dead)
	slices.Sort(v.Silent)
	slices.SortFunc(v.Targets, func(a, b Target) int { return strings.Compare(string(a.Host), string(b.Host)) })
	v.Leaving, v.Ejected = sortedNames(leaving), sortedNames(ejected)
	return v
}

// Rank returns the index of the host among the live ones, -1 if it is not live.
func (v View) Rank(h primrosespar.Host) int { return slices.Index(v.Live, h) }

// addAll adds the names to the set.
func addAll(set map[primrosespar.Upstream]bool, names []primrosespar.Upstream) {
	for _, name := range names {
		set[name] = true
	}
}

// sortedNames returns the names in the set in sorted order.
func sortedNames(set map[primrosespar.Upstream]bool) []primrosespar.Upstream {
	list := make([]primrosespar.Upstream, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Package watcher joins the lagging list of hosts with the heartbeats of peers
// into this host's view of who is live, draining or dead.
//
// A host that the list names counts as live for the timeout after it was first
// named; from then on only its heartbeats count. A host that beats is live
// before the list knows it and after the list dropped it.
//
// # Usage
//
// A Watcher is not safe for concurrent use and reads no clock:
//
//	w := watcher.New("host-1", "burnie-a")
//	w.SetList(directory.Hosts, now)
//	w.Observe(beat, now)
//	view := w.View(now)
package watcher

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// Times of the membership view.
const (
	// Timeout is the silence after which a host counts as dead.
	Timeout = 3 * time.Second
	// pauseThreshold is the time without a call to View after which this host itself
	// was paused; silence during it says nothing about the peers.
	pauseThreshold = 1500 * time.Millisecond
	// retention is how long a dead host that the list dropped is remembered.
	retention = time.Minute
)

// Watcher holds the view of one host.
type Watcher struct {
	self     primrosespar.Host
	place    primrosespar.Place
	peers    map[primrosespar.Host]*peer
	draining bool
	lastCall time.Time
}

// peer is what is known of another host.
type peer struct {
	address   netip.AddrPort
	listed    bool
	leaving   bool
	responded bool
	// lastHeard is the last heartbeat, or the first naming by the list.
	lastHeard time.Time
	heartbeat primrosespar.Heartbeat
}

// Target is a peer to send heartbeats to.
type Target struct {
	Host    primrosespar.Host
	Address netip.AddrPort
}

// View is the membership as this host sees it, each part in name order.
type View struct {
	// Live hosts serve; the own host is among them unless it drains.
	Live []primrosespar.Host
	// Draining hosts finish what they have.
	Draining []primrosespar.Host
	// Dead hosts beat once and stopped.
	Dead []primrosespar.Host
	// Silent hosts are named by the list and never beat.
	Silent []primrosespar.Host
	// Targets are all peers that may be running, also dead and silent ones
	// that the list names.
	Targets []Target
	// Leaving and Ejected are the upstreams that live or draining peers named
	// in their last heartbeats.
	Leaving []primrosespar.Upstream
	Ejected []primrosespar.Upstream
}

// New returns a Watcher that knows only its own host.
func New(self primrosespar.Host, place primrosespar.Place) *Watcher {
	return &Watcher{self: self, place: place, peers: map[primrosespar.Host]*peer{}}
}

// SetDraining notes whether this host itself drains.
func (w *Watcher) SetDraining(draining bool) { w.draining = draining }

// SetList takes the lagging list; hosts of other places are left out.
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

// Observe takes a heartbeat or the answer to one. It reports false for a
// heartbeat of the own host or of another place.
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
		// A new process under the name is not leaving because the old one was.
		p.leaving = false
	}
	p.responded, p.lastHeard, p.heartbeat = true, now, heartbeat
	if heartbeat.Address.IsValid() {
		p.address = heartbeat.Address
	}
	return true
}

// discountPause gives the peers the time back for which this host was paused.
func (w *Watcher) discountPause(now time.Time) {
	pause := now.Sub(w.lastCall)
	if !w.lastCall.IsZero() && pause >= pauseThreshold {
		for _, p := range w.peers {
			p.lastHeard = p.lastHeard.Add(pause)
		}
	}
	w.lastCall = now
}

// View returns the membership now. It must be called at least once a second.
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

// Rank returns the position of the host among the live ones, -1 if absent.
func (v View) Rank(h primrosespar.Host) int { return slices.Index(v.Live, h) }

// addAll adds the names to the set.
func addAll(set map[primrosespar.Upstream]bool, names []primrosespar.Upstream) {
	for _, name := range names {
		set[name] = true
	}
}

// sortedNames returns the set in order.
func sortedNames(set map[primrosespar.Upstream]bool) []primrosespar.Upstream {
	list := make([]primrosespar.Upstream, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

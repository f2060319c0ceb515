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
	// stall is the time without a call to View after which this host itself
	// was paused; silence during it says nothing about the peers.
	stall = 1500 * time.Millisecond
	// memory is how long a dead host that the list dropped is remembered.
	memory = time.Minute
)

// Watcher holds the view of one host.
type Watcher struct {
	self     primrosespar.Host
	place    primrosespar.Place
	peers    map[primrosespar.Host]*peer
	draining bool
	viewed   time.Time
}

// peer is what is known of another host.
type peer struct {
	address  netip.AddrPort
	listed   bool
	leaving  bool
	answered bool
	// heard is the last heartbeat, or the first naming by the list.
	heard time.Time
	beat  primrosespar.Heartbeat
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
	w.resume(now)
	for _, p := range w.peers {
		p.listed = false
	}
	for _, e := range entries {
		if e.Host == w.self || e.Place != w.place {
			continue
		}
		p := w.peers[e.Host]
		if p == nil {
			p = &peer{heard: now}
			w.peers[e.Host] = p
		}
		p.listed, p.leaving = true, e.Leaving
		if !p.answered {
			p.address = e.Peer
		}
	}
	for name, p := range w.peers {
		if !p.listed && now.Sub(p.heard) >= memory {
			delete(w.peers, name)
		}
	}
}

// Observe takes a heartbeat or the answer to one. It reports false for a
// heartbeat of the own host or of another place.
func (w *Watcher) Observe(beat primrosespar.Heartbeat, now time.Time) bool {
	if beat.Host == w.self || beat.Place != w.place || beat.Host == "" {
		return false
	}
	w.resume(now)
	p := w.peers[beat.Host]
	if p == nil {
		p = &peer{}
		w.peers[beat.Host] = p
	}
	if p.answered && p.beat.Incarnation != beat.Incarnation {
		// A new process under the name is not leaving because the old one was.
		p.leaving = false
	}
	p.answered, p.heard, p.beat = true, now, beat
	if beat.Address.IsValid() {
		p.address = beat.Address
	}
	return true
}

// resume gives the peers the time back for which this host was paused.
func (w *Watcher) resume(now time.Time) {
	pause := now.Sub(w.viewed)
	if !w.viewed.IsZero() && pause >= stall {
		for _, p := range w.peers {
			p.heard = p.heard.Add(pause)
		}
	}
	w.viewed = now
}

// View returns the membership now. It must be called at least once a second.
func (w *Watcher) View(now time.Time) View {
	w.resume(now)
	var v View
	if w.draining {
		v.Draining = append(v.Draining, w.self)
	} else {
		v.Live = append(v.Live, w.self)
	}
	leaving, ejected := map[primrosespar.Upstream]bool{}, map[primrosespar.Upstream]bool{}
	for name, p := range w.peers {
		present := now.Sub(p.heard) < Timeout
		switch {
		case present && (p.leaving || p.beat.Draining):
			v.Draining = append(v.Draining, name)
		case present:
			v.Live = append(v.Live, name)
		case p.answered:
			v.Dead = append(v.Dead, name)
		default:
			v.Silent = append(v.Silent, name)
		}
		if present || p.listed {
			v.Targets = append(v.Targets, Target{name, p.address})
		}
		if present {
			mark(leaving, p.beat.Leaving)
			mark(ejected, p.beat.Ejected)
		}
	}
	slices.Sort(v.Live)
	slices.Sort(v.Draining)
	slices.Sort(v.Dead)
	slices.Sort(v.Silent)
	slices.SortFunc(v.Targets, func(a, b Target) int { return strings.Compare(string(a.Host), string(b.Host)) })
	v.Leaving, v.Ejected = names(leaving), names(ejected)
	return v
}

// Rank returns the position of the host among the live ones, -1 if absent.
func (v View) Rank(h primrosespar.Host) int { return slices.Index(v.Live, h) }

// mark adds the names to the set.
func mark(set map[primrosespar.Upstream]bool, list []primrosespar.Upstream) {
	for _, name := range list {
		set[name] = true
	}
}

// names returns the set in order.
func names(set map[primrosespar.Upstream]bool) []primrosespar.Upstream {
	list := make([]primrosespar.Upstream, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

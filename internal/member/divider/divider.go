// Package divider divides the slots of each upstream between the live hosts of
// a place, so that all hosts together stay within the slots of the upstream.
//
// The owner of a slot is the live host with the highest hash of host, upstream
// and slot number (rendezvous hashing). A host stops using a slot as soon as it
// loses it. The new owner waits until a heartbeat reply of the former owner
// shows that the slot is free, at most for HandoverTimeout; it does not wait
// for a dead host. Replies to heartbeats also lend idle slots for short terms.
//
// # Usage
//
// A Divider is not safe for concurrent use and reads no clock. The times that it
// is given must advance while this host is suspended, since its peers take over
// its slots then:
//
//	d := divider.New("host-1")
//	d.SetUpstreams(directory.Upstreams, now)
//	d.SetHosts(live, draining, now)
//	usage := d.Report("host-2", inFlight, wanted, wantedByPeer, now) // for a reply
//	d.Observe("host-2", reply.Usage, sentAt, now)                    // from a reply
//	slots := d.Usable("upstream-1", now)
package divider

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosespar.example/primrosespar"
)

// Timeouts and terms of handovers and loans.
const (
	// HandoverTimeout is how long a host waits for a live former owner to
	// release a slot.
	HandoverTimeout = 3 * time.Second
	// PeerTimeout is the length of a pause of this host from which its peers
	// may have counted it as dead and taken over its slots.
	PeerTimeout = 3 * time.Second
	// LoanTerm is how long a borrower may use lent slots after it sent the
	// heartbeat whose reply lent them.
	LoanTerm = 2 * time.Second
	// loanMargin is added to LoanTerm by the lender, to cover the difference
	// between the delays of two messages.
	loanMargin = 250 * time.Millisecond
)

// Divider is one host's view of how the slots are divided.
type Divider struct {
	self      primrosespar.Host
	live      []primrosespar.Host
	draining  map[primrosespar.Host]bool
	upstreams map[primrosespar.Upstream]*upstreamSlots
	// reported is the last usage that each peer reported.
	reported map[primrosespar.Host]map[primrosespar.Upstream]int
	// lastTouch is the time of the last call of Touch.
	lastTouch time.Time
}

// upstreamSlots is the division of the slots of one upstream.
type upstreamSlots struct {
	slots []slot
	// loans holds the loans to each borrower. The terms of successive loans
	// overlap, and the borrower may use the largest of them.
	loans map[primrosespar.Host][]loan
	// borrowed is the last loan from each lender.
	borrowed map[primrosespar.Host]loan
}

// slot is one slot of an upstream with its owner.
type slot struct {
	owner primrosespar.Host
	// formerOwner may use the slot until usableAt. It is empty if no other host
	// uses the slot.
	formerOwner primrosespar.Host
	// ownerChanged is when the current handover began.
	ownerChanged time.Time
	// usableAt is when the owner may use the slot.
	usableAt time.Time
	// notBefore is the end of an earlier handover that the current one
	// interrupted. The slot does not become usable before it, even if the
	// former owner confirms the current handover.
	notBefore time.Time
}

// loan is a number of slots that a host may use until a time.
type loan struct {
	count int
	until time.Time
}

// New returns a Divider whose only live host is this one.
func New(self primrosespar.Host) *Divider {
	return &Divider{
		self:      self,
		live:      []primrosespar.Host{self},
		draining:  map[primrosespar.Host]bool{},
		upstreams: map[primrosespar.Upstream]*upstreamSlots{},
		reported:  map[primrosespar.Host]map[primrosespar.Upstream]int{},
	}
}

// SetUpstreams sets the upstreams of the place. Slots that are new are usable
// only after HandoverTimeout, since peers may have known them earlier and
// divided them between another set of live hosts.
func (d *Divider) SetUpstreams(entries []primrosespar.UpstreamEntry, now time.Time) {
	d.Touch(now)
	listed := make(map[primrosespar.Upstream]bool, len(entries))
	for _, e := range entries {
		listed[e.Upstream] = true
		s := d.upstreams[e.Upstream]
		if s == nil {
			s = &upstreamSlots{loans: map[primrosespar.Host][]loan{}, borrowed: map[primrosespar.Host]loan{}}
			d.upstreams[e.Upstream] = s
		}
		for len(s.slots) < e.Slots {
			owner := d.owner(e.Upstream, len(s.slots), "")
			added := slot{owner: owner, formerOwner: d.owner(e.Upstream, len(s.slots), owner)}
			added.ownerChanged, added.usableAt = now, now.Add(HandoverTimeout)
			s.slots = append(s.slots, added)
		}
		s.slots = s.slots[:e.Slots]
	}
	for name := range d.upstreams {
		if !listed[name] {
			delete(d.upstreams, name)
		}
	}
}

// startHandover starts the handover of the slot to its owner. The slot is
// usable at once if it has no former owner.
func (s *slot) startHandover(now time.Time) {
	s.ownerChanged, s.usableAt = now, now.Add(HandoverTimeout)
	if s.formerOwner == "" {
		s.usableAt = now
	}
}

// SetHosts sets the live hosts, between which the slots are divided, and the
// draining ones, which finish their attempts but own no slots. A host in
// neither list is dead.
func (d *Divider) SetHosts(live, draining []primrosespar.Host, now time.Time) {
	d.Touch(now)
	sorted := slices.Clone(live)
	slices.Sort(sorted)
	d.draining = map[primrosespar.Host]bool{}
	for _, h := range draining {
		d.draining[h] = true
	}
	for h := range d.reported {
		if !d.draining[h] && !slices.Contains(sorted, h) {
			delete(d.reported, h)
			d.dropLoans(h)
		}
	}
	if slices.Equal(sorted, d.live) {
		return
	}
	d.live = sorted
	for name, s := range d.upstreams {
		for i := range s.slots {
			d.updateOwner(&s.slots[i], name, i, now)
		}
	}
}

// dropLoans ends the loans to a dead host.
func (d *Divider) dropLoans(h primrosespar.Host) {
	for _, s := range d.upstreams {
		delete(s.loans, h)
	}
}

// updateOwner determines the owner of the slot among the live hosts and starts
// a handover if it has changed.
func (d *Divider) updateOwner(s *slot, name primrosespar.Upstream, index int, now time.Time) {
	owner := d.owner(name, index, "")
	if owner == s.owner {
		d.endHandoverIfDead(s, now)
		return
	}
	if s.usableAt.After(now) {
		s.notBefore = s.usableAt
	}
	s.owner, s.formerOwner = owner, s.owner
	s.startHandover(now)
	d.endHandoverIfDead(s, now)
}

// endHandoverIfDead ends the handover if the former owner is dead.
func (d *Divider) endHandoverIfDead(s *slot, now time.Time) {
	if s.formerOwner == "" || d.draining[s.formerOwner] || slices.Contains(d.live, s.formerOwner) {
		return
	}
	s.endHandover(now)
}

// endHandover makes the slot usable now, or at notBefore if that is later.
func (s *slot) endHandover(now time.Time) {
	s.formerOwner = ""
	if s.usableAt.After(now) {
		s.usableAt = now
	}
	if s.notBefore.After(s.usableAt) {
		s.usableAt = s.notBefore
	}
}

// owner returns the live host with the highest hash for the slot, other than
// the excluded one.
func (d *Divider) owner(name primrosespar.Upstream, index int, excluded primrosespar.Host) primrosespar.Host {
	var owner primrosespar.Host
	var highest uint64
	for _, host := range d.live {
		if host == excluded {
			continue
		}
		hash := xxhash.Sum64String(string(host) + "|" + string(name) + "|" + strconv.Itoa(index))
		if owner == "" || hash > highest {
			owner, highest = host, hash
		}
	}
	return owner
}

// Touch records that this host is running. It must be called at intervals
// shorter than PeerTimeout; SetUpstreams and SetHosts call it. After a longer
// pause the peers may have taken over the slots of this host, so their handover
// to it starts again.
func (d *Divider) Touch(now time.Time) {
	paused := !d.lastTouch.IsZero() && now.Sub(d.lastTouch) >= PeerTimeout
	d.lastTouch = now
	if !paused {
		return
	}
	for name, s := range d.upstreams {
		for i := range s.slots {
			if s.slots[i].owner == d.self {
				s.slots[i].formerOwner = d.owner(name, i, d.self)
				s.slots[i].startHandover(now)
			}
		}
	}
}

// Usable returns how many slots of the upstream this host may use: those that
// it owns after their handover, less the lent ones, plus the borrowed ones.
func (d *Divider) Usable(name primrosespar.Upstream, now time.Time) int {
	s := d.upstreams[name]
	if s == nil || (!d.lastTouch.IsZero() && now.Sub(d.lastTouch) >= PeerTimeout) {
		return 0
	}
	count := d.usableOwned(s, now) - s.lentCount()
	for _, l := range s.borrowed {
		if now.Before(l.until) {
			count += l.count
		}
	}
	return max(0, count)
}

// usableOwned counts the slots of this host whose handover has ended.
func (d *Divider) usableOwned(s *upstreamSlots, now time.Time) int {
	count := 0
	for _, slot := range s.slots {
		if slot.owner == d.self && !slot.usableAt.After(now) {
			count++
		}
	}
	return count
}

// lentCount counts the slots that all borrowers may still use.
func (s *upstreamSlots) lentCount() int {
	count := 0
	for h := range s.loans {
		count += s.lentTo(h)
	}
	return count
}

// lentTo counts the slots that the borrower may still use.
func (s *upstreamSlots) lentTo(h primrosespar.Host) int {
	count := 0
	for _, l := range s.loans[h] {
		count = max(count, l.count)
	}
	return count
}

// ownedBy counts the slots that the host owns in this host's view.
func (s *upstreamSlots) ownedBy(h primrosespar.Host) int {
	count := 0
	for _, slot := range s.slots {
		if slot.owner == h {
			count++
		}
	}
	return count
}

// Report returns the usage for a heartbeat or a reply to the peer. Its used
// slots include the lent ones, because a new owner cannot use them either. For
// a reply, wantedByPeer are the slots that the peer wanted in its heartbeat;
// idle slots are lent to it.
func (d *Divider) Report(to primrosespar.Host, used map[primrosespar.Upstream]int, wanted, wantedByPeer map[primrosespar.Upstream]int, now time.Time) []primrosespar.SlotUsage {
	var usage []primrosespar.SlotUsage
	for name, s := range d.upstreams {
		u := primrosespar.SlotUsage{Upstream: name, Wanted: wanted[name]}
		if want := wantedByPeer[name]; want > 0 && to != d.self && slices.Contains(d.live, to) {
			u.Lent, u.Term = d.lend(s, to, want, used[name], now), LoanTerm
		}
		u.Used = used[name] + s.lentCount()
		if u.Used > 0 || u.Wanted > 0 || u.Lent > 0 {
			usage = append(usage, u)
		}
	}
	return usage
}

// lend grants or renews a loan and returns the number of slots lent. Slots that
// this host no longer owns are not lent again, so their new owner can use them
// within one term.
func (d *Divider) lend(s *upstreamSlots, to primrosespar.Host, wanted, used int, now time.Time) int {
	idle := d.usableOwned(s, now) - s.lentCount() - used
	count := min(wanted, idle+s.lentTo(to))
	if count <= 0 {
		return 0
	}
	s.loans[to] = append(s.loans[to], loan{count: count, until: now.Add(LoanTerm + loanMargin)})
	return count
}

// Observe handles the usage that a peer reported in a heartbeat or a reply. For
// a reply, sentAt is when this host sent the heartbeat; for a heartbeat it is
// zero.
func (d *Divider) Observe(from primrosespar.Host, usage []primrosespar.SlotUsage, sentAt, now time.Time) {
	used := make(map[primrosespar.Upstream]int, len(usage))
	for _, u := range usage {
		used[u.Upstream] = u.Used
		if s := d.upstreams[u.Upstream]; s != nil && !sentAt.IsZero() && u.Lent > 0 {
			s.borrowed[from] = loan{count: u.Lent, until: sentAt.Add(min(u.Term, LoanTerm))}
		}
	}
	d.reported[from] = used
	for name, s := range d.upstreams {
		excess := max(0, used[name]-s.ownedBy(from))
		s.expireLoans(from, excess, now)
		if excess == 0 && !sentAt.IsZero() {
			s.confirmHandovers(from, sentAt, now)
		}
	}
}

// expireLoans ends the loans whose term is over. Slots that the borrower still
// uses in excess of its own stay lent.
func (s *upstreamSlots) expireLoans(from primrosespar.Host, excess int, now time.Time) {
	lentBefore := s.lentTo(from)
	if lentBefore == 0 {
		return
	}
	s.loans[from] = slices.DeleteFunc(s.loans[from], func(l loan) bool { return !now.Before(l.until) })
	if remaining := min(lentBefore, excess); s.lentTo(from) < remaining {
		s.loans[from] = append(s.loans[from], loan{count: remaining, until: now})
	}
	if len(s.loans[from]) == 0 {
		delete(s.loans, from)
	}
}

// confirmHandovers ends the handovers of slots that the former owner no longer
// uses. Only the reply to a heartbeat that was sent after the change of owner
// proves that the former owner knew of the change.
func (s *upstreamSlots) confirmHandovers(from primrosespar.Host, sentAt, now time.Time) {
	for i := range s.slots {
		slot := &s.slots[i]
		if slot.formerOwner == from && slot.usableAt.After(now) && !sentAt.Before(slot.ownerChanged) {
			slot.endHandover(now)
		}
	}
}

// Owned returns how many slots of the upstream this host owns, including those
// whose handover has not ended.
func (d *Divider) Owned(name primrosespar.Upstream) int {
	if s := d.upstreams[name]; s != nil {
		return s.ownedBy(d.self)
	}
	return 0
}

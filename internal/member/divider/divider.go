// Package divider divides the slots of each upstream between the live hosts of
// a place, so that all hosts together stay within the slots of the upstream.
//
// The owner of a slot is the live host with the highest hash of (host,
// upstream, slot). A host stops using a lost slot at once. A host that gained
// one waits until an answer of the former owner shows it free, at most the
// handover time; it does not wait for a dead host. Idle slots are lent in
// answers to heartbeats for short terms.
//
// # Usage
//
// A Divider is not safe for concurrent use and reads no clock:
//
//	d := divider.New("host-1")
//	d.SetUpstreams(directory.Upstreams, now)
//	d.SetHosts(live, draining, now)
//	usage := d.Report("host-2", inFlight, wanted, peerWants, now) // for an answer
//	d.Observe("host-2", beat.Usage, sent, now)                       // from an answer
//	slots := d.Usable("runner-1", now)
package divider

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosespar.example/primrosespar"
)

// Times of the division of slots.
const (
	// Handover is how long a host waits for a slot of a live former owner.
	Handover = 3 * time.Second
	// PeerTimeout is the pause after which a host must expect that its peers
	// counted it as dead and took its slots.
	PeerTimeout = 3 * time.Second
	// LoanTerm is how long a lent slot may be used, from the moment the borrower
	// sent its heartbeat.
	LoanTerm = 2 * time.Second
	// margin covers the difference between the delays of two messages.
	margin = 250 * time.Millisecond
)

// Divider holds one host's view of the division.
type Divider struct {
	self      primrosespar.Host
	live      []primrosespar.Host
	draining  map[primrosespar.Host]bool
	upstreams map[primrosespar.Upstream]*share
	// reported is the last usage that each peer reported.
	reported map[primrosespar.Host]map[primrosespar.Upstream]int
	seen     time.Time
}

// share is the division of one upstream.
type share struct {
	slots []slot
	// lent holds the loans per borrower. The terms of successive loans
	// overlap, and the borrower may use the largest of them.
	lent     map[primrosespar.Host][]loan
	borrowed map[primrosespar.Host]loan
}

// slot is one slot of an upstream with its owner.
type slot struct {
	owner primrosespar.Host
	// former may still use the slot until usable; it is empty if nobody does.
	former  primrosespar.Host
	changed time.Time
	usable  time.Time
	// floor is the end of an earlier handover that this one interrupted; no
	// confirmation makes the slot usable before it.
	floor time.Time
}

// loan is a number of slots until a time.
type loan struct {
	count int
	until time.Time
}

// New returns a Divider that counts only itself as live.
func New(self primrosespar.Host) *Divider {
	return &Divider{
		self:      self,
		live:      []primrosespar.Host{self},
		draining:  map[primrosespar.Host]bool{},
		upstreams: map[primrosespar.Upstream]*share{},
		reported:  map[primrosespar.Host]map[primrosespar.Upstream]int{},
	}
}

// SetUpstreams takes the upstreams of the place. The slots of a new upstream
// are used after the handover time, since peers may have known it earlier
// with another set of live hosts.
func (d *Divider) SetUpstreams(entries []primrosespar.UpstreamEntry, now time.Time) {
	d.Touch(now)
	listed := make(map[primrosespar.Upstream]bool, len(entries))
	for _, e := range entries {
		listed[e.Upstream] = true
		s := d.upstreams[e.Upstream]
		if s == nil {
			s = &share{lent: map[primrosespar.Host][]loan{}, borrowed: map[primrosespar.Host]loan{}}
			d.upstreams[e.Upstream] = s
		}
		for len(s.slots) < e.Slots {
			owner := d.owner(e.Upstream, len(s.slots), "")
			fresh := slot{owner: owner, former: d.owner(e.Upstream, len(s.slots), owner)}
			fresh.changed, fresh.usable = now, now.Add(Handover)
			s.slots = append(s.slots, fresh)
		}
		s.slots = s.slots[:e.Slots]
	}
	for name := range d.upstreams {
		if !listed[name] {
			delete(d.upstreams, name)
		}
	}
}

// wait starts the handover of the slot.
func (s *slot) wait(now time.Time) {
	s.changed, s.usable = now, now.Add(Handover)
	if s.former == "" {
		s.usable = now
	}
}

// SetHosts takes the live hosts that serve and the draining ones, which finish
// their attempts but own no slot. A host in neither list is dead.
func (d *Divider) SetHosts(live, draining []primrosespar.Host, now time.Time) {
	d.Touch(now)
	next := slices.Clone(live)
	slices.Sort(next)
	d.draining = map[primrosespar.Host]bool{}
	for _, h := range draining {
		d.draining[h] = true
	}
	for h := range d.reported {
		if !d.draining[h] && !slices.Contains(next, h) {
			delete(d.reported, h)
			d.dropLoans(h)
		}
	}
	if slices.Equal(next, d.live) {
		return
	}
	d.live = next
	for name, s := range d.upstreams {
		for i := range s.slots {
			d.move(&s.slots[i], name, i, now)
		}
	}
}

// dropLoans takes back what a dead host borrowed.
func (d *Divider) dropLoans(h primrosespar.Host) {
	for _, s := range d.upstreams {
		delete(s.lent, h)
	}
}

// move gives the slot to its owner among the live hosts.
func (d *Divider) move(s *slot, name primrosespar.Upstream, index int, now time.Time) {
	owner := d.owner(name, index, "")
	if owner == s.owner {
		d.checkFormer(s, now)
		return
	}
	if s.usable.After(now) {
		s.floor = s.usable
	}
	s.owner, s.former = owner, s.owner
	s.wait(now)
	d.checkFormer(s, now)
}

// checkFormer ends the wait for a former owner that is dead.
func (d *Divider) checkFormer(s *slot, now time.Time) {
	if s.former == "" || d.draining[s.former] || slices.Contains(d.live, s.former) {
		return
	}
	s.release(now)
}

// release ends the wait for the former owner.
func (s *slot) release(now time.Time) {
	s.former = ""
	if s.usable.After(now) {
		s.usable = now
	}
	if s.floor.After(s.usable) {
		s.usable = s.floor
	}
}

// owner returns the live host with the highest hash, except one.
func (d *Divider) owner(name primrosespar.Upstream, index int, except primrosespar.Host) primrosespar.Host {
	var best primrosespar.Host
	var top uint64
	for _, h := range d.live {
		if h == except {
			continue
		}
		sum := xxhash.Sum64String(string(h) + "|" + string(name) + "|" + strconv.Itoa(index))
		if best == "" || sum > top {
			best, top = h, sum
		}
	}
	return best
}

// Touch must be called more often than PeerTimeout. After a longer pause the
// peers may have taken the slots of this host, so it waits for them again.
func (d *Divider) Touch(now time.Time) {
	paused := !d.seen.IsZero() && now.Sub(d.seen) >= PeerTimeout
	d.seen = now
	if !paused {
		return
	}
	for name, s := range d.upstreams {
		for i := range s.slots {
			if s.slots[i].owner == d.self {
				s.slots[i].former = d.owner(name, i, d.self)
				s.slots[i].wait(now)
			}
		}
	}
}

// Usable returns how many slots of the upstream this host may use: owned and
// handed over, less the lent ones, and the borrowed ones.
func (d *Divider) Usable(name primrosespar.Upstream, now time.Time) int {
	s := d.upstreams[name]
	if s == nil || (!d.seen.IsZero() && now.Sub(d.seen) >= PeerTimeout) {
		return 0
	}
	count := d.own(s, now) - s.lentOut()
	for _, l := range s.borrowed {
		if now.Before(l.until) {
			count += l.count
		}
	}
	return max(0, count)
}

// own counts the owned slots that are handed over.
func (d *Divider) own(s *share, now time.Time) int {
	count := 0
	for _, one := range s.slots {
		if one.owner == d.self && !one.usable.After(now) {
			count++
		}
	}
	return count
}

// lentOut counts the slots that borrowers may still use.
func (s *share) lentOut() int {
	count := 0
	for h := range s.lent {
		count += s.held(h)
	}
	return count
}

// held returns the slots that the borrower may still use.
func (s *share) held(h primrosespar.Host) int {
	count := 0
	for _, l := range s.lent[h] {
		count = max(count, l.count)
	}
	return count
}

// owned counts the slots of the host under the current view.
func (s *share) owned(h primrosespar.Host) int {
	count := 0
	for _, one := range s.slots {
		if one.owner == h {
			count++
		}
	}
	return count
}

// Report returns the usage for a heartbeat to the peer. Used includes lent
// slots, because they are not free for a new owner. An answer passes what the
// peer wanted in its heartbeat, and idle slots are lent to it.
func (d *Divider) Report(to primrosespar.Host, used map[primrosespar.Upstream]int, wanted, peerWants map[primrosespar.Upstream]int, now time.Time) []primrosespar.SlotUsage {
	var usage []primrosespar.SlotUsage
	for name, s := range d.upstreams {
		u := primrosespar.SlotUsage{Upstream: name, Wanted: wanted[name]}
		if want := peerWants[name]; want > 0 && to != d.self && slices.Contains(d.live, to) {
			u.Lent, u.Term = d.lend(s, to, want, used[name], now), LoanTerm
		}
		u.Used = used[name] + s.lentOut()
		if u.Used > 0 || u.Wanted > 0 || u.Lent > 0 {
			usage = append(usage, u)
		}
	}
	return usage
}

// lend renews or grants a loan. A loan is not renewed from slots that this
// host lost since, so their new owner gets them within one term.
func (d *Divider) lend(s *share, to primrosespar.Host, want, used int, now time.Time) int {
	idle := d.own(s, now) - s.lentOut() - used
	count := min(want, idle+s.held(to))
	if count <= 0 {
		return 0
	}
	s.lent[to] = append(s.lent[to], loan{count: count, until: now.Add(LoanTerm + margin)})
	return count
}

// Observe takes the usage that a peer reported. For an answer, sent is when this
// host sent the heartbeat; for a heartbeat of the peer's own it is zero.
func (d *Divider) Observe(from primrosespar.Host, usage []primrosespar.SlotUsage, sent, now time.Time) {
	used := make(map[primrosespar.Upstream]int, len(usage))
	for _, u := range usage {
		used[u.Upstream] = u.Used
		if s := d.upstreams[u.Upstream]; s != nil && !sent.IsZero() && u.Lent > 0 {
			s.borrowed[from] = loan{count: u.Lent, until: sent.Add(min(u.Term, LoanTerm))}
		}
	}
	d.reported[from] = used
	for name, s := range d.upstreams {
		excess := max(0, used[name]-s.owned(from))
		s.settle(from, excess, now)
		if excess == 0 && !sent.IsZero() {
			s.confirm(from, sent, now)
		}
	}
}

// settle drops the loans whose term is over, but for the slots that the
// borrower still uses beyond its own.
func (s *share) settle(from primrosespar.Host, excess int, now time.Time) {
	before := s.held(from)
	if before == 0 {
		return
	}
	s.lent[from] = slices.DeleteFunc(s.lent[from], func(l loan) bool { return !now.Before(l.until) })
	if kept := min(before, excess); s.held(from) < kept {
		s.lent[from] = append(s.lent[from], loan{count: kept, until: now})
	}
	if len(s.lent[from]) == 0 {
		delete(s.lent, from)
	}
}

// confirm ends the handover of slots that the former owner uses no more. Only
// an answer to a heartbeat sent after the change proves that it knew of it.
func (s *share) confirm(from primrosespar.Host, sent, now time.Time) {
	for i := range s.slots {
		one := &s.slots[i]
		if one.former == from && one.usable.After(now) && !sent.Before(one.changed) {
			one.release(now)
		}
	}
}

// Owned returns how many slots of the upstream this host owns, also those
// whose handover has not ended.
func (d *Divider) Owned(name primrosespar.Upstream) int {
	if s := d.upstreams[name]; s != nil {
		return s.owned(d.self)
	}
	return 0
}

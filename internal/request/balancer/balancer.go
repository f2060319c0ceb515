// Package balancer chooses an upstream with a free slot for each attempt and
// keeps failing and leaving upstreams out of the choice.
//
// Of two upstreams drawn at random, the one with the lower load times recent
// latency is taken. A failed attempt counts with at least twice the mean
// latency of all upstreams, so failing fast does not attract work. An upstream
// that fails too often is ejected for a growing time and then gets one probe.
//
// # Usage
//
// A Balancer is not safe for concurrent use and reads no clock:
//
//	b := balancer.New(balancer.WithRandom(random))
//	b.SetUpstreams(directory.Upstreams, now)
//	b.SetSlots("runner-1", 3) // slots that this host may use
//	target, ok := b.Pick(call.Exclude, now)
//	b.Done(target.Upstream, outcome, now)
package balancer

import (
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Limits of the breaker. Five failures in a row, or more than half of the
// recent outcomes, eject an upstream.
const (
	failuresInRow   = 5
	failureRatio    = 0.5
	leastSamples    = 10
	outcomeWeight   = 0.1
	latencyWeight   = 0.2
	failurePenalty  = 2
	peerPenalty     = 4
	ejectedFraction = 3
)

// Ejection times double from the first to the longest.
const (
	firstEjection   = 5 * time.Second
	longestEjection = 5 * time.Minute
)

// leaveMemory is how long an announced leaving is remembered while the list
// names the upstream as live. A restarted upstream is tried again after it.
const leaveMemory = 5 * time.Minute

// initialLatency stands for the latency before the first sample.
const initialLatency = 50 * time.Millisecond

// Option sets up a Balancer.
type Option func(*Balancer)

// WithRandom sets the function that draws from 0 to n-1. Without it the two
// choices go round all upstreams in turn.
func WithRandom(random func(n int) int) Option {
	return func(b *Balancer) { b.random = random }
}

// Balancer holds the upstreams of one place as one host sees them.
type Balancer struct {
	random    func(n int) int
	upstreams map[primrosespar.Upstream]*upstream
	// open holds the upstreams that can take an attempt now.
	open    []*upstream
	ejected []*upstream
	// returns is the earliest end of an ejection.
	returns time.Time
	latency float64
	turn    int
	// present counts the upstreams that are not leaving.
	present int
}

// upstream is the state of one upstream.
type upstream struct {
	entry       primrosespar.UpstreamEntry
	slots       int
	used        int
	index       int
	latency     float64
	row         int
	samples     int
	ratio       float64
	ejections   int
	ejectedTill time.Time
	ejected     bool
	probing     bool
	announced   time.Time
	own         bool
	peerEjected bool
}

// absent is the index of an upstream that is not open.
const absent = -1

// New returns a Balancer without upstreams.
func New(opts ...Option) *Balancer {
	b := &Balancer{upstreams: map[primrosespar.Upstream]*upstream{}, latency: initialLatency.Seconds()}
	b.random = func(n int) int { b.turn++; return b.turn % n }
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetUpstreams takes the lagging list. An upstream that is no longer listed is
// forgotten once its attempts ended.
func (b *Balancer) SetUpstreams(entries []primrosespar.UpstreamEntry, now time.Time) {
	listed := make(map[primrosespar.Upstream]bool, len(entries))
	for _, e := range entries {
		listed[e.Upstream] = true
		u := b.upstreams[e.Upstream]
		if u == nil || u.entry.Address != e.Address {
			u = b.replace(u, e)
		}
		u.entry = e
		b.refresh(u, now)
	}
	for name, u := range b.upstreams {
		if listed[name] {
			continue
		}
		u.entry.Leaving = true
		b.refresh(u, now)
		// A list that flaps must not erase the announcement.
		remembered := !u.announced.IsZero() && now.Sub(u.announced) < leaveMemory
		if u.used == 0 && !remembered {
			b.readmit(u)
			delete(b.upstreams, name)
		}
	}
	b.count(now)
	b.keepFloor(now)
}

// replace starts a new upstream under a name, or a new one at another
// address; attempts in flight keep their slots.
func (b *Balancer) replace(old *upstream, e primrosespar.UpstreamEntry) *upstream {
	u := &upstream{entry: e, index: absent}
	if old != nil {
		u.slots, u.used = old.slots, old.used
		b.readmit(old)
		b.close(old)
	}
	b.upstreams[e.Upstream] = u
	return u
}

// SetSlots sets the number of slots that this host may use at the upstream.
// Attempts beyond it finish.
func (b *Balancer) SetSlots(name primrosespar.Upstream, slots int, now time.Time) {
	if u := b.upstreams[name]; u != nil && u.slots != slots {
		u.slots = slots
		b.refresh(u, now)
	}
}

// MarkLeaving notes that a peer saw the upstream announce its leaving.
func (b *Balancer) MarkLeaving(name primrosespar.Upstream, now time.Time) {
	if u := b.upstreams[name]; u != nil {
		b.leave(u, false, now)
	}
}

// SetPeerEjected takes the upstreams that peers have ejected. They count as
// slower but are not ejected here, so one faulty host cannot close the place.
func (b *Balancer) SetPeerEjected(names []primrosespar.Upstream) {
	for _, u := range b.upstreams {
		u.peerEjected = false
	}
	for _, name := range names {
		if u := b.upstreams[name]; u != nil {
			u.peerEjected = true
		}
	}
}

// leave notes an announcement and closes the upstream at once.
func (b *Balancer) leave(u *upstream, own bool, now time.Time) {
	if !u.announced.IsZero() && now.Sub(u.announced) >= leaveMemory {
		u.own = false
	}
	if own || !u.own {
		u.announced = now
	}
	u.own = u.own || own
	b.refresh(u, now)
	b.count(now)
	b.keepFloor(now)
}

// leaving reports whether the upstream may get no new work.
func (u *upstream) leaving(now time.Time) bool {
	return u.entry.Leaving || (!u.announced.IsZero() && now.Sub(u.announced) < leaveMemory)
}

// count updates the number of upstreams that are not leaving.
func (b *Balancer) count(now time.Time) {
	b.present = 0
	for _, u := range b.upstreams {
		if !u.leaving(now) {
			b.present++
		}
	}
}

// refresh opens or closes the upstream after a change.
func (b *Balancer) refresh(u *upstream, now time.Time) {
	usable := u.used < u.slots && !u.ejected && !u.leaving(now)
	if u.probing {
		usable = usable && u.used == 0
	}
	if !usable {
		b.close(u)
		return
	}
	if u.index == absent {
		u.index = len(b.open)
		b.open = append(b.open, u)
	}
}

// close takes the upstream out of the open ones.
func (b *Balancer) close(u *upstream) {
	if u.index == absent {
		return
	}
	last := b.open[len(b.open)-1]
	b.open[u.index], last.index = last, u.index
	b.open = b.open[:len(b.open)-1]
	u.index = absent
}

// Free reports whether any upstream can take an attempt.
func (b *Balancer) Free(now time.Time) bool {
	b.endEjections(now)
	return len(b.open) > 0
}

// Pick takes a slot at an upstream. Excluded upstreams are taken only if no
// other one is open.
func (b *Balancer) Pick(exclude []primrosespar.Upstream, now time.Time) (primrosespar.UpstreamEntry, bool) {
	b.endEjections(now)
	if len(b.open) == 0 {
		return primrosespar.UpstreamEntry{}, false
	}
	first, second := b.draw(exclude), b.draw(exclude)
	if b.score(second) < b.score(first) {
		first = second
	}
	first.used++
	b.refresh(first, now)
	return first.entry, true
}

// draw returns a random open upstream, with a walk past excluded ones that is
// bounded by the number of excluded names.
func (b *Balancer) draw(exclude []primrosespar.Upstream) *upstream {
	at := b.random(len(b.open))
	for i := 0; i <= len(exclude) && i < len(b.open); i++ {
		u := b.open[(at+i)%len(b.open)]
		if !slices.Contains(exclude, u.entry.Upstream) {
			return u
		}
	}
	return b.open[at]
}

// score is the load after one more attempt times the recent latency.
func (b *Balancer) score(u *upstream) float64 {
	latency := u.latency
	if latency == 0 {
		latency = b.latency
	}
	if u.peerEjected {
		latency *= peerPenalty
	}
	return float64(u.used+1) / float64(u.slots) * latency
}

// Done gives the slot back and notes the outcome.
func (b *Balancer) Done(name primrosespar.Upstream, outcome primrosespar.AttemptOutcome, now time.Time) {
	u := b.upstreams[name]
	if u == nil {
		return
	}
	u.used = max(0, u.used-1)
	switch verdictOf(outcome) {
	case served:
		b.succeed(u, outcome.Latency.Seconds())
	case failed:
		b.fail(u, outcome.Latency.Seconds(), now)
	case neutral:
	}
	if outcome.Leaving || outcome.Code == primrosespar.CodeUpstreamLeaving {
		b.leave(u, true, now)
	}
	b.refresh(u, now)
}

// succeed notes a served attempt; a served probe ends the ejection.
func (b *Balancer) succeed(u *upstream, latency float64) {
	u.row = 0
	u.samples++
	u.ratio -= outcomeWeight * u.ratio
	u.sample(latency)
	b.latency += latencyWeight / 10 * (latency - b.latency)
	if u.probing {
		b.readmit(u)
		u.ratio, u.samples = 0, 0
	} else if u.samples >= 10*leastSamples {
		u.ejections = 0
	}
}

// fail notes a failed attempt and ejects the upstream if it fails too often.
func (b *Balancer) fail(u *upstream, latency float64, now time.Time) {
	u.row++
	u.samples++
	u.ratio += outcomeWeight * (1 - u.ratio)
	u.sample(math.Max(latency, math.Max(failurePenalty*b.latency, u.latency)))
	often := u.samples >= leastSamples && u.ratio > failureRatio
	if u.probing || u.row >= failuresInRow || often {
		b.eject(u, now)
	}
}

// sample adds a latency to the moving estimate.
func (u *upstream) sample(latency float64) {
	if u.latency == 0 {
		u.latency = latency
		return
	}
	u.latency += latencyWeight * (latency - u.latency)
}

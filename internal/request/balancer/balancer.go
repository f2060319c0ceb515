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
	maxConsecutiveFailures = 5
	maxFailureRatio        = 0.5
	minSamples             = 10
	outcomeSampleWeight    = 0.1
	latencySampleWeight    = 0.2
	failurePenalty         = 2
	peerPenalty            = 4
	maxEjectedDivisor      = 3
)

// Ejection times double from the first to the longest.
const (
	firstEjection = 5 * time.Second
	maxEjection   = 5 * time.Minute
)

// leavingTTL is how long an announced leaving is remembered while the list
// names the upstream as live. A restarted upstream is tried again after it.
const leavingTTL = 5 * time.Minute

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
	// available holds the upstreams that can take an attempt now.
	available []*upstream
	ejected   []*upstream
	// nextEjectionEnd is the earliest end of an ejection.
	nextEjectionEnd time.Time
	meanLatency     float64
	nextTurn        int
	// presentCount counts the upstreams that are not leaving.
	presentCount int
}

// upstream is the state of one upstream.
type upstream struct {
	entry               primrosespar.UpstreamEntry
	slots               int
	used                int
	availableIndex      int
	meanLatency         float64
	consecutiveFailures int
	samples             int
	failureRatio        float64
	ejections           int
	ejectedUntil        time.Time
	ejected             bool
	probing             bool
	leavingSince        time.Time
	announcedHere       bool
	peerEjected         bool
}

// notAvailable is the index of an upstream that is not open.
const notAvailable = -1

// New returns a Balancer without upstreams.
func New(opts ...Option) *Balancer {
	b := &Balancer{upstreams: map[primrosespar.Upstream]*upstream{}, meanLatency: initialLatency.Seconds()}
	b.random = func(n int) int { b.nextTurn++; return b.nextTurn % n }
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
		b.updateAvailable(u, now)
	}
	for name, u := range b.upstreams {
		if listed[name] {
			continue
		}
		u.entry.Leaving = true
		b.updateAvailable(u, now)
		// A list that flaps must not erase the announcement.
		remembered := !u.leavingSince.IsZero() && now.Sub(u.leavingSince) < leavingTTL
		if u.used == 0 && !remembered {
			b.readmit(u)
			delete(b.upstreams, name)
		}
	}
	b.countPresent(now)
	b.limitEjections(now)
}

// replace starts a new upstream under a name, or a new one at another
// address; attempts in flight keep their slots.
func (b *Balancer) replace(old *upstream, e primrosespar.UpstreamEntry) *upstream {
	u := &upstream{entry: e, availableIndex: notAvailable}
	if old != nil {
		u.slots, u.used = old.slots, old.used
		b.readmit(old)
		b.makeUnavailable(old)
	}
	b.upstreams[e.Upstream] = u
	return u
}

// SetSlots sets the number of slots that this host may use at the upstream.
// Attempts beyond it finish.
func (b *Balancer) SetSlots(name primrosespar.Upstream, slots int, now time.Time) {
	if u := b.upstreams[name]; u != nil && u.slots != slots {
		u.slots = slots
		b.updateAvailable(u, now)
	}
}

// MarkLeaving notes that a peer saw the upstream announce its leaving.
func (b *Balancer) MarkLeaving(name primrosespar.Upstream, now time.Time) {
	if u := b.upstreams[name]; u != nil {
		b.markLeaving(u, false, now)
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

// markLeaving notes an announcement and closes the upstream at once.
func (b *Balancer) markLeaving(u *upstream, announcedHere bool, now time.Time) {
	if !u.leavingSince.IsZero() && now.Sub(u.leavingSince) >= leavingTTL {
		u.announcedHere = false
	}
	if announcedHere || !u.announcedHere {
		u.leavingSince = now
	}
	u.announcedHere = u.announcedHere || announcedHere
	b.updateAvailable(u, now)
	b.countPresent(now)
	b.limitEjections(now)
}

// leaving reports whether the upstream may get no new work.
func (u *upstream) leaving(now time.Time) bool {
	return u.entry.Leaving || (!u.leavingSince.IsZero() && now.Sub(u.leavingSince) < leavingTTL)
}

// countPresent updates the number of upstreams that are not leaving.
func (b *Balancer) countPresent(now time.Time) {
	b.presentCount = 0
	for _, u := range b.upstreams {
		if !u.leaving(now) {
			b.presentCount++
		}
	}
}

// updateAvailable opens or closes the upstream after a change.
func (b *Balancer) updateAvailable(u *upstream, now time.Time) {
	available := u.used < u.slots && !u.ejected && !u.leaving(now)
	if u.probing {
		available = available && u.used == 0
	}
	if !available {
		b.makeUnavailable(u)
		return
	}
	if u.availableIndex == notAvailable {
		u.availableIndex = len(b.available)
		b.available = append(b.available, u)
	}
}

// makeUnavailable takes the upstream out of the open ones.
func (b *Balancer) makeUnavailable(u *upstream) {
	if u.availableIndex == notAvailable {
		return
	}
	last := b.available[len(b.available)-1]
	b.available[u.availableIndex], last.availableIndex = last, u.availableIndex
	b.available = b.available[:len(b.available)-1]
	u.availableIndex = notAvailable
}

// Free reports whether any upstream can take an attempt.
func (b *Balancer) Free(now time.Time) bool {
	b.endEjections(now)
	return len(b.available) > 0
}

// Pick takes a slot at an upstream. Excluded upstreams are taken only if no
// other one is open.
func (b *Balancer) Pick(exclude []primrosespar.Upstream, now time.Time) (primrosespar.UpstreamEntry, bool) {
	b.endEjections(now)
	if len(b.available) == 0 {
		return primrosespar.UpstreamEntry{}, false
	}
	chosen, other := b.drawAvailable(exclude), b.drawAvailable(exclude)
	if b.score(other) < b.score(chosen) {
		chosen = other
	}
	chosen.used++
	b.updateAvailable(chosen, now)
	return chosen.entry, true
}

// drawAvailable returns a random open upstream, with a walk past excluded ones that is
// bounded by the number of excluded names.
func (b *Balancer) drawAvailable(exclude []primrosespar.Upstream) *upstream {
	start := b.random(len(b.available))
	for i := 0; i <= len(exclude) && i < len(b.available); i++ {
		u := b.available[(start+i)%len(b.available)]
		if !slices.Contains(exclude, u.entry.Upstream) {
			return u
		}
	}
	return b.available[start]
}

// score is the load after one more attempt times the recent latency.
func (b *Balancer) score(u *upstream) float64 {
	latency := u.meanLatency
	if latency == 0 {
		latency = b.meanLatency
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
	switch classify(outcome) {
	case outcomeServed:
		b.recordSuccess(u, outcome.Latency.Seconds())
	case outcomeFailed:
		b.recordFailure(u, outcome.Latency.Seconds(), now)
	case outcomeNeutral:
	}
	if outcome.Leaving || outcome.Code == primrosespar.CodeUpstreamLeaving {
		b.markLeaving(u, true, now)
	}
	b.updateAvailable(u, now)
}

// recordSuccess notes a served attempt; a served probe ends the ejection.
func (b *Balancer) recordSuccess(u *upstream, latency float64) {
	u.consecutiveFailures = 0
	u.samples++
	u.failureRatio -= outcomeSampleWeight * u.failureRatio
	u.addLatency(latency)
	b.meanLatency += latencySampleWeight / 10 * (latency - b.meanLatency)
	if u.probing {
		b.readmit(u)
		u.failureRatio, u.samples = 0, 0
	} else if u.samples >= 10*minSamples {
		u.ejections = 0
	}
}

// recordFailure notes a failed attempt and ejects the upstream if it fails too often.
func (b *Balancer) recordFailure(u *upstream, latency float64, now time.Time) {
	u.consecutiveFailures++
	u.samples++
	u.failureRatio += outcomeSampleWeight * (1 - u.failureRatio)
	u.addLatency(math.Max(latency, math.Max(failurePenalty*b.meanLatency, u.meanLatency)))
	ratioExceeded := u.samples >= minSamples && u.failureRatio > maxFailureRatio
	if u.probing || u.consecutiveFailures >= maxConsecutiveFailures || ratioExceeded {
		b.eject(u, now)
	}
}

// addLatency adds a latency to the moving estimate.
func (u *upstream) addLatency(latency float64) {
	if u.meanLatency == 0 {
		u.meanLatency = latency
		return
	}
	u.meanLatency += latencySampleWeight * (latency - u.meanLatency)
}

// Package balancer chooses an upstream with a free slot for each attempt and
// excludes failing and leaving upstreams.
//
// It uses the power of two choices: of two upstreams drawn at random it picks
// the one with the lower product of load and recent latency. A failed attempt
// counts with at least twice the mean latency of all upstreams, so that an
// upstream that fails fast does not attract more work. An upstream that fails
// too often is ejected, for longer each time, and is readmitted after one
// successful probe.
//
// # Usage
//
// A Balancer is not safe for concurrent use and reads no clock:
//
//	b := balancer.New(balancer.WithRandom(random))
//	b.SetUpstreams(directory.Upstreams, now)
//	b.SetSlots("upstream-1", 3, now) // slots that this host may use
//	target, ok := b.Pick(call.Exclude, now)
//	b.Done(target.Upstream, outcome, now)
package balancer

import (
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Parameters of the outlier detection. An upstream is ejected after
// maxConsecutiveFailures, or if more than maxFailureRatio of its recent
// outcomes are failures and it has at least minSamples. The sample weights are
// those of the exponential moving averages. failurePenalty times the mean
// latency is the least latency of a failed attempt; peerPenalty multiplies the
// latency of an upstream that peers have ejected. At most one in
// maxEjectedDivisor of the upstreams that are not leaving is ejected at the
// same time.
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

// The duration of an ejection doubles from firstEjection up to maxEjection.
const (
	firstEjection = 5 * time.Second
	maxEjection   = 5 * time.Minute
)

// leavingTTL is how long an announcement of leaving is remembered while the
// list still shows the upstream as live. After that the upstream is used again,
// since it may have restarted.
const leavingTTL = 5 * time.Minute

// initialLatency is the mean latency of all upstreams before the first sample.
const initialLatency = 50 * time.Millisecond

// Option sets up a Balancer.
type Option func(*Balancer)

// WithRandom sets the function that returns a random number from 0 to n-1.
// Without it the two candidates are taken round-robin.
func WithRandom(random func(n int) int) Option {
	return func(b *Balancer) { b.random = random }
}

// Balancer holds the state of the upstreams of one place, as seen by one host.
type Balancer struct {
	random    func(n int) int
	upstreams map[primrosespar.Upstream]*upstream
	// available holds the upstreams that can take an attempt now, in no order.
	available []*upstream
	ejected   []*upstream
	// nextEjectionEnd is the earliest end of a current ejection, zero if none.
	nextEjectionEnd time.Time
	// meanLatency is the moving average over all upstreams in seconds.
	meanLatency float64
	nextTurn    int
	// presentCount counts the upstreams that are not leaving.
	presentCount int
}

// upstream is the state of one upstream.
type upstream struct {
	entry          primrosespar.UpstreamEntry
	slots          int
	used           int
	availableIndex int
	// meanLatency is the moving average in seconds, zero without a sample.
	meanLatency         float64
	consecutiveFailures int
	samples             int
	// failureRatio is the moving average of the outcomes, failures as 1.
	failureRatio float64
	// ejections is the number of recent ejections, which sets the duration of
	// the next one.
	ejections    int
	ejectedUntil time.Time
	ejected      bool
	// probing is set between the end of an ejection and the outcome of its
	// probe.
	probing bool
	// leavingSince is the time of the last announcement of leaving, zero if
	// none.
	leavingSince time.Time
	// announcedHere is set if this host received the announcement itself.
	announcedHere bool
	peerEjected   bool
}

// notAvailable is the availableIndex of an upstream that can take no attempt.
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

// SetUpstreams applies the platform's list of upstreams, which may lag behind.
// An upstream that is no longer listed is removed once its attempts have ended.
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
		// The announcement must survive an upstream that briefly drops out of
		// the list.
		remembered := !u.leavingSince.IsZero() && now.Sub(u.leavingSince) < leavingTTL
		if u.used == 0 && !remembered {
			b.readmit(u)
			delete(b.upstreams, name)
		}
	}
	b.countPresent(now)
	b.limitEjections(now)
}

// replace adds an upstream with fresh state, either under a new name or in
// place of old if its address changed. Attempts in flight keep their slots.
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
// Attempts in flight beyond that number continue.
func (b *Balancer) SetSlots(name primrosespar.Upstream, slots int, now time.Time) {
	if u := b.upstreams[name]; u != nil && u.slots != slots {
		u.slots = slots
		b.updateAvailable(u, now)
	}
}

// MarkLeaving records that a peer received the upstream's announcement that it
// is leaving.
func (b *Balancer) MarkLeaving(name primrosespar.Upstream, now time.Time) {
	if u := b.upstreams[name]; u != nil {
		b.markLeaving(u, false, now)
	}
}

// SetPeerEjected sets the upstreams that peers have ejected. They count as
// slower but are not ejected here, so that one faulty host cannot make all
// upstreams of the place unavailable.
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

// markLeaving records an announcement and makes the upstream unavailable at
// once. An announcement from a peer does not extend one received here.
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

// leaving reports whether the upstream gets no new work because it is leaving.
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

// updateAvailable adds the upstream to the available ones or removes it after a
// change. An upstream that is being probed takes one attempt at a time.
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

// makeUnavailable removes the upstream from the available ones.
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

// Pick chooses an available upstream and takes one of its slots. It avoids the
// excluded upstreams but takes one of them rather than none. It returns false
// if no upstream is available.
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

// drawAvailable returns a random available upstream. It skips excluded
// upstreams, at most as many as there are excluded names.
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

// score returns the load after one more attempt times the recent latency; lower
// is better.
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

// Done releases the slot and records the outcome of its attempt.
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

// recordSuccess records a served attempt. A served probe ends the ejection.
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

// recordFailure records a failed attempt and ejects the upstream if it was a
// probe or if the upstream fails too often.
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

// addLatency adds a sample to the moving average of the latency.
func (u *upstream) addLatency(latency float64) {
	if u.meanLatency == 0 {
		u.meanLatency = latency
		return
	}
	u.meanLatency += latencySampleWeight * (latency - u.meanLatency)
}

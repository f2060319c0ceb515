package balancer

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// classification is what an outcome says about the health of the upstream.
type classification int

const (
	outcomeNeutral classification = iota
	outcomeServed
	outcomeFailed
)

// classify returns what an outcome says about the upstream. An upstream without
// free slots, a caller that disconnected and a limit of this host are neutral.
func classify(o primrosespar.AttemptOutcome) classification {
	switch o.Code {
	case primrosespar.CodeOK, primrosespar.CodeReplayed:
		return outcomeServed
	case primrosespar.CodeUpstreamError, primrosespar.CodeAnswerTruncated, primrosespar.CodeOutcomeUnknown, primrosespar.CodeDeadlinePassed:
		return outcomeFailed
	case primrosespar.CodeNotRun:
		if o.Leaving {
			return outcomeNeutral
		}
		return outcomeFailed
	default:
		return outcomeNeutral
	}
}

// eject makes the upstream unavailable for a time that doubles with each
// ejection. If the maximum number of upstreams is already ejected, it does
// nothing and the next failure is checked again. A failed probe is always
// ejected again.
func (b *Balancer) eject(u *upstream, now time.Time) {
	wasProbing := u.probing
	if !wasProbing && len(b.ejected) >= b.presentCount/maxEjectedDivisor {
		return
	}
	if u.ejected {
		return
	}
	duration := maxEjection
	if u.ejections < 6 {
		duration = min(duration, firstEjection<<u.ejections)
	}
	u.ejections++
	u.ejected, u.probing = true, false
	u.consecutiveFailures = 0
	u.ejectedUntil = now.Add(duration)
	if !wasProbing {
		b.ejected = append(b.ejected, u)
	}
	if b.nextEjectionEnd.IsZero() || u.ejectedUntil.Before(b.nextEjectionEnd) {
		b.nextEjectionEnd = u.ejectedUntil
	}
	b.updateAvailable(u, now)
}

// endEjections lets each upstream whose ejection has ended take one probe. It
// scans the ejected upstreams only once nextEjectionEnd has passed.
func (b *Balancer) endEjections(now time.Time) {
	if b.nextEjectionEnd.IsZero() || now.Before(b.nextEjectionEnd) {
		return
	}
	b.nextEjectionEnd = time.Time{}
	for _, u := range b.ejected {
		if !u.ejected {
			continue
		}
		if !now.Before(u.ejectedUntil) {
			u.ejected, u.probing = false, true
			b.updateAvailable(u, now)
			continue
		}
		if b.nextEjectionEnd.IsZero() || u.ejectedUntil.Before(b.nextEjectionEnd) {
			b.nextEjectionEnd = u.ejectedUntil
		}
	}
}

// readmit ends the ejection or the probe of the upstream.
func (b *Balancer) readmit(u *upstream) {
	u.ejected, u.probing = false, false
	b.ejected = slices.DeleteFunc(b.ejected, func(o *upstream) bool { return o == u })
}

// limitEjections ends the ejection of leaving upstreams, and the oldest ones
// while more than the maximum for the upstreams present are ejected.
func (b *Balancer) limitEjections(now time.Time) {
	b.ejected = slices.DeleteFunc(b.ejected, func(u *upstream) bool {
		leaving := u.leaving(now)
		if leaving {
			u.ejected, u.probing = false, false
		}
		return leaving
	})
	for len(b.ejected) > b.presentCount/maxEjectedDivisor {
		u := b.ejected[0]
		b.readmit(u)
		b.updateAvailable(u, now)
	}
}

// Ejected returns the upstreams that are ejected or being probed.
func (b *Balancer) Ejected() []primrosespar.Upstream {
	names := make([]primrosespar.Upstream, 0, len(b.ejected))
	for _, u := range b.ejected {
		names = append(names, u.entry.Upstream)
	}
	return names
}

// Leaving returns the upstreams whose announcement of leaving this host
// received itself. Announcements that peers passed on are left out, since
// otherwise hosts would keep renewing them for each other.
func (b *Balancer) Leaving(now time.Time) []primrosespar.Upstream {
	var names []primrosespar.Upstream
	for name, u := range b.upstreams {
		if u.announcedHere && now.Sub(u.leavingSince) < leavingTTL {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Used returns the number of attempts in flight at each upstream that has any.
func (b *Balancer) Used() map[primrosespar.Upstream]int {
	used := map[primrosespar.Upstream]int{}
	for name, u := range b.upstreams {
		if u.used > 0 {
			used[name] = u.used
		}
	}
	return used
}

// Candidates returns the upstreams that are neither ejected, probed nor
// leaving, whether or not they have free slots.
func (b *Balancer) Candidates(now time.Time) []primrosespar.Upstream {
	var names []primrosespar.Upstream
	for name, u := range b.upstreams {
		if !u.ejected && !u.probing && !u.leaving(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

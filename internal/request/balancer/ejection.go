package balancer

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// verdict is what an outcome says about the upstream.
type verdict int

const (
	neutral verdict = iota
	served
	failed
)

// verdictOf sorts outcomes. A full upstream, a caller that left and a limit
// of the own host say nothing about the upstream's health.
func verdictOf(o primrosespar.AttemptOutcome) verdict {
	switch o.Code {
	case primrosespar.CodeOK, primrosespar.CodeReplayed:
		return served
	case primrosespar.CodeUpstreamError, primrosespar.CodeAnswerTruncated, primrosespar.CodeOutcomeUnknown, primrosespar.CodeDeadlinePassed:
		return failed
	case primrosespar.CodeNotRun:
		if o.Leaving {
			return neutral
		}
		return failed
	default:
		return neutral
	}
}

// eject closes the upstream for a time that doubles with each ejection. An
// upstream above the floor stays open and is judged again.
func (b *Balancer) eject(u *upstream, now time.Time) {
	wasProbing := u.probing
	if !wasProbing && len(b.ejected) >= b.present/ejectedFraction {
		return
	}
	if u.ejected {
		return
	}
	span := longestEjection
	if u.ejections < 6 {
		span = min(span, firstEjection<<u.ejections)
	}
	u.ejections++
	u.ejected, u.probing = true, false
	u.row = 0
	u.ejectedTill = now.Add(span)
	if !wasProbing {
		b.ejected = append(b.ejected, u)
	}
	if b.returns.IsZero() || u.ejectedTill.Before(b.returns) {
		b.returns = u.ejectedTill
	}
	b.refresh(u, now)
}

// endEjections lets the upstreams whose ejection ended take one probe. The
// scan is over ejected upstreams and only when one of them is due.
func (b *Balancer) endEjections(now time.Time) {
	if b.returns.IsZero() || now.Before(b.returns) {
		return
	}
	b.returns = time.Time{}
	for _, u := range b.ejected {
		if !u.ejected {
			continue
		}
		if !now.Before(u.ejectedTill) {
			u.ejected, u.probing = false, true
			b.refresh(u, now)
			continue
		}
		if b.returns.IsZero() || u.ejectedTill.Before(b.returns) {
			b.returns = u.ejectedTill
		}
	}
}

// readmit ends the ejection of the upstream.
func (b *Balancer) readmit(u *upstream) {
	u.ejected, u.probing = false, false
	b.ejected = slices.DeleteFunc(b.ejected, func(o *upstream) bool { return o == u })
}

// keepFloor ends the oldest ejections when fewer upstreams are present.
func (b *Balancer) keepFloor(now time.Time) {
	b.ejected = slices.DeleteFunc(b.ejected, func(u *upstream) bool {
		gone := u.leaving(now)
		if gone {
			u.ejected, u.probing = false, false
		}
		return gone
	})
	for len(b.ejected) > b.present/ejectedFraction {
		u := b.ejected[0]
		b.readmit(u)
		b.refresh(u, now)
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

// Leaving returns the upstreams whose announcement this host itself received.
// Announcements of peers are left out so that hosts don't renew each other's
// memory.
func (b *Balancer) Leaving(now time.Time) []primrosespar.Upstream {
	var names []primrosespar.Upstream
	for name, u := range b.upstreams {
		if u.own && now.Sub(u.announced) < leaveMemory {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Used returns the attempts in flight per upstream, without idle ones.
func (b *Balancer) Used() map[primrosespar.Upstream]int {
	used := map[primrosespar.Upstream]int{}
	for name, u := range b.upstreams {
		if u.used > 0 {
			used[name] = u.used
		}
	}
	return used
}

// Candidates returns the upstreams that would be used if they had free slots.
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

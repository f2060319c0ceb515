package submitter

import (
	"context"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/postponer"
)

// change is a change of a job at the holder, if that is this host or another
// one, and through the inbox.
type change struct {
	local  func(context.Context, Term) error
	remote func(context.Context, netip.AddrPort) error
	inbox  func(context.Context) error
}

// submitChange makes a change. While it cannot be made, it is held or refused as
// the postponer decides. Once an attempt may have taken effect, only another
// attempt can tell, so that the call is held as long as its caller waits.
func (s *Submitter) submitChange(ctx context.Context, call postponer.Call, c change) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTime)
		defer cancel()
	}
	if remaining := s.remaining(ctx); remaining < s.leastCallTime() {
		return primrosespar.Fail(primrosespar.CodeWouldBeLate, "the caller waits for %s only", remaining)
	}
	outcomeUnknown := false
	for {
		err := s.tryChange(ctx, c)
		code := primrosespar.CodeOf(err)
		if code == primrosespar.CodeForbidden || !isInterruption(code) {
			return withUnknownOutcome(err, outcomeUnknown && code != primrosespar.CodeForbidden)
		}
		outcomeUnknown = outcomeUnknown || code == primrosespar.CodeOutcomeUnknown
		if ctx.Err() != nil {
			// The caller has gone or its time is over.
			return withUnknownOutcome(err, outcomeUnknown)
		}
		call.Remaining = s.remaining(ctx) - attemptMargin
		age, held, heldBytes := s.gate.outage()
		d := s.postponer.Decide(call, postponer.Outage{Age: age, Held: held, HeldBytes: heldBytes})
		if outcomeUnknown {
			d.Hold = call.Remaining
		}
		// Other calls may have taken the last room since the decision.
		hasRoom := func(held int, heldBytes int64) bool {
			return s.postponer.HasRoom(call, postponer.Outage{Held: held, HeldBytes: heldBytes})
		}
		if d.Hold <= 0 || !s.gate.reserve(call.Bytes, hasRoom) {
			refusal := primrosespar.Fail(primrosespar.CodeStoreUnavailable, "no service for %s", age.Round(time.Millisecond))
			return withUnknownOutcome(refusal.WithRetryAfter(d.RetryAfter).WithCause(err), outcomeUnknown)
		}
		s.gate.hold(ctx, d.Hold, call.Bytes)
	}
}

// Interruption returns for how long there has been no service for changes, 0 if
// there is, and how many calls the host holds.
func (s *Submitter) Interruption() (age time.Duration, held int) {
	age, held, _ = s.gate.outage()
	return age, held
}

// remaining returns how long the caller still waits.
func (s *Submitter) remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return deadline.Sub(s.parts.Clock.Now())
}

// leastCallTime returns the time below which a change is not tried, because it
// would not be answered in time.
func (s *Submitter) leastCallTime() time.Duration {
	return min(time.Duration(s.servedTime.Load()), maxLeastCallTime)
}

// isInterruption reports whether a failure says that no change can be made at
// the moment, and not that this one is refused.
func isInterruption(code primrosespar.Code) bool {
	switch code {
	case primrosespar.CodeStoreUnavailable, primrosespar.CodeStoreUnknown, primrosespar.CodeOutcomeUnknown,
		primrosespar.CodeNotHolder, primrosespar.CodePeerUnavailable:
		return true
	default:
		return false
	}
}

// tryChange makes one attempt, if the gate lets it.
func (s *Submitter) tryChange(ctx context.Context, c change) (err error) {
	if ctx.Err() != nil {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the caller has gone")
	}
	probe, ok := s.gate.enter()
	if !ok {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "another call tries whether there is service")
	}
	startedAt := s.parts.Clock.Now()
	served, interrupted := false, false
	defer func() {
		if s.gate.leave(probe, served, interrupted) {
			s.parts.Search()
		}
	}()
	err = s.attempt(ctx, c, probe)
	switch served = !isInterruption(primrosespar.CodeOf(err)); {
	case !served:
		// A caller that did not wait long enough says nothing of the service.
		interrupted = ctx.Err() == nil
	case err == nil:
		s.servedTime.Store(int64(s.parts.Clock.Since(startedAt)))
	}
	return err
}

// attempt makes a change at the holder, or through the inbox if the holder
// cannot be reached or does not know the job. A probe follows others that have
// searched the holder.
func (s *Submitter) attempt(ctx context.Context, c change, probe bool) error {
	startedAt := s.parts.Clock.Now()
	for searched := false; ; searched = true {
		if probe {
			s.gate.setSent(true)
		}
		err := s.callHolder(ctx, c)
		if probe {
			s.gate.setSent(false)
		}
		code := primrosespar.CodeOf(err)
		if err == nil || isFinal(code) {
			return err
		}
		if code == primrosespar.CodeNotHolder && !probe && s.parts.Clock.Since(startedAt) < searchTimeout && ctx.Err() == nil {
			if !searched {
				s.parts.Search()
			}
			s.waitForHolder(ctx)
			continue
		}
		if _, alive := s.parts.Holder(); alive && code == primrosespar.CodeOutcomeUnknown {
			// The holder tells when it is asked again. Writes of others to the
			// inbox would delay its commits.
			return err
		}
		return withUnknownOutcome(c.inbox(ctx), code == primrosespar.CodeOutcomeUnknown)
	}
}

// isFinal reports whether a refusal by the holder is final, so that the inbox
// must not be used.
func isFinal(code primrosespar.Code) bool {
	switch code {
	case primrosespar.CodeStoreUnavailable, primrosespar.CodeSetAside, primrosespar.CodeJobTooLarge,
		primrosespar.CodeQueueFull, primrosespar.CodeForbidden, primrosespar.CodeImpossibleShape:
		return true
	default:
		return false
	}
}

// withUnknownOutcome turns a refusal into an unknown outcome if an earlier
// attempt may have taken effect.
func withUnknownOutcome(err error, outcomeUnknown bool) error {
	if err == nil || !outcomeUnknown || primrosespar.CodeOf(err) == primrosespar.CodeNotFound {
		return err
	}
	return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "an attempt was not answered").WithCause(err)
}

// callHolder makes the change at the holder, this host or another one. It waits
// for the answer as long as the caller does, unless the holder falls silent or
// is replaced: with a slow store a commit takes a second or two.
func (s *Submitter) callHolder(ctx context.Context, c change) error {
	if term := s.parts.Term(); term != nil {
		return c.local(ctx, term)
	}
	holder, ok := s.parts.Holder()
	if !ok {
		return primrosespar.Fail(primrosespar.CodeNotHolder, "no holder is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWithHolder(ctx, cancel, holder)
	return c.remote(ctx, holder)
}

// cancelWithHolder cancels the context once the holder is another host or
// silent.
func (s *Submitter) cancelWithHolder(ctx context.Context, cancel context.CancelFunc, holder netip.AddrPort) {
	for s.isHolder(holder) {
		select {
		case <-ctx.Done():
			return
		case <-s.parts.Clock.After(holderCheckInterval):
		}
	}
	cancel()
}

// isHolder reports whether the host is the holder and answers heartbeats.
func (s *Submitter) isHolder(host netip.AddrPort) bool {
	holder, ok := s.parts.Holder()
	return ok && holder == host
}

// waitForHolder waits before the holder is looked up again.
func (s *Submitter) waitForHolder(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.parts.Clock.After(searchInterval):
	}
}

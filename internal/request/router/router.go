// Package router serves a call from its arrival to its complete answer. It
// checks the call against its contract, acquires a slot at an upstream, claims
// the key, makes the attempts and records the outcome.
//
// A non-idempotent call acquires its slot before its claim, so that a call
// refused by a limit leaves no claim. The key is looked up before that: if it
// has run already, the call is not answered as not run because of a limit.
//
// # Usage
//
//	r := router.New(router.WithHost(place, host), ...)
//	answer := r.Serve(ctx, call)
package router

import (
	"context"
	"errors"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/claimer"
	"primrosespar.example/primrosespar/internal/request/minter"
)

// Router implements primrosespar.Router. It is safe for concurrent use.
type Router struct {
	opts Options
}

var _ primrosespar.Router = (*Router)(nil)

// New returns a Router.
func New(opts ...Option) *Router {
	o := Options{MaxBody: 1 << 20, MaxKeyBytes: 512, RecordTimeout: time.Second}
	for _, set := range opts {
		set(&o)
	}
	return &Router{opts: o}
}

// request is a call with the terms of its contract.
type request struct {
	call            primrosespar.Call
	terms           primrosespar.ClassTerms
	contractVersion primrosespar.Version
	// forwarded is set if another host sent the call here because this process
	// minted its key.
	forwarded bool
}

// Serve returns the complete answer to the call or a refusal.
func (r *Router) Serve(ctx context.Context, call primrosespar.Call) primrosespar.Answer {
	return r.serve(ctx, call, false)
}

// Execute serves a call that another host forwarded because this process
// minted its key. It never forwards the call again.
func (r *Router) Execute(ctx context.Context, call primrosespar.Call) primrosespar.Answer {
	return r.serve(ctx, call, true)
}

func (r *Router) serve(ctx context.Context, call primrosespar.Call, forwarded bool) primrosespar.Answer {
	req := request{call: call, forwarded: forwarded}
	if refusal := r.checkCall(&req); refusal != nil {
		answer := markRanUnknown(answerOf(refusal), call)
		r.recordDecision(req, primrosespar.DecisionRefusal, answer.Code, answer.Message)
		r.recordDecision(req, primrosespar.DecisionOutcome, answer.Code, answer.Message)
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, req.call.Remaining)
	defer cancel()
	var answer primrosespar.Answer
	switch {
	case req.terms.Idempotent:
		answer = markRanUnknown(r.serveIdempotent(ctx, req), call)
	case minter.IsMinted(req.call.Key):
		answer = r.serveMinted(ctx, req)
	default:
		answer = r.serveClaimed(ctx, req)
	}
	r.recordDecision(req, primrosespar.DecisionOutcome, answer.Code, answer.Message)
	return answer
}

// markRanUnknown changes "not run" to "unknown" if the claim of the key was not
// read and the caller may have sent the key before, since that earlier call may
// have run.
func markRanUnknown(answer primrosespar.Answer, call primrosespar.Call) primrosespar.Answer {
	if call.Key != "" && !call.FirstAttempt && answer.Ran == primrosespar.RanNot {
		answer.Ran = primrosespar.RanUnknown
		answer.Message += " (an earlier call with this key may have run)"
	}
	return answer
}

// checkCall checks the call against its contract, and sets its terms and
// deadline.
func (r *Router) checkCall(req *request) *primrosespar.Failure {
	view, _ := r.opts.Contracts.View()
	if view.Revision == 0 {
		return startingFailure(req.call)
	}
	contract, ok := view.Find(req.call.Account)
	if !ok {
		return primrosespar.Fail(primrosespar.CodeUnknownAccount, "no contract for account %q", req.call.Account)
	}
	req.contractVersion = contract.Version
	req.terms, ok = contract.Contract.Terms(req.call.Class)
	if !ok || req.terms.Kind != primrosespar.KindRequest {
		return primrosespar.Fail(primrosespar.CodeUnknownClass, "the contract has no request class %q", req.call.Class)
	}
	if share, _ := contract.Contract.ShareIn(r.opts.Place); share <= 0 {
		return primrosespar.Fail(primrosespar.CodeWrongPlace, "the contract has no share in %s; it has shares in %v", r.opts.Place, placesWithShare(contract.Contract))
	}
	if len(req.call.Body) > r.opts.MaxBody {
		return primrosespar.Fail(primrosespar.CodeBodyTooLarge, "the body has %d bytes, the limit is %d", len(req.call.Body), r.opts.MaxBody)
	}
	if len(req.call.Key) > r.opts.MaxKeyBytes {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "the key has %d bytes, the limit is %d", len(req.call.Key), r.opts.MaxKeyBytes)
	}
	if strings.ContainsFunc(req.call.Key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "the key has characters other than visible ASCII, which a header cannot carry")
	}
	if req.call.Key == "" && !req.terms.Idempotent {
		return primrosespar.Fail(primrosespar.CodeKeyMissing, "class %q is not idempotent and needs a key", req.call.Class)
	}
	return r.setDeadline(req)
}

// startingFailure returns the refusal of a call that arrives before the
// contracts are read. Whether the account exists is not known then, and the key
// may have run before this host restarted.
func startingFailure(call primrosespar.Call) *primrosespar.Failure {
	if call.FirstAttempt || call.Key == "" {
		return primrosespar.Fail(primrosespar.CodeStarting, "the host has not read the contracts yet")
	}
	return primrosespar.FailUnknown(primrosespar.CodeStarting,
		"this call was not run, because the host has not read the contracts yet; an earlier use of the key could not be checked")
}

// setDeadline sets the deadline to the earlier of those of the contract and of
// the caller.
func (r *Router) setDeadline(req *request) *primrosespar.Failure {
	now := r.opts.Clock.Now()
	timeLeft := req.terms.Deadline
	if !req.call.Deadline.IsZero() {
		timeLeft = min(timeLeft, req.call.Deadline.Sub(now))
	} else if req.call.Remaining > 0 {
		timeLeft = min(timeLeft, req.call.Remaining)
	}
	if timeLeft <= 0 {
		return primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before admission")
	}
	req.call.Remaining = timeLeft
	req.call.Deadline = now.Add(timeLeft)
	return nil
}

// placesWithShare returns the places in which the contract has a share.
func placesWithShare(c primrosespar.Contract) []primrosespar.Place {
	var places []primrosespar.Place
	for _, share := range c.Places {
		if share.Share > 0 {
			places = append(places, share.Place)
		}
	}
	return places
}

// serveIdempotent runs an idempotent call, which needs no claim.
func (r *Router) serveIdempotent(ctx context.Context, req request) primrosespar.Answer {
	grant, refusal := r.acquireSlot(ctx, req)
	if refusal != nil {
		return *refusal
	}
	answer, _ := r.runAttempts(ctx, req, grant, r.opts.NewAttempt())
	return answer
}

// serveClaimed runs a call whose key is claimed in the table.
func (r *Router) serveClaimed(ctx context.Context, req request) primrosespar.Answer {
	for {
		found := r.opts.Claims.Lookup(ctx, req.call)
		if found.Status == claimer.InProgress {
			found = r.opts.Claims.Await(ctx, req.call)
		}
		if found.Status != claimer.Free {
			return answerForClaim(found, req.call)
		}
		if !r.opts.Contracts.Current() {
			return answerOf(primrosespar.Fail(primrosespar.CodeRestricted, "the contract view is not current; a call of this class needs a minted key"))
		}
		grant, refusal := r.acquireSlot(ctx, req)
		if refusal != nil {
			return *refusal
		}
		claim := r.opts.Claims.Acquire(ctx, req.call, found)
		switch claim.Status {
		case claimer.Run:
			answer, sent := r.runAttempts(ctx, req, grant, claim.Attempt)
			r.recordOutcome(ctx, req, claim, answer, sent)
			return answer
		case claimer.InProgress:
			// Another attempt was first; wait for it without holding the slot.
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeInProgress})
		default:
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeStoreUnavailable})
			return answerForClaim(claim, req.call)
		}
	}
}

// recordOutcome records the outcome of a claim, even if the caller has
// disconnected.
func (r *Router) recordOutcome(ctx context.Context, req request, claim claimer.Claim, answer primrosespar.Answer, sent bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.opts.RecordTimeout)
	defer cancel()
	if !r.opts.Claims.Finish(ctx, claim, answer, mayHaveRun(answer, sent)) {
		r.recordDecision(req, primrosespar.DecisionOutcome, primrosespar.CodeStoreUnavailable, "the outcome could not be recorded yet; recording is retried")
	}
}

// mayHaveRun reports whether the call may have run, so that its key must not be
// freed. An upstream that answers that it did not run the call is trusted.
func mayHaveRun(answer primrosespar.Answer, sent bool) bool {
	return sent && answer.Ran != primrosespar.RanNot
}

// answerForClaim returns the answer to a call that does not run because of the
// state of its key.
func answerForClaim(claim claimer.Claim, call primrosespar.Call) primrosespar.Answer {
	switch claim.Status {
	case claimer.Replay:
		return replayAnswer(claim.Answer)
	case claimer.InProgress:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeInProgress, "another attempt with this key has not ended"))
	case claimer.KeyReused:
		return answerOf(primrosespar.Fail(primrosespar.CodeKeyReused, "the key was used with another class or body"))
	case claimer.StoreUnavailable:
		if claim.Checked || call.FirstAttempt {
			return answerOf(primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the claim could not be written"))
		}
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeStoreUnavailable,
			"this call was not run; an earlier use of the key could not be checked"))
	default:
		if claim.Answer.Status != 0 {
			return claim.Answer
		}
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "an earlier attempt with this key may have run"))
	}
}

// replayAnswer returns the first answer of a key, marked as a replay.
func replayAnswer(first primrosespar.Answer) primrosespar.Answer {
	if first.Code == primrosespar.CodeOK {
		first.Code = primrosespar.CodeReplayed
	}
	return first
}

// serveMinted serves a call with a minted key, and forwards it if another
// process minted the key.
func (r *Router) serveMinted(ctx context.Context, req request) primrosespar.Answer {
	claim := r.opts.Minter.Begin(ctx, req.call)
	switch claim.Status {
	case minter.Run:
		grant, refusal := r.acquireSlot(ctx, req)
		if refusal != nil {
			r.opts.Minter.Finish(claim, *refusal, false)
			return *refusal
		}
		answer, sent := r.runAttempts(ctx, req, grant, r.opts.NewAttempt())
		r.opts.Minter.Finish(claim, answer, mayHaveRun(answer, sent))
		return answer
	case minter.Replay:
		return replayAnswer(claim.Answer)
	case minter.InProgress:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeInProgress, "another attempt with this key has not ended"))
	case minter.KeyReused:
		return answerOf(primrosespar.Fail(primrosespar.CodeKeyReused, "the key was used with another class or body"))
	case minter.Expired:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeKeyExpired, "the minted key has expired or is not known"))
	case minter.Invalid:
		return answerOf(primrosespar.Fail(primrosespar.CodeBadRequest, "the key is malformed or was not minted for this account"))
	case minter.Foreign:
		return r.forwardToMinter(ctx, req, claim.Minted)
	default:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the key may have run and its answer is no longer stored"))
	}
}

// forwardToMinter forwards a call to the process that minted its key. It can
// reach only processes of the same place.
func (r *Router) forwardToMinter(ctx context.Context, req request, key minter.Minted) primrosespar.Answer {
	if key.Place != r.opts.Place {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeWrongPlace, "the key was minted in %s", key.Place))
	}
	address, found := r.opts.FindHost(key.Host, key.Incarnation)
	if !found || req.forwarded {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the process that minted the key cannot be found"))
	}
	call := req.call
	call.Remaining = call.Deadline.Sub(r.opts.Clock.Now())
	answer, err := r.opts.Peers.Execute(ctx, address, call)
	if err != nil {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodePeerUnavailable, "no answer from host %s", key.Host).WithCause(err))
	}
	return answer
}

// acquireSlot waits for a slot. It records the admission or the refusal, and
// returns the grant or the answer for the refusal.
func (r *Router) acquireSlot(ctx context.Context, req request) (primrosespar.Grant, *primrosespar.Answer) {
	grant, err := r.opts.Dispatcher.Acquire(ctx, req.call)
	if err == nil {
		r.recordDecision(req, primrosespar.DecisionAdmission, primrosespar.CodeOK, string(grant.Target().Upstream))
		return grant, nil
	}
	var failure *primrosespar.Failure
	if !errors.As(err, &failure) {
		failure = primrosespar.Fail(primrosespar.CodeInternal, "cannot acquire a slot").WithCause(err)
	}
	answer := answerOf(failure)
	r.recordDecision(req, primrosespar.DecisionRefusal, answer.Code, answer.Message)
	return nil, &answer
}

// recordDecision records a decision about the call.
func (r *Router) recordDecision(req request, kind primrosespar.DecisionKind, code primrosespar.Code, detail string) {
	r.opts.Recorder.Record(primrosespar.Decision{
		At: r.opts.Clock.Now(), Place: r.opts.Place, Host: r.opts.Host,
		Kind: kind, Code: code, Subject: string(req.call.ID), Account: req.call.Account,
		Class: req.call.Class, ContractVersion: req.contractVersion, Detail: detail,
		Figures: []primrosespar.Figure{{Name: "retry", Value: float64(req.call.Retry)}},
	})
}

// answerOf returns the answer to the caller for a failure.
func answerOf(f *primrosespar.Failure) primrosespar.Answer {
	return primrosespar.Answer{Code: f.Code, Ran: f.Ran, Status: f.Code.Info().HTTP, Message: f.Error()}
}

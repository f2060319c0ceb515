// Package router takes a call from its arrival to its whole answer: it checks
// the call against its contract, gets a slot at an upstream, claims the key,
// makes the attempts and records the outcome.
//
// A non-idempotent call gets its slot before its claim, so that a call refused
// by a limit leaves no claim. Its key is read before that, so that a refusal
// by a limit does not deny an earlier run under the same key.
//
// # Usage
//
//	r := router.New(router.WithProcess(place, host), ...)
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

// Router serves calls. It is safe for concurrent use.
type Router struct {
	opts Options
}

var _ primrosespar.Router = (*Router)(nil)

// New returns a Router.
func New(opts ...Option) *Router {
	o := Options{BodyLimit: 1 << 20, KeyLimit: 512, RecordTimeout: time.Second}
	for _, set := range opts {
		set(&o)
	}
	return &Router{opts: o}
}

// request is a call with what the contract says about it.
type request struct {
	call            primrosespar.Call
	terms           primrosespar.ClassTerms
	contractVersion primrosespar.Version
	// forwarded is set for a call that another host sent here for its key.
	forwarded bool
}

// Serve returns the whole answer to the call or a refusal.
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

// markRanUnknown takes back a "not run" where the key's claim was not read: with a key
// that the caller may have sent before, an earlier call may have run.
func markRanUnknown(answer primrosespar.Answer, call primrosespar.Call) primrosespar.Answer {
	if call.Key != "" && !call.FirstAttempt && answer.Ran == primrosespar.RanNot {
		answer.Ran = primrosespar.RanUnknown
		answer.Message += " (an earlier call with this key may have run)"
	}
	return answer
}

// checkCall validates the call against its contract and sets its deadline.
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
	if len(req.call.Body) > r.opts.BodyLimit {
		return primrosespar.Fail(primrosespar.CodeBodyTooLarge, "the body has %d bytes, the limit is %d", len(req.call.Body), r.opts.BodyLimit)
	}
	if len(req.call.Key) > r.opts.KeyLimit {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "the key has %d bytes, the limit is %d", len(req.call.Key), r.opts.KeyLimit)
	}
	if strings.ContainsFunc(req.call.Key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "the key has characters other than visible ASCII, which a header cannot carry")
	}
	if req.call.Key == "" && !req.terms.Idempotent {
		return primrosespar.Fail(primrosespar.CodeKeyMissing, "class %q is not idempotent and needs a key", req.call.Class)
	}
	return r.setDeadline(req)
}

// startingFailure refuses a call before the contracts are read. The account is not
// known to be missing then, and the key may have run before a restart.
func startingFailure(call primrosespar.Call) *primrosespar.Failure {
	if call.FirstAttempt || call.Key == "" {
		return primrosespar.Fail(primrosespar.CodeStarting, "the host has not read the contracts yet")
	}
	return primrosespar.FailUnknown(primrosespar.CodeStarting,
		"this call was not run, because the host has not read the contracts yet; an earlier use of the key could not be checked")
}

// setDeadline takes the earliest of the contract's and the caller's deadline.
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

// placesWithShare lists the places that serve the contract.
func placesWithShare(c primrosespar.Contract) []primrosespar.Place {
	var places []primrosespar.Place
	for _, share := range c.Places {
		if share.Share > 0 {
			places = append(places, share.Place)
		}
	}
	return places
}

// serveIdempotent runs a call that may be repeated; it needs no claim.
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
		free := r.opts.Claims.Lookup(ctx, req.call)
		if free.Status == claimer.InProgress {
			free = r.opts.Claims.Await(ctx, req.call)
		}
		if free.Status != claimer.Free {
			return answerForClaim(free, req.call)
		}
		if !r.opts.Contracts.Current() {
			return answerOf(primrosespar.Fail(primrosespar.CodeRestricted, "the view of the contracts is not current; a minted key is needed"))
		}
		grant, refusal := r.acquireSlot(ctx, req)
		if refusal != nil {
			return *refusal
		}
		claim := r.opts.Claims.Acquire(ctx, req.call, free)
		switch claim.Status {
		case claimer.Run:
			answer, sent := r.runAttempts(ctx, req, grant, claim.Attempt)
			r.recordOutcome(ctx, req, claim, answer, sent)
			return answer
		case claimer.InProgress:
			// Waits without the slot for the attempt that was first.
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeInProgress})
		default:
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeStoreUnavailable})
			return answerForClaim(claim, req.call)
		}
	}
}

// recordOutcome records the outcome of a claim; a caller that left does not stop it.
func (r *Router) recordOutcome(ctx context.Context, req request, claim claimer.Claim, answer primrosespar.Answer, sent bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.opts.RecordTimeout)
	defer cancel()
	if !r.opts.Claims.Finish(ctx, claim, answer, mayHaveRun(answer, sent)) {
		r.recordDecision(req, primrosespar.DecisionOutcome, primrosespar.CodeStoreUnavailable, "the outcome is recorded later")
	}
}

// mayHaveRun reports whether a key stays bound to its attempt. An upstream that
// says it did not run the call is believed, so the key is free again.
func mayHaveRun(answer primrosespar.Answer, sent bool) bool {
	return sent && answer.Ran != primrosespar.RanNot
}

// answerForClaim is the answer for a key that this call does not run.
func answerForClaim(claim claimer.Claim, call primrosespar.Call) primrosespar.Answer {
	switch claim.Status {
	case claimer.Replay:
		return replayAnswer(claim.Answer)
	case claimer.InProgress:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeInProgress, "the first attempt has not ended"))
	case claimer.KeyReused:
		return answerOf(primrosespar.Fail(primrosespar.CodeKeyReused, "the key was used with another body"))
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
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "an attempt under the key may have run"))
	}
}

// replayAnswer marks the first answer of a key as a replay.
func replayAnswer(first primrosespar.Answer) primrosespar.Answer {
	if first.Code == primrosespar.CodeOK {
		first.Code = primrosespar.CodeReplayed
	}
	return first
}

// serveMinted runs a call whose key some process of the tier minted.
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
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeInProgress, "the first attempt has not ended"))
	case minter.KeyReused:
		return answerOf(primrosespar.Fail(primrosespar.CodeKeyReused, "the key was used with another body"))
	case minter.Expired:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeKeyExpired, "the minted key is no longer known"))
	case minter.Invalid:
		return answerOf(primrosespar.Fail(primrosespar.CodeBadRequest, "the key was not minted for this account"))
	case minter.Foreign:
		return r.forwardToMinter(ctx, req, claim.Minted)
	default:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the answer under the key is no longer kept"))
	}
}

// forwardToMinter sends a call to the process that minted its key.
func (r *Router) forwardToMinter(ctx context.Context, req request, key minter.Minted) primrosespar.Answer {
	if key.Place != r.opts.Place {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeWrongPlace, "the key was minted in %s", key.Place))
	}
	address, found := r.opts.FindHost(key.Host, key.Incarnation)
	if !found || req.forwarded {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the process that minted the key is gone"))
	}
	call := req.call
	call.Remaining = call.Deadline.Sub(r.opts.Clock.Now())
	answer, err := r.opts.Peers.Execute(ctx, address, call)
	if err != nil {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodePeerUnavailable, "host %s gave no answer", key.Host).WithCause(err))
	}
	return answer
}

// acquireSlot waits for a slot and records the admission or returns the refusal.
func (r *Router) acquireSlot(ctx context.Context, req request) (primrosespar.Grant, *primrosespar.Answer) {
	grant, err := r.opts.Dispatcher.Acquire(ctx, req.call)
	if err == nil {
		r.recordDecision(req, primrosespar.DecisionAdmission, primrosespar.CodeOK, string(grant.Target().Upstream))
		return grant, nil
	}
	var failure *primrosespar.Failure
	if !errors.As(err, &failure) {
		failure = primrosespar.Fail(primrosespar.CodeInternal, "no slot").WithCause(err)
	}
	answer := answerOf(failure)
	r.recordDecision(req, primrosespar.DecisionRefusal, answer.Code, answer.Message)
	return nil, &answer
}

// recordDecision writes a decision about the call.
func (r *Router) recordDecision(req request, kind primrosespar.DecisionKind, code primrosespar.Code, detail string) {
	r.opts.Recorder.Record(primrosespar.Decision{
		At: r.opts.Clock.Now(), Place: r.opts.Place, Host: r.opts.Host,
		Kind: kind, Code: code, Subject: string(req.call.ID), Account: req.call.Account,
		Class: req.call.Class, ContractVersion: req.contractVersion, Detail: detail,
		Figures: []primrosespar.Figure{{Name: "retry", Value: float64(req.call.Retry)}},
	})
}

// answerOf turns a failure into the answer of the caller.
func answerOf(f *primrosespar.Failure) primrosespar.Answer {
	return primrosespar.Answer{Code: f.Code, Ran: f.Ran, Status: f.Code.Info().HTTP, Message: f.Error()}
}

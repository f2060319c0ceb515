package router

import (
	"context"
	"errors"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/forwarder"
)

// runAttempts makes attempts until one has an answer that is not retried. It
// releases the grant and reports whether a byte of any attempt may have been
// sent.
func (r *Router) runAttempts(ctx context.Context, req request, grant primrosespar.Grant, id primrosespar.AttemptID) (answer primrosespar.Answer, sent bool) {
	mayHaveRun := false
	for {
		if ctx.Err() != nil {
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeCallerGone})
			return withEarlierAttempts(contextEndedAnswer(ctx), mayHaveRun), sent
		}
		result := r.opts.Sender.Do(ctx, forwarder.Attempt{
			Target: grant.Target(), Call: req.call, ID: id, Idempotent: req.terms.Idempotent,
		})
		grant.Release(result.Outcome)
		sent = sent || result.Outcome.Sent
		mayHaveRun = mayHaveRun || result.Answer.Ran != primrosespar.RanNot
		answer = withEarlierAttempts(result.Answer, mayHaveRun)
		r.recordDecision(req, primrosespar.DecisionAttempt, result.Outcome.Code, string(grant.Target().Upstream))
		if result.Answer.Code == primrosespar.CodeOK {
			r.opts.Retrier.Succeeded(req.call.Account)
			return answer, sent
		}
		backoff, code := r.opts.Retrier.Next(req.call, req.terms.Idempotent, result.Answer)
		if code != primrosespar.CodeOK {
			if code == primrosespar.CodeRetryBudget {
				r.recordDecision(req, primrosespar.DecisionRetry, code, "not retried, the retry budget is used up")
			}
			return answer, sent
		}
		req.call.Retry++
		req.call.Exclude = append(req.call.Exclude[:len(req.call.Exclude):len(req.call.Exclude)], grant.Target().Upstream)
		select {
		case <-ctx.Done():
			return answer, sent
		case <-r.opts.Clock.After(backoff):
		}
		r.recordDecision(req, primrosespar.DecisionRetry, result.Outcome.Code, string(grant.Target().Upstream))
		nextGrant, refusal := r.acquireSlot(ctx, req)
		if refusal != nil {
			return answer, sent
		}
		grant = nextGrant
	}
}

// contextEndedAnswer returns the refusal of a call whose context ended before
// an attempt.
func contextEndedAnswer(ctx context.Context) primrosespar.Answer {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return answerOf(primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before the request was sent"))
	}
	return answerOf(primrosespar.Fail(primrosespar.CodeCallerGone, "the caller disconnected before the request was sent"))
}

// withEarlierAttempts replaces an answer with "not run" if an earlier attempt
// may have run.
func withEarlierAttempts(answer primrosespar.Answer, mayHaveRun bool) primrosespar.Answer {
	if !mayHaveRun || answer.Ran != primrosespar.RanNot {
		return answer
	}
	return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "an earlier attempt may have run; the last one failed: %s", answer.Message))
}

package router

import (
	"context"
	"errors"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/forwarder"
)

// attempts sends the call until it has an answer that is not retried. It
// releases the grant, and returns whether a byte of any attempt can have left.
func (r *Router) attempts(ctx context.Context, j job, grant primrosespar.Grant, id primrosespar.AttemptID) (answer primrosespar.Answer, sent bool) {
	mayHaveRun := false
	for {
		if ctx.Err() != nil {
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeCallerGone})
			return truthful(goneAnswer(ctx), mayHaveRun), sent
		}
		result := r.opts.Sender.Do(ctx, forwarder.Attempt{
			Target: grant.Target(), Call: j.call, ID: id, Idempotent: j.terms.Idempotent,
		})
		grant.Release(result.Outcome)
		sent = sent || result.Outcome.Sent
		mayHaveRun = mayHaveRun || result.Answer.Ran != primrosespar.RanNot
		answer = truthful(result.Answer, mayHaveRun)
		r.record(j, primrosespar.DecisionAttempt, result.Outcome.Code, string(grant.Target().Upstream))
		if result.Answer.Code == primrosespar.CodeOK {
			r.opts.Retrier.Succeeded(j.call.Account)
			return answer, sent
		}
		pause, code := r.opts.Retrier.Next(j.call, j.terms.Idempotent, result.Answer)
		if code != primrosespar.CodeOK {
			if code == primrosespar.CodeRetryBudget {
				r.record(j, primrosespar.DecisionRetry, code, "not retried")
			}
			return answer, sent
		}
		j.call.Retry++
		j.call.Exclude = append(j.call.Exclude[:len(j.call.Exclude):len(j.call.Exclude)], grant.Target().Upstream)
		select {
		case <-ctx.Done():
			return answer, sent
		case <-r.opts.Clock.After(pause):
		}
		r.record(j, primrosespar.DecisionRetry, result.Outcome.Code, string(grant.Target().Upstream))
		next, refusal := r.acquire(ctx, j)
		if refusal != nil {
			return answer, sent
		}
		grant = next
	}
}

// goneAnswer is the refusal for a call whose context ended before a send.
func goneAnswer(ctx context.Context) primrosespar.Answer {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return answerOf(primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before the send"))
	}
	return answerOf(primrosespar.Fail(primrosespar.CodeCallerGone, "the caller left before the send"))
}

// truthful keeps "not run" from an answer if an earlier attempt may have run.
func truthful(answer primrosespar.Answer, mayHaveRun bool) primrosespar.Answer {
	if !mayHaveRun || answer.Ran != primrosespar.RanNot {
		return answer
	}
	return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "an earlier attempt may have run; the last one: %s", answer.Message))
}

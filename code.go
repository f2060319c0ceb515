package primrosespar

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Code is a numeric result code; docs/codes.md lists all of them.
type Code int

// Ran says whether the work of a request ran, as far as that is known.
type Ran string

// Values of Ran.
const (
	RanNot     Ran = "not_run"
	RanUnknown Ran = "unknown"
	RanDone    Ran = "done"
)

// Result codes. The hundreds digit is the area: 0 success, 1 invalid input,
// 2 refused by a limit, 3 outcome of an attempt, 4 platform and place, 5 jobs
// and gangs, 6 contracts, 7 upstreams and workers.
const (
	CodeOK       Code = 0
	CodeAccepted Code = 1
	CodeReplayed Code = 2

	CodeBadRequest      Code = 100
	CodeUnknownField    Code = 101
	CodeOutOfRange      Code = 102
	CodeBodyTooLarge    Code = 103
	CodeUnknownAccount  Code = 104
	CodeUnknownClass    Code = 105
	CodeUnauthorized    Code = 106
	CodeForbidden       Code = 107
	CodeNotFound        Code = 108
	CodeKeyMissing      Code = 109
	CodeKeyReused       Code = 110
	CodeWrongPlace      Code = 111
	CodeImpossibleShape Code = 112
	CodeBadSyntax       Code = 113
	CodeJobTooLarge     Code = 114
	CodeTooSlow         Code = 115

	CodeRateLimited      Code = 200
	CodeQueueFull        Code = 201
	CodeWouldBeLate      Code = 202
	CodeConcurrencyLimit Code = 203
	CodeQuotaExceeded    Code = 204
	CodeRetryBudget      Code = 205
	CodeHostBusy         Code = 206

	CodeOutcomeUnknown  Code = 300
	CodeInProgress      Code = 301
	CodeDeadlinePassed  Code = 302
	CodeCallerGone      Code = 303
	CodeAnswerTruncated Code = 304
	CodeNotRun          Code = 305
	CodeKeyExpired      Code = 306

	CodeStoreUnavailable Code = 400
	CodeStoreUnknown     Code = 401
	CodeConflict         Code = 402
	CodeRestricted       Code = 403
	CodeDraining         Code = 404
	CodeNotHolder        Code = 405
	CodePeerUnavailable  Code = 406
	CodeInternal         Code = 407
	CodeLeaseLost        Code = 408
	CodeStarting         Code = 409

	CodeWaiting          Code = 500
	CodePlaced           Code = 501
	CodePreempted        Code = 502
	CodeCancelled        Code = 503
	CodeMemberLost       Code = 504
	CodeGangFailed       Code = 505
	CodeGangDone         Code = 506
	CodeStartTimeout     Code = 507
	CodeGuaranteeReserve Code = 508
	CodeBackfilled       Code = 509
	CodeSetAside         Code = 510

	CodeGuaranteesDontPack Code = 600
	CodeVersionConflict    Code = 601
	CodeContractInvalid    Code = 602
	CodeContractPending    Code = 603
	CodeContractAccepted   Code = 604
	CodeGuaranteeShort     Code = 605

	CodeNoUpstream        Code = 700
	CodeUpstreamLeaving   Code = 701
	CodeUpstreamBusy      Code = 702
	CodeUpstreamEjected   Code = 703
	CodeUpstreamError     Code = 704
	CodeWorkerQuarantined Code = 705
	CodeStaleToken        Code = 706
	CodeStaleAttempt      Code = 707
	CodeWorkerLost        Code = 708
	CodeWorkerLate        Code = 709
	CodeWorkerFull        Code = 710
	CodeWorkerRestarted   Code = 711
	CodeWorkerUnhealthy   Code = 712
	CodeMachineBusy       Code = 713
)

// CodeInfo describes one result code.
type CodeInfo struct {
	Code Code
	Name string
	// HTTP is the HTTP status of an answer with this code, or 0 if no answer
	// carries the code.
	HTTP int
	// Exit is the exit code of the command line.
	Exit int
	// Meaning is one sentence for operators and callers.
	Meaning string
}

// Exit codes of the command line.
const (
	exitOK       = 0
	exitUsage    = 2
	exitRefused  = 3
	exitUnknown  = 4
	exitPlatform = 5
	exitConflict = 6
)

// Codes returns the description of every result code, in order.
func Codes() []CodeInfo {
	return []CodeInfo{
		{CodeOK, "ok", 200, exitOK, "The work ran and the answer is complete."},
		{CodeAccepted, "accepted", 202, exitOK, "The job is stored and waits for placement."},
		{CodeReplayed, "replayed", 200, exitOK, "The work ran earlier under the same key; this is the original answer."},

		{CodeBadRequest, "bad_request", 400, exitUsage, "The request is malformed; the message names the field. Not run."},
		{CodeUnknownField, "unknown_field", 400, exitUsage, "The document has a field that does not exist. Nothing was applied."},
		{CodeOutOfRange, "out_of_range", 400, exitUsage, "A value is out of range; the message names the value and the range. Nothing was applied."},
		{CodeBodyTooLarge, "body_too_large", 413, exitUsage, "The body is larger than the limit. Not run."},
		{CodeUnknownAccount, "unknown_account", 404, exitUsage, "No contract exists for the client account. Not run."},
		{CodeUnknownClass, "unknown_class", 404, exitUsage, "The contract has no such class, or the class is of another kind. Not run."},
		{CodeUnauthorized, "unauthorized", 401, exitUsage, "The token is missing or unknown. Not run."},
		{CodeForbidden, "forbidden", 403, exitUsage, "The token belongs to another client account or role. Not run."},
		{CodeNotFound, "not_found", 404, exitUsage, "The named object does not exist."},
		{CodeKeyMissing, "key_missing", 400, exitUsage, "The class is not idempotent and the request has no key. Not run."},
		{CodeKeyReused, "key_reused", 409, exitConflict, "The key was used with another body. This request was not run."},
		{CodeWrongPlace, "wrong_place", 421, exitUsage, "The contract has no share in this place; the message names the places where it has one. Not run."},
		{CodeImpossibleShape, "impossible_shape", 422, exitUsage, "The workers of the place could not hold the shape even if all were free. Not run."},
		{CodeBadSyntax, "bad_syntax", 400, exitUsage, "The document is not valid TOML or JSON. Nothing was applied."},
		{CodeJobTooLarge, "job_too_large", 413, exitUsage, "The job needs more memory than a host may use for jobs. Not run."},
		{CodeTooSlow, "too_slow", 408, exitUsage, "The request did not arrive in time. Not run."},

		{CodeRateLimited, "rate_limited", 429, exitRefused, "The rate of the account's class is used up. Not run."},
		{CodeQueueFull, "queue_full", 429, exitRefused, "The queue of the account's class is full. Not run."},
		{CodeWouldBeLate, "would_be_late", 503, exitRefused, "The answer would come after the deadline. Not run."},
		{CodeConcurrencyLimit, "concurrency_limit", 429, exitRefused, "The concurrency of the account's class is used up. Not run."},
		{CodeQuotaExceeded, "quota_exceeded", 429, exitRefused, "The job would exceed the account's limit on accelerators. Not run."},
		{CodeRetryBudget, "retry_budget", 503, exitRefused, "The attempt failed and the retry budget is used up."},
		{CodeHostBusy, "host_busy", 503, exitRefused, "The host is short of memory or has too many requests at work. Not run."},

		{CodeOutcomeUnknown, "outcome_unknown", 504, exitUnknown, "The request may have run; no record shows whether it did. It is not run again."},
		{CodeInProgress, "in_progress", 409, exitUnknown, "The first attempt under this key has not finished yet. It is not run again."},
		{CodeDeadlinePassed, "deadline_passed", 504, exitUnknown, "The deadline passed before the work was sent. Not run."},
		{CodeCallerGone, "caller_gone", 0, exitUnknown, "The caller disconnected before the work was sent. Not run."},
		{CodeAnswerTruncated, "answer_truncated", 502, exitUnknown, "The upstream's answer was truncated; no part of it was passed on."},
		{CodeNotRun, "not_run", 503, exitRefused, "The request did not run anywhere."},
		{CodeKeyExpired, "key_expired", 410, exitUnknown, "The minted key is no longer known, so it is unknown whether the key was used. It is not run again."},

		{CodeStoreUnavailable, "store_unavailable", 503, exitPlatform, "The platform's store is unreachable. This call was not run; the ran field says whether an earlier call with the same key may have run."},
		{CodeStoreUnknown, "store_unknown", 503, exitPlatform, "The store did not answer a write, which may have taken effect."},
		{CodeConflict, "conflict", 409, exitConflict, "Another writer changed the data first; nothing was written."},
		{CodeRestricted, "restricted", 503, exitPlatform, "The place has no current view of the contracts and the offline terms do not cover the work. Not run."},
		{CodeDraining, "draining", 503, exitRefused, "The host is shutting down and accepts no new work. Not run."},
		{CodeNotHolder, "not_holder", 503, exitPlatform, "The host does not hold the place's scheduling lease."},
		{CodePeerUnavailable, "peer_unavailable", 503, exitPlatform, "The host that has to answer is unreachable."},
		{CodeInternal, "internal", 500, exitPlatform, "The host failed with an unexpected error."},
		{CodeLeaseLost, "lease_lost", 503, exitPlatform, "Another host acquired the scheduling lease."},
		{CodeStarting, "starting", 503, exitPlatform, "The host has not read the contracts yet. This call was not run; the ran field says whether an earlier call with the same key may have run."},

		{CodeWaiting, "waiting", 0, exitOK, "The job waits for accelerators."},
		{CodePlaced, "placed", 0, exitOK, "All members of the gang have their accelerators."},
		{CodePreempted, "preempted", 0, exitOK, "The gang was preempted for a claim and waits again."},
		{CodeCancelled, "cancelled", 0, exitOK, "The job was cancelled."},
		{CodeMemberLost, "member_lost", 0, exitOK, "A member of the gang was lost and all members were stopped."},
		{CodeGangFailed, "gang_failed", 0, exitRefused, "The job failed and will not be restarted."},
		{CodeGangDone, "gang_done", 0, exitOK, "All members of the gang finished."},
		{CodeStartTimeout, "start_timeout", 0, exitOK, "Not all members were ready in time and all members were stopped."},
		{CodeGuaranteeReserve, "guarantee_reserve", 0, exitOK, "Free accelerators are reserved for a guarantee of another account."},
		{CodeBackfilled, "backfilled", 0, exitOK, "The job was placed ahead of an older job that does not fit yet."},
		{CodeSetAside, "set_aside", 422, exitRefused, "The store refuses the rows of the job for good. A job that was not accepted before never runs."},

		{CodeGuaranteesDontPack, "guarantees_dont_pack", 409, exitConflict, "The place cannot hold the guarantees of all accounts at once. Nothing was applied."},
		{CodeVersionConflict, "version_conflict", 409, exitConflict, "The contract was amended after the version that the amendment names. Nothing was applied."},
		{CodeContractInvalid, "contract_invalid", 400, exitUsage, "The contract has errors; the message lists all of them. Nothing was applied."},
		{CodeContractPending, "contract_pending", 202, exitOK, "The amendment waits until the named places acknowledge it."},
		{CodeContractAccepted, "contract_accepted", 200, exitOK, "The amendment is stored and is never reverted."},
		{CodeGuaranteeShort, "guarantee_short", 0, exitRefused, "Worker failures leave too few adjacent accelerators for a guarantee."},

		{CodeNoUpstream, "no_upstream", 503, exitRefused, "No upstream of the place can take the request. Not run."},
		{CodeUpstreamLeaving, "upstream_leaving", 0, exitOK, "The upstream is leaving and gets no new work."},
		{CodeUpstreamBusy, "upstream_busy", 503, exitRefused, "The upstream refused the request because it had no free slot. Not run."},
		{CodeUpstreamEjected, "upstream_ejected", 0, exitOK, "The upstream failed too often and temporarily gets no work."},
		{CodeUpstreamError, "upstream_error", 502, exitUnknown, "The upstream returned an error."},
		{CodeWorkerQuarantined, "worker_quarantined", 0, exitOK, "Too many tasks failed on the worker, which temporarily gets none."},
		{CodeStaleToken, "stale_token", 409, exitConflict, "The command's fencing token is lower than one that was already seen."},
		{CodeStaleAttempt, "stale_attempt", 409, exitConflict, "The command's attempt is lower than one that was already seen."},
		{CodeWorkerLost, "worker_lost", 0, exitOK, "The worker failed or its lease expired."},
		{CodeWorkerLate, "worker_late", 409, exitConflict, "The order reached the worker after the lease in the order had expired. Not run."},
		{CodeWorkerFull, "worker_full", 409, exitRefused, "The worker does not have enough free resources for the task. Not run."},
		{CodeWorkerRestarted, "worker_reborn", 421, exitConflict, "Another worker responds at the address of the one that the order was for. Not run."},
		{CodeWorkerUnhealthy, "worker_unwell", 503, exitRefused, "The worker refused the order because it is unhealthy or overloaded. Not run."},
		{CodeMachineBusy, "machine_busy", 409, exitConflict, "The machine is not up or is about to leave, so its maintenance cannot begin."},
	}
}

// Info returns the description of the code.
func (c Code) Info() CodeInfo {
	for _, info := range Codes() {
		if info.Code == c {
			return info
		}
	}
	return CodeInfo{Code: c, Name: "code_" + strconv.Itoa(int(c)), HTTP: unlistedCodeStatus, Exit: exitPlatform}
}

// unlistedCodeStatus is the HTTP status of a code that Codes does not list.
const unlistedCodeStatus = 500

// String returns the name of the code.
func (c Code) String() string {
	return c.Info().Name
}

// Failure is an error with a result code. Ran says whether the work ran.
type Failure struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is when the caller should come back; 0 is the default.
	RetryAfter time.Duration
	cause      error
}

// Fail returns a Failure for work that did not run.
func Fail(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNot}
}

// FailUnknown returns a Failure for work that may have run.
func FailUnknown(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanUnknown}
}

// WithCause sets the underlying error and returns the failure.
func (f *Failure) WithCause(err error) *Failure {
	f.cause = err
	return f
}

// WithRetryAfter sets when the caller should come back and returns the failure.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// Error returns the name of the code, the message and the underlying error.
func (f *Failure) Error() string {
	text := f.Code.String()
	if f.Message != "" {
		text += ": " + f.Message
	}
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error {
	return f.cause
}

// CodeOf returns the code of the first Failure in the chain of err, CodeOK for
// a nil error and CodeInternal if there is no Failure.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	var f *Failure
	if errors.As(err, &f) {
		return f.Code
	}
	return CodeInternal
}

// RetryAfterOf returns when the caller of the first Failure in the chain of err
// that says so should come back, else 0.
func RetryAfterOf(err error) time.Duration {
	for f := (*Failure)(nil); errors.As(err, &f); err = f.cause {
		if f.RetryAfter > 0 {
			return f.RetryAfter
		}
	}
	return 0
}

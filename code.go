package primrosespar

import (
	"errors"
	"fmt"
	"strconv"
)

// Code is a numbered result code; docs/codes.md lists all of them.
type Code int

// Ran says what is known about whether the work ran.
type Ran string

// What is known about whether the work ran.
const (
	RanNot     Ran = "not_run"
	RanUnknown Ran = "unknown"
	RanDone    Ran = "done"
)

// Result codes. The hundreds say the area: 0 success, 1 bad input, 2 refused
// by a limit, 3 outcome of an attempt, 4 platform and place, 5 jobs and
// gangs, 6 contracts, 7 upstreams and workers.
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

	CodeRateLimited      Code = 200
	CodeQueueFull        Code = 201
	CodeWouldBeLate      Code = 202
	CodeConcurrencyLimit Code = 203
	CodeQuotaExceeded    Code = 204
	CodeRetryBudget      Code = 205

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
	// HTTP is the status of an answer with this code, 0 if none is sent.
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
		{CodeOK, "ok", 200, exitOK, "The work ran and the answer is whole."},
		{CodeAccepted, "accepted", 202, exitOK, "The job is stored and waits for its placement."},
		{CodeReplayed, "replayed", 200, exitOK, "The work ran earlier under the same key; this is the first answer."},

		{CodeBadRequest, "bad_request", 400, exitUsage, "The request is malformed; the message names the field. Not run."},
		{CodeUnknownField, "unknown_field", 400, exitUsage, "The document has a field that does not exist. Nothing was applied."},
		{CodeOutOfRange, "out_of_range", 400, exitUsage, "A value is outside its bounds; the message names both. Nothing was applied."},
		{CodeBodyTooLarge, "body_too_large", 413, exitUsage, "The body is larger than the limit. Not run."},
		{CodeUnknownAccount, "unknown_account", 404, exitUsage, "No contract exists for the client account. Not run."},
		{CodeUnknownClass, "unknown_class", 404, exitUsage, "The contract has no such class, or the class is of another kind. Not run."},
		{CodeUnauthorized, "unauthorized", 401, exitUsage, "The token is missing or not known. Not run."},
		{CodeForbidden, "forbidden", 403, exitUsage, "The token belongs to another client account or role. Not run."},
		{CodeNotFound, "not_found", 404, exitUsage, "The named object does not exist."},
		{CodeKeyMissing, "key_missing", 400, exitUsage, "The class is not idempotent and the request has no key. Not run."},
		{CodeKeyReused, "key_reused", 409, exitConflict, "The key was used with another body. This request was not run."},
		{CodeWrongPlace, "wrong_place", 421, exitUsage, "The contract has no share in this place; the message names the places that have. Not run."},
		{CodeImpossibleShape, "impossible_shape", 422, exitUsage, "No set of workers of the place could ever hold the shape. Not run."},
		{CodeBadSyntax, "bad_syntax", 400, exitUsage, "The document is not valid TOML or JSON. Nothing was applied."},

		{CodeRateLimited, "rate_limited", 429, exitRefused, "The rate of the account's class is used up. Not run."},
		{CodeQueueFull, "queue_full", 429, exitRefused, "The queue of the account's class is full. Not run."},
		{CodeWouldBeLate, "would_be_late", 503, exitRefused, "The answer could not come before the deadline. Not run."},
		{CodeConcurrencyLimit, "concurrency_limit", 429, exitRefused, "The concurrency of the account's class is used up. Not run."},
		{CodeQuotaExceeded, "quota_exceeded", 429, exitRefused, "The job would exceed the account's accelerators. Not run."},
		{CodeRetryBudget, "retry_budget", 503, exitRefused, "The attempt failed and the retry budget is used up."},

		{CodeOutcomeUnknown, "outcome_unknown", 504, exitUnknown, "The request may have run and no record says whether it did. It is not run again."},
		{CodeInProgress, "in_progress", 409, exitUnknown, "The first attempt under this key has not ended yet. It is not run again."},
		{CodeDeadlinePassed, "deadline_passed", 504, exitUnknown, "The deadline passed before the work was sent. Not run."},
		{CodeCallerGone, "caller_gone", 0, exitUnknown, "The caller left before the work was sent. Not run."},
		{CodeAnswerTruncated, "answer_truncated", 502, exitUnknown, "The upstream's answer was cut short; nothing of it was passed on."},
		{CodeNotRun, "not_run", 503, exitRefused, "The request did not run anywhere."},
		{CodeKeyExpired, "key_expired", 410, exitUnknown, "The minted key is no longer known; whether it was used is not known. It is not run again."},

		{CodeStoreUnavailable, "store_unavailable", 503, exitPlatform, "The platform's store cannot be reached. This call was not run; ran says whether an earlier one under the same key may have."},
		{CodeStoreUnknown, "store_unknown", 503, exitPlatform, "The store gave no answer to a write that may have taken effect."},
		{CodeConflict, "conflict", 409, exitConflict, "Another writer was first; nothing was written."},
		{CodeRestricted, "restricted", 503, exitPlatform, "The place has no current view of the contracts and the work is outside the offline terms. Not run."},
		{CodeDraining, "draining", 503, exitRefused, "The host is shutting down and takes no new work. Not run."},
		{CodeNotHolder, "not_holder", 503, exitPlatform, "The host does not hold the place's scheduling lease."},
		{CodePeerUnavailable, "peer_unavailable", 503, exitPlatform, "The host that must answer cannot be reached."},
		{CodeInternal, "internal", 500, exitPlatform, "The host failed in a way that it did not expect."},
		{CodeLeaseLost, "lease_lost", 503, exitPlatform, "The scheduling lease went to another host."},
		{CodeStarting, "starting", 503, exitPlatform, "The host has not read the contracts yet. This call was not run; ran says whether an earlier one under the same key may have."},

		{CodeWaiting, "waiting", 0, exitOK, "The job waits for accelerators."},
		{CodePlaced, "placed", 0, exitOK, "All members of the gang have their accelerators."},
		{CodePreempted, "preempted", 0, exitOK, "The gang gave way to a claim and waits again."},
		{CodeCancelled, "cancelled", 0, exitOK, "The job was cancelled."},
		{CodeMemberLost, "member_lost", 0, exitOK, "A member of the gang was lost and the gang was stopped whole."},
		{CodeGangFailed, "gang_failed", 0, exitRefused, "The job failed and is not started again."},
		{CodeGangDone, "gang_done", 0, exitOK, "All members of the gang finished."},
		{CodeStartTimeout, "start_timeout", 0, exitOK, "Not all members were ready in time and the gang was stopped whole."},
		{CodeGuaranteeReserve, "guarantee_reserve", 0, exitOK, "Free accelerators are kept for a guarantee of another account."},
		{CodeBackfilled, "backfilled", 0, exitOK, "The job runs in a gap ahead of an older job that does not fit yet."},

		{CodeGuaranteesDontPack, "guarantees_dont_pack", 409, exitConflict, "The guarantees of all accounts do not fit the place together. Nothing was applied."},
		{CodeVersionConflict, "version_conflict", 409, exitConflict, "The contract was amended since the named version. Nothing was applied."},
		{CodeContractInvalid, "contract_invalid", 400, exitUsage, "The contract has errors; the message lists all of them. Nothing was applied."},
		{CodeContractPending, "contract_pending", 202, exitOK, "The amendment waits for the acknowledgement of the named places."},
		{CodeContractAccepted, "contract_accepted", 200, exitOK, "The amendment is stored and never reverts."},
		{CodeGuaranteeShort, "guarantee_short", 0, exitRefused, "Failed workers leave too few adjacent accelerators for a guarantee."},

		{CodeNoUpstream, "no_upstream", 503, exitRefused, "No upstream of the place can take the request. Not run."},
		{CodeUpstreamLeaving, "upstream_leaving", 0, exitOK, "The upstream is leaving and gets no new work."},
		{CodeUpstreamBusy, "upstream_busy", 503, exitRefused, "The upstream refused for lack of a slot. Not run."},
		{CodeUpstreamEjected, "upstream_ejected", 0, exitOK, "The upstream failed too often and gets no work for a while."},
		{CodeUpstreamError, "upstream_error", 502, exitUnknown, "The upstream answered with an error of its own."},
		{CodeWorkerQuarantined, "worker_quarantined", 0, exitOK, "The worker failed too many tasks and gets none for a while."},
		{CodeStaleToken, "stale_token", 409, exitConflict, "The command's fencing token is older than one already seen."},
		{CodeStaleAttempt, "stale_attempt", 409, exitConflict, "The command's attempt is older than one already seen."},
		{CodeWorkerLost, "worker_lost", 0, exitOK, "The worker failed or its lease lapsed."},
		{CodeWorkerLate, "worker_late", 409, exitConflict, "The order reached the worker after the end of the lease that it carried. Not run."},
		{CodeWorkerFull, "worker_full", 409, exitRefused, "The worker has no room for the task. Not run."},
		{CodeWorkerRestarted, "worker_reborn", 421, exitConflict, "Another worker answers at the address of the one that the order was for. Not run."},
		{CodeWorkerUnhealthy, "worker_unwell", 503, exitRefused, "The worker refused the order because it is unhealthy or overloaded. Not run."},
		{CodeMachineBusy, "machine_busy", 409, exitConflict, "The machine is not up, or is about to leave, so its upkeep cannot begin."},
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

// unlistedCodeStatus is the status for a code that the table lacks.
const unlistedCodeStatus = 500

// String returns the name of the code.
func (c Code) String() string {
	return c.Info().Name
}

// Failure is an error with a result code.
type Failure struct {
	Code    Code
	Message string
	Ran     Ran
	cause   error
}

// Fail returns a Failure for work that did not run.
func Fail(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNot}
}

// FailUnknown returns a Failure for work that may have run.
func FailUnknown(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanUnknown}
}

// WithCause adds the underlying error.
func (f *Failure) WithCause(err error) *Failure {
	f.cause = err
	return f
}

// Error returns the code's name and the message.
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

// CodeOf returns the code that the error carries, CodeOK for nil and
// CodeInternal for an error without one.
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

package primrosespar

import (
	"context"
	"time"
)

// Call is one request of a caller on its way through an entry host.
type Call struct {
	ID      RequestID `json:"id"`
	Account Account   `json:"account"`
	Class   Class     `json:"class"`
	// Key is the caller's idempotency key or a minted key; it may be empty
	// for a call of an idempotent class.
	Key string `json:"key,omitempty"`
	// FirstAttempt is the caller's word that no earlier call with the key can have
	// run: the key is new, or every earlier answer said "not run". Only with it
	// can a refusal that did not read the key's claim say that the work did not
	// run; without it an earlier call may have run elsewhere.
	FirstAttempt bool   `json:"first,omitempty"`
	ContentType  string `json:"content_type,omitempty"`
	Body         []byte `json:"body,omitempty"`
	// Remaining is the time left until the deadline when the call was handed over;
	// it goes between processes in place of a clock reading.
	Remaining time.Duration `json:"left"`
	// Deadline is the same moment on the clock of this process.
	Deadline time.Time `json:"-"`
	// Retry counts the earlier attempts; Exclude names their upstreams.
	Retry   int        `json:"retry,omitempty"`
	Exclude []Upstream `json:"exclude,omitempty"`
}

// Answer is the whole answer to one call.
type Answer struct {
	Code        Code   `json:"code"`
	Ran         Ran    `json:"ran"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Message     string `json:"message,omitempty"`
}

// AttemptOutcome is how one attempt at an upstream ended, for the choice of
// upstreams and the shares of the account.
type AttemptOutcome struct {
	Code Code
	// Sent is false if no byte of the call can have left.
	Sent    bool
	Leaving bool
	Latency time.Duration
}

// Grant is the right to make one attempt at an upstream.
type Grant interface {
	// Target is the upstream to call.
	Target() UpstreamEntry
	// Release gives the slot back; it must be called exactly once.
	Release(outcome AttemptOutcome)
}

// Dispatcher admits calls under the limits of their contracts and gives each
// an upstream with a free slot.
type Dispatcher interface {
	// Acquire waits in the queue of the account's class. It returns a Failure
	// for a call that did not get a slot; such a call did not run.
	Acquire(ctx context.Context, call Call) (Grant, error)
}

// Router serves one call from admission to the whole answer.
type Router interface {
	// Serve always returns an answer; a refusal is an Answer with its Code.
	Serve(ctx context.Context, call Call) Answer
}

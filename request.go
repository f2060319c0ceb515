package primrosespar

import (
	"context"
	"time"
)

// Call is one request of a caller to an entry host.
type Call struct {
	ID      RequestID `json:"id"`
	Account Account   `json:"account"`
	Class   Class     `json:"class"`
	// Key is the caller's idempotency key or a minted key. It may be empty for
	// a call of an idempotent class.
	Key string `json:"key,omitempty"`
	// FirstAttempt is the caller's assertion that no earlier call with the key
	// can have run: the key is new, or every earlier answer said "not run".
	// Without it, an earlier call may have run elsewhere, and a refusal that
	// did not read the key's claim cannot say that the work did not run.
	FirstAttempt bool   `json:"first,omitempty"`
	ContentType  string `json:"content_type,omitempty"`
	Body         []byte `json:"body,omitempty"`
	// Remaining is the time until the deadline when the call was sent to
	// another process. It is sent instead of the deadline, because the clocks
	// of two processes cannot be compared.
	Remaining time.Duration `json:"left"`
	// Deadline is the deadline on the clock of this process.
	Deadline time.Time `json:"-"`
	// Retry is the number of earlier attempts, and Exclude are their upstreams.
	Retry   int        `json:"retry,omitempty"`
	Exclude []Upstream `json:"exclude,omitempty"`
}

// Answer is the complete answer to one call.
type Answer struct {
	Code        Code   `json:"code"`
	Ran         Ran    `json:"ran"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Message     string `json:"message,omitempty"`
}

// AttemptOutcome is the outcome of one attempt at an upstream. It informs the
// choice of upstreams and the accounting of the account's shares.
type AttemptOutcome struct {
	Code Code
	// Sent is false if no byte of the call can have been sent.
	Sent    bool
	Leaving bool
	Latency time.Duration
}

// Grant is the permission to make one attempt at an upstream.
type Grant interface {
	// Target is the upstream to call.
	Target() UpstreamEntry
	// Release frees the slot. It must be called exactly once.
	Release(outcome AttemptOutcome)
}

// Dispatcher admits calls within the limits of their contracts and assigns each
// of them to an upstream with a free slot.
type Dispatcher interface {
	// Acquire waits in the queue of the account's class for a slot. It returns
	// a Failure if the call got no slot and so did not run.
	Acquire(ctx context.Context, call Call) (Grant, error)
}

// Router serves calls, from admission to the complete answer.
type Router interface {
	// Serve always returns an answer. A refusal is an Answer with a Code.
	Serve(ctx context.Context, call Call) Answer
}

package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// Poll is one request for a worker's report. It renews the worker's lease and
// lets the worker forget ends that are stored.
type Poll struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	// Acknowledged is the sequence up to which the ends are stored.
	Acknowledged uint64
	// LeaseUntil is the end of the lease on the worker's clock; 0 leaves it.
	LeaseUntil time.Duration
	// Wait lets the answer wait for an end.
	Wait time.Duration
}

// Start is the order to start one run.
type Start struct {
	Worker     Worker
	Address    netip.AddrPort
	Token      Token
	Run        Run
	Spec       string
	LeaseUntil time.Duration
	Checkpoint string
	// Ticket is the approval of the advice service, for queues that need one.
	Ticket string
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Job        JobID
	Occurrence int
	Step       int
	Workers    []Worker
}

// Advice is the answer: the tickets of the workers that may run the step, and
// how long they are good. Workers without a ticket may never run it.
type Advice struct {
	Tickets  map[Worker]string
	Validity time.Duration
}

// Stop is the order to stop one run. Once it is answered, the run never
// starts on that worker.
type Stop struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	Run     Run
}

// Throttle lets a run work at a share of its speed.
type Throttle struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	Run     Run
	Percent int
}

// Fleet sends orders to workers. An order without an answer may be carried out
// later; its error has CodeWorkerLost. An order that has not left has
// CodePeerUnavailable. Refusals have CodeStaleToken, CodeStaleAttempt,
// CodeWorkerLate, CodeWorkerFull, CodeWorkerRestarted or CodeWorkerUnhealthy. None of
// them had an effect.
type Fleet interface {
	// Poll reads what the worker holds and what has ended there.
	Poll(ctx context.Context, poll Poll) (WorkerReport, error)
	// Start starts a run; it also succeeds if the run is already there.
	Start(ctx context.Context, start Start) error
	// Stop stops a run.
	Stop(ctx context.Context, stop Stop) error
	// Throttle sets how fast a run works; it starts at full speed.
	Throttle(ctx context.Context, throttle Throttle) error
	// Advise asks which workers may run a step. The service answers one call of
	// a host after the other.
	Advise(ctx context.Context, request AdviceRequest) (Advice, error)
}

// Source reads what the operators and the workers publish.
type Source interface {
	// Catalog reads the newest catalog.
	Catalog(ctx context.Context) (*Catalog, error)
	// ListWorkers reads the workers that announce themselves.
	ListWorkers(ctx context.Context) ([]WorkerInfo, error)
}

// JobService serves the callers of one host.
type JobService interface {
	// Catalog returns the catalog in force, nil before the first one.
	Catalog() *Catalog
	// Submit returns nil once the job is stored. CodeOutcomeUnknown leaves it
	// open; any other failure says that the job was not accepted.
	Submit(ctx context.Context, job Submission) error
	// State returns the state of a job or CodeNotFound.
	State(ctx context.Context, id JobID) (JobState, error)
	// Cancel returns nil once the cancellation is stored, or CodeNotFound.
	Cancel(ctx context.Context, id JobID) error
	// Waiting returns the number of the queue's jobs that have not begun.
	Waiting(ctx context.Context, queue Queue) (int, error)
}

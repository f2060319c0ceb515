package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// Poll requests a worker's report. It also renews the worker's lease and
// acknowledges the ended runs that are stored, which the worker then forgets.
type Poll struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	// Acknowledged is the sequence number up to which ended runs are stored.
	Acknowledged uint64
	// LeaseUntil is the new end of the lease on the worker's clock; 0 leaves it
	// unchanged.
	LeaseUntil time.Duration
	// Wait is how long the worker may delay the answer until a run ends.
	Wait time.Duration
}

// Start is an order to start a run.
type Start struct {
	Worker     Worker
	Address    netip.AddrPort
	Token      Token
	Run        Run
	Spec       string
	LeaseUntil time.Duration
	Checkpoint string
	// Ticket is the ticket of the advice service, for advised queues.
	Ticket string
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Job        JobID
	Occurrence int
	Step       int
	Workers    []Worker
	// Timeout is how long the holder waits for the answer.
	Timeout time.Duration `cbor:"-"`
}

// Advice is the answer of the advice service: the tickets of the workers that
// may run the step, and how long the tickets are valid. Workers without a
// ticket may never run it.
type Advice struct {
	Tickets  map[Worker]string
	Validity time.Duration
	// Complete is set if the tickets are those of all approved workers. If not,
	// a worker without one may be approved all the same.
	Complete bool
}

// Stop is an order to stop a run. Once the worker has answered it, the run
// never starts on that worker.
type Stop struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	Run     Run
}

// Throttle is an order to limit a run to a percentage of its full speed.
type Throttle struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	Run     Run
	Percent int
}

// Fleet sends orders to workers. CodeWorkerLost means that an order was sent
// but not answered and may still be carried out. CodePeerUnavailable means that
// it was not sent. A worker refuses an order with CodeStaleToken,
// CodeStaleAttempt, CodeWorkerLate, CodeWorkerFull, CodeWorkerRestarted or
// CodeWorkerUnhealthy. An order that was not sent or was refused has no effect.
type Fleet interface {
	// Poll returns the active and ended runs of the worker.
	Poll(ctx context.Context, poll Poll) (WorkerReport, error)
	// Start starts a run. It also succeeds if the worker already has the run.
	Start(ctx context.Context, start Start) error
	// Stop stops a run.
	Stop(ctx context.Context, stop Stop) error
	// Throttle sets the speed of a run, which starts at full speed.
	Throttle(ctx context.Context, throttle Throttle) error
	// Advise asks which workers may run a step. The service serves only one
	// call per host at a time.
	Advise(ctx context.Context, request AdviceRequest) (Advice, error)
}

// Source reads the catalog of the operators and the announcements of the
// workers.
type Source interface {
	// Catalog returns the newest catalog.
	Catalog(ctx context.Context) (*Catalog, error)
	// ListWorkers returns the announced workers.
	ListWorkers(ctx context.Context) ([]WorkerInfo, error)
}

// JobService is the API of a host for jobs of several steps.
type JobService interface {
	// Catalog returns the catalog in use, or nil before the first one is read.
	Catalog() *Catalog
	// Submit returns nil once the job is stored. After CodeOutcomeUnknown the
	// job may be stored; any other failure means that it was not accepted.
	// CodeForbidden means that its ID is that of a job which the caller has no
	// right to.
	Submit(ctx context.Context, job Submission) error
	// State returns the state of a job, or CodeNotFound, also if the caller has
	// no right to the job.
	State(ctx context.Context, request JobRequest) (JobState, error)
	// Cancel returns nil once the cancellation is stored, or CodeNotFound, also
	// if the caller has no right to the job.
	Cancel(ctx context.Context, request JobRequest) error
	// Waiting returns the number of jobs of the queue that have not started.
	Waiting(ctx context.Context, queue Queue) (int, error)
}

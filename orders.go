package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// Look is one request for a worker's report. It renews the worker's lease and
// lets the worker forget ends that are stored.
type Look struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	// Noted is the sequence up to which the ends are stored.
	Noted uint64
	// Until is the end of the lease on the worker's clock; 0 leaves it.
	Until time.Duration
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
	Until      time.Duration
	Checkpoint string
	// Ticket is the approval of the advice service, for queues that need one.
	Ticket string
}

// Question asks the advice service which workers may run a step.
type Question struct {
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

// Pace lets a run work at a share of its speed.
type Pace struct {
	Worker  Worker
	Address netip.AddrPort
	Token   Token
	Run     Run
	Percent int
}

// Fleet sends orders to workers. An order without an answer may be carried out
// later; its error has CodeWorkerLost. An order that has not left has
// CodePeerUnavailable. Refusals have CodeStaleToken, CodeStaleAttempt,
// CodeWorkerLate, CodeWorkerFull, CodeWorkerReborn or CodeWorkerUnwell. None of
// them had an effect.
type Fleet interface {
	// Look reads what the worker holds and what has ended there.
	Look(ctx context.Context, look Look) (WorkerReport, error)
	// Start starts a run; it also succeeds if the run is already there.
	Start(ctx context.Context, start Start) error
	// Stop stops a run.
	Stop(ctx context.Context, stop Stop) error
	// Pace sets how fast a run works; it starts at full speed.
	Pace(ctx context.Context, pace Pace) error
	// Advise asks which workers may run a step. The service answers one call of
	// a host after the other.
	Advise(ctx context.Context, question Question) (Advice, error)
}

// Source reads what the operators and the workers publish.
type Source interface {
	// Catalog reads the newest catalog.
	Catalog(ctx context.Context) (*Catalog, error)
	// Members reads the workers that announce themselves.
	Members(ctx context.Context) ([]Member, error)
}

// Desk serves the callers of one host.
type Desk interface {
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

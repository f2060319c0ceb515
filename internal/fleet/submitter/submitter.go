// Package submitter serves the callers of one host: it passes their jobs to the
// holder of the fleet lease. If it cannot reach the holder, it writes them to
// the holder's inbox in the store.
//
// # Usage
//
//	s, err := submitter.New(parts)
//	err = s.Submit(ctx, job)
//
// A submission is idempotent by its job ID: however often and by whichever path
// it arrives, it makes one job. So a submission without an answer may be
// repeated by the other path.
package submitter

import (
	"context"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/postponer"
)

// Timeouts of one call.
const (
	// holderCheckInterval is the time between two checks whether the holder to
	// which a call was sent still is the holder.
	holderCheckInterval = 100 * time.Millisecond
	// queryTimeout bounds a query to the holder.
	queryTimeout = 500 * time.Millisecond
	// searchInterval is the wait before a holder is looked up again.
	searchInterval = 50 * time.Millisecond
	// searchTimeout bounds the search for a holder before the inbox is used.
	searchTimeout = 300 * time.Millisecond
	// inboxTimeout bounds a submission through the inbox.
	inboxTimeout = 800 * time.Millisecond
	// probeTimeout bounds the read that precedes a submission through the inbox.
	probeTimeout = 400 * time.Millisecond
	// slowReadTime is how long a read takes if the store is slow.
	slowReadTime = 150 * time.Millisecond
	// attemptMargin is the time that a caller must have left for another
	// attempt. One that is given up before its answer has an unknown outcome.
	attemptMargin = 150 * time.Millisecond
	// defaultCallTime bounds a call without a deadline.
	defaultCallTime = 2 * time.Second
	// maxLeastCallTime bounds the time that a caller must wait for a change to
	// be tried.
	maxLeastCallTime = 100 * time.Millisecond
	// maxCountAge is the maximum age of a count of waiting jobs. A job has to
	// be counted within 5 s after it was accepted, and a job that goes through
	// the inbox is counted up to 2 s late.
	maxCountAge = 3 * time.Second
)

// Term is the term of this host as holder of the fleet lease.
type Term interface {
	Submit(ctx context.Context, job primrosespar.Submission) error
	Cancel(ctx context.Context, request primrosespar.JobRequest) error
	State(ctx context.Context, request primrosespar.JobRequest) (primrosespar.JobState, error)
	// Waiting returns the number of jobs that have not started, by queue. It
	// reports false until they are counted.
	Waiting() (map[primrosespar.Queue]int, bool)
}

// Parts are the dependencies of a Submitter.
type Parts struct {
	Table primrosespar.Table
	Peers primrosespar.FleetPeers
	Clock primrosespar.Clock
	// Term returns the term of this host, or nil if it does not hold the lease.
	Term func() Term
	// Holder returns the address of the holder if it is another host.
	Holder func() (netip.AddrPort, bool)
	// Search makes the election read who the holder is; it may be nil.
	Search func()
	// StoreSlow reports whether the store is slow.
	StoreSlow func() bool
	// Waiting returns the last count of waiting jobs that a holder has sent,
	// and its age. It reports false if there is none.
	Waiting func() (map[primrosespar.Queue]int, time.Duration, bool)
	// Catalog returns the current catalog, or nil if the host knows none that
	// is recent enough to serve callers.
	Catalog func() *primrosespar.Catalog
	// JobMemory limits the memory of a job that is accepted without the holder;
	// 0 is no limit.
	JobMemory int64
}

// Submitter implements primrosespar.JobService. It is safe for concurrent use.
type Submitter struct {
	parts     Parts
	encoder   *encoder.Encoder
	postponer *postponer.Postponer
	gate      gate
	// servedTime is how long the last change that was made took, in nanoseconds.
	servedTime atomic.Int64
}

var _ primrosespar.JobService = (*Submitter)(nil)

// New returns a Submitter.
func New(parts Parts) (*Submitter, error) {
	enc, err := encoder.New()
	if err != nil {
		return nil, err
	}
	if parts.Search == nil {
		parts.Search = func() {}
	}
	return &Submitter{parts: parts, encoder: enc, postponer: postponer.New(), gate: gate{clock: parts.Clock}}, nil
}

// Catalog implements primrosespar.JobService.
func (s *Submitter) Catalog() *primrosespar.Catalog { return s.parts.Catalog() }

// Submit implements primrosespar.JobService.
func (s *Submitter) Submit(ctx context.Context, job primrosespar.Submission) error {
	call := postponer.Call{Bytes: job.Memory(), Priority: job.Terms.Priority, Spread: spread(job.ID)}
	return s.submitChange(ctx, call, change{
		local:  func(ctx context.Context, term Term) error { return term.Submit(ctx, job) },
		remote: func(ctx context.Context, holder netip.AddrPort) error { return s.parts.Peers.Submit(ctx, holder, job) },
		inbox:  func(ctx context.Context) error { return s.submitToInbox(ctx, job) },
	})
}

// Cancel implements primrosespar.JobService.
func (s *Submitter) Cancel(ctx context.Context, request primrosespar.JobRequest) error {
	return s.submitChange(ctx, postponer.Call{Spread: spread(request.Job)}, change{
		local: func(ctx context.Context, term Term) error { return term.Cancel(ctx, request) },
		remote: func(ctx context.Context, holder netip.AddrPort) error {
			return s.parts.Peers.Cancel(ctx, holder, request)
		},
		inbox: func(ctx context.Context) error { return s.cancelInInbox(ctx, request) },
	})
}

// spread returns a number from 0 to 1 that depends on the job only.
func spread(id primrosespar.JobID) float64 {
	return float64(xxhash.Sum64String(string(id))) / math.MaxUint64
}

// submitToInbox writes the job to the inbox, which the holder reads. It refuses
// the job while the store is slow: a part of the store then makes a few
// transactions a second, and the next holder needs them to take over.
func (s *Submitter) submitToInbox(ctx context.Context, job primrosespar.Submission) error {
	if s.parts.StoreSlow() {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "there is no holder and the store is slow")
	}
	if need := job.Memory(); s.parts.JobMemory > 0 && need > s.parts.JobMemory {
		return primrosespar.Fail(primrosespar.CodeJobTooLarge, "the job needs %d bytes, a host has %d for jobs", need, s.parts.JobMemory)
	}
	value, err := s.encoder.Submission(job)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, inboxTimeout)
	defer cancel()
	// A store that does not answer a read gets no write, whose outcome would be
	// unknown.
	startedAt := s.parts.Clock.Now()
	readCtx, cancelRead := context.WithTimeout(ctx, probeTimeout)
	defer cancelRead()
	row, err := s.parts.Table.Get(readCtx, primrosespar.FleetInboxSubmitKey(job.ID))
	switch {
	case err == nil && s.parts.Clock.Since(startedAt) > slowReadTime:
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "there is no holder and the store is slow")
	case err != nil:
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "there is no holder and the store does not answer").WithCause(err)
	case row[0].Version > 0:
		return s.checkStored(ctx, job)
	}
	_, err = s.parts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{
			{Key: primrosespar.FleetInboxSubmitKey(job.ID)}, {Key: primrosespar.ProgressKey(job.ID)},
		},
		Writes: []primrosespar.Write{{Key: primrosespar.FleetInboxSubmitKey(job.ID), Value: value}},
	})
	switch primrosespar.CodeOf(err) {
	case primrosespar.CodeConflict:
		// One of the two rows exists, so the job is already stored.
		return s.checkStored(ctx, job)
	case primrosespar.CodeStoreUnknown:
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the store did not answer").WithCause(err)
	default:
		return err
	}
}

// checkStored returns CodeForbidden if the stored job with the ID of the
// submission is one that its caller has no right to.
func (s *Submitter) checkStored(ctx context.Context, job primrosespar.Submission) error {
	stored, err := s.readStored(ctx, job.ID)
	switch {
	case primrosespar.CodeOf(err) == primrosespar.CodeNotFound:
		return nil
	case err != nil:
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the stored job cannot be read").WithCause(err)
	case !job.Request().MayUse(stored.account, stored.queue):
		return primrosespar.Fail(primrosespar.CodeForbidden, "the ID of job %q is in use by another caller", job.ID)
	}
	return nil
}

// cancelInInbox writes the cancellation to the inbox if the job is stored and
// has not ended.
func (s *Submitter) cancelInInbox(ctx context.Context, request primrosespar.JobRequest) error {
	state, err := s.readState(ctx, request)
	if err != nil || state.Ended() {
		return err
	}
	value, err := s.encoder.JobRequest(request)
	if err != nil {
		return err
	}
	_, err = s.parts.Table.Commit(ctx, primrosespar.Txn{
		Writes: []primrosespar.Write{{Key: primrosespar.FleetInboxCancelKey(request.Job), Value: value}},
	})
	if primrosespar.CodeOf(err) == primrosespar.CodeStoreUnknown {
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the store did not answer").WithCause(err)
	}
	return err
}

// State implements primrosespar.JobService.
func (s *Submitter) State(ctx context.Context, request primrosespar.JobRequest) (primrosespar.JobState, error) {
	state, err := s.queryHolder(ctx, request)
	if err == nil {
		return state, nil
	}
	// A new holder may not have loaded the job yet, and a replaced holder may
	// not know it; the store does.
	probe, ok := s.gate.enter()
	if !ok {
		return "", primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store did not answer another call").WithCause(err)
	}
	answered, failed := false, false
	defer func() { s.gate.leave(probe, answered, failed) }()
	state, err = s.readState(ctx, request)
	failed = primrosespar.CodeOf(err) == primrosespar.CodeStoreUnavailable && ctx.Err() == nil
	answered = err == nil || primrosespar.CodeOf(err) == primrosespar.CodeNotFound
	return state, err
}

// queryHolder queries the state of a job at the holder.
func (s *Submitter) queryHolder(ctx context.Context, request primrosespar.JobRequest) (primrosespar.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if term := s.parts.Term(); term != nil {
		return term.State(ctx, request)
	}
	holder, ok := s.parts.Holder()
	if !ok {
		return "", primrosespar.Fail(primrosespar.CodeNotHolder, "no holder is known")
	}
	return s.parts.Peers.State(ctx, holder, request)
}

// readState reads the state of a job that the caller has a right to from the
// store.
func (s *Submitter) readState(ctx context.Context, request primrosespar.JobRequest) (primrosespar.JobState, error) {
	stored, err := s.readStored(ctx, request.Job)
	if err != nil {
		return "", err
	}
	if !request.MayUse(stored.account, stored.queue) {
		return "", notFound(request.Job)
	}
	return stored.state, nil
}

// storedJob is what the store says about a job. The queue is empty if an
// earlier release has stored the end of the job.
type storedJob struct {
	state   primrosespar.JobState
	account primrosespar.Account
	queue   primrosespar.Queue
}

// readStored reads a job from the store. A job that is only in the inbox is
// queued.
func (s *Submitter) readStored(ctx context.Context, id primrosespar.JobID) (storedJob, error) {
	rows, err := s.parts.Table.Get(ctx, primrosespar.FleetInboxSubmitKey(id), primrosespar.ProgressKey(id))
	if err != nil {
		return storedJob{}, err
	}
	stored := storedJob{state: primrosespar.JobQueued}
	submission := rows[0]
	switch {
	case rows[1].Version > 0:
		progress, err := s.encoder.ParseProgress(rows[1].Value)
		if err != nil {
			return storedJob{}, err
		}
		stored.state = progress.State
		submissions, err := s.parts.Table.Get(ctx, primrosespar.SubmissionKey(id))
		if err != nil {
			return storedJob{}, err
		}
		submission = submissions[0]
	case rows[0].Version == 0:
		return storedJob{}, notFound(id)
	}
	if submission.Version > 0 {
		job, err := s.encoder.ParseSubmission(submission.Value)
		if err != nil {
			return storedJob{}, err
		}
		stored.account, stored.queue = job.Account, job.Queue
	}
	return stored, nil
}

// notFound returns the failure of a request for a job that does not exist or
// that the caller has no right to.
func notFound(id primrosespar.JobID) error {
	return primrosespar.Fail(primrosespar.CodeNotFound, "job %q does not exist", id)
}

// Waiting implements primrosespar.JobService.
func (s *Submitter) Waiting(_ context.Context, queue primrosespar.Queue) (int, error) {
	if term := s.parts.Term(); term != nil {
		if waiting, ok := term.Waiting(); ok {
			return waiting[queue], nil
		}
	}
	waiting, age, ok := s.parts.Waiting()
	if !ok || age > maxCountAge {
		return 0, primrosespar.Fail(primrosespar.CodeStarting, "the count of waiting jobs is older than %s or was never received", maxCountAge)
	}
	return waiting[queue], nil
}

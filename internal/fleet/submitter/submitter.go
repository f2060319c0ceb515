// Package submitter serves the callers of one host: it passes their jobs to the
// holder of the fleet lease, and writes to the store itself when it cannot
// reach the holder.
//
// # Usage
//
//	s := submitter.New(parts)
//	err := s.Submit(ctx, job)
//
// A submission is idempotent by its id: whichever way it arrives, and however
// often, it is one job. So a submission without an answer may go another way.
package submitter

import (
	"context"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// Times of one call.
const (
	// holderTime bounds a change at the holder before the store is tried.
	holderTime = 900 * time.Millisecond
	// askTime bounds a question to the holder.
	askTime = 500 * time.Millisecond
	// searchPause is the wait for a holder to be found.
	searchPause = 50 * time.Millisecond
	// searchTime bounds the search before the store is tried.
	searchTime = 300 * time.Millisecond
	// countAge is how old a count of waiting jobs may be. A job has to be seen
	// 5 s after it was accepted, and a job that the mail carries is counted up
	// to 2 s late.
	countAge = 3 * time.Second
)

// Term is a holder's term at this host.
type Term interface {
	Submit(ctx context.Context, job primrosespar.Submission) error
	Cancel(ctx context.Context, id primrosespar.JobID) error
	State(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error)
	// Waiting returns the jobs without a start; false until they are counted.
	Waiting() (map[primrosespar.Queue]int, bool)
}

// Parts are what a Submitter works with.
type Parts struct {
	Table primrosespar.Table
	Peers primrosespar.FleetPeers
	Clock primrosespar.Clock
	// Term returns the term of this host, nil if it does not hold the lease.
	Term func() Term
	// Holder returns the address of the holder if it is another host.
	Holder func() (netip.AddrPort, bool)
	// Waiting returns what a holder last counted and the age of the count.
	Waiting func() (map[primrosespar.Queue]int, time.Duration, bool)
	// Catalog returns the catalog in force.
	Catalog func() *primrosespar.Catalog
}

// Submitter implements primrosespar.JobService. It is safe for concurrent use.
type Submitter struct {
	parts   Parts
	encoder *encoder.Encoder
}

var _ primrosespar.JobService = (*Submitter)(nil)

// New returns a Submitter.
func New(parts Parts) (*Submitter, error) {
	enc, err := encoder.New()
	if err != nil {
		return nil, err
	}
	return &Submitter{parts: parts, encoder: enc}, nil
}

// Catalog implements primrosespar.JobService.
func (c *Submitter) Catalog() *primrosespar.Catalog { return c.parts.Catalog() }

// Submit implements primrosespar.JobService.
func (c *Submitter) Submit(ctx context.Context, job primrosespar.Submission) error {
	return c.change(ctx,
		func(ctx context.Context, t Term) error { return t.Submit(ctx, job) },
		func(ctx context.Context, to netip.AddrPort) error { return c.parts.Peers.Submit(ctx, to, job) },
		func(ctx context.Context) error { return c.mailSubmit(ctx, job) })
}

// Cancel implements primrosespar.JobService.
func (c *Submitter) Cancel(ctx context.Context, id primrosespar.JobID) error {
	return c.change(ctx,
		func(ctx context.Context, t Term) error { return t.Cancel(ctx, id) },
		func(ctx context.Context, to netip.AddrPort) error { return c.parts.Peers.Cancel(ctx, to, id) },
		func(ctx context.Context) error { return c.mailCancel(ctx, id) })
}

// change makes a change at the holder, or through the store if the holder
// cannot be reached or does not know the job.
func (c *Submitter) change(ctx context.Context,
	here func(context.Context, Term) error,
	there func(context.Context, netip.AddrPort) error,
	mail func(context.Context) error,
) error {
	started := c.parts.Clock.Now()
	doubt := false
	for {
		err := c.atHolder(ctx, here, there)
		code := primrosespar.CodeOf(err)
		if err == nil || code == primrosespar.CodeStoreUnavailable {
			return withDoubt(err, doubt)
		}
		doubt = doubt || code == primrosespar.CodeOutcomeUnknown
		if code == primrosespar.CodeNotHolder && c.parts.Clock.Since(started) < searchTime && ctx.Err() == nil {
			c.pause(ctx)
			continue
		}
		return withDoubt(mail(ctx), doubt)
	}
}

// withDoubt turns a refusal into an unknown outcome if an earlier attempt may
// have had effect.
func withDoubt(err error, doubt bool) error {
	if err == nil || !doubt || primrosespar.CodeOf(err) == primrosespar.CodeNotFound {
		return err
	}
	return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "an attempt was not answered").WithCause(err)
}

// atHolder makes the change at the holder, here or at another host.
func (c *Submitter) atHolder(ctx context.Context,
	here func(context.Context, Term) error,
	there func(context.Context, netip.AddrPort) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, holderTime)
	defer cancel()
	if t := c.parts.Term(); t != nil {
		return here(ctx, t)
	}
	to, ok := c.parts.Holder()
	if !ok {
		return primrosespar.Fail(primrosespar.CodeNotHolder, "no holder is known")
	}
	return there(ctx, to)
}

// pause waits for a holder to be found.
func (c *Submitter) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.parts.Clock.After(searchPause):
	}
}

// mailSubmit stores the job for the next holder that reads the mail.
func (c *Submitter) mailSubmit(ctx context.Context, job primrosespar.Submission) error {
	value, err := c.encoder.Submission(job)
	if err != nil {
		return err
	}
	_, err = c.parts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{
			{Key: primrosespar.FleetInboxSubmitKey(job.ID)}, {Key: primrosespar.ProgressKey(job.ID)},
		},
		Writes: []primrosespar.Write{{Key: primrosespar.FleetInboxSubmitKey(job.ID), Value: value}},
	})
	switch primrosespar.CodeOf(err) {
	case primrosespar.CodeConflict:
		// One of the rows is there, so the job is stored.
		return nil
	case primrosespar.CodeStoreUnknown:
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the store did not answer").WithCause(err)
	default:
		return err
	}
}

// mailCancel stores the cancellation of a job that is stored.
func (c *Submitter) mailCancel(ctx context.Context, id primrosespar.JobID) error {
	state, err := c.stored(ctx, id)
	if err != nil || state.Ended() {
		return err
	}
	_, err = c.parts.Table.Commit(ctx, primrosespar.Txn{
		Writes: []primrosespar.Write{{Key: primrosespar.FleetInboxCancelKey(id), Value: []byte(id)}},
	})
	if primrosespar.CodeOf(err) == primrosespar.CodeStoreUnknown {
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the store did not answer").WithCause(err)
	}
	return err
}

// State implements primrosespar.JobService.
func (c *Submitter) State(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error) {
	state, err := c.ask(ctx, id)
	if err == nil {
		return state, nil
	}
	// A holder that has just taken over, or was replaced without knowing, may
	// not know the job; the store does.
	return c.stored(ctx, id)
}

// ask asks the holder for the state of a job.
func (c *Submitter) ask(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if t := c.parts.Term(); t != nil {
		return t.State(ctx, id)
	}
	to, ok := c.parts.Holder()
	if !ok {
		return "", primrosespar.Fail(primrosespar.CodeNotHolder, "no holder is known")
	}
	return c.parts.Peers.State(ctx, to, id)
}

// stored reads the state of a job from the store.
func (c *Submitter) stored(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error) {
	rows, err := c.parts.Table.Get(ctx, primrosespar.FleetInboxSubmitKey(id), primrosespar.ProgressKey(id))
	if err != nil {
		return "", err
	}
	if rows[1].Version > 0 {
		p, err := c.encoder.ParseProgress(rows[1].Value)
		if err != nil {
			return "", err
		}
		return p.State, nil
	}
	if rows[0].Version > 0 {
		return primrosespar.JobQueued, nil
	}
	return "", primrosespar.Fail(primrosespar.CodeNotFound, "job %s", id)
}

// Waiting implements primrosespar.JobService.
func (c *Submitter) Waiting(_ context.Context, queue primrosespar.Queue) (int, error) {
	if t := c.parts.Term(); t != nil {
		if waiting, ok := t.Waiting(); ok {
			return waiting[queue], nil
		}
	}
	waiting, age, ok := c.parts.Waiting()
	if !ok || age > countAge {
		return 0, primrosespar.Fail(primrosespar.CodeStarting, "no holder has counted the jobs for %s", countAge)
	}
	return waiting[queue], nil
}

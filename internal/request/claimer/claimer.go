// Package claimer makes sure that each idempotency key is run by at most one
// attempt.
//
// A claim is one row of the table. It is written before the first byte of the
// call is sent, on the condition that the key is free, and belongs to its
// attempt permanently: no other host takes over a row in state claimed. If the
// answer to the write is lost, the row is read and its attempt ID compared.
//
// # Usage
//
//	found := claims.Lookup(ctx, call)         // Free, or the state of an earlier use
//	claim := claims.Acquire(ctx, call, found) // Run for at most one attempt
//	claims.Finish(ctx, claim, answer, mayHaveRun)
//
// Begin combines Lookup and Acquire and waits for the claim of another caller
// to end. Run retries, in the background, records that could not be written.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Status is the state of a key as it concerns one call.
type Status int

const (
	// Free means that the key can be claimed with Acquire. Only Lookup and
	// Await return it.
	Free Status = iota + 1
	// Run means that this call holds the claim and has to run.
	Run
	// Replay means that the key has run and its answer is in the Claim.
	Replay
	// InProgress means that another attempt holds the key.
	InProgress
	// Unknown means that an attempt may have run and its outcome is not known.
	Unknown
	// KeyReused means that the key was used for another class or body.
	KeyReused
	// StoreUnavailable means that the table could not be read or written.
	StoreUnavailable
)

// Claim is the result of reading or claiming a key.
type Claim struct {
	Status  Status
	Attempt primrosespar.AttemptID
	// Answer is the first answer for Replay, and for Unknown if one is stored.
	Answer primrosespar.Answer
	// Checked is set if the row was read and the key had not run by then.
	// StoreUnavailable without it means that this call did not run, but that an
	// earlier use of the key may have run.
	Checked bool

	key     string
	digest  string
	version primrosespar.Version
}

// Claimer claims idempotency keys in the table. It is safe for concurrent use.
type Claimer struct {
	opts Options

	mu          sync.Mutex
	localClaims map[string]*localClaim
	queue       []*pendingRecord
	queuedBytes int64
	dropped     uint64
}

// localClaim is a claim of this host whose end is not in the table yet. Its
// answer is nil until the attempt ends.
type localClaim struct {
	attempt primrosespar.AttemptID
	digest  string
	answer  *primrosespar.Answer
}

// New returns a Claimer.
func New(opts ...Option) *Claimer {
	o := defaultOptions()
	for _, set := range opts {
		set(&o)
	}
	return &Claimer{opts: o, localClaims: map[string]*localClaim{}}
}

// Begin claims the key of the call. If another caller holds the claim, it waits
// for that to end, at most until the deadline of the call.
func (c *Claimer) Begin(ctx context.Context, call primrosespar.Call) Claim {
	for {
		claim := c.Lookup(ctx, call)
		if claim.Status == InProgress {
			claim = c.Await(ctx, call)
		}
		if claim.Status == Free {
			claim = c.Acquire(ctx, call, claim)
		}
		if claim.Status != InProgress {
			return claim
		}
		if c.timeLeft(ctx, call) <= 0 {
			return claim
		}
	}
}

// Lookup reads the state of the call's key without claiming it.
func (c *Claimer) Lookup(ctx context.Context, call primrosespar.Call) Claim {
	key := primrosespar.ClaimKey(call.Account, call.Key)
	digest := digestOf(call)
	if claim, ok := c.lookupLocal(key, digest); ok {
		return claim
	}
	row, rec, err := c.readRecord(ctx, key)
	if err != nil {
		return Claim{Status: StoreUnavailable}
	}
	if row.Version != 0 && rec.Digest != digest {
		return Claim{Status: KeyReused}
	}
	switch {
	case row.Version == 0, rec.State == stateNotRun:
		return Claim{Status: Free, Checked: true, key: key, digest: digest, version: row.Version}
	case rec.State == stateDone:
		return c.loadReplay(ctx, call, rec)
	case rec.State == stateClaimed:
		return Claim{Status: InProgress, Attempt: rec.Attempt}
	default:
		claim := c.loadReplay(ctx, call, rec)
		claim.Status = Unknown
		return claim
	}
}

// lookupLocal returns the state of a key whose attempt at this host is running,
// or has ended but is not yet recorded in the table.
func (c *Claimer) lookupLocal(key, digest string) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	local, ok := c.localClaims[key]
	switch {
	case !ok:
		return Claim{}, false
	case local.digest != digest:
		return Claim{Status: KeyReused}, true
	case local.answer == nil:
		return Claim{Status: InProgress, Attempt: local.attempt}, true
	case local.answer.Ran == primrosespar.RanUnknown:
		return Claim{Status: Unknown, Attempt: local.attempt, Answer: *local.answer}, true
	default:
		return Claim{Status: Replay, Attempt: local.attempt, Answer: *local.answer}, true
	}
}

// loadReplay returns the stored answer. A body in the object store is fetched,
// with retries until the deadline. If that fails the status is Unknown, since
// an answer is never returned in part.
func (c *Claimer) loadReplay(ctx context.Context, call primrosespar.Call, rec record) Claim {
	claim := Claim{Status: Replay, Attempt: rec.Attempt}
	if rec.Answer != nil {
		claim.Answer = *rec.Answer
	}
	if rec.Object == "" {
		return claim
	}
	pause := c.opts.MinPollInterval
	for {
		body, err := c.opts.Objects.Fetch(ctx, rec.Object)
		if err == nil {
			claim.Answer.Body = body
			return claim
		}
		if !c.waitWithinDeadline(ctx, call, pause) {
			return Claim{Status: Unknown, Attempt: rec.Attempt}
		}
		pause = min(2*pause, c.opts.MaxPollInterval)
	}
}

// waitWithinDeadline waits for the pause, at most until the deadline of the
// call. It returns false if the deadline has passed or the context has ended.
func (c *Claimer) waitWithinDeadline(ctx context.Context, call primrosespar.Call, pause time.Duration) bool {
	timeLeft := c.timeLeft(ctx, call)
	if timeLeft <= 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.opts.Clock.After(min(pause, timeLeft)):
		return true
	}
}

// Await polls the key with exponential backoff until its claim has ended or the
// deadline has passed. At the deadline it returns InProgress for an attempt
// that is running at this host and Unknown for one at another host.
func (c *Claimer) Await(ctx context.Context, call primrosespar.Call) Claim {
	pause := c.opts.MinPollInterval
	for {
		if !c.waitWithinDeadline(ctx, call, pause) {
			return c.claimAtDeadline(call)
		}
		claim := c.Lookup(ctx, call)
		// The key is known to be claimed, so a failed read changes nothing.
		if claim.Status != InProgress && claim.Status != StoreUnavailable {
			return claim
		}
		pause = min(2*pause, c.opts.MaxPollInterval)
	}
}

// claimAtDeadline returns the result for a claim that has not ended by the
// deadline of the call.
func (c *Claimer) claimAtDeadline(call primrosespar.Call) Claim {
	key := primrosespar.ClaimKey(call.Account, call.Key)
	if claim, ok := c.lookupLocal(key, digestOf(call)); ok {
		return claim
	}
	return Claim{Status: Unknown}
}

// Acquire claims a key that Lookup or Await found free. The status of the
// result is Run, InProgress if another attempt claimed the key first, or
// StoreUnavailable.
func (c *Claimer) Acquire(ctx context.Context, call primrosespar.Call, free Claim) Claim {
	claim := free
	claim.Attempt = c.opts.NewAttempt()
	if !c.addLocal(claim) {
		return Claim{Status: InProgress}
	}
	version, result := c.writeClaim(ctx, call, claim)
	switch result {
	case writeCommitted:
		claim.Status = Run
		claim.version = version
		return claim
	case writeConflict:
		c.removeLocal(claim)
		return Claim{Status: InProgress}
	case writeNotSent:
		c.removeLocal(claim)
		return Claim{Status: StoreUnavailable, Checked: true}
	default:
		// The claim may still be written, or may be already. The queued record
		// ends it, so that the key can be claimed again.
		c.removeLocal(claim)
		c.enqueue(&pendingRecord{claim: claim, record: record{
			Attempt: claim.Attempt, Digest: claim.digest, State: stateNotRun, Ended: c.opts.Clock.Now(),
		}})
		return Claim{Status: StoreUnavailable, Checked: true}
	}
}

// writeResult is the result of writing a claim.
type writeResult int

const (
	writeCommitted writeResult = iota
	// writeConflict means that another attempt claimed the key first.
	writeConflict
	writeNotSent
	// writeOutcomeUnknown means that the claim may or may not be written.
	writeOutcomeUnknown
)

// writeClaim writes the row of the claim. If an answer is lost, it finds out by
// reading the row and by repeating the write, until the deadline.
func (c *Claimer) writeClaim(ctx context.Context, call primrosespar.Call, claim Claim) (primrosespar.Version, writeResult) {
	value := encode(record{Attempt: claim.Attempt, Digest: claim.digest, State: stateClaimed})
	pause := c.opts.MinPollInterval
	sent := false
	for {
		version, err := c.commitRecord(ctx, claim.key, claim.version, value)
		switch primrosespar.CodeOf(err) {
		case primrosespar.CodeOK:
			return version, writeCommitted
		case primrosespar.CodeConflict:
			if !sent {
				return 0, writeConflict
			}
		case primrosespar.CodeStoreUnavailable:
			if !sent {
				return 0, writeNotSent
			}
		default:
			sent = true
		}
		row, rec, err := c.readRecord(ctx, claim.key)
		if err == nil && row.Version != 0 && rec.Attempt == claim.Attempt {
			return row.Version, writeCommitted
		}
		if err == nil && row.Version != claim.version {
			return 0, writeConflict
		}
		// The row is unchanged, but a write in flight may still change it.
		// Repeating the same conditional write resolves this: at most one of
		// the two succeeds.
		if !c.waitWithinDeadline(ctx, call, pause) {
			return 0, writeOutcomeUnknown
		}
		pause = min(2*pause, c.opts.MaxPollInterval)
	}
}

// addLocal records that an attempt of this host claims the key. It returns
// false if another attempt of this host already does.
func (c *Claimer) addLocal(claim Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, taken := c.localClaims[claim.key]; taken {
		return false
	}
	c.localClaims[claim.key] = &localClaim{attempt: claim.Attempt, digest: claim.digest}
	return true
}

// removeLocal removes the local claim if it belongs to the attempt of claim.
func (c *Claimer) removeLocal(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local, ok := c.localClaims[claim.key]; ok && local.attempt == claim.Attempt {
		delete(c.localClaims, claim.key)
	}
}

// timeLeft returns the time until the deadline of the call, 0 if the context
// has ended. It is also 0 for a call without a deadline, so that every wait is
// bounded.
func (c *Claimer) timeLeft(ctx context.Context, call primrosespar.Call) time.Duration {
	if ctx.Err() != nil || call.Deadline.IsZero() {
		return 0
	}
	return call.Deadline.Sub(c.opts.Clock.Now())
}

// digestOf returns a digest of the class and the body of the call, to detect a
// key that is reused for another request.
func digestOf(call primrosespar.Call) string {
	sum := sha256.New()
	sum.Write([]byte(call.Class))
	sum.Write([]byte{0})
	sum.Write(call.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// readRecord reads and decodes the row of the key. The record is empty if the
// row does not exist.
func (c *Claimer) readRecord(ctx context.Context, key string) (primrosespar.Row, record, error) {
	rows, err := c.opts.Table.Get(ctx, key)
	if err != nil {
		return primrosespar.Row{}, record{}, err
	}
	if len(rows) != 1 {
		return primrosespar.Row{}, record{}, primrosespar.FailUnknown(primrosespar.CodeInternal, "table returned %d rows for one key", len(rows))
	}
	var rec record
	if rows[0].Version != 0 {
		err = json.Unmarshal(rows[0].Value, &rec)
	}
	return rows[0], rec, err
}

// commitRecord writes the row of the key on the condition that it still has the
// version.
func (c *Claimer) commitRecord(ctx context.Context, key string, version primrosespar.Version, value []byte) (primrosespar.Version, error) {
	versions, err := c.opts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{{Key: key, Version: version}},
		Writes:     []primrosespar.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	if len(versions) != 1 {
		return 0, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "table returned %d versions for one write", len(versions))
	}
	return versions[0], nil
}

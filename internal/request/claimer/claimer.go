// Package claimer gives each idempotency key to at most one attempt.
//
// A claim is one row of the table, written on the condition that the key is
// free before the first byte is sent. It belongs to its attempt for good: no
// other host takes over a row in state claimed. A write whose answer was lost
// is resolved by reading the row and comparing the attempt id.
//
// # Usage
//
//	free := claims.Lookup(ctx, call)       // Free, or the end of an earlier use
//	claim := claims.Acquire(ctx, call, free) // Run for at most one attempt
//	claims.Finish(ctx, claim, answer, sent)
//
// Begin joins Lookup and Acquire and waits for a claim of another caller. Run
// retries in the background what the table did not take.
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

// Status says what a caller may do with its key.
type Status int

// Statuses. Free is returned by Lookup and Await only.
const (
	Free Status = iota + 1
	Run
	Replay
	InProgress
	Unknown
	KeyReused
	StoreUnavailable
)

// Claim is the result of a look at a key or of taking it.
type Claim struct {
	Status  Status
	Attempt primrosespar.AttemptID
	// Answer is the first answer for Replay, and for Unknown if one is stored.
	Answer primrosespar.Answer
	// Checked is set if the row was read and the key had not run by then. A
	// StoreUnavailable without it covers this call, not earlier uses.
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

// localClaim is a claim of this host whose end the table does not show yet.
type localClaim struct {
	attempt primrosespar.AttemptID
	digest  string
	answer  *primrosespar.Answer
}

// New returns a Claimer.
func New(opts ...Option) *Claimer {
	o := defaults()
	for _, set := range opts {
		set(&o)
	}
	return &Claimer{opts: o, localClaims: map[string]*localClaim{}}
}

// Begin claims the key of the call and waits up to the call's deadline for the
// claim of another caller to end.
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

// lookupLocal answers for a key that an attempt of this host holds or has ended
// without the table's knowledge.
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

// loadReplay returns the stored answer. Its body is fetched until the deadline; if
// that fails the verdict is Unknown, since nothing partial is passed on.
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

// waitWithinDeadline pauses within the call's deadline; it returns false if the deadline has
// passed or the caller has gone.
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

// Await polls the key with backoff until its claim has ended or the deadline
// has passed. At the deadline it returns InProgress for an attempt that runs
// at this host and Unknown for one elsewhere.
func (c *Claimer) Await(ctx context.Context, call primrosespar.Call) Claim {
	pause := c.opts.MinPollInterval
	for {
		if !c.waitWithinDeadline(ctx, call, pause) {
			return c.claimAtDeadline(call)
		}
		claim := c.Lookup(ctx, call)
		// The key was seen claimed, so a failed read says nothing new.
		if claim.Status != InProgress && claim.Status != StoreUnavailable {
			return claim
		}
		pause = min(2*pause, c.opts.MaxPollInterval)
	}
}

// claimAtDeadline is the verdict on a claim that outlasted the caller's deadline.
func (c *Claimer) claimAtDeadline(call primrosespar.Call) Claim {
	key := primrosespar.ClaimKey(call.Account, call.Key)
	if claim, ok := c.lookupLocal(key, digestOf(call)); ok {
		return claim
	}
	return Claim{Status: Unknown}
}

// Acquire claims a key that Lookup or Await found free. It returns Run,
// InProgress if another attempt was first, or StoreUnavailable.
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
		// The row may come to exist, so it has to be settled before the key
		// can be claimed again.
		c.removeLocal(claim)
		c.enqueue(&pendingRecord{claim: claim, record: record{
			Attempt: claim.Attempt, Digest: claim.digest, State: stateNotRun, Ended: c.opts.Clock.Now(),
		}})
		return Claim{Status: StoreUnavailable, Checked: true}
	}
}

// writeResult is how the write of a claim ended.
type writeResult int

const (
	writeCommitted writeResult = iota
	writeConflict
	writeNotSent
	writeOutcomeUnknown
)

// writeClaim commits the claim and resolves lost answers until the deadline.
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
		// An unchanged row may still be changed by the write in flight; the
		// same conditional write again decides it either way.
		if !c.waitWithinDeadline(ctx, call, pause) {
			return 0, writeOutcomeUnknown
		}
		pause = min(2*pause, c.opts.MaxPollInterval)
	}
}

// addLocal notes that an attempt of this host claims the key; it returns false if
// another one already does.
func (c *Claimer) addLocal(claim Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, taken := c.localClaims[claim.key]; taken {
		return false
	}
	c.localClaims[claim.key] = &localClaim{attempt: claim.Attempt, digest: claim.digest}
	return true
}

// removeLocal drops the note of the claim's attempt.
func (c *Claimer) removeLocal(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local, ok := c.localClaims[claim.key]; ok && local.attempt == claim.Attempt {
		delete(c.localClaims, claim.key)
	}
}

// timeLeft returns the time until the call's deadline, 0 if the caller has gone.
// A call without a deadline does not wait, so that every wait is bounded.
func (c *Claimer) timeLeft(ctx context.Context, call primrosespar.Call) time.Duration {
	if ctx.Err() != nil || call.Deadline.IsZero() {
		return 0
	}
	return call.Deadline.Sub(c.opts.Clock.Now())
}

// digestOf identifies what a key was used for: the class and the body.
func digestOf(call primrosespar.Call) string {
	sum := sha256.New()
	sum.Write([]byte(call.Class))
	sum.Write([]byte{0})
	sum.Write(call.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// readRecord returns the row of the key and its decoded record.
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

// commitRecord writes the key's row if it still has the version.
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

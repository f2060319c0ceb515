package claimer

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// state is the state of a claim row.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateNotRun  state = "not_run"
	stateUnknown state = "unknown"
)

// record is the value of a claim row.
type record struct {
	Attempt primrosespar.AttemptID `json:"attempt"`
	Digest  string                 `json:"digest"`
	State   state                  `json:"state"`
	Answer  *primrosespar.Answer   `json:"answer,omitempty"`
	// Object names the body of an answer above InlineLimit.
	Object string    `json:"object,omitempty"`
	Ended  time.Time `json:"ended,omitzero"`
}

// encode returns the row value. It panics on an error, since every field of a
// record can be encoded.
func encode(rec record) []byte {
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err)
	}
	return value
}

// pendingRecord is the end of a claim that is not in the table yet.
type pendingRecord struct {
	claim  Claim
	record record
	// body is stored under record.Object before the row is written; nil if that
	// is done or not needed.
	body []byte
	// queuedBytes is the size that counts towards MaxQueuedBytes.
	queuedBytes int64
	// tryDirect allows a first write at the version of the claim, without a
	// read.
	tryDirect bool
}

// size returns the approximate size of the record in memory.
func (p *pendingRecord) size() int64 {
	n := len(p.body) + len(p.claim.key)
	if p.record.Answer != nil {
		n += len(p.record.Answer.Body)
	}
	return int64(n)
}

// Finish records the outcome of a claim with status Run. It reports whether the
// outcome is in the table; if not, the record is queued. The key becomes free
// again, in state not_run, only if the call cannot have run: no byte of it was
// sent, or the upstream itself refused it.
func (c *Claimer) Finish(ctx context.Context, claim Claim, answer primrosespar.Answer, mayHaveRun bool) bool {
	p := c.newEndRecord(claim, answer, mayHaveRun)
	if p.record.State != stateNotRun {
		c.setLocalAnswer(claim, answer)
	}
	if c.settle(ctx, p) == nil {
		c.removeLocal(claim)
		return true
	}
	if p.record.State == stateNotRun {
		c.removeLocal(claim)
	}
	c.enqueue(p)
	return false
}

// newEndRecord returns the record of an outcome.
func (c *Claimer) newEndRecord(claim Claim, answer primrosespar.Answer, mayHaveRun bool) *pendingRecord {
	rec := record{Attempt: claim.Attempt, Digest: claim.digest, Ended: c.opts.Clock.Now()}
	switch {
	case !mayHaveRun && answer.Ran == primrosespar.RanNot:
		rec.State = stateNotRun
		return &pendingRecord{claim: claim, record: rec, tryDirect: true}
	case answer.Ran == primrosespar.RanUnknown:
		rec.State = stateUnknown
	default:
		rec.State = stateDone
	}
	p := &pendingRecord{claim: claim, record: rec, tryDirect: true}
	if len(answer.Body) > InlineLimit {
		p.record.Object = "answer/" + strings.TrimPrefix(claim.key, "claim/") + "/" + string(claim.Attempt)
		p.body = answer.Body
		answer.Body = nil
	}
	p.record.Answer = &answer
	return p
}

// setLocalAnswer lets callers at this host replay the answer before it is in
// the table.
func (c *Claimer) setLocalAnswer(claim Claim, answer primrosespar.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local, ok := c.localClaims[claim.key]; ok && local.attempt == claim.Attempt {
		local.answer = &answer
	}
}

// settle writes the end of a claim. It returns nil once the row has ended or
// can no longer be changed by the write of this attempt's claim.
func (c *Claimer) settle(ctx context.Context, p *pendingRecord) error {
	if p.body != nil {
		if err := c.opts.Objects.Put(ctx, p.record.Object, p.body); err != nil {
			return eris.Wrap(err, "store answer")
		}
		p.body = nil
	}
	if p.tryDirect {
		p.tryDirect = false
		if _, err := c.commitRecord(ctx, p.claim.key, p.claim.version, encode(p.record)); err == nil {
			return nil
		}
	}
	row, rec, err := c.readRecord(ctx, p.claim.key)
	if err != nil {
		return err
	}
	ownRow := row.Version != 0 && rec.Attempt == p.claim.Attempt
	if ownRow && rec.State != stateClaimed {
		return nil
	}
	// While the row is still at the version that the claim was conditioned on,
	// a delayed write of the claim may succeed. Writing the end at that version
	// makes it fail.
	if !ownRow && row.Version != p.claim.version {
		return nil
	}
	_, err = c.commitRecord(ctx, p.claim.key, row.Version, encode(p.record))
	return err
}

// enqueue queues the record for Drain. If the queue is full, the record is
// dropped and counted; its row stays claimed, so the key never runs again.
func (c *Claimer) enqueue(p *pendingRecord) {
	p.queuedBytes = p.size()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) >= c.opts.MaxQueuedRecords || c.queuedBytes+p.queuedBytes > c.opts.MaxQueuedBytes {
		c.droppedRecords++
		if local, ok := c.localClaims[p.claim.key]; ok && local.attempt == p.claim.Attempt {
			delete(c.localClaims, p.claim.key)
		}
		return
	}
	c.queue = append(c.queue, p)
	c.queuedBytes += p.queuedBytes
}

// Backlog returns the number of records that wait to be written to the table
// and the number dropped since the start.
func (c *Claimer) Backlog() (waiting int, dropped uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue), c.droppedRecords
}

// maxDrainFailures is the number of failures that ends a pass over the queue. A
// few records may fail on their own, such as large answers while the object
// store is unavailable; an unavailable table should not be tried for every
// record.
const maxDrainFailures = 8

// Drain tries to write each queued record once, in order, and returns the last
// error. It stops after maxDrainFailures. It must not be called concurrently
// with itself or with Run.
func (c *Claimer) Drain(ctx context.Context) error {
	waiting, _ := c.Backlog()
	failures := 0
	var lastErr error
	for range waiting {
		c.mu.Lock()
		p := c.queue[0]
		c.mu.Unlock()
		err := c.settle(ctx, p)
		c.mu.Lock()
		c.queue = c.queue[1:]
		if err != nil {
			c.queue = append(c.queue, p)
			c.mu.Unlock()
			lastErr = err
			failures++
			if failures == maxDrainFailures {
				return lastErr
			}
			continue
		}
		c.queuedBytes -= p.queuedBytes
		c.mu.Unlock()
		c.removeLocal(p.claim)
	}
	return lastErr
}

// Run drains the queue every RetryInterval until the context ends.
func (c *Claimer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.opts.Clock.After(c.opts.RetryInterval):
		}
		// Records that fail stay in the queue for the next pass.
		_ = c.Drain(ctx)
	}
}

// Sweep deletes ended claims that are older than the retention of their account
// and returns their number. The retention function returns false for an account
// without a contract, whose claims are kept. Claims that never ended are kept
// forever.
func (c *Claimer) Sweep(ctx context.Context, retention func(primrosespar.Account) (time.Duration, bool)) (int, error) {
	const prefix = "claim/"
	deleted := 0
	after := ""
	for {
		rows, err := c.opts.Table.Scan(ctx, prefix, after, c.opts.SweepPageSize)
		if err != nil {
			return deleted, eris.Wrap(err, "scan claims")
		}
		if len(rows) == 0 {
			return deleted, nil
		}
		for _, row := range rows {
			after = row.Key
			account, _, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
			ttl, known := retention(primrosespar.Account(account))
			if !known || !c.expired(row, ttl) {
				continue
			}
			_, err := c.opts.Table.Commit(ctx, primrosespar.Txn{
				Conditions: []primrosespar.Condition{{Key: row.Key, Version: row.Version}},
				Writes:     []primrosespar.Write{{Key: row.Key, Delete: true}},
			})
			if err != nil && primrosespar.CodeOf(err) != primrosespar.CodeConflict {
				return deleted, eris.Wrap(err, "delete claim")
			}
			if err == nil {
				deleted++
			}
			select {
			case <-ctx.Done():
				return deleted, ctx.Err()
			case <-c.opts.Clock.After(time.Second / time.Duration(c.opts.SweepDeletesPerSecond)):
			}
		}
	}
}

// expired reports whether the row is a claim that ended longer ago than the
// retention and the margin.
func (c *Claimer) expired(row primrosespar.Row, retention time.Duration) bool {
	var rec record
	if json.Unmarshal(row.Value, &rec) != nil || rec.State == stateClaimed || rec.Ended.IsZero() {
		return false
	}
	return c.opts.Clock.Now().After(rec.Ended.Add(retention + c.opts.SweepRetentionMargin))
}

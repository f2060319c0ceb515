// Package recorder keeps decision records in a bounded buffer and writes them
// in batches of JSON lines to the object store. Record never waits for the
// store: it drops decisions if the buffer is full, and the number of dropped
// decisions is recorded as a decision of its own.
//
// # Usage
//
//	r := recorder.New(recorder.WithObjects(objects), recorder.WithHost(place, host, incarnation))
//	go r.Run(ctx)
//	r.Record(decision)
package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Recorder implements primrosespar.Recorder.
type Recorder struct {
	opts Options

	mu sync.Mutex
	// priority is written before perCall. Otherwise the records of calls use up
	// the budget under load and decisions about jobs are written hours late.
	priority []primrosespar.Decision
	perCall  []primrosespar.Decision
	sequence uint64
	// unreportedLost counts the lost decisions since the last loss record,
	// totalLost all of them.
	unreportedLost int
	totalLost      uint64

	// flushMu serializes Flush and guards the batch that is to be written.
	flushMu   sync.Mutex
	batchName string
	batch     []byte
}

var _ primrosespar.Recorder = (*Recorder)(nil)

// New returns a Recorder. Run has to be called to write what it records.
func New(opts ...Option) *Recorder {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Recorder{opts: o}
}

// Record adds the decision to the buffer. It sets the place, the host, the
// sequence and, if it is missing, the time. If the buffer is full, a decision
// with priority replaces the latest one about a call; others are dropped.
func (r *Recorder) Record(d primrosespar.Decision) {
	d.Subject = truncate(d.Subject)
	d.Detail = truncate(d.Detail)
	d.Figures = append([]primrosespar.Figure(nil), d.Figures[:min(len(d.Figures), maxFigures)]...)
	r.mu.Lock()
	defer r.mu.Unlock()
	full := len(r.priority)+len(r.perCall) >= r.opts.Capacity
	if full {
		r.unreportedLost++
		r.totalLost++
	}
	switch {
	case hasPriority(d.Kind) && full && len(r.perCall) > 0:
		r.perCall = r.perCall[:len(r.perCall)-1]
		r.priority = append(r.priority, r.addOrigin(d))
	case full:
	case hasPriority(d.Kind):
		r.priority = append(r.priority, r.addOrigin(d))
	default:
		r.perCall = append(r.perCall, r.addOrigin(d))
	}
}

// hasPriority reports whether decisions of the kind concern jobs, hosts or
// contracts, which are rare, and not single calls.
func hasPriority(kind primrosespar.DecisionKind) bool {
	switch kind {
	case primrosespar.DecisionAdmission, primrosespar.DecisionRefusal, primrosespar.DecisionAttempt,
		primrosespar.DecisionRetry, primrosespar.DecisionOutcome:
		return false
	default:
		return true
	}
}

// addOrigin sets the origin, the sequence and, if it is missing, the time of
// the decision.
func (r *Recorder) addOrigin(d primrosespar.Decision) primrosespar.Decision {
	if d.At.IsZero() {
		d.At = r.opts.Clock.Now().UTC()
	}
	r.sequence++
	d.Place, d.Host, d.Sequence = r.opts.Place, r.opts.Host, r.sequence
	return d
}

// truncate limits a text to maxTextLength bytes.
func truncate(text string) string {
	if len(text) <= maxTextLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextLength], "")
}

// Lost returns how many decisions were lost since the start.
func (r *Recorder) Lost() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalLost
}

// Run writes a batch per interval until the context ends, and then a last one.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
			_ = r.Flush(flushCtx)
			cancel()
			return
		case <-r.opts.Clock.After(r.opts.Interval):
			_ = r.Flush(ctx)
		}
	}
}

// Flush writes one batch within the budget. If the write fails, the next Flush
// retries the same batch under the same name, so that a lost response causes no
// duplicate records.
func (r *Recorder) Flush(ctx context.Context) error {
	r.flushMu.Lock()
	defer r.flushMu.Unlock()
	if r.batch == nil {
		r.buildBatch()
	}
	if r.batch == nil {
		return nil
	}
	if err := r.opts.Objects.Put(ctx, r.batchName, r.batch); err != nil {
		return err
	}
	r.batch = nil
	return nil
}

// buildBatch moves decisions from the buffer to the next batch.
func (r *Recorder) buildBatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreportedLost > 0 {
		loss := r.addOrigin(primrosespar.Decision{
			Kind:    primrosespar.DecisionLoss,
			Code:    primrosespar.CodeQueueFull,
			Subject: string(r.opts.Host),
			Detail:  "decision records were dropped because the buffer was full",
			Figures: []primrosespar.Figure{{Name: "lost", Value: float64(r.unreportedLost)}},
		})
		// The loss record goes first, so that it is written within one
		// interval.
		r.priority = append([]primrosespar.Decision{loss}, r.priority...)
		r.unreportedLost = 0
	}
	waiting := append(slices.Clone(r.priority), r.perCall...)
	budget := max(r.opts.Budget(), minBudget)
	var batch bytes.Buffer
	taken := 0
	for _, d := range waiting {
		line, err := json.Marshal(d)
		if err != nil {
			// The only values that cannot be encoded are figures that are NaN
			// or infinite.
			d.Figures = nil
			line, _ = json.Marshal(d)
		}
		if batch.Len() == 0 && len(line)+1 > budget {
			// A record that exceeds the whole budget is dropped, because it
			// would block all later ones.
			r.unreportedLost++
			r.totalLost++
			taken++
			continue
		}
		if batch.Len()+len(line)+1 > budget {
			break
		}
		batch.Write(append(line, '\n'))
		taken++
	}
	takenPriority := min(taken, len(r.priority))
	r.priority = slices.Clone(r.priority[takenPriority:])
	r.perCall = slices.Clone(r.perCall[taken-takenPriority:])
	if batch.Len() == 0 {
		return
	}
	r.batchName = BatchName(r.opts.Clock.Now(), r.opts.Place, r.opts.Host, r.opts.Incarnation, waiting[0].Sequence)
	r.batch = batch.Bytes()
}

// BatchPrefix is the prefix of the names of all batches.
const BatchPrefix = "decisions/"

// timeFormat is the time in the name of a batch. Its text sorts by time.
const timeFormat = "20060102T150405.000Z"

// BatchName returns the name of a batch. Names sort by time, place and host.
func BatchName(at time.Time, place primrosespar.Place, host primrosespar.Host, incarnation primrosespar.Incarnation, firstSequence uint64) string {
	return fmt.Sprintf("%s%s/%s/%s/%s-%020d", BatchPrefix, at.UTC().Format(timeFormat), place, host, incarnation, firstSequence)
}

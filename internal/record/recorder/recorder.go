// Package recorder keeps decision records in a bounded buffer and writes them
// in batches of JSON lines to the object store. Record never blocks: what does
// not fit is counted, and the count is recorded itself.
//
// # Usage
//
//	r := recorder.New(recorder.WithObjects(objects), recorder.WithIdentity(place, host, incarnation))
//	go r.Start(ctx)
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
	// rare waits before frequent: under load the records of calls use up the
	// budget, and the story of a job would come hours late.
	rare     []primrosespar.Decision
	frequent []primrosespar.Decision
	sequence uint64
	lost     int
	total    uint64

	// flush keeps batches in order; batch is the one that is being written.
	flush sync.Mutex
	name  string
	batch []byte
}

var _ primrosespar.Recorder = (*Recorder)(nil)

// New returns a Recorder.
func New(opts ...Option) *Recorder {
	o := defaults()
	for _, set := range opts {
		set(&o)
	}
	return &Recorder{opts: o}
}

// Record adds the decision with the time, place, host and sequence of here.
func (r *Recorder) Record(d primrosespar.Decision) {
	d.Subject = clip(d.Subject)
	d.Detail = clip(d.Detail)
	d.Figures = append([]primrosespar.Figure(nil), d.Figures[:min(len(d.Figures), maxFigures)]...)
	r.mu.Lock()
	defer r.mu.Unlock()
	full := len(r.rare)+len(r.frequent) >= r.opts.Capacity
	if full {
		r.lost++
		r.total++
	}
	switch {
	case isRare(d.Kind) && full && len(r.frequent) > 0:
		r.frequent = r.frequent[:len(r.frequent)-1]
		r.rare = append(r.rare, r.stamp(d))
	case full:
	case isRare(d.Kind):
		r.rare = append(r.rare, r.stamp(d))
	default:
		r.frequent = append(r.frequent, r.stamp(d))
	}
}

// isRare reports whether decisions of the kind are made per job, host or
// contract and not per call.
func isRare(kind primrosespar.DecisionKind) bool {
	switch kind {
	case primrosespar.DecisionAdmission, primrosespar.DecisionRefusal, primrosespar.DecisionAttempt,
		primrosespar.DecisionRetry, primrosespar.DecisionOutcome:
		return false
	default:
		return true
	}
}

// stamp fills in what the recorder knows.
func (r *Recorder) stamp(d primrosespar.Decision) primrosespar.Decision {
	if d.At.IsZero() {
		d.At = r.opts.Clock.Now().UTC()
	}
	r.sequence++
	d.Place, d.Host, d.Sequence = r.opts.Place, r.opts.Host, r.sequence
	return d
}

// clip bounds a text.
func clip(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "")
}

// Lost returns how many decisions were dropped since the start.
func (r *Recorder) Lost() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Start writes a batch per interval until the context ends, and a last one.
func (r *Recorder) Start(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlush)
			_ = r.Flush(last)
			cancel()
			return
		case <-r.opts.Clock.After(r.opts.Interval):
			_ = r.Flush(ctx)
		}
	}
}

// Flush writes one batch within the budget. A batch that could not be written
// stays and is written under the same name next time, so that a lost answer
// leaves no duplicate.
func (r *Recorder) Flush(ctx context.Context) error {
	r.flush.Lock()
	defer r.flush.Unlock()
	if r.batch == nil {
		r.cut()
	}
	if r.batch == nil {
		return nil
	}
	if err := r.opts.Objects.Put(ctx, r.name, r.batch); err != nil {
		return err
	}
	r.batch = nil
	return nil
}

// cut moves waiting decisions into the next batch.
func (r *Recorder) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost > 0 {
		loss := r.stamp(primrosespar.Decision{
			Kind:    primrosespar.DecisionLoss,
			Code:    primrosespar.CodeQueueFull,
			Subject: string(r.opts.Host),
			Detail:  "decision records were dropped because the buffer was full",
			Figures: []primrosespar.Figure{{Name: "lost", Value: float64(r.lost)}},
		})
		// The loss goes first, so that it is written within one interval.
		r.rare = append([]primrosespar.Decision{loss}, r.rare...)
		r.lost = 0
	}
	waiting := append(slices.Clone(r.rare), r.frequent...)
	left := max(r.opts.Budget(), minBudget)
	var batch bytes.Buffer
	taken := 0
	for _, d := range waiting {
		line, err := json.Marshal(d)
		if err != nil {
			// Only a figure that is NaN or infinite does not encode.
			d.Figures = nil
			line, _ = json.Marshal(d)
		}
		if batch.Len() == 0 && len(line)+1 > left {
			// A record above the whole budget would block all later ones.
			r.lost++
			r.total++
			taken++
			continue
		}
		if batch.Len()+len(line)+1 > left {
			break
		}
		batch.Write(append(line, '\n'))
		taken++
	}
	fromRare := min(taken, len(r.rare))
	r.rare = slices.Clone(r.rare[fromRare:])
	r.frequent = slices.Clone(r.frequent[taken-fromRare:])
	if batch.Len() == 0 {
		return
	}
	r.name = Name(r.opts.Clock.Now(), r.opts.Place, r.opts.Host, r.opts.Incarnation, waiting[0].Sequence)
	r.batch = batch.Bytes()
}

// Prefix starts the names of all batches.
const Prefix = "decisions/"

// timeFormat sorts by time.
const timeFormat = "20060102T150405.000Z"

// Name returns the name of a batch; names sort by time, place and host.
func Name(at time.Time, place primrosespar.Place, host primrosespar.Host, run primrosespar.Incarnation, first uint64) string {
	return fmt.Sprintf("%s%s/%s/%s/%s-%020d", Prefix, at.UTC().Format(timeFormat), place, host, run, first)
}

// Package estimator learns run time and size of gangs per account and class.
//
// Declared run times may be off by a factor of ten in either direction, so the
// estimator keeps the last ratios of actual to declared run time and the last
// run times themselves, and uses the quantiles of whichever spreads less. The
// memory is bounded: one ring of samples per account and class, and a bounded
// number of those.
//
// # Usage
//
//	e := estimator.New()
//	e.ObserveRun("bascule", "reconciliation", declared, actual)
//	run := e.Run("bascule", "reconciliation", declared)
//	if run.Sure && run.High < gap {
//		// nine in ten jobs of the class end within the gap
//	}
package estimator

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"primrosespar.example/primrosespar"
)

const (
	// ringSize bounds the samples per account and class.
	ringSize = 64
	// maxKeys bounds the pairs of account and class; the target has 220
	// accounts with a few classes each.
	maxKeys = 4096
	// minSamples are needed before the learned figures replace the declared.
	minSamples = 8
	// wildFactor is how far declared run times are known to be off.
	wildFactor = 10
	// highQuantile is the quantile that stands for a long run or a large size.
	highQuantile = 0.95
	// cautionSamples scales the margin on the high quantile, which shrinks
	// with the number of samples: factor 1 + cautionSamples/n.
	cautionSamples = 4
)

// Run is the expected run time of a job.
type Run struct {
	// Typical is the median, High is what few jobs exceed.
	Typical, High time.Duration
	// Sure is false while there is too little data to rely on High.
	Sure bool
}

// Size is what one member uses beside accelerators.
type Size struct {
	Cores       int
	MemoryBytes int64
}

type key struct {
	account primrosespar.Account
	class   primrosespar.Class
}

type history struct {
	ratios, runs  ring
	cores, memory ring
}

// Estimator keeps the histories. It is not safe for concurrent use.
type Estimator struct {
	histories *simplelru.LRU[key, *history]
}

// New returns an estimator without data.
func New() *Estimator {
	// The only error of NewLRU is a size below one.
	histories, _ := simplelru.NewLRU[key, *history](maxKeys, nil)
	return &Estimator{histories: histories}
}

func (e *Estimator) of(account primrosespar.Account, class primrosespar.Class) *history {
	k := key{account, class}
	h, ok := e.histories.Get(k)
	if !ok {
		h = &history{}
		e.histories.Add(k, h)
	}
	return h
}

// ObserveRun takes the run time of a job that ran to its end.
func (e *Estimator) ObserveRun(account primrosespar.Account, class primrosespar.Class, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	h := e.of(account, class)
	h.runs.add(math.Log(actual.Seconds()))
	if declared > 0 {
		h.ratios.add(math.Log(actual.Seconds() / declared.Seconds()))
	}
}

// ObserveSize takes the largest use of one member of a gang.
func (e *Estimator) ObserveSize(account primrosespar.Account, class primrosespar.Class, used Size) {
	h := e.of(account, class)
	h.cores.add(float64(used.Cores))
	h.memory.add(float64(used.MemoryBytes))
}

// Run returns the expected run time of a job with the declared run time.
func (e *Estimator) Run(account primrosespar.Account, class primrosespar.Class, declared time.Duration) Run {
	h, ok := e.histories.Get(key{account, class})
	if !ok || h.runs.len() < minSamples {
		return e.guess(h, declared)
	}
	samples, scale := &h.runs, 1.0
	if declared > 0 && h.ratios.len() >= minSamples && h.ratios.spread() < h.runs.spread() {
		samples, scale = &h.ratios, declared.Seconds()
	}
	caution := 1 + cautionSamples/float64(samples.len())
	return Run{
		Typical: seconds(scale * math.Exp(samples.quantile(0.5))),
		High:    seconds(scale * math.Exp(samples.quantile(highQuantile)) * caution),
		Sure:    true,
	}
}

// guess serves until there is data: the declared time may be off by
// wildFactor, and no run seen so far may be shorter than the guess.
func (e *Estimator) guess(h *history, declared time.Duration) Run {
	longest := 0.0
	if h != nil && h.runs.len() > 0 {
		longest = math.Exp(h.runs.quantile(1))
	}
	return Run{
		Typical: declared,
		High:    max(seconds(declared.Seconds()*wildFactor), seconds(longest*wildFactor)),
	}
}

// Size returns the larger of declared and learned size.
func (e *Estimator) Size(account primrosespar.Account, class primrosespar.Class, declared Size) Size {
	h, ok := e.histories.Get(key{account, class})
	if !ok || h.cores.len() < minSamples {
		return declared
	}
	return Size{
		Cores:       max(declared.Cores, int(math.Ceil(h.cores.quantile(highQuantile)))),
		MemoryBytes: max(declared.MemoryBytes, int64(h.memory.quantile(highQuantile))),
	}
}

func seconds(s float64) time.Duration {
	const most = float64(math.MaxInt64 / 2)
	return time.Duration(min(s*float64(time.Second), most))
}

// ring keeps the last ringSize samples.
type ring struct {
	samples []float64
	next    int
	sorted  []float64
}

func (r *ring) len() int {
	return len(r.samples)
}

func (r *ring) add(x float64) {
	r.sorted = nil
	if len(r.samples) < ringSize {
		r.samples = append(r.samples, x)
		return
	}
	r.samples[r.next] = x
	r.next = (r.next + 1) % ringSize
}

func (r *ring) quantile(q float64) float64 {
	if r.sorted == nil {
		r.sorted = slices.Sorted(slices.Values(r.samples))
	}
	i := int(math.Ceil(q*float64(len(r.sorted)))) - 1
	return r.sorted[max(i, 0)]
}

func (r *ring) spread() float64 {
	return r.quantile(highQuantile) - r.quantile(0.05)
}

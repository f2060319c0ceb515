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
	// maxSamples bounds the samples per account and class.
	maxSamples = 64
	// maxHistories bounds the pairs of account and class; the target has 220
	// accounts with a few classes each.
	maxHistories = 4096
	// minSamples are needed before the learned figures replace the declared.
	minSamples = 8
	// declaredErrorFactor is how far declared run times are known to be off.
	declaredErrorFactor = 10
	// highQuantile is the quantile that stands for a long run or a large size.
	highQuantile = 0.95
	// marginSamples scales the margin on the high quantile, which shrinks
	// with the number of samples: factor 1 + cautionSamples/n.
	marginSamples = 4
)

// Run is the expected run time of a job.
type Run struct {
	// Typical is the median, High is what few jobs exceed.
	Typical, High time.Duration
	// Reliable is false while there is too little data to rely on High.
	Reliable bool
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
	logRatios, logRuns      ring
	coreCounts, memoryBytes ring
}

// Estimator keeps the histories. It is not safe for concurrent use.
type Estimator struct {
	histories *simplelru.LRU[key, *history]
}

// New returns an estimator without data.
func New() *Estimator {
	// The only error of NewLRU is a size below one.
	histories, _ := simplelru.NewLRU[key, *history](maxHistories, nil)
	return &Estimator{histories: histories}
}

func (e *Estimator) historyOf(account primrosespar.Account, class primrosespar.Class) *history {
	k := key{account, class}
	hist, ok := e.histories.Get(k)
	if !ok {
		hist = &history{}
		e.histories.Add(k, hist)
	}
	return hist
}

// ObserveRun takes the run time of a job that ran to its end.
func (e *Estimator) ObserveRun(account primrosespar.Account, class primrosespar.Class, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	hist := e.historyOf(account, class)
	hist.logRuns.add(math.Log(actual.Seconds()))
	if declared > 0 {
		hist.logRatios.add(math.Log(actual.Seconds() / declared.Seconds()))
	}
}

// ObserveSize takes the largest use of one member of a gang.
func (e *Estimator) ObserveSize(account primrosespar.Account, class primrosespar.Class, used Size) {
	hist := e.historyOf(account, class)
	hist.coreCounts.add(float64(used.Cores))
	hist.memoryBytes.add(float64(used.MemoryBytes))
}

// Run returns the expected run time of a job with the declared run time.
func (e *Estimator) Run(account primrosespar.Account, class primrosespar.Class, declared time.Duration) Run {
	hist, ok := e.histories.Get(key{account, class})
	if !ok || hist.logRuns.len() < minSamples {
		return e.fallbackRun(hist, declared)
	}
	samples, scale := &hist.logRuns, 1.0
	if declared > 0 && hist.logRatios.len() >= minSamples && hist.logRatios.spread() < hist.logRuns.spread() {
		samples, scale = &hist.logRatios, declared.Seconds()
	}
	margin := 1 + marginSamples/float64(samples.len())
	return Run{
		Typical:  durationOf(scale * math.Exp(samples.quantile(0.5))),
		High:     durationOf(scale * math.Exp(samples.quantile(highQuantile)) * margin),
		Reliable: true,
	}
}

// fallbackRun serves until there is data: the declared time may be off by
// wildFactor, and no run seen so far may be shorter than the guess.
func (e *Estimator) fallbackRun(hist *history, declared time.Duration) Run {
	longest := 0.0
	if hist != nil && hist.logRuns.len() > 0 {
		longest = math.Exp(hist.logRuns.quantile(1))
	}
	return Run{
		Typical: declared,
		High:    max(durationOf(declared.Seconds()*declaredErrorFactor), durationOf(longest*declaredErrorFactor)),
	}
}

// Size returns the larger of declared and learned size.
func (e *Estimator) Size(account primrosespar.Account, class primrosespar.Class, declared Size) Size {
	hist, ok := e.histories.Get(key{account, class})
	if !ok || hist.coreCounts.len() < minSamples {
		return declared
	}
	return Size{
		Cores:       max(declared.Cores, int(math.Ceil(hist.coreCounts.quantile(highQuantile)))),
		MemoryBytes: max(declared.MemoryBytes, int64(hist.memoryBytes.quantile(highQuantile))),
	}
}

func durationOf(s float64) time.Duration {
	const limit = float64(math.MaxInt64 / 2)
	return time.Duration(min(s*float64(time.Second), limit))
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

func (r *ring) add(sample float64) {
	r.sorted = nil
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, sample)
		return
	}
	r.samples[r.next] = sample
	r.next = (r.next + 1) % maxSamples
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

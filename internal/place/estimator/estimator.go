// Package estimator learns the run times and sizes of gangs by account and
// class.
//
// Declared run times may be off by a factor of ten in either direction. So the
// estimator keeps the latest ratios of actual to declared run time and the
// latest run times themselves, and uses the quantiles of whichever spreads
// less. Its memory is bounded: the number of histories and the samples of each
// are limited.
//
// # Usage
//
//	e := estimator.New()
//	e.ObserveRun("bascule", "reconciliation", declared, actual)
//	run := e.Run("bascule", "reconciliation", declared)
//	if run.Reliable && run.High < gap {
//		// at least nine in ten jobs of the class end within the gap
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
	// maxSamples is the number of samples kept of each kind in a history.
	maxSamples = 64
	// maxHistories bounds the pairs of account and class. The design target has
	// 220 accounts with a few classes each.
	maxHistories = 4096
	// minSamples is the number of samples from which on learned values are
	// used.
	minSamples = 8
	// declaredErrorFactor is the factor by which declared run times are known
	// to be off.
	declaredErrorFactor = 10
	// highQuantile is the quantile used for long runs and large sizes.
	highQuantile = 0.95
	// marginSamples sets the safety margin on the high quantile, which shrinks
	// with the number n of samples: a factor of 1 + marginSamples/n.
	marginSamples = 4
)

// Run is the expected run time of a job.
type Run struct {
	// Typical is the median, High a run time that few jobs exceed.
	Typical, High time.Duration
	// Reliable is false while there are too few samples to rely on High.
	Reliable bool
}

// Size is the cores and memory that one member uses.
type Size struct {
	Cores       int
	MemoryBytes int64
}

type key struct {
	account primrosespar.Account
	class   primrosespar.Class
}

// history holds the samples of one account and class: the logarithms of run
// times in seconds and of their ratios to the declared ones, and the used cores
// and memory.
type history struct {
	logRatios, logRuns      ring
	coreCounts, memoryBytes ring
}

// Estimator keeps the latest samples of each account and class. It is not safe
// for concurrent use.
type Estimator struct {
	histories *simplelru.LRU[key, *history]
}

// New returns an estimator without samples.
func New() *Estimator {
	// NewLRU fails only for a size below one.
	histories, _ := simplelru.NewLRU[key, *history](maxHistories, nil)
	return &Estimator{histories: histories}
}

// historyOf returns the history and creates it on first use.
func (e *Estimator) historyOf(account primrosespar.Account, class primrosespar.Class) *history {
	k := key{account, class}
	hist, ok := e.histories.Get(k)
	if !ok {
		hist = &history{}
		e.histories.Add(k, hist)
	}
	return hist
}

// ObserveRun records the run time of a job that finished.
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

// ObserveSize records the largest use of any one member of a gang.
func (e *Estimator) ObserveSize(account primrosespar.Account, class primrosespar.Class, used Size) {
	hist := e.historyOf(account, class)
	hist.coreCounts.add(float64(used.Cores))
	hist.memoryBytes.add(float64(used.MemoryBytes))
}

// Run returns the expected run time of a job with this declared run time.
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

// fallbackRun returns the estimate while there are too few samples. Its High is
// declaredErrorFactor times the longer of the declared run time and the longest
// observed run.
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

// Size returns the larger of the declared and the learned size.
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

// durationOf converts seconds to a duration, limited to half the largest one.
func durationOf(s float64) time.Duration {
	const limit = float64(math.MaxInt64 / 2)
	return time.Duration(min(s*float64(time.Second), limit))
}

// ring keeps the latest maxSamples samples.
type ring struct {
	samples []float64
	// next is the index of the oldest sample once the ring is full.
	next int
	// sorted caches the sorted samples, nil after a change.
	sorted []float64
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

// spread returns the distance between the 5 % quantile and the high quantile.
func (r *ring) spread() float64 {
	return r.quantile(highQuantile) - r.quantile(0.05)
}

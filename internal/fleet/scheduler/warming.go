package scheduler

import (
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// coldScore is the score of a cold worker. It exceeds the scores for the free
// accelerators of a worker.
const coldScore = math.MaxInt / 64

// warming is the state of a worker that is slow after its start.
type warming struct {
	until time.Time
	cold  bool
	// limited is set while the worker takes at most left starts before the next
	// plan. starts are those of the last second.
	limited bool
	left    int
	starts  []time.Time
}

// observeCold records until when the worker is cold. An announcement that is read
// again says nothing new.
func (s *Scheduler) observeCold(w *worker, info primrosespar.WorkerInfo, now time.Time) {
	if w.info.ColdRemaining == info.ColdRemaining && w.info.StartedAt.Equal(info.StartedAt) {
		return
	}
	w.warming.until = now.Add(info.ColdRemaining)
	if w.warming.until.After(s.coldUntil) {
		s.coldUntil = w.warming.until
	}
}

// updateWarming updates which workers are cold and how many starts they take.
// The rate that a service gives for one is kept over each second, and a worker
// takes one at least.
func (s *Scheduler) updateWarming(now time.Time) {
	if s.coldUntil.IsZero() {
		return
	}
	if !now.Before(s.coldUntil) {
		s.coldUntil = time.Time{}
	}
	for _, w := range s.announced {
		c := &w.warming
		if c.cold = now.Before(c.until); !c.cold {
			c.limited, c.starts = false, nil
			continue
		}
		rate := 0.0
		if s.catalog != nil {
			rate = s.catalog.ColdStarts[w.info.Service]
		}
		c.starts = slices.DeleteFunc(c.starts, func(at time.Time) bool { return now.Sub(at) >= time.Second })
		c.limited, c.left = rate > 0, max(1, int(min(rate, math.MaxInt32)))-len(c.starts)
	}
}

// countStart counts a start of a limited worker.
func (c *warming) countStart(now time.Time) {
	if c.limited {
		c.left--
		c.starts = append(c.starts, now)
	}
}

// limit returns how many of n tasks the worker may start before the next plan.
func (c *warming) limit(n int) int {
	if c.limited {
		return max(0, min(n, c.left))
	}
	return n
}

// score returns by how much the worker comes after those that are warm.
func (c *warming) score() int {
	if c.cold {
		return coldScore
	}
	return 0
}

// yieldsToCold reports whether the unit keeps to the starts that cold workers
// take. An urgent unit has to be provided for at once, and a gang would wait
// until all workers that it needs are warm.
func (s *Scheduler) yieldsToCold(u *unit) bool {
	return u.size == 1 && s.terms(u.step.occurrence.job).Priority > 0
}

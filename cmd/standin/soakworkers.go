package main

import (
	"math/rand/v2"
	"time"

	"primrosespar.example/primrosespar/platform/standin"
)

// Limits of the series of faults of workers.
const (
	// maxDisturbedShare is the share of the workers that a series disturbs.
	maxDisturbedShare = 0.3
	// maxFlaps is how often a worker crashes in a series, maxFlapGap the longest
	// time between two crashes.
	maxFlaps   = 4
	maxFlapGap = 2 * time.Second
	// maxNotice is the longest notice of a leave, maxLeaveDelay how much longer
	// than that a worker runs at most.
	maxNotice     = 3 * time.Second
	maxLeaveDelay = 2 * time.Second
)

// disturbWorkers begins a series of faults of some workers.
func (f *soakFaults) disturbWorkers(random *rand.Rand, kind trouble, duration time.Duration) {
	workers := f.soak.fleet.Workers()
	count := 1 + random.IntN(max(1, int(maxDisturbedShare*float64(len(workers)))))
	for _, i := range random.Perm(len(workers))[:count] {
		w := workers[i]
		switch kind {
		case troubleFlap:
			f.flap(w, 1+random.IntN(maxFlaps), time.Duration(random.Float64()*float64(maxFlapGap)))
		case troubleGrey:
			w.SetFaults(standin.WorkerFaults{Fails: true})
			f.healAfter(duration, func() { w.SetFaults(standin.WorkerFaults{}) })
		default:
			w.Leave(time.Duration(random.Float64()*float64(maxNotice)), time.Duration(random.Float64()*float64(maxLeaveDelay)))
		}
	}
}

// flap restarts the worker several times, under its ID and under new ones by
// turns.
func (f *soakFaults) flap(w *standin.Worker, times int, gap time.Duration) {
	f.tasks.Go(func() {
		for i := range times {
			if i%2 == 0 {
				w.Restart()
			} else {
				w.Replace()
			}
			time.Sleep(gap)
		}
	})
}

package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"primrosespar.example/primrosespar/internal/standin/partitioner"
)

// Limits of the cuts.
const (
	// minCutTime and maxCutTime bound a single cut. Two of three cuts last for
	// minLongCutTime, after which another host has taken over all tasks, or more.
	minCutTime     = 2 * time.Second
	minLongCutTime = 10 * time.Second
	maxCutTime     = 18 * time.Second
	// maxCutsInSeries bounds the cuts of a series, which last up to
	// maxSeriesCutTime each and are up to maxSeriesGap apart.
	maxCutsInSeries  = 4
	maxSeriesCutTime = 14 * time.Second
	maxSeriesGap     = 2 * time.Second
	// maxCutFreeze bounds the time for which the holder is frozen beside a cut.
	maxCutFreeze = 5 * time.Second
)

// cutPlan is a drawn series of cuts of one region.
type cutPlan struct {
	// ofHolder selects the region of the lease holder instead of the region with
	// the index.
	ofHolder    bool
	regionIndex int
	direction   partitioner.Direction
	// quiet keeps hosts, their links and the store from other faults meanwhile,
	// which end the term of a holder behind the cut.
	quiet bool
	cuts  []plannedCut
}

// plannedCut is one cut of a plan. The holder is frozen freezeAfter its start
// for the freeze, unless that is 0.
type plannedCut struct {
	length      time.Duration
	gap         time.Duration
	freezeAfter time.Duration
	freeze      time.Duration
}

// drawTime draws a time between two.
func drawTime(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}

// drawCut draws the cuts of a trouble. Two of three are of the region of the
// lease holder. The first of a soak is, and it is long and quiet.
func (f *soakFaults) drawCut(random *rand.Rand, kind trouble) cutPlan {
	p := cutPlan{
		ofHolder:  random.IntN(3) > 0 || f.cutCount == 0,
		direction: partitioner.Both, quiet: random.IntN(2) == 0, regionIndex: random.IntN(len(f.soak.fleet.Regions())),
	}
	first := f.cutCount == 0
	p.quiet = p.quiet || first
	f.cutCount++
	count, longestCut := 1, maxCutTime
	switch kind {
	case troubleOneWay:
		p.direction = []partitioner.Direction{partitioner.Outward, partitioner.Inward}[random.IntN(2)]
	case troubleSeries:
		count, longestCut = 2+random.IntN(maxCutsInSeries-1), maxSeriesCutTime
	default:
	}
	for range count {
		shortest, longest := minLongCutTime, longestCut
		if random.IntN(3) == 0 && !first {
			shortest, longest = minCutTime, minLongCutTime
		}
		c := plannedCut{
			length: drawTime(random, shortest, longest), gap: drawTime(random, 0, maxSeriesGap),
			freezeAfter: drawTime(random, 0, time.Second), freeze: drawTime(random, 0, maxCutFreeze),
		}
		if kind != troubleSeries || random.IntN(2) == 0 {
			c.freeze = 0
		}
		p.cuts = append(p.cuts, c)
	}
	return p
}

// cutRegion plays a plan unless a region is cut off already.
func (f *soakFaults) cutRegion(p cutPlan) {
	if !f.cutting.TryLock() {
		return
	}
	f.tasks.Go(func() {
		defer f.cutting.Unlock()
		f.quiet.Store(p.quiet)
		defer f.quiet.Store(false)
		region := f.soak.fleet.Regions()[p.regionIndex]
		holder, err := f.soak.holder()
		if err != nil {
			f.soak.fleet.ReportViolation("the lease row cannot be read: %v", err)
		}
		if p.ofHolder && holder != nil {
			region = holder.region
		}
		for _, c := range p.cuts {
			f.soak.fleet.Remark(fmt.Sprintf("region %s is cut off for %v, direction %d, holder frozen for %v", region, c.length, p.direction, c.freeze))
			f.soak.cutOff(region, p.direction)
			if c.freeze > 0 && holder != nil {
				f.healAfter(c.freezeAfter, func() {
					holder.signal(syscall.SIGSTOP)
					f.healAfter(c.freeze, func() { holder.signal(syscall.SIGCONT) })
				})
			}
			time.Sleep(c.length)
			f.soak.heal(region)
			f.soak.fleet.Remark("region " + region + " is back")
			time.Sleep(c.gap)
		}
	})
}
